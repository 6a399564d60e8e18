//! Health, readiness and status.

use std::sync::Arc;

use poem::{Response, handler, http::StatusCode, web::Data};
use serde_json::json;

use crate::core::Core;
use pondwalk_threads::lock;

/// Answers as long as the process runs.
#[handler]
pub fn healthz() -> &'static str {
    "ok"
}

/// Answers 200 only while the load balancer should send requests here.
#[handler]
pub fn readyz(core: Data<&Arc<Core>>) -> (StatusCode, &'static str) {
    if core.is_ready() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready")
    }
}

/// The state of the entry and of its agents.
#[handler]
pub fn status(core: Data<&Arc<Core>>) -> Response {
    let agents: Vec<_> = core
        .agents
        .all()
        .iter()
        .map(|link| {
            json!({
                "server": link.server(),
                "connected": link.is_connected(),
                "generation": link.generation(),
            })
        })
        .collect();
    let counters = lock(&core.router).counters();
    let trips: Vec<_> =
        lock(&core.router).tripped_versions().into_iter().map(|(version, _)| version).collect();
    let body = json!({
        "instance": core.settings.instance,
        "data_centre": core.settings.data_centre,
        "generation": core.generation(),
        "ready": core.is_ready(),
        "bills_not_durable": core.bills.backlog(),
        "escalations": counters.escalations,
        "retries": counters.retries,
        "refusals": counters.refusals,
        "session_restarts": counters.session_restarts,
        "tripped": trips,
        "agents": agents,
    });
    Response::builder().content_type("application/json").body(body.to_string())
}
