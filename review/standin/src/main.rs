//! Stand-ins and cases of the review's scripts.
//!
//! `standin CASE ROOT FOLDER TROUBLE` plays a case with the programs of the repository at ROOT,
//! writes FOLDER/record.txt, and exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run.

mod client;
mod engine;
mod http;
mod leaving;
mod mixed;
mod record;
mod stop;
mod store;
mod switch;
mod truncated;
mod vm;

use std::path::Path;
use std::process::ExitCode;

/// Time after which a case is given up.
const MAX_TIME: std::time::Duration = std::time::Duration::from_secs(105);

/// Outcome of a case.
pub enum Verdict {
    Broken,
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, trouble] = &arguments[..] else {
        eprintln!("usage: standin CASE ROOT FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let Ok(root) = std::fs::canonicalize(root) else {
        eprintln!("no folder {root}");
        return ExitCode::from(2);
    };
    let (root, folder) = (root.as_path(), Path::new(folder));
    let trouble = trouble != "0";
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temporary) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        vm::kill_all();
        eprintln!("the case took too long");
        std::process::exit(2);
    });
    let played = record::Record::create(&folder.join("record.txt"))
        .map_err(|error| error.to_string())
        .and_then(|record| {
            let played = match case.as_str() {
                "mixed" => mixed::play(root, &temporary, &record, trouble),
                "stop" => stop::play(root, &temporary, &record, trouble),
                "truncated" => truncated::play(root, &temporary, &record, trouble),
                "switch" => switch::play(root, &temporary, &record, trouble),
                _ => Err(format!("no case {case}")),
            };
            if let Err(error) = &played {
                record.note(&format!("the case could not run: {error}"));
            }
            played
        });
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    match played {
        Ok(Verdict::Broken) => ExitCode::from(1),
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
