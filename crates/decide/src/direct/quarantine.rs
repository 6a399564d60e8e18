//! Quarantine of requests under which backend servers crashed.
//!
//! A request may crash every server that runs it, and its caller retries it under another id at any
//! entry. Crashes are therefore counted by the content of the request and published to all entries.
//! After a few crashes such a request runs again only as a rare probe, and one copy at a time.
//!
//! If servers crash for another reason, every request in flight there looks like the cause. Four
//! rules keep such a request from being refused for long. A successful run clears its content at
//! once, at all entries. Content that succeeded before is exempt for some crashes
//! ([`SuccessfulContents`]). Crashes of several servers at the same moment, most of which did not
//! run the request, count against it only in part ([`CorrelatedCrashes`]). And a quarantined
//! request can prove harmless: the first probe is allowed a second after the latest crash.
//!
//! The entries agree on one of them that grants the probes of a content (rendezvous hashing, Thaler
//! and Ravishankar, 1998). Two partitions of a deployment grant at most one further probe between
//! them.

mod correlated_crashes;
mod record;
mod successful_contents;

use std::{collections::HashMap, time::Duration};

use serde::{Deserialize, Serialize};

pub use correlated_crashes::CorrelatedCrashes;
pub use successful_contents::SuccessfulContents;

use super::hash::{hash_text, mix};
use record::{Crash, MIN_CRASHES, PROBE_DELAYS, Record};

/// Hash of what a request carries, the same at all entries.
pub type ContentHash = u128;
/// Identifies one observed crash.
pub type CrashId = u64;

/// Maximum number of records, some 200 bytes each. A data centre of the planned size has ten
/// thousand requests in flight. Cleared records are evicted first, then those with few crashes, the
/// oldest first.
const MAX_CONTENTS: usize = 8_192;
/// Fraction of the records that is evicted at once, so that sorting them stays rare.
const EVICTION_DIVISOR: usize = 8;

/// One crash of a server under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// Content of the request.
    pub content: ContentHash,
    /// Distinguishes this crash from all others.
    pub id: CrashId,
    /// Hash of the server's identity.
    pub server: u64,
    /// Whether servers that did not run the request crashed at the same moment.
    pub in_common_loss: bool,
    /// Whether the request ran as a probe.
    pub on_probe: bool,
}

/// Whether a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineStatus {
    /// The request may run without restriction.
    Unrestricted,
    /// The request may run once if the granting entry allows a probe.
    ProbeAllowed,
    /// The request must not run before this time.
    Quarantined {
        /// When a probe may be requested again.
        until: Duration,
    },
    /// A probe that this entry granted is running.
    ProbeInProgress,
}

/// Answer to a probe request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeDecision {
    /// The request may run once.
    Granted,
    /// Another request of this content runs as a probe now.
    InProgress,
    /// The request must not run before this time.
    Refused {
        /// When a probe may be requested again.
        until: Duration,
    },
}

/// Asks for permission to run a quarantined request once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProbeRequest {
    /// Content of the request.
    pub content: ContentHash,
    /// Longest time that the run may take.
    pub lease: Duration,
    /// Whether this entry is first in the order of granters.
    pub is_primary: bool,
}

/// Records of the contents under which servers have crashed.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<ContentHash, Record>,
    evicted: u64,
}

impl Quarantine {
    /// Whether a content with so many crashes is quarantined.
    pub fn quarantines_after(crashes: usize) -> bool {
        crashes >= MIN_CRASHES
    }

    /// Whether there are no records, so that no content needs to be hashed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of recorded contents.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of contents that are quarantined or need a probe.
    pub fn count_quarantined(&self, now: Duration) -> usize {
        let records = self.records.values();
        records.filter(|record| record.status(now) != QuarantineStatus::Unrestricted).count()
    }

    /// Number of records evicted for lack of room.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Number of crashes that count against a content.
    pub fn crash_count(&self, content: ContentHash) -> usize {
        self.records.get(&content).map_or(0, Record::crash_count)
    }

    /// Records that a server crashed at `at`. Returns whether this crash is new.
    pub fn record_crash(&mut self, crash: ServerCrash, at: Duration, now: Duration) -> bool {
        if !self.records.contains_key(&crash.content) {
            self.evict(now);
        }
        let record = self.records.entry(crash.content).or_default();
        if record.cleared_at.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        if let Some(existing) =
            record.crashes.iter_mut().find(|existing| existing.is_same_crash(&crash, at))
        {
            existing.in_common_loss |= crash.in_common_loss;
            existing.on_probe |= crash.on_probe;
            return false;
        }
        record.push_crash(Crash {
            id: crash.id,
            server: crash.server,
            at,
            in_common_loss: crash.in_common_loss,
            on_probe: crash.on_probe,
        });
        if crash.on_probe {
            record.resolve_probe();
        }
        true
    }

