//! A streamed answer, built event by event.

use std::io;

use bytes::Bytes;
use serde_json::{Value, json};

use super::{EngineFaults, RunStatus, VersionProfile};

/// Largest deviation of an answer's quality from the version's mean.
const MAX_QUALITY_DEVIATION: f64 = 0.08;

/// An answer that is being streamed.
pub struct Answer {
    version: String,
    profile: VersionProfile,
    faults: EngineFaults,
    quality: f64,
    /// Mark from the prompt, repeated in the answer so that callers can verify that it is theirs.
    reference: String,
    prompt_tokens: u64,
    tokens: u64,
    sent: u64,
    status: Option<RunStatus>,
    closed: bool,
}

impl Answer {
    /// Computes the answer to a request; equal requests get equal answers.
    pub fn new(
        body: &Value,
        version: String,
        profile: VersionProfile,
        faults: EngineFaults,
    ) -> Self {
        let prompt = body["messages"].to_string();
        let deviation = deviation(&prompt, &version);
        let quality = (profile.quality + MAX_QUALITY_DEVIATION * deviation) * faults.quality;
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

    /// State in which the answer ended, or `None` while it is being streamed.
    pub fn final_status(&self) -> Option<RunStatus> {
        self.status
    }

    /// Returns the next event, or `None` after the last; an error resets the connection.
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
        self.wait_for_token().await;
        let text = match self.sent {
            0 => format!("[{:.2}]{}", self.quality, self.reference),
            n => format!(" word{n}"),
        };
        self.sent += 1;
        Some(Ok(self.event(json!({ "content": text }), None)))
    }

    async fn wait_for_token(&self) {
        let delay = if self.sent == 0 { self.profile.first_token } else { self.profile.token };
        if !delay.is_zero() {
            tokio::time::sleep(delay.mul_f64(self.faults.slowness)).await;
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

/// Returns the mark `<ref:...>` of a prompt, or an empty text if it has none.
fn reference(prompt: &str) -> String {
    let start = prompt.find("<ref:").unwrap_or(prompt.len());
    let end = prompt[start..].find('>').map_or(start, |end| start + end + 1);
    prompt[start..end].to_owned()
}

/// Returns a pseudo-random number from -1 to 1, determined by the prompt and, with less weight, the
/// version.
fn deviation(prompt: &str, version: &str) -> f64 {
    let unit = |text: &str| {
        let hash = text.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        (hash >> 11) as f64 / (1_u64 << 53) as f64 * 2.0 - 1.0
    };
    0.7 * unit(prompt) + 0.3 * unit(&format!("{version}{prompt}"))
}
