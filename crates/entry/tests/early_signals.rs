//! Signals sent to the program while it starts.

#[path = "../../carry/tests/starting/mod.rs"]
mod starting;

use std::{fs, io::Write as _, process, thread, time};

#[test]
fn a_signal_while_settings_are_read_does_not_end_the_process() {
    // Guards against an entry daemon that ends without a log line: it receives SIGHUP or SIGTERM
    // before it has read its settings. Until handlers are installed, the default action of a signal
    // ends the process, so handlers must be installed first, also for SIGHUP.
    for (number, signal) in [rustix::process::Signal::HUP, rustix::process::Signal::TERM]
        .into_iter()
        .enumerate()
    {
        let folder = std::env::temp_dir().join(format!("early-{number}-{}", process::id()));
        fs::create_dir_all(&folder).expect("folder");
        let path = folder.join("settings.jsonc");
        let mode = rustix::fs::Mode::RUSR | rustix::fs::Mode::WUSR;
        let kind = rustix::fs::FileType::Fifo;
        rustix::fs::mknodat(rustix::fs::CWD, &path, kind, mode, 0).expect("pipe");
        let mut child = process::Command::new(env!("CARGO_BIN_EXE_pollenchuted"))
            .args(["--config", path.to_str().expect("path")])
            .stderr(process::Stdio::null())
            .spawn()
            .expect("pollenchuted starts");
        // Opening the pipe blocks until the process opens it too and waits for the text.
        let mut pipe = fs::OpenOptions::new()
            .write(true)
            .open(&path)
            .expect("pipe");
        let id = rustix::process::Pid::from_child(&child);
        rustix::process::kill_process(id, signal).expect("signal");
        thread::sleep(time::Duration::from_millis(100));
        // The write fails if the process has ended.
        let read = pipe.write_all(b"no settings");
        drop(pipe);
        let status = child.wait().expect("ended");
        assert_eq!((read.is_ok(), status.code()), (true, Some(2)), "{signal:?}");
        fs::remove_dir_all(&folder).expect("folder removed");
    }
}

#[test]
fn no_signal_ends_a_process_that_has_begun() {
    // Guards against a signal that arrives after the start of the process and before its handlers
    // are installed.
    let unprotected = starting::unprotected_starts(env!("CARGO_BIN_EXE_pollenchuted"));
    assert_eq!(
        unprotected, 0,
        "starts during which a signal ends the process"
    );
}
