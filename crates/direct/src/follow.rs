//! Keeps what the process believes in step with the platform's store.
//!
//! One watch over all keys brings every change; its answers also confirm that nothing else has
//! changed. Where history is gone, everything is read anew and compared.

use std::{collections::HashSet, rc::Rc, time::Duration};

use pondwalk_store::{Fetched, StoreError, StoreEvent, WatchReply};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    conductor::Conductor,
    core::Core,
    facts::{Fact, Port},
    journal::Rank,
    metrics::{Counter, Timer},
    peers::{AskError, ENTRY_PREFIX, PeerClient},
};

/// First pause after a failed call; doubles with each in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest such pause; keeps a store that comes back from being found late.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a watch that brought changes, so that a burst of them costs a few calls only. It
/// is a small part of the time in which a change must be in force.
const GATHER_PAUSE: Duration = Duration::from_millis(350);

/// Time between two questions to another entry.
const ASK_INTERVAL: Duration = Duration::from_millis(350);
/// Entries that are asked in a row without an answer before the store is. Each may take a quarter
/// of a second to fail, and a change must be in force within two.
const ASKS_IN_ROW: u32 = 3;
/// Wait of a watch on which other entries rest. It bounds how old their confirmations are.
const SHARED_WAIT: Duration = Duration::from_millis(450);
/// Wait of the first watch after the store was lost. Its answer confirms the state again, and
/// until then keys may not be honoured.
const WAIT_AFTER_LOSS: Duration = Duration::from_millis(20);
/// Oldest confirmation that another entry's answer may rest on: two such waits and their ways.
/// An entry that is cut off silently is left after this and a question, well within the two
/// seconds in which a change must be in force.
const OLDEST_TOLD: Duration = Duration::from_millis(1_000);

