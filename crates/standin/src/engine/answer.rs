//! One answer, event by event.

use std::io;

use bytes::Bytes;
use serde_json::{Value, json};

use super::{EngineFaults, RunStatus, VersionProfile};

/// Spread of qualities around the version's mean.
const QUALITY_SPREAD: f64 = 0.08;

/// An answer on its way.
pub struct Answer {
    version: String,
    profile: VersionProfile,
    faults: EngineFaults,
    quality: f64,
    /// Mark in the prompt, given back so that callers can tell their own answers.
    reference: String,
    prompt_tokens: u64,
    tokens: u64,
    sent: u64,
    status: Option<RunStatus>,
    closed: bool,
}

impl Answer {
    /// Plans the answer to a request; the same request gets the same answer.
    pub fn new(
        body: &Value,
        version: String,
        profile: VersionProfile,
        faults: EngineFaults,
    ) -> Self {
        let prompt = body["messages"].to_string();
        let draw = spread(&prompt, &version);
        let quality = (profile.quality + QUALITY_SPREAD * draw) * faults.quality;
        let limit = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
        Answer {
            quality: quality.clamp(0.0, 1.0),
            reference: reference(&prompt),
            prompt_tokens: prompt.len() as u64 / 4,
            tokens: profile.tokens.min(limit).max(1),
            version,
            profile,
            faults,
            sent: 0,
            status: None,
            closed: false,
        }
    }

    /// How it ended, once it has.
    pub fn final_status(&self) -> Option<RunStatus> {
        self.status
    }

    /// The next event, or `None` once all are out; an error breaks the connection.
    pub async fn next_event(&mut self) -> Option<io::Result<Bytes>> {
        if self.closed {
            return None;
        }
        if self.faults.cut_after == Some(self.sent) {
            self.closed = true;
            self.status = Some(RunStatus::Failed);
            return Some(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.sent == self.tokens {
            self.closed = true;
            self.status = Some(RunStatus::Completed);
            return Some(Ok(self.last_events()));
        }
        self.pause().await;
        let text = match self.sent {
            0 => format!("[{:.2}]{}", self.quality, self.reference),
            n => format!(" word{n}"),
        };
        self.sent += 1;
        Some(Ok(self.event(json!({ "content": text }), None)))
    }

    async fn pause(&self) {
        let pause = if self.sent == 0 { self.profile.first_token } else { self.profile.token };
        if !pause.is_zero() {
            tokio::time::sleep(pause.mul_f64(self.faults.slowness)).await;
        }
    }

    fn event(&self, delta: Value, finish: Option<&str>) -> Bytes {
        let chunk = json!({
            "id": "chatcmpl-standin",
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish }],
        });
        Bytes::from(format!("data: {chunk}\n\n"))
    }

    fn last_events(&self) -> Bytes {
        let stop = self.event(json!({}), Some("stop"));
        let usage = json!({
            "id": "chatcmpl-standin",
            "object": "chat.completion.chunk",
            "model": self.version,
            "choices": [],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.tokens,
                "total_tokens": self.prompt_tokens + self.tokens,
            },
        });
        let stop = String::from_utf8_lossy(&stop).into_owned();
        Bytes::from(format!("{stop}data: {usage}\n\ndata: [DONE]\n\n"))
    }
}

/// The mark `<ref:...>` in a prompt, or nothing.
fn reference(prompt: &str) -> String {
    let start = prompt.find("<ref:").unwrap_or(prompt.len());
    let end = prompt[start..].find('>').map_or(start, |end| start + end + 1);
    prompt[start..end].to_owned()
}

/// A number from -1 to 1 that depends on the prompt and, less, on the version.
fn spread(prompt: &str, version: &str) -> f64 {
    let unit = |text: &str| {
        let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        (hash >> 11) as f64 / (1_u64 << 53) as f64 * 2.0 - 1.0
    };
    0.7 * unit(prompt) + 0.3 * unit(&format!("{version}{prompt}"))
}
