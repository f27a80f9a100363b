//! Marks backend servers and this VM as leaving.

use base::{ops, refusal};
use trace::kind;

use crate::state;

/// Marks the server or VM that `request` names as leaving.
///
/// # Errors
///
/// A refusal when the server is unknown, or when the named VM is not this one.
pub async fn mark(
    entry: &state::EntryState,
    request: &ops::DrainAsk,
    operator: &str,
) -> Result<ops::DrainAnswer, refusal::RefusalBody> {
    let answer = match request {
        ops::DrainAsk::Server(name) => mark_server(entry, name)?,
        ops::DrainAsk::Vm(name) => mark_vm(entry, name).await?,
    };
    if !answer.already {
        let subject = answer.subject.clone();
        log::info!(subject = subject.as_str(), operator = operator; "drain started");
        let source = format!("operator {operator}");
        entry
            .recorder
            .record(kind::EventKind::DrainStarted { subject, source });
    }
    Ok(answer)
}

fn mark_server(
    entry: &state::EntryState,
    name: &str,
) -> Result<ops::DrainAnswer, refusal::RefusalBody> {
    let snapshot = entry.active_config.snapshot();
    let Some(key) = snapshot.server_key(name) else {
        return Err(not_found(&format!(
            "there is no backend server \"{name}\" in the inventory"
        )));
    };
    let is_new = entry.roster.leave(key);
    Ok(ops::DrainAnswer {
        subject: name.to_owned(),
        already: !is_new,
        running: 0,
    })
}

/// Stops advertising this VM to callers; it continues to serve until its process is stopped.
async fn mark_vm(
    entry: &state::EntryState,
    name: &str,
) -> Result<ops::DrainAnswer, refusal::RefusalBody> {
    if name != entry.settings.vm {
        let message = format!(
            "this is \"{}\"; send the request to \"{name}\" itself",
            entry.settings.vm
        );
        return Err(not_found(&message));
    }
    let already = entry.is_leaving();
    entry.gossip.leave().await;
    let running = u32::try_from(entry.plane.gate().running()).unwrap_or(u32::MAX);
    Ok(ops::DrainAnswer {
        subject: name.to_owned(),
        already,
        running,
    })
}

fn not_found(message: &str) -> refusal::RefusalBody {
    refusal::RefusalBody::not_run(refusal::RefusalCode::NotFound, message)
}
