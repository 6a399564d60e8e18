//! The sequential test that a new version passes through while it takes over from an old one.
//!
//! Ratings are standardised by the old version's mean and deviation on the same task and fed to
//! two one-sided CUSUM tests (Page, 1954): a quick one for large drops and a slow one for small
//! drops that last. Failures and lateness go to CUSUM tests on the log-likelihood ratio. Any
//! test over its threshold trips the version. Exposure is held down by a share for each stage
//! and by a limit on answers without a rating, so that nothing widens without evidence.

use std::time::Duration;

use crate::tuning::{
    TRIAL_CLIP, TRIAL_EVENT_LIMIT, TRIAL_FAILURE_BAD, TRIAL_FAILURE_FLOOR, TRIAL_FORGIVE_EVERY,
    TRIAL_LATE_BAD, TRIAL_LATE_FLOOR, TRIAL_PRIOR_DEVIATION, TRIAL_PRIOR_RATINGS,
    TRIAL_QUICK_DRIFT, TRIAL_QUICK_LIMIT, TRIAL_REFERENCE_RATINGS, TRIAL_SHARES, TRIAL_SLOW_DRIFT,
    TRIAL_SLOW_LIMIT, TRIAL_STAGE_RATINGS, TRIAL_UNRATED,
};

/// What made a trial trip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TripCause {
    /// Ratings dropped far.
    QualityDrop,
    /// Ratings dropped a little and stayed down.
    QualityDrift,
    /// Too many runs failed.
    Failures,
    /// Too many answers were late.
    Lateness,
    /// An agent's own test stopped it.
    Agent,
}

/// How far a trial has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialStage {
    /// Still being tried; the number counts from zero.
    Testing(usize),
    /// Passed: takes over whatever the old version did, new sessions included.
    Passed,
    /// Stopped for good.
    Tripped(TripCause),
}

/// The old version's ratings on the task at hand.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reference {
    /// Number of ratings.
    pub ratings: f64,
    /// Their mean.
    pub mean: f64,
    /// Their standard deviation.
    pub deviation: f64,
}

impl Reference {
    /// The deviation of a further rating, wide where the reference rests on few ratings.
    fn spread(&self) -> f64 {
        let prior = TRIAL_PRIOR_RATINGS * TRIAL_PRIOR_DEVIATION.powi(2);
        let seen = self.ratings * self.deviation.powi(2);
        let variance = (prior + seen) / (TRIAL_PRIOR_RATINGS + self.ratings);
        (variance * (1.0 + 1.0 / self.ratings)).sqrt()
    }
}

/// Ratings of one version on one task, gathered to serve as a reference.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline {
    ratings: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl Baseline {
    /// Takes in a rating.
    pub fn add(&mut self, quality: f64) {
        const WINDOW: f64 = 600.0;
        if self.ratings >= WINDOW {
            self.ratings *= 0.5;
            self.sum *= 0.5;
            self.sum_of_squares *= 0.5;
        }
        self.ratings += 1.0;
        self.sum += quality;
        self.sum_of_squares += quality * quality;
    }

    /// What later ratings of another version are compared with.
    pub fn reference(&self) -> Reference {
        let ratings = self.ratings.max(1.0);
        let mean = self.sum / ratings;
        let variance = (self.sum_of_squares / ratings - mean * mean).max(0.0);
        Reference { ratings: self.ratings, mean, deviation: variance.sqrt() }
    }
}

/// State of one version's trial.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    stage: TrialStage,
    stage_ratings: u32,
    unrated: u32,
    others_rated: u32,
    exposed_runs: u64,
    quick: f64,
    slow: f64,
    failures: f64,
    lateness: f64,
    tripped_at: Option<Duration>,
}

impl Default for Trial {
    fn default() -> Self {
        Trial {
            stage: TrialStage::Testing(0),
            stage_ratings: 0,
            unrated: 0,
            others_rated: 0,
            exposed_runs: 0,
            quick: 0.0,
            slow: 0.0,
            failures: 0.0,
            lateness: 0.0,
            tripped_at: None,
        }
    }
}

impl Trial {
    /// How far it has come.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// When it tripped, if it did.
    pub fn tripped_at(&self) -> Option<Duration> {
        self.tripped_at
    }

    /// Runs started on the version.
    pub fn exposed_runs(&self) -> u64 {
        self.exposed_runs
    }

