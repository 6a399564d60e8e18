//! Names of headers and paths used between callers, entries and backend servers.

use hyper::header::HeaderName;

/// Header names and fixed texts of a deployment.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Id that the caller gives a request; echoed by backend servers.
    pub request_id: HeaderName,
    /// Remaining time that the sender waits, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Parts of the prompt in order, as comma-separated `ID:TOKENS`.
    pub prompt_parts: HeaderName,
    /// Prompt tokens and maximum output tokens, as `IN,OUT`.
    pub token_usage: HeaderName,
    /// Caller's estimate of the output tokens.
    pub length_hint: HeaderName,
    /// Requested model.
    pub model: HeaderName,
    /// Session of the request.
    pub session: HeaderName,
    /// Last stream event that the caller has received.
    pub last_event_id: HeaderName,
    /// Workspace of the caller's key, for backend servers.
    pub workspace: HeaderName,
    /// Backend server that a request is intended for.
    pub expected_server: HeaderName,
    /// Priority of a request at a backend server, 0 first.
    pub priority: HeaderName,
    /// Marks the response of a backend server that didn't run the request.
    pub not_run: HeaderName,
    /// Signature of the backend server that produced the answer.
    pub signature: HeaderName,
    /// A model's confidence in its answer, 0 to 100.
    pub confidence: HeaderName,
    /// Load of a backend server as `RUNNING,WAITING,SLOTS`; optional.
    pub load: HeaderName,
    /// Set to `1` in responses of a draining backend server.
    pub leaving: HeaderName,
    /// Requests a second that a backend server accepts from all entries together, as a decimal
    /// number; sent by servers near overload.
    pub limit: HeaderName,
    /// Headers that only the entry may set; callers' values are dropped.
    pub reserved: Vec<HeaderName>,
    /// Scheme of the `authorization` header that carries a key.
    pub key_scheme: &'static str,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Model name by which callers leave the choice to the entry.
    pub any_model: &'static str,
}

impl Dialect {
    /// The default names of this project.
    pub fn pondwalk() -> Self {
        let name = HeaderName::from_static;
        Dialect {
            request_id: name("x-request-id"),
            deadline_ms: name("pondwalk-deadline-ms"),
            prompt_parts: name("pondwalk-prompt-parts"),
            token_usage: name("pondwalk-token-usage"),
            length_hint: name("pondwalk-length-hint"),
            model: name("pondwalk-model"),
            session: name("pondwalk-session"),
            last_event_id: name("last-event-id"),
            workspace: name("pondwalk-workspace"),
            expected_server: name("pondwalk-expected-server"),
            priority: name("pondwalk-priority"),
            not_run: name("pondwalk-not-run"),
            signature: name("pondwalk-signature"),
            confidence: name("pondwalk-confidence"),
            load: name("pondwalk-load"),
            leaving: name("server-leaving"),
            limit: name("server-limit"),
            reserved: ["pondwalk-workspace", "pondwalk-expected-server", "pondwalk-priority"]
                .map(name)
                .to_vec(),
            key_scheme: "Bearer",
            readiness_path: "/ready",
            any_model: "auto",
        }
    }
}
