//! Chat completions on a model engine, always streamed.

use std::time::Duration;

use futures::StreamExt;
use pondwalk_types::{Refusal, TokenUsage};
use pondwalk_wire::{FrameKind, StartRequest};
use reqwest::Response;
use serde_json::Value;
use tokio::time::Instant;

use super::{Backend, BackendEnd, REQUEST_ID_HEADER, events::Events};

const CHAT_PATH: &str = "/v1/chat/completions";
/// Last event of a whole answer.
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
            Ok(_) => return BackendEnd::Broken(Refusal::BackendFailed),
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
        let mut events = Events::default();
        let mut usage = UsageCount { prompt_tokens, ..UsageCount::default() };
        loop {
            let chunk = match tokio::time::timeout(self.idle_timeout, stream.next()).await {
                Ok(Some(Ok(chunk))) => chunk,
                _ => return BackendEnd::Broken(Refusal::Cut),
            };
            events.push(&chunk);
            while let Some(event) = events.next_event() {
                if event == DONE.as_bytes() {
                    return whole(usage, started.elapsed());
                }
                usage.read(&event);
                emit(FrameKind::Data(event));
            }
        }
    }
}

fn whole(usage: UsageCount, service: Duration) -> BackendEnd {
    BackendEnd::Whole { usage: usage.total(), service }
}

/// The caller's body with streaming and usage switched on and the version filled in.
fn engine_body(request: &StartRequest) -> Option<Vec<u8>> {
    let mut body: Value = serde_json::from_slice(&request.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("model".into(), request.work.version().as_str().into());
    fields.insert("stream".into(), true.into());
    fields.insert("stream_options".into(), serde_json::json!({ "include_usage": true }));
    serde_json::to_vec(&body).ok()
}

/// Tokens as the engine reports them, or counted by events if it does not.
#[derive(Debug, Default)]
struct UsageCount {
    prompt_tokens: u64,
    events: u64,
    reported: Option<TokenUsage>,
}

impl UsageCount {
    fn read(&mut self, event: &[u8]) {
        const USAGE: &[u8] = b"\"usage\":{";
        const SPACED: &[u8] = b"\"usage\": {";
        self.events += 1;
        // NB: only one event of an answer carries usage, so the others are not parsed.
        let holds = |needle: &[u8]| event.windows(needle.len()).any(|window| window == needle);
        if holds(USAGE) || holds(SPACED) {
            self.reported = serde_json::from_slice(event).ok().and_then(reported_usage);
        }
    }

    fn total(self) -> TokenUsage {
        let counted = TokenUsage { prompt_tokens: self.prompt_tokens, output_tokens: self.events };
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
