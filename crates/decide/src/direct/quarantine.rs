//! Quarantine of requests under which backend servers crashed.
//!
//! A request may crash every server that runs it, and its caller retries it under another id at any
//! entry. Or what crashes servers is a part of its prompt, which other requests share. Crashes are
//! therefore counted by *feature*, which is either the whole content of a request or one of these
//! parts, and published to all entries. After a few crashes requests with the feature run only as
//! rare probes, one at a time.
//!
//! A server that crashes under a request names all of the request's features, of which one may be
//! the cause. These rules find it:
//!
//! - A feature that succeeded is exempt for some crashes ([`SuccessfulFeatures`]), since one that
//!   crashes every server never succeeds. A success clears it at all entries. Only runs of a whole
//!   answer whose servers kept running are successes ([`EndedRun`]).
//! - A crash that a quarantined feature explains counts against no other part, and one that a part
//!   without any success, or a content with earlier crashes, explains against no part that succeeded.
//! - A probe tests one feature: a request with several quarantined ones, or with a quarantined part
//!   and a content with earlier crashes, runs only if no other request has come that would tell them
//!   apart, and its crash delays no probe of one alone.
//! - Crashes of several servers at the same moment, most of which did not run the feature, are
//!   excused in part ([`CorrelatedCrashes`]). Those of a content restrict it to probes all the same,
//!   the first of which needs not wait.
//! - A quarantined feature can prove harmless: the first probe is allowed a second after the latest
//!   crash.
//!
//! The entries agree on one of them that grants the probes of a feature (rendezvous hashing, Thaler
//! and Ravishankar, 1998). Two partitions of a deployment grant at most one further probe between
//! them.

mod correlated_crashes;
mod ended_runs;
mod features;
mod record;
mod successful_features;

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

pub use correlated_crashes::CorrelatedCrashes;
pub use ended_runs::{EndedRun, RunExtent};
pub use features::{FeatureHash, is_part, is_part_of, part_feature, part_id};
pub use successful_features::SuccessfulFeatures;

use super::hash::{hash_text, mix};
use ended_runs::EndedRuns;
use record::{Crash, Excuses, MIN_CRASHES, PROBE_DELAYS, Record};

/// Identifies one observed crash.
pub type CrashId = u64;

/// Maximum number of records, some 200 bytes each. A data centre of the planned size has ten
/// thousand requests in flight. Cleared records are evicted first, then those with few crashes, the
/// oldest first.
const MAX_FEATURES: usize = 8_192;
/// Fraction of the records that is evicted at once, so that sorting them stays rare.
const EVICTION_DIVISOR: usize = 8;

/// One crash of a server under a feature of a request. The features of one request have crashes of
/// the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerCrash {
    /// Feature of the request.
    pub feature: FeatureHash,
    /// Distinguishes this crash from all others.
    pub id: CrashId,
    /// Hash of the server's identity.
    pub server: u64,
    /// Whether servers that did not run the feature crashed at the same moment.
    pub in_common_loss: bool,
    /// Whether the request ran as a probe of the feature.
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

/// Whether a request may run, with the quarantined features that restrict it, the most suspicious
/// first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineCheck {
    /// Whether the request may run.
    pub status: QuarantineStatus,
    /// The quarantined features.
    pub suspects: Vec<FeatureHash>,
}

/// Bits that mark the id of a crash after the end of a run; other ids have them by chance once in
/// four billion.
const AFTER_RUN_MARK: CrashId = 0xffff_ffff << 32;

/// A request that was running at a server which crashed.
#[derive(Debug, Clone, Copy)]
pub struct CrashedRequest<'a> {
    /// Features of the request.
    pub features: &'a [FeatureHash],
    /// Those that it ran as a probe of.
    pub probed: &'a [FeatureHash],
    /// Time since it was sent to the server.
    pub elapsed: Duration,
    /// Identifies the crash.
    pub id: CrashId,
    /// Hash of the server's identity.
    pub server: u64,
}

