//! Sampling of log lines under a flood.

use std::{collections, time};

use arbtest::arbitrary;
use carry::sampling::{LineSampler, LineSubject, RequestEnd};

/// Maximum lines within one second: a full saved budget and the budget of that second.
const MAX_LINES_PER_SECOND: usize = 800;
/// Maximum bytes within one second, by the same rule.
const MAX_BYTES_PER_SECOND: usize = 320_000;

/// Number of random floods.
const FLOODS: u64 = 60;
/// Random bytes for one flood; a line consumes about a dozen.
const FLOOD_BYTES: u64 = 16_384;

/// One line passed to the sampler.
struct GivenLine {
    request: Option<String>,
    end: RequestEnd,
}

/// Feeds a flood to a sampler and records the lines written and their times.
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
            None => LineSubject::Process,
            Some(id) => {
                let lines = self.given.entry(id.clone()).or_default();
                lines.push(text.clone());
                if line.end == RequestEnd::Failed {
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

    /// Feeds all lines of one request at the same time.
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

    /// Number of lines of a request that are in `written`, and number of all its lines.
    fn parts(&self, id: &str, written: &collections::HashSet<&str>) -> (usize, usize) {
        let given = &self.given[id];
        let written_lines = given.iter().filter(|line| written.contains(line.as_str()));
        (written_lines.count(), given.len())
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
            assert!(last + 1 - first <= MAX_LINES_PER_SECOND, "lines at {at:?}");
            assert!(bytes <= MAX_BYTES_PER_SECOND, "bytes at {at:?}");
        }
    }
}

/// Random lines of random lengths, subjects and times.
fn any_flood(random: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
    let mut play = FloodPlay::new();
    for _ in 0..random.int_in_range(1..=3_000)? {
        let request = random
            .ratio(4_u8, 5_u8)?
            .then(|| random.int_in_range(0..=40_u32).map(|id| id.to_string()))
            .transpose()?;
        let end = match random.int_in_range(0..=5_u8)? {
            0 => RequestEnd::Succeeded,
            1 => RequestEnd::Failed,
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
    // Guards against a log whose volume grows with the load, which takes processor time from
    // requests and fills the reader's disk.
    for seed in 0..FLOODS {
        // The low half of a seed is the number of random bytes.
        arbtest::arbtest(any_flood)
            .seed((seed.wrapping_mul(0x9E37_79B9) << 32) | FLOOD_BYTES)
            .run();
    }
    let mut play = FloodPlay::new();
    for id in 0..20_000 {
        play.request(id, 4, RequestEnd::Failed);
        play.pass(time::Duration::from_micros(300));
    }
    play.check_bound();
}

#[test]
fn every_line_is_written_immediately_under_low_load() {
    let mut play = FloodPlay::new();
    for id in 0..1_000 {
        play.request(id, 5, RequestEnd::Succeeded);
        play.pass(time::Duration::from_millis(40));
    }
    assert_eq!(play.written.len(), 5_000);
    assert_eq!((play.missing, play.failed_missing), (0, 0));
}

#[test]
fn a_request_is_written_completely_or_not_at_all() {
    // Load: ten times the lines that the budget allows for requests, interleaved.
    let mut play = FloodPlay::new();
    for id in 0..30_000 {
        play.request(id, 4, RequestEnd::Succeeded);
        play.pass(time::Duration::from_millis(2));
    }
    let written = play.written();
    let mut whole = 0;
    for id in 0..30_000 {
        let (written_lines, all) = play.parts(&format!("request-{id}"), &written);
        assert!(
            written_lines == 0 || written_lines == all,
            "request {id}: {written_lines} of {all}"
        );
        whole += usize::from(written_lines == all);
    }
    // 60 seconds of 200 lines, 4 to a request, and the budget saved before the first second.
    assert!((2_300..=3_200).contains(&whole), "{whole} whole requests");
    assert_eq!(play.missing, 0, "no other line is lost");
}

#[test]
fn failures_and_process_lines_come_first() {
    // Guards against losing the lines of failed requests under load: ten times the budget of
    // requests that succeed, with some failed requests and some lines about the process.
    let mut play = FloodPlay::new();
    let mut process_lines = 0;
    for id in 0..30_000 {
        let end = if id % 50 == 7 {
            RequestEnd::Failed
        } else {
            RequestEnd::Succeeded
        };
        play.request(id, 4, end);
        if id % 25 == 0 {
            play.give(&GivenLine { request: None, end }, 150);
            process_lines += 1;
        }
        play.pass(time::Duration::from_millis(2));
    }
    let written = play.written();
    for id in &play.failed {
        let (written_lines, all) = play.parts(id, &written);
        assert_eq!(written_lines, all, "{id} failed");
    }
    assert_eq!(play.failed.len(), 600);
    assert_eq!(
        (play.missing, play.failed_missing),
        (0, 0),
        "{process_lines} lines about the process"
    );
}

#[test]
fn a_late_line_of_a_failed_request_is_written() {
    // Guards against losing the last line of a refused stream: the stream logs that it was
    // abandoned, then the handler of the caller logs the answer.
    let mut play = FloodPlay::new();
    for id in 0..2_000 {
        play.request(id, 4, RequestEnd::Succeeded);
        play.pass(time::Duration::from_micros(200));
    }
    play.request(5_000, 4, RequestEnd::Failed);
    play.request(5_000, 1, RequestEnd::Failed);
    assert_eq!(play.parts("request-5000", &play.written()), (5, 5));
}
