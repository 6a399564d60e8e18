//! Parsing of raw HTTP requests into checked requests.

use std::time::Duration;

use pondwalk_types::{RequestId, SessionId, TaskId, VersionId, WorkspaceId, refusal::BadRequest};
use serde_json::Value;

use crate::pins::Pin;

/// Header with the request id chosen by the caller.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the session id.
pub const SESSION_HEADER: &str = "pondwalk-session";
/// Request and response header with the session pin.
pub const SESSION_PIN_HEADER: &str = "pondwalk-session-pin";
/// Header with the kind of work.
pub const TASK_HEADER: &str = "pondwalk-task";
/// Header with the time allowed, in milliseconds.
pub const DEADLINE_HEADER: &str = "pondwalk-deadline-ms";
/// Header that is `false` for a request that may run at most once.
pub const REPEATABLE_HEADER: &str = "pondwalk-repeatable";
/// Header that identifies repeated requests of a caller.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Task of requests without a task header.
pub const DEFAULT_TASK: &str = "chat";
/// Model name with which the router chooses the version.
pub const ANY_MODEL: &str = "auto";
/// Maximum length of a header value, except for the session pin.
const MAX_HEADER_VALUE_BYTES: usize = 256;
/// Maximum length of a session pin.
const MAX_PIN_BYTES: usize = 2_048;
/// Approximate number of JSON bytes per token.
const BYTES_PER_TOKEN: u64 = 4;
/// Maximum deadline of a caller: one day.
const MAX_DEADLINE_MS: u64 = 86_400_000;

/// An unchecked request; header names are in lower case.
#[derive(Debug, Clone, Default)]
pub struct RawRequest {
    /// The workspace of the caller's key.
    pub workspace: WorkspaceId,
    /// The headers that the entry reads.
    pub headers: Vec<(&'static str, String)>,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Service and path, if it calls a plain service.
    pub service: Option<(VersionId, String)>,
    /// Time allowed if the request states none.
    pub default_deadline: Duration,
}

/// A checked request.
#[derive(Debug, Clone, PartialEq)]
pub struct IncomingRequest {
    /// The request id.
    pub request: RequestId,
    /// The workspace of the caller.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub task: TaskId,
    /// The session id.
    pub session: Option<SessionId>,
    /// The session pin, not verified yet.
    pub raw_pin: Option<String>,
    /// The verified session pin.
    pub pin: Option<Pin>,
    /// Service and path, if it calls a plain service.
    pub service: Option<(VersionId, String)>,
    /// The version that the caller requests explicitly.
    pub version: Option<VersionId>,
    /// Estimated size of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Hash that identifies the cacheable prefix.
    pub prefix: Option<u64>,
    /// Time allowed.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Identifies repeated requests of the caller.
    pub idempotency_key: Option<String>,
    /// Whether the caller requested a streamed answer.
    pub streaming: bool,
    /// Whether the caller requested the usage event in the stream.
    pub include_usage: bool,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

impl TryFrom<RawRequest> for IncomingRequest {
    type Error = BadRequest;

