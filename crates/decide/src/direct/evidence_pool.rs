//! Pools all entries' observations of a version on trial for one sequential test.
//!
//! Each of a hundred entries sees a few answers of the new version in the time within which a bad
//! version must be withdrawn; together they see hundreds. The answers of the last seconds are
//! weighed by a log-likelihood ratio: how much likelier they are if the version is bad than if it
//! is as good as the old one. The old version's answers of the same time are the baseline, so a
//! fault that affects both versions counts against neither. No single server decides, since a
//! faulty server says nothing about its version.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_types::ServerId;
use serde::{Deserialize, Serialize};

/// Window of the answers that are weighed. A version may turn bad late, so older answers must not
/// outweigh its current ones; at five answers a second, the window holds forty.
const WINDOW: Duration = Duration::from_secs(8);
/// Length of the time slots in which answers are summed.
const SLOT: Duration = Duration::from_millis(500);
/// Log-likelihood ratio from which a version counts as bad; a good version hardly ever reaches it
/// in a trial.
const BAD_LOG_RATIO: f64 = 10.0;
/// Largest fraction of that ratio that one server can contribute.
const MAX_SERVER_FRACTION: f64 = 0.4;
/// Number of the old version's answers in the window from which its shares of faults are used as
/// the baseline. Below it the minimum shares are used.
const MIN_OLD_ANSWERS: u32 = 20;

/// Expected shares of faulty answers of a good and of a bad version.
#[derive(Debug, Clone, Copy)]
struct FaultShares {
    /// Minimum share of a good version.
    min_good: f64,
    /// Largest share of a good version, as a multiple of the old version's.
    good_ratio: f64,
    /// Minimum share of a bad version.
    min_bad: f64,
    /// Share of a bad version, as a multiple of a good one's.
    bad_ratio: f64,
}

/// Failures: a few percent are normal.
const FAILURES: FaultShares =
    FaultShares { min_good: 0.05, good_ratio: 1.5, min_bad: 0.25, bad_ratio: 3.0 };
/// Answers slower than seven in ten of the old version's. Many answers of a slow version are little
/// slower than normal, where most of the time to first byte is prefill.
const SLOWNESS: FaultShares =
    FaultShares { min_good: 0.33, good_ratio: 1.1, min_bad: 0.53, bad_ratio: 1.6 };
/// Answers slower than nine in ten of the old version's. A version on trial has little load, so a
/// good one gives few of them, while half of the answers of one that is several times slower are.
const GREAT_SLOWNESS: FaultShares =
    FaultShares { min_good: 0.12, good_ratio: 1.2, min_bad: 0.45, bad_ratio: 3.0 };
/// Log-likelihood ratio from which a version gets no larger share at the end of its trial. A good
/// version is rarely as high at that moment, and one faulty server does not suffice.
const DOUBTFUL_LOG_RATIO: f64 = 4.5;
/// Largest expected share of a bad version.
const MAX_BAD_SHARE: f64 = 0.9;

/// How slow an answer is, compared with those of the old version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Slowness {
    /// Not slower than seven in ten.
    Ordinary,
    /// Slower than those.
    Slow,
    /// Slower than nine in ten.
    VerySlow,
}

/// Counts of answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Tally {
    /// All answers.
    pub answers: u32,
    /// Failures.
    pub failed: u32,
    /// Slow answers, among the timed ones.
    pub slow: u32,
    /// Very slow answers, among the slow ones.
    pub very_slow: u32,
    /// Answers that could be classified as slow or not.
    pub timed: u32,
}

impl Tally {
    fn add(&mut self, other: Tally) {
        self.answers += other.answers;
        self.failed += other.failed;
        self.slow += other.slow;
        self.very_slow += other.very_slow;
        self.timed += other.timed;
    }

    fn is_empty(&self) -> bool {
        self.answers == 0
    }
}

/// Answers to one kind of request that one entry has seen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Kind of request.
    pub kind: String,
    /// Server of the new version that gave the answers; `None` for all servers of the old one.
    pub server: Option<ServerId>,
    /// The counts.
    pub tally: Tally,
}

/// Answers to one kind of request: of the old version, and of the new one by server.
#[derive(Debug, Clone, Default)]
struct KindCounts {
    old: Tally,
    new: BTreeMap<ServerId, Tally>,
}

/// Answers in one time slot, by kind.
type TimeSlot = BTreeMap<String, KindCounts>;

/// Recent answers of both versions.
#[derive(Debug, Default)]
pub struct EvidencePool {
    /// Time slots with answers, by number.
    slots: BTreeMap<u128, TimeSlot>,
    unpublished: Vec<Observation>,
    published_at: Option<Duration>,
}

impl EvidencePool {
    /// Adds an answer that this entry has received itself.
    pub fn record_own(&mut self, observation: Observation, now: Duration) {
        let same = |existing: &&mut Observation| {
            existing.kind == observation.kind && existing.server == observation.server
        };
        match self.unpublished.iter_mut().find(same) {
            Some(existing) => existing.tally.add(observation.tally),
            None => self.unpublished.push(observation.clone()),
        }
        self.apply(observation, now);
    }