/// Time after the store's return in which an entry that is missing may have lapsed only.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// A change of what the process believes.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum Learned<'a> {
    ConfigurationInForce { version: u64, store_revision: u64 },
    OlderConfigurationIgnored { version: u64, held: u64 },
    ServerKnown { server: &'a str, service: &'a str, version: &'a str, state: String },
    ServerGone { server: &'a str },
    ServerLapsed { server: &'a str },
    EntryUnreadable { key: &'a str, reason: &'a str },
    StoreLost { error: String, freshness_ms: Option<u64> },
    StoreRegained { revision: u64 },
    SourceChanged { entry: Option<&'a str> },
    SourceFailed { entry: &'a str, error: String },
    HistoryGone { revision: u64 },
}

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
        asked_in_vain: 0,
    };
    loop {
        let Some(mut revision) = follower.read_all().await else { continue };
        follower.list_itself().await;
        while let Some(next) = follower.next(revision).await {
            revision = next;
            follower.forget_lapsed();
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
    /// Entries asked in a row that told nothing of use.
    asked_in_vain: u32,
}

impl Follower {
    /// Learns what changed after `revision`, from another entry or from the store; `None` if
    /// all must be read anew.
    async fn next(&mut self, revision: u64) -> Option<u64> {
        let source = self.core.peers.source(self.core.clock.now());
        let Some((name, address)) = source.filter(|_| self.asked_in_vain < ASKS_IN_ROW) else {
            self.asked_in_vain = 0;
            self.note_source(None);
            return self.watch(revision).await;
        };
        self.note_source(Some(&name));
        let sent = self.core.clock.now();
        let told = self.client.ask(&self.core.connect, address, revision).await;
        let told = told.and_then(|told| match told.confirmed_age < OLDEST_TOLD {
            true => Ok(told),
            false => Err(AskError::Old),
        });
        self.core.peers.note(&name, told.as_ref().err(), self.core.clock.now());
        match told {
            Ok(told) => {
                self.asked_in_vain = 0;
                let next = told.revision.max(revision);
                self.take_changes(&told.events, next);
                self.confirm(sent.saturating_sub(told.confirmed_age), next);
                sleep(ASK_INTERVAL).await;
                Some(next)
            }
            Err(error) => {
                self.asked_in_vain += 1;
                let event = Learned::SourceFailed { entry: &name, error: error.to_string() };
                self.core.journal.note(Rank::State, &event);
                Some(revision)
            }
        }
    }

    fn note_source(&mut self, entry: Option<&str>) {
        if self.source.as_deref() != entry {
            self.source = entry.map(str::to_owned);
            self.core.journal.note(Rank::State, &Learned::SourceChanged { entry });
        }
    }

    /// Lists this entry in the store, so that others may ask it.
    async fn list_itself(&mut self) {
        let Some(address) = self.core.settings.peers else { return };
        let key = format!("{ENTRY_PREFIX}{}", self.core.settings.name);
        self.conductor.write_if_changed(key, address.to_string()).await;
    }

    fn take_changes(&self, events: &[StoreEvent], revision: u64) {
        for event in events {
            self.learn(event);
        }
        let mut state = self.core.state.borrow_mut();
        state.history.extend(events, revision);
        state.revision = revision;
    }

    /// Reads everything; `None` after a failure and a pause.
    async fn read_all(&mut self) -> Option<u64> {
        let sent = self.core.clock.now();
        self.core.metrics.count(Counter::StoreCalls);
        let listed = (self.port.store.list)(String::new()).await;
        let took = self.core.clock.now().saturating_sub(sent);
        self.core.metrics.time(Timer::StoreCall, took);
        match listed {
            Ok(listing) => {
                self.forget_all_but(&listing.entries);
                for entry in &listing.entries {
                    self.learn_written(entry);
                }
                let mut state = self.core.state.borrow_mut();
                state.history.restart(listing.revision);
                state.revision = listing.revision;
                drop(state);
                self.confirm(sent, listing.revision);
                Some(listing.revision)
            }
            Err(error) => {
                self.note_failure(&error).await;
                None
            }
        }
    }

    /// Waits for changes once; `None` if all must be read anew.
    async fn watch(&mut self, revision: u64) -> Option<u64> {
        let sent = self.core.clock.now();
        let wait = self.core.settings.store.watch_wait;
        let wait = if self.core.peers.rest_on_this_one() { wait.min(SHARED_WAIT) } else { wait };
        let wait = if self.lost { WAIT_AFTER_LOSS } else { wait };
        self.core.metrics.count(Counter::StoreCalls);
        match (self.port.store.watch)(String::new(), revision, wait).await {
            Ok(WatchReply::Changes(events, next)) => {
                let next = next.max(revision);
                self.take_changes(&events, next);
                self.confirm(sent, next);
                if !events.is_empty() {
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

    fn confirm(&mut self, sent: Duration, revision: u64) {
        let mut state = self.core.state.borrow_mut();
        state.freshness.confirm(sent);
        state.source_lost = false;
        drop(state);
        self.pause = FIRST_PAUSE;
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

    fn learn(&self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(entry) => self.learn_written(entry),
            StoreEvent::Removed(key) => self.learn_removed(key),
        }
    }

    fn learn_written(&self, entry: &Fetched) {
        self.conductor.learn_revision(&entry.key, Some(entry));
        self.learn_peer(&entry.key, Some(&entry.value));
        match self.port.read_entry(entry) {
            Ok(fact) => self.take_in(fact, entry.revision),
            Err(error) => {
                let event = Learned::EntryUnreadable { key: &error.key, reason: &error.reason };
                self.core.journal.note(Rank::State, &event);
            }
        }
    }

    fn learn_peer(&self, key: &str, value: Option<&[u8]>) {
        let Some(name) = key.strip_prefix(ENTRY_PREFIX) else { return };
        let address = value.and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
        self.core.peers.learn(name, address);
    }

    fn learn_removed(&self, key: &str) {
        self.conductor.learn_revision(key, None);
        self.learn_peer(key, None);
        match (self.port.read)(key, None) {
            Ok(fact) => self.take_in(fact, 0),
            Err(error) => {
                let event = Learned::EntryUnreadable { key: &error.key, reason: &error.reason };
                self.core.journal.note(Rank::State, &event);
            }
        }
    }

    fn take_in(&self, fact: Fact, store_revision: u64) {
        match fact {
            Fact::Catalog(catalog) => self.install(*catalog, store_revision),
            Fact::Server(_, Some(server)) => {
                self.core.journal.note(
                    Rank::State,
                    &Learned::ServerKnown {
                        server: &server.id,
                        service: &server.service,
                        version: &server.version,
                        state: format!("{:?}", server.state),
                    },
                );
                self.core.state.borrow_mut().put_server(server);
            }
            Fact::Server(id, None) if self.may_have_lapsed() => {
                self.core.journal.note(Rank::State, &Learned::ServerLapsed { server: &id });
                self.core.state.borrow_mut().lapse_server(&id, self.core.clock.now());
            }
            Fact::Server(id, None) => {
                self.core.journal.note(Rank::State, &Learned::ServerGone { server: &id });
                self.core.state.borrow_mut().remove_server(&id);
            }
            Fact::Order(service, order) => self.conductor.learn_order(&service, order),
            Fact::Progress(service, progress) => {
                self.conductor.learn_progress(&service, progress.as_ref());
            }
            Fact::Unrelated => {}
        }
    }

    /// Whether the store is just back, so that what it does not list may have lapsed meanwhile.
    fn may_have_lapsed(&self) -> bool {
        let returned = |at| self.core.clock.now().saturating_sub(at) < RETURN_TIME;
        self.lost || self.regained.is_some_and(returned)
    }

    /// Forgets the servers that the store's return did not bring back.
    fn forget_lapsed(&self) {
        let lapsed = self.core.state.borrow_mut().take_lapsed(self.core.clock.now());
        for id in &lapsed {
            self.core.journal.note(Rank::State, &Learned::ServerGone { server: id });
        }
    }

    /// Puts a configuration in force unless a newer one is; within one life none reverts.
    fn install(&self, catalog: crate::catalog::Catalog, store_revision: u64) {
        let mut state = self.core.state.borrow_mut();
        let held = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let version = catalog.version;
        if held > version {
            drop(state);
            let event = Learned::OlderConfigurationIgnored { version, held };
            self.core.journal.note(Rank::State, &event);
            return;
        }
        state.catalog = Some(Rc::new(catalog));
        drop(state);
        let event = Learned::ConfigurationInForce { version, store_revision };
        self.core.journal.note(Rank::State, &event);
    }

    /// Forgets the servers that a whole reading does not show.
    fn forget_all_but(&self, entries: &[Fetched]) {
        let mut shown = HashSet::new();
        for entry in entries {
            if let Ok(Fact::Server(id, _)) = self.port.read_entry(entry) {
                shown.insert(id);
            }
        }
        let known: Vec<String> = self.core.state.borrow().service_of.keys().cloned().collect();
        for id in known.iter().filter(|id| !shown.contains(*id)) {
            self.take_in(Fact::Server(id.clone(), None), 0);
        }
        self.conductor.forget_all_but(entries);
    }
}
