//! The connection on which a VM asks a leaving engine to stop and copy a run is reset. The answer of
//! that run has no length.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::leaving::{Scene, EVENTS};
use crate::record::Record;
use crate::Verdict;

pub fn play(
    root: &Path,
    temporary: &Path,
    record: &Record,
    trouble: bool,
) -> Result<Verdict, String> {
    let mut scene = Scene::start(root, temporary, record)?;
    let id = "aaaa00000000aaaa";
    // By hand, RESET=0 leaves the answer without a length alone.
    let resets = std::env::var("RESET").map_or(true, |it| it != "0");
    if trouble {
        scene.source.answer_unframed(id);
        scene.source.resets_copy.store(resets, Ordering::Relaxed);
    }
    let moving = scene.send_long(id);
    let ends_before = scene.send_last(&[id])?;
    scene.leave();
    let answer = moving.join().map_err(|_| "the client failed")?;
    let _ = ends_before.join();
    // The engine serves for a little longer than drain_ms.
    thread::sleep(Duration::from_secs(2));
    scene.source.end();
    if scene.has_ended_vm() {
        return Err("a VM has ended".to_owned());
    }
    let count = answer.pieces.len() as u64;
    let last = record.work_on(id).iter().map(|work| work.event).max();
    record.note(&format!(
        "the run of {id} has {EVENTS} pieces; engines made them up to {}; its caller got {count}, in an answer that {}",
        last.unwrap_or(0),
        if answer.is_complete { "ends as complete" } else { "breaks off" },
    ));
    if answer.is_complete && count < EVENTS {
        record.note("ORDER is broken");
        Ok(Verdict::Broken)
    } else {
        record.note("ORDER held");
        Ok(Verdict::Held)
    }
}
