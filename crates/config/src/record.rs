//! The policy as it lies in the platform's key-value service.

use pondwalk_types::{Generation, Policy};
use serde::{Deserialize, Serialize};

/// Key of the one record that holds the configuration in force.
pub const HEAD_KEY: &str = "pondwalk/policy/head";

/// One accepted configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PolicyRecord {
    /// Its place in the order of all accepted configurations.
    pub generation: Generation,
    /// Id drawn by the change's author, to recognise a change whose answer was lost.
    pub change_id: u64,
    /// The configuration.
    pub policy: Policy,
}
