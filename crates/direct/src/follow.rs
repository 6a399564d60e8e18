//! Keeps the entry's state in sync with the platform's store.
//!
//! Changes come from another entry if one can provide them, otherwise from the store. Either way a
//! reply also confirms that there were no other changes at the time the store was queried.

mod apply;
mod calls;
mod events;
mod initial_state;
mod origin;
mod peers;
mod relay;
mod watch;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use pondwalk_store::{Listing, Position, StoreEntry, StoreError, StoreEvent, WatchReply};
use pondwalk_types::{DataCentreId, ServerId};
use tokio::time::{Instant, sleep, timeout};

use calls::{CallOutcome, CallParams, PendingCalls};
use events::FollowEvent;
use initial_state::InitialState;
use origin::{ChangeOrigin, StateSource};
use relay::Relays;

use crate::{
    coordinator::Coordinator,
    core::Core,
    event_log::LogPriority,
    membership::{self, ChangeSource, ENTRY_PREFIX, Gossip, PeerClient},
    metrics::{Counter, StoreCause, Timer},
    outage::Outage,
    port::Port,
};

/// Delay after a failed call; doubles with each consecutive failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum such delay; bounds how late the store's return is noticed.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Time left to the roots to list an entry that announced its start: covers gossip propagation and
/// the failure of one or two roots.
const LISTING_GRACE: Duration = Duration::from_secs(4);

/// Follows the store for as long as the process runs.
pub async fn follow(core: Rc<Core>, port: Port, coordinator: Rc<Coordinator>) {
    let mut follower = Follower {
        core,
        port,
        coordinator,
        store_lost: false,
        origin: ChangeOrigin::default(),
        backoff: INITIAL_BACKOFF,
        list_calls: PendingCalls::default(),
        watch_calls: PendingCalls::default(),
        next_watch_at: Instant::now(),
        relays: Relays::new(),
        client: Rc::default(),
        last_source: None,
        unreachable_in_row: 0,
        next_fallback_at: Duration::ZERO,
        fallback_backoff: peers::INITIAL_FALLBACK_BACKOFF,
        relies_on_store: false,
        has_initial_state: false,
        has_announced: false,
        next_listing_at: Duration::ZERO,
        is_restoring: false,
        lost_evacuations: RefCell::default(),
        unreadable: RefCell::default(),
    };
    loop {
        let Some(mut position) = follower.load_snapshot().await else { continue };
        follower.ensure_listed().await;
        while let Some(next) = follower.sync_next(position).await {
            position = next;
            follower.remove_lapsed();
            follower.ensure_listed().await;
        }
    }
}

struct Follower {
    core: Rc<Core>,
    port: Port,
    coordinator: Rc<Coordinator>,
    store_lost: bool,
    /// Origin of the reply that is being applied.
    origin: ChangeOrigin,
    /// Delay after the next failed call.
    backoff: Duration,
    /// List calls (snapshots) in flight.
    list_calls: PendingCalls<Listing>,
    /// Watch calls in flight.
    watch_calls: PendingCalls<WatchReply>,
    /// Earliest time of the next watch call, for an entry that queries the store.
    next_watch_at: Instant,
    /// Store calls through other entries.
    relays: Relays,
    client: Rc<PeerClient>,
    /// Entry that was queried last, if any.
    last_source: Option<String>,
    /// Consecutive entries that could not be reached.
    unreachable_in_row: u32,
    /// Earliest time of the next direct store call by an entry that normally queries another entry.
    next_fallback_at: Duration,
    fallback_backoff: Duration,
    /// Whether no peer has confirmed the state since the last direct store call.
    relies_on_store: bool,
    /// Whether an initial state was applied.
    has_initial_state: bool,
    /// Whether this entry has announced its start.
    has_announced: bool,
    /// Earliest time of the next attempt to get this entry listed.
    next_listing_at: Duration,
    /// Whether the snapshot that is being applied comes from a restored store.
    is_restoring: bool,
    /// Evacuations missing from a restored store, each with the time until which it stays in force
    /// so that the operator can rewrite it.
    lost_evacuations: RefCell<BTreeMap<DataCentreId, Duration>>,
    /// Servers whose record can't be decoded and was logged.
    unreadable: RefCell<BTreeSet<ServerId>>,
}

