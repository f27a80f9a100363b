//! Which log lines are written under a flood.

use std::{collections, time};

use arbtest::arbitrary;
use carry::sampling::{LineSampler, LineSubject, RequestEnd};

/// Lines that one second may bring at most: a whole budget that was saved, and one that is earned.
const MOST_LINES_IN_A_SECOND: usize = 800;
/// The same in bytes.
const MOST_BYTES_IN_A_SECOND: usize = 320_000;

/// Floods that are played.
const FLOODS: u64 = 60;
/// Random bytes for one: a line draws a dozen.
const FLOOD_BYTES: u64 = 16_384;

/// One line as it was given to the sampler.
struct GivenLine {
    request: Option<String>,
    end: RequestEnd,
}

/// Plays a flood, and keeps what came out and when.
struct FloodPlay {
    sampler: LineSampler,
    began: time::Instant,
    now: time::Instant,
    written: Vec<(time::Duration, String)>,
    given: collections::BTreeMap<String, Vec<String>>,
    failed: collections::BTreeSet<String>,
    count: usize,
    missing: u64,
    failed_missing: u64,
}

impl FloodPlay {
    fn new() -> Self {
        let now = time::Instant::now();
        Self {
            sampler: LineSampler::new(now),
            began: now,
            now,
            written: Vec::new(),
            given: collections::BTreeMap::new(),
            failed: collections::BTreeSet::new(),
            count: 0,
            missing: 0,
            failed_missing: 0,
        }
    }

    fn give(&mut self, line: &GivenLine, bytes: usize) {
        self.count += 1;
        let text = format!("{}{}", self.count, " ".repeat(bytes));
        let subject = match &line.request {
            None => LineSubject::Belief,
            Some(id) => {
                let lines = self.given.entry(id.clone()).or_default();
                lines.push(text.clone());
                if line.end == RequestEnd::Badly {
                    self.failed.insert(id.clone());
                }
                LineSubject::Request(id, line.end)
            }
        };
        let out = self.sampler.take(text.into_bytes(), subject, self.now);
        let at = self.now - self.began;
        let out = out
            .into_iter()
            .map(|line| String::from_utf8(line).expect("text"));
        self.written.extend(out.map(|line| (at, line)));
        if let Some(left_out) = self.sampler.end_period(self.now) {
            self.missing += left_out.lines;
            self.failed_missing += left_out.failed;
        }
    }

    /// One request of some lines, all at once.
    fn request(&mut self, id: usize, lines: usize, end: RequestEnd) {
        for index in 1..=lines {
            let end = if index == lines {
                end
            } else {
                RequestEnd::Open
            };
            let request = Some(format!("request-{id}"));
            self.give(&GivenLine { request, end }, 150);
        }
    }

    fn pass(&mut self, span: time::Duration) {
        self.now += span;
    }

    /// All lines that were written.
    fn written(&self) -> collections::HashSet<&str> {
        self.written.iter().map(|(_, line)| line.as_str()).collect()
    }

    /// Lines of a request that are among `written`, and all of them.
    fn parts(&self, id: &str, written: &collections::HashSet<&str>) -> (usize, usize) {
        let given = &self.given[id];
        let told = given.iter().filter(|line| written.contains(line.as_str()));
        (told.count(), given.len())
    }

    fn check_bound(&self) {
        let mut first = 0;
        let mut bytes = 0;
        for (last, (at, line)) in self.written.iter().enumerate() {
            bytes += line.len();
            while *at >= self.written[first].0 + time::Duration::from_secs(1) {
                bytes -= self.written[first].1.len();
                first += 1;
            }
            assert!(
                last + 1 - first <= MOST_LINES_IN_A_SECOND,
                "lines at {at:?}"
            );
            assert!(bytes <= MOST_BYTES_IN_A_SECOND, "bytes at {at:?}");
        }
    }
}

