//! Where the changes in a reply come from, and how old they may be.

use std::time::Duration;

use serde::Serialize;

use super::Follower;
use crate::metrics::Timer;

/// Origin of a confirmation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum StateSource {
    #[default]
    Store,
    Peer,
}

/// Origin of the changes in a reply.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub(super) struct ChangeOrigin {
    /// Sender of the reply.
    pub source: StateSource,
    /// When the store confirmed the state after the changes, on the local clock.
    #[serde(skip)]
    pub confirmed: Option<Duration>,
    /// Maximum age of the changes when they are applied: the age of the confirmation before them.
    pub max_age_ms: Option<u64>,
}

impl Follower {
    /// Records where the reply to be applied comes from, and the maximum age of its changes.
    pub(super) fn begin_reply(&mut self, source: StateSource, confirmed: Option<Duration>) {
        let age = self.core.state_age();
        let max_age_ms = age.map(|age| age.as_millis() as u64);
        self.origin = ChangeOrigin { source, confirmed, max_age_ms };
    }

    /// Measures the maximum age of the changes of that reply.
    pub(super) fn time_changes(&self) {
        let timer = match self.origin.source {
            StateSource::Store => Timer::StoreChangeAge,
            StateSource::Peer => Timer::PeerChangeAge,
        };
        if let Some(age_ms) = self.origin.max_age_ms {
            self.core.metrics.time(timer, Duration::from_millis(age_ms));
        }
    }
}
