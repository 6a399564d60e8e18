//! What all entries have seen of a version on trial, and one sequential test of it.
//!
//! Each of a hundred entries sees a few answers of the new version in the time in which a bad one
//! must be left; together they see hundreds. Answers of the last seconds are weighed as the
//! logarithm of a likelihood ratio: how much likelier they are if the version is bad than if it is
//! as good as the old one. What the old version's answers do at the same time is the measure of
//! good, so trouble that meets both counts for neither. No server can decide alone, since one that
//! is sick says nothing of its version.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_types::ServerId;
use serde::{Deserialize, Serialize};

/// Time for which answers are weighed. A version may turn bad late, so older answers must not
/// outweigh what it does now; with five answers a second, these are forty.
const WINDOW: Duration = Duration::from_secs(8);
/// Time whose answers are added up.
const STEP: Duration = Duration::from_millis(500);
/// Logarithm of the likelihood ratio from which a version is called bad: so high that hardly any good one
/// reaches it in a trial.
const BAD_FROM: f64 = 10.0;
/// Part of it that one server can make up.
const MOST_OF_ONE_SERVER: f64 = 0.4;
/// Least answers of the old version in the window from which its shares are known. Until then the
/// least shares below are taken.
const MIN_OLD_ANSWERS: u32 = 20;

/// Shares of faulty answers that tell a good version from a bad one.
#[derive(Debug, Clone, Copy)]
struct FaultShares {
    /// Least share that is expected of a good one.
    least_good: f64,
    /// How many times the old version's share a good one may have.
    good_ratio: f64,
    /// Least share that is expected of a bad one.
    least_bad: f64,
    /// How many times a good one's share a bad one has.
    bad_ratio: f64,
}

/// Failures: a few in a hundred are usual.
const FAILURES: FaultShares =
    FaultShares { least_good: 0.05, good_ratio: 1.5, least_bad: 0.25, bad_ratio: 3.0 };
/// Answers slower than seven in ten of the old version's. Few answers of a slow version are much slower
/// than usual, since most of the time until one begins goes into reading the prompt; by the slowest twentieth
/// of the old version's, a bad one is told too late.
const SLOWNESS: FaultShares =
    FaultShares { least_good: 0.33, good_ratio: 1.1, least_bad: 0.53, bad_ratio: 1.6 };
/// Largest share that is expected of a bad version.
const MOST_BAD: f64 = 0.9;

/// Answers of one kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// All of them.
    pub answers: u32,
    /// Those that failed.
    pub failed: u32,
    /// Those that were slow, as far as that is known.
    pub slow: u32,
    /// Those of which it is known whether they were slow.
    pub timed: u32,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
        self.timed += other.timed;
    }

    fn is_empty(&self) -> bool {
        self.answers == 0
    }
}

/// Answers that one entry has seen of one kind of request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Kind of request.
    pub kind: String,
    /// Server of the new version that gave them; `None` for all of the old one.
    pub server: Option<ServerId>,
    /// What they were.
    pub tally: Tally,
}

/// Answers of one kind of request: the old version's, and the new one's by server.
#[derive(Debug, Clone, Default)]
struct KindCounts {
    old: Tally,
    new: BTreeMap<ServerId, Tally>,
}

/// Answers in one step of time, by kind.
type TimeSlot = BTreeMap<String, KindCounts>;

/// What is known of both versions' latest answers.
#[derive(Debug, Default)]
pub struct EvidencePool {
    /// Steps of time with answers, by their number.
    steps: BTreeMap<u128, TimeSlot>,
    unpublished: Vec<Observation>,
    published_at: Option<Duration>,
}

impl EvidencePool {
    /// Takes in an answer that this entry has seen itself.
    pub fn record_own(&mut self, seen: Observation, now: Duration) {
        let same = |one: &&mut Observation| one.kind == seen.kind && one.server == seen.server;
        match self.unpublished.iter_mut().find(same) {
            Some(one) => one.tally.add(seen.tally),
            None => self.unpublished.push(seen.clone()),
        }
        self.apply(seen, now);
    }

