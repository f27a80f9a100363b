//! `pollenctl explain --logs`: finds the cause of a failed request in saved log files.

use std::fs;
use std::sync::atomic;

use ctl::{args, command, error, saved_logs, settings};

/// Logs of two VMs: a stream cut when its server ended, and a request refused for lack of memory.
const FIRST: &str = "\
[2026-12-02T05:05:50.100Z INFO  platform::run] started vm=edge-1 domain=hall-a entry=10.1.0.1:80
[2026-12-02T05:05:56.010Z INFO  exchange::serve_stream] stream sent request=b7320cd4734e347d server=i-55 backup=None waited_ms=3 size=Some((1971, 2196, Some(1354)))
[2026-12-02T05:05:56.300Z INFO  platform::ingress] answered request=b7320cd4734e347d route=r-1 status=200 ms=290
[2026-12-02T05:05:57.000Z INFO  exchange::follow] server changed server=i-55 standing=Some(Leaving) offset=9 source=store
[2026-12-02T05:05:57.010Z INFO  exchange::follow] server changed server=i-99 standing=Some(Leaving) offset=10 source=store
[2026-12-02T05:05:57.500Z INFO  exchange::moving] copied request=b7320cd4734e347d from=i-55 to=i-56 stop=false outcome=Err(NoRoom(None)) ms=5
[2026-12-02T05:05:58.700Z INFO  exchange::moving] stream broke off request=b7320cd4734e347d server=i-55 events=72
[2026-12-02T05:05:58.701Z INFO  exchange::serve_stream] stream not whole request=b7320cd4734e347d cause=server_lost ran=Yes events=72
not one of ours
";
const SECOND: &str = "\
[2026-12-02T05:05:57.000Z INFO  exchange::plane] waits for a place request=26aa service=llm rank=5 ahead=0 came_back=false
[2026-12-02T05:05:57.900Z INFO  exchange::serve_stream] no room request=26aa server=i-56 tokens=4845 fault=Full
[2026-12-02T05:05:58.000Z INFO  exchange::follow] store changed answered=false
[2026-12-02T05:05:58.100Z INFO  platform::ingress] answered request=31ce route=r-2 status=200 ms=40
[2026-12-02T05:06:00.100Z INFO  exchange::serve_call] long answer ended request=31ce end=failed
[2026-12-02T05:05:59.000Z INFO  platform::ingress] refused request=26aa route=r-1 cause=patience ran=No ms=2000 retry_after=Some(499.2ms)
";

/// Number of concurrent threads, enough to read a partly written file within a few calls.
const THREADS: usize = 8;
/// Number of calls per thread.
const CALLS_PER_THREAD: usize = 25;

/// Number of calls so far, used to name the directory of the next one.
static CALL_COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Explains `request` from two log files in a directory that no other call uses.
fn explain(request: &str) -> error::CommandOutput {
    let call = CALL_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let name = format!("ctl-saved-logs-{}-{call}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("folder");
    let files = [("edge-1", FIRST), ("edge-2", SECOND)].map(|(name, text)| {
        let file = folder.join(format!("{name}.log"));
        fs::write(&file, text).expect("written");
        file.display().to_string()
    });
    let words = ["explain", request, "--logs", &files[0], "--logs", &files[1]];
    let parsed = args::parse(&words).expect("understood");
    let environment = settings::CallEnvironment::default();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .expect("runtime");
    let output = runtime.block_on(command::run(parsed, &environment));
    fs::remove_dir_all(&folder).expect("folder removed");
    output
}

#[test]
fn a_cut_stream_is_traced_to_its_server() {
    let output = explain("b7320c");
    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
    let text = output.text;
    assert!(
        text.contains("size=Some((1971, 2196, Some(1354)))"),
        "{text}"
    );
    assert!(
        text.contains("server changed server=i-55 standing=Some(Leaving)"),
        "{text}"
    );
    assert!(
        !text.contains("i-99"),
        "a server that did not handle the request: {text}"
    );
    assert!(
        text.ends_with("cause=server_lost, ran=Yes: its server ended in mid-stream, and 1 copies did not help\n"),
        "{text}"
    );
}

#[test]
fn a_refused_request_shows_its_rank_and_the_context_of_its_vm() {
    let text = explain("26aa").text;
    assert!(
        text.contains("waits for a place service=llm rank=5"),
        "{text}"
    );
    assert!(text.contains("store changed answered=false"), "{text}");
    assert!(
        text.contains("1 servers that were asked had no free memory"),
        "{text}"
    );
}

#[test]
fn a_cut_long_answer_is_not_reported_as_answered() {
    let text = explain("31ce").text;
    assert!(text.contains("ended: its long answer was cut"), "{text}");
}

/// Guards against concurrent tests that share log files: a write truncates a file before it fills
/// it, so that another test could read an empty file and find no line of its request. Each call
/// therefore writes its own files.
#[test]
fn concurrent_calls_read_complete_files() {
    let threads: Vec<std::thread::JoinHandle<()>> = (0..THREADS)
        .map(|_| {
            std::thread::spawn(|| {
                for _ in 0..CALLS_PER_THREAD {
                    let output = explain("26aa");
                    assert_eq!(output.status, error::ExitStatus::Success, "{output:?}");
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().expect("no call failed");
    }
}

#[test]
fn an_unknown_id_is_reported_with_a_remedy() {
    let output = explain("ffff");
    assert_eq!(output.status, error::ExitStatus::Usage);
    assert!(output.error_text.contains("files of all VMs"), "{output:?}");
}

#[test]
fn lines_in_other_formats_have_no_fields() {
    for line in ["", "[", "[x] ", "panic at 3", "[2026 INFO a] message"] {
        if let Some(parsed) = saved_logs::LogLine::parse("vm", line) {
            assert!(parsed.fields.is_empty(), "{line}");
        }
    }
}
