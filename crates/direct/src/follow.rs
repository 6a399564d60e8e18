//! Keeps what the process believes in step with the platform's store.
//!
//! Changes come from another entry where one can tell them, and else from the store. Either way
//! an answer also confirms that nothing else had changed when the store was last asked.

mod asking;
mod first;
mod learn;
mod others;
mod report;
mod watching;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use pondwalk_store::{Listing, Position, StoreEntry, StoreError, StoreEvent, WatchReply};
use pondwalk_types::{DataCentreId, ServerId};
use tokio::time::{Instant, sleep, timeout};

use asking::{Answered, Asked, Asking};
use first::FirstState;
use report::Learned;

use crate::{
    coordinator::Coordinator,
    core::Core,
    event_log::LogPriority,
    membership::{self, ChangeSource, ENTRY_PREFIX, Gossip, PeerClient},
    metrics::{Counter, StoreCause, Timer},
    port::Port,
};

/// First pause after a failed call; doubles with each in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause; keeps a store that comes back from being found late.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Time that others are given to list an entry that has told of its start: that of the news, and of
/// a root or two that have just gone.
const LISTING_TIME: Duration = Duration::from_secs(4);

/// Follows the store for as long as the process runs.
pub async fn follow(core: Rc<Core>, port: Port, coordinator: Rc<Coordinator>) {
    let mut follower = Follower {
        core,
        port,
        coordinator,
        lost: false,
        learns_from: Heard::FromStore,
        pause: FIRST_PAUSE,
        listing: Asking::default(),
        watching: Asking::default(),
        ask_at: Instant::now(),
        ask_around_at: Instant::now(),
        client: PeerClient::default(),
        source: None,
        unreached: 0,
        fallback_from: Duration::ZERO,
        fallback_pause: others::FIRST_FALLBACK_PAUSE,
        started: false,
        asked_around: 0,
        joined: false,
        list_from: Duration::ZERO,
        takes_copy: false,
        lost_evacuations: RefCell::default(),
        unreadable: RefCell::default(),
    };
    loop {
        let Some(mut position) = follower.read_all().await else { continue };
        follower.see_to_listing().await;
        while let Some(next) = follower.next(position).await {
            position = next;
            follower.forget_lapsed();
            follower.see_to_listing().await;
        }
    }
}

/// Whose answer a confirmation was heard in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    FromStore,
    FromOthers,
}

struct Follower {
    core: Rc<Core>,
    port: Port,
    coordinator: Rc<Coordinator>,
    lost: bool,
    /// Whose answer is being taken in.
    learns_from: Heard,
    /// Pause after the next failed call.
    pause: Duration,
    /// Whole readings under way.
    listing: Asking<Listing>,
    /// Calls for what has changed that are under way.
    watching: Asking<WatchReply>,
    /// Earliest time of the next such call by an entry that asks the store.
    ask_at: Instant,
    /// Earliest time of the next round of questions to others by one that has lost it.
    ask_around_at: Instant,
    client: PeerClient,
    /// Entry that was asked last, if any.
    source: Option<String>,
    /// Entries in a row that could not be reached.
    unreached: u32,
    /// Earliest time of the next question to the store by an entry that should learn from others.
    fallback_from: Duration,
    fallback_pause: Duration,
    /// Whether a first state was learned.
    started: bool,
    /// Questions to others while this entry has lost the store.
    asked_around: usize,
    /// Whether this entry has told of its start.
    joined: bool,
    /// When it may see to its listing again.
    list_from: Duration,
    /// Whether the state that is being taken in comes from a restored copy.
    takes_copy: bool,
    /// Until when evacuations hold that a restored store lacks and the operator may write again.
    lost_evacuations: RefCell<BTreeMap<DataCentreId, Duration>>,
    /// Servers whose entries cannot be read, as far as that was logged.
    unreadable: RefCell<BTreeSet<ServerId>>,
}

impl Follower {
    /// Learns what changed after `position`, from another entry or from the store; `None` if
    /// all must be read anew.
    async fn next(&mut self, position: Position) -> Option<Position> {
        match self.core.source() {
            ChangeSource::Entry { name, address } => {
                if self.should_fall_back() {
                    self.fall_back(position);
                }
                self.note_source(Some(&name));
                self.learn_from(&name, address, position).await
            }
            ChangeSource::Store => {
                self.note_source(None);
                self.confirm_for_others(position).await
            }
            ChangeSource::StoreStandalone => {
                self.note_source(None);
                self.watch_alone(position).await
            }
        }
    }

    fn is_alone(&self) -> bool {
        self.core.source() == ChangeSource::StoreStandalone
    }

    fn note_source(&mut self, entry: Option<&str>) {
        if self.source.as_deref() != entry {
            self.source = entry.map(str::to_owned);
            self.core.event_log.record(LogPriority::State, &Learned::SourceChanged { entry });
        }
    }

    /// Sees to it that this entry is listed in the store, so that others may ask it.
    ///
    /// It tells of its start, and a root lists all that have; if none does, it lists itself.
    async fn see_to_listing(&mut self) {
        let Some(address) = self.core.settings.peers else { return };
        let own = membership::Listing { address, link_mbps: self.core.settings.link_mbps };
        let now = self.core.clock.now();
        if self.core.members.own_listing() == Some(own) || now < self.list_from {
            return;
        }
        self.list_from = now + LISTING_TIME + self.core.state.borrow().store_latency;
        if std::mem::replace(&mut self.joined, true) {
            self.coordinator.list_itself(own).await;
        } else {
            self.core.publish_gossip(Gossip::Joined { listing: own });
        }
    }