    /// Takes in answers that were seen at `at`, by this entry or another.
    pub fn apply(&mut self, seen: Observation, at: Duration) {
        let step = self.steps.entry(at.as_nanos() / STEP.as_nanos()).or_default();
        let of_kind = step.entry(seen.kind).or_default();
        match seen.server {
            None => of_kind.old.add(seen.tally),
            Some(server) => of_kind.new.entry(server).or_default().add(seen.tally),
        }
    }

    /// Whether this entry has seen answers of the new version that it has not told for `interval`.
    pub fn is_publication_due(&self, now: Duration, interval: Duration) -> bool {
        let waited = self.published_at.is_none_or(|at| now.saturating_sub(at) >= interval);
        waited && self.unpublished.iter().any(|seen| seen.server.is_some())
    }

    /// What this entry has seen since it last told.
    pub fn drain_unpublished(&mut self, now: Duration) -> Vec<Observation> {
        self.published_at = Some(now);
        std::mem::take(&mut self.unpublished)
    }

    /// Whether the latest answers say that the new version is bad, for all kinds or for one.
    pub fn is_bad(&mut self, now: Duration) -> bool {
        let first = now.saturating_sub(WINDOW).as_nanos() / STEP.as_nanos();
        self.steps = self.steps.split_off(&first);
        let mut by_kind: BTreeMap<&str, KindCounts> = BTreeMap::new();
        for (kind, of_kind) in self.steps.values().flatten() {
            by_kind.entry(kind).or_default().add(of_kind);
        }
        let mut all = KindCounts::default();
        by_kind.values().for_each(|of_kind| all.add(of_kind));
        by_kind.values().chain([&all]).any(|of_kind| of_kind.weight() >= BAD_FROM)
    }
}

impl KindCounts {
    fn add(&mut self, other: &KindCounts) {
        self.old.add(other.old);
        for (server, tally) in &other.new {
            match self.new.get_mut(server) {
                Some(known) => known.add(*tally),
                None => {
                    self.new.insert(server.clone(), *tally);
                }
            }
        }
    }

    /// The larger of the logarithms of the likelihood ratios of failures and of slowness.
    fn weight(&self) -> f64 {
        let (old, new) = (&self.old, self.new.values());
        let failed = new.clone().map(|tally| (tally.failed, tally.answers));
        let slow = new.map(|tally| (tally.slow, tally.timed));
        let failures = FAILURES.weigh((old.failed, old.answers), failed);
        failures.max(SLOWNESS.weigh((old.slow, old.timed), slow))
    }
}

impl FaultShares {
    /// Logarithm of how much likelier the servers' answers are if the version is bad. Each pair is of
    /// faulty answers and all answers.
    fn weigh(&self, old: (u32, u32), servers: impl Iterator<Item = (u32, u32)>) -> f64 {
        let (faulty, all) = old;
        let of_old = if all < MIN_OLD_ANSWERS { 0.0 } else { f64::from(faulty) / f64::from(all) };
        let good = (of_old * self.good_ratio).max(self.least_good).min(MOST_BAD / 2.0);
        let bad = (good * self.bad_ratio).max(self.least_bad).min(MOST_BAD);
        let if_faulty = (bad / good).ln();
        let if_not = ((1.0 - bad) / (1.0 - good)).ln();
        let most = BAD_FROM * MOST_OF_ONE_SERVER;
        let of_server = |(faulty, all): (u32, u32)| {
            let weight = f64::from(faulty) * if_faulty + f64::from(all - faulty) * if_not;
            weight.clamp(-most, most)
        };
        servers.map(of_server).sum()
    }
}

impl Observation {
    /// One answer.
    pub fn single(kind: &str, server: Option<&str>, failed: bool, slow: Option<bool>) -> Self {
        let tally = Tally {
            answers: 1,
            failed: u32::from(failed),
            slow: u32::from(slow == Some(true)),
            timed: u32::from(slow.is_some()),
        };
        Observation { kind: kind.to_owned(), server: server.map(str::to_owned), tally }
    }

    /// Whether there is nothing in it, or more faulty answers than answers, as nobody counts.
    pub fn is_valid(&self) -> bool {
        let tally = self.tally;
        !tally.is_empty()
            && tally.failed <= tally.answers
            && tally.slow <= tally.timed
            && tally.timed <= tally.answers
    }
}