/// What was in flight at a server when it crashed.
#[derive(Debug, Clone, Copy)]
pub struct InFlight<'a> {
    /// Features of the request, as far as they are known.
    pub features: &'a [FeatureHash],
    /// Time since it was sent to the server; `None` if another entry sent it.
    pub elapsed: Option<Duration>,
}

impl InFlight<'_> {
    /// Nothing that this entry knows of.
    pub const NOTHING: InFlight<'static> = InFlight { features: &[], elapsed: None };

    /// Whether it shows that the server did not crash because of this ended run.
    fn contests(&self, run: &EndedRun) -> bool {
        let is_same_content = run.features.first().is_some_and(|content| {
            run.extent == RunExtent::Whole && !is_part(*content) && self.features.contains(content)
        });
        is_same_content && self.elapsed.is_none_or(|elapsed| elapsed > run.took)
    }
}

/// What explains a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Culprit {
    /// A quarantined feature.
    Quarantined,
    /// A content with an earlier crash and no success.
    RepeatedContent,
}

/// A crash of a server shortly after the end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashAfterRun {
    /// The run.
    pub run: Rc<EndedRun>,
    /// The crash under each feature that may be the cause, to be reported to others.
    pub crashes: Vec<ServerCrash>,
}

/// Answer to a probe request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeDecision {
    /// The request may run once.
    Granted,
    /// Another request with this feature runs as a probe now.
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
    /// The feature to probe.
    pub feature: FeatureHash,
    /// Longest time that the run may take.
    pub lease: Duration,
    /// Whether other features of the request are quarantined too.
    pub is_joint: bool,
    /// Whether this entry is first in the order of granters.
    pub is_primary: bool,
}

/// Records of the features under which servers have crashed, and those that succeeded.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: HashMap<FeatureHash, Record>,
    /// Contents and parts apart, so that new contents don't displace parts.
    successful_contents: SuccessfulFeatures,
    successful_parts: SuccessfulFeatures,
    ended_runs: EndedRuns,
    evicted: u64,
}

impl Quarantine {
    /// Whether a feature with so many crashes is quarantined.
    pub fn quarantines_after(crashes: usize) -> bool {
        crashes >= MIN_CRASHES
    }

    /// Whether there are no records, so that no request needs to be checked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of recorded features.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of prompt parts known to succeed.
    pub fn successful_part_count(&self) -> usize {
        self.successful_parts.len()
    }

    /// Number of contents and of prompt parts that are quarantined or need a probe.
    pub fn count_quarantined(&self) -> (usize, usize) {
        let quarantined = self
            .records
            .iter()
            .filter(|(feature, _)| self.is_restricted(**feature) && !self.is_exempt(**feature));
        let (parts, contents): (Vec<_>, Vec<_>) =
            quarantined.partition(|(feature, _)| is_part(**feature));
        (contents.len(), parts.len())
    }

    /// Number of records evicted for lack of room.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Number of crashes that count against a feature.
    pub fn crash_count(&self, feature: FeatureHash) -> usize {
        self.records.get(&feature).map_or(0, Record::crash_count)
    }

    /// Number of crashes that are excused since servers crashed that did not run the feature.
    pub fn excused_crash_count(&self, feature: FeatureHash) -> usize {
        self.records.get(&feature).map_or(0, |record| record.crashes.len() - record.crash_count())
    }

    /// Highest number of crashes that count against one of these features and are not forgiven.
    pub fn max_crash_count(&self, features: &[FeatureHash]) -> usize {
        let suspected = features.iter().filter(|feature| !self.is_exempt(**feature));
        suspected.map(|feature| self.crash_count(*feature)).max().unwrap_or(0)
    }

    /// Whether a feature succeeded recently and is exempt from quarantine.
    pub fn is_exempt(&self, feature: FeatureHash) -> bool {
        self.successes(feature).is_exempt(feature)
    }

    /// Whether a feature succeeded after all its recorded crashes.
    pub fn is_cleared(&self, feature: FeatureHash) -> bool {
        let record = self.records.get(&feature);
        record.is_some_and(|record| record.crashes.is_empty() && record.cleared_at.is_some())
    }

