//! Kinds of work for backend servers, and token usage.

use serde::{Deserialize, Serialize};

use crate::VersionId;

/// Token counts of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub output_tokens: u64,
}

/// Work that a request requires of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Chat completion on a model version.
    Chat(VersionId),
    /// Call forwarded to a plain service.
    Service {
        /// Name of the service.
        service: VersionId,
        /// Path and query of the call, starting with a slash.
        path: String,
    },
}

impl Work {
    /// The version or service required.
    pub fn version(&self) -> &VersionId {
        match self {
            Work::Chat(version) => version,
            Work::Service { service, .. } => service,
        }
    }
}
