//! Admin listener that switches faults of all stand-ins of a process, including those that are down
//! and have no listener of their own.

use std::{net, sync};

use rocket::{State, data, get, post, routes};

use crate::{fleet, gate, http};

type Members = sync::Arc<Vec<fleet::FleetMember>>;

/// Serves the admin routes for `members` on `address` (port 0: any free port).
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve(
    members: Vec<fleet::FleetMember>,
    address: net::SocketAddr,
) -> Result<http::RunningServer, http::ServeError> {
    let members: Members = sync::Arc::new(members);
    let gate = gate::LinkGate::default();
    http::serve(address, gate, members, routes![list, faults, power_loss]).await
}

/// Entry of a stand-in in the answer of `GET /admin/members`.
#[derive(serde::Serialize)]
struct MemberAnswer<'a> {
    name: &'a str,
    kind: &'a str,
    address: net::SocketAddr,
}

/// Body of `POST /admin/faults`.
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
struct FaultCall {
    /// Name of the stand-in.
    target: String,
    /// A fault that this kind of stand-in supports.
    fault: serde_json::Value,
}

/// Body of `POST /admin/power-loss`.
#[derive(serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
struct PowerLossCall {
    /// Time in milliseconds until the servers are back.
    down_ms: u64,
    /// Age in milliseconds of the copy that the log comes back from, if its disks are lost too.
    #[serde(default)]
    log_age_ms: Option<u64>,
}

#[get("/admin/members")]
fn list(members: &State<Members>) -> http::JsonReply {
    let answers = members.iter().map(|member| MemberAnswer {
        name: &member.name,
        kind: member.handle.kind(),
        address: member.address,
    });
    http::json(200, &answers.collect::<Vec<MemberAnswer<'_>>>())
}

#[post("/admin/faults", data = "<body>")]
async fn faults(body: data::Data<'_>, members: &State<Members>) -> http::JsonReply {
    let call: FaultCall = match http::read_json(body).await {
        Ok(call) => call,
        Err(reply) => return reply,
    };
    let Some(member) = members.iter().find(|member| member.name == call.target) else {
        let message = format!("unknown stand-in \"{}\"; see /admin/members", call.target);
        return http::error(404, "not_found", &message);
    };
    match member.handle.apply(call.fault.clone()) {
        Ok(()) => {
            log::info!(target_name = member.name, fault:% = call.fault; "fault switched");
            http::json(200, &call)
        }
        Err(cause) => {
            let kind = member.handle.kind();
            let message = format!(
                "invalid fault for a stand-in of kind \"{kind}\": {cause}; see docs/STAND-INS.md"
            );
            http::error(400, "bad_request", &message)
        }
    }
}

/// Lets all engines and plain servers lose power at the same moment.
#[post("/admin/power-loss", data = "<body>")]
async fn power_loss(body: data::Data<'_>, members: &State<Members>) -> http::JsonReply {
    let call: PowerLossCall = match http::read_json(body).await {
        Ok(call) => call,
        Err(reply) => return reply,
    };
    for member in members.iter() {
        let fault = match (member.handle.kind(), call.log_age_ms) {
            ("engine" | "service", _) => {
                serde_json::json!({"fault": "crash", "down_ms": call.down_ms})
            }
            ("log", Some(age_ms)) => serde_json::json!({"fault": "restore", "age_ms": age_ms}),
            _ => continue,
        };
        if let Err(cause) = member.handle.apply(fault) {
            let message = format!("stand-in \"{}\" did not lose power: {cause}", member.name);
            return http::error(500, "internal", &message);
        }
    }
    log::info!(down_ms = call.down_ms, log_age_ms:? = call.log_age_ms; "power lost");
    http::json(200, &call)
}
