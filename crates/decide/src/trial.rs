//! The sequential test of a new version while it replaces an old one.
//!
//! Ratings are standardised by the old version's mean and deviation on the same task and fed to
//! two one-sided CUSUM tests (Page, 1954): a fast one for large drops and a slow one for small,
//! persistent drops. Failures and lateness feed CUSUM tests of the log-likelihood ratio. A test
//! above its threshold trips the version. Exposure is limited by a traffic share for each stage
//! and by the number of unrated runs, so that it does not grow without evidence.

use std::time::Duration;

use crate::tuning::{
    BAD_FAILURE_RATE, BAD_LATE_RATE, EVENT_CUSUM_THRESHOLD_NATS, FAST_CUSUM_ALLOWANCE,
    FAST_CUSUM_THRESHOLD, MAX_STANDARDISED_DROP, MAX_UNRATED_TRIAL_RUNS, MIN_BASE_FAILURE_RATE,
    MIN_BASE_LATE_RATE, MIN_REFERENCE_RATINGS, OTHER_RATINGS_PER_LOST_RATING,
    PRIOR_RATING_DEVIATION, PRIOR_RATING_WEIGHT, SLOW_CUSUM_ALLOWANCE, SLOW_CUSUM_THRESHOLD,
    TRIAL_SHARES, TRIAL_STAGE_RATINGS,
};

/// The cause of a trip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TripCause {
    /// Ratings dropped far.
    QualityDrop,
    /// Ratings dropped a little and stayed low.
    QualityDrift,
    /// Too many runs failed.
    Failures,
    /// Too many answers were late.
    Lateness,
    /// The test at an agent tripped.
    Agent,
}

/// The stage of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialStage {
    /// In progress, at the given zero-based stage.
    Testing(usize),
    /// Passed: replaces the old version for all requests, new sessions included.
    Passed,
    /// Stopped permanently.
    Tripped(TripCause),
}

/// Statistics of the old version's ratings on a task.
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
    /// Standard deviation of the prediction of one further rating; wider for few ratings.
    fn prediction_deviation(&self) -> f64 {
        let prior = PRIOR_RATING_WEIGHT * PRIOR_RATING_DEVIATION.powi(2);
        let seen = self.ratings * self.deviation.powi(2);
        let variance = (prior + seen) / (PRIOR_RATING_WEIGHT + self.ratings);
        (variance * (1.0 + 1.0 / self.ratings)).sqrt()
    }
}

/// Accumulates ratings of one version on one task; old ratings lose weight over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline {
    ratings: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl Baseline {
    /// Adds a rating from 0 to 1.
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

    /// The statistics that ratings of a new version are compared with.
    pub fn reference(&self) -> Reference {
        let ratings = self.ratings.max(1.0);
        let mean = self.sum / ratings;
        let variance = (self.sum_of_squares / ratings - mean * mean).max(0.0);
        Reference { ratings: self.ratings, mean, deviation: variance.sqrt() }
    }
}

/// The state of the trial of one version.
#[derive(Debug, Clone, Copy)]
pub struct Trial {
    stage: TrialStage,
    stage_ratings: u32,
    unrated_runs: u32,
    other_ratings: u32,
    exposed_runs: u64,
    fast_cusum: f64,
    slow_cusum: f64,
    failure_cusum: f64,
    lateness_cusum: f64,
    tripped_at: Option<Duration>,
}

impl Default for Trial {
    fn default() -> Self {
        Trial {
            stage: TrialStage::Testing(0),
            stage_ratings: 0,
            unrated_runs: 0,
            other_ratings: 0,
            exposed_runs: 0,
            fast_cusum: 0.0,
            slow_cusum: 0.0,
            failure_cusum: 0.0,
            lateness_cusum: 0.0,
            tripped_at: None,
        }
    }
}

impl Trial {
    /// The current stage.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// Time of the trip, if the version has tripped.
    pub fn tripped_at(&self) -> Option<Duration> {
        self.tripped_at
    }

    /// Number of runs started on the version.
    pub fn exposed_runs(&self) -> u64 {
        self.exposed_runs
    }

