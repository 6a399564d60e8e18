//! Gets state from other entries, and decides when to fall back to the store.

use std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration};

use pondwalk_store::{Position, StoreEntry, StoreEvent};
use tokio::time::{Instant, sleep_until};

use super::{Follower, StateSource, events::FollowEvent, watch::MIN_WATCH_WAIT};
use crate::{
    event_log::LogPriority,
    membership::{PeerError, StateRequest, StateRequestKind, StateUpdate},
    metrics::{Counter, StoreCause},
};

/// Consecutive unreachable entries after which the store is queried.
const MAX_UNREACHABLE_IN_ROW: u32 = 3;
/// Delay after a fallback call that failed; doubles with each consecutive one.
pub const INITIAL_FALLBACK_BACKOFF: Duration = Duration::from_secs(3);
/// Maximum such delay.
const MAX_FALLBACK_BACKOFF: Duration = Duration::from_secs(12);

impl Follower {
    /// Whether an entry that normally queries a peer must query the store itself: no peer can be
    /// reached, or none has confirmed the state for too long.
    pub(super) fn should_fall_back(&self) -> bool {
        if self.watch_calls.is_receiving() {
            return false;
        }
        self.unreachable_in_row >= MAX_UNREACHABLE_IN_ROW
            || self.core.clock.now() >= self.fallback_due_at()
    }

    /// When this entry must query the store itself unless a peer confirms the state before.
    ///
    /// While only its own calls confirm the state, the entry makes them as often as a root does.
    fn fallback_due_at(&self) -> Duration {
        let times = &self.core.settings.membership.times;
        let members = &self.core.members;
        let max_age = match self.relies_on_store {
            true => times.confirm_interval,
            false => times.fallback_age_of(members.rank(), members.count()),
        };
        let state = self.core.state.borrow();
        // If the store replies late to everyone, one more query brings nothing sooner.
        let confirmed_at = state.freshness.confirmed_at().unwrap_or_default();
        (confirmed_at + max_age + state.store_latency).max(self.next_fallback_at)
    }

    /// Queries the store in addition to the peers, and schedules the next fallback.
    pub(super) fn fall_back(&mut self, position: Position) {
        self.unreachable_in_row = 0;
        self.log_source_change(None);
        self.start_watch(position, MIN_WATCH_WAIT, StoreCause::Fallback);
        self.relies_on_store = true;
        self.next_fallback_at = self.core.clock.now() + self.fallback_backoff;
        self.fallback_backoff = (self.fallback_backoff * 2).min(MAX_FALLBACK_BACKOFF);
    }

    /// Queries another entry once, and handles store replies that arrive meanwhile; `None` if a new
    /// snapshot is needed.
    pub(super) async fn poll_source(
        &mut self,
        name: &str,
        address: SocketAddr,
        position: Position,
    ) -> Option<Position> {
        let state_request =
            self.state_request(position, StateRequestKind::Changes, self.reply_deadline());
        let (client, core) = (Rc::clone(&self.client), Rc::clone(&self.core));
        let mut latest = position;
        let mut query = pin!(client.request_state(&core, address, state_request));
        let reply = loop {
            let fallback_due_at = core.clock.instant(self.fallback_due_at());
            tokio::select! {
                biased;
                // NB: a query without a response must reach its deadline, or the entry would go on
                // querying a peer that is gone.
                outcome = self.watch_calls.next() => {
                    latest = self.handle_watch_reply(outcome, latest)?;
                }
                reply = &mut query => break reply,
                () = core.relay_requests.next() => self.serve_relay_request(latest),
                () = sleep_until(fallback_due_at), if !self.watch_calls.is_receiving() => {
                    self.fall_back(latest);
                }
            }
        };
        let reply = match reply {
            // The store has brought later changes than this reply, which must not undo them.
            Ok(reply) if reply.position < latest && latest != position => {
                Ok(StateUpdate { changes: Vec::new(), whole: false, position: latest, ..reply })
            }
            reply => reply,
        };
        Some(self.handle_peer_reply(name, reply, latest))
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

    /// When to abandon a silent peer: once the state that peers reported before has become too old.
    fn reply_deadline(&self) -> Instant {
        let times = &self.core.settings.membership.times;
        let state = self.core.state.borrow();
        let confirmed_at = state.freshness.confirmed_at().filter(|_| !self.relies_on_store);
        let too_old = confirmed_at.unwrap_or_default() + times.max_peer_confirmation_age;
        // If the store replies late, every state is that old, and peers reply at each interval.
        let hold = match state.store_latency > times.exchange {
            true => times.stale_hold_time.max(times.confirm_interval + times.exchange),
            false => times.stale_hold_time,
        };
        let until = too_old.max(self.core.clock.now() + hold) + times.exchange;
        self.core.clock.instant(until)
    }

    fn state_request(
        &self,
        after: Position,
        kind: StateRequestKind,
        deadline: Instant,
    ) -> StateRequest {
        StateRequest { store: self.core.settings.store.address, after, kind, deadline }
    }

    /// Applies a peer's reply; `position` is the position after it.
    pub(super) fn apply_peer_reply(&mut self, mut reply: StateUpdate, position: Position) {
        self.core.metrics.count_many(Counter::PeerBytesReceived, reply.bytes);
        if reply.position.era != position.era {
            // The peer has not received the restoration yet; its confirmation from before is void.
            self.core.receive_from_parent(std::mem::take(&mut reply.gossip));
            self.coordinator.wake();
            return;
        }
        let confirmed = reply.confirmed;
        let max_age = self.core.settings.membership.times.max_peer_confirmation_age;
        if confirmed.is_some_and(|at| at + max_age >= self.core.clock.now()) {
            self.relies_on_store = false;
        }
        // Most entries make no store calls and are informed of an outage only once it is over.
        let mut state = self.core.state.borrow_mut();
        if let Some(outage) = reply.outage {
            let confirmed = state.freshness.confirmed_at();
            state.outages.record_from_peer(outage, confirmed);
        }
        state.store_latency = reply.store_takes;
        drop(state);
        self.watch_calls.drop_superseded(position);
        self.begin_reply(StateSource::Peer, confirmed);
        let gossip = std::mem::take(&mut reply.gossip);
        if reply.whole {
            let outage = reply.outage;
            let entries: Vec<StoreEntry> =
                reply.into_events().into_iter().filter_map(written_entry).collect();
            self.apply_snapshot(&entries, position, outage);
        } else {
            self.apply_changes(&reply.into_events(), position);
        }
        self.core.receive_from_parent(gossip);
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
