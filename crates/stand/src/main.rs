//! Binary of `pollenstand`; the implementation is in the library.

use std::process;

use stand::command;

fn main() -> process::ExitCode {
    let mut arguments = std::env::args();
    let program = arguments.next().unwrap_or_else(|| "pollenstand".into());
    let arguments: Vec<String> = arguments.collect();
    command::execute(&program, &arguments).into()
}
