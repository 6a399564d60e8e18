//! One roll-out as one entry sees it: what share of the work the new version gets, and whether
//! it is as good as the old one.
//!
//! A trial at a small share lasts for half of the time that the order gives. Then the share
//! widens to the whole, and at last the roll-out is told complete. At any moment an entry that
//! sees the new version fail goes back to the old one at once. What one entry sees may be too little,
//! so entries tell one another what they see, and weigh that together; and they tell which sessions
//! run already, so that no session changes its version by coming through another entry.

mod local_evidence;

use std::{collections::HashSet, time::Duration};

use pondwalk_types::VersionId;

use super::{
    SessionKey, VersionRule,
    evidence_pool::{EvidencePool, Observation},
};

pub use local_evidence::Evidence;
use local_evidence::LocalEvidence;

/// Part of the order's time that the trial takes; sessions may be moved only after half of it.
const TRIAL_PART: f64 = 0.53;
/// Time from the start of the trial until an entry tells which of its sessions stay on the old
/// version. It tells again, of those that came meanwhile, once it puts sessions on the new one.
const KEEP_AFTER: Duration = Duration::from_millis(300);
/// Least time from the start of the trial until sessions are put on the new version.
const LEAST_TRIAL_LEAD: Duration = Duration::from_millis(1_300);
/// Time in which entries hear which sessions the others keep.
const TELLING: Duration = Duration::from_millis(300);
/// Time in which the share widens from that of the trial to the whole.
const WIDENING: Duration = Duration::from_secs(4);
/// Part of the order's time after which the roll-out is told complete.
const COMPLETE_PART: f64 = 0.82;

/// How far a roll-out has come among the entries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets a small share of new sessions.
    Trial,
    /// Its share widens to the whole.
    Widening,
    /// It has the whole, for good.
    Completed,
    /// It gets nothing any more.
    Reverted,
}

/// What an entry should make known next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollOutStep {
    /// That the roll-out is under way.
    Begin,
    /// Which sessions, through this entry, stay on the old version.
    Keep,
    /// That the share widens.
    Widen,
    /// That it is complete.
    Complete,
    /// That the new version is bad.
    Revert,
}

/// One order with what this entry knows of it.
#[derive(Debug)]
pub struct RollOut {
    target: VersionId,
    within: Duration,
    ordered_at: Duration,
    trial_share: f64,
    /// Time from the start of the trial until sessions are put on the new version. By then the
    /// entries have heard which sessions run already, through whichever of them.
    trial_lead: Duration,
    published_stage: Option<Stage>,
    trial_since: Option<Duration>,
    widening_since: Option<Duration>,
    /// Sessions that run on the old version, through any entry.
    kept: HashSet<SessionKey>,
    /// Times that this entry has told which sessions it keeps.
    kept_publications: u8,
    tripped: bool,
    tripped_locally: bool,
    local_evidence: LocalEvidence,
    /// What all entries have seen.
    pool: EvidencePool,
}

impl RollOut {
    /// An order first seen at `seen`. News of the trial's start takes up to `news` to reach all
    /// entries; the one that hears it last tells of its sessions that much later.
    pub fn new(
        target: VersionId,
        within: Duration,
        seen: Duration,
        trial_share: f64,
        news: Duration,
    ) -> Self {
        let told = KEEP_AFTER + TELLING + news;
        RollOut {
            trial_lead: told.max(LEAST_TRIAL_LEAD),
            target,
            within,
            ordered_at: seen,
            trial_share,
            published_stage: None,
            trial_since: None,
            widening_since: None,
            kept: HashSet::new(),
            kept_publications: 0,
            tripped: false,
            tripped_locally: false,
            local_evidence: LocalEvidence::default(),
            pool: EvidencePool::default(),
        }
    }

    /// Version on trial.
    pub fn target(&self) -> &VersionId {
        &self.target
    }

    /// Stage that was made known.
    pub fn published_stage(&self) -> Option<Stage> {
        self.published_stage
    }

