//! Applies store records: configurations, backend servers, entry listings, roll-outs.

use std::{
    collections::HashSet,
    panic::{AssertUnwindSafe, catch_unwind},
};

use pondwalk_decide::direct::StoredConfiguration;
use pondwalk_store::{Position, StoreEntry, StoreEvent};
use pondwalk_types::DataCentreId;

use super::{Follower, events::FollowEvent};
use crate::{
    catalog::{BackendServer, Catalog, CatalogVersion, Defect, ServerState},
    event_log::LogPriority,
    membership::{ENTRY_PREFIX, Listing},
    outage::RELISTING_TIME,
    port::{Evacuation, StoreRecord, UnreadableRecord},
};

/// Maximum number of undecodable server records that are logged individually.
const MAX_UNREADABLE_LOGGED: usize = 256;

impl Follower {
    pub(super) fn apply_event(&self, event: &StoreEvent) {
        match event {
            StoreEvent::Written(entry) => self.apply_written(entry),
            StoreEvent::Removed { key, .. } => self.apply_removed(key),
        }
    }

    /// Applies a record; a panic concerns this record alone.
    pub(super) fn apply_written(&self, entry: &StoreEntry) {
        let applied = catch_unwind(AssertUnwindSafe(|| self.apply_entry(entry)));
        if applied.is_err() {
            self.record_unreadable(&entry.key, entry.revision, "applying it failed");
        }
    }

    /// Records that the value of a key can't be applied.
    fn record_unreadable(&self, key: &str, revision: u64, reason: &str) {
        if key == self.port.configuration_key {
            let unreadable = StoredConfiguration::Unreadable;
            return self.reject_configuration(unreadable, revision, None, reason);
        }
        let event = FollowEvent::EntryUnreadable { key, reason };
        self.core.event_log.record(LogPriority::State, &event);
    }

    fn apply_entry(&self, entry: &StoreEntry) {
        self.coordinator.apply_revision(&entry.key, Some(entry));
        self.apply_entry_listing(&entry.key, Some(&entry.value));
        match self.port.decode_entry(entry) {
            Ok(record) => self.apply_record(record, entry.revision),
            Err(error) => self.record_unreadable(&error.key, entry.revision, &error.reason),
        }
    }

    fn apply_entry_listing(&self, key: &str, value: Option<&[u8]>) {
        let Some(name) = key.strip_prefix(ENTRY_PREFIX) else { return };
        let listing = match value.map(Listing::try_from).transpose() {
            Ok(listing) => listing,
            Err(error) => {
                let event = FollowEvent::EntryUnreadable { key, reason: &error.to_string() };
                self.core.event_log.record(LogPriority::State, &event);
                None
            }
        };
        if self.core.members.update(name, listing) {
            self.core.update_bound_shares();
        }
    }

    fn apply_removed(&self, key: &str) {
        self.coordinator.apply_revision(key, None);
        self.apply_entry_listing(key, None);
        match (self.port.decode)(key, None) {
            Ok(record) => self.apply_record(record, 0),
            Err(error) => {
                let event = FollowEvent::EntryUnreadable { key: &error.key, reason: &error.reason };
                self.core.event_log.record(LogPriority::State, &event);
            }
        }
    }

    fn apply_record(&self, record: StoreRecord, store_revision: u64) {
        match record {
            StoreRecord::Catalog(catalog) => self.install(*catalog, store_revision),
            StoreRecord::Server(_, Some(server)) => self.apply_server(server),
            StoreRecord::UnreadableServer(id, error) => self.remove_unreadable_server(&id, &error),
            StoreRecord::Evacuation(data_centre, evacuation) => {
                self.apply_evacuation(&data_centre, evacuation);
            }
            StoreRecord::Server(id, None) => self.apply_missing_server(&id),
            StoreRecord::Order(service, order) => self.coordinator.apply_order(&service, order),
            StoreRecord::Progress(service, progress) => {
                self.coordinator.apply_progress(&service, progress.as_ref());
            }
            StoreRecord::Unrelated => {}
        }
    }