    /// Whether others quarantine a feature that succeeded at this entry.
    pub fn can_clear(&self, feature: FeatureHash) -> bool {
        self.is_restricted(feature) && self.successes(feature).is_proven(feature)
    }

    /// Whether no other success of these features would change anything.
    pub fn knows_success_of(&self, features: &[FeatureHash]) -> bool {
        features.iter().all(|feature| {
            self.successes(*feature).is_fresh(*feature) && self.crash_count(*feature) == 0
        })
    }

    fn successes(&self, feature: FeatureHash) -> &SuccessfulFeatures {
        if is_part(feature) { &self.successful_parts } else { &self.successful_contents }
    }

    fn successes_mut(&mut self, feature: FeatureHash) -> &mut SuccessfulFeatures {
        if is_part(feature) { &mut self.successful_parts } else { &mut self.successful_contents }
    }

    /// Records that a server crashed under a request of this entry. Returns the crashes to report
    /// to others: those of the features that may be the cause.
    pub fn observe_crash(
        &mut self,
        request: CrashedRequest<'_>,
        now: Duration,
    ) -> Vec<ServerCrash> {
        let CrashedRequest { features, probed, elapsed, id, server } = request;
        let causes = self.likely_causes(features);
        let in_flight = InFlight { features, elapsed: Some(elapsed) };
        let after_runs = self.observe_crash_after_runs(server, in_flight, id, now, now);
        let mut crashes = self.record_causes(&causes, probed, (id, server), now, now);
        crashes.extend(after_runs.into_iter().flat_map(|after_run| after_run.crashes));
        crashes
    }

    /// Records that a server crashed at `at`, shortly after runs of this entry had ended there.
    pub fn observe_crash_after_runs(
        &mut self,
        server: u64,
        in_flight: InFlight<'_>,
        id: CrashId,
        at: Duration,
        now: Duration,
    ) -> Vec<CrashAfterRun> {
        let culprit = self.find_culprit(in_flight.features);
        let ended = self.ended_runs.drain(server, |run| in_flight.contests(run));
        let mut after_runs = Vec::new();
        let mut crashed_after_runs = HashSet::new();
        for (number, run) in (1..).zip(ended) {
            if culprit == Some(Culprit::Quarantined) {
                self.forget_unsettled(&run);
                continue;
            }
            // What succeeded before is blamed only after too many crashes.
            let (settled, suspected): (Vec<_>, Vec<_>) =
                run.features.iter().copied().partition(|feature| {
                    run.extent == RunExtent::Whole && self.successes(*feature).is_settled(*feature)
                });
            for feature in run.whole_features() {
                let is_excused = culprit.is_some() && settled.contains(feature);
                if !is_excused && crashed_after_runs.insert(*feature) {
                    self.successes_mut(*feature).record_crash_after_run(*feature);
                }
            }
            if suspected.is_empty() {
                continue;
            }
            let causes = self.likely_causes(&suspected);
            let id = mix(id ^ number) | AFTER_RUN_MARK;
            let crashes = self.record_causes(&causes, &run.probed, (id, server), at, now);
            after_runs.push(CrashAfterRun { run, crashes });
        }
        after_runs
    }

    /// What explains a crash among the features of a request that was in flight.
    fn find_culprit(&self, features: &[FeatureHash]) -> Option<Culprit> {
        let suspected: Vec<FeatureHash> =
            features.iter().copied().filter(|feature| !self.is_exempt(*feature)).collect();
        if suspected.iter().any(|feature| self.is_quarantined(*feature)) {
            return Some(Culprit::Quarantined);
        }
        let is_repeated = |feature: &FeatureHash| !is_part(*feature) && self.has_crashed(*feature);
        suspected.iter().any(is_repeated).then_some(Culprit::RepeatedContent)
    }

