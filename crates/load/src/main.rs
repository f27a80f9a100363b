//! Entry point of `pollenload`; the implementation is in the library.

use std::process;

use load::command;

fn main() -> process::ExitCode {
    let mut arguments = std::env::args();
    let program = arguments.next().unwrap_or_else(|| "pollenload".into());
    let arguments: Vec<String> = arguments.collect();
    command::execute(&program, &arguments).into()
}