    fn try_from(raw: RawRequest) -> Result<Self, BadRequest> {
        let chat = match raw.service {
            Some(_) => ChatFields::default(),
            None => ChatFields::try_from(raw.body.as_slice())?,
        };
        let session = raw.header_value(SESSION_HEADER, MAX_HEADER_VALUE_BYTES)?;
        let prefix = prefix_hash(session.as_deref(), &chat);
        Ok(IncomingRequest {
            request: raw
                .header_value(REQUEST_ID_HEADER, MAX_HEADER_VALUE_BYTES)?
                .unwrap_or_else(new_request_id),
            task: raw
                .header_value(TASK_HEADER, MAX_HEADER_VALUE_BYTES)?
                .unwrap_or_else(|| DEFAULT_TASK.to_owned()),
            raw_pin: raw.header_value(SESSION_PIN_HEADER, MAX_PIN_BYTES)?,
            pin: None,
            deadline: raw.deadline()?,
            repeatable: raw.repeatable()?,
            idempotency_key: raw.header_value(IDEMPOTENCY_KEY_HEADER, MAX_HEADER_VALUE_BYTES)?,
            session,
            prefix,
            version: chat.version,
            prompt_tokens: chat.prompt_tokens,
            streaming: chat.streaming,
            include_usage: chat.include_usage,
            workspace: raw.workspace,
            service: raw.service,
            content_type: raw.content_type,
            body: raw.body,
        })
    }
}

impl RawRequest {
    fn header_value(&self, name: &'static str, limit: usize) -> Result<Option<String>, BadRequest> {
        let value = self.headers.iter().find(|(header, _)| *header == name);
        match value {
            None => Ok(None),
            Some((_, text)) if text.is_empty() || text.len() > limit => {
                Err(BadRequest::Header(name.to_owned()))
            }
            Some((_, text)) => Ok(Some(text.clone())),
        }
    }

    fn deadline(&self) -> Result<Duration, BadRequest> {
        let Some(text) = self.header_value(DEADLINE_HEADER, MAX_HEADER_VALUE_BYTES)? else {
            return Ok(self.default_deadline);
        };
        let ms = text.parse().ok().filter(|ms| (1..=MAX_DEADLINE_MS).contains(ms));
        ms.map(Duration::from_millis).ok_or_else(|| BadRequest::Header(DEADLINE_HEADER.to_owned()))
    }

    fn repeatable(&self) -> Result<bool, BadRequest> {
        match self.header_value(REPEATABLE_HEADER, MAX_HEADER_VALUE_BYTES)?.as_deref() {
            None | Some("true") => Ok(true),
            Some("false") => Ok(false),
            Some(_) => Err(BadRequest::Header(REPEATABLE_HEADER.to_owned())),
        }
    }
}

/// The fields of a chat body that the router needs.
#[derive(Debug, Default)]
struct ChatFields {
    version: Option<VersionId>,
    prompt_tokens: u64,
    streaming: bool,
    include_usage: bool,
    /// The system message, shared by similar requests.
    system: Option<String>,
}

impl TryFrom<&[u8]> for ChatFields {
    type Error = BadRequest;

    fn try_from(body: &[u8]) -> Result<Self, BadRequest> {
        let body: Value = serde_json::from_slice(body).map_err(|_| BadRequest::Body)?;
        let messages = body.get("messages").and_then(Value::as_array).ok_or(BadRequest::Body)?;
        let model = body.get("model").and_then(Value::as_str).ok_or(BadRequest::Body)?;
        if messages.is_empty() {
            return Err(BadRequest::Body);
        }
        let length: usize =
            messages.iter().map(|message| message["content"].to_string().len()).sum();
        let system = messages.first().filter(|first| first["role"] == "system");
        Ok(ChatFields {
            version: parse_version(model)?,
            prompt_tokens: length as u64 / BYTES_PER_TOKEN,
            streaming: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            include_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
            system: system.map(|first| first["content"].to_string()),
        })
    }
}

/// Parses the model name: `auto`, or the full name of a version.
fn parse_version(model: &str) -> Result<Option<VersionId>, BadRequest> {
    if model == ANY_MODEL {
        return Ok(None);
    }
    if model.contains('/') && model.len() <= MAX_HEADER_VALUE_BYTES {
        return Ok(Some(model.to_owned()));
    }
    Err(BadRequest::UnknownModel(model.chars().take(MAX_HEADER_VALUE_BYTES).collect()))
}

/// Hashes the session id or the system message: requests that share one share a prefix.
fn prefix_hash(session: Option<&str>, chat: &ChatFields) -> Option<u64> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let text = session.or(chat.system.as_deref())?;
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    Some(hasher.finish())
}

fn new_request_id() -> RequestId {
    format!("{:032x}", rand::random::<u128>())
}
