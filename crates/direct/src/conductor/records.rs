//! What the entries keep of a roll-out in the store, and the log lines about it.

use pondwalk_decide::direct::{Doubt, SessionKey, Stage};
use serde::{Deserialize, Serialize};

/// A stage as it lies in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct StageRecord {
    /// Version on trial.
    pub target: String,
    /// How far the roll-out has come.
    pub stage: StageWord,
}

/// Sessions that stay on the old version, as they lie in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct KeptRecord {
    /// Version on trial.
    pub target: String,
    /// The sessions.
    pub sessions: Vec<SessionKey>,
}

/// An entry's doubt about a version on trial, as it lies in the store.
#[derive(Debug, Serialize, Deserialize)]
pub struct DoubtRecord {
    /// Version on trial.
    pub target: String,
    /// How sure the entry is.
    pub doubt: DoubtWord,
}

/// Word for a doubt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DoubtWord {
    /// Half of what would let the entry call the version bad.
    Strong,
    /// The little that one of many entries sees.
    Slight,
}

impl From<Doubt> for DoubtWord {
    fn from(doubt: Doubt) -> Self {
        match doubt {
            Doubt::Strong => DoubtWord::Strong,
            Doubt::Slight => DoubtWord::Slight,
        }
    }
}

impl From<DoubtWord> for Doubt {
    fn from(word: DoubtWord) -> Self {
        match word {
            DoubtWord::Strong => Doubt::Strong,
            DoubtWord::Slight => Doubt::Slight,
        }
    }
}

/// Word for a stage.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StageWord {
    /// On trial.
    Trial,
    /// The share widens.
    Widening,
    /// Complete.
    Completed,
    /// Taken back.
    Reverted,
}

impl From<Stage> for StageWord {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Trial => StageWord::Trial,
            Stage::Widening => StageWord::Widening,
            Stage::Completed => StageWord::Completed,
            Stage::Reverted => StageWord::Reverted,
        }
    }
}

impl From<StageWord> for Stage {
    fn from(word: StageWord) -> Self {
        match word {
            StageWord::Trial => Stage::Trial,
            StageWord::Widening => Stage::Widening,
            StageWord::Completed => Stage::Completed,
            StageWord::Reverted => Stage::Reverted,
        }
    }
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
    /// Another entry was told of a bad version, or could not be.
    #[serde(rename = "bad_version_told")]
    ToldBad { service: &'a str, entry: String, error: Option<String> },
    /// A step could not be written.
    #[serde(rename = "roll_out_step_failed")]
    StepFailed { service: &'a str, step: String, error: String },
}
