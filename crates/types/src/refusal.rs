//! Why a request got no answer, and whether any of it ran.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Generation, VersionId};

/// Whether a backend server may have acted on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Executed {
    /// No byte of the request reached a backend server.
    No,
    /// A backend server ran it.
    Yes,
    /// The request may have reached a backend server, and nothing tells whether it ran.
    Unknown,
}

/// A typed reason for not answering a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// No workspace owns the key presented.
    #[error("the caller's key belongs to no workspace")]
    UnknownCaller,
    /// The workspace may not use the version.
    #[error("version {0} is not allowed for this workspace")]
    VersionNotAllowed(VersionId),
    /// The version takes no new work.
    #[error("version {0} is withdrawn")]
    VersionWithdrawn(VersionId),
    /// The version takes no new sessions.
    #[error("version {0} takes no new sessions")]
    VersionRetiring(VersionId),
    /// The task is not listed for the workspace.
    #[error("task is not allowed for this workspace")]
    TaskNotAllowed,
    /// The session pin is forged, altered or belongs to another workspace.
    #[error("the session pin is not valid for this workspace")]
    BadSessionPin,
    /// The request is malformed.
    #[error("{0}")]
    BadRequest(BadRequest),
    /// No live server hosts an allowed version.
    #[error("no backend server can run this request now")]
    NoServer,
    /// Every queue that could take the request is full.
    #[error("all queues are full; retry after {retry_after_ms} ms")]
    Overloaded {
        /// When the caller should come back.
        retry_after_ms: u64,
    },
    /// The deadline cannot be met any more.
    #[error("the deadline of {deadline_ms} ms cannot be met")]
    TooLate {
        /// The deadline the caller stated.
        deadline_ms: u64,
    },
    /// The workspace has spent its cap.
    #[error("the workspace's spend cap is used up")]
    SpendCap,
    /// The server is leaving.
    #[error("the backend server is leaving")]
    Draining,
    /// The idempotency key is already claimed by another run.
    #[error("this idempotency key was already used; its first run stands")]
    DuplicateKey,
    /// A claim could not be made durable, so the request was not started.
    #[error("the platform's store cannot record the claim; not run")]
    ClaimUnavailable,
    /// The agent's configuration is newer than what the entry decided by.
    #[error("decided by generation {decided}, but {current} is in force")]
    StaleGeneration {
        /// The generation the decision used.
        decided: Generation,
        /// The generation in force at the agent.
        current: Generation,
    },
    /// The process has no configuration that it may act on.
    #[error("no configuration is in force")]
    NoConfiguration,
    /// The backend server answered with an error.
    #[error("the backend server failed")]
    BackendFailed,
    /// The answer broke off before its end.
    #[error("the answer broke off")]
    Cut,
    /// Contact was lost after the request may have been handed over.
    #[error("contact with the backend server was lost")]
    ContactLost,
}

/// What is wrong with a caller's request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum BadRequest {
    /// The body is not the JSON expected.
    #[error("the body is not a valid JSON request")]
    Body,
    /// A header cannot be read.
    #[error("header {0} cannot be read")]
    Header(String),
    /// The body is larger than the limit.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit in force.
        limit_bytes: u64,
    },
    /// A read took too long.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The model named in the request is not known.
    #[error("model {0} is not known")]
    UnknownModel(String),
}

impl Refusal {
    /// A short stable code for callers, counters and logs.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::UnknownCaller => "unknown_caller",
            Refusal::VersionNotAllowed(_) => "version_not_allowed",
            Refusal::VersionWithdrawn(_) => "version_withdrawn",
            Refusal::VersionRetiring(_) => "version_retiring",
            Refusal::TaskNotAllowed => "task_not_allowed",
            Refusal::BadSessionPin => "bad_session_pin",
            Refusal::BadRequest(BadRequest::TooLarge { .. }) => "too_large",
            Refusal::BadRequest(_) => "bad_request",
            Refusal::NoServer => "no_server",
            Refusal::Overloaded { .. } => "overloaded",
            Refusal::TooLate { .. } => "too_late",
            Refusal::SpendCap => "spend_cap",
            Refusal::Draining => "draining",
            Refusal::DuplicateKey => "duplicate_key",
            Refusal::ClaimUnavailable => "claim_unavailable",
            Refusal::StaleGeneration { .. } => "stale_generation",
            Refusal::NoConfiguration => "no_configuration",
            Refusal::BackendFailed => "backend_failed",
            Refusal::Cut => "cut",
            Refusal::ContactLost => "contact_lost",
        }
    }

    /// Whether another backend server may succeed where this one refused.
    pub fn is_retryable_elsewhere(&self) -> bool {
        matches!(
            self,
            Refusal::Overloaded { .. }
                | Refusal::TooLate { .. }
                | Refusal::Draining
                | Refusal::NoServer
                | Refusal::NoConfiguration
                | Refusal::StaleGeneration { .. }
                | Refusal::VersionWithdrawn(_)
                | Refusal::BackendFailed
                | Refusal::ContactLost
                | Refusal::Cut
        )
    }
}
