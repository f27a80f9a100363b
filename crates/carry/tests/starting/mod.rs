//! What the system says of a daemon's signals while it starts.

use std::{fs, process};

use rustix::process::Signal;

/// Starts of one test.
const STARTS: usize = 100;
/// Signals that must not end a daemon that has begun to run.
const HELD: [Signal; 3] = [Signal::TERM, Signal::INT, Signal::HUP];

/// Starts `program` again and again, with settings that can't be read, and gives how many processes
/// ran code of their own while a signal would have ended them.
///
/// # Panics
///
/// When fewer than half of the processes were seen while they ran.
pub fn unprotected_starts(program: &str) -> usize {
    let (mut seen, mut unprotected) = (0, 0);
    for _ in 0..STARTS {
        let mut child = process::Command::new(program)
            .args(["--config", "/no/settings.jsonc"])
            .stdout(process::Stdio::null())
            .stderr(process::Stdio::null())
            .spawn()
            .expect("started");
        let path = format!("/proc/{}/status", child.id());
        let mut samples = Vec::new();
        while child.try_wait().expect("looked").is_none() {
            samples.extend(
                fs::read_to_string(&path)
                    .ok()
                    .and_then(|text| caught_and_blocked(&text)),
            );
        }
        seen += usize::from(!samples.is_empty());
        let mask = HELD
            .iter()
            .fold(0, |mask, signal| mask | 1 << (signal.as_raw() - 1));
        unprotected += usize::from(samples.iter().any(|handled| handled & mask != mask));
    }
    assert!(
        seen > STARTS / 2,
        "{seen} processes were seen while they ran"
    );
    unprotected
}

/// Signals that a process catches or blocks; absent until the language's runtime has caught its own,
/// as long as the system's loader is at work.
fn caught_and_blocked(status: &str) -> Option<u64> {
    let mask = |name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        u64::from_str_radix(line.trim(), 16).ok()
    };
    let caught = mask("SigCgt:")?;
    (caught != 0).then_some(caught | mask("SigBlk:")?)
}
