//! Takes in what was learned: configurations, backend servers, other entries, roll-outs.

use std::{collections::HashSet, rc::Rc, time::Duration};

use pondwalk_store::{Fetched, StoreEvent};

use super::{Follower, Heard, report::Learned};
use crate::{
    catalog::Catalog,
    facts::Fact,
    journal::Rank,
    membership::{ENTRY_PREFIX, Listing},
};

/// Time after the store's return in which an entry that is missing may have lapsed only.
const RETURN_TIME: Duration = Duration::from_secs(2);

impl Follower {
    pub(super) fn learn(&self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(entry) => self.learn_written(entry),
            StoreEvent::Removed { key, .. } => self.learn_removed(key),
        }
    }

    pub(super) fn learn_written(&self, entry: &Fetched) {
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
        let listing = match value.map(Listing::try_from).transpose() {
            Ok(listing) => listing,
            Err(error) => {
                let event = Learned::EntryUnreadable { key, reason: &error.to_string() };
                self.core.journal.note(Rank::State, &event);
                None
            }
        };
        self.core.roster.learn(name, listing);
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
        // NB: what others tell while this entry alone has lost the store has not lapsed.
        // And one that asks the store after long silence, for the first time, may be the first to
        // hear from it again.
        let lost = (self.lost || self.is_out_of_date()) && self.learns_from == Heard::FromStore;
        lost || self.core.state.borrow().store_returned.is_some_and(returned)
    }

    /// Forgets the servers that the store's return did not bring back.
    pub(super) fn forget_lapsed(&self) {
        let lapsed = self.core.state.borrow_mut().take_lapsed(self.core.clock.now());
        for id in &lapsed {
            self.core.journal.note(Rank::State, &Learned::ServerGone { server: id });
        }
    }

    /// Puts a configuration in force unless a newer one is; within one life none reverts.
    fn install(&self, catalog: Catalog, store_revision: u64) {
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
    pub(super) fn forget_all_but(&self, entries: &[Fetched]) {
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
