//! Explanation of one request: how it was routed, why it waited, and why it was refused.

use std::{collections, fmt::Write as _};

use base::{id, outcome};

use crate::{event, kind, merge, moment, text};

/// Explains `request` from a time line that holds all events, not only those of the request.
///
/// Failures and departures of the backend servers that it used are listed among its own events,
/// because they cause most retries. Returns `None` when no event of the request is retained.
#[must_use]
pub fn explain(timeline: &merge::MergedTimeline, request: id::RequestId) -> Option<String> {
    let own: Vec<&event::Event> = timeline
        .events
        .iter()
        .filter(|event| event.request == Some(request))
        .collect();
    let first = own.first()?;
    let start_ms = first.stamp.wall_ms();
    let mut out = format!("request {request}\n");
    if !matches!(first.kind, kind::EventKind::RequestTaken { .. }) {
        out.push_str(
            "  its first events are no longer kept: what led up to the first line is unknown\n",
        );
    }
    let mut vm = "";
    for event in relevant_events(timeline, &own) {
        if event.vm != vm {
            let _ = writeln!(out, "  on {}:", text::clean(&event.vm));
            vm = &event.vm;
        }
        let after_ms = event.stamp.wall_ms().saturating_sub(start_ms);
        let after = format!("+{after_ms} ms");
        let _ = writeln!(out, "  {after:>10}  {}", sentence(&event.kind));
    }
    let _ = writeln!(out, "  began {}", moment::full_text(start_ms));
    let _ = writeln!(out, "outcome: {}", outcome_text(&own));
    for gap in timeline.gaps.iter().filter(|gap| may_hide(gap, start_ms)) {
        let _ = writeln!(out, "caution: {}", text::gap_text(gap));
    }
    Some(out)
}

/// Selects the events of the request and, in its time range, those of the servers that it used.
fn relevant_events<'a>(
    timeline: &'a merge::MergedTimeline,
    own: &[&event::Event],
) -> impl Iterator<Item = &'a event::Event> {
    let servers: collections::BTreeSet<String> = own
        .iter()
        .filter_map(|event| event.kind.server())
        .map(str::to_owned)
        .collect();
    let request = own.first().and_then(|event| event.request);
    let window = own.first().map(|event| event.stamp)..=own.last().map(|event| event.stamp);
    timeline.events.iter().filter(move |event| {
        let is_cause = event.request.is_none()
            && server_sentence(&event.kind).is_some()
            && event
                .kind
                .server()
                .is_some_and(|server| servers.contains(server));
        let is_own = event.request.is_some() && event.request == request;
        (is_own || is_cause) && window.contains(&Some(event.stamp))
    })
}

/// Returns whether a gap may hide events of a request that began at `start_ms`.
fn may_hide(gap: &merge::TimelineGap, start_ms: u64) -> bool {
    match gap {
        merge::TimelineGap::Lost { up_to_ms, .. } => *up_to_ms >= start_ms,
        _ => true,
    }
}

fn outcome_text(own: &[&event::Event]) -> String {
    let attempts = own
        .iter()
        .filter(|event| matches!(event.kind, kind::EventKind::RequestDispatched { .. }))
        .count();
    let end = own.iter().rev().find(|event| is_end(&event.kind));
    let end_text = end.map_or_else(|| open_text(own), |event| sentence(&event.kind));
    let attempts_text = if attempts == 1 {
        "1 attempt".to_owned()
    } else {
        format!("{attempts} attempts")
    };
    format!(
        "{end_text}; {attempts_text}, {} waiting on entry VMs",
        moment::span_text(waited_ms(own))
    )
}

/// Time that the request waited on entry VMs, before its first attempt and between attempts.
fn waited_ms(own: &[&event::Event]) -> u64 {
    let mut since_ms = own.first().map(|event| event.stamp.wall_ms());
    let mut waited_ms = 0;
    for event in own {
        let now_ms = event.stamp.wall_ms();
        match &event.kind {
            kind::EventKind::RequestRetried { .. }
            | kind::EventKind::RequestPreempted { .. }
            | kind::EventKind::RequestTakenOver { .. } => since_ms = Some(now_ms),
            kind::EventKind::RequestDispatched { .. }
            | kind::EventKind::RequestRefused { .. }
            | kind::EventKind::RequestCancelled { .. } => {
                waited_ms += since_ms
                    .take()
                    .map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
            }
            _ => {}
        }
    }
    waited_ms
}

fn open_text(own: &[&event::Event]) -> String {
    let last = own.last().map_or("", |event| event.kind.name());
    format!("no end recorded (last event: {last})")
}

