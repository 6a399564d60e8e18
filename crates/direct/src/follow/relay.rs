//! Store calls through other entries, for an entry that gets no response itself.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_config::RELAY_GROUPS;
use pondwalk_store::Position;
use tokio::{task::JoinSet, time::Instant};

use super::Follower;
use crate::membership::{
    ChangeSource, PeerClient, PeerError, StateRequest, StateRequestKind, StateUpdate, root_count,
};

/// Entries that are asked at the same time. If the store rejects half of all entries, one of two
/// groups gets a response in 63 of 64 cases.
const RELAY_GROUP_SIZE: usize = 3;
/// Distance in the order of the entries between two that are asked one after the other. Entries that
/// are next to one another may have a data centre or a kind of link in common. A prime, so that no
/// entry is asked twice in a round.
const RELAY_STRIDE: usize = 7_919;
/// Maximum delay added to the confirmation interval while no other entry gets a response.
const MAX_RELAY_BACKOFF: Duration = Duration::from_millis(2_400);

/// An entry that calls the store for this one.
#[derive(Debug, Clone)]
struct Relay {
    address: SocketAddr,
    /// Holds the connection to the entry and the offset of its clock.
    client: Rc<PeerClient>,
}

/// Store calls through other entries.
#[derive(Debug)]
pub(super) struct Relays {
    /// Calls in flight; dropping them aborts them.
    calls: JoinSet<RelayOutcome>,
    /// Groups of entries asked in this round; an entry asked alone counts as one.
    groups_asked: usize,
    /// Number of rounds so far.
    rounds: usize,
    /// Earliest time of the next calls.
    next_at: Instant,
    /// Delay added to that time while no other entry gets a response either.
    backoff: Duration,
    /// Entry that last got a response.
    last: Option<Relay>,
}

impl Relays {
    pub fn new() -> Self {
        Relays {
            calls: JoinSet::new(),
            groups_asked: 0,
            rounds: 0,
            next_at: Instant::now(),
            backoff: Duration::ZERO,
            last: None,
        }
    }

    /// Waits for the next outcome; forever if no call is in flight.
    pub async fn next(&mut self) -> RelayOutcome {
        loop {
            match self.calls.join_next().await {
                Some(Ok(outcome)) => return outcome,
                // An aborted call yields no outcome.
                Some(Err(_)) => {}
                None => std::future::pending().await,
            }
        }
    }
}

/// Reply of an entry to a request for a store call.
#[derive(Debug)]
pub(super) struct RelayOutcome {
    relay: Relay,
    reply: Result<StateUpdate, PeerError>,
}

impl Follower {
    /// When other entries are to be asked for a store call; `None` while that is not needed.
    pub(super) fn relay_due_at(&self) -> Option<Instant> {
        let calls = &self.relays;
        // An entry that only stands in for a stale root leaves that to the root.
        let is_root = !matches!(self.core.parent_without_store(), ChangeSource::Entry { .. });
        if !calls.calls.is_empty() || !is_root {
            return None;
        }
        if self.store_lost {
            return Some(calls.next_at);
        }
        let state = self.core.state.borrow();
        let confirmed_at = state.freshness.confirmed_at().unwrap_or_default();
        let unanswered_since = self.watch_calls.oldest_sent_after(confirmed_at)?;
        let relay_delay = self.core.settings.membership.times.relay_delay;
        let overdue_at = unanswered_since + relay_delay + state.store_latency;
        Some(self.core.clock.instant(overdue_at).max(calls.next_at))
    }

    /// Asks for a confirmed state from the entry that last got a response, or from some of the next
    /// in order.
    pub(super) fn start_relay_round(&mut self, position: Position) {
        let interval = self.core.settings.membership.times.confirm_interval;
        self.relays.next_at = Instant::now() + interval;
        self.relays.groups_asked = 0;
        self.relays.rounds += 1;
        match self.relays.last.take() {
            Some(last) => {
                self.relays.groups_asked = 1;
                self.start_relay_call(last, position);
            }
            None => self.start_next_group(position),
        }
    }

    fn start_next_group(&mut self, position: Position) {
        let members = &self.core.members;
        let others = members.reachable_peers(self.core.clock.now());
        // The roots ask different entries.
        let round = self.relays.rounds * root_count(members.count()) + members.rank();
        let group = round * RELAY_GROUPS + self.relays.groups_asked;
        let first = group * RELAY_GROUP_SIZE;
        self.relays.groups_asked += 1;
        for index in first..first + RELAY_GROUP_SIZE.min(others.len()) {
            let (_, address) = others[index * RELAY_STRIDE % others.len()];
            self.start_relay_call(Relay { address, client: Rc::default() }, position);
        }
    }

    fn start_relay_call(&mut self, relay: Relay, position: Position) {
        let core = Rc::clone(&self.core);
        let latency = core.state.borrow().store_latency;
        let timeout = core.settings.membership.times.relay_timeout() + latency;
        let request = StateRequest {
            store: core.settings.store.address,
            after: position,
            kind: StateRequestKind::Relayed,
            deadline: Instant::now() + timeout,
        };
        self.relays.calls.spawn_local(async move {
            let reply = relay.client.request_state(&core, relay.address, request).await;
            RelayOutcome { relay, reply }
        });
    }

    /// Applies the first state received, and asks the next entries if there is none.
    pub(super) fn handle_relay_outcome(
        &mut self,
        outcome: RelayOutcome,
        position: Position,
    ) -> Position {
        let RelayOutcome { relay, reply } = outcome;
        if let Ok(reply) = reply {
            self.relays.calls = JoinSet::new();
            self.relays.backoff = Duration::ZERO;
            self.relays.last = Some(relay);
            let next = reply.position.max(position);
            self.apply_peer_reply(reply, next);
            return next;
        }
        // NB: a failure doesn't show that the entry is unreachable, since it waits for the store too.
        let calls = &mut self.relays;
        if calls.calls.is_empty() && calls.groups_asked < RELAY_GROUPS {
            self.start_next_group(position);
        } else if calls.calls.is_empty() {
            let interval = self.core.settings.membership.times.confirm_interval;
            calls.next_at += calls.backoff;
            calls.backoff = (calls.backoff * 2).clamp(interval, MAX_RELAY_BACKOFF);
        }
        position
    }
}
