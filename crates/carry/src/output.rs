//! Non-blocking output of log lines.
//!
//! A reader that stops reading the pipe would block the writer, and with it every request of the
//! process. So lines go through a bounded queue to a separate thread; lines that do not fit are
//! dropped and counted, and the count is logged as soon as the queue has free slots again.

use std::{
    io::{self, Write as _},
    sync::{atomic, mpsc},
    thread, time,
};

/// Capacity of the queue, in lines of about 200 bytes each.
const MAX_QUEUED_LINES: usize = 4_096;

/// Time to write the last lines of a process; writing a full queue takes a few milliseconds.
const FLUSH_DELAY: time::Duration = time::Duration::from_millis(30);

/// Lines dropped so far.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// A writer that never blocks: it drops lines when its queue is full.
#[derive(Debug)]
pub struct LineWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    /// Dropped lines not reported in the log yet.
    unreported: u64,
}

impl LineWriter {
    /// Creates a writer to `out` with its own thread.
    ///
    /// # Errors
    ///
    /// When the thread cannot be created.
    pub fn new(mut out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name(String::from("log"))
            .spawn(move || {
                while let Ok(line) = queue.recv() {
                    // An error of the log itself cannot be reported anywhere.
                    let _ = out.write_all(&line);
                    while let Ok(line) = queue.try_recv() {
                        let _ = out.write_all(&line);
                    }
                    let _ = out.flush();
                }
            })?;
        Ok(Self {
            lines,
            unreported: 0,
        })
    }

    /// Creates a writer to standard output.
    ///
    /// # Errors
    ///
    /// When the thread cannot be created.
    pub fn stdout() -> io::Result<Self> {
        Self::new(io::stdout())
    }

    fn report_dropped(&mut self) {
        if self.unreported > 0 {
            let line = format!("log lines dropped={}\n", self.unreported).into_bytes();
            if self.lines.try_send(line).is_ok() {
                self.unreported = 0;
            }
        }
    }
}

impl io::Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.report_dropped();
        if self.lines.try_send(line.to_vec()).is_err() {
            self.unreported += 1;
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Number of lines dropped in this process.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Gives the writer thread, which ends with the process, time to write the queued lines.
pub fn finish() {
    thread::sleep(FLUSH_DELAY);
}

/// Writes a fatal error to standard error, bypassing the queue.
pub fn write_fatal(message: &str) {
    let mut out = io::stderr();
    let _ = writeln!(out, "{message}");
}
