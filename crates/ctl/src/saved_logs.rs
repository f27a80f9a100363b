//! Explanation of one request from saved logs of entry VMs, with the state its VMs assumed then.

use std::{collections, fs, path};

use snafu::ResultExt as _;

use crate::{args, error};

/// Messages shown as context: changes of the state a VM assumes, and its start and stop.
const CONTEXT_MESSAGES: [&str; 8] = [
    "store changed",
    "configuration in force",
    "server changed",
    "server broke a generation off",
    "VM changed",
    "started",
    "stopping",
    "stopped",
];
/// Maximum number of lines shown per context message; the rest are only counted.
const MAX_LINES_PER_MESSAGE: usize = 12;

/// A parsed line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// Timestamp as written, by which the lines of all VMs are sorted.
    pub time: String,
    /// Name of the VM, taken from the file name without its extension.
    pub vm: String,
    /// The log message.
    pub message: String,
    /// Keys and values of the line, in the order written.
    pub fields: Vec<(String, String)>,
}

impl LogLine {
    /// Parses one line; returns `None` when it is not in the format of pollenedge's log.
    #[must_use]
    pub fn parse(vm: &str, line: &str) -> Option<Self> {
        let (head, rest) = line.strip_prefix('[')?.split_once("] ")?;
        let time = head.split(' ').next()?.to_owned();
        let starts = field_starts(rest);
        let message = rest[..starts.first().copied().unwrap_or(rest.len())].trim();
        let ends = starts.iter().skip(1).copied().chain([rest.len()]);
        let fields = starts.iter().zip(ends).filter_map(|(&start, end)| {
            let (key, value) = rest[start..end].trim().split_once('=')?;
            Some((key.to_owned(), value.to_owned()))
        });
        Some(Self {
            time,
            vm: vm.to_owned(),
            message: message.to_owned(),
            fields: fields.collect(),
        })
    }

    /// Returns the value of a field.
    #[must_use]
    pub fn field(&self, key: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known == key);
        field.map(|(_, value)| value.as_str())
    }

    fn render(&self) -> String {
        let fields: Vec<_> = self
            .fields
            .iter()
            .filter(|(key, _)| key != "request")
            .map(|(key, value)| format!("{key}={value}"))
            .collect();
        format!(
            "{} {:<16} {} {}",
            self.time,
            self.vm,
            self.message,
            fields.join(" ")
        )
    }
}

/// Returns the positions where fields begin: a key of lower-case letters and `_`, then `=`. Values
/// may contain spaces.
fn field_starts(text: &str) -> Vec<usize> {
    let is_key = |part: &str| {
        !part.is_empty()
            && part
                .bytes()
                .all(|byte| byte.is_ascii_lowercase() || byte == b'_')
    };
    let mut starts = Vec::new();
    let mut at = 0;
    for part in text.split(' ') {
        if part.split_once('=').is_some_and(|(key, _)| is_key(key)) {
            starts.push(at);
        }
        at += part.len() + 1;
    }
    starts
}

/// Runs `pollenctl explain --logs`.
///
/// # Errors
/// When a file cannot be read, or no request or several requests match.
pub fn explain(args: &args::ExplainArgs) -> Result<error::CommandOutput, error::CtlError> {
    let mut lines = Vec::new();
    for file in &args.logs {
        let text = fs::read_to_string(file).context(error::ReadFileSnafu { file })?;
        let vm = path::Path::new(file).file_stem().unwrap_or_default();
        let vm = vm.to_string_lossy().into_owned();
        lines.extend(text.lines().filter_map(|line| LogLine::parse(&vm, line)));
    }
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    let request = find_request(&lines, &args.request)?;
    Ok(error::CommandOutput::success(render_explanation(
        &lines, &request,
    )))
}

fn find_request(lines: &[LogLine], wanted: &str) -> Result<String, error::CtlError> {
    let ids: collections::BTreeSet<_> = lines
        .iter()
        .filter_map(|line| line.field("request"))
        .filter(|id| id.starts_with(wanted))
        .collect();
    let mut ids = ids.into_iter();
    match (ids.next(), ids.next()) {
        (Some(id), None) => Ok(id.to_owned()),
        (Some(_), Some(_)) => Err(error::CtlError::Usage {
            message: format!("several requests begin with {wanted}; give more of the id"),
        }),
        _ => Err(error::CtlError::Usage {
            message: format!(
                "no line of these logs has request={wanted}; give the files of all VMs of that time"
            ),
        }),
    }
}

