//! Checks, by `/proc`, that a starting daemon blocks or catches its stop signals.

use std::{env, fs, path, process, time};

use rustix::process::Signal;

/// Number of starts in one test.
const STARTS: usize = 100;
/// Timeout for a started process to catch the signals.
const CATCH_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Signals that must not end a daemon once its own code runs.
const HELD: [Signal; 3] = [Signal::TERM, Signal::INT, Signal::HUP];

/// Signal masks of a process, one bit per signal.
#[derive(Clone, Copy, Debug)]
struct SignalMasks {
    caught: u64,
    blocked: u64,
}

/// Starts `program` repeatedly, each time until it waits for its settings, and returns how many
/// processes ran their own code while a signal would have ended them.
///
/// # Panics
///
/// When a process does not catch the signals.
pub fn unprotected_starts(program: &str) -> usize {
    let pipe = env::temp_dir().join(format!("settings-{}", process::id()));
    let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
    let kind = rustix::fs::FileType::Fifo;
    rustix::fs::mknodat(rustix::fs::CWD, &pipe, kind, mode, 0).expect("pipe");
    let unprotected = (0..STARTS).filter(|_| is_unprotected(program, &pipe));
    let unprotected = unprotected.count();
    fs::remove_file(pipe).expect("pipe removed");
    unprotected
}

/// Whether a signal would have ended the process at some point of one start.
fn is_unprotected(program: &str, pipe: &path::Path) -> bool {
    let held = HELD
        .iter()
        .fold(0, |mask, signal| mask | 1 << (signal.as_raw() - 1));
    let mut child = process::Command::new(program)
        .args([path::Path::new("--config"), pipe])
        .spawn()
        .expect("started");
    let status = format!("/proc/{}/status", child.id());
    let began = time::Instant::now();
    let mut unprotected = false;
    loop {
        assert!(began.elapsed() < CATCH_TIMEOUT, "signals are not caught");
        let text = fs::read_to_string(&status).unwrap_or_default();
        let Some(masks) = signal_masks(&text) else {
            continue;
        };
        unprotected |= (masks.caught | masks.blocked) & held != held;
        if masks.caught & held == held {
            break;
        }
    }
    child.kill().expect("killed");
    child.wait().expect("ended");
    unprotected
}

/// Parses the signal masks of a process; `None` while the dynamic loader runs, until the Rust
/// runtime has installed its own handlers.
fn signal_masks(status: &str) -> Option<SignalMasks> {
    let mask = |name| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        u64::from_str_radix(line.trim(), 16).ok()
    };
    let masks = SignalMasks {
        caught: mask("SigCgt:")?,
        blocked: mask("SigBlk:")?,
    };
    (masks.caught != 0).then_some(masks)
}
