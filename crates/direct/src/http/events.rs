//! Log events of requests.

use serde::Serialize;

/// A decision or event that concerns one request.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RequestEvent<'a> {
    /// The request was refused, or failed permanently.
    RequestRefused {
        request: &'a str,
        route: Option<&'a str>,
        code: &'static str,
        status: u16,
        may_have_run: bool,
        configuration: u64,
        freshness_ms: Option<u64>,
        after_ms: u64,
        sends: u32,
    },
    /// The request was refused before its first send, since its service is overloaded.
    RequestNotAdmitted {
        request: &'a str,
        workspace: Option<&'a str>,
        priority: u8,
        reason: &'static str,
        forecast_ms: Option<f64>,
        utilization: Option<f64>,
        places_taken: Option<u32>,
        places: Option<u32>,
        /// Server time that the workspace asks for, in milliseconds per second.
        demand: Option<f64>,
        /// Server time that the workspace may use, in milliseconds per second, if limited.
        level: Option<f64>,
        retry_after_ms: u64,
    },
    /// A send to a backend server gave no response that can be passed on.
    SendFailed {
        request: &'a str,
        route: &'a str,
        server: &'a str,
        version: &'a str,
        model: Option<&'a str>,
        outcome: &'static str,
        detail: String,
        after_ms: u64,
    },
    /// A backend server's response was longer than allowed, or too long to be complete by its
    /// deadline, and was not read to its end.
    AnswerTooLong {
        request: &'a str,
        server: &'a str,
        version: &'a str,
        /// Part of the response that has no end: `head` or `body`.
        part: &'static str,
        /// Bytes received, with heads and framing.
        bytes: u64,
        after_ms: u64,
    },
    /// A backend server reported in a response that it is draining.
    ServerToldLeaving { request: &'a str, server: &'a str, status: u16, after_ms: u64 },
    /// A backend server requested a backoff in a response.
    ServerAskedBackoff {
        request: &'a str,
        server: &'a str,
        status: u16,
        backoff_ms: u64,
        /// Backoff that is applied; `None` if the server has restarted since.
        kept_ms: Option<u64>,
        after_ms: u64,
    },
    /// A backend server reported a changed rate limit in a response.
    ServerNamedLimit { request: &'a str, server: &'a str, status: u16, per_s: f64, after_ms: u64 },
    /// A backend server no longer reports a rate limit.
    ServerLiftedLimit { request: &'a str, server: &'a str, status: u16, after_ms: u64 },
    /// The connection broke while the request was at a backend server, which may have crashed.
    ServerBroke {
        request: &'a str,
        server: &'a str,
        content: &'a str,
        /// Prompt parts that other requests may share, as comma-separated ids.
        prompt_parts: &'a str,
        after_ms: u64,
    },
    /// A smaller model's response was discarded in favour of a stronger model.
    Escalated {
        request: &'a str,
        server: &'a str,
        from_model: u8,
        to_model: u8,
        confidence: Option<u8>,
        /// Price of the server time of a typical answer of the largest model, as a fraction of its
        /// value.
        time_price: f64,
        after_ms: u64,
    },
    /// A larger model was not asked although its answer would have been worth more.
    LargerModelWithheld { request: &'a str, confidence: u8, reason: &'static str },
    /// A stream continues on another backend server.
    StreamResumed {
        request: &'a str,
        server: &'a str,
        last_event_id: Option<&'a str>,
        after_ms: u64,
    },
    /// A stream that would have missed its deadline continues on another backend server.
    StreamMoved {
        request: &'a str,
        server: &'a str,
        to: &'a str,
        token_ms: f64,
        /// Expected time to the end at the old server.
        expected_ms: u64,
        after_ms: u64,
    },
    /// A stream is expected to miss its deadline and cannot be moved.
    StreamSlow { request: &'a str, server: &'a str, token_ms: f64, expected_ms: u64, after_ms: u64 },
    /// A stream was truncated in a way that the caller can detect.
    StreamCut { request: &'a str, server: &'a str, reason: &'static str, after_ms: u64 },
    /// An answer that was passed on as it arrived was truncated in a way that the caller can detect.
    AnswerCut {
        request: &'a str,
        server: &'a str,
        reason: &'static str,
        /// Bytes received, with the head and framing.
        bytes: u64,
        after_ms: u64,
    },
    /// The response to this request tripped a version.
    VersionTripped { request: &'a str, service: &'a str, version: &'a str },
    /// The caller disconnected before its response was complete.
    CallerLeft { request: &'a str, server: &'a str, after_ms: u64 },
    /// The request was answered.
    RequestAnswered {
        request: &'a str,
        route: &'a str,
        server: &'a str,
        version: &'a str,
        model: Option<&'a str>,
        status: u16,
        confidence: Option<u8>,
        configuration: u64,
        sends: u32,
        head_ms: u64,
        expected_ms: u64,
        /// Longest pause between two events of a stream.
        max_gap_ms: Option<u64>,
        /// Mean time per token of a stream.
        token_ms: Option<f64>,
        after_ms: u64,
    },
}