    fn record_causes(
        &mut self,
        causes: &[FeatureHash],
        probed: &[FeatureHash],
        (id, server): (CrashId, u64),
        at: Duration,
        now: Duration,
    ) -> Vec<ServerCrash> {
        let is_joint = probed.len() > 1;
        let crash = |feature: &FeatureHash| {
            let on_probe = probed.contains(feature);
            let crash =
                ServerCrash { feature: *feature, id, server, in_common_loss: false, on_probe };
            if self.record(crash, is_joint, at, now) {
                self.successes_mut(*feature).record_crash(*feature);
            }
            crash
        };
        causes.iter().map(crash).collect()
    }

    /// Records that a server crashed at `at` under a request of another entry, which reported
    /// these features. Returns those against which the crash counts anew.
    pub fn record_reported_crash(
        &mut self,
        crashes: &[ServerCrash],
        at: Duration,
        now: Duration,
    ) -> Vec<FeatureHash> {
        let features: Vec<FeatureHash> = crashes.iter().map(|crash| crash.feature).collect();
        let causes = self.likely_causes(&features);
        let is_joint = crashes.iter().filter(|crash| crash.on_probe).count() > 1;
        let mut counted = Vec::new();
        for crash in crashes {
            if is_after_run(crash.id) {
                self.successes_mut(crash.feature).revoke_unsettled(crash.feature);
            }
            // What succeeded here is recorded all the same: its reporter does not know of it.
            let is_likely = causes.contains(&crash.feature);
            if !is_likely && !self.is_exempt(crash.feature) && !crash.on_probe {
                continue;
            }
            if self.record(*crash, is_joint, at, now) {
                counted.push(crash.feature);
                if is_likely {
                    self.successes_mut(crash.feature).record_crash(crash.feature);
                }
            }
        }
        counted
    }

    fn is_quarantined(&self, feature: FeatureHash) -> bool {
        self.records.get(&feature).is_some_and(Record::is_quarantined)
    }

    fn excuses_of(&self, feature: FeatureHash) -> Excuses {
        match is_part(feature) || self.successes(feature).is_settled(feature) {
            true => Excuses::Full,
            false => Excuses::Limited,
        }
    }

    fn is_restricted(&self, feature: FeatureHash) -> bool {
        let record = self.records.get(&feature);
        record.is_some_and(|record| record.is_restricted(self.excuses_of(feature)))
    }

    /// The features of one request that a crash may be due to.
    ///
    /// NB: a content counts beside a quarantined part, which may have been quarantined because of
    /// it. Otherwise it would have its first crashes anew whenever the part is cleared.
    fn likely_causes(&self, features: &[FeatureHash]) -> Vec<FeatureHash> {
        let suspected: Vec<FeatureHash> =
            features.iter().copied().filter(|feature| !self.is_exempt(*feature)).collect();
        if suspected.iter().any(|feature| self.is_quarantined(*feature)) {
            let is_cause =
                |feature: &FeatureHash| !is_part(*feature) || self.is_quarantined(*feature);
            suspected.into_iter().filter(is_cause).collect()
        } else if suspected.iter().any(|feature| is_part(*feature) || self.has_crashed(*feature)) {
            suspected
        } else {
            features.to_vec()
        }
    }

    fn has_crashed(&self, feature: FeatureHash) -> bool {
        self.records.get(&feature).is_some_and(|record| !record.crashes.is_empty())
    }

    /// Records that a server crashed at `at`. Returns whether this crash is new.
    pub fn record_crash(&mut self, crash: ServerCrash, at: Duration, now: Duration) -> bool {
        self.record(crash, false, at, now)
    }

    fn record(&mut self, crash: ServerCrash, is_joint: bool, at: Duration, now: Duration) -> bool {
        if !self.records.contains_key(&crash.feature) {
            self.evict(now);
        }
        let record = self.records.entry(crash.feature).or_default();
        if record.cleared_at.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        if let Some(existing) =
            record.crashes.iter_mut().find(|existing| existing.is_same_crash(&crash, at))
        {
            let is_known_probe = existing.on_probe || !crash.on_probe;
            existing.in_common_loss |= crash.in_common_loss;
            existing.on_probe |= crash.on_probe;
            if !is_known_probe {
                record.resolve_probe();
            }
            return false;
        }
        record.push_crash(Crash {
            id: crash.id,
            server: crash.server,
            at,
            in_common_loss: crash.in_common_loss,
            on_probe: crash.on_probe,
            is_joint: is_joint && crash.on_probe,
        });
        if crash.on_probe {
            record.resolve_probe();
        }
        true
    }

