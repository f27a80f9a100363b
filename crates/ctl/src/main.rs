//! Entry point of `pollenctl`: parses the command line and calls the library.

use std::{env, io, io::Write as _, process, time};

use ctl::{args, command, error, settings};

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let words: Vec<String> = env::args_os()
        .skip(1)
        .map(|word| word.to_string_lossy().into_owned())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let output = match args::parse(&words) {
        Ok(args) => command::run(args, &environment()).await,
        Err(output) => output,
    };
    print(&output);
    output.status.into()
}

fn environment() -> settings::CallEnvironment {
    let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    settings::CallEnvironment {
        operator_key: env::var(settings::KEY_VARIABLE).ok(),
        settings_file: env::var(settings::SETTINGS_VARIABLE).ok(),
        now_ms: now.map_or(0, |now| u64::try_from(now.as_millis()).unwrap_or(0)),
    }
}

/// Prints the output. Write errors are ignored, because a reader such as `head` may close the pipe
/// early.
fn print(output: &error::CommandOutput) {
    let _ = io::stdout().write_all(output.text.as_bytes());
    let _ = io::stderr().write_all(output.error_text.as_bytes());
}
