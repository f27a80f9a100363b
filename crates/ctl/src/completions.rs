//! Bash completions, generated from the command line definition.

use std::fmt::Write as _;

use argh::ArgsInfo as _;
use trace::query;

use crate::args;

/// Generates the completion script.
#[must_use]
pub fn bash_script() -> String {
    let info = args::CtlArgs::get_args_info();
    let mut cases = String::new();
    add_cases(&info, "", &mut cases);
    let areas = query::areas().join(" ");
    format!(
        r#"# Completions of pollenctl for bash; made by `pollenctl completions`.
_pollenctl() {{
    local current="${{COMP_WORDS[COMP_CWORD]}}" path="" word
    for word in "${{COMP_WORDS[@]:1:COMP_CWORD-1}}"; do
        case "$path $word" in
{cases}        esac
    done
    local words
    case "$path" in
{}        *) words="" ;;
    esac
    case "${{COMP_WORDS[COMP_CWORD-1]}}" in
        --format) words="text jsonl svg" ;;
        --kind) words="{areas}" ;;
    esac
    COMPREPLY=()
    if [[ "$current" == -* || -n "$words" ]]; then
        COMPREPLY=($(compgen -W "$words" -- "$current"))
    fi
    if [[ ${{#COMPREPLY[@]}} -eq 0 ]]; then
        COMPREPLY=($(compgen -f -- "$current"))
    fi
}}
complete -o filenames -F _pollenctl pollenctl
"#,
        words(&info, "")
    )
}

/// Adds one case per command, which maps a path and the next word to the path of the command.
fn add_cases(info: &argh::CommandInfoWithArgs, path: &str, out: &mut String) {
    for command in &info.commands {
        let inner = join_path(path, command.name);
        let _ = writeln!(
            out,
            r#"            "{path} {}") path="{inner}" ;;"#,
            command.name
        );
        add_cases(&command.command, &inner, out);
    }
}

/// Builds one case per path with the words that may follow it.
fn words(info: &argh::CommandInfoWithArgs, path: &str) -> String {
    let flags = info
        .flags
        .iter()
        .filter(|flag| !flag.hidden)
        .map(|flag| flag.long);
    let commands = info.commands.iter().map(|command| command.name);
    let all: Vec<&str> = commands.chain(flags).collect();
    let mut out = format!("        \"{path}\") words=\"{}\" ;;\n", all.join(" "));
    for command in &info.commands {
        out.push_str(&words(&command.command, &join_path(path, command.name)));
    }
    out
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path} {name}")
    }
}