/// Renders the lines of a request, the context lines of its VMs and servers, and the outcome.
#[must_use]
pub fn render_explanation(lines: &[LogLine], request: &str) -> String {
    let own: Vec<_> = lines
        .iter()
        .filter(|line| line.field("request") == Some(request))
        .collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return String::new();
    };
    let mut text = format!("request {request}\n");
    for line in &own {
        text += &format!("  {}\n", line.render());
    }
    text += &context_lines(lines, &own, &first.time, &last.time);
    text += &format!("ended: {}\n", outcome_text(&own));
    text
}

/// Renders the context lines of the VMs and servers that handled the request, while it was in
/// progress.
fn context_lines(lines: &[LogLine], own: &[&LogLine], from: &str, to: &str) -> String {
    let vms: collections::BTreeSet<_> = own.iter().map(|line| line.vm.as_str()).collect();
    let servers: collections::BTreeSet<_> = own
        .iter()
        .flat_map(|line| ["server", "from", "to"].map(|key| line.field(key)))
        .flatten()
        .collect();
    let mut text = String::from("meanwhile, on its entry VM and about its servers:\n");
    for message in CONTEXT_MESSAGES {
        let of_server = message.starts_with("server");
        let matching: Vec<_> = lines
            .iter()
            .filter(|line| line.message == message)
            .filter(|line| line.time.as_str() >= from && line.time.as_str() <= to)
            .filter(|line| match line.field("server") {
                Some(server) => servers.contains(server),
                None => !of_server && vms.contains(line.vm.as_str()),
            })
            .collect();
        for line in matching.iter().take(MAX_LINES_PER_MESSAGE) {
            text += &format!("  {}\n", line.render());
        }
        if matching.len() > MAX_LINES_PER_MESSAGE {
            let more = matching.len() - MAX_LINES_PER_MESSAGE;
            text += &format!("  and {more} more of \"{message}\"\n");
        }
    }
    text
}

/// Describes the outcome of a request from its last log lines.
fn outcome_text(own: &[&LogLine]) -> String {
    let count = |message: &str| own.iter().filter(|line| line.message == message).count();
    let last_of = |message: &str| own.iter().rev().find(|line| line.message == message);
    if let Some(line) = last_of("stream whole") {
        let value = |key| line.field(key).unwrap_or("?");
        return format!(
            "whole; first event after {} ms, longest pause {} ms, moved {} times",
            value("first_ms"),
            value("worst_pause_ms"),
            value("passed")
        );
    }
    if let Some(line) = last_of("caller left") {
        return format!(
            "its caller left after {} events",
            line.field("events").unwrap_or("?")
        );
    }
    if let Some(line) = last_of("long answer ended") {
        return match line.field("end") {
            Some("whole") => String::from("complete; the answer was relayed as received"),
            Some("left") => String::from("its caller left in the middle of a long answer"),
            _ => String::from(
                "its long answer was cut: its server broke off, or the time of its route was up",
            ),
        };
    }
    let Some(line) = last_of("refused").or_else(|| last_of("stream not whole")) else {
        return match last_of("answered") {
            Some(line) => format!(
                "answered with status {}",
                line.field("status").unwrap_or("?")
            ),
            None => {
                String::from("no outcome logged; its VM may have ended, look for \"started\" there")
            }
        };
    };
    let cause = line.field("cause").unwrap_or("?");
    let why = cause_text(cause, count);
    let ran = line.field("ran").unwrap_or("No");
    format!("cause={cause}, ran={ran}: {why}")
}

/// Describes the cause of a refusal; `count` is the number of log lines of the request with a message.
fn cause_text(cause: &str, count: impl Fn(&str) -> usize) -> String {
    match cause {
        "patience" => format!(
            "it waited for memory; {} servers that were asked had no free memory",
            count("no room")
        ),
        "overload" => String::from("more waited than could be served in time"),
        "over_share" => {
            String::from("memory was short, and its organisation had asked for more than its share")
        }
        "rejected" => String::from("servers rejected it, and no further attempt is allowed"),
        "server_lost" if count("stream broke off") > 0 => format!(
            "its server ended in mid-stream, and {} copies did not help",
            count("copied")
        ),
        "server_lost" => String::from("its server broke off, or what it sent was no answer"),
        "quarantined" => String::from("it crashed two servers before"),
        "stopping" => String::from("its VM was told to stop"),
        "no_server" => String::from("no server of its service was known to take work"),
        "no_route" | "no_key" => String::from("the configuration in force does not allow it"),
        "unconfigured" => String::from("its VM knew no configuration yet"),
        _ => String::from("see docs/OPERATIONS.md"),
    }
}