    /// Records a successful run of the content. Returns the number of crashes that counted against
    /// it.
    pub fn record_success(&mut self, content: ContentHash, at: Duration) -> usize {
        let Some(record) = self.records.get_mut(&content) else { return 0 };
        let before = record.crash_count();
        record.crashes.retain(|crash| crash.at > at);
        record.cleared_at = record.cleared_at.max(Some(at));
        record.resolve_probe();
        record.unresolved_probes = 0;
        record.last_unresolved_at = None;
        before
    }

    /// Whether a request of this content may run.
    pub fn status(&self, content: ContentHash, now: Duration) -> QuarantineStatus {
        self.records
            .get(&content)
            .map_or(QuarantineStatus::Unrestricted, |record| record.status(now))
    }

    /// Grants a probe, or returns when to ask again.
    ///
    /// NB: an entry that is not the primary grants only a content's first probe, since the primary
    /// may have granted others unseen.
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
                record.unresolved_probes += 1;
                record.last_unresolved_at = Some(now);
                ProbeDecision::Granted
            }
            QuarantineStatus::ProbeAllowed => {
                ProbeDecision::Refused { until: now + PROBE_DELAYS[1] }
            }
        }
    }

    /// Releases a granted probe that reached no server; another may be granted.
    pub fn release_probe(&mut self, content: ContentHash) {
        if let Some(record) = self.records.get_mut(&content) {
            record.resolve_probe();
        }
    }

    /// The crashes of a content, with the age of each.
    pub fn crashes_of(&self, content: ContentHash, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let record = self.records.get(&content);
        record.map(|record| crashes_with_age(content, record, now)).unwrap_or_default()
    }

    /// The crashes of all contents that are quarantined or need a probe, with the age of each.
    pub fn quarantined_crashes(&self, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let records = self.records.iter();
        let quarantined =
            records.filter(|(_, record)| record.status(now) != QuarantineStatus::Unrestricted);
        quarantined.flat_map(|(content, record)| crashes_with_age(*content, record, now)).collect()
    }

    /// The crashes of the most relevant contents, with the age of each: at most `max`.
    pub fn most_relevant_crashes(&self, max: usize, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let mut records: Vec<_> =
            self.records.iter().filter(|(_, record)| !record.crashes.is_empty()).collect();
        records.sort_unstable_by_key(|(_, record)| std::cmp::Reverse(record.retention_rank()));
        let crashes = records
            .into_iter()
            .flat_map(|(content, record)| crashes_with_age(*content, record, now));
        crashes.take(max).collect()
    }

    fn evict(&mut self, now: Duration) {
        if self.records.len() < MAX_CONTENTS {
            return;
        }
        self.records.retain(|_, record| !record.is_expired(now));
        if self.records.len() < MAX_CONTENTS {
            return;
        }
        let mut by_rank: Vec<_> = self
            .records
            .iter()
            .map(|(content, record)| (record.retention_rank(), *content))
            .collect();
        by_rank.sort_unstable();
        for (_, content) in by_rank.iter().take(MAX_CONTENTS / EVICTION_DIVISOR) {
            self.records.remove(content);
            self.evicted += 1;
        }
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.is_expired(now));
    }
}

fn crashes_with_age(
    content: ContentHash,
    record: &Record,
    now: Duration,
) -> Vec<(ServerCrash, Duration)> {
    let crash = |crash: &Crash| {
        let Crash { id, server, at, in_common_loss, on_probe } = *crash;
        let server_crash = ServerCrash { content, id, server, in_common_loss, on_probe };
        (server_crash, now.saturating_sub(at))
    };
    record.crashes.iter().map(crash).collect()
}

/// Hash of a server's identity, as crashes carry it.
pub fn server_hash(server: &str) -> u64 {
    hash_text(server)
}

/// Identifies a crash by the observing entry, the server, the attempt and the time.
pub fn crash_id(texts: &[&str], numbers: &[u64]) -> CrashId {
    let texts = texts.iter().map(|text| hash_text(text));
    let step = |id, part| mix(id ^ part).wrapping_add(part);
    texts.chain(numbers.iter().copied()).fold(0, step)
}

/// Sorts the names of entries into the order in which they may grant what a key identifies: the
/// probes of a content, or the permits of a server by the hash of its identity.
pub fn granter_order(key: u128, names: &mut [String]) {
    let low = key as u64;
    names.sort_by_cached_key(|name| {
        (std::cmp::Reverse(mix(low ^ mix(hash_text(name)))), name.clone())
    });
}
