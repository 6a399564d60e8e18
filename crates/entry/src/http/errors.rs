//! Failures as JSON responses.

use poem::{
    Response,
    http::{StatusCode, header},
};
use pondwalk_types::{Executed, Refusal, refusal::BadRequest};
use serde_json::{Value, json};

use crate::answer::Failure;

/// Retry delay if the refusal states none.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// The JSON body of a failure.
pub fn body(failure: &Failure) -> Value {
    let executed = match failure.executed {
        Executed::No => json!(false),
        Executed::Yes => json!(true),
        Executed::Unknown => json!("unknown"),
    };
    json!({
        "error": {
            "code": failure.refusal.code(),
            "message": failure.refusal.to_string(),
            "type": "pondwalk_error",
        },
        "ran": executed,
    })
}

/// The HTTP response of a failure.
pub fn response(failure: &Failure) -> Response {
    let status = status(&failure.refusal, failure.executed);
    let mut builder = Response::builder().status(status).content_type("application/json");
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = retry_after_ms(&failure.refusal).div_ceil(1_000);
        builder = builder.header(header::RETRY_AFTER, seconds.to_string());
    }
    builder.body(body(failure).to_string())
}

fn retry_after_ms(refusal: &Refusal) -> u64 {
    match refusal {
        Refusal::Overloaded { retry_after_ms } => *retry_after_ms,
        _ => DEFAULT_RETRY_AFTER_MS,
    }
}

fn status(refusal: &Refusal, executed: Executed) -> StatusCode {
    match refusal {
        Refusal::UnknownCaller => StatusCode::UNAUTHORIZED,
        Refusal::VersionNotAllowed(_) | Refusal::TaskNotAllowed | Refusal::BadSessionPin => {
            StatusCode::FORBIDDEN
        }
        Refusal::BadRequest(BadRequest::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
        Refusal::BadRequest(BadRequest::TooSlow) => StatusCode::REQUEST_TIMEOUT,
        Refusal::BadRequest(_) => StatusCode::BAD_REQUEST,
        Refusal::SpendCap => StatusCode::PAYMENT_REQUIRED,
        Refusal::DuplicateKey | Refusal::VersionWithdrawn(_) | Refusal::VersionRetiring(_) => {
            StatusCode::CONFLICT
        }
        _ if executed == Executed::No => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    }
}
