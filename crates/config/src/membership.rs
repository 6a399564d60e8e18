//! Settings of what entries tell one another, and the times that follow from what a deployment
//! declares.
//!
//! A change must be in force everywhere within the declared time. That time is split here, in
//! one place, over the ways that a change takes: from the store to an entry that watches it, from
//! there to all others, and, where an entry on the way is lost, over the search for another way.

use std::{net::SocketAddr, time::Duration};

use crate::{error::Problem, raw::RawFile};

/// Part of the propagation time between two confirmations at an entry that watches the store.
/// Twice as long saves half of the calls, but not much is left then for a way that is lost.
const CONFIRM_PART: f64 = 0.2;
/// The same as a part of the key bound: keys are honoured after the store is lost for what the
/// bound leaves beyond the age of the last confirmation.
const CONFIRM_PART_OF_KEYS: f64 = 0.13;
/// Shortest time between two confirmations; more would be a burden on the store.
const SHORTEST_CONFIRM: Duration = Duration::from_millis(50);
/// Part of the propagation time that an entry which has lost its own way is given to find another,
/// while others wait for its answer.
const HOLD_PART: f64 = 0.1;
/// Part of the propagation time after which an entry that heard nothing asks the store itself.
const FALLBACK_PART: f64 = 0.7;
/// Time that a message takes to another entry and back, where both are busy.
const EXCHANGE: Duration = Duration::from_millis(100);
/// Confirmations that may fail or come late before others look for another way.
const CONFIRMATIONS: u32 = 2;
/// Entries in a row that may have lost their way before one that has not is found.
const LOST_IN_ROW: u32 = 2;

/// Time within which a change must be in force where nothing else is declared, in milliseconds: the
/// shortest that a deployment of the users has asked for.
const DEFAULT_PROPAGATION_MS: u64 = 2_000;

/// `[membership]`: how an entry learns from others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Entries that one which starts may ask; some may be gone.
    pub seeds: Vec<SocketAddr>,
    /// Whether an entry that starts asks others for a first state before it reads the store.
    pub first_state: bool,
    /// Whether entries ask in a tree of bounded width, rather than all those that watch the store.
    pub tree: bool,
    /// Whether steps of a roll-out are made in the order of the entries.
    pub ordered_steps: bool,
    /// Time within which a change must be in force everywhere.
    pub propagation: Duration,
    /// Times that follow from what the deployment declares.
    pub times: MembershipTimes,
}

/// Times of the exchange among entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipTimes {
    /// Time between two confirmations by the store at an entry that watches it.
    pub confirm_interval: Duration,
    /// Oldest confirmation that another entry's answer may rest on.
    pub max_peer_confirmation_age: Duration,
    /// Time for which an entry whose own confirmation is older than that holds a question.
    pub stale_hold_time: Duration,
    /// Age of the own confirmation from which an entry asks the store itself.
    pub fallback_age: Duration,
    /// Time for an exchange with another entry.
    pub exchange: Duration,
}

impl MembershipTimes {
    /// Splits the propagation time; `key_bound` is the longest time for which keys are honoured
    /// without a confirmation where the deployment is strict.
    pub fn split(propagation: Duration, key_bound: Duration) -> Self {
        let by_keys = key_bound.mul_f64(CONFIRM_PART_OF_KEYS);
        let confirm_interval = propagation.mul_f64(CONFIRM_PART).min(by_keys).max(SHORTEST_CONFIRM);
        MembershipTimes {
            confirm_interval,
            max_peer_confirmation_age: confirm_interval * CONFIRMATIONS + EXCHANGE,
            stale_hold_time: propagation.mul_f64(HOLD_PART),
            fallback_age: propagation.mul_f64(FALLBACK_PART),
            exchange: EXCHANGE,
        }
    }

    /// Oldest confirmation that any entry's state rests on while nothing is lost: the entry that
    /// asks the store is about to hear from it again, and is that far from the asker.
    pub fn normal_confirmation_age(&self) -> Duration {
        self.confirm_interval + self.exchange * 2
    }

    /// Longest time that an answer of the store may take so that what must be known everywhere
    /// within `bound` still is. Questions overlap, so an answer time counts once.
    pub fn max_store_response(&self, bound: Duration) -> Duration {
        bound.saturating_sub(self.normal_confirmation_age())
    }

    /// Longest time until a change reaches an entry whose way, and the next ones it tries, are
    /// lost without a word.
    pub fn worst_case_propagation(&self) -> Duration {
        self.max_peer_confirmation_age
            + (self.stale_hold_time + self.exchange) * LOST_IN_ROW
            + self.exchange
    }
}

impl MembershipSettings {
    /// Reads the section. `key_bound` is the strict bound of keys.
    pub fn read(file: &mut RawFile, key_bound: Duration) -> Self {
        let propagation = read_propagation(file);
        let times = MembershipTimes::split(propagation, key_bound);
        if times.worst_case_propagation() > propagation {
            let found = file.text("membership", "propagation_ms").unwrap_or_default();
            let expected = "a time that the ways of a change fit into, 1000 or more";
            file.fault("membership", "propagation_ms", Problem::Invalid { found, expected });
        }
        MembershipSettings {
            seeds: read_seeds(file),
            first_state: file.or("membership", "first_state", "true or false", true),
            tree: file.or("membership", "tree", "true or false", true),
            ordered_steps: file.or("membership", "ordered_steps", "true or false", true),
            propagation,
            times,
        }
    }
}

/// The propagation time; a template may leave it blank.
fn read_propagation(file: &mut RawFile) -> Duration {
    match file.text("membership", "propagation_ms") {
        Some(text) if !text.trim().is_empty() => {
            file.millis("membership", "propagation_ms", DEFAULT_PROPAGATION_MS)
        }
        _ => Duration::from_millis(DEFAULT_PROPAGATION_MS),
    }
}

fn read_seeds(file: &mut RawFile) -> Vec<SocketAddr> {
    let text = file.text("membership", "seeds").unwrap_or_default();
    let mut seeds = Vec::new();
    for item in RawFile::items(&text) {
        match item.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => {
                let expected = "addresses with ports, separated by commas";
                file.fault("membership", "seeds", Problem::Invalid { found: item, expected });
            }
        }
    }
    seeds
}
