//! Settings of the exchange of state among entries, and the time limits derived from a deployment's
//! declared bounds.
//!
//! A change must be in force everywhere within the declared propagation time. This module divides that
//! time among the steps of propagation: from the store to an entry that watches it, from there to all
//! other entries, and, if an entry in between fails, the search for another source.

use std::{net::SocketAddr, time::Duration};

use crate::{error::Problem, raw::RawFile};

/// Time between two confirmations at an entry that watches the store, as a fraction of the propagation
/// time. Twice the fraction would halve the calls, but leave little time to replace a lost source.
const CONFIRM_FRACTION: f64 = 0.2;
/// Upper limit of the same time, as a fraction of the key bound: after the store is lost, keys are
/// accepted for the bound less the age of the last confirmation.
const CONFIRM_FRACTION_OF_KEY_BOUND: f64 = 0.13;
/// Shortest time between two confirmations, which limits the load on the store.
const MIN_CONFIRM_INTERVAL: Duration = Duration::from_millis(50);
/// Time for an entry that lost its source to find another while its peers wait for a response, as a
/// fraction of the propagation time.
const HOLD_FRACTION: f64 = 0.1;
/// Age of the last confirmation at which an entry asks the store itself, as a fraction of the propagation time.
const FALLBACK_FRACTION: f64 = 0.6;
/// Time over which the entries spread those calls, as a fraction of the propagation time.
const FALLBACK_SPREAD_FRACTION: f64 = 0.1;
/// Time without a response from the store, beyond the last response time, after which an entry that
/// watches it asks others to call it, as a fraction of the propagation time.
const RELAY_DELAY_FRACTION: f64 = 0.1;
/// Upper limit of that time. A lost packet is retransmitted after 0.2 s.
const MAX_RELAY_DELAY: Duration = Duration::from_millis(300);
/// Groups of entries that are asked in turn to call the store within one confirmation interval.
pub const RELAY_GROUPS: usize = 2;
/// Round-trip time of a message between two busy entries.
const EXCHANGE_TIME: Duration = Duration::from_millis(100);
/// Number of confirmations that may fail or be late before peers look for another source.
const TOLERATED_CONFIRMATIONS: u32 = 2;
/// Number of consecutive entries without a source that a searching entry may meet.
const MAX_CONSECUTIVE_LOST: u32 = 2;

/// Default propagation time, the shortest that any known deployment declares.
const DEFAULT_PROPAGATION: Duration = Duration::from_millis(2_000);

/// `[membership]`: exchange of state with other entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Addresses of entries that a starting entry contacts; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Whether a starting entry asks other entries for an initial state before it reads the store.
    pub first_state: bool,
    /// Whether entries form a tree of bounded fan-out, instead of all asking the entries that watch the store.
    pub tree: bool,
    /// Whether the steps of a roll-out are made in the order of the entries.
    pub ordered_steps: bool,
    /// Time within which a change must be in force everywhere.
    pub propagation: Duration,
    /// Time limits derived from the declared bounds.
    pub times: MembershipTimes,
}

/// Time limits of the exchange among entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTimes {
    /// Time between two confirmations by the store at an entry that watches it.
    pub confirm_interval: Duration,
    /// Largest age of the confirmation behind another entry's response.
    pub max_peer_confirmation_age: Duration,
    /// Time for which an entry whose own confirmation is older than that delays its response.
    pub stale_hold_time: Duration,
    /// Age of an entry's own confirmation at which the entry asks the store itself.
    pub fallback_age: Duration,
    /// Time over which the entries spread those calls.
    pub fallback_spread: Duration,
    /// Silence of the store, beyond its last response time, after which other entries are asked to
    /// call it.
    pub relay_delay: Duration,
    /// Round-trip time of an exchange with another entry.
    pub exchange: Duration,
}

impl MembershipTimes {
    /// Divides the propagation time; `key_bound` is the longest time for which keys are accepted
    /// without a confirmation in a strict deployment, `min_outage` the shortest outage of the store
    /// in which records may lapse.
    pub fn split(propagation: Duration, key_bound: Duration, min_outage: Duration) -> Self {
        let by_keys = key_bound.mul_f64(CONFIRM_FRACTION_OF_KEY_BOUND);
        let confirm_interval =
            propagation.mul_f64(CONFIRM_FRACTION).min(by_keys).max(MIN_CONFIRM_INTERVAL);
        let max_peer_confirmation_age = confirm_interval * TOLERATED_CONFIRMATIONS + EXCHANGE_TIME;
        let fallback_spread = propagation.mul_f64(FALLBACK_SPREAD_FRACTION);
        // An entry that has asked nobody for so long must not take that time for an outage.
        let max_fallback_age = min_outage.saturating_sub(fallback_spread + EXCHANGE_TIME);
        let fallback_age = propagation.mul_f64(FALLBACK_FRACTION).min(max_fallback_age);
        MembershipTimes {
            confirm_interval,
            max_peer_confirmation_age,
            stale_hold_time: propagation.mul_f64(HOLD_FRACTION),
            // Peers must have had the time to confirm the state.
            fallback_age: fallback_age.max(max_peer_confirmation_age),
            fallback_spread,
            relay_delay: propagation.mul_f64(RELAY_DELAY_FRACTION).min(MAX_RELAY_DELAY),
            exchange: EXCHANGE_TIME,
        }
    }

