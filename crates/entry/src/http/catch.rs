//! Refusal bodies for errors that Rocket raises itself.

use base::refusal;

use crate::http::answer;

type CompleteAnswer = answer::HttpAnswer<answer::CompleteBody>;

/// Catchers for every status that Rocket raises itself.
#[must_use]
pub fn catchers() -> Vec<rocket::Catcher> {
    rocket::catchers![not_found, any]
}

#[rocket::catch(404)]
fn not_found(request: &rocket::Request<'_>) -> CompleteAnswer {
    let message = format!(
        "{} {} is not served here; see docs/INTERFACES.md",
        request.method(),
        request.uri().path()
    );
    answer::HttpAnswer::refusal(refusal::RefusalBody::not_run(
        refusal::RefusalCode::NotFound,
        message,
    ))
}

#[rocket::catch(default)]
fn any(status: rocket::http::Status, _request: &rocket::Request<'_>) -> CompleteAnswer {
    let code = match status.code {
        500.. => refusal::RefusalCode::Internal,
        413 => refusal::RefusalCode::TooLarge,
        _ => refusal::RefusalCode::BadRequest,
    };
    let message = format!("the request was refused with status {status}; check its form");
    let mut body = refusal::RefusalBody::not_run(code, message);
    if code == refusal::RefusalCode::Internal {
        // The failed handler may have started the request.
        body = body.ran(base::outcome::RanState::Unknown);
    }
    let mut answer = answer::HttpAnswer::refusal(body);
    answer.status = status.code;
    answer
}
