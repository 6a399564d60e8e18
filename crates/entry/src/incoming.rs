//! Requests from raw HTTP input to checked values.

use std::time::Duration;

use pondwalk_types::{RequestId, SessionId, TaskId, VersionId, WorkspaceId, refusal::BadRequest};
use serde_json::Value;

use crate::pins::Pin;

/// Name of a caller's own id for its request.
pub const REQUEST_ID: &str = "x-request-id";
/// Names the conversation.
pub const SESSION: &str = "pondwalk-session";
/// Carries the session's pin, both ways.
pub const SESSION_PIN: &str = "pondwalk-session-pin";
/// Names the kind of work.
pub const TASK: &str = "pondwalk-task";
/// Time allowed, in milliseconds.
pub const DEADLINE_MS: &str = "pondwalk-deadline-ms";
/// `false` for a request that may run at most once.
pub const REPEATABLE: &str = "pondwalk-repeatable";
/// Marks the caller's own repeats.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Task of a request that names none.
pub const DEFAULT_TASK: &str = "chat";
/// Model name that leaves the choice to pondwalk.
pub const ANY_MODEL: &str = "auto";
/// Longest value of any of these headers.
const HEADER_LIMIT: usize = 256;
/// Longest pin.
const PIN_LIMIT: usize = 2_048;
/// Bytes of JSON that make about one token.
const BYTES_PER_TOKEN: u64 = 4;
/// Longest deadline that a caller may state.
const LONGEST_DEADLINE_MS: u64 = 86_400_000;

/// A request as it came, header names in lower case.
#[derive(Debug, Clone, Default)]
pub struct RawRequest {
    /// The workspace that the caller's key belongs to.
    pub workspace: WorkspaceId,
    /// Headers of interest.
    pub headers: Vec<(&'static str, String)>,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
    /// Service and path, if it calls a plain service.
    pub service: Option<(VersionId, String)>,
    /// Deadline if the caller states none.
    pub default_deadline: Duration,
}

/// A checked request.
#[derive(Debug, Clone, PartialEq)]
pub struct Incoming {
    /// Its id.
    pub request: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub task: TaskId,
    /// Conversation.
    pub session: Option<SessionId>,
    /// The session's pin, still to be verified.
    pub pin_text: Option<String>,
    /// The verified pin.
    pub pin: Option<Pin>,
    /// Service and path, if it calls a plain service.
    pub service: Option<(VersionId, String)>,
    /// The version that the caller insists on.
    pub version: Option<VersionId>,
    /// Size of the prompt.
    pub prompt_tokens: u64,
    /// Fingerprint of the cacheable prefix.
    pub prefix: Option<u64>,
    /// Time allowed.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Marks the caller's own repeats.
    pub idempotency_key: Option<String>,
    /// Whether the caller wants tokens as they come.
    pub streaming: bool,
    /// Whether the caller wants the usage event in its stream.
    pub wants_usage: bool,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

impl TryFrom<RawRequest> for Incoming {
    type Error = BadRequest;

    fn try_from(raw: RawRequest) -> Result<Self, BadRequest> {
        let chat = match raw.service {
            Some(_) => ChatFields::default(),
            None => ChatFields::try_from(raw.body.as_slice())?,
        };
        let session = raw.text(SESSION, HEADER_LIMIT)?;
        let prefix = prefix(session.as_deref(), &chat);
        Ok(Incoming {
            request: raw.text(REQUEST_ID, HEADER_LIMIT)?.unwrap_or_else(new_request_id),
            task: raw.text(TASK, HEADER_LIMIT)?.unwrap_or_else(|| DEFAULT_TASK.to_owned()),
            pin_text: raw.text(SESSION_PIN, PIN_LIMIT)?,
            pin: None,
            deadline: raw.deadline()?,
            repeatable: raw.repeatable()?,
            idempotency_key: raw.text(IDEMPOTENCY_KEY, HEADER_LIMIT)?,
            session,
            prefix,
            version: chat.version,
            prompt_tokens: chat.prompt_tokens,
            streaming: chat.streaming,
            wants_usage: chat.wants_usage,
            workspace: raw.workspace,
            service: raw.service,
            content_type: raw.content_type,
            body: raw.body,
        })
    }
}

impl RawRequest {
    fn text(&self, name: &'static str, limit: usize) -> Result<Option<String>, BadRequest> {
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
        let Some(text) = self.text(DEADLINE_MS, HEADER_LIMIT)? else {
            return Ok(self.default_deadline);
        };
        let ms = text.parse().ok().filter(|ms| (1..=LONGEST_DEADLINE_MS).contains(ms));
        ms.map(Duration::from_millis).ok_or_else(|| BadRequest::Header(DEADLINE_MS.to_owned()))
    }

    fn repeatable(&self) -> Result<bool, BadRequest> {
        match self.text(REPEATABLE, HEADER_LIMIT)?.as_deref() {
            None | Some("true") => Ok(true),
            Some("false") => Ok(false),
            Some(_) => Err(BadRequest::Header(REPEATABLE.to_owned())),
        }
    }
}

/// What the decision needs of a chat's body.
#[derive(Debug, Default)]
struct ChatFields {
    version: Option<VersionId>,
    prompt_tokens: u64,
    streaming: bool,
    wants_usage: bool,
    /// Text of the system message, which callers of one kind share.
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
            version: version(model)?,
            prompt_tokens: length as u64 / BYTES_PER_TOKEN,
            streaming: body.get("stream").and_then(Value::as_bool).unwrap_or(false),
            wants_usage: body["stream_options"]["include_usage"].as_bool().unwrap_or(false),
            system: system.map(|first| first["content"].to_string()),
        })
    }
}

/// `auto` leaves the choice open; otherwise a version must be named in full.
fn version(model: &str) -> Result<Option<VersionId>, BadRequest> {
    if model == ANY_MODEL {
        return Ok(None);
    }
    if model.contains('/') && model.len() <= HEADER_LIMIT {
        return Ok(Some(model.to_owned()));
    }
    Err(BadRequest::UnknownModel(model.chars().take(HEADER_LIMIT).collect()))
}

/// The session's turns share their beginning; so do requests with the same system message.
fn prefix(session: Option<&str>, chat: &ChatFields) -> Option<u64> {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let text = session.or(chat.system.as_deref())?;
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    Some(hasher.finish())
}

fn new_request_id() -> RequestId {
    format!("{:032x}", rand::random::<u128>())
}
