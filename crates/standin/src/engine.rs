//! A model engine: chat completions over HTTP with server-sent events.
//!
//! Its answers start with the quality that they are to be rated with, as `[0.83]`, so that the
//! stand-in of the rating service can tell.

mod answer;

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use futures::stream;
use poem::{
    Body, EndpointExt, Request, Response, Route, handler,
    http::{StatusCode, header},
    post,
    web::Data,
};
use serde_json::Value;

use crate::listen::{Listening, listen};
use answer::Answer;

/// Header that carries the request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that names a rate limit.
const LIMIT_HEADER: &str = "server-limit";

/// How a version answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VersionProfile {
    /// Time to the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Tokens of an ordinary answer.
    pub tokens: u64,
    /// Mean quality of its answers, from 0 to 1.
    pub quality: f64,
}

/// How the engine misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineFaults {
    /// Factor on all times.
    pub slowness: f64,
    /// Factor on the quality of answers.
    pub quality: f64,
    /// Answers are refused with 503.
    pub refuse: bool,
    /// Answers fail with 500.
    pub fail: bool,
    /// Answers break off after this many tokens.
    pub cut_after: Option<u64>,
    /// Answers name this rate limit, in requests a second.
    pub limit_per_s: Option<f64>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        EngineFaults {
            slowness: 1.0,
            quality: 1.0,
            refuse: false,
            fail: false,
            cut_after: None,
            limit_per_s: None,
        }
    }
}

/// What became of a request at the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// It is still running, or its caller went away.
    Running,
    /// It ended whole.
    Completed,
    /// It failed or broke off.
    Failed,
}

/// One line of the engine's own log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineLogLine {
    /// Id of the request.
    pub request: String,
    /// Version that ran it.
    pub version: String,
    /// What became of it.
    pub status: RunStatus,
}

#[derive(Debug, Default)]
struct Shared {
    profiles: Mutex<BTreeMap<String, VersionProfile>>,
    faults: Mutex<EngineFaults>,
    log: Mutex<Vec<EngineLogLine>>,
    orders: Mutex<Orders>,
}

/// Orders accepted, and whether their fence is checked.
#[derive(Debug, Default)]
struct Orders {
    checks_fence: bool,
    highest_fence: u64,
    accepted: Vec<EngineOrder>,
}

/// One line of the engine's log of orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The fence it came with.
    pub fence: u64,
    /// `load` or `unload`.
    pub action: String,
    /// The version.
    pub version: String,
}

/// A listening engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    listening: Listening,
}

impl Engine {
    /// Starts an engine at an address that hosts the given versions.
    pub async fn start(
        address: SocketAddr,
        profiles: BTreeMap<String, VersionProfile>,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared { profiles: Mutex::new(profiles), ..Shared::default() });
        let route = Route::new()
            .at("/v1/chat/completions", post(complete))
            .at("/v1/orders", post(accept_order))
            .data(shared.clone());
        Ok(Engine { shared, listening: listen(address, route).await? })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Changes how it misbehaves.
    pub fn set_faults(&self, faults: EngineFaults) {
        *lock(&self.shared.faults) = faults;
    }

    /// Makes it check the fence of orders.
    pub fn enable_fence_check(&self) {
        lock(&self.shared.orders).checks_fence = true;
    }

    /// Orders that it carried out.
    pub fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.shared.orders).accepted.clone()
    }

    /// Its own log so far.
    pub fn log(&self) -> Vec<EngineLogLine> {
        lock(&self.shared.log).clone()
    }
}

#[handler]
async fn complete(request: &Request, body: Body, shared: Data<&Arc<Shared>>) -> Response {
    let faults = *lock(&shared.faults);
    if faults.refuse {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body: Value = body.into_json().await.unwrap_or_default();
    let version = body["model"].as_str().unwrap_or_default().to_owned();
    let Some(profile) = lock(&shared.profiles).get(&version).copied() else {
        return status(StatusCode::NOT_FOUND);
    };
    let id = request.header(REQUEST_ID_HEADER).unwrap_or_default().to_owned();
    let line = log_start(&shared, id, version.clone());
    if faults.fail {
        log_end(&shared, line, RunStatus::Failed);
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let answer = Answer::new(&body, version, profile, faults);
    let shared = Arc::clone(&shared);
    let events = stream::unfold(Some(answer), move |answer| {
        let shared = shared.clone();
        async move {
            let mut answer = answer?;
            let event = answer.next_event().await;
            if let Some(status) = answer.final_status() {
                log_end(&shared, line, status);
            }
            Some((event?, Some(answer)))
        }
    });
    let mut response = Response::builder().header(header::CONTENT_TYPE, "text/event-stream");
    if let Some(limit_per_s) = faults.limit_per_s {
        response = response.header(LIMIT_HEADER, limit_per_s.to_string());
    }
    response.body(Body::from_bytes_stream(events))
}

#[handler]
async fn accept_order(body: Body, shared: Data<&Arc<Shared>>) -> Response {
    let body: Value = body.into_json().await.unwrap_or_default();
    let order = EngineOrder {
        fence: body["fence"].as_u64().unwrap_or(0),
        action: body["action"].as_str().unwrap_or_default().to_owned(),
        version: body["version"].as_str().unwrap_or_default().to_owned(),
    };
    let mut orders = lock(&shared.orders);
    if orders.checks_fence && order.fence < orders.highest_fence {
        return status(StatusCode::CONFLICT);
    }
    orders.highest_fence = orders.highest_fence.max(order.fence);
    let mut profiles = lock(&shared.profiles);
    if order.action == "unload" {
        profiles.remove(&order.version);
    } else if let Some(profile) = profiles.values().next().copied() {
        profiles.entry(order.version.clone()).or_insert(profile);
    }
    orders.accepted.push(order);
    status(StatusCode::OK)
}

fn log_start(shared: &Shared, request: String, version: String) -> usize {
    let mut log = lock(&shared.log);
    log.push(EngineLogLine { request, version, status: RunStatus::Running });
    log.len() - 1
}

fn log_end(shared: &Shared, line: usize, status: RunStatus) {
    lock(&shared.log)[line].status = status;
}

fn status(status: StatusCode) -> Response {
    Response::builder().status(status).finish()
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
