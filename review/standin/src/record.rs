//! What was sent, answered and run, with times.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An event that an engine worked on.
#[derive(Clone, Debug)]
pub struct Work {
    pub at: Duration,
    pub engine: String,
    pub id: String,
    pub event: u64,
}

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    began: Instant,
    file: Mutex<File>,
    work: Mutex<Vec<Work>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new(Inner {
            began: Instant::now(),
            file: Mutex::new(File::create(path)?),
            work: Mutex::default(),
        })))
    }

    pub fn now(&self) -> Duration {
        self.0.began.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now().as_secs_f64());
        let _ = self.0.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Notes that an engine worked on a run.
    pub fn worked(&self, engine: &str, id: &str, event: u64) {
        self.0.work.lock().unwrap().push(Work {
            at: self.now(),
            engine: engine.to_owned(),
            id: id.to_owned(),
            event,
        });
    }

    /// All work on a run.
    pub fn work_on(&self, id: &str) -> Vec<Work> {
        let work = self.0.work.lock().unwrap();
        work.iter().filter(|work| work.id == id).cloned().collect()
    }
}
