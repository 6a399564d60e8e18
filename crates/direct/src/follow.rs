//! Keeps what the process believes in step with the platform's store.
//!
//! Changes come from another entry where one can tell them, and else from the store. Either way
//! an answer also confirms that nothing else had changed when the store was last asked.

mod first;
mod learn;
mod report;

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_store::{Fetched, StoreError, StoreEvent, WatchReply};
use tokio::time::{Instant, sleep, sleep_until};

use report::Learned;

use crate::{
    conductor::Conductor,
    core::Core,
    facts::Port,
    journal::Rank,
    membership::{AskError, Need, News, PeerClient, Question, Source, Told},
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

/// Other entries that one which has lost the store asks between two calls to it.
const ASKED_AROUND: usize = 6;
/// Entries in a row that cannot be reached before the store is asked.
const UNREACHED_IN_ROW: u32 = 3;
/// Time for each entry over which those that hear nothing spread their questions to the store, so
/// that an outage doesn't bring all of them there at once.
const FALLBACK_SPREAD: Duration = Duration::from_millis(30);
/// Pause between two such questions; doubles with each in a row.
const FIRST_FALLBACK_PAUSE: Duration = Duration::from_secs(3);
/// Longest such pause.
const LONGEST_FALLBACK_PAUSE: Duration = Duration::from_secs(12);

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
        regained: None,
        pause: FIRST_PAUSE,
        client: PeerClient::default(),
        source: None,
        unreached: 0,
        fallback_from: Duration::ZERO,
        fallback_pause: FIRST_FALLBACK_PAUSE,
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

struct Follower {
    core: Rc<Core>,
    port: Port,
    conductor: Rc<Conductor>,
    lost: bool,
    /// When the store last came back.
    regained: Option<Duration>,
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

    /// Whether an entry that should learn from others must ask the store itself: none can be
    /// reached, or for long none has told anything of use.
    fn should_fall_back(&self) -> bool {
        if self.unreached >= UNREACHED_IN_ROW {
            return true;
        }
        let now = self.core.clock.now();
        let age = self.core.state.borrow().freshness.age(now);
        let limit = self.core.settings.membership.times.fallback_age
            + FALLBACK_SPREAD * self.core.roster.rank() as u32;
        now >= self.fallback_from && age.is_none_or(|age| age > limit)
    }

    fn put_off_fallback(&mut self) {
        if self.lost {
            self.fallback_from = self.core.clock.now() + self.fallback_pause;
            self.fallback_pause = (self.fallback_pause * 2).min(LONGEST_FALLBACK_PAUSE);
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

    /// Asks others in turn, a few each time, for what the store does not tell this entry: it may be
    /// among those that are turned away.
    async fn ask_around(&mut self, revision: u64) -> u64 {
        let others = self.core.roster.others(self.core.clock.now());
        for _ in 0..ASKED_AROUND.min(others.len()) {
            self.asked_around = (self.asked_around + 1) % others.len();
            let (name, address) = &others[self.asked_around];
            let until = Instant::now() + self.core.settings.membership.times.exchange;
            let question = self.question(revision, Need::ChangesNow, until);
            let asking = self.client.ask(&self.core.connect, &self.core.clock, *address, question);
            match asking.await {
                Ok(told) => {
                    let next = told.revision.max(revision);
                    self.take_told(told, next);
                    return next;
                }
                // NB: that others have lost the store too is no news.
                Err(AskError::Old) => {}
                Err(error) => {
                    self.core.roster.note(name, Some(&error), self.core.clock.now());
                    return revision;
                }
            }
        }
        revision
    }

    /// Asks another entry once.
    async fn learn_from(&mut self, name: &str, address: SocketAddr, revision: u64) -> u64 {
        let told = self.ask(address, revision).await;
        self.core.roster.note(name, told.as_ref().err(), self.core.clock.now());
        match told {
            Ok(told) => {
                self.unreached = 0;
                let next = told.revision.max(revision);
                self.take_told(told, next);
                next
            }
            Err(error) => {
                if error != AskError::Old {
                    self.core.told_by.set(None);
                    self.unreached += 1;
                }
                let event = Learned::SourceFailed { entry: name, error: error.to_string() };
                self.core.journal.note(Rank::State, &event);
                revision
            }
        }
    }

    async fn ask(&self, address: SocketAddr, after: u64) -> Result<Told, AskError> {
        let now = self.core.clock.now();
        let times = &self.core.settings.membership.times;
        // NB: a source that is silent is left when what it told before has grown too old.
        let confirmed = self.core.state.borrow().freshness.confirmed().unwrap_or_default();
        let too_old = confirmed + times.oldest_told + times.exchange;
        let until = too_old.max(now + times.hold_while_old + times.exchange);
        let question = self.question(after, Need::Changes, self.core.clock.instant(until));
        self.client.ask(&self.core.connect, &self.core.clock, address, question).await
    }

    fn question(&self, after: u64, need: Need, until: Instant) -> Question {
        Question { store: self.core.settings.store.address, after, need, until }
    }

    /// Takes in what another entry told, and from when it is.
    fn take_told(&mut self, mut told: Told, revision: u64) {
        let confirmed = told.confirmed;
        let news = std::mem::take(&mut told.news);
        if told.whole {
            let entries: Vec<Fetched> =
                told.into_events().into_iter().filter_map(written).collect();
            self.take_whole(&entries, revision);
        } else {
            self.take_changes(&told.into_events(), revision);
        }
        self.core.hear_from_above(news);
        if let Some(confirmed) = confirmed {
            self.confirm(confirmed, revision);
        }
        self.conductor.wake();
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
                self.take_whole(&listing.entries, listing.revision);
                self.confirm(sent, listing.revision);
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
                self.take_changes(&events, next);
                self.confirm(sent, next);
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

    /// The state was confirmed by the store at `at`.
    fn confirm(&mut self, at: Duration, revision: u64) {
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
        self.pause = FIRST_PAUSE;
        self.fallback_pause = FIRST_FALLBACK_PAUSE;
        if std::mem::replace(&mut self.lost, false) {
            self.regained = Some(self.core.clock.now());
            self.core.journal.note(Rank::State, &Learned::StoreRegained { revision });
        }
        self.conductor.wake();
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

fn written(event: StoreEvent) -> Option<Fetched> {
    match event {
        StoreEvent::Written(entry) => Some(entry),
        StoreEvent::Removed(_) => None,
    }
}
