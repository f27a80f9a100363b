//! Log lines that never make a request wait.
//!
//! A reader that stops reading the pipe would block whoever writes to it, and with it every request
//! of the process. So lines go through a bounded queue to a thread of their own; what does not fit
//! is dropped, counted, and said as soon as there is room again.

use std::{
    io::{self, Write as _},
    sync::{atomic, mpsc},
    thread, time,
};

/// Lines that wait for the reader; 200 bytes each.
const MOST_LINES: usize = 4_096;

/// Time for the last lines of a process; writing a full queue of them takes a few milliseconds.
const LAST_LINES: time::Duration = time::Duration::from_millis(30);

/// Lines dropped so far.
static DROPPED: atomic::AtomicU64 = atomic::AtomicU64::new(0);

/// A writer that never blocks.
#[derive(Debug)]
pub struct LineWriter {
    lines: mpsc::SyncSender<Vec<u8>>,
    /// Lines dropped since the reader was last told.
    untold: u64,
}

impl LineWriter {
    /// Writes to `out` on a thread of its own.
    ///
    /// # Errors
    ///
    /// When the system gives no thread.
    pub fn new(mut out: impl io::Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = mpsc::sync_channel::<Vec<u8>>(MOST_LINES);
        thread::Builder::new()
            .name(String::from("log"))
            .spawn(move || {
                while let Ok(line) = queue.recv() {
                    // Nobody is left to tell when the log itself can't be written.
                    let _ = out.write_all(&line);
                    while let Ok(line) = queue.try_recv() {
                        let _ = out.write_all(&line);
                    }
                    let _ = out.flush();
                }
            })?;
        Ok(Self { lines, untold: 0 })
    }

    /// Writes to standard output.
    ///
    /// # Errors
    ///
    /// When the system gives no thread.
    pub fn stdout() -> io::Result<Self> {
        Self::new(io::stdout())
    }

    fn tell_dropped(&mut self) {
        if self.untold > 0 {
            let line = format!("log lines dropped={}\n", self.untold).into_bytes();
            if self.lines.try_send(line).is_ok() {
                self.untold = 0;
            }
        }
    }
}

impl io::Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.tell_dropped();
        if self.lines.try_send(line.to_vec()).is_err() {
            self.untold += 1;
            DROPPED.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Lines dropped in this process.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED.load(atomic::Ordering::Relaxed)
}

/// Gives the writer time for what is queued: its thread ends with the process.
pub fn finish() {
    thread::sleep(LAST_LINES);
}

/// Writes one last line past the queue, for a process that can't go on.
pub fn write_fatal(message: &str) {
    let mut out = io::stderr();
    let _ = writeln!(out, "{message}");
}
