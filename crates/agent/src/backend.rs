//! HTTP client of the backend server.

mod chat;
mod service;
mod sse;

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

/// Response header with the rate limit of the backend server, in requests per second.
const RATE_LIMIT_HEADER: &str = "server-limit";
/// Request header with the request id.
const REQUEST_ID_HEADER: &str = "x-request-id";
/// Path of orders to the backend server.
const ORDERS_PATH: &str = "/v1/orders";
/// Service time assumed for a version before its first run.
const INITIAL_SERVICE_TIME: Duration = Duration::from_secs(1);

/// How a run ended at the backend server.
#[derive(Debug, Clone, PartialEq)]
pub enum BackendEnd {
    /// The run finished with a complete answer.
    Finished {
        /// Tokens used.
        usage: TokenUsage,
        /// Time that the server worked on it.
        service_time: Duration,
    },
    /// The backend server did not receive the request, or refused it before running it.
    NotRun(Refusal),
    /// The backend server refused the request and requested a backoff of this duration.
    BackoffRequested(Duration),
    /// The run failed or broke off; the request may have been executed.
    Failed(Refusal),
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
    /// Creates a client of the configured backend server.
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

    /// Runs a request and passes its frames to `emit`; dropping the future cancels the run.
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

    /// Sends an order with its fencing token, which some backend servers check.
    ///
    /// Fails with [`OrderRefusal::StaleFence`] on a conflict and with [`OrderRefusal::Backend`]
    /// on any other error.
    pub async fn send_order(&self, fence: u64, kind: &OrderKind) -> Result<(), OrderRefusal> {
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

    /// Expected service time of a version: a moving average of its runs.
    pub fn expected_service_time(&self, version: &VersionId) -> Duration {
        lock(&self.service_times).get(version).copied().unwrap_or(INITIAL_SERVICE_TIME)
    }

    /// Adds the service time of a run to the average of its version.
    pub fn learn_service_time(&self, version: &VersionId, service_time: Duration) {
        const GAIN: f64 = 0.1;
        let mut times = lock(&self.service_times);
        let mean = times.entry(version.clone()).or_insert(service_time);
        *mean = mean.mul_f64(1.0 - GAIN) + service_time.mul_f64(GAIN);
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// The rate limit reported by the server, if any.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        lock(&self.limit).limit()
    }

    /// Applies the rate limit reported in the response to a request sent at `sent_at`.
    fn receive_limit(&self, response: &Response, sent_at: Duration) {
        let reported = match response.headers().get(RATE_LIMIT_HEADER) {
            None if response.status().is_success() => ReportedRateLimit::NoLimit,
            None => ReportedRateLimit::NotReported,
            Some(value) => {
                let limit = value.to_str().ok().and_then(|text| RateLimit::try_from(text).ok());
                limit.map_or(ReportedRateLimit::NotReported, ReportedRateLimit::Limit)
            }
        };
        if lock(&self.limit).apply_reported(reported, sent_at, self.started.elapsed()) {
            let per_s = self.rate_limit().map_or(f64::INFINITY, RateLimit::per_s);
            spdlog::warn!("the backend server's rate limit has changed", kv: { per_s });
        }
    }

    /// Sends a request and returns the head of the response.
    async fn send(&self, request: RequestBuilder) -> Result<Response, BackendEnd> {
        let sent_at = self.started.elapsed();
        let result =
            tokio::time::timeout(self.idle_timeout, with_trace_context(request).send()).await;
        match result {
            Ok(Ok(response)) => {
                self.receive_limit(&response, sent_at);
                check_status(response)
            }
            // NB: if the connection failed, no byte of the request was sent.
            Ok(Err(error)) if error.is_connect() => Err(BackendEnd::NotRun(Refusal::ContactLost)),
            Ok(Err(_)) => Err(BackendEnd::Failed(Refusal::ContactLost)),
            Err(_) => Err(BackendEnd::Failed(Refusal::Cut)),
        }
    }
}

fn check_status(response: Response) -> Result<Response, BackendEnd> {
    /// Retry delay of callers if the server requests none.
    const DEFAULT_RETRY_AFTER_MS: u64 = 500;
    match response.status() {
        // NB: by the semantics of HTTP, a request answered with 429 was not executed.
        StatusCode::TOO_MANY_REQUESTS => {
            let retry_after =
                response.headers().get(RETRY_AFTER).and_then(|value| value.to_str().ok());
            Err(match retry_after.and_then(parse_retry_after) {
                Some(backoff) => BackendEnd::BackoffRequested(backoff),
                None => {
                    let retry_after_ms = DEFAULT_RETRY_AFTER_MS;
                    BackendEnd::NotRun(Refusal::Overloaded { retry_after_ms })
                }
            })
        }
        status if status.is_server_error() => Err(BackendEnd::Failed(Refusal::BackendFailed)),
        _ => Ok(response),
    }
}

/// Adds the W3C trace context of the current span to the request headers.
fn with_trace_context(request: RequestBuilder) -> RequestBuilder {
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
