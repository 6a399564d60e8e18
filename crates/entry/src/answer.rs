//! Answers: pieces on their way to the caller, and whole ones put together.

use bytes::Bytes;
use pondwalk_types::{Executed, Refusal, TokenUsage, VersionId};
use serde_json::{Map, Value, json};

/// One piece of an answer on its way to the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Piece {
    /// The answer starts.
    Open(Opening),
    /// One event of a chat, or a part of a service's body.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// There is no answer, or none any more.
    Fail(Failure),
}

/// What is known when an answer starts.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Opening {
    /// The version, or service, that answers.
    pub version: VersionId,
    /// The session's pin, to be sent along with its next request.
    pub pin: Option<String>,
    /// Whether the session had to start anew on another version.
    pub session_restarted: bool,
    /// Status and content type of a service's answer.
    pub head: Option<(u16, String)>,
}

/// Why there is no whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The reason.
    pub refusal: Refusal,
    /// Whether any of it ran.
    pub ran: Executed,
}

impl Failure {
    /// A refusal of something that has truly not run.
    pub fn not_run(refusal: Refusal) -> Self {
        Failure { refusal, ran: Executed::No }
    }
}

/// An answer as its run brought it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The version, or service, that gave it.
    pub version: VersionId,
    /// The server that gave it.
    pub server: String,
    /// Status and content type of a service's answer.
    pub head: Option<(u16, String)>,
    /// Events of a chat, or parts of a service's body.
    pub parts: Vec<Bytes>,
    /// Tokens used.
    pub usage: TokenUsage,
}

impl Answer {
    /// The generated text, for rating.
    pub fn text(&self) -> String {
        let whole = assemble(&self.parts);
        let content = whole.pointer("/choices/0/message/content").and_then(Value::as_str);
        content.unwrap_or_default().to_owned()
    }
}

/// Puts the events of a streamed chat together to one whole reply.
///
/// Texts of the same field are joined; lists are merged by their items' `index`; other values
/// are replaced by later ones. So nothing that an engine sends is lost.
pub fn assemble(events: &[Bytes]) -> Value {
    let mut whole = Map::new();
    let mut choices: Vec<Value> = Vec::new();
    for event in events {
        let Ok(Value::Object(mut event)) = serde_json::from_slice(event) else {
            continue;
        };
        if let Some(Value::Array(deltas)) = event.remove("choices") {
            deltas.into_iter().for_each(|delta| merge_choice(&mut choices, delta));
        }
        whole.extend(event.into_iter().filter(|(_, value)| !value.is_null()));
    }
    whole.insert("object".into(), json!("chat.completion"));
    whole.insert("choices".into(), Value::Array(choices));
    Value::Object(whole)
}

fn merge_choice(choices: &mut Vec<Value>, mut chunk: Value) {
    let index = chunk["index"].as_u64().unwrap_or(0) as usize;
    const MOST_CHOICES: usize = 128;
    if index >= MOST_CHOICES {
        return;
    }
    while choices.len() <= index {
        let index = choices.len();
        let message = json!({ "role": "assistant", "content": "" });
        choices.push(json!({ "index": index, "message": message, "finish_reason": null }));
    }
    let delta = chunk["delta"].take();
    merge(&mut choices[index]["message"], delta);
    if !chunk["finish_reason"].is_null() {
        choices[index]["finish_reason"] = chunk["finish_reason"].take();
    }
}

fn merge(whole: &mut Value, delta: Value) {
    match (whole, delta) {
        (Value::Object(whole), Value::Object(delta)) => {
            for (key, value) in delta {
                merge_field(whole, key, value);
            }
        }
        (Value::Array(whole), Value::Array(delta)) => {
            delta.into_iter().for_each(|item| merge_item(whole, item));
        }
        (_, Value::Null) => {}
        (whole, delta) => *whole = delta,
    }
}

fn merge_field(whole: &mut Map<String, Value>, key: String, value: Value) {
    const WHOLE_FIELDS: [&str; 4] = ["role", "id", "type", "index"];
    match (whole.get_mut(&key), value) {
        (_, Value::Null) => {}
        (Some(Value::String(text)), Value::String(more))
            if !WHOLE_FIELDS.contains(&key.as_str()) =>
        {
            text.push_str(&more);
        }
        (Some(known), value) => merge(known, value),
        (None, value) => drop(whole.insert(key, value)),
    }
}

fn merge_item(whole: &mut Vec<Value>, item: Value) {
    let index = item.get("index").and_then(Value::as_u64);
    let known = whole
        .iter_mut()
        .find(|known| index.is_some() && known.get("index").and_then(Value::as_u64) == index);
    match known {
        Some(known) => merge(known, item),
        None => whole.push(item),
    }
}
