//! The policy as stored in the platform's key-value store.

use pondwalk_types::{Generation, Policy};
use serde::{Deserialize, Serialize};

/// Key of the record with the configuration in force.
pub const HEAD_KEY: &str = "pondwalk/policy/head";

/// One accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Sequence number among all accepted configurations.
    pub generation: Generation,
    /// Random id of the change, by which its author recognises the change if the response was lost.
    pub change_id: u64,
    /// Ids of the changes before this one, the latest last.
    #[serde(default)]
    pub ancestors: Vec<u64>,
    /// The configuration.
    pub policy: Policy,
}
