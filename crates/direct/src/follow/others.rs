//! Learns from other entries, and tells when that must give way to the store.

use std::{net::SocketAddr, time::Duration};

use pondwalk_store::{Position, StoreEntry, StoreEvent};
use tokio::time::Instant;

use super::{Follower, Heard, report::Learned, watching::NO_WAIT};
use crate::{
    event_log::LogPriority,
    membership::{PeerError, StateRequest, StateRequestKind, StateUpdate},
    metrics::{Counter, StoreCause},
};

/// Other entries that one which has lost the store asks between two calls to it.
const ASKED_AROUND: usize = 6;
/// Entries in a row that cannot be reached before the store is asked.
const UNREACHED_IN_ROW: u32 = 3;
/// Time for each entry over which those that hear nothing spread their questions to the store, so
/// that an outage doesn't bring all of them there at once.
const FALLBACK_SPREAD: Duration = Duration::from_millis(30);
/// Pause between two such questions; doubles with each in a row.
pub const FIRST_FALLBACK_PAUSE: Duration = Duration::from_secs(3);
/// Longest such pause.
const LONGEST_FALLBACK_PAUSE: Duration = Duration::from_secs(12);

impl Follower {
    /// Whether an entry that should learn from others must ask the store itself: none can be
    /// reached, or for long none has told anything of use.
    pub(super) fn should_fall_back(&self) -> bool {
        if self.watching.is_moving() {
            return false;
        }
        if self.unreached >= UNREACHED_IN_ROW {
            return true;
        }
        let spread = FALLBACK_SPREAD * self.core.members.rank() as u32;
        self.core.clock.now() >= self.fallback_from && self.core.is_state_outdated(spread)
    }

    /// Asks the store beside the others, and puts off the next such question.
    pub(super) fn fall_back(&mut self, position: Position) {
        self.unreached = 0;
        self.note_source(None);
        self.start_watch(position, NO_WAIT, StoreCause::Fallback);
        self.fallback_from = self.core.clock.now() + self.fallback_pause;
        self.fallback_pause = (self.fallback_pause * 2).min(LONGEST_FALLBACK_PAUSE);
    }

    /// Asks others in turn, a few each time, for what the store does not tell this entry: it may be
    /// among those that are turned away.
    pub(super) async fn ask_around(&mut self, position: Position) -> Position {
        let others = self.core.members.reachable_peers(self.core.clock.now());
        for _ in 0..ASKED_AROUND.min(others.len()) {
            self.asked_around = (self.asked_around + 1) % others.len();
            let (name, address) = &others[self.asked_around];
            let until = Instant::now() + self.core.settings.membership.times.exchange;
            let question = self.question(position, StateRequestKind::ChangesNow, until);
            let asking =
                self.client.request_state(&self.core.connect, &self.core.clock, *address, question);
            match asking.await {
                Ok(told) => {
                    let next = told.position.max(position);
                    self.take_told(told, next);
                    return next;
                }
                // NB: that others have lost the store too is no news.
                Err(PeerError::Stale) => {}
                Err(error) => {
                    self.core.members.record_result(name, Some(&error), self.core.clock.now());
                    return position;
                }
            }
        }
        position
    }

    /// Asks another entry once, unless an answer of the store comes before; `None` if all must be
    /// read anew.
    pub(super) async fn learn_from(
        &mut self,
        name: &str,
        address: SocketAddr,
        position: Position,
    ) -> Option<Position> {
        let question = self.question(position, StateRequestKind::Changes, self.give_up_at());
        let asking =
            self.client.request_state(&self.core.connect, &self.core.clock, address, question);
        let told = tokio::select! {
            biased;
            answered = self.watching.next() => return self.take_answer(answered, position),
            told = asking => told,
        };
        Some(self.take_or_leave(name, told, position))
    }

    fn take_or_leave(
        &mut self,
        name: &str,
        told: Result<StateUpdate, PeerError>,
        position: Position,
    ) -> Position {
        self.core.members.record_result(name, told.as_ref().err(), self.core.clock.now());
        match told {
            Ok(told) => {
                self.unreached = 0;
                let next = told.position.max(position);
                self.take_told(told, next);
                next
            }
            Err(error) => {
                if error != PeerError::Stale {
                    self.core.initial_source.set(None);
                    self.unreached += 1;
                }
                let event = Learned::SourceFailed { entry: name, error: error.to_string() };
                self.core.event_log.record(LogPriority::State, &event);
                position
            }
        }
    }

    /// When an entry that says nothing is given up: when what it told before has grown too old.
    fn give_up_at(&self) -> Instant {
        let times = &self.core.settings.membership.times;
        let state = self.core.state.borrow();
        let too_old =
            state.freshness.confirmed().unwrap_or_default() + times.max_peer_confirmation_age;
        // NB: where the store answers late every state is as old, and told anew at each interval.
        let hold = match state.store_latency > times.exchange {
            true => times.stale_hold_time.max(times.confirm_interval + times.exchange),
            false => times.stale_hold_time,
        };
        let until = too_old.max(self.core.clock.now() + hold) + times.exchange;
        self.core.clock.instant(until)
    }

    fn question(&self, after: Position, kind: StateRequestKind, deadline: Instant) -> StateRequest {
        StateRequest { store: self.core.settings.store.address, after, kind, deadline }
    }

    /// Takes in what another entry told, and from when it is; `position` is where that leads.
    pub(super) fn take_told(&mut self, mut told: StateUpdate, position: Position) {
        self.core.metrics.count_many(Counter::PeerBytesReceived, told.bytes);
        if told.position.era != position.era {
            // NB: it has not heard of the restoration yet; a confirmation from before says nothing now.
            self.core.receive_from_parent(std::mem::take(&mut told.gossip));
            self.coordinator.wake();
            return;
        }
        let confirmed = told.confirmed;
        // NB: most entries make no calls to the store, and hear of its loss only with its return.
        let mut state = self.core.state.borrow_mut();
        state.store_returned = state.store_returned.max(told.store_returned);
        state.store_latency = told.store_takes;
        drop(state);
        self.watching.drop_known(position);
        self.learns_from = Heard::FromOthers;
        let news = std::mem::take(&mut told.gossip);
        if told.whole {
            let entries: Vec<StoreEntry> =
                told.into_events().into_iter().filter_map(written).collect();
            self.take_whole(&entries, position);
        } else {
            self.take_changes(&told.into_events(), position);
        }
        self.core.receive_from_parent(news);
        if let Some(confirmed) = confirmed {
            self.confirm(confirmed, position, Heard::FromOthers);
        }
        self.coordinator.wake();
    }
}

fn written(event: StoreEvent) -> Option<StoreEntry> {
    match event {
        StoreEvent::Written(entry) => Some(entry),
        StoreEvent::Removed { .. } => None,
    }
}
