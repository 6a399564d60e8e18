//! What a request asks a backend server to do and what it used up.

use serde::{Deserialize, Serialize};

use crate::VersionId;

/// Tokens counted for one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenUsage {
    /// Tokens read from the prompt.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

/// Where a request is to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Chat completions on a model version.
    Chat(VersionId),
    /// A call passed through to a plain service.
    Service {
        /// The service's name.
        service: VersionId,
        /// The path and query to call, starting with a slash.
        path: String,
    },
}

impl Work {
    /// The version or service that is to do the work.
    pub fn version(&self) -> &VersionId {
        match self {
            Work::Chat(version) => version,
            Work::Service { service, .. } => service,
        }
    }
}