    fn apply_server(&self, mut server: BackendServer) {
        self.unreadable.borrow_mut().remove(&server.id);
        // A backup may be older than the server's draining signal, which stays valid for the
        // server's incarnation.
        if self.is_restoring && self.core.state.borrow().is_draining(&server) {
            server.state = ServerState::Draining;
        }
        if !self.core.state.borrow().is_server_known(&server) {
            self.log_server(&server);
        }
        let id = server.id.clone();
        if self.core.state.borrow_mut().put_server(server, self.core.clock.now()) {
            self.core
                .event_log
                .record(LogPriority::State, &FollowEvent::ServerBornAnew { server: &id });
        }
    }

    fn log_server(&self, server: &BackendServer) {
        let event = FollowEvent::ServerKnown {
            server: &server.id,
            service: &server.service,
            version: &server.version,
            state: format!("{:?}", server.state),
            cold_ms: server.warm_up_left.as_millis() as u64,
            born_ms: server.started_at_ms,
        };
        self.core.event_log.record(LogPriority::State, &event);
    }

    /// Removes a server whose record can't be decoded, whatever the record named before.
    fn remove_unreadable_server(&self, id: &str, error: &UnreadableRecord) {
        self.core.state.borrow_mut().remove_server(id);
        let mut unreadable = self.unreadable.borrow_mut();
        // Logs each server once, however often its record is written.
        if unreadable.len() < MAX_UNREADABLE_LOGGED && unreadable.insert(id.to_owned()) {
            let event = FollowEvent::EntryUnreadable { key: &error.key, reason: &error.reason };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn apply_evacuation(&self, data_centre: &str, evacuation: Evacuation) {
        let now = self.core.clock.now();
        self.lost_evacuations.borrow_mut().remove(data_centre);
        let mut state = self.core.state.borrow_mut();
        let is_new = match evacuation {
            Evacuation::Ordered => state.evacuate(data_centre),
            Evacuation::Cancelled => state.reinstate(data_centre, now),
        };
        // Zero means that no server there is known; the order may name an unknown data centre.
        let servers = state.fleets.values().map(|fleet| fleet.count_in(data_centre)).sum();
        drop(state);
        if is_new {
            let event = match evacuation {
                Evacuation::Ordered => FollowEvent::DataCentreEvacuated { data_centre, servers },
                Evacuation::Cancelled => FollowEvent::DataCentreTakenBack { data_centre, servers },
            };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    /// Removes a server without a record. If the record may have lapsed in an outage, the server is
    /// kept until it should have been listed again everywhere.
    fn apply_missing_server(&self, id: &str) {
        let mut state = self.core.state.borrow_mut();
        // Peers may repeat a removal.
        if !state.service_of.contains_key(id) {
            return;
        }
        let origin = self.origin;
        let outage = state.outages.may_have_lapsed_in(origin.confirmed);
        let event = match outage {
            Some(outage) => {
                let propagation = self.core.settings.membership.times.normal_confirmation_age();
                state.lapse_server(id, outage.relisting_end() + propagation);
                let since_return = self.core.clock.now().saturating_sub(outage.until);
                FollowEvent::ServerLapsed {
                    server: id,
                    outage_ms: outage.length().as_millis() as u64,
                    store_returned_ms: since_return.as_millis() as u64,
                    origin,
                }
            }
            None => {
                state.remove_server(id);
                FollowEvent::ServerGone { server: id, origin: Some(origin) }
            }
        };
        drop(state);
        self.core.event_log.record(LogPriority::State, &event);
    }

    /// Removes the servers and evacuations that the store's return did not bring back.
    pub(super) fn remove_lapsed(&self) {
        self.expire_lost_evacuations();
        let lapsed = self.core.state.borrow_mut().remove_lapsed(self.core.clock.now());
        for id in &lapsed {
            let event = FollowEvent::ServerGone { server: id, origin: None };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    fn expire_lost_evacuations(&self) {
        let now = self.core.clock.now();
        let over: Vec<DataCentreId> = {
            let lost = self.lost_evacuations.borrow();
            let over = lost.iter().filter(|(_, until)| **until <= now);
            over.map(|(data_centre, _)| data_centre.clone()).collect()
        };
        for data_centre in &over {
            self.apply_evacuation(data_centre, Evacuation::Cancelled);
        }
    }

    /// Puts a configuration in force unless a newer one is held; versions never go back within one
    /// incarnation.
    fn install(&self, mut catalog: Catalog, store_revision: u64) {
        let mut state = self.core.state.borrow_mut();
        let store_era = state.replica.position().era;
        let position = Position { era: store_era, revision: store_revision };
        let in_force = state.configuration.in_force();
        let held = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        // Within an era the store's revisions order all configurations; a restored store may hold
        // an older one.
        let is_same_era = in_force.is_none_or(|in_force| in_force.era == store_era);
        if catalog.defects.lacks_version {
            if !is_same_era {
                drop(state);
                let reason = "a restored store holds it, and it has no version";
                let unreadable = StoredConfiguration::Unreadable;
                return self.reject_configuration(unreadable, store_revision, None, reason);
            }
            catalog.version = held;
        }
        let version = catalog.version;
        if held > version {
            drop(state);
            let event = FollowEvent::OlderConfigurationIgnored { version, held, store_revision };
            self.core.event_log.record(LogPriority::State, &event);
            if is_same_era && in_force.is_some_and(|in_force| in_force < position) {
                let reason = "its version is lower than that of the one in force";
                let older = StoredConfiguration::Older;
                self.reject_configuration(older, store_revision, Some(version), reason);
            }
            return;
        }
        if !is_same_era && held == version && state.configuration.is_rejected() {
            // The copy lacks the configuration that could not be read, which is newer.
            return;
        }
        let now = self.core.clock.now();
        let defects = catalog.defects.count;
        let new_defects =
            state.configuration.record_in_force(position, version, &catalog.defects, now);
        state.freshness.set_stored_configuration(StoredConfiguration::InForce);
        state.install(catalog);
        drop(state);
        let origin = self.origin;
        let event = FollowEvent::ConfigurationInForce {
            version,
            store_era,
            store_revision,
            defects,
            origin,
        };
        self.core.event_log.record(LogPriority::State, &event);
        for Defect { element, field, value, effect } in &new_defects {
            let effect = *effect;
            let event = FollowEvent::ConfigurationDefect { version, element, field, value, effect };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    /// Leaves the configuration in force as it is, without counting it as confirmed: the one in the
    /// store may take away keys.
    fn reject_configuration(
        &self,
        stored: StoredConfiguration,
        store_revision: u64,
        version: Option<CatalogVersion>,
        reason: &str,
    ) {
        let mut state = self.core.state.borrow_mut();
        state.freshness.set_stored_configuration(stored);
        let position = Position { era: state.replica.position().era, revision: store_revision };
        let now = self.core.clock.now();
        let is_new = state.configuration.record_rejected(position, version, now);
        let in_force = state.catalog.as_ref().map(|catalog| catalog.version);
        drop(state);
        if is_new {
            let event = FollowEvent::ConfigurationUnreadable { store_revision, in_force, reason };
            self.core.event_log.record(LogPriority::State, &event);
        }
    }

    /// Removes the servers and evacuations that are missing from a snapshot.
    pub(super) fn retain_listed(&self, entries: &[StoreEntry]) {
        let mut listed = HashSet::new();
        let mut evacuated = HashSet::new();
        // The configuration is long, and names neither.
        let others = entries.iter().filter(|entry| entry.key != self.port.configuration_key);
        for entry in others {
            // A record that can't be decoded without a panic is logged when it is applied.
            let decoded = catch_unwind(AssertUnwindSafe(|| self.port.decode_entry(entry)));
            let Ok(decoded) = decoded else { continue };
            match decoded {
                Ok(StoreRecord::Server(id, _)) => {
                    listed.insert(id);
                }
                Ok(StoreRecord::Evacuation(data_centre, Evacuation::Ordered)) => {
                    evacuated.insert(data_centre);
                }
                _ => {}
            }
        }
        let known = self.core.state.borrow().evacuated.clone();
        for data_centre in known.iter().filter(|known| !evacuated.contains(*known)) {
            if self.is_restoring {
                let until = self.core.clock.now() + RELISTING_TIME;
                self.lost_evacuations.borrow_mut().insert(data_centre.clone(), until);
            } else {
                self.apply_evacuation(data_centre, Evacuation::Cancelled);
            }
        }
        let known: Vec<String> = self.core.state.borrow().service_of.keys().cloned().collect();
        for id in known.iter().filter(|id| !listed.contains(*id)) {
            self.apply_record(StoreRecord::Server(id.clone(), None), 0);
        }
        self.coordinator.retain_listed(entries);
    }
}
