//! Keeps what the process believes in step with the platform's store.
//!
//! Changes come from another entry where one can tell them, and else from the store. Either way
//! an answer also confirms that nothing else had changed when the store was last asked.

mod apply;
mod calls;
mod events;
mod initial_state;
mod peers;
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

use crate::{
    coordinator::Coordinator,
    core::Core,
    event_log::LogPriority,
    membership::{self, ChangeSource, ENTRY_PREFIX, Gossip, PeerClient},
    metrics::{Counter, StoreCause, Timer},
    port::Port,
};

/// First pause after a failed call; doubles with each in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Longest such pause; keeps a store that comes back from being found late.
const MAX_BACKOFF: Duration = Duration::from_millis(400);
/// Time that others are given to list an entry that has told of its start: that of the news, and of
/// a root or two that have just gone.
const LISTING_GRACE: Duration = Duration::from_secs(4);

/// Follows the store for as long as the process runs.
pub async fn follow(core: Rc<Core>, port: Port, coordinator: Rc<Coordinator>) {
    let mut follower = Follower {
        core,
        port,
        coordinator,
        store_lost: false,
        applying_from: StateSource::Store,
        backoff: INITIAL_BACKOFF,
        list_calls: PendingCalls::default(),
        watch_calls: PendingCalls::default(),
        next_watch_at: Instant::now(),
        next_peer_round_at: Instant::now(),
        client: PeerClient::default(),
        last_source: None,
        unreachable_in_row: 0,
        next_fallback_at: Duration::ZERO,
        fallback_backoff: peers::INITIAL_FALLBACK_BACKOFF,
        has_initial_state: false,
        peer_cursor: 0,
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

/// Whose answer a confirmation was heard in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StateSource {
    Store,
    Peer,
}

struct Follower {
    core: Rc<Core>,
    port: Port,
    coordinator: Rc<Coordinator>,
    store_lost: bool,
    /// Whose answer is being taken in.
    applying_from: StateSource,
    /// Pause after the next failed call.
    backoff: Duration,
    /// Whole readings under way.
    list_calls: PendingCalls<Listing>,
    /// Calls for what has changed that are under way.
    watch_calls: PendingCalls<WatchReply>,
    /// Earliest time of the next such call by an entry that asks the store.
    next_watch_at: Instant,
    /// Earliest time of the next round of questions to others by one that has lost it.
    next_peer_round_at: Instant,
    client: PeerClient,
    /// Entry that was asked last, if any.
    last_source: Option<String>,
    /// Entries in a row that could not be reached.
    unreachable_in_row: u32,
    /// Earliest time of the next question to the store by an entry that should learn from others.
    next_fallback_at: Duration,
    fallback_backoff: Duration,
    /// Whether a first state was learned.
    has_initial_state: bool,
    /// Questions to others while this entry has lost the store.
    peer_cursor: usize,
    /// Whether this entry has told of its start.
    has_announced: bool,
    /// When it may see to its listing again.
    next_listing_at: Duration,
    /// Whether the state that is being taken in comes from a restored copy.
    is_restoring: bool,
    /// Until when evacuations hold that a restored store lacks and the operator may write again.
    lost_evacuations: RefCell<BTreeMap<DataCentreId, Duration>>,
    /// Servers whose entries cannot be read, as far as that was logged.
    unreadable: RefCell<BTreeSet<ServerId>>,
}

impl Follower {
    /// Learns what changed after `position`, from another entry or from the store; `None` if
    /// all must be read anew.
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

    /// Sees to it that this entry is listed in the store, so that others may ask it.
    ///
    /// It tells of its start, and a root lists all that have; if none does, it lists itself.
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
        for event in events {
            self.apply_event(event);
        }
        self.core.state.borrow_mut().replica.apply_changes(events, position);
    }

    fn apply_snapshot(&mut self, entries: &[StoreEntry], position: Position) {
        self.is_restoring = self.is_restored(position);
        if self.is_restoring {
            self.on_store_restored(entries, position);
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

    /// Learns everything, from another entry or from the store; `None` if that is to be tried again.
    async fn load_snapshot(&mut self) -> Option<Position> {
        if !self.has_initial_state {
            // NB: a reading that is under way goes on; whichever tells first is taken.
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
        self.core.state.borrow_mut().store_latency = took;
        match outcome.reply {
            Ok(listing) => {
                self.list_calls.clear();
                self.applying_from = StateSource::Store;
                self.apply_snapshot(&listing.entries, listing.position);
                self.has_initial_state = true;
                self.confirm(sent, listing.position, StateSource::Store);
                Some(listing.position)
            }
            Err(error) => {
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
        self.client = first.client;
        self.core.initial_source.set(Some(first.from));
        self.apply_peer_reply(first.reply, position);
        self.has_initial_state = true;
        position
    }

    /// The state was confirmed by the store at `at`; its answer was heard from it, or from others.
    fn confirm(&mut self, at: Duration, position: Position, source: StateSource) {
        let mut state = self.core.state.borrow_mut();
        let before = state.freshness.confirmed_at();
        state.freshness.confirm(at);
        if state.freshness.confirmed_at() == before {
            return;
        }
        state.confirmation_count += 1;
        state.source_lost = false;
        drop(state);
        self.core.state_changed.notify_waiters();
        self.coordinator.wake();
        // NB: to an entry that asks the store, the store stays lost while only others can tell of
        // it; it goes on to probe it at long intervals.
        let asks_others = matches!(self.core.source(), ChangeSource::Entry { .. });
        if source == StateSource::Peer && !asks_others {
            return;
        }
        self.backoff = INITIAL_BACKOFF;
        self.fallback_backoff = peers::INITIAL_FALLBACK_BACKOFF;
        self.next_fallback_at = Duration::ZERO;
        if std::mem::replace(&mut self.store_lost, false) {
            // NB: that others can tell again says nothing of the store; this entry may have been the
            // only one to lose it.
            if source == StateSource::Store {
                self.core.state.borrow_mut().store_returned = Some(self.core.clock.now());
            }
            self.core
                .event_log
                .record(LogPriority::State, &FollowEvent::StoreRegained { position });
        }
    }

    /// Whether a whole state is of another era than the one held.
    fn is_restored(&self, position: Position) -> bool {
        self.has_initial_state && self.core.state.borrow().replica.position().era != position.era
    }

    /// The store was restored from a copy, and lacks what was written to it after that.
    fn on_store_restored(&mut self, entries: &[StoreEntry], position: Position) {
        let mut state = self.core.state.borrow_mut();
        let before = state.replica.position();
        // NB: a store that is restored was away, even if nobody noticed.
        state.store_returned = Some(self.core.clock.now());
        drop(state);
        self.core
            .event_log
            .record(LogPriority::State, &FollowEvent::StoreRestored { before, position });
        let listed = entries.iter().filter_map(|entry| entry.key.strip_prefix(ENTRY_PREFIX));
        self.core.members.set_stored(&listed.collect());
        // NB: whoever is not listed any more tells the others, as at its start.
        self.has_announced = false;
        self.next_listing_at = Duration::ZERO;
    }

    /// A call failed; the store counts as lost until it answers.
    fn on_store_failure(&mut self, error: &StoreError) {
        self.core.metrics.count(Counter::StoreFailures);
        self.core.state.borrow_mut().source_lost = true;
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
