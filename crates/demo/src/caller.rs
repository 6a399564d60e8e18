//! A caller: sends requests as an ordinary HTTP client and returns the reply.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use futures::StreamExt;
use serde_json::{Value, json};

/// A request of a caller.
#[derive(Debug, Clone, Default)]
pub struct CallerRequest {
    /// Id of the request.
    pub request: String,
    /// The caller's key.
    pub key: String,
    /// Task of the request.
    pub task: String,
    /// Session name, and its pin if the session has one.
    pub session: Option<(String, Option<String>)>,
    /// Deadline, counted from sending.
    pub deadline: Duration,
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Key that identifies repeats by the caller.
    pub idempotency_key: Option<String>,
    /// Whether the answer is streamed.
    pub streaming: bool,
    /// Requested model; empty lets the entry choose.
    pub model: String,
    /// Service and path of a request to a plain service.
    pub service: Option<(String, String)>,
    /// Text of the prompt.
    pub prompt: String,
}

/// Reply that a caller received.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CallerReply {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// Text of the answer or of the error message.
    pub text: String,
    /// Whether the answer is complete, as far as the caller can see.
    pub complete: bool,
    /// Version that answered.
    pub version: Option<String>,
    /// Pin of the session.
    pub pin: Option<String>,
    /// Whether the session was restarted.
    pub restarted: bool,
    /// Value of `ran` in an error: whether the request ran.
    pub ran: Option<Value>,
    /// Error code, if any.
    pub code: Option<String>,
    /// Time to the first token.
    pub first_token: Duration,
    /// Time to the end of the answer.
    pub latency: Duration,
}

/// Sends a request to an entry and reads the reply; returns a default reply on failure or timeout.
pub async fn call(
    client: &reqwest::Client,
    entry: SocketAddr,
    request: &CallerRequest,
) -> CallerReply {
    let started = Instant::now();
    // Keeps demos and tests from hanging on an entry that does not answer.
    let timeout = request.deadline + Duration::from_secs(10);
    let result = tokio::time::timeout(timeout, exchange(client, entry, request, started)).await;
    let mut reply = result.ok().flatten().unwrap_or_default();
    reply.latency = started.elapsed();
    reply
}

async fn exchange(
    client: &reqwest::Client,
    entry: SocketAddr,
    request: &CallerRequest,
    started: Instant,
) -> Option<CallerReply> {
    let response = build(client, entry, request).send().await.ok()?;
    let header = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let mut reply = CallerReply {
        status: response.status().as_u16(),
        version: header("pondwalk-version"),
        pin: header("pondwalk-session-pin"),
        restarted: header("pondwalk-session-restarted").is_some(),
        ..CallerReply::default()
    };
    if !response.status().is_success() {
        let body: Value = response.json().await.unwrap_or_default();
        reply.ran = Some(body["ran"].clone());
        reply.code = body["error"]["code"].as_str().map(str::to_owned);
        reply.text = body["error"]["message"].as_str().unwrap_or_default().to_owned();
        return Some(reply);
    }
    if request.streaming && request.service.is_none() {
        read_stream(response, &mut reply, started).await;
    } else {
        read_whole(response, &mut reply, request.service.is_some()).await;
    }
    Some(reply)
}

fn build(
    client: &reqwest::Client,
    entry: SocketAddr,
    request: &CallerRequest,
) -> reqwest::RequestBuilder {
    let path = match &request.service {
        Some((service, path)) => format!("/v1/services/{service}{path}"),
        None => "/v1/chat/completions".to_owned(),
    };
    let model = if request.model.is_empty() { "auto" } else { &request.model };
    let body = json!({
        "model": model,
        "stream": request.streaming,
        "messages": [{ "role": "user", "content": request.prompt }],
    });
    let mut call = client
        .post(format!("http://{entry}{path}"))
        .header("authorization", format!("Bearer {}", request.key))
        .header("x-request-id", &request.request)
        .header("pondwalk-task", &request.task)
        .header("pondwalk-deadline-ms", request.deadline.as_millis().to_string())
        .header("pondwalk-repeatable", request.repeatable.to_string())
        .json(&body);
    if let Some(key) = &request.idempotency_key {
        call = call.header("idempotency-key", key);
    }
    if let Some((session, pin)) = &request.session {
        call = call.header("pondwalk-session", session);
        if let Some(pin) = pin {
            call = call.header("pondwalk-session-pin", pin);
        }
    }
    call
}

async fn read_whole(response: reqwest::Response, reply: &mut CallerReply, service: bool) {
    let Ok(body) = response.bytes().await else {
        return;
    };
    let Ok(value) = serde_json::from_slice::<Value>(&body) else {
        return;
    };
    let content = value.pointer("/choices/0/message/content").and_then(Value::as_str);
    reply.text = if service { value.to_string() } else { content.unwrap_or_default().to_owned() };
    reply.complete = service || value.pointer("/choices/0/finish_reason") == Some(&json!("stop"));
}

async fn read_stream(response: reqwest::Response, reply: &mut CallerReply, started: Instant) {
    let mut stream = response.bytes_stream();
    let mut text = String::new();
    while let Some(Ok(chunk)) = stream.next().await {
        text.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = text.find("\n\n") {
            let event: String = text.drain(..end + 2).collect();
            read_event(event.trim(), reply, started);
        }
    }
}

fn read_event(event: &str, reply: &mut CallerReply, started: Instant) {
    let data = event.strip_prefix("data: ").unwrap_or_default();
    if data == "[DONE]" {
        reply.complete = true;
        return;
    }
    let value: Value = serde_json::from_str(data).unwrap_or_default();
    if let Some(code) = value["error"]["code"].as_str() {
        reply.code = Some(code.to_owned());
        reply.ran = Some(value["ran"].clone());
    }
    if let Some(content) = value.pointer("/choices/0/delta/content").and_then(Value::as_str) {
        if reply.text.is_empty() {
            reply.first_token = started.elapsed();
        }
        reply.text.push_str(content);
    }
}