    /// Share of the old version's runs that the new one may have now, from 0 to 1.
    pub fn share(&self) -> f64 {
        if self.unrated >= TRIAL_UNRATED {
            return 0.0;
        }
        match self.stage {
            TrialStage::Testing(stage) => TRIAL_SHARES[stage],
            TrialStage::Passed => 1.0,
            TrialStage::Tripped(_) => 0.0,
        }
    }

    /// Whether new sessions may start on it.
    pub fn allows_new_sessions(&self) -> bool {
        self.stage == TrialStage::Passed && self.unrated < TRIAL_UNRATED
    }

    /// Notes that a run started.
    pub fn record_start(&mut self) {
        self.exposed_runs += 1;
        self.unrated = self.unrated.saturating_add(1);
    }

    /// Notes that a run was refused before it started.
    pub fn record_not_run(&mut self) {
        self.exposed_runs = self.exposed_runs.saturating_sub(1);
        self.unrated = self.unrated.saturating_sub(1);
    }

    /// Notes that another version was rated: ratings come, so old ones still missing are lost.
    pub fn record_other_rating(&mut self) {
        self.others_rated += 1;
        if self.others_rated.is_multiple_of(TRIAL_FORGIVE_EVERY) {
            self.unrated = self.unrated.saturating_sub(1);
        }
    }

    /// Takes in a rating.
    pub fn record_rating(&mut self, now: Duration, quality: f64, reference: Reference) {
        self.unrated = self.unrated.saturating_sub(1);
        if reference.ratings < TRIAL_REFERENCE_RATINGS {
            return;
        }
        let deviation = reference.spread();
        let drop = ((reference.mean - quality) / deviation).clamp(-TRIAL_CLIP, TRIAL_CLIP);
        self.quick = (self.quick + drop - TRIAL_QUICK_DRIFT).max(0.0);
        self.slow = (self.slow + drop - TRIAL_SLOW_DRIFT).max(0.0);
        if self.quick > TRIAL_QUICK_LIMIT {
            self.trip(now, TripCause::QualityDrop);
        }
        if self.slow > TRIAL_SLOW_LIMIT {
            self.trip(now, TripCause::QualityDrift);
        }
        self.advance();
    }

    /// Takes in whether a run failed, and how often the old version's runs do.
    pub fn record_end(&mut self, now: Duration, failed: bool, old_rate: f64) {
        if failed {
            self.unrated = self.unrated.saturating_sub(1);
        }
        let base = old_rate.max(TRIAL_FAILURE_FLOOR);
        self.failures += event_score(failed, base, TRIAL_FAILURE_BAD.max(3.0 * base));
        self.failures = self.failures.max(0.0);
        if self.failures > TRIAL_EVENT_LIMIT {
            self.trip(now, TripCause::Failures);
        }
    }

    /// Takes in whether an answer was late, and how often the old version's answers are.
    pub fn record_delivery(&mut self, now: Duration, late: bool, old_rate: f64) {
        let base = old_rate.max(TRIAL_LATE_FLOOR);
        self.lateness += event_score(late, base, TRIAL_LATE_BAD.max(2.0 * base));
        self.lateness = self.lateness.max(0.0);
        if self.lateness > TRIAL_EVENT_LIMIT {
            self.trip(now, TripCause::Lateness);
        }
    }

    fn advance(&mut self) {
        let TrialStage::Testing(stage) = self.stage else {
            return;
        };
        self.stage_ratings += 1;
        if self.stage_ratings < TRIAL_STAGE_RATINGS[stage] {
            return;
        }
        self.stage = match stage + 1 {
            next if next < TRIAL_SHARES.len() => TrialStage::Testing(next),
            _ => TrialStage::Passed,
        };
    }

    /// Stops the version for good, unless it is stopped already.
    pub fn trip(&mut self, now: Duration, cause: TripCause) {
        if !matches!(self.stage, TrialStage::Tripped(_)) {
            self.stage = TrialStage::Tripped(cause);
            self.tripped_at = Some(now);
        }
    }
}

/// Log-likelihood ratio of one event between a bad rate and the base rate, in nats.
fn event_score(happened: bool, base: f64, bad: f64) -> f64 {
    let base = base.min(0.98);
    let bad = bad.min(0.99);
    if happened { (bad / base).ln() } else { ((1.0 - bad) / (1.0 - base)).ln() }
}