    /// Whether this entry has found the new version bad.
    pub fn is_tripped(&self) -> bool {
        self.tripped
    }

    /// Whether it was this entry's own evidence that called the version bad.
    pub fn has_tripped_locally(&self) -> bool {
        self.tripped_locally
    }

    /// Whether the new version gets nothing any more.
    pub fn is_withdrawn(&self) -> bool {
        self.tripped || self.published_stage == Some(Stage::Reverted)
    }

    /// Learns what was made known by any entry. A later stage is never taken back.
    pub fn apply_stage(&mut self, stage: Stage, now: Duration) {
        if stage == Stage::Trial && self.trial_since.is_none() {
            self.trial_since = Some(now);
        }
        if stage == Stage::Widening && self.widening_since.is_none() {
            self.widening_since = Some(now);
        }
        self.published_stage = self.published_stage.max(Some(stage));
    }

    /// Sessions stay on the old version that run already, through this entry or another.
    pub fn add_kept_sessions(&mut self, sessions: impl IntoIterator<Item = SessionKey>) {
        self.kept.extend(sessions);
    }

    /// This entry has told which sessions it keeps.
    pub fn record_kept_published(&mut self) {
        self.kept_publications = self.kept_publications.saturating_add(1);
    }

    /// Whether this entry is to tell which sessions it keeps: before sessions are put on the new
    /// version, and once more as that begins.
    fn is_kept_publication_due(&self, now: Duration) -> bool {
        let time = self.time_in_trial(now);
        match self.kept_publications {
            0 => time >= KEEP_AFTER,
            1 => time >= self.trial_lead,
            _ => false,
        }
    }

    /// Whether a session would be put on the new version by the trial, if nobody knew it.
    pub fn is_in_trial_share(&self, session: SessionKey) -> bool {
        side(session) < self.trial_share
    }

    fn time_in_trial(&self, now: Duration) -> Duration {
        self.trial_since.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// A server has started anew under its identity; its answers before say nothing of it any more.
    pub fn forget_server(&mut self, server: &str) {
        self.local_evidence.forget_server(server);
    }

    /// Another entry has found the version bad.
    pub fn trip_from_peer(&mut self) {
        self.tripped |= self.published_stage != Some(Stage::Completed);
    }

    /// Share of sessions that belong on the new version now.
    pub fn share(&self, now: Duration) -> f64 {
        match self.published_stage {
            Some(Stage::Completed) => 1.0,
            Some(Stage::Reverted) => 0.0,
            _ if self.tripped => 0.0,
            None => 0.0,
            Some(Stage::Trial) if self.time_in_trial(now) < self.trial_lead => 0.0,
            Some(Stage::Trial) => self.trial_share,
            Some(Stage::Widening) => {
                let since = self.widening_since.unwrap_or(now);
                let part = now.saturating_sub(since).div_duration_f64(WIDENING).min(1.0);
                self.trial_share + (1.0 - self.trial_share) * part
            }
        }
    }

    /// Version for a request of a session that was last on `pinned`, and that a server of the
    /// version `failed` has failed before.
    pub fn version_rule(
        &self,
        session: SessionKey,
        pinned: Option<&VersionId>,
        failed: Option<&str>,
        now: Duration,
    ) -> VersionRule<'_> {
        if failed == Some(self.target.as_str()) && self.may_be_bad() {
            return VersionRule::Except(&self.target);
        }
        let share = self.share(now);
        let on_target = match (self.published_stage, pinned) {
            (Some(Stage::Trial), Some(pinned)) if !self.tripped => *pinned == self.target,
            (Some(Stage::Widening), Some(pinned)) if share > 0.0 && *pinned == self.target => true,
            (Some(Stage::Trial), None) if self.kept.contains(&session) => false,
            _ => side(session) < share,
        };
        if on_target { VersionRule::Only(&self.target) } else { VersionRule::Except(&self.target) }
    }

