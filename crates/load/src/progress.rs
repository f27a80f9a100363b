//! Progress bar of a run, shown on a terminal only.

use crate::runner;

/// Progress bar of finished calls. It draws nothing if standard error is not a terminal.
#[derive(Debug)]
pub struct BarProgress {
    bar: indicatif::ProgressBar,
}

impl BarProgress {
    /// Creates a bar for `total` calls.
    #[must_use]
    pub fn new(total: u64) -> Self {
        let bar = indicatif::ProgressBar::new(total);
        let template = "{elapsed_precise} {bar:40} {pos}/{len} calls {msg}";
        if let Ok(style) = indicatif::ProgressStyle::with_template(template) {
            bar.set_style(style);
        }
        Self { bar }
    }
}

impl runner::RunProgress for BarProgress {
    fn advance(&self, started: u64, done: u64) {
        self.bar.set_position(done);
        self.bar.set_message(format!("{} open", started - done));
    }
}

impl Drop for BarProgress {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}
