//! Chat completions on a model engine, always requested as a stream.

use std::time::Duration;

use futures::StreamExt;
use pondwalk_types::{Refusal, TokenUsage};
use pondwalk_wire::{FrameKind, StartRequest};
use reqwest::Response;
use serde_json::Value;
use tokio::time::Instant;

use super::{Backend, BackendEnd, REQUEST_ID_HEADER, sse::SseParser};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Last event of a complete answer.
const DONE: &str = "[DONE]";

impl Backend {
    /// Runs a chat; each event of the answer becomes a data frame.
    pub(super) async fn chat(
        &self,
        request: &StartRequest,
        emit: impl Fn(FrameKind),
    ) -> BackendEnd {
        let started = Instant::now();
        let Some(body) = engine_body(request) else {
            return BackendEnd::NotRun(Refusal::BackendFailed);
        };
        let post = self
            .client
            .post(self.url(CHAT_PATH))
            .header("content-type", "application/json")
            .header(REQUEST_ID_HEADER, &request.request)
            .body(body);
        let response = match self.send(post).await {
            Ok(response) if response.status().is_success() => response,
            Ok(_) => return BackendEnd::Failed(Refusal::BackendFailed),
            Err(end) => return end,
        };
        self.relay(response, request.prompt_tokens, started, emit).await
    }

    async fn relay(
        &self,
        response: Response,
        prompt_tokens: u64,
        started: Instant,
        emit: impl Fn(FrameKind),
    ) -> BackendEnd {
        let mut stream = response.bytes_stream();
        let mut parser = SseParser::default();
        let mut usage = UsageCount { prompt_tokens, ..UsageCount::default() };
        loop {
            let chunk = match tokio::time::timeout(self.idle_timeout, stream.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                _ => return BackendEnd::Failed(Refusal::Cut),
            };
            parser.push(&chunk);
            while let Some(event) = parser.next_event() {
                if event == DONE.as_bytes() {
                    return finished(usage, started.elapsed());
                }
                usage.read(&event);
                emit(FrameKind::Data(event));
            }
        }
    }
}

fn finished(usage: UsageCount, service_time: Duration) -> BackendEnd {
    BackendEnd::Finished { usage: usage.total(), service_time }
}

/// The caller's body with the model set and with streaming and usage events enabled.
fn engine_body(request: &StartRequest) -> Option<Vec<u8>> {
    let mut body: Value = serde_json::from_slice(&request.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("model".into(), request.work.version().as_str().into());
    fields.insert("stream".into(), true.into());
    fields.insert("stream_options".into(), serde_json::json!({ "include_usage": true }));
    serde_json::to_vec(&body).ok()
}

/// Token usage as reported by the engine, or counted by events if there is no report.
#[derive(Debug, Default)]
struct UsageCount {
    prompt_tokens: u64,
    event_count: u64,
    reported: Option<TokenUsage>,
}

impl UsageCount {
    fn read(&mut self, event: &[u8]) {
        const USAGE: &[u8] = b"\"usage\":{";
        const SPACED_USAGE: &[u8] = b"\"usage\": {";
        self.event_count += 1;
        // NB: usage is in a single event of an answer, so other events are not parsed.
        let contains = |needle: &[u8]| event.windows(needle.len()).any(|window| window == needle);
        if contains(USAGE) || contains(SPACED_USAGE) {
            self.reported = serde_json::from_slice(event).ok().and_then(reported_usage);
        }
    }

    fn total(self) -> TokenUsage {
        let counted =
            TokenUsage { prompt_tokens: self.prompt_tokens, output_tokens: self.event_count };
        self.reported.unwrap_or(counted)
    }
}

fn reported_usage(event: Value) -> Option<TokenUsage> {
    let usage = event.get("usage")?;
    Some(TokenUsage {
        prompt_tokens: usage.get("prompt_tokens")?.as_u64()?,
        output_tokens: usage.get("completion_tokens")?.as_u64()?,
    })
}