    /// Takes an answer of either version into account; true if the new one is bad by it.
    pub fn record_answer(&mut self, version: &str, evidence: &Evidence<'_>, now: Duration) -> bool {
        let of_target = version == self.target;
        // NB: with the whole share on the new version, the old one's times are of another load.
        let comparable = self.share(now) < 1.0;
        let slow = self.local_evidence.note(of_target, evidence, comparable);
        // NB: once the share widens, the new version's servers have their load still to learn.
        let slow = slow.filter(|_| self.published_stage == Some(Stage::Trial));
        let server = of_target.then_some(evidence.server);
        self.pool
            .record_own(Observation::single(evidence.kind, server, evidence.failed, slow), now);
        let widening = self.published_stage == Some(Stage::Widening);
        of_target && self.may_trip() && {
            let is_bad = self.local_evidence.is_bad(evidence.kind, widening);
            self.trip_if(is_bad)
        }
    }

    /// Takes in what another entry has seen, this long ago.
    pub fn apply_observations(&mut self, seen: Vec<Observation>, age: Duration, now: Duration) {
        let at = now.saturating_sub(age);
        seen.into_iter().filter(Observation::is_valid).for_each(|one| self.pool.apply(one, at));
    }

    /// What this entry has seen since it last told the others, if that is `interval` ago and there
    /// is anything.
    pub fn take_due_observations(
        &mut self,
        now: Duration,
        interval: Duration,
    ) -> Option<Vec<Observation>> {
        let is_due = self.may_trip() && self.pool.is_publication_due(now, interval);
        is_due.then(|| self.pool.drain_unpublished(now))
    }

    /// Weighs what all entries have seen, as far as this one knows; true if the version is bad by
    /// it and was not known to be.
    pub fn evaluate(&mut self, now: Duration) -> bool {
        self.may_trip() && {
            let is_bad = self.pool.is_bad(now);
            self.trip_if(is_bad)
        }
    }

    /// The new version's servers turn everything away, so that nothing can show whether it is good; true if
    /// it is left by that.
    pub fn trip_on_refusals(&mut self) -> bool {
        self.may_trip() && self.trip_if(true)
    }

    fn may_trip(&self) -> bool {
        !self.tripped && !matches!(self.published_stage, Some(Stage::Completed | Stage::Reverted))
    }

    fn trip_if(&mut self, is_bad: bool) -> bool {
        self.tripped = is_bad;
        self.tripped_locally = is_bad;
        is_bad
    }

    /// What should be made known next, if anything.
    pub fn next_step(&self, now: Duration) -> Option<RollOutStep> {
        let elapsed = now.saturating_sub(self.ordered_at);
        match self.published_stage {
            Some(Stage::Completed | Stage::Reverted) => None,
            _ if self.tripped => Some(RollOutStep::Revert),
            None => Some(RollOutStep::Begin),
            Some(Stage::Trial) if self.is_kept_publication_due(now) => Some(RollOutStep::Keep),
            Some(Stage::Trial) if elapsed >= self.within.mul_f64(TRIAL_PART) => {
                Some(RollOutStep::Widen)
            }
            Some(Stage::Trial) => None,
            Some(Stage::Widening) => {
                let since = self.widening_since.unwrap_or(now);
                let whole = now.saturating_sub(since) >= WIDENING + WIDENING / 8;
                let due = elapsed >= self.within.mul_f64(COMPLETE_PART);
                (whole && due).then_some(RollOutStep::Complete)
            }
        }
    }

    /// Whether the new version has failed often enough to spare requests a second try there.
    fn may_be_bad(&self) -> bool {
        self.published_stage != Some(Stage::Completed) && self.local_evidence.may_be_bad()
    }
}

/// Where a session stands between 0 and 1, by its top bits, alike at every entry.
fn side(session: SessionKey) -> f64 {
    (session >> 11) as f64 / (1u64 << 53) as f64
}