    /// Records a successful run at this entry. Returns the number of crashes that counted against
    /// the feature.
    pub fn record_success(&mut self, feature: FeatureHash, now: Duration) -> usize {
        self.successes_mut(feature).record_success(feature, now);
        self.clear(feature, now)
    }

    /// Records a successful run at another entry. Returns the number of crashes that counted
    /// against the feature.
    pub fn record_reported_success(
        &mut self,
        feature: FeatureHash,
        at: Duration,
        now: Duration,
    ) -> usize {
        self.successes_mut(feature).record_reported_success(feature, now);
        self.clear(feature, at)
    }

    /// Records a run that has ended without a crash of its server so far. A whole one is a success
    /// of the features under which another one has settled before; returns these with the number of
    /// crashes that counted against each. It exempts the others until it is known whether its server
    /// keeps running, unless they are quarantined.
    pub fn record_ended_run(&mut self, run: EndedRun, now: Duration) -> Vec<(FeatureHash, usize)> {
        let mut cleared = Vec::new();
        for feature in run.whole_features() {
            let is_settled = self.successes(*feature).is_settled(*feature);
            if !is_settled && self.is_restricted(*feature) {
                continue;
            }
            if self.successes_mut(*feature).record_whole_run(*feature, now) {
                cleared.push((*feature, self.clear(*feature, now)));
            }
        }
        if let Some(displaced) = self.ended_runs.push(run, now) {
            self.forget_unsettled(&displaced);
        }
        cleared
    }

    /// The runs whose servers have had the time to crash; each is returned once, and then
    /// [settled](Quarantine::settle_run) or [forgotten](Quarantine::forget_run).
    pub fn take_due_runs(&mut self, now: Duration) -> Vec<Rc<EndedRun>> {
        self.ended_runs.take_due(now)
    }

    /// Records that the server of a run has kept running. A whole run is a success, unless a crash
    /// of its server was observed before. Returns its features with the number of crashes that
    /// counted against each.
    pub fn settle_run(&mut self, run: &Rc<EndedRun>, now: Duration) -> Vec<(FeatureHash, usize)> {
        let features = run.whole_features();
        if features.is_empty() || !self.ended_runs.remove(run) {
            return Vec::new();
        }
        features.iter().map(|feature| (*feature, self.record_success(*feature, now))).collect()
    }

    /// Records the contested runs that count now, as successes of their contents. Returns them with
    /// the number of crashes that counted against each content.
    pub fn settle_contested_runs(&mut self, now: Duration) -> Vec<(Rc<EndedRun>, usize)> {
        let mut settled = Vec::new();
        for run in self.ended_runs.take_contested(now) {
            let content = run.content();
            let is_valid = self.successes(content).is_exempt(content);
            self.forget_unsettled(&run);
            if is_valid {
                let crashes = self.record_success(content, now);
                settled.push((run, crashes));
            }
        }
        settled
    }

    /// Records that it is not known, or doesn't matter, whether the server of a run has kept running.
    pub fn forget_run(&mut self, run: &Rc<EndedRun>) {
        if run.extent == RunExtent::Whole && self.ended_runs.remove(run) {
            self.forget_unsettled(run);
        }
    }

    fn forget_unsettled(&mut self, run: &EndedRun) {
        for feature in run.whole_features() {
            self.successes_mut(*feature).forget_unsettled(*feature);
        }
    }