fn is_end(kind: &kind::EventKind) -> bool {
    matches!(
        kind,
        kind::EventKind::RequestFinished { .. }
            | kind::EventKind::RequestRefused { .. }
            | kind::EventKind::RequestCancelled { .. }
    )
}

const fn ran_text(ran: outcome::RanState) -> &'static str {
    match ran {
        outcome::RanState::No => "it did not run",
        outcome::RanState::Yes => "it ran",
        outcome::RanState::Unknown => "whether it ran is unknown",
    }
}

/// Describes an event in words.
fn sentence(kind: &kind::EventKind) -> String {
    let sentence = progress_sentence(kind)
        .or_else(|| setback_sentence(kind))
        .or_else(|| server_sentence(kind))
        .unwrap_or_else(|| plain_sentence(kind));
    text::clean(&sentence)
}

/// Describes events that advance a request.
fn progress_sentence(kind: &kind::EventKind) -> Option<String> {
    use kind::EventKind as Kind;
    let sentence = match kind {
        Kind::RequestTaken {
            organisation,
            target,
        } => format!("taken from {organisation} for {target}"),
        Kind::RequestClassified { class, reason } => format!("class {class}, by {reason}"),
        Kind::RequestAccepted { partition, offset } => {
            format!("accepted for later: on the log, partition {partition}, offset {offset}")
        }
        Kind::RequestQueued { ahead, reason, .. } => format!("waits behind {ahead}: {reason}"),
        Kind::RequestDispatched {
            server,
            attempt,
            candidates,
            waited_ms,
            reason,
        } => format!(
            "sent to {server} after {} (attempt {attempt}{}): {reason}",
            moment::span_text(*waited_ms),
            candidates_text(*candidates)
        ),
        Kind::RequestFirstToken { server, after_ms } => {
            let after = moment::span_text(*after_ms);
            format!("first token from {server} after {after}")
        }
        Kind::RequestFinished {
            tokens,
            after_ms,
            finish,
        } => {
            let after = moment::span_text(*after_ms);
            format!("complete answer, {tokens} tokens in {after} ({finish})")
        }
        _ => return None,
    };
    Some(sentence)
}

/// Describes events that delay a request or end it early.
fn setback_sentence(kind: &kind::EventKind) -> Option<String> {
    use kind::EventKind as Kind;
    let sentence = match kind {
        Kind::RequestRefused {
            ran,
            reason,
            retry_after_ms,
            ..
        } => {
            let retry = retry_text(*retry_after_ms);
            format!("refused, {}: {reason}{retry}", ran_text(*ran))
        }
        Kind::RequestRetried {
            server,
            attempt,
            ran,
            reason,
        } => format!(
            "attempt {attempt} on {server} failed, {}: {reason}",
            ran_text(*ran)
        ),
        Kind::RequestResumed {
            server,
            from_token,
            reason,
        } => format!("continued on {server} from token {from_token}: {reason}"),
        Kind::RequestPreempted {
            server,
            produced,
            reason,
        } => format!("stopped on {server} after {produced} tokens to free memory: {reason}"),
        Kind::RequestCancelled { ran, reason } => {
            format!("cancelled, {}: {reason}", ran_text(*ran))
        }
        Kind::RequestTakenOver { from_vm, offset } => {
            format!("taken over from {from_vm} by the claim at offset {offset}")
        }
        _ => return None,
    };
    Some(sentence)
}

/// Describes a state change of a backend server that the request used.
fn server_sentence(kind: &kind::EventKind) -> Option<String> {
    use kind::EventKind as Kind;
    let sentence = match kind {
        Kind::ServerSuspected { server, reason } => format!("({server} suspected: {reason})"),
        Kind::ServerDead { server, reason } => format!("({server} taken to be dead: {reason})"),
        Kind::ServerUp { server, reason } => format!("({server} answers: {reason})"),
        Kind::ServerLeaving { server, source } => format!("({server} is leaving, says {source})"),
        _ => return None,
    };
    Some(sentence)
}

/// Describes the number of candidates; empty when it is not recorded.
fn candidates_text(candidates: u32) -> String {
    match candidates {
        0 => String::new(),
        count => format!(", best of {count}"),
    }
}

fn retry_text(retry_after_ms: u64) -> String {
    if retry_after_ms == 0 {
        return String::new();
    }
    format!(
        "; told to retry after {}",
        moment::span_text(retry_after_ms)
    )
}

fn plain_sentence(kind: &kind::EventKind) -> String {
    let mut sentence = kind.name().replace('_', " ");
    for (name, value) in kind.fields() {
        let _ = write!(sentence, " {name}={value}");
    }
    sentence
}