    /// Current share of the old version's runs that the new version may take, from 0 to 1.
    pub fn share(&self) -> f64 {
        if self.unrated_runs >= MAX_UNRATED_TRIAL_RUNS {
            return 0.0;
        }
        match self.stage {
            TrialStage::Testing(stage) => TRIAL_SHARES[stage],
            TrialStage::Passed => 1.0,
            TrialStage::Tripped(_) => 0.0,
        }
    }

    /// Whether new sessions may start on the version.
    pub fn allows_new_sessions(&self) -> bool {
        self.stage == TrialStage::Passed && self.unrated_runs < MAX_UNRATED_TRIAL_RUNS
    }

    /// Records the start of a run.
    pub fn record_start(&mut self) {
        self.exposed_runs += 1;
        self.unrated_runs = self.unrated_runs.saturating_add(1);
    }

    /// Reverts [`Self::record_start`] for a run that was refused before it started.
    pub fn record_not_run(&mut self) {
        self.exposed_runs = self.exposed_runs.saturating_sub(1);
        self.unrated_runs = self.unrated_runs.saturating_sub(1);
    }

    /// Records a rating of another version.
    ///
    /// While ratings arrive, those that are missing for old runs are lost. One unrated run is
    /// written off for every few ratings of other versions.
    pub fn record_other_rating(&mut self) {
        self.other_ratings += 1;
        if self.other_ratings.is_multiple_of(OTHER_RATINGS_PER_LOST_RATING) {
            self.unrated_runs = self.unrated_runs.saturating_sub(1);
        }
    }

    /// Records a rating from 0 to 1 and compares it with the old version's ratings.
    pub fn record_rating(&mut self, now: Duration, quality: f64, reference: Reference) {
        self.unrated_runs = self.unrated_runs.saturating_sub(1);
        if reference.ratings < MIN_REFERENCE_RATINGS {
            return;
        }
        let deviation = reference.prediction_deviation();
        let drop = ((reference.mean - quality) / deviation)
            .clamp(-MAX_STANDARDISED_DROP, MAX_STANDARDISED_DROP);
        self.fast_cusum = (self.fast_cusum + drop - FAST_CUSUM_ALLOWANCE).max(0.0);
        self.slow_cusum = (self.slow_cusum + drop - SLOW_CUSUM_ALLOWANCE).max(0.0);
        if self.fast_cusum > FAST_CUSUM_THRESHOLD {
            self.trip(now, TripCause::QualityDrop);
        }
        if self.slow_cusum > SLOW_CUSUM_THRESHOLD {
            self.trip(now, TripCause::QualityDrift);
        }
        self.advance();
    }

    /// Records the end of a run; `old_rate` is the old version's failure rate.
    pub fn record_end(&mut self, now: Duration, failed: bool, old_rate: f64) {
        if failed {
            self.unrated_runs = self.unrated_runs.saturating_sub(1);
        }
        let base = old_rate.max(MIN_BASE_FAILURE_RATE);
        self.failure_cusum += log_likelihood_ratio(failed, base, BAD_FAILURE_RATE.max(3.0 * base));
        self.failure_cusum = self.failure_cusum.max(0.0);
        if self.failure_cusum > EVENT_CUSUM_THRESHOLD_NATS {
            self.trip(now, TripCause::Failures);
        }
    }

    /// Records a delivery; `old_rate` is the old version's rate of late answers.
    pub fn record_delivery(&mut self, now: Duration, late: bool, old_rate: f64) {
        let base = old_rate.max(MIN_BASE_LATE_RATE);
        self.lateness_cusum += log_likelihood_ratio(late, base, BAD_LATE_RATE.max(2.0 * base));
        self.lateness_cusum = self.lateness_cusum.max(0.0);
        if self.lateness_cusum > EVENT_CUSUM_THRESHOLD_NATS {
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

    /// Stops the version permanently; no effect if it has already tripped.
    pub fn trip(&mut self, now: Duration, cause: TripCause) {
        if !matches!(self.stage, TrialStage::Tripped(_)) {
            self.stage = TrialStage::Tripped(cause);
            self.tripped_at = Some(now);
        }
    }
}

/// Log-likelihood ratio of one observation under the bad rate against the base rate, in nats.
fn log_likelihood_ratio(happened: bool, base: f64, bad: f64) -> f64 {
    let base = base.min(0.98);
    let bad = bad.min(0.99);
    if happened { (bad / base).ln() } else { ((1.0 - bad) / (1.0 - base)).ln() }
}
