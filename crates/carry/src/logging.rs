//! The log of a process: structured lines on standard output, bounded in rate and non-blocking.
//!
//! `env_logger` filters and formats, [`sampling`] chooses lines, [`output`] writes them on a
//! separate thread. A record with the key `request` belongs to that request; a record that also
//! has `end` is the last of that request.

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

/// Requests that succeeded and were not logged, in this process.
static REQUESTS_LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Failed requests with lines missing, in this process.
static FAILURES_LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
/// Other lines omitted beyond the budget, in this process.
static LINES_LEFT_OUT: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// Buffer through which `env_logger` hands a formatted line to the sampler.
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

/// The sampler and writer that log calls share.
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
    /// Creates a log with the filters of `builder` that writes to `writer`.
    #[must_use]
    pub fn new(mut builder: env_logger::Builder, writer: output::LineWriter) -> Self {
        let slot = LineSlot::default();
        let formatter = builder
            // Lines of several VMs are merged by their timestamps.
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

    /// Installs it as the log of this process. A second call has no effect.
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
            None => sampling::LineSubject::Process,
        };
        let now = time::Instant::now();
        for line in output.sampler.take(line, subject, now) {
            // The writer counts the lines that it drops.
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

/// Ignores poisoning, so that a panic in another thread does not stop the log.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn end_of(keys: &dyn kv::Source) -> sampling::RequestEnd {
    let Some(word) = keys.get(kv::Key::from_str(END_KEY)) else {
        return sampling::RequestEnd::Open;
    };
    if word.to_string() == outcome::EndKind::Failed.name() {
        sampling::RequestEnd::Failed
    } else {
        sampling::RequestEnd::Succeeded
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

/// Requests and lines that the budget has left out so far in this process.
#[must_use]
pub fn left_out() -> sampling::LeftOut {
    let order = atomic::Ordering::Relaxed;
    sampling::LeftOut {
        succeeded: REQUESTS_LEFT_OUT.load(order),
        failed: FAILURES_LEFT_OUT.load(order),
        lines: LINES_LEFT_OUT.load(order),
    }
}
