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
    http::serve(address, gate, members, routes![list, faults]).await
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