    /// Records that an answer to a request with these parts has been in progress for a while. That
    /// exempts them for a limited number of crashes, unless they are quarantined.
    pub fn record_survival(&mut self, parts: &[FeatureHash], now: Duration) {
        for part in parts {
            let crashes = self.crash_count(*part);
            if !Quarantine::quarantines_after(crashes) {
                self.successful_parts.record_survival(*part, crashes, now);
            }
        }
    }

    /// Removes the crashes of a feature that succeeded at `at`. Returns the number of those that
    /// counted against it.
    pub fn clear(&mut self, feature: FeatureHash, at: Duration) -> usize {
        let Some(record) = self.records.get_mut(&feature) else { return 0 };
        let before = record.crash_count();
        record.crashes.retain(|crash| crash.at > at);
        record.cleared_at = record.cleared_at.max(Some(at));
        record.resolve_probe();
        record.unresolved_probes = 0;
        record.last_unresolved_at = None;
        before
    }

    /// Whether a request of which this feature is the only restricted one may run.
    pub fn status(&self, feature: FeatureHash, now: Duration) -> QuarantineStatus {
        self.records.get(&feature).map_or(QuarantineStatus::Unrestricted, |record| {
            record.status(self.excuses_of(feature), now)
        })
    }

    /// Whether a request with these features may run.
    pub fn check(&self, features: &[FeatureHash], now: Duration) -> QuarantineCheck {
        let is_restricted = |(feature, record): &(FeatureHash, &Record)| {
            record.is_restricted(self.excuses_of(*feature))
        };
        let suspected = features.iter().filter(|feature| !self.is_exempt(**feature));
        let records = suspected.filter_map(|feature| Some((*feature, self.records.get(feature)?)));
        let mut suspects: Vec<(FeatureHash, &Record)> = records
            .filter(|suspect| is_restricted(suspect) || is_crashed_content(suspect))
            .collect();
        if !suspects.iter().any(is_restricted) {
            suspects.clear();
        }
        suspects.sort_unstable_by_key(|(feature, record)| {
            let probes = record.probe_count(self.excuses_of(*feature));
            std::cmp::Reverse((probes, record.crash_count(), *feature))
        });
        let status = match &suspects[..] {
            [] => QuarantineStatus::Unrestricted,
            [(feature, record)] => record.status(self.excuses_of(*feature), now),
            several => {
                let probes = several
                    .iter()
                    .map(|(feature, record)| record.next_joint_probe_at(self.excuses_of(*feature)));
                let until = probes.max().unwrap_or_default();
                match now < until {
                    true => QuarantineStatus::Quarantined { until },
                    false => QuarantineStatus::ProbeAllowed,
                }
            }
        };
        QuarantineCheck { status, suspects: suspects.iter().map(|(feature, _)| *feature).collect() }
    }

