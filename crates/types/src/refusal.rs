//! Reasons for refused and failed requests, and whether they were executed.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Generation, VersionId};

/// Whether a backend server executed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Executed {
    /// No byte of the request reached a backend server.
    No,
    /// A backend server executed the request.
    Yes,
    /// The request may have reached a backend server; whether it was executed is unknown.
    Unknown,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum Refusal {
    /// The caller's key belongs to no workspace.
    #[error("the caller's key belongs to no workspace")]
    UnknownCaller,
    /// The workspace may not use the version.
    #[error("version {0} is not allowed for this workspace")]
    VersionNotAllowed(VersionId),
    /// The version accepts no new requests.
    #[error("version {0} is withdrawn")]
    VersionWithdrawn(VersionId),
    /// The version accepts no new sessions.
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
    /// No live backend server hosts an allowed version.
    #[error("no backend server can run this request now")]
    NoServer,
    /// Every queue that could take the request is full.
    #[error("all queues are full; retry after {retry_after_ms} ms")]
    Overloaded {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The deadline can no longer be met.
    #[error("the deadline of {deadline_ms} ms cannot be met")]
    TooLate {
        /// The caller's deadline, in milliseconds.
        deadline_ms: u64,
    },
    /// The workspace has reached its spend cap.
    #[error("the workspace's spend cap is used up")]
    SpendCap,
    /// The backend server is draining.
    #[error("the backend server is leaving")]
    Draining,
    /// The idempotency key is already claimed by another request.
    #[error("this idempotency key was already used; its first run stands")]
    DuplicateKey,
    /// The claim on the idempotency key could not be stored, so the request was not started.
    #[error("the platform's store cannot record the claim; not run")]
    ClaimUnavailable,
    /// The agent's configuration is newer than the one used by the entry's decision.
    #[error("decided by generation {decided}, but {current} is in force")]
    StaleGeneration {
        /// Generation used by the decision.
        decided: Generation,
        /// Generation in force at the agent.
        current: Generation,
    },
    /// The process has no valid configuration.
    #[error("no configuration is in force")]
    NoConfiguration,
    /// The backend server responded with an error.
    #[error("the backend server failed")]
    BackendFailed,
    /// The response ended prematurely.
    #[error("the answer broke off")]
    Cut,
    /// The connection was lost after the request may have reached the backend server.
    #[error("contact with the backend server was lost")]
    ContactLost,
}

/// Why a caller's request is malformed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
pub enum BadRequest {
    /// The body is not the expected JSON.
    #[error("the body is not a valid JSON request")]
    Body,
    /// The value of a header is invalid.
    #[error("header {0} cannot be read")]
    Header(String),
    /// The body is larger than the limit.
    #[error("the body is larger than {limit_bytes} bytes")]
    TooLarge {
        /// The limit in bytes.
        limit_bytes: u64,
    },
    /// The body was not received within the read timeout.
    #[error("the body did not arrive in time")]
    TooSlow,
    /// The request names an unknown model.
    #[error("model {0} is not known")]
    UnknownModel(String),
}

impl Refusal {
    /// Stable code for callers, metrics and logs.
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

    /// Whether the request may succeed on another backend server.
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
