//! Answers: events sent to the caller, and assembly of streamed chats.

use bytes::Bytes;
use pondwalk_types::{Executed, Refusal, TokenUsage, VersionId};
use serde_json::{Map, Value, json};

/// An event of an answer sent to the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerEvent {
    /// The answer starts.
    Start(AnswerHead),
    /// One chat event, or a part of the body of a service's response.
    Data(Bytes),
    /// The answer is complete.
    End,
    /// There is no answer, or it broke off.
    Fail(Failure),
}

/// Metadata of an answer, known at its start.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct AnswerHead {
    /// The version or service that answers.
    pub version: VersionId,
    /// The session pin, to be sent with the next request of the session.
    pub pin: Option<String>,
    /// Whether the session restarted on another version.
    pub session_restarted: bool,
    /// Status and content type of a service's response.
    pub head: Option<(u16, String)>,
}

/// The reason why a request has no complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Failure {
    /// The reason.
    pub refusal: Refusal,
    /// Whether any run was executed.
    pub executed: Executed,
}

impl Failure {
    /// A refusal of a request that was not executed.
    pub fn not_run(refusal: Refusal) -> Self {
        Failure { refusal, executed: Executed::No }
    }
}

/// The answer of one run.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Answer {
    /// The version or service that produced it.
    pub version: VersionId,
    /// The server that produced it.
    pub server: String,
    /// Status and content type of a service's response.
    pub head: Option<(u16, String)>,
    /// Chat events, or parts of the body of a service's response.
    pub parts: Vec<Bytes>,
    /// Tokens used.
    pub usage: TokenUsage,
}

impl Answer {
    /// The generated text, for rating.
    pub fn text(&self) -> String {
        let completion = assemble_chat(&self.parts);
        let content = completion.pointer("/choices/0/message/content").and_then(Value::as_str);
        content.unwrap_or_default().to_owned()
    }
}

/// Assembles the events of a streamed chat into one chat completion.
///
/// Strings of the same field are concatenated, lists are merged by the `index` of their items,
/// and other values are replaced by later ones, so that all fields of the engine are preserved.
pub fn assemble_chat(events: &[Bytes]) -> Value {
    let mut completion = Map::new();
    let mut choices: Vec<Value> = Vec::new();
    for event in events {
        let Ok(Value::Object(mut event)) = serde_json::from_slice(event) else {
            continue;
        };
        if let Some(Value::Array(deltas)) = event.remove("choices") {
            deltas.into_iter().for_each(|delta| merge_choice(&mut choices, delta));
        }
        completion.extend(event.into_iter().filter(|(_, value)| !value.is_null()));
    }
    completion.insert("object".into(), json!("chat.completion"));
    completion.insert("choices".into(), Value::Array(choices));
    Value::Object(completion)
}

fn merge_choice(choices: &mut Vec<Value>, mut chunk: Value) {
    let index = chunk["index"].as_u64().unwrap_or(0) as usize;
    const MAX_CHOICES: usize = 128;
    if index >= MAX_CHOICES {
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
    const REPLACED_FIELDS: [&str; 4] = ["role", "id", "type", "index"];
    match (whole.get_mut(&key), value) {
        (_, Value::Null) => {}
        (Some(Value::String(text)), Value::String(more))
            if !REPLACED_FIELDS.contains(&key.as_str()) =>
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
