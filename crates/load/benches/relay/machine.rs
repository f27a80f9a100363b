//! Resource usage of this process: CPU time by thread name, memory.

use std::{fs, time::Duration};

/// Returns the CPU time used so far by threads whose name begins with `prefix`.
pub fn cpu_of(prefix: &str) -> Duration {
    let tasks = fs::read_dir("/proc/self/task").expect("the system lists threads");
    let nanos = tasks.flatten().filter_map(|task| {
        let name = fs::read_to_string(task.path().join("comm")).ok()?;
        let statistics = fs::read_to_string(task.path().join("schedstat")).ok()?;
        let nanos = statistics.split_whitespace().next()?.parse::<u64>().ok()?;
        name.starts_with(prefix).then_some(nanos)
    });
    Duration::from_nanos(nanos.sum())
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("the system reports memory usage");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok())
        .expect("VmRSS in kB")
        * 1_024
}