    /// Adds answers received at `at`, by this entry or another.
    pub fn apply(&mut self, observation: Observation, at: Duration) {
        let slot = self.slots.entry(at.as_nanos() / SLOT.as_nanos()).or_default();
        let counts = slot.entry(observation.kind).or_default();
        match observation.server {
            None => counts.old.add(observation.tally),
            Some(server) => counts.new.entry(server).or_default().add(observation.tally),
        }
    }

    /// Whether this entry has unpublished answers of the new version, and last published at least
    /// `interval` ago.
    pub fn is_publication_due(&self, now: Duration, interval: Duration) -> bool {
        let is_interval_over =
            self.published_at.is_none_or(|at| now.saturating_sub(at) >= interval);
        is_interval_over && self.unpublished.iter().any(|observation| observation.server.is_some())
    }

    /// Returns what this entry has seen since it last published.
    pub fn drain_unpublished(&mut self, now: Duration) -> Vec<Observation> {
        self.published_at = Some(now);
        std::mem::take(&mut self.unpublished)
    }

    /// Whether the recent answers show that the new version is bad, for all kinds together or for
    /// one.
    pub fn is_bad(&mut self, now: Duration) -> bool {
        self.log_ratio(now) >= BAD_LOG_RATIO
    }

    /// Whether the recent answers make it doubtful that the new version is good.
    pub fn is_doubtful(&mut self, now: Duration) -> bool {
        self.log_ratio(now) >= DOUBTFUL_LOG_RATIO
    }

    /// The largest log-likelihood ratio of all kinds together and of each.
    fn log_ratio(&mut self, now: Duration) -> f64 {
        let first = now.saturating_sub(WINDOW).as_nanos() / SLOT.as_nanos();
        self.slots = self.slots.split_off(&first);
        let mut by_kind: BTreeMap<&str, KindCounts> = BTreeMap::new();
        for (kind, counts) in self.slots.values().flatten() {
            by_kind.entry(kind).or_default().add(counts);
        }
        let mut all = KindCounts::default();
        by_kind.values().for_each(|counts| all.add(counts));
        let log_ratios = by_kind.values().chain([&all]).map(KindCounts::log_ratio);
        log_ratios.fold(all.great_slowness_log_ratio(), f64::max)
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

    /// The larger of the log-likelihood ratios of failures and of slowness.
    fn log_ratio(&self) -> f64 {
        let (old, new) = (&self.old, self.new.values());
        let failed = new.clone().map(|tally| (tally.failed, tally.answers));
        let slow = new.map(|tally| (tally.slow, tally.timed));
        let failures = FAILURES.log_likelihood_ratio((old.failed, old.answers), failed);
        failures.max(SLOWNESS.log_likelihood_ratio((old.slow, old.timed), slow))
    }

    /// The log-likelihood ratio of great slowness.
    ///
    /// It is of use for all kinds together only: servers without a cache yet are very slow for the
    /// kinds of request with much to cache.
    fn great_slowness_log_ratio(&self) -> f64 {
        let new = self.new.values().map(|tally| (tally.very_slow, tally.timed));
        GREAT_SLOWNESS.log_likelihood_ratio((self.old.very_slow, self.old.timed), new)
    }
}

impl FaultShares {
    /// Log-likelihood ratio of the servers' answers, bad version against good version. Each pair
    /// holds faulty answers and all answers.
    fn log_likelihood_ratio(
        &self,
        old: (u32, u32),
        servers: impl Iterator<Item = (u32, u32)>,
    ) -> f64 {
        let (faulty, all) = old;
        let old_share =
            if all < MIN_OLD_ANSWERS { 0.0 } else { f64::from(faulty) / f64::from(all) };
        let good = (old_share * self.good_ratio).max(self.min_good).min(MAX_BAD_SHARE / 2.0);
        let bad = (good * self.bad_ratio).max(self.min_bad).min(MAX_BAD_SHARE);
        let if_faulty = (bad / good).ln();
        let if_not = ((1.0 - bad) / (1.0 - good)).ln();
        let max = BAD_LOG_RATIO * MAX_SERVER_FRACTION;
        let server_log_ratio = |(faulty, all): (u32, u32)| {
            let log_ratio = f64::from(faulty) * if_faulty + f64::from(all - faulty) * if_not;
            log_ratio.clamp(-max, max)
        };
        servers.map(server_log_ratio).sum()
    }
}

impl Observation {
    /// Creates the observation of one answer.
    pub fn single(
        kind: &str,
        server: Option<&str>,
        failed: bool,
        slowness: Option<Slowness>,
    ) -> Self {
        let tally = Tally {
            answers: 1,
            failed: u32::from(failed),
            slow: u32::from(slowness >= Some(Slowness::Slow)),
            very_slow: u32::from(slowness == Some(Slowness::VerySlow)),
            timed: u32::from(slowness.is_some()),
        };
        Observation { kind: kind.to_owned(), server: server.map(str::to_owned), tally }
    }

    /// Whether the counts are possible and not all zero; rejects invalid observations of other
    /// entries.
    pub fn is_valid(&self) -> bool {
        let tally = self.tally;
        !tally.is_empty()
            && tally.failed <= tally.answers
            && tally.very_slow <= tally.slow
            && tally.slow <= tally.timed
            && tally.timed <= tally.answers
    }
}
