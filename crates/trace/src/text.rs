//! A time line as human-readable lines of text.

use std::fmt::Write as _;

use base::id;

use crate::{event, merge, moment};

/// Digits of a request id shown in a line; commands accept them in place of the complete id.
pub const SHORT_ID_DIGITS: usize = 8;

/// Renders the complete time line: the gaps first, then one line for each event.
#[must_use]
pub fn render(timeline: &merge::MergedTimeline) -> String {
    let mut out = String::new();
    for gap in &timeline.gaps {
        let _ = writeln!(out, "!! {}", gap_text(gap));
    }
    let vm_width = timeline
        .events
        .iter()
        .map(|event| event.vm.len())
        .max()
        .unwrap_or(0);
    let mut date = String::new();
    for event in &timeline.events {
        let event_date = moment::date_text(event.stamp.wall_ms());
        if event_date != date {
            let _ = writeln!(out, "-- {event_date} UTC");
            date = event_date;
        }
        out.push_str(&line(event, vm_width));
        out.push('\n');
    }
    if timeline.events.is_empty() {
        out.push_str("no matching events are kept\n");
    }
    out
}

/// Renders one event as one line, its VM padded to `vm_width`.
#[must_use]
pub fn line(event: &event::Event, vm_width: usize) -> String {
    let mut line = format!(
        "{} {:<vm_width$} {:<8} {}",
        moment::clock_text(event.stamp.wall_ms()),
        clean(&event.vm),
        event.request.map(short_id).unwrap_or_default(),
        event.kind.name(),
    );
    for (name, value) in event.kind.fields() {
        let _ = write!(line, " {name}={}", quoted(&value));
    }
    line
}

/// Describes a gap in one sentence.
#[must_use]
pub fn gap_text(gap: &merge::TimelineGap) -> String {
    match gap {
        merge::TimelineGap::Lost { vm, lost, up_to_ms } => format!(
            "{} lost {lost} events, the last at {}; what it did until then is not all here",
            clean(vm),
            moment::full_text(*up_to_ms)
        ),
        merge::TimelineGap::Omitted { vm, omitted } => format!(
            "{} left out {omitted} older matching events; narrow --since or --kind, or raise --limit",
            clean(vm)
        ),
        merge::TimelineGap::Silent { vm, reason } => {
            format!(
                "{} did not answer ({}); nothing of it is here",
                clean(vm),
                clean(reason)
            )
        }
        merge::TimelineGap::Unordered {
            vm,
            member,
            ahead_ms,
        } => format!(
            "the clock of {} is {} ahead of {}; the order of their events is not certain; set its clock",
            clean(member),
            moment::span_text(*ahead_ms),
            clean(vm)
        ),
    }
}

/// Returns the first [`SHORT_ID_DIGITS`] digits of a request id.
#[must_use]
pub fn short_id(request: id::RequestId) -> String {
    let mut digits = request.to_string();
    digits.truncate(SHORT_ID_DIGITS);
    digits
}

/// Replaces control characters and bidirectional formatting characters in `text` by `?`.
///
/// Names and reasons may contain text that a caller sent. Printed unchanged, an escape sequence
/// could rewrite the operator's terminal, and a change of writing direction could display a line
/// that reads differently from its content.
#[must_use]
pub fn clean(text: &str) -> String {
    let is_harmful = |letter: char| letter.is_control() || BIDI_CONTROLS.contains(&letter);
    text.chars()
        .map(|letter| if is_harmful(letter) { '?' } else { letter })
        .collect()
}

/// Formatting characters of bidirectional text that affect the text after them.
const BIDI_CONTROLS: [char; 9] = [
    '\u{202a}', '\u{202b}', '\u{202c}', '\u{202d}', '\u{202e}', '\u{2066}', '\u{2067}', '\u{2068}',
    '\u{2069}',
];

fn quoted(value: &str) -> String {
    let plain = |letter: char| letter.is_alphanumeric() || "-_.:/@+".contains(letter);
    if !value.is_empty() && value.chars().all(plain) {
        return value.to_owned();
    }
    format!(
        "\"{}\"",
        clean(value).replace('\\', "\\\\").replace('"', "\\\"")
    )
}