    /// Grants a probe, or returns when to ask again.
    ///
    /// NB: an entry that is not the primary grants only a feature's first probe, since the primary
    /// may have granted others unseen.
    pub fn request_probe(&mut self, probe: ProbeRequest, now: Duration) -> ProbeDecision {
        let excuses = self.excuses_of(probe.feature);
        let Some(record) = self.records.get_mut(&probe.feature) else {
            return ProbeDecision::Granted;
        };
        match record.status(excuses, now) {
            QuarantineStatus::Unrestricted => ProbeDecision::Granted,
            QuarantineStatus::ProbeInProgress => ProbeDecision::InProgress,
            QuarantineStatus::Quarantined { until } => ProbeDecision::Refused { until },
            QuarantineStatus::ProbeAllowed
                if probe.is_joint && now < record.next_joint_probe_at(excuses) =>
            {
                ProbeDecision::Refused { until: record.next_joint_probe_at(excuses) }
            }
            QuarantineStatus::ProbeAllowed
                if probe.is_primary || record.probe_count(excuses) == 0 =>
            {
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
    pub fn release_probe(&mut self, feature: FeatureHash) {
        if let Some(record) = self.records.get_mut(&feature) {
            record.resolve_probe();
        }
    }

    /// The crashes of a feature, with the age of each.
    pub fn crashes_of(&self, feature: FeatureHash, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let record = self.records.get(&feature);
        record.map(|record| crashes_with_age(feature, record, now)).unwrap_or_default()
    }

    /// The crashes of all features that are quarantined or need a probe, with the age of each; the
    /// most relevant features first.
    pub fn quarantined_crashes(&self, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let is_restricted =
            |feature: FeatureHash, record: &Record| record.is_restricted(self.excuses_of(feature));
        self.crashes_by_relevance(is_restricted, now).collect()
    }

    /// The crashes of the most relevant features, with the age of each: at most `max`.
    pub fn most_relevant_crashes(&self, max: usize, now: Duration) -> Vec<(ServerCrash, Duration)> {
        let has_crashes = |_, record: &Record| !record.crashes.is_empty();
        self.crashes_by_relevance(has_crashes, now).take(max).collect()
    }

    fn crashes_by_relevance(
        &self,
        is_reported: impl Fn(FeatureHash, &Record) -> bool,
        now: Duration,
    ) -> impl Iterator<Item = (ServerCrash, Duration)> {
        let reported = |(feature, record): &(&FeatureHash, &Record)| {
            is_reported(**feature, record) && !self.is_exempt(**feature)
        };
        let mut records: Vec<_> = self.records.iter().filter(reported).collect();
        records.sort_unstable_by_key(|(feature, record)| {
            std::cmp::Reverse((record.retention_rank(), **feature))
        });
        records
            .into_iter()
            .flat_map(move |(feature, record)| crashes_with_age(*feature, record, now))
    }

    fn evict(&mut self, now: Duration) {
        if self.records.len() < MAX_FEATURES {
            return;
        }
        self.records.retain(|_, record| !record.is_expired(now));
        if self.records.len() < MAX_FEATURES {
            return;
        }
        let mut by_rank: Vec<_> = self
            .records
            .iter()
            .map(|(feature, record)| (record.retention_rank(), *feature))
            .collect();
        by_rank.sort_unstable();
        for (_, feature) in by_rank.iter().take(MAX_FEATURES / EVICTION_DIVISOR) {
            self.records.remove(feature);
            self.evicted += 1;
        }
    }

    /// Removes expired records.
    pub fn remove_expired(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.is_expired(now));
    }
}

/// Whether this is a content under which a server has crashed. A request with it does not test one
/// of its parts, since it may crash servers by itself.
fn is_crashed_content((feature, record): &(FeatureHash, &Record)) -> bool {
    !is_part(*feature) && !record.crashes.is_empty()
}

fn crashes_with_age(
    feature: FeatureHash,
    record: &Record,
    now: Duration,
) -> Vec<(ServerCrash, Duration)> {
    let crash = |crash: &Crash| {
        let Crash { id, server, at, in_common_loss, on_probe, .. } = *crash;
        let server_crash = ServerCrash { feature, id, server, in_common_loss, on_probe };
        (server_crash, now.saturating_sub(at))
    };
    record.crashes.iter().map(crash).collect()
}

/// Hash of a server's identity, as crashes carry it.
pub fn server_hash(server: &str) -> u64 {
    hash_text(server)
}

/// Whether a crash came after the end of a run, which was not aboard any more.
pub fn is_after_run(id: CrashId) -> bool {
    id & AFTER_RUN_MARK == AFTER_RUN_MARK
}

/// Identifies a crash by the observing entry, the server, the attempt and the time.
pub fn crash_id(texts: &[&str], numbers: &[u64]) -> CrashId {
    let texts = texts.iter().map(|text| hash_text(text));
    let step = |id, part| mix(id ^ part).wrapping_add(part);
    texts.chain(numbers.iter().copied()).fold(0, step)
}

/// Sorts the names of entries into the order in which they may grant what a key identifies: the
/// probes of a feature, or the permits of a server by the hash of its identity.
pub fn granter_order(key: u128, names: &mut [String]) {
    let low = key as u64;
    names.sort_by_cached_key(|name| {
        (std::cmp::Reverse(mix(low ^ mix(hash_text(name)))), name.clone())
    });
}
