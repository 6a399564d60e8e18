//! Keeps what the process believes in step with the platform's store.
//!
//! Changes come from another entry where one can tell them, and else from the store. Either way
//! an answer also confirms that nothing else had changed when the store was last asked.

mod first;
mod learn;
mod others;
mod report;

use std::{rc::Rc, time::Duration};

use pondwalk_store::{Fetched, StoreError, StoreEvent, WatchReply};
use tokio::time::{Instant, sleep, sleep_until};

use report::Learned;

use crate::{
    conductor::Conductor,
    core::Core,
    facts::Port,
    journal::Rank,
    membership::{News, PeerClient, Source},
    metrics::{Counter, StoreCause, Timer},
};

/// First pause after a failed call; doubles with each in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause; keeps a store that comes back from being found late.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a watch of an entry that is alone, if it brought changes, so that a burst of them
/// costs a few calls only. It is a small part of the time in which a change must be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(350);
/// Wait of a watch that is only to tell what has changed by now.
const NO_WAIT: Duration = Duration::from_millis(1);
/// Wait of the first watch after the store was lost. Its answer confirms the state again, and
/// until then keys may not be honoured.
const WAIT_AFTER_LOSS: Duration = Duration::from_millis(20);

/// Time that others are given to list an entry that has told of its start: that of the news, and of
/// a root or two that have just gone.
const LISTING_TIME: Duration = Duration::from_secs(4);

