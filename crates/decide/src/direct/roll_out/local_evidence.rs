//! One entry's evidence about both versions, and when it suffices to reject the new one.

use std::collections::{HashMap, VecDeque};

use pondwalk_types::ServerId;

use crate::direct::evidence_pool::Slowness;

/// Number of latest answers that are evaluated.
const WINDOW: usize = 24;
/// Failures among those of one kind from which a version may be rejected.
const MIN_FAILURES: usize = 4;
/// Failures of the new version, of all kinds, from which a request that failed there is retried on
/// the old one.
const MIN_FAILURES_TO_AVOID: usize = 2;
/// Share of failures among them from which the version may be rejected.
const MIN_FAILURE_SHARE: f64 = 0.25;
/// Ratio of that share to the old version's from which it may be rejected.
const FAILURE_RATIO: f64 = 3.0;
/// Number of servers that must have failed or been slow.
const MIN_SERVERS: usize = 2;
/// Number of the old version's times kept for each kind.
const MAX_OLD_TIMES: usize = 64;
/// Number of the old version's times from which an answer can be classified as slow.
const MIN_OLD_TIMES: usize = 20;
/// Quantile of the old version's times that a slow answer exceeds.
const SLOW_QUANTILE: f64 = 0.95;
/// Quantile of them that bounds an ordinary answer, and the factor by which a slow answer exceeds
/// it. The factor tolerates a change of load that delays all answers by less.
const ORDINARY_QUANTILE: f64 = 0.7;
/// Quantile of them that a very slow answer exceeds.
const VERY_SLOW_QUANTILE: f64 = 0.9;
const SLOW_FACTOR: f64 = 2.5;
/// Slow answers among the latest of all kinds from which a version is rejected. Of an equal version
/// 1 in 20 is slow.
const MIN_SLOW: usize = 8;
/// The same while the share widens. The old version's times are then from before, when the new one
/// had little load and its servers did not have to prefill every shared part.
const MIN_SLOW_WIDENING: usize = 13;

/// One answer as evidence about a version.
#[derive(Debug, Clone)]
pub struct Evidence<'a> {
    /// Kind of request.
    pub kind: &'a str,
    /// Server that answered.
    pub server: &'a str,
    /// Whether the answer was a failure.
    pub failed: bool,
    /// Whether the time of the answer depends on what the server has cached.
    pub is_cached: bool,
    /// Time to first byte, as a multiple of the time expected under the known load.
    pub slowness: f64,
}

/// The latest answers: whether each was faulty, and its server.
#[derive(Debug, Default)]
struct RecentAnswers {
    answers: VecDeque<(bool, ServerId)>,
}

/// Answers of one version to one kind of request.
#[derive(Debug, Default)]
struct Record {
    failed: RecentAnswers,
    slowness: VecDeque<f64>,
}

/// This entry's own evidence.
#[derive(Debug, Default)]
pub(super) struct LocalEvidence {
    old: HashMap<String, Record>,
    new: HashMap<String, Record>,
    /// The old version's answers of all kinds, used for kinds with too few answers.
    old_of_all_kinds: Record,
    /// Slow answers of the new version, of all kinds.
    slow: RecentAnswers,
}

impl LocalEvidence {
    /// Records an answer of either version. Returns how slow it was, if that is known.
    pub(super) fn record(
        &mut self,
        is_target: bool,
        evidence: &Evidence<'_>,
        is_comparable: bool,
    ) -> Option<Slowness> {
        let slow = if is_comparable { self.is_slow(evidence) } else { None };
        if is_target && let Some(slow) = slow {
            self.slow.push(slow, evidence.server);
        }
        let slowness = if is_comparable { self.slowness(evidence) } else { None };
        if !is_target {
            self.old_of_all_kinds.record(evidence);
        }
        let records = if is_target { &mut self.new } else { &mut self.old };
        if !records.contains_key(evidence.kind) {
            records.insert(evidence.kind.to_owned(), Record::default());
        }
        if let Some(record) = records.get_mut(evidence.kind) {
            record.record(evidence);
        }
        slowness
    }

    /// Discards the answers of a server that has restarted.
    pub(super) fn forget_server(&mut self, server: &str) {
        let records = self.old.values_mut().chain(self.new.values_mut());
        let failed = records.chain([&mut self.old_of_all_kinds]).map(|record| &mut record.failed);
        for latest in failed.chain([&mut self.slow]) {
            latest.answers.retain(|(_, other)| other != server);
        }
    }

