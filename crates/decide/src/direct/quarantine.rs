//! Requests under which backend servers ended, and when they may run again.
//!
//! A request may end every server that runs it, and its caller brings it again under another id, at any
//! entry. So what is counted is counted by content, and told to all entries. After a few ends such a
//! request runs again only now and then, and one copy at a time.
//!
//! When servers end for another cause, every request aboard looks like the culprit. Four things keep
//! such a request from being refused for long. A run that comes to a good end clears its content at
//! once, everywhere. What came to one before is forgiven some ends ([`SuccessfulContents`]). Ends of several
//! servers at the same moment, most of which did not run the request, are held against it only in part
//! ([`CorrelatedCrashes`]). And what is left may be proved: the first probe comes a second after the latest end.
//!
//! The entries agree on one of them that grants the probes of a content (rendezvous hashing, Thaler and
//! Ravishankar, 1998). Two parts of a deployment that don't reach one another grant at most one probe
//! more between them.

mod correlated_crashes;
mod record;
mod successful_contents;

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

pub use correlated_crashes::CorrelatedCrashes;
pub use successful_contents::SuccessfulContents;

use super::hash::{hash_text, mix};
use record::{Crash, FREE_ENDS, PROBE_PAUSES, Record};

/// What a request carries, as a number by which all entries know it again.
pub type ContentHash = u128;
/// A number that tells one end that was seen from all others.
pub type CrashId = u64;

/// Contents remembered, some 200 bytes each. A data centre of the planned size has ten thousand requests
/// aboard; those that were cleared go first, then those with few ends, the oldest before others.
const MOST_CONTENTS: usize = 8_192;
/// Part of them that goes when there is no room, so that looking for the oldest stays rare.
const MAKE_ROOM_PART: usize = 8;

/// One end of a server under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// What the request carried.
    pub content: ContentHash,
    /// Tells this end from all others.
    pub id: CrashId,
    /// Hash of the server's identity.
    pub server: u64,
    /// Whether others ended at the same moment that did not run the request.
    pub in_common_loss: bool,
    /// Whether the request ran as a probe.
    pub on_probe: bool,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// Like any other.
    Unrestricted,
    /// Once, by leave of the entry that grants its probes.
    ProbeAllowed,
    /// Not before this time.
    Quarantined {
        /// When it may be asked for again.
        until: Duration,
    },
    /// A probe that this entry granted is under way.
    ProbeInProgress,
}

/// What came of asking for a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeDecision {
    /// The request may run once.
    Granted,
    /// Another one of its content runs as a probe now.
    InProgress,
    /// It may not, before this time.
    Refused {
        /// When it may be asked for again.
        until: Duration,
    },
}

/// Who asks for a probe, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeRequest {
    /// Content of the request.
    pub content: ContentHash,
    /// Longest time that its run may take.
    pub lease: Duration,
    /// Whether this entry comes first in the order of those that may grant it.
    pub is_primary: bool,
}

/// The contents under which servers have ended.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<ContentHash, Record>,
    evicted: u64,
}

impl Quarantine {
    /// Whether so many ends hold a content.
    pub fn quarantines_after(ends: usize) -> bool {
        ends >= FREE_ENDS
    }

    /// Whether nothing is known against any content, so that none need be worked out.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Contents that are remembered.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Contents that are held or on probe.
    pub fn count_quarantined(&self, now: Duration) -> usize {
        let records = self.records.values();
        records.filter(|record| record.status(now) != QuarantineStatus::Unrestricted).count()
    }

    /// Contents that gave way to others since there was no room.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Ends of servers that count against a content.
    pub fn crash_count(&self, content: ContentHash) -> usize {
        self.records.get(&content).map_or(0, Record::crash_count)
    }

    /// Takes in that a server ended at `at`. Returns whether it was not known yet.
    pub fn record_crash(&mut self, end: ServerCrash, at: Duration, now: Duration) -> bool {
        if !self.records.contains_key(&end.content) {
            self.make_room(now);
        }
        let record = self.records.entry(end.content).or_default();
        if record.cleared_at.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        if let Some(known) = record.crashes.iter_mut().find(|known| known.is_same(&end, at)) {
            known.in_common_loss |= end.in_common_loss;
            known.on_probe |= end.on_probe;
            return false;
        }
        record.push_crash(Crash {
            id: end.id,
            server: end.server,
            at,
            in_common_loss: end.in_common_loss,
            on_probe: end.on_probe,
        });
        if end.on_probe {
            record.resolve_probe();
        }
        true
    }

    /// A run of this content came to a good end. Returns how many ends of servers counted against it.
    pub fn record_success(&mut self, content: ContentHash, at: Duration) -> usize {
        let Some(record) = self.records.get_mut(&content) else { return 0 };
        let before = record.crash_count();
        record.crashes.retain(|end| end.at > at);
        record.cleared_at = record.cleared_at.max(Some(at));
        record.resolve_probe();
        record.unresolved = 0;
        record.unresolved_at = None;
        before
    }

