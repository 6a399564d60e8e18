//! One roll-out as one entry sees it: the new version's share of the traffic, and whether the new
//! version is as good as the old one.
//!
//! A trial at a small share lasts for half of the time that the order allows. Then the share widens
//! to all traffic, and finally the roll-out is published as complete. An entry that sees the new
//! version fail returns to the old one at once, at any stage. One entry may see too little, so
//! entries exchange their observations and weigh them together. They also exchange which sessions
//! are running, so that no session changes its version by reaching another entry.

mod local_evidence;

use std::{collections::HashSet, time::Duration};

use pondwalk_types::VersionId;

use super::{
    SessionKey, VersionRule,
    evidence_pool::{EvidencePool, Observation},
};

pub use local_evidence::Evidence;
use local_evidence::LocalEvidence;

/// Fraction of the order's time that the trial takes; sessions may be moved only after half of it.
const TRIAL_FRACTION: f64 = 0.53;
/// Time from the start of the trial until an entry publishes which of its sessions stay on the old
/// version. It publishes sessions that began since then once new sessions go to the new version.
const KEPT_PUBLISH_DELAY: Duration = Duration::from_millis(300);
/// Shortest time from the start of the trial until sessions go to the new version.
const MIN_TRIAL_LEAD: Duration = Duration::from_millis(1_300);
/// Time in which entries receive the sessions that stay on the old version at the others.
const KEPT_GOSSIP_TIME: Duration = Duration::from_millis(300);
/// Time in which the new version's share widens from that of the trial to all traffic.
const WIDENING_TIME: Duration = Duration::from_secs(4);
/// Fraction of the order's time after which the roll-out is published as complete.
const COMPLETE_FRACTION: f64 = 0.82;

/// Stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The new version gets a small share of new sessions.
    Trial,
    /// The share widens to all traffic.
    Widening,
    /// The new version has all traffic, permanently.
    Completed,
    /// The new version gets no more traffic.
    Reverted,
}

/// What an entry publishes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RollOutStep {
    /// That the roll-out has begun.
    Begin,
    /// Which of its sessions stay on the old version.
    Keep,
    /// That the share widens.
    Widen,
    /// That the roll-out is complete.
    Complete,
    /// That the new version is bad.
    Revert,
}

/// An order with this entry's state of its roll-out.
#[derive(Debug)]
pub struct RollOut {
    target: VersionId,
    within: Duration,
    ordered_at: Duration,
    trial_share: f64,
    /// Time from the start of the trial until sessions go to the new version. By then the entries
    /// have received the running sessions of all entries.
    trial_lead: Duration,
    published_stage: Option<Stage>,
    trial_started_at: Option<Duration>,
    widening_started_at: Option<Duration>,
    /// Sessions that run on the old version, through any entry.
    kept_sessions: HashSet<SessionKey>,
    /// How often this entry has published which of its sessions stay on the old version.
    kept_publications: u8,
    tripped: bool,
    tripped_locally: bool,
    local_evidence: LocalEvidence,
    /// Observations of all entries.
    pool: EvidencePool,
}

impl RollOut {
    /// Creates a roll-out whose order was first received at `ordered_at`. The start of the trial
    /// takes up to `gossip_delay` to reach all entries; the last of them publishes its sessions
    /// that much later.
    pub fn new(
        target: VersionId,
        within: Duration,
        ordered_at: Duration,
        trial_share: f64,
        gossip_delay: Duration,
    ) -> Self {
        let kept_gossip_end = KEPT_PUBLISH_DELAY + KEPT_GOSSIP_TIME + gossip_delay;
        RollOut {
            trial_lead: kept_gossip_end.max(MIN_TRIAL_LEAD),
            target,
            within,
            ordered_at,
            trial_share,
            published_stage: None,
            trial_started_at: None,
            widening_started_at: None,
            kept_sessions: HashSet::new(),
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

    /// Latest published stage.
    pub fn published_stage(&self) -> Option<Stage> {
        self.published_stage
    }

    /// Whether this entry has rejected the new version.
    pub fn is_tripped(&self) -> bool {
        self.tripped
    }

    /// Whether this entry's own evidence rejected the new version.
    pub fn has_tripped_locally(&self) -> bool {
        self.tripped_locally
    }

    /// Whether the new version gets no more traffic.
    pub fn is_withdrawn(&self) -> bool {
        self.tripped || self.published_stage == Some(Stage::Reverted)
    }

    /// Applies a stage that any entry has published; the stage never moves back.
    pub fn apply_stage(&mut self, stage: Stage, now: Duration) {
        if stage == Stage::Trial && self.trial_started_at.is_none() {
            self.trial_started_at = Some(now);
        }
        if stage == Stage::Widening && self.widening_started_at.is_none() {
            self.widening_started_at = Some(now);
        }
        self.published_stage = self.published_stage.max(Some(stage));
    }

    /// Adds sessions that are running, through this entry or another, and stay on the old version.
    pub fn add_kept_sessions(&mut self, sessions: impl IntoIterator<Item = SessionKey>) {
        self.kept_sessions.extend(sessions);
    }

    /// Records that this entry has published which of its sessions stay on the old version.
    pub fn record_kept_published(&mut self) {
        self.kept_publications = self.kept_publications.saturating_add(1);
    }

    /// Whether this entry must publish which of its sessions stay on the old version: before
    /// sessions go to the new version, and again when they begin to.
    fn is_kept_publication_due(&self, now: Duration) -> bool {
        let time = self.time_in_trial(now);
        match self.kept_publications {
            0 => time >= KEPT_PUBLISH_DELAY,
            1 => time >= self.trial_lead,
            _ => false,
        }
    }

    /// Whether the trial would put a session on the new version if it were not running yet.
    pub fn is_in_trial_share(&self, session: SessionKey) -> bool {
        session_position(session) < self.trial_share
    }

    fn time_in_trial(&self, now: Duration) -> Duration {
        self.trial_started_at.map_or(Duration::ZERO, |since| now.saturating_sub(since))
    }

    /// Discards the answers of a server that has restarted under its identity.
    pub fn forget_server(&mut self, server: &str) {
        self.local_evidence.forget_server(server);
    }

    /// Records that another entry has rejected the version.
    pub fn trip_from_peer(&mut self) {
        self.tripped |= self.published_stage != Some(Stage::Completed);
    }

    /// Current share of sessions on the new version.
    pub fn share(&self, now: Duration) -> f64 {
        match self.published_stage {
            Some(Stage::Completed) => 1.0,
            Some(Stage::Reverted) => 0.0,
            _ if self.tripped => 0.0,
            None => 0.0,
            Some(Stage::Trial) if self.time_in_trial(now) < self.trial_lead => 0.0,
            Some(Stage::Trial) => self.trial_share,
            Some(Stage::Widening) => {
                let since = self.widening_started_at.unwrap_or(now);
                let fraction = now.saturating_sub(since).div_duration_f64(WIDENING_TIME).min(1.0);
                self.trial_share + (1.0 - self.trial_share) * fraction
            }
        }
    }

    /// Version rule for a request of a session that last ran on `pinned`; `failed` is the version
    /// of a server that has failed the request.
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
            (Some(Stage::Trial), None) if self.kept_sessions.contains(&session) => false,
            _ => session_position(session) < share,
        };
        if on_target { VersionRule::Only(&self.target) } else { VersionRule::Except(&self.target) }
    }