    /// Whether an answer is slower than nearly all of the old version's, if those are known.
    fn is_slow(&self, evidence: &Evidence<'_>) -> Option<bool> {
        let bound = self.old.get(evidence.kind)?.slow_bound()?;
        Some(!evidence.failed && evidence.slowness > bound)
    }

    /// How slow an answer is, compared with those of the old version: of the same kind, or of all
    /// kinds if too few of the kind are known.
    fn slowness(&self, evidence: &Evidence<'_>) -> Option<Slowness> {
        let of_kind = self.old.get(evidence.kind).filter(|old| old.ordinary_bound().is_some());
        let old = of_kind.unwrap_or(&self.old_of_all_kinds);
        let (slow, very_slow) = (old.ordinary_bound()?, old.quantile(VERY_SLOW_QUANTILE)?);
        match evidence.slowness {
            // NB: a request that got no answer in time counts too.
            slowness if slowness > very_slow => Some(Slowness::VerySlow),
            // A failure that comes soon says nothing about the time that an answer takes.
            _ if evidence.failed => None,
            slowness if slowness > slow => Some(Slowness::Slow),
            _ => Some(Slowness::Ordinary),
        }
    }

    /// Whether the new version is bad by its answers of a kind, or slow by all.
    pub(super) fn is_bad(&self, kind: &str, is_widening: bool) -> bool {
        let Some(new) = self.new.get(kind) else { return false };
        let old_share = self.old.get(kind).map_or(0.0, |old| old.failed.fault_share());
        let is_failing = new.failed.fault_count() >= MIN_FAILURES
            && new.failed.faulty_servers() >= MIN_SERVERS
            && new.failed.fault_share() >= MIN_FAILURE_SHARE
            && new.failed.fault_share() >= FAILURE_RATIO * old_share;
        let min_slow = if is_widening { MIN_SLOW_WIDENING } else { MIN_SLOW };
        is_failing || self.slow.has_at_least(min_slow)
    }

    /// Whether the new version has failed often enough that requests should not be retried on it.
    pub(super) fn may_be_bad(&self) -> bool {
        let failures = self.new.values().map(|record| record.failed.fault_count()).sum::<usize>();
        failures >= MIN_FAILURES_TO_AVOID
    }
}

impl Record {
    fn record(&mut self, evidence: &Evidence<'_>) {
        self.failed.push(evidence.failed, evidence.server);
        if evidence.failed {
            return;
        }
        if self.slowness.len() == MAX_OLD_TIMES {
            self.slowness.pop_front();
        }
        self.slowness.push_back(evidence.slowness);
    }

    /// Slowness above which an answer is slow.
    fn slow_bound(&self) -> Option<f64> {
        Some(self.quantile(SLOW_QUANTILE)?.max(SLOW_FACTOR * self.ordinary_bound()?))
    }

    /// Slowness up to which an answer is ordinary.
    fn ordinary_bound(&self) -> Option<f64> {
        self.quantile(ORDINARY_QUANTILE)
    }

    fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.slowness.len() < MIN_OLD_TIMES {
            return None;
        }
        let mut sorted: Vec<f64> = self.slowness.iter().copied().collect();
        sorted.sort_by(f64::total_cmp);
        let rank = (quantile * (sorted.len() - 1) as f64).ceil() as usize;
        sorted.get(rank).copied()
    }
}

impl RecentAnswers {
    fn push(&mut self, faulty: bool, server: &str) {
        if self.answers.len() == WINDOW {
            self.answers.pop_front();
        }
        self.answers.push_back((faulty, server.to_owned()));
    }

    fn fault_count(&self) -> usize {
        self.answers.iter().filter(|(faulty, _)| *faulty).count()
    }

    fn fault_share(&self) -> f64 {
        self.fault_count() as f64 / self.answers.len().max(1) as f64
    }

    /// Whether there are at least `answers` faulty answers, from more than one server.
    fn has_at_least(&self, answers: usize) -> bool {
        self.fault_count() >= answers && self.faulty_servers() >= MIN_SERVERS
    }

    /// Number of servers that gave faulty answers.
    fn faulty_servers(&self) -> usize {
        let mut faulty_servers: Vec<&ServerId> = Vec::new();
        for (_, server) in self.answers.iter().filter(|(faulty, _)| *faulty) {
            if !faulty_servers.contains(&server) {
                faulty_servers.push(server);
            }
        }
        faulty_servers.len()
    }
}
