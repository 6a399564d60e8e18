//! Running requests on the backend server, over HTTP.

mod chat;
mod events;
mod service;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

use pondwalk_config::{AgentSettings, agent::BackendKind};
use pondwalk_decide::direct::{RateLimit, RateLimitState, ReportedRateLimit};
use pondwalk_threads::lock;
use pondwalk_types::{Refusal, TokenUsage, VersionId, Work, parse_retry_after};
use pondwalk_wire::{FrameKind, OrderKind, OrderRefusal, StartRequest};
use reqwest::{RequestBuilder, Response, StatusCode, header::RETRY_AFTER};
use tracing::Instrument;

/// Header in which a backend server names how many requests a second it takes.
const LIMIT_HEADER: &str = "server-limit";
/// Header that carries the request's id to the backend server.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Where the backend server takes orders.
const ORDERS_PATH: &str = "/v1/orders";
/// Service time expected of a version before its first run.
const FIRST_SERVICE: Duration = Duration::from_secs(1);

/// How a run ended at the backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum BackendEnd {
    /// The answer is whole.
    Whole {
        /// Tokens used.
        usage: TokenUsage,
        /// Time the server worked on it.
        service: Duration,
    },
    /// The backend server never got the request, or said that it did not run it.
    NotRun(Refusal),
    /// It did not run it, and wants nothing for so long.
    AskedBackoff(Duration),
    /// It failed or broke off, and may have run.
    Broken(Refusal),
}

/// The backend server beside this agent.
#[derive(Debug)]
pub struct Backend {
    address: SocketAddr,
    kind: BackendKind,
    idle_timeout: Duration,
    client: reqwest::Client,
    service_times: Mutex<HashMap<VersionId, Duration>>,
    started: Instant,
    limit: Mutex<RateLimitState>,
}

impl Backend {
    /// A client of the backend server that the settings name.
    pub fn new(settings: &AgentSettings) -> Self {
        Backend {
            address: settings.backend,
            kind: settings.kind,
            idle_timeout: settings.idle_timeout,
            client: reqwest::Client::new(),
            service_times: Mutex::default(),
            started: Instant::now(),
            limit: Mutex::default(),
        }
    }

    /// Runs a request and hands its frames to `emit`; dropping the future cancels the run.
    pub async fn run(&self, request: &StartRequest, emit: impl Fn(FrameKind)) -> BackendEnd {
        let span = tracing::info_span!("backend_server", version = request.work.version().as_str());
        let run = async {
            match (&request.work, self.kind) {
                (Work::Chat(_), BackendKind::Engine) => self.chat(request, emit).await,
                (Work::Service { path, .. }, BackendKind::Service) => {
                    self.call_service(request, path, emit).await
                }
                _ => BackendEnd::NotRun(Refusal::NoServer),
            }
        };
        run.instrument(span).await
    }

    /// Passes an order on; the server checks its fence if it is one that checks.
    pub async fn order(&self, fence: u64, kind: &OrderKind) -> Result<(), OrderRefusal> {
        let (action, version) = match kind {
            OrderKind::Load(version) => ("load", version),
            OrderKind::Unload(version) => ("unload", version),
        };
        let body = serde_json::json!({ "fence": fence, "action": action, "version": version });
        let post = self.client.post(self.url(ORDERS_PATH)).json(&body);
        match post.send().await {
            Ok(response) if response.status().is_success() => Ok(()),
            Ok(response) if response.status() == StatusCode::CONFLICT => {
                Err(OrderRefusal::StaleFence { seen: fence })
            }
            _ => Err(OrderRefusal::Backend),
        }
    }

    /// Time that a run of a version is expected to take.
    pub fn expected_service(&self, version: &VersionId) -> Duration {
        lock(&self.service_times).get(version).copied().unwrap_or(FIRST_SERVICE)
    }

    /// Takes in the time that a run took.
    pub fn learn_service(&self, version: &VersionId, service: Duration) {
        const GAIN: f64 = 0.1;
        let mut times = lock(&self.service_times);
        let mean = times.entry(version.clone()).or_insert(service);
        *mean = mean.mul_f64(1.0 - GAIN) + service.mul_f64(GAIN);
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// The rate limit that the server names, if it names one.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        lock(&self.limit).limit()
    }

    /// Takes in what an answer says of the rate limit, to a request sent at `sent`.
    fn hear_limit(&self, response: &Response, sent: Duration) {
        let word = match response.headers().get(LIMIT_HEADER) {
            None if response.status().is_success() => ReportedRateLimit::NoLimit,
            None => ReportedRateLimit::NotReported,
            Some(value) => {
                let limit = value.to_str().ok().and_then(|text| RateLimit::try_from(text).ok());
                limit.map_or(ReportedRateLimit::NotReported, ReportedRateLimit::Limit)
            }
        };
        if lock(&self.limit).apply_reported(word, sent, self.started.elapsed()) {
            let per_s = self.rate_limit().map_or(f64::INFINITY, RateLimit::per_s);
            spdlog::warn!("the backend server's rate limit has changed", kv: { per_s });
        }
    }

    /// Sends a request up to the head of its answer.
    async fn send(&self, request: RequestBuilder) -> Result<Response, BackendEnd> {
        let begun = self.started.elapsed();
        let sent = tokio::time::timeout(self.idle_timeout, traced(request).send()).await;
        match sent {
            Ok(Ok(response)) => {
                self.hear_limit(&response, begun);
                check_status(response)
            }
            // NB: without a connection no byte of the request was sent.
            Ok(Err(error)) if error.is_connect() => Err(BackendEnd::NotRun(Refusal::ContactLost)),
            Ok(Err(_)) => Err(BackendEnd::Broken(Refusal::ContactLost)),
            Err(_) => Err(BackendEnd::Broken(Refusal::Cut)),
        }
    }
}

fn check_status(response: Response) -> Result<Response, BackendEnd> {
    /// Pause for callers where the server asks for none, in milliseconds.
    const RETRY_AFTER_MS: u64 = 500;
    match response.status() {
        // NB: by its meaning in HTTP, 429 is an answer to a request that was not acted on.
        StatusCode::TOO_MANY_REQUESTS => {
            let asked = response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
            Err(match asked.and_then(parse_retry_after) {
                Some(asked) => BackendEnd::AskedBackoff(asked),
                None => {
                    let retry_after_ms = RETRY_AFTER_MS;
                    BackendEnd::NotRun(Refusal::Overloaded { retry_after_ms })
                }
            })
        }
        status if status.is_server_error() => Err(BackendEnd::Broken(Refusal::BackendFailed)),
        _ => Ok(response),
    }
}

/// Carries the span's W3C trace context on to the backend server.
fn traced(request: RequestBuilder) -> RequestBuilder {
    use opentelemetry::{global, propagation::Injector};
    use tracing_opentelemetry::OpenTelemetrySpanExt;

    #[derive(Default)]
    struct Headers(Vec<(String, String)>);

    impl Injector for Headers {
        fn set(&mut self, key: &str, value: String) {
            self.0.push((key.to_owned(), value));
        }
    }

    let mut headers = Headers::default();
    let context = tracing::Span::current().context();
    global::get_text_map_propagator(|p| p.inject_context(&context, &mut headers));
    headers.0.into_iter().fold(request, |request, (key, value)| request.header(key, value))
}