    /// Whether a request of this content may run.
    pub fn status(&self, content: ContentHash, now: Duration) -> QuarantineStatus {
        self.records
            .get(&content)
            .map_or(QuarantineStatus::Unrestricted, |record| record.status(now))
    }

    /// Grants a probe, or tells when to ask again.
    ///
    /// NB: one that is not first grants only a content's first probe: the first may have granted the
    /// others, out of its sight.
    pub fn request_probe(&mut self, probe: ProbeRequest, now: Duration) -> ProbeDecision {
        let Some(record) = self.records.get_mut(&probe.content) else {
            return ProbeDecision::Granted;
        };
        match record.status(now) {
            QuarantineStatus::Unrestricted => ProbeDecision::Granted,
            QuarantineStatus::ProbeInProgress => ProbeDecision::InProgress,
            QuarantineStatus::Quarantined { until } => ProbeDecision::Refused { until },
            QuarantineStatus::ProbeAllowed if probe.is_primary || record.probe_count() == 0 => {
                record.probed_until = Some(now + probe.lease);
                record.unresolved += 1;
                record.unresolved_at = Some(now);
                ProbeDecision::Granted
            }
            QuarantineStatus::ProbeAllowed => {
                ProbeDecision::Refused { until: now + PROBE_PAUSES[1] }
            }
        }
    }

    /// A probe that this entry granted has reached no server; another may be granted.
    pub fn release_probe(&mut self, content: ContentHash) {
        if let Some(record) = self.records.get_mut(&content) {
            record.resolve_probe();
        }
    }

    /// The ends of a content, with the time since each.
    pub fn crashes_of(&self, content: ContentHash, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let record = self.records.get(&content);
        record.map(|record| told(content, record, now)).unwrap_or_default()
    }

    /// The ends of all contents that are held or on probe, with the time since each.
    pub fn quarantined_crashes(&self, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let records = self.records.iter();
        let held =
            records.filter(|(_, record)| record.status(now) != QuarantineStatus::Unrestricted);
        held.flat_map(|(content, record)| told(*content, record, now)).collect()
    }

    /// The ends of the contents that matter most, with the time since each: at most so many.
    pub fn most_relevant_crashes(
        &self,
        most: usize,
        now: Duration,
    ) -> Vec<(ServerCrash, Duration)> {
        let mut records: Vec<_> =
            self.records.iter().filter(|(_, record)| !record.crashes.is_empty()).collect();
        records.sort_unstable_by_key(|(_, record)| std::cmp::Reverse(record.retention_rank()));
        let ends = records.into_iter().flat_map(|(content, record)| told(*content, record, now));
        ends.take(most).collect()
    }

    fn make_room(&mut self, now: Duration) {
        if self.records.len() < MOST_CONTENTS {
            return;
        }
        self.records.retain(|_, record| !record.is_expired(now));
        if self.records.len() < MOST_CONTENTS {
            return;
        }
        let mut by_worth: Vec<_> = self
            .records
            .iter()
            .map(|(content, record)| (record.retention_rank(), *content))
            .collect();
        by_worth.sort_unstable();
        for (_, content) in by_worth.iter().take(MOST_CONTENTS / MAKE_ROOM_PART) {
            self.records.remove(content);
            self.evicted += 1;
        }
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.is_expired(now));
    }
}

fn told(content: ContentHash, record: &Record, now: Duration) -> Vec<(ServerCrash, Duration)> {
    let end = |end: &Crash| {
        let Crash { id, server, at, in_common_loss, on_probe } = *end;
        let told = ServerCrash { content, id, server, in_common_loss, on_probe };
        (told, now.saturating_sub(at))
    };
    record.crashes.iter().map(end).collect()
}

/// The hash of a server's identity, as ends carry it.
pub fn server_hash(server: &str) -> u64 {
    hash_text(server)
}

/// The number of an end: by who saw it, at which server, under which try, and when.
pub fn crash_id(texts: &[&str], numbers: &[u64]) -> CrashId {
    let texts = texts.iter().map(|text| hash_text(text));
    let step = |id, part| mix(id ^ part).wrapping_add(part);
    texts.chain(numbers.iter().copied()).fold(0, step)
}

/// The entries of these names in the order in which they may grant what is asked for by a key: the probes of a
/// content, or the permits of a server by the hash of its identity.
pub fn granter_order(key: u128, names: &mut [String]) {
    let low = key as u64;
    names.sort_by_cached_key(|name| {
        (std::cmp::Reverse(mix(low ^ mix(hash_text(name)))), name.clone())
    });
}
