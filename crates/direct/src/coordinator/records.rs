//! Roll-out records in the store, and log events of roll-outs.

use serde::{Deserialize, Serialize};

use crate::{catalog::DefectEffect, membership::WireStage};

/// Stage of a roll-out as stored.
#[derive(Debug, Serialize, Deserialize)]
pub struct StageRecord {
    /// Version on trial.
    pub target: String,
    /// Stage the roll-out has reached.
    pub stage: WireStage,
}

/// Log event of a roll-out; the tag is the event name.
#[derive(Debug, Serialize)]
#[serde(tag = "event")]
pub enum RollOutEvent<'a> {
    /// An order was received.
    #[serde(rename = "roll_out_ordered")]
    Ordered { service: &'a str, target: &'a str, within_ms: u64 },
    /// A value of an order can't be put in force as it was written.
    #[serde(rename = "roll_out_order_defect")]
    OrderDefect { service: &'a str, field: &'a str, value: &'a str, effect: DefectEffect },
    /// A stage was received.
    #[serde(rename = "roll_out_stage")]
    Stage { service: &'a str, target: &'a str, stage: &'a str },
    /// A step was written.
    #[serde(rename = "roll_out_step_written")]
    StepWritten { service: &'a str, step: String, revision: u64 },
    /// Entries could not be listed.
    #[serde(rename = "entry_not_listed")]
    NotListed { key: String, error: String },
    /// The combined observations of all entries mark the version as bad.
    #[serde(rename = "version_found_bad_together")]
    FoundBadTogether { service: &'a str },
    /// Every server of a version has rejected all requests for some time.
    #[serde(rename = "version_turns_away")]
    TurnsAway { service: &'a str, version: &'a str },
    /// A server of that version accepts requests again, or the version is gone.
    #[serde(rename = "version_takes_again")]
    TakesAgain { service: &'a str, version: &'a str },
    /// A step could not be written, or a record could not be parsed.
    #[serde(rename = "roll_out_step_failed")]
    StepFailed { service: &'a str, step: String, error: String },
}
