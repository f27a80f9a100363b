//! An engine that leaves sends an answer once more, late, on a connection on which the VM has asked it
//! to copy a run. Two runs are to move off it.

use std::path::Path;

use crate::leaving::{Scene, ENDS_BEFORE};
use crate::record::Record;
use crate::Verdict;

pub fn play(
    root: &Path,
    temporary: &Path,
    record: &Record,
    trouble: bool,
) -> Result<Verdict, String> {
    let mut scene = Scene::start(root, temporary, record)?;
    let (first, second) = ("aaaa00000000aaaa", "bbbb00000000bbbb");
    let moving = [first, second].map(|id| scene.send_long(id));
    if trouble {
        scene.source.answer_twice(ENDS_BEFORE);
    }
    let ends_before = scene.send_last(&[first, second])?;
    scene.leave();
    let pieces = moving.map(|sent| sent.join().unwrap_or_default().pieces);
    let _ = ends_before.join();
    scene.source.end();
    if scene.has_ended_vm() {
        return Err("a VM has ended".to_owned());
    }
    let foreign = |(id, pieces): (&str, &Vec<String>)| {
        let foreign: Vec<_> = pieces.iter().filter(|piece| !piece.ends_with(id)).collect();
        if let Some(piece) = foreign.first() {
            let count = foreign.len();
            record.note(&format!(
                "the caller of {id} got {count} foreign pieces, the first: {piece}"
            ));
        }
        !foreign.is_empty()
    };
    let results = [foreign((first, &pieces[0])), foreign((second, &pieces[1]))];
    if results.contains(&true) {
        record.note("MIXED is broken");
        Ok(Verdict::Broken)
    } else {
        record.note("MIXED held");
        Ok(Verdict::Held)
    }
}
