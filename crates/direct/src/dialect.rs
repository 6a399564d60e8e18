//! Names of the headers and paths that callers and backend servers speak.

use hyper::header::HeaderName;

/// Header names and fixed texts of one deployment.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Caller's id of one request; echoed by backend servers.
    pub request_id: HeaderName,
    /// Milliseconds that the sender still waits.
    pub deadline_ms: HeaderName,
    /// Parts of the prompt in order, as `ID:TOKENS` by commas.
    pub prompt_parts: HeaderName,
    /// Tokens of the prompt, and most tokens out.
    pub token_usage: HeaderName,
    /// Caller's guess of the tokens out.
    pub length_hint: HeaderName,
    /// Model asked for.
    pub model: HeaderName,
    /// Conversation that the request belongs to.
    pub session: HeaderName,
    /// Last event of a stream that the caller has.
    pub last_event_id: HeaderName,
    /// Workspace of the caller's key, as told to backend servers.
    pub workspace: HeaderName,
    /// Backend server that a request is meant for.
    pub expected_server: HeaderName,
    /// Rank of a request at a backend server, 0 first.
    pub priority: HeaderName,
    /// Marks an answer of a backend server that did not run the request.
    pub not_run: HeaderName,
    /// Proof of a backend server that it made the answer.
    pub signature: HeaderName,
    /// A model's own opinion of its answer, 0 to 100.
    pub confidence: HeaderName,
    /// A backend server's load, as `RUNNING,WAITING,SLOTS`; not every server tells it.
    pub load: HeaderName,
    /// Tells in an answer, by `1`, that its backend server is leaving.
    pub leaving: HeaderName,
    /// Requests a second that a backend server takes from all entries together, as a decimal number; told by one
    /// in need.
    pub limit: HeaderName,
    /// Headers that only the entry may set; those of callers are dropped.
    pub reserved: Vec<HeaderName>,
    /// Scheme of the `authorization` header that carries a key.
    pub key_scheme: &'static str,
    /// Path of the readiness question.
    pub readiness_path: &'static str,
    /// Text in place of a model by which callers leave the choice to the entry.
    pub any_model: &'static str,
}

impl Dialect {
    /// The product's own names.
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
