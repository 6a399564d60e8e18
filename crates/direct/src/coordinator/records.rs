//! What the entries keep of a roll-out in the store, and the log lines about it.

use serde::{Deserialize, Serialize};

use crate::membership::WireStage;

/// A stage as it lies in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct StageRecord {
    /// Version on trial.
    pub target: String,
    /// How far the roll-out has come.
    pub stage: WireStage,
}

/// A change of a roll-out, under the name of the event.
#[derive(Debug, Serialize)]
#[serde(tag = "event")]
pub enum RollOutEvent<'a> {
    /// An order was learned.
    #[serde(rename = "roll_out_ordered")]
    Ordered { service: &'a str, target: &'a str, within_ms: u64 },
    /// A stage was learned.
    #[serde(rename = "roll_out_stage")]
    Stage { service: &'a str, target: &'a str, stage: &'a str },
    /// A step was written.
    #[serde(rename = "roll_out_step_written")]
    StepWritten { service: &'a str, step: String, revision: u64 },
    /// This entry could not list itself.
    #[serde(rename = "entry_not_listed")]
    NotListed { key: String, error: String },
    /// What all entries have seen calls the version bad.
    #[serde(rename = "version_found_bad_together")]
    FoundBadTogether { service: &'a str },
    /// All servers of a version have turned everything away for long.
    #[serde(rename = "version_turns_away")]
    TurnsAway { service: &'a str, version: &'a str },
    /// One of them takes requests again, or the version is gone.
    #[serde(rename = "version_takes_again")]
    TakesAgain { service: &'a str, version: &'a str },
    /// A step could not be written.
    #[serde(rename = "roll_out_step_failed")]
    StepFailed { service: &'a str, step: String, error: String },
}
