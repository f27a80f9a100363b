//! Draining, placement and quarantine.

use std::fmt::Write as _;

use base::ops;
use snafu::OptionExt as _;
use tokio::time;
use trace::{moment, text};

use crate::{args, client, error, table};

const POLL_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Digits of a fingerprint shown in a table; commands accept them in place of the complete one.
const SHORT_FINGERPRINT_DIGITS: usize = 12;

/// Runs `pollenctl drain`.
///
/// # Errors
/// When no entry VM answers, or nothing has that name.
pub async fn drain(
    args: &args::DrainArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let request = match (&args.server, &args.vm) {
        (Some(server), None) => ops::DrainAsk::Server(server.clone()),
        (None, Some(vm)) => ops::DrainAsk::Vm(vm.clone()),
        _ => {
            let message = "say what to drain: either --server NAME or --vm NAME";
            return error::UsageSnafu { message }.fail();
        }
    };
    let answer = mark_leaving(&request, client).await?;
    let subject = text::clean(&answer.subject);
    let already = if answer.already { " already" } else { "" };
    let running = error::count_text(answer.running as usize, "request");
    let mut text = format!("{subject} is leaving{already}; {running} still run there\n");
    if !args.wait {
        return Ok(error::CommandOutput::success(text));
    }
    let deadline = time::Instant::now() + time::Duration::from_secs(args.timeout);
    loop {
        let status: ops::StatusBody = client.get("/ops/status?only=members,servers").await?;
        if is_drained(&status, &request) {
            let _ = writeln!(text, "nothing runs there any more");
            return Ok(error::CommandOutput::success(text));
        }
        if time::Instant::now() + POLL_INTERVAL >= deadline {
            return Ok(error::CommandOutput {
                text,
                error_text: "pollenctl: time is up and requests still run there; wait longer with \
                            --timeout\n"
                    .to_owned(),
                status: error::ExitStatus::TimedOut,
            });
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Marks a backend server or an entry VM as leaving. Any entry VM can mark a backend server; an
/// entry VM must receive the request itself, because only it can stop accepting its calls.
async fn mark_leaving(
    request: &ops::DrainAsk,
    client: &client::OpsClient,
) -> Result<ops::DrainAnswer, error::CtlError> {
    let ops::DrainAsk::Vm(name) = request else {
        return client.post("/ops/drain", request).await;
    };
    let status: ops::StatusBody = client.get("/ops/status?only=members").await?;
    let member = status.members.iter().find(|member| member.vm == *name);
    let member = member.with_context(|| {
        let known: Vec<&str> = status.members.iter().map(|it| it.vm.as_str()).collect();
        let known = known.join(", ");
        let message = format!("no entry VM is called {name:?}; there are: {known}");
        error::NotFoundSnafu { message }
    })?;
    client.post_to(&member.address, "/ops/drain", request).await
}

/// Returns whether the drained server or VM has no running work, in the view of one entry VM.
///
/// A backend server is idle when its own report says so. An entry VM ends its process after its
/// last answer, so it is drained when it no longer answers gossip.
#[must_use]
pub fn is_drained(status: &ops::StatusBody, request: &ops::DrainAsk) -> bool {
    match request {
        ops::DrainAsk::Server(name) => status
            .servers
            .iter()
            .find(|server| server.server == *name)
            .is_none_or(|server| {
                let is_idle = server.running == 0 && server.waiting == 0;
                server.state == ops::HealthState::Dead
                    || (server.state == ops::HealthState::Leaving && is_idle)
            }),
        ops::DrainAsk::Vm(name) => status
            .members
            .iter()
            .find(|member| member.vm == *name)
            .is_none_or(|member| member.state == ops::HealthState::Dead),
    }
}

/// Runs `pollenctl placement`.
///
/// # Errors
/// When no entry VM answers, or no model has that name.
pub async fn placement(
    args: &args::PlacementArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let status: ops::StatusBody = client.get("/ops/status?only=placement").await?;
    let is_wanted = |placement: &&ops::PlacementStatus| {
        args.model.as_ref().is_none_or(|it| *it == placement.model)
    };
    let wanted: Vec<&ops::PlacementStatus> = status.placement.iter().filter(is_wanted).collect();
    if let (Some(model), true) = (&args.model, wanted.is_empty()) {
        let known: Vec<&str> = status
            .placement
            .iter()
            .map(|it| it.model.as_str())
            .collect();
        let known = known.join(", ");
        let message = format!("no model is called {model:?}; there are: {known}");
        return error::NotFoundSnafu { message }.fail();
    }
    if args.json {
        return Ok(error::CommandOutput::success(format!(
            "{}\n",
            client::to_json(&wanted)?
        )));
    }
    let text: String = wanted.into_iter().map(placement_text).collect();
    let text = if text.is_empty() {
        "no model is in the inventory\n".to_owned()
    } else {
        text
    };
    Ok(error::CommandOutput::success(text))
}

fn placement_text(placement: &ops::PlacementStatus) -> String {
    let mut lines = vec![format!(
        "{} {}: ready on {} of at least {}",
        placement.model,
        placement.wanted_version,
        placement.ready.len(),
        placement.min_engines
    )];
    let groups = [
        ("ready", &placement.ready),
        ("loading", &placement.loading),
        ("other version", &placement.outdated),
    ];
    for (name, servers) in groups {
        if !servers.is_empty() {
            lines.extend(wrapped(&format!("  {name:<14}"), servers));
        }
    }
    if let Some(reason) = &placement.blocked {
        lines.push(format!("  held up by    {reason}"));
    }
    let fitted = lines
        .iter()
        .map(|line| table::fit(line, table::TERMINAL_COLUMNS) + "\n");
    fitted.collect()
}

/// Wraps `names` after `head` into as many lines as needed.
fn wrapped(head: &str, names: &[String]) -> Vec<String> {
    let mut lines = Vec::new();
    let mut line = head.to_owned();
    let indent = " ".repeat(head.len());
    for name in names {
        let is_full = table::columns(&line) + table::columns(name) >= table::TERMINAL_COLUMNS;
        if is_full && line.trim() != head.trim() && !line.trim().is_empty() {
            lines.push(line);
            line = indent.clone();
        }
        line.push_str(name);
        line.push(' ');
    }
    lines.push(line.trim_end().to_owned());
    lines
}

/// Runs `pollenctl quarantine`.
///
/// # Errors
/// When no entry VM answers, or nothing has that fingerprint.
pub async fn quarantine(
    args: &args::QuarantineArgs,
    client: &client::OpsClient,
) -> Result<error::CommandOutput, error::CtlError> {
    let body: ops::QuarantineBody = client.get("/ops/quarantine").await?;
    match &args.command {
        args::QuarantineCommand::List(list) if list.json => Ok(error::CommandOutput::success(
            format!("{}\n", client::to_json(&body)?),
        )),
        args::QuarantineCommand::List(_) => Ok(error::CommandOutput::success(list_text(&body))),
        args::QuarantineCommand::Lift(lift) => {
            let found = find(&body, &lift.fingerprint)?;
            let request = ops::LiftAsk {
                fingerprint: found.fingerprint,
            };
            let answer: ops::LiftAnswer = client.post("/ops/quarantine/lift", &request).await?;
            let what = if answer.lifted {
                "lifted"
            } else {
                "was lifted already"
            };
            let text = format!("{} {what}\n", found.fingerprint);
            Ok(error::CommandOutput::success(text))
        }
    }
}

fn find<'a>(
    body: &'a ops::QuarantineBody,
    digits: &str,
) -> Result<&'a ops::QuarantineStatus, error::CtlError> {
    let digits = digits.to_ascii_lowercase();
    let is_match = |entry: &&ops::QuarantineStatus| {
        !digits.is_empty() && entry.fingerprint.to_string().starts_with(&digits)
    };
    let mut matches = body.entries.iter().filter(is_match);
    let found = matches.next().with_context(|| error::NotFoundSnafu {
        message: format!(
            "nothing in quarantine has a fingerprint that begins with {digits:?}; see `pollenctl \
             quarantine list`"
        ),
    })?;
    if matches.next().is_some() {
        let message = format!("several fingerprints begin with {digits:?}; give more digits");
        return error::NotFoundSnafu { message }.fail();
    }
    Ok(found)
}

fn list_text(body: &ops::QuarantineBody) -> String {
    let head = [
        "fingerprint",
        "state",
        "deaths",
        "servers",
        "sent by",
        "expires in",
    ];
    let mut table = table::TextTable::new(&head);
    for entry in &body.entries {
        let state = match entry.state {
            ops::QuarantineState::Suspect => "suspect",
            ops::QuarantineState::Quarantined => "refused",
        };
        let mut digits = entry.fingerprint.to_string();
        digits.truncate(SHORT_FINGERPRINT_DIGITS);
        table.row(vec![
            digits,
            state.to_owned(),
            entry.deaths.to_string(),
            entry.servers.join(","),
            entry.organisation.clone(),
            moment::span_text(entry.left_ms),
        ]);
    }
    if table.is_empty() {
        return "nothing is in quarantine\n".to_owned();
    }
    table.render()
}