/// Follows the store for as long as the process runs.
pub async fn follow(core: Rc<Core>, port: Port, conductor: Rc<Conductor>) {
    let mut follower = Follower {
        core,
        port,
        conductor,
        lost: false,
        learns_from: Heard::FromStore,
        pause: FIRST_PAUSE,
        client: PeerClient::default(),
        source: None,
        unreached: 0,
        fallback_from: Duration::ZERO,
        fallback_pause: others::FIRST_FALLBACK_PAUSE,
        started: false,
        asked_around: 0,
        joined: false,
        list_from: Duration::ZERO,
    };
    loop {
        let Some(mut revision) = follower.read_all().await else { continue };
        follower.see_to_listing().await;
        while let Some(next) = follower.next(revision).await {
            revision = next;
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
    conductor: Rc<Conductor>,
    lost: bool,
    /// Whose answer is being taken in.
    learns_from: Heard,
    pause: Duration,
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
}

impl Follower {
    /// Learns what changed after `revision`, from another entry or from the store; `None` if
    /// all must be read anew.
    async fn next(&mut self, revision: u64) -> Option<u64> {
        match self.core.source() {
            Source::Entry { name, address } if !self.should_fall_back() => {
                self.note_source(Some(&name));
                Some(self.learn_from(&name, address, revision).await)
            }
            Source::Entry { .. } => {
                self.unreached = 0;
                self.note_source(None);
                let next = self.watch(revision, NO_WAIT, StoreCause::Fallback).await;
                self.put_off_fallback();
                next
            }
            Source::Store => {
                self.note_source(None);
                self.confirm_for_others(revision).await
            }
            Source::StoreAlone => {
                self.note_source(None);
                let wait = self.core.settings.store.watch_wait;
                self.watch(revision, wait, StoreCause::Watching).await
            }
        }
    }

    /// Asks the store at regular times, so that the confirmations that others rest on are never
    /// older than the time between two of them, whatever changes when.
    ///
    /// NB: a waiting watch would tell a change sooner, but is dated by when it was sent: a change
    /// that ends one late lets the next confirmation come two waits after the last.
    async fn confirm_for_others(&mut self, revision: u64) -> Option<u64> {
        let next_at = Instant::now() + self.core.settings.membership.times.confirm_interval;
        let next = self.watch(revision, NO_WAIT, StoreCause::Watching).await;
        if self.lost {
            return Some(self.ask_around(revision).await);
        }
        sleep_until(next_at).await;
        next
    }

    fn note_source(&mut self, entry: Option<&str>) {
        if self.source.as_deref() != entry {
            self.source = entry.map(str::to_owned);
            self.core.journal.note(Rank::State, &Learned::SourceChanged { entry });
        }
    }

    /// Sees to it that this entry is listed in the store, so that others may ask it.
    ///
    /// It tells of its start, and a root lists all that have; if none does, it lists itself.
    async fn see_to_listing(&mut self) {
        let Some(address) = self.core.settings.peers else { return };
        let now = self.core.clock.now();
        if self.core.roster.own_listed() == Some(address) || now < self.list_from {
            return;
        }
        self.list_from = now + LISTING_TIME;
        if std::mem::replace(&mut self.joined, true) {
            self.conductor.list_itself(address).await;
        } else {
            self.core.tell_news(News::Joined { address });
        }
    }

    fn take_changes(&self, events: &[StoreEvent], revision: u64) {
        for event in events {
            self.learn(event);
        }
        self.core.state.borrow_mut().replica.extend(events, revision);
    }

    fn take_whole(&self, entries: &[Fetched], revision: u64) {
        self.forget_all_but(entries);
        for entry in entries {
            self.learn_written(entry);
        }
        self.core.state.borrow_mut().replica.restart(entries, revision);
    }

    /// Learns everything, from another entry or from the store; `None` after a failure and a pause.
    async fn read_all(&mut self) -> Option<u64> {
        if !self.started
            && let Some(revision) = self.hear_first_state().await
        {
            self.started = true;
            return Some(revision);
        }
        let sent = self.core.clock.now();
        let cause = if self.started { StoreCause::Rereading } else { StoreCause::FirstReading };
        let listed = (self.port.store.list)(String::new()).await;
        self.note_call(cause, sent);
        match listed {
            Ok(listing) => {
                self.started = true;
                self.learns_from = Heard::FromStore;
                self.take_whole(&listing.entries, listing.revision);
                self.confirm(sent, listing.revision, Heard::FromStore);
                Some(listing.revision)
            }
            Err(error) => {
                self.note_failure(&error).await;
                None
            }
        }
    }

    async fn hear_first_state(&mut self) -> Option<u64> {
        let first = first::hear(&self.core).await?;
        let revision = first.told.revision;
        let event = Learned::FirstState { from: first.from.to_string(), revision };
        self.core.journal.note(Rank::State, &event);
        self.client = first.client;
        self.core.told_by.set(Some(first.from));
        self.take_told(first.told, revision);
        Some(revision)
    }

    /// Asks the store once for changes; `None` if all must be read anew.
    async fn watch(&mut self, revision: u64, wait: Duration, cause: StoreCause) -> Option<u64> {
        let sent = self.core.clock.now();
        let wait = if self.lost { wait.min(WAIT_AFTER_LOSS) } else { wait };
        let cause = if self.lost { StoreCause::Probing } else { cause };
        let watched = (self.port.store.watch)(String::new(), revision, wait).await;
        self.core.metrics.count_store_call(cause);
        match watched {
            Ok(WatchReply::Changes(events, next)) => {
                let next = next.max(revision);
                self.learns_from = Heard::FromStore;
                self.take_changes(&events, next);
                self.confirm(sent, next, Heard::FromStore);
                if !events.is_empty() && wait > WAIT_AFTER_LOSS {
                    sleep(GATHER_PAUSE).await;
                }
                Some(next)
            }
            Ok(WatchReply::HistoryGone) => {
                self.core.journal.note(Rank::State, &Learned::HistoryGone { revision });
                None
            }
            Err(error) => {
                self.note_failure(&error).await;
                Some(revision)
            }
        }
    }

    fn note_call(&self, cause: StoreCause, sent: Duration) {
        self.core.metrics.count_store_call(cause);
        self.core.metrics.time(Timer::StoreCall, self.core.clock.now().saturating_sub(sent));
    }

    /// The state was confirmed by the store at `at`; its answer was heard from it, or from others.
    fn confirm(&mut self, at: Duration, revision: u64, heard_from: Heard) {
        let mut state = self.core.state.borrow_mut();
        let before = state.freshness.confirmed();
        state.freshness.confirm(at);
        if state.freshness.confirmed() == before {
            return;
        }
        state.turn += 1;
        state.source_lost = false;
        drop(state);
        self.core.something_new.notify_waiters();
        self.conductor.wake();
        // NB: to an entry that asks the store, the store stays lost while only others can tell of
        // it; it goes on to probe it at long intervals.
        let asks_others = matches!(self.core.source(), Source::Entry { .. });
        if heard_from == Heard::FromOthers && !asks_others {
            return;
        }
        self.pause = FIRST_PAUSE;
        self.fallback_pause = others::FIRST_FALLBACK_PAUSE;
        if std::mem::replace(&mut self.lost, false) {
            // NB: that others can tell again says nothing of the store; this entry may have been the
            // only one to lose it.
            if heard_from == Heard::FromStore {
                self.core.state.borrow_mut().store_returned = Some(self.core.clock.now());
            }
            self.core.journal.note(Rank::State, &Learned::StoreRegained { revision });
        }
    }

    async fn note_failure(&mut self, error: &StoreError) {
        self.core.metrics.count(Counter::StoreFailures);
        self.core.state.borrow_mut().source_lost = true;
        if !std::mem::replace(&mut self.lost, true) {
            let age = self.core.state.borrow().freshness.age(self.core.clock.now());
            let freshness_ms = age.map(|age| age.as_millis() as u64);
            let event = Learned::StoreLost { error: error.to_string(), freshness_ms };
            self.core.journal.note(Rank::State, &event);
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}
