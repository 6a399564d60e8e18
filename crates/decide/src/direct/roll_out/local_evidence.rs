//! What one entry has seen of both versions, and when that alone calls the new one bad.

use std::collections::{HashMap, VecDeque};

use pondwalk_types::ServerId;

/// Latest answers that are looked at.
const WINDOW: usize = 24;
/// Failures among those of one kind from which a version may be called bad.
const MIN_FAILURES: usize = 4;
/// Failures of the new version, of all kinds, from which a request that failed there is tried
/// again on the old one.
const MIN_FAILURES_TO_SPARE: usize = 2;
/// Share of failures among them from which it may be called bad.
const MIN_FAILURE_SHARE: f64 = 0.25;
/// How many times the old version's share of failures that must be.
const FAILURE_RATIO: f64 = 3.0;
/// Servers that must have failed or been slow.
const MIN_SERVERS: usize = 2;
/// Times of the old version that are remembered for each kind.
const OLD_TIMES: usize = 64;
/// Times of the old version from which an answer can be called slow.
const MIN_OLD_TIMES: usize = 20;
/// Share of the old version's answers that are faster than a slow one.
const SLOW_QUANTILE: f64 = 0.95;
/// Share of them that are faster than an ordinary one, and how many times slower a slow one is.
/// This bears a change of load that moves all answers by less than that.
const ORDINARY_QUANTILE: f64 = 0.7;
const SLOW_FACTOR: f64 = 2.5;
/// Slow answers among the latest of all kinds from which a version is called bad. Of an equal
/// version 1 in 20 is slow.
const MIN_SLOW: usize = 8;
/// The same once the share widens. The old version's times are then from before, when the new
/// one had little load and its servers had not yet to read every shared part.
const MIN_SLOW_WIDENING: usize = 13;

/// One answer, as evidence about a version.
#[derive(Debug, Clone)]
pub struct Evidence<'a> {
    /// Kind of request.
    pub kind: &'a str,
    /// Server that answered.
    pub server: &'a str,
    /// Whether it was a failure.
    pub failed: bool,
    /// Time until it began, as a multiple of what was expected with the load known.
    pub slowness: f64,
}

/// Whether the latest answers were faulty in one way, and whose they were.
#[derive(Debug, Default)]
struct RecentAnswers {
    answers: VecDeque<(bool, ServerId)>,
}

/// What is known of one version's answers of one kind.
#[derive(Debug, Default)]
struct Record {
    failed: RecentAnswers,
    slowness: VecDeque<f64>,
}

/// What this entry has seen itself.
#[derive(Debug, Default)]
pub(super) struct LocalEvidence {
    old: HashMap<String, Record>,
    new: HashMap<String, Record>,
    /// The old version's answers of all kinds, for kinds of which too few are known.
    old_of_all_kinds: Record,
    /// Slow answers of the new version, of all kinds.
    slow: RecentAnswers,
}

impl LocalEvidence {
    /// Takes an answer of either version in. Returns whether it was slower than an ordinary one of the
    /// old version, if that can be told.
    pub(super) fn note(
        &mut self,
        of_target: bool,
        evidence: &Evidence<'_>,
        comparable: bool,
    ) -> Option<bool> {
        let slow = if comparable { self.is_slow(evidence) } else { None };
        if of_target && let Some(slow) = slow {
            self.slow.push(slow, evidence.server);
        }
        let slower = if comparable { self.is_slower(evidence) } else { None };
        if !of_target {
            self.old_of_all_kinds.note(evidence);
        }
        let records = if of_target { &mut self.new } else { &mut self.old };
        if !records.contains_key(evidence.kind) {
            records.insert(evidence.kind.to_owned(), Record::default());
        }
        if let Some(record) = records.get_mut(evidence.kind) {
            record.note(evidence);
        }
        slower
    }

    /// A server has started anew: what it answered before says nothing of it any more.
    pub(super) fn forget_server(&mut self, server: &str) {
        let records = self.old.values_mut().chain(self.new.values_mut());
        let failed = records.chain([&mut self.old_of_all_kinds]).map(|record| &mut record.failed);
        for latest in failed.chain([&mut self.slow]) {
            latest.answers.retain(|(_, other)| other != server);
        }
    }

    /// Whether an answer is slower than nearly all of the old version's, if those are known.
    fn is_slow(&self, evidence: &Evidence<'_>) -> Option<bool> {
        let bound = self.old.get(evidence.kind)?.slow_from()?;
        Some(!evidence.failed && evidence.slowness > bound)
    }

    /// Whether an answer is slower than an ordinary one of the old version: of the same kind, or of
    /// any where too few of that are known.
    fn is_slower(&self, evidence: &Evidence<'_>) -> Option<bool> {
        let of_kind = self.old.get(evidence.kind).and_then(Record::ordinary);
        let bound = of_kind.or_else(|| self.old_of_all_kinds.ordinary())?;
        Some(!evidence.failed && evidence.slowness > bound)
    }

    /// Whether the new version is bad by its answers of a kind, or slow by all.
    pub(super) fn is_bad(&self, kind: &str, widening: bool) -> bool {
        let Some(new) = self.new.get(kind) else { return false };
        let old_share = self.old.get(kind).map_or(0.0, |old| old.failed.share());
        let fails = new.failed.count() >= MIN_FAILURES
            && new.failed.servers() >= MIN_SERVERS
            && new.failed.share() >= MIN_FAILURE_SHARE
            && new.failed.share() >= FAILURE_RATIO * old_share;
        let min_slow = if widening { MIN_SLOW_WIDENING } else { MIN_SLOW };
        fails || self.slow.is_of(min_slow)
    }

    /// Whether the new version has failed often enough to spare requests a second try there.
    pub(super) fn may_be_bad(&self) -> bool {
        let failures = self.new.values().map(|record| record.failed.count()).sum::<usize>();
        failures >= MIN_FAILURES_TO_SPARE
    }
}

impl Record {
    fn note(&mut self, evidence: &Evidence<'_>) {
        self.failed.push(evidence.failed, evidence.server);
        if evidence.failed {
            return;
        }
        if self.slowness.len() == OLD_TIMES {
            self.slowness.pop_front();
        }
        self.slowness.push_back(evidence.slowness);
    }

    /// Slowness beyond that of nearly all of these.
    fn slow_from(&self) -> Option<f64> {
        Some(self.quantile(SLOW_QUANTILE)?.max(SLOW_FACTOR * self.ordinary()?))
    }

    /// Slowness of an ordinary one of these, at most.
    fn ordinary(&self) -> Option<f64> {
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

    fn count(&self) -> usize {
        self.answers.iter().filter(|(faulty, _)| *faulty).count()
    }

    fn share(&self) -> f64 {
        self.count() as f64 / self.answers.len().max(1) as f64
    }

    /// Whether there are at least so many, of more than one server.
    fn is_of(&self, answers: usize) -> bool {
        self.count() >= answers && self.servers() >= MIN_SERVERS
    }

    /// Servers that gave faulty answers.
    fn servers(&self) -> usize {
        let mut servers: Vec<&ServerId> = Vec::new();
        for (_, server) in self.answers.iter().filter(|(faulty, _)| *faulty) {
            if !servers.contains(&server) {
                servers.push(server);
            }
        }
        servers.len()
    }
}