/// Any lines, of any length, of any subject, at any times.
fn any_flood(random: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let mut play = FloodPlay::new();
    for _ in 0..random.int_in_range(1..=3_000)? {
        let request = random
            .ratio(4_u8, 5_u8)?
            .then(|| random.int_in_range(0..=40_u32).map(|id| id.to_string()))
            .transpose()?;
        let end = match random.int_in_range(0..=5_u8)? {
            0 => RequestEnd::Well,
            1 => RequestEnd::Badly,
            _ => RequestEnd::Open,
        };
        let bytes = random.int_in_range(0..=2_000)?;
        play.give(&GivenLine { request, end }, bytes);
        if random.ratio(1_u8, 4_u8)? {
            play.pass(time::Duration::from_micros(
                random.int_in_range(0..=20_000)?,
            ));
        }
    }
    play.check_bound();
    Ok(())
}

#[test]
fn no_second_brings_more_than_the_budget() {
    // Symptom: a flood of lines takes the processor time of requests, and fills the reader's disk.
    // Sequence: any lines, of any length, of any subject, at any times.
    // Cause: logs whose volume follows the load.
    for seed in 0..FLOODS {
        // The low half of a seed says how many bytes there are to draw from.
        arbtest::arbtest(any_flood)
            .seed((seed.wrapping_mul(0x9E37_79B9) << 32) | FLOOD_BYTES)
            .run();
    }
    let mut play = FloodPlay::new();
    for id in 0..20_000 {
        play.request(id, 4, RequestEnd::Badly);
        play.pass(time::Duration::from_micros(300));
    }
    play.check_bound();
}

#[test]
fn a_calm_process_writes_every_line_at_once() {
    let mut play = FloodPlay::new();
    for id in 0..1_000 {
        play.request(id, 5, RequestEnd::Well);
        play.pass(time::Duration::from_millis(40));
    }
    assert_eq!(play.written.len(), 5_000);
    assert_eq!((play.missing, play.failed_missing), (0, 0));
}

#[test]
fn a_request_is_written_whole_or_not_at_all() {
    // Load: ten times the lines that the budget allows for requests, interleaved.
    let mut play = FloodPlay::new();
    for id in 0..30_000 {
        play.request(id, 4, RequestEnd::Well);
        play.pass(time::Duration::from_millis(2));
    }
    let written = play.written();
    let mut whole = 0;
    for id in 0..30_000 {
        let (told, all) = play.parts(&format!("request-{id}"), &written);
        assert!(told == 0 || told == all, "request {id}: {told} of {all}");
        whole += usize::from(told == all);
    }
    // 60 seconds of 200 lines, 4 to a request, and what the first second had saved.
    assert!((2_300..=3_200).contains(&whole), "{whole} whole requests");
    assert_eq!(play.missing, 0, "nothing was lost beside them");
}

#[test]
fn failures_and_beliefs_come_first() {
    // Symptom: the failed request's lines are the ones that are missing.
    // Load: ten times the budget of requests that end well, some that fail, some beliefs.
    let mut play = FloodPlay::new();
    let mut beliefs = 0;
    for id in 0..30_000 {
        let end = if id % 50 == 7 {
            RequestEnd::Badly
        } else {
            RequestEnd::Well
        };
        play.request(id, 4, end);
        if id % 25 == 0 {
            play.give(&GivenLine { request: None, end }, 150);
            beliefs += 1;
        }
        play.pass(time::Duration::from_millis(2));
    }
    let written = play.written();
    for id in &play.failed {
        let (told, all) = play.parts(id, &written);
        assert_eq!(told, all, "{id} failed");
    }
    assert_eq!(play.failed.len(), 600);
    assert_eq!(
        (play.missing, play.failed_missing),
        (0, 0),
        "{beliefs} beliefs"
    );
}

#[test]
fn a_late_line_of_a_failed_request_is_written() {
    // Symptom: the last line of a refused stream is missing. Its stream tells that it was given
    // up, then the part that speaks to its caller tells what it was told.
    let mut play = FloodPlay::new();
    for id in 0..2_000 {
        play.request(id, 4, RequestEnd::Well);
        play.pass(time::Duration::from_micros(200));
    }
    play.request(5_000, 4, RequestEnd::Badly);
    play.request(5_000, 1, RequestEnd::Badly);
    assert_eq!(play.parts("request-5000", &play.written()), (5, 5));
}