    fn take_changes(&self, events: &[StoreEvent], position: Position) {
        for event in events {
            self.learn(event);
        }
        self.core.state.borrow_mut().replica.apply_changes(events, position);
    }

    fn take_whole(&mut self, entries: &[StoreEntry], position: Position) {
        self.takes_copy = self.is_restored(position);
        if self.takes_copy {
            self.note_restored(entries, position);
            self.coordinator.forget_stored();
        }
        self.core.state.borrow_mut().replica.reset(entries, position);
        self.core.learn_usage_era(position.era);
        self.forget_all_but(entries);
        for entry in entries {
            self.learn_written(entry);
        }
        if std::mem::take(&mut self.takes_copy) {
            self.coordinator.find_lost_steps();
        }
    }

    /// Learns everything, from another entry or from the store; `None` if that is to be tried again.
    async fn read_all(&mut self) -> Option<Position> {
        if !self.started {
            // NB: a reading that is under way goes on; whichever tells first is taken.
            let heard = tokio::select! {
                biased;
                answered = self.listing.next() => return self.take_listing(answered).await,
                heard = first::hear(&self.core) => heard,
            };
            if let Some(first) = heard {
                return Some(self.take_first_state(first));
            }
        }
        if !self.listing.is_moving() {
            self.start_listing();
        }
        let limit = self.core.settings.store.timeout;
        match timeout(limit, self.listing.next()).await {
            Ok(answered) => self.take_listing(answered).await,
            Err(_) => {
                if !self.listing.is_moving() {
                    self.note_failure(&StoreError::ResponseLost);
                }
                None
            }
        }
    }

    fn start_listing(&mut self) {
        let sent = self.core.clock.now();
        let cause = if self.started { StoreCause::Rereading } else { StoreCause::FirstReading };
        self.core.metrics.count_store_call(cause);
        let asked = Asked { sent, after: Position::default(), wait: Duration::ZERO };
        self.listing.start(asked, (self.port.store.list)(String::new()));
    }

    async fn take_listing(&mut self, answered: Answered<Listing>) -> Option<Position> {
        let sent = answered.asked.sent;
        let took = self.core.clock.now().saturating_sub(sent);
        self.core.metrics.time(Timer::StoreCall, took);
        self.core.state.borrow_mut().store_latency = took;
        match answered.answer {
            Ok(listing) => {
                self.listing.clear();
                self.learns_from = Heard::FromStore;
                self.take_whole(&listing.entries, listing.position);
                self.started = true;
                self.confirm(sent, listing.position, Heard::FromStore);
                Some(listing.position)
            }
            Err(error) => {
                self.note_failure(&error);
                sleep(self.pause).await;
                self.pause = self.next_pause();
                None
            }
        }
    }

    fn take_first_state(&mut self, first: FirstState) -> Position {
        self.listing.clear();
        let position = first.told.position;
        let event = Learned::FirstState { from: first.from.to_string(), position };
        self.core.event_log.record(LogPriority::State, &event);
        self.client = first.client;
        self.core.initial_source.set(Some(first.from));
        self.take_told(first.told, position);
        self.started = true;
        position
    }

    /// The state was confirmed by the store at `at`; its answer was heard from it, or from others.
    fn confirm(&mut self, at: Duration, position: Position, heard_from: Heard) {
        let mut state = self.core.state.borrow_mut();
        let before = state.freshness.confirmed();
        state.freshness.confirm(at);
        if state.freshness.confirmed() == before {
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
        if heard_from == Heard::FromOthers && !asks_others {
            return;
        }
        self.pause = FIRST_PAUSE;
        self.fallback_pause = others::FIRST_FALLBACK_PAUSE;
        self.fallback_from = Duration::ZERO;
        if std::mem::replace(&mut self.lost, false) {
            // NB: that others can tell again says nothing of the store; this entry may have been the
            // only one to lose it.
            if heard_from == Heard::FromStore {
                self.core.state.borrow_mut().store_returned = Some(self.core.clock.now());
            }
            self.core.event_log.record(LogPriority::State, &Learned::StoreRegained { position });
        }
    }

    /// Whether a whole state is of another era than the one held.
    fn is_restored(&self, position: Position) -> bool {
        self.started && self.core.state.borrow().replica.position().era != position.era
    }

    /// The store was restored from a copy, and lacks what was written to it after that.
    fn note_restored(&mut self, entries: &[StoreEntry], position: Position) {
        let mut state = self.core.state.borrow_mut();
        let before = state.replica.position();
        // NB: a store that is restored was away, even if nobody noticed.
        state.store_returned = Some(self.core.clock.now());
        drop(state);
        self.core
            .event_log
            .record(LogPriority::State, &Learned::StoreRestored { before, position });
        let listed = entries.iter().filter_map(|entry| entry.key.strip_prefix(ENTRY_PREFIX));
        self.core.members.set_stored(&listed.collect());
        // NB: whoever is not listed any more tells the others, as at its start.
        self.joined = false;
        self.list_from = Duration::ZERO;
    }

    /// A call failed; the store counts as lost until it answers.
    fn note_failure(&mut self, error: &StoreError) {
        self.core.metrics.count(Counter::StoreFailures);
        self.core.state.borrow_mut().source_lost = true;
        if !std::mem::replace(&mut self.lost, true) {
            let age = self.core.state.borrow().freshness.age(self.core.clock.now());
            let freshness_ms = age.map(|age| age.as_millis() as u64);
            let event = Learned::StoreLost { error: error.to_string(), freshness_ms };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn next_pause(&self) -> Duration {
        (self.pause * 2).min(LONGEST_PAUSE)
    }
}
