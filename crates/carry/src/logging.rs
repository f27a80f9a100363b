//! The log of a process: structured lines on standard output, bounded and never in the way.
//!
//! `env_logger` filters and formats, [`sampling`] chooses, [`output`] writes on a thread of its
//! own. A record with the key `request` is about that request; with `end` it is its last.

use std::{
    io::{self, Write as _},
    mem,
    sync::{self, atomic},
    time,
};

use base::outcome;
use log::kv;

use crate::{output, sampling};

/// Key of the id that a caller gave its request.
const REQUEST_KEY: &str = "request";
/// Key of the [`outcome::EndKind`] of a request that has ended.
const END_KEY: &str = "end";

/// Requests that ended well and were not written, in this process.
static REQUESTS_LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Failed requests of which lines are missing, in this process.
static FAILURES_LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Other lines beyond the budget, in this process.
static LINES_LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Where `env_logger` puts a line, for the sampler to take.
#[derive(Clone, Debug, Default)]
struct LineSlot(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for LineSlot {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        lock(&self.0).extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// What a log call works on.
#[derive(Debug)]
struct SampledOutput {
    sampler: sampling::LineSampler,
    writer: output::LineWriter,
}

/// The log of this process.
#[derive(Debug)]
pub struct SampledLog {
    formatter: env_logger::Logger,
    slot: LineSlot,
    output: sync::Mutex<SampledOutput>,
}

impl SampledLog {
    /// A log with the filters of `builder`, to `writer`.
    #[must_use]
    pub fn new(mut builder: env_logger::Builder, writer: output::LineWriter) -> Self {
        let slot = LineSlot::default();
        let formatter = builder
            // Lines of several VMs are put in order by their time.
            .format_timestamp_millis()
            .write_style(env_logger::WriteStyle::Never)
            .target(env_logger::Target::Pipe(Box::new(slot.clone())))
            .build();
        let sampler = sampling::LineSampler::new(time::Instant::now());
        Self {
            formatter,
            slot,
            output: sync::Mutex::new(SampledOutput { sampler, writer }),
        }
    }

    /// Makes it the log of this process. A second call changes nothing.
    pub fn install(self) {
        let level = self.formatter.filter();
        if log::set_boxed_logger(Box::new(self)).is_ok() {
            log::set_max_level(level);
        }
    }
}

impl log::Log for SampledLog {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        self.formatter.enabled(metadata)
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.formatter.matches(record) {
            return;
        }
        let mut output = lock(&self.output);
        self.formatter.log(record);
        let line = mem::take(&mut *lock(&self.slot.0));
        let keys = record.key_values();
        let request = keys.get(kv::Key::from_str(REQUEST_KEY));
        let request = request.map(|id| id.to_string());
        let subject = match &request {
            Some(id) => sampling::LineSubject::Request(id, end_of(keys)),
            None => sampling::LineSubject::Belief,
        };
        let now = time::Instant::now();
        for line in output.sampler.take(line, subject, now) {
            // The writer counts what it can't take.
            let _ = output.writer.write(&line);
        }
        if let Some(left_out) = output.sampler.end_period(now) {
            count(left_out);
            let line = notice(left_out, output.sampler.share());
            let _ = output.writer.write(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

/// A panic elsewhere is no reason to lose the log.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn end_of(keys: &dyn kv::Source) -> sampling::RequestEnd {
    let Some(word) = keys.get(kv::Key::from_str(END_KEY)) else {
        return sampling::RequestEnd::Open;
    };
    if word.to_string() == outcome::EndKind::Failed.name() {
        sampling::RequestEnd::Badly
    } else {
        sampling::RequestEnd::Well
    }
}

fn count(left_out: sampling::LeftOut) {
    let order = atomic::Ordering::Relaxed;
    REQUESTS_LEFT_OUT.fetch_add(left_out.succeeded, order);
    FAILURES_LEFT_OUT.fetch_add(left_out.failed, order);
    LINES_LEFT_OUT.fetch_add(left_out.lines, order);
}

fn notice(left_out: sampling::LeftOut, share: f64) -> String {
    format!(
        "log lines left out whole_requests={} failed_requests={} other_lines={} share={share:.3}\n",
        left_out.succeeded, left_out.failed, left_out.lines
    )
}

/// What the budget has left out so far in this process: requests that ended well, requests that
/// failed, other lines.
#[must_use]
pub fn left_out() -> sampling::LeftOut {
    let order = atomic::Ordering::Relaxed;
    sampling::LeftOut {
        succeeded: REQUESTS_LEFT_OUT.load(order),
        failed: FAILURES_LEFT_OUT.load(order),
        lines: LINES_LEFT_OUT.load(order),
    }
}