    /// Largest age of the confirmation behind any entry's state while nothing fails: one confirmation
    /// interval, and two exchanges on the path from the entry that watches the store.
    pub fn normal_confirmation_age(&self) -> Duration {
        self.confirm_interval + self.exchange * 2
    }

    /// Longest response time of the store at which a change still reaches all entries within `bound`.
    /// Requests to the store overlap, so a response time counts only once.
    pub fn max_store_response(&self, bound: Duration) -> Duration {
        bound.saturating_sub(self.normal_confirmation_age())
    }

    /// Longest time for which an entry waits for another one that calls the store for it, beyond the
    /// store's last response time.
    pub fn relay_timeout(&self) -> Duration {
        self.relay_delay + self.exchange
    }

    /// Age of the last confirmation at which the entry at place `rank` of `entries` asks the store
    /// itself.
    pub fn fallback_age_of(&self, rank: usize, entries: usize) -> Duration {
        let place = rank.min(entries) as f64 / entries.max(1) as f64;
        self.fallback_age + self.fallback_spread.mul_f64(place)
    }

    /// Longest time until a change reaches all entries, whose number does not matter.
    pub fn worst_case_propagation(&self) -> Duration {
        self.relayed_propagation().max(self.searched_propagation()).max(self.fallback_propagation())
    }

    /// Longest time until a change reaches an entry below one that the store does not respond to,
    /// and whose first groups of other entries have no response either, except for the last.
    fn relayed_propagation(&self) -> Duration {
        self.confirm_interval
            + self.relay_delay
            + self.relay_timeout() * RELAY_GROUPS as u32
            + self.exchange * 2
    }

    /// Longest time until a change reaches an entry whose source, and the next sources it tries, fail
    /// silently.
    fn searched_propagation(&self) -> Duration {
        self.max_peer_confirmation_age
            + (self.stale_hold_time + self.exchange) * MAX_CONSECUTIVE_LOST
            + self.exchange
    }

    /// Longest time until a change reaches an entry that reaches the store and no useful peer.
    pub fn fallback_propagation(&self) -> Duration {
        self.fallback_age + self.fallback_spread + self.exchange
    }
}

impl MembershipSettings {
    /// Reads the section; `key_bound` is the strict key bound, `min_outage` the shortest outage of
    /// the store in which records may lapse.
    pub fn read(file: &mut RawFile, key_bound: Duration, min_outage: Duration) -> Self {
        let propagation = read_millis(file, "propagation_ms", DEFAULT_PROPAGATION);
        // A removed server must get no more requests by then.
        let drain = read_millis(file, "drain_ms", propagation);
        let bound = propagation.min(drain);
        let times = MembershipTimes::split(bound, key_bound, min_outage);
        if times.worst_case_propagation() > bound {
            let key = if drain < propagation { "drain_ms" } else { "propagation_ms" };
            let found = file.text("membership", key).unwrap_or_default();
            let expected = "a time long enough for a change to propagate, at least 1000";
            file.add_fault("membership", key, Problem::Invalid { found, expected });
        }
        MembershipSettings {
            seeds: read_seeds(file),
            first_state: file.value_or("membership", "first_state", "true or false", true),
            tree: file.value_or("membership", "tree", "true or false", true),
            ordered_steps: file.value_or("membership", "ordered_steps", "true or false", true),
            propagation,
            times,
        }
    }
}

/// Reads a time that a template may leave blank.
fn read_millis(file: &mut RawFile, key: &str, default: Duration) -> Duration {
    match file.text("membership", key) {
        Some(text) if !text.trim().is_empty() => {
            file.millis("membership", key, default.as_millis() as u64)
        }
        _ => default,
    }
}

fn read_seeds(file: &mut RawFile) -> Vec<SocketAddr> {
    let text = file.text("membership", "seeds").unwrap_or_default();
    let mut seeds = Vec::new();
    for item in RawFile::split_list(&text) {
        match item.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => {
                let expected = "comma-separated addresses with ports";
                file.add_fault("membership", "seeds", Problem::Invalid { found: item, expected });
            }
        }
    }
    seeds
}