impl Follower {
    /// Receives the changes after `position` from another entry or from the store; `None` if a new
    /// snapshot is needed.
    async fn sync_next(&mut self, position: Position) -> Option<Position> {
        match self.core.source() {
            ChangeSource::Entry { name, address } => {
                if self.should_fall_back() {
                    self.fall_back(position);
                }
                self.log_source_change(Some(&name));
                self.poll_source(&name, address, position).await
            }
            ChangeSource::Store => {
                self.log_source_change(None);
                self.poll_store(position).await
            }
            ChangeSource::StoreStandalone => {
                self.log_source_change(None);
                self.watch_alone(position).await
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.core.source() == ChangeSource::StoreStandalone
    }

    fn log_source_change(&mut self, entry: Option<&str>) {
        if self.last_source.as_deref() != entry {
            self.last_source = entry.map(str::to_owned);
            self.core.event_log.record(LogPriority::State, &FollowEvent::SourceChanged { entry });
        }
    }

    /// Ensures that this entry is listed in the store, so that others can query it.
    ///
    /// The entry announces its start by gossip, and a root lists all announced entries in one
    /// write; if no root does, the entry lists itself.
    async fn ensure_listed(&mut self) {
        let Some(address) = self.core.settings.peers else { return };
        let own = membership::Listing { address, link_mbps: self.core.settings.link_mbps };
        let now = self.core.clock.now();
        if self.core.members.own_listing() == Some(own) || now < self.next_listing_at {
            return;
        }
        self.next_listing_at = now + LISTING_GRACE + self.core.state.borrow().store_latency;
        if std::mem::replace(&mut self.has_announced, true) {
            self.coordinator.list_self(own).await;
        } else {
            self.core.publish_gossip(Gossip::Joined { listing: own });
        }
    }

    fn apply_changes(&self, events: &[StoreEvent], position: Position) {
        if !events.is_empty() {
            self.time_changes();
        }
        for event in events {
            self.apply_event(event);
        }
        self.core.state.borrow_mut().replica.apply_changes(events, position);
    }

    /// Applies a full snapshot; `peer_outage` is the last outage known to the entry that sent it.
    fn apply_snapshot(
        &mut self,
        entries: &[StoreEntry],
        position: Position,
        peer_outage: Option<Outage>,
    ) {
        self.is_restoring = self.is_restored(position);
        if self.is_restoring {
            self.on_store_restored(entries, position, peer_outage);
            self.coordinator.clear_stored();
        }
        self.core.state.borrow_mut().replica.reset(entries, position);
        self.core.apply_usage_era(position.era);
        self.retain_listed(entries);
        for entry in entries {
            self.apply_written(entry);
        }
        if std::mem::take(&mut self.is_restoring) {
            self.coordinator.find_lost_steps();
        }
    }

    /// Loads a full snapshot from another entry or from the store; `None` if the load must be
    /// retried.
    async fn load_snapshot(&mut self) -> Option<Position> {
        if !self.has_initial_state {
            // A list call in flight continues; whichever reply arrives first is used.
            let fetched = tokio::select! {
                biased;
                outcome = self.list_calls.next() => return self.handle_list_reply(outcome).await,
                fetched = initial_state::fetch(&self.core) => fetched,
            };
            if let Some(first) = fetched {
                return Some(self.apply_initial_state(first));
            }
        }
        if !self.list_calls.is_receiving() {
            self.start_list_call();
        }
        let limit = self.core.settings.store.timeout;
        match timeout(limit, self.list_calls.next()).await {
            Ok(outcome) => self.handle_list_reply(outcome).await,
            Err(_) => {
                if !self.list_calls.is_receiving() {
                    self.on_store_failure(&StoreError::ResponseLost);
                }
                None
            }
        }
    }

    fn start_list_call(&mut self) {
        let sent = self.core.clock.now();
        let cause =
            if self.has_initial_state { StoreCause::Rereading } else { StoreCause::FirstReading };
        self.core.metrics.count_store_call(cause);
        let params = CallParams { sent, after: Position::default(), wait: Duration::ZERO };
        self.list_calls.start(params, (self.port.store.list)(String::new()));
    }

    async fn handle_list_reply(&mut self, outcome: CallOutcome<Listing>) -> Option<Position> {
        let sent = outcome.params.sent;
        let took = self.core.clock.now().saturating_sub(sent);
        self.core.metrics.time(Timer::StoreCall, took);
        match outcome.reply {
            Ok(listing) => {
                self.list_calls.clear();
                self.record_outage(took);
                self.begin_reply(StateSource::Store, Some(sent));
                self.apply_snapshot(&listing.entries, listing.position, None);
                self.has_initial_state = true;
                self.confirm(sent, listing.position, StateSource::Store);
                Some(listing.position)
            }
            Err(error) => {
                self.core.state.borrow_mut().store_latency = took;
                self.on_store_failure(&error);
                sleep(self.backoff).await;
                self.backoff = self.next_backoff();
                None
            }
        }
    }

    fn apply_initial_state(&mut self, first: InitialState) -> Position {
        self.list_calls.clear();
        let position = first.reply.position;
        let event = FollowEvent::FirstState { from: first.from.to_string(), position };
        self.core.event_log.record(LogPriority::State, &event);
        self.client = Rc::new(first.client);
        self.core.initial_source.set(Some(first.from));
        self.apply_peer_reply(first.reply, position);
        self.has_initial_state = true;
        position
    }

    /// Records that the store confirmed the state at `at`, as reported by the store itself or by a
    /// peer.
    fn confirm(&mut self, at: Duration, position: Position, source: StateSource) {
        let mut state = self.core.state.borrow_mut();
        let before = state.freshness.confirmed_at();
        state.freshness.confirm(at);
        if state.freshness.confirmed_at() == before {
            return;
        }
        state.confirmation_count += 1;
        state.store_call_failed = false;
        drop(state);
        self.core.state_changed.notify_waiters();
        self.coordinator.wake();
        // For an entry that queries the store, the store stays lost while only peers can provide
        // its changes; the entry keeps probing it at long intervals.
        let queries_peer = matches!(self.core.source(), ChangeSource::Entry { .. });
        if source == StateSource::Peer && !queries_peer {
            return;
        }
        self.backoff = INITIAL_BACKOFF;
        self.fallback_backoff = peers::INITIAL_FALLBACK_BACKOFF;
        self.next_fallback_at = Duration::ZERO;
        if std::mem::replace(&mut self.store_lost, false) {
            self.core
                .event_log
                .record(LogPriority::State, &FollowEvent::StoreRegained { position });
        }
    }

    /// Whether a snapshot is of a different era than the state held.
    fn is_restored(&self, position: Position) -> bool {
        self.has_initial_state && self.core.state.borrow().replica.position().era != position.era
    }

    /// Handles a store that was restored from a backup and lacks later writes.
    fn on_store_restored(
        &mut self,
        entries: &[StoreEntry],
        position: Position,
        peer_outage: Option<Outage>,
    ) {
        let now = self.core.clock.now();
        let mut state = self.core.state.borrow_mut();
        let before = state.replica.position();
        let from = state.freshness.confirmed_at().unwrap_or_default();
        // Another entry may have received the restoration earlier.
        let until = peer_outage.map_or(now, |outage| outage.until);
        state.outages.record_restoration(Outage { from: from.min(until), until });
        drop(state);
        self.core
            .event_log
            .record(LogPriority::State, &FollowEvent::StoreRestored { before, position });
        let listed = entries.iter().filter_map(|entry| entry.key.strip_prefix(ENTRY_PREFIX));
        self.core.members.set_stored(&listed.collect());
        // An entry that is no longer listed announces itself as after a start.
        self.has_announced = false;
        self.next_listing_at = Duration::ZERO;
    }

    /// Records a failed call; the store counts as lost until the next reply.
    fn on_store_failure(&mut self, error: &StoreError) {
        self.core.metrics.count(Counter::StoreFailures);
        self.core.relay_requests.record_failure();
        self.core.state.borrow_mut().store_call_failed = true;
        if !std::mem::replace(&mut self.store_lost, true) {
            let age = self.core.state.borrow().freshness.age(self.core.clock.now());
            let freshness_ms = age.map(|age| age.as_millis() as u64);
            let event = FollowEvent::StoreLost { error: error.to_string(), freshness_ms };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn next_backoff(&self) -> Duration {
        (self.backoff * 2).min(MAX_BACKOFF)
    }
}
