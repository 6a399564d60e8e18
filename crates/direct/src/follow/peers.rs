//! Learns from other entries, and tells when that must give way to the store.

use std::{net::SocketAddr, time::Duration};

use pondwalk_store::{Position, StoreEntry, StoreEvent};
use tokio::time::Instant;

use super::{Follower, StateSource, events::FollowEvent, watch::MIN_WATCH_WAIT};
use crate::{
    event_log::LogPriority,
    membership::{PeerError, StateRequest, StateRequestKind, StateUpdate},
    metrics::{Counter, StoreCause},
};

/// Other entries that one which has lost the store asks between two calls to it.
const PEERS_PER_ROUND: usize = 6;
/// Entries in a row that cannot be reached before the store is asked.
const MAX_UNREACHABLE_IN_ROW: u32 = 3;
/// Time for each entry over which those that hear nothing spread their questions to the store, so
/// that an outage doesn't bring all of them there at once.
const FALLBACK_STAGGER: Duration = Duration::from_millis(30);
/// Pause between two such questions; doubles with each in a row.
pub const INITIAL_FALLBACK_BACKOFF: Duration = Duration::from_secs(3);
/// Longest such pause.
const MAX_FALLBACK_BACKOFF: Duration = Duration::from_secs(12);

impl Follower {
    /// Whether an entry that should learn from others must ask the store itself: none can be
    /// reached, or for long none has told anything of use.
    pub(super) fn should_fall_back(&self) -> bool {
        if self.watch_calls.is_receiving() {
            return false;
        }
        if self.unreachable_in_row >= MAX_UNREACHABLE_IN_ROW {
            return true;
        }
        let spread = FALLBACK_STAGGER * self.core.members.rank() as u32;
        self.core.clock.now() >= self.next_fallback_at && self.core.is_state_outdated(spread)
    }

    /// Asks the store beside the others, and puts off the next such question.
    pub(super) fn fall_back(&mut self, position: Position) {
        self.unreachable_in_row = 0;
        self.log_source_change(None);
        self.start_watch(position, MIN_WATCH_WAIT, StoreCause::Fallback);
        self.next_fallback_at = self.core.clock.now() + self.fallback_backoff;
        self.fallback_backoff = (self.fallback_backoff * 2).min(MAX_FALLBACK_BACKOFF);
    }

    /// Asks others in turn, a few each time, for what the store does not tell this entry: it may be
    /// among those that are turned away.
    pub(super) async fn poll_peers(&mut self, position: Position) -> Position {
        let others = self.core.members.reachable_peers(self.core.clock.now());
        for _ in 0..PEERS_PER_ROUND.min(others.len()) {
            self.peer_cursor = (self.peer_cursor + 1) % others.len();
            let (name, address) = &others[self.peer_cursor];
            let until = Instant::now() + self.core.settings.membership.times.exchange;
            let question = self.question(position, StateRequestKind::ChangesNow, until);
            let asking =
                self.client.request_state(&self.core.connect, &self.core.clock, *address, question);
            match asking.await {
                Ok(reply) => {
                    let next = reply.position.max(position);
                    self.apply_peer_reply(reply, next);
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
    pub(super) async fn poll_source(
        &mut self,
        name: &str,
        address: SocketAddr,
        position: Position,
    ) -> Option<Position> {
        let question = self.question(position, StateRequestKind::Changes, self.reply_deadline());
        let asking =
            self.client.request_state(&self.core.connect, &self.core.clock, address, question);
        let reply = tokio::select! {
            biased;
            outcome = self.watch_calls.next() => return self.handle_watch_reply(outcome, position),
            reply = asking => reply,
        };
        Some(self.handle_peer_reply(name, reply, position))
    }

    fn handle_peer_reply(
        &mut self,
        name: &str,
        reply: Result<StateUpdate, PeerError>,
        position: Position,
    ) -> Position {
        self.core.members.record_result(name, reply.as_ref().err(), self.core.clock.now());
        match reply {
            Ok(reply) => {
                self.unreachable_in_row = 0;
                let next = reply.position.max(position);
                self.apply_peer_reply(reply, next);
                next
            }
            Err(error) => {
                if error != PeerError::Stale {
                    self.core.initial_source.set(None);
                    self.unreachable_in_row += 1;
                }
                let event = FollowEvent::SourceFailed { entry: name, error: error.to_string() };
                self.core.event_log.record(LogPriority::State, &event);
                position
            }
        }
    }

    /// When an entry that says nothing is given up: when what it told before has grown too old.
    fn reply_deadline(&self) -> Instant {
        let times = &self.core.settings.membership.times;
        let state = self.core.state.borrow();
        let too_old =
            state.freshness.confirmed_at().unwrap_or_default() + times.max_peer_confirmation_age;
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
    pub(super) fn apply_peer_reply(&mut self, mut reply: StateUpdate, position: Position) {
        self.core.metrics.count_many(Counter::PeerBytesReceived, reply.bytes);
        if reply.position.era != position.era {
            // NB: it has not heard of the restoration yet; a confirmation from before says nothing now.
            self.core.receive_from_parent(std::mem::take(&mut reply.gossip));
            self.coordinator.wake();
            return;
        }
        let confirmed = reply.confirmed;
        // NB: most entries make no calls to the store, and hear of its loss only with its return.
        let mut state = self.core.state.borrow_mut();
        state.store_returned = state.store_returned.max(reply.store_returned);
        state.store_latency = reply.store_takes;
        drop(state);
        self.watch_calls.drop_superseded(position);
        self.applying_from = StateSource::Peer;
        let news = std::mem::take(&mut reply.gossip);
        if reply.whole {
            let entries: Vec<StoreEntry> =
                reply.into_events().into_iter().filter_map(written_entry).collect();
            self.apply_snapshot(&entries, position);
        } else {
            self.apply_changes(&reply.into_events(), position);
        }
        self.core.receive_from_parent(news);
        if let Some(confirmed) = confirmed {
            self.confirm(confirmed, position, StateSource::Peer);
        }
        self.coordinator.wake();
    }
}

fn written_entry(event: StoreEvent) -> Option<StoreEntry> {
    match event {
        StoreEvent::Written(entry) => Some(entry),
        StoreEvent::Removed { .. } => None,
    }
}
