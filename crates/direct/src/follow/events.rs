//! Log events of state changes.

use pondwalk_store::{Era, Position};
use serde::Serialize;

use super::origin::ChangeOrigin;
use crate::catalog::DefectEffect;

/// A change of the entry's state.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum FollowEvent<'a> {
    ConfigurationInForce {
        version: u64,
        store_era: Era,
        store_revision: u64,
        /// Number of values that are not in force as they were written.
        defects: usize,
        #[serde(flatten)]
        origin: ChangeOrigin,
    },
    OlderConfigurationIgnored {
        version: u64,
        held: u64,
        store_revision: u64,
    },
    ConfigurationUnreadable {
        store_revision: u64,
        /// Version that stays in force, if there is one.
        in_force: Option<u64>,
        reason: &'a str,
    },
    ConfigurationDefect {
        version: u64,
        element: &'a str,
        field: &'a str,
        value: &'a str,
        effect: DefectEffect,
    },
    ServerKnown {
        server: &'a str,
        service: &'a str,
        version: &'a str,
        state: String,
        cold_ms: u64,
        born_ms: Option<u64>,
    },
    ServerBornAnew {
        server: &'a str,
    },
    ServerGone {
        server: &'a str,
        #[serde(flatten)]
        origin: Option<ChangeOrigin>,
    },
    ServerLapsed {
        server: &'a str,
        outage_ms: u64,
        store_returned_ms: u64,
        #[serde(flatten)]
        origin: ChangeOrigin,
    },
    DataCentreEvacuated {
        data_centre: &'a str,
        servers: usize,
    },
    DataCentreTakenBack {
        data_centre: &'a str,
        servers: usize,
    },
    EntryUnreadable {
        key: &'a str,
        reason: &'a str,
    },
    StoreLost {
        error: String,
        freshness_ms: Option<u64>,
    },
    StoreRegained {
        #[serde(flatten)]
        position: Position,
    },
    FirstState {
        from: String,
        #[serde(flatten)]
        position: Position,
    },
    SourceChanged {
        entry: Option<&'a str>,
    },
    SourceFailed {
        entry: &'a str,
        error: String,
    },
    StoreRestored {
        before: Position,
        position: Position,
    },
    HistoryGone {
        #[serde(flatten)]
        position: Position,
    },
    AnswerTookLong {
        after: u64,
        bytes: usize,
        took_ms: u64,
    },
}