    /// Records an answer of either version. Returns whether the new version is bad by it.
    pub fn record_answer(&mut self, version: &str, evidence: &Evidence<'_>, now: Duration) -> bool {
        let is_target = version == self.target;
        // NB: with all traffic on the new version, the old one's times were taken under another
        // load.
        let is_comparable = self.share(now) < 1.0;
        let slowness = self.local_evidence.record(is_target, evidence, is_comparable);
        let stage = self.published_stage;
        let slowness = slowness.filter(|_| match stage {
            Some(Stage::Trial) => true,
            // NB: when the share widens, the new version's servers have no cache for their new load
            // yet.
            Some(Stage::Widening) => !evidence.is_cached,
            _ => false,
        });
        let server = is_target.then_some(evidence.server);
        let observation = Observation::single(evidence.kind, server, evidence.failed, slowness);
        self.pool.record_own(observation, now);
        let is_widening = self.published_stage == Some(Stage::Widening);
        is_target && self.may_trip() && {
            let is_bad = self.local_evidence.is_bad(evidence.kind, is_widening);
            self.trip_if(is_bad)
        }
    }

    /// Applies observations of another entry, made `age` ago.
    pub fn apply_observations(
        &mut self,
        observations: Vec<Observation>,
        age: Duration,
        now: Duration,
    ) {
        let at = now.saturating_sub(age);
        observations
            .into_iter()
            .filter(Observation::is_valid)
            .for_each(|observation| self.pool.apply(observation, at));
    }

    /// Returns this entry's unpublished observations, if there are any and the last publication was
    /// at least `interval` ago.
    pub fn take_due_observations(
        &mut self,
        now: Duration,
        interval: Duration,
    ) -> Option<Vec<Observation>> {
        let is_due = self.may_trip() && self.pool.is_publication_due(now, interval);
        is_due.then(|| self.pool.drain_unpublished(now))
    }

    /// Evaluates the observations of all entries that this entry has received. Returns whether they
    /// newly reject the version.
    pub fn evaluate(&mut self, now: Duration) -> bool {
        self.may_trip() && {
            let is_bad = match self.is_trial_over(now) {
                true => self.pool.is_doubtful(now),
                false => self.pool.is_bad(now),
            };
            self.trip_if(is_bad)
        }
    }

    /// Whether the trial has lasted long enough for a decision on widening the share.
    fn is_trial_over(&self, now: Duration) -> bool {
        self.published_stage == Some(Stage::Trial)
            && now.saturating_sub(self.ordered_at) >= self.within.mul_f64(TRIAL_FRACTION)
    }

    /// Rejects the new version because its servers refuse every request, so that nothing can show
    /// whether it is good. Returns whether the version is newly rejected.
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

    /// What to publish next, if anything.
    pub fn next_step(&self, now: Duration) -> Option<RollOutStep> {
        let elapsed = now.saturating_sub(self.ordered_at);
        match self.published_stage {
            Some(Stage::Completed | Stage::Reverted) => None,
            _ if self.tripped => Some(RollOutStep::Revert),
            None => Some(RollOutStep::Begin),
            Some(Stage::Trial) if self.is_kept_publication_due(now) => Some(RollOutStep::Keep),
            Some(Stage::Trial) if self.is_trial_over(now) => Some(RollOutStep::Widen),
            Some(Stage::Trial) => None,
            Some(Stage::Widening) => {
                let since = self.widening_started_at.unwrap_or(now);
                let is_widened = now.saturating_sub(since) >= WIDENING_TIME + WIDENING_TIME / 8;
                let is_due = elapsed >= self.within.mul_f64(COMPLETE_FRACTION);
                (is_widened && is_due).then_some(RollOutStep::Complete)
            }
        }
    }

    /// Whether the new version has failed often enough that requests should not be retried on it.
    fn may_be_bad(&self) -> bool {
        self.published_stage != Some(Stage::Completed) && self.local_evidence.may_be_bad()
    }
}

/// Position of a session between 0 and 1 by its top bits, the same at every entry.
fn session_position(session: SessionKey) -> f64 {
    (session >> 11) as f64 / (1u64 << 53) as f64
}
