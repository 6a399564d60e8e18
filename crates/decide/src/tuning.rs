//! Constants of the router and of the trial.

use std::time::Duration;

/// Number of ratings that the quality prior of a version and task counts as.
pub const QUALITY_PRIOR_WEIGHT: f64 = 2.0;
/// Prior share of answers that meet the target, for the cheapest version.
pub const QUALITY_PRIOR_CHEAPEST: f64 = 0.5;
/// Prior share of answers that meet the target, for the most expensive version.
pub const QUALITY_PRIOR_MOST_EXPENSIVE: f64 = 0.97;
/// Total weight of a histogram at which all weights are halved.
pub const HISTOGRAM_WINDOW: f32 = 600.0;
/// Number of observations that the prior of a service time counts as.
pub const TIME_PRIOR_WEIGHT: f64 = 2.0;
/// Number of observations from which on the prior of a service time is not used.
pub const TIME_PRIOR_MAX_OBSERVATIONS: f64 = 64.0;
/// Prior probability that a run of unknown service time is on time.
pub const PRIOR_ON_TIME_PROBABILITY: f64 = 0.95;
/// Output tokens assumed for a version and task without observations.
pub const OUTPUT_PRIOR_TOKENS: f64 = 200.0;
/// Minimum weight of the newest observation in running means.
pub const RUNNING_MEAN_GAIN: f64 = 0.05;
/// Service time assumed for a version without observations, in milliseconds.
pub const SERVICE_PRIOR_MS: f64 = 1_000.0;

/// Maximum penalty of a missed answer, in runs of the most expensive version.
pub const SHORTFALL_PENALTY_RUNS: f64 = 6.0;
/// Balance that the midpoint controller aims at, in answers above the target share.
pub const TARGET_BALANCE_ANSWERS: f64 = 0.8;
/// Width of the transition from no penalty to the full penalty, in answers.
pub const BALANCE_TRANSITION_ANSWERS: f64 = 1.2;
/// Gain of the midpoint controller, per request.
pub const MIDPOINT_GAIN: f64 = 0.03;
/// Initial midpoint of the penalty curve, in answers.
pub const INITIAL_MIDPOINT_ANSWERS: f64 = -1.0;
/// Maximum absolute value of the midpoint, in answers.
pub const MAX_MIDPOINT_ANSWERS: f64 = 6.0;
/// Maximum absolute value of a quality balance, in answers.
pub const MAX_BALANCE_ANSWERS: f64 = 12.0;
/// Maximum number of versions compared in pairs for one request.
pub const MAX_FRONTIER_VERSIONS: usize = 5;
/// Penalty of a late answer, in runs of the most expensive version.
pub const LATE_PENALTY_RUNS: f64 = 8.0;
/// Penalty of holding an answer for its whole deadline, in runs of the most expensive version.
pub const HOLD_PENALTY_RUNS: f64 = 0.05;

/// Expected number of requests of a new session.
pub const EXPECTED_SESSION_REQUESTS: f64 = 6.0;
/// Time without requests after which a session pin expires.
pub const SESSION_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);
/// Maximum number of session pins per process; the oldest are evicted first.
pub const MAX_SESSIONS: usize = 200_000;

/// Time reserved before a deadline for delivering an answer.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(20);
/// Lower bound of the wait for a rating; the delay assumed before the first rating is half of it.
pub const MIN_RATING_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive missed ratings after which answers are no longer held.
pub const MAX_RATING_MISSES: u32 = 3;
/// While ratings are unavailable, one request in this many still waits for one.
pub const RATING_PROBE_REQUESTS: u32 = 50;
/// Bound on the time to the first token for streaming callers.
pub const MAX_FIRST_TOKEN_DELAY: Duration = Duration::from_millis(1_000);
/// When servers are short, requests less likely than this to be on time are refused.
pub const MIN_ON_TIME_PROBABILITY: f64 = 0.02;

/// Maximum number of servers of a version that are all compared; above it, a sample is.
pub const MAX_FULL_SCAN_SERVERS: usize = 8;
/// Number of servers sampled above [`MAX_FULL_SCAN_SERVERS`].
pub const SAMPLED_SERVERS: usize = 4;
/// Maximum share of the service time that a cached prefix saves.
pub const MAX_PREFIX_SAVING: f64 = 0.3;
/// Score penalty of a server in another data centre, in milliseconds.
pub const REMOTE_PENALTY_MS: f64 = 2.0;
/// Age at which a load report counts half.
pub const LOAD_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// Base of the backoff of a failing server; doubles with each failure in a row.
pub const INITIAL_FAILURE_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum backoff of a failing server.
pub const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(15);

/// Retries added to the budget by each first attempt.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum retries in the budget.
pub const MAX_RETRY_TOKENS: f64 = 10.0;
/// Number of refusals after which a request is given up.
pub const MAX_REFUSALS_PER_REQUEST: usize = 4;
/// Maximum runs of one request, escalations and retries together.
pub const MAX_RUNS_PER_REQUEST: usize = 4;

/// Share of the old version's runs that the new version takes, by stage.
pub const TRIAL_SHARES: [f64; 3] = [0.10, 0.30, 1.0];
/// Maximum credit of a version on trial, in runs.
pub const MAX_TRIAL_CREDIT_RUNS: f64 = 4.0;
/// Credit, in runs, from which on requests for cheaper versions join the trial too.
pub const OVERDUE_TRIAL_CREDIT_RUNS: f64 = 2.0;
/// Number of ratings without a trip that completes each stage.
pub const TRIAL_STAGE_RATINGS: [u32; 3] = [30, 120, 400];
/// Maximum unrated runs of a version on trial.
pub const MAX_UNRATED_TRIAL_RUNS: u32 = 16;
/// Number of ratings of other versions after which one missing rating counts as lost.
pub const OTHER_RATINGS_PER_LOST_RATING: u32 = 8;
/// Minimum ratings of the old version on a task before new ratings are compared with them.
pub const MIN_REFERENCE_RATINGS: f64 = 8.0;
/// Allowance of the fast CUSUM test, in standard deviations.
pub const FAST_CUSUM_ALLOWANCE: f64 = 1.0;
/// Threshold of the fast CUSUM test, in standard deviations.
pub const FAST_CUSUM_THRESHOLD: f64 = 9.0;
/// Allowance of the slow CUSUM test, in standard deviations.
pub const SLOW_CUSUM_ALLOWANCE: f64 = 0.35;
/// Threshold of the slow CUSUM test, in standard deviations.
pub const SLOW_CUSUM_THRESHOLD: f64 = 28.0;
/// Bound to which standardised rating differences are clipped.
pub const MAX_STANDARDISED_DROP: f64 = 4.0;
/// Prior standard deviation of ratings.
pub const PRIOR_RATING_DEVIATION: f64 = 0.1;
/// Number of ratings that the prior deviation counts as.
pub const PRIOR_RATING_WEIGHT: f64 = 8.0;
/// Threshold of the CUSUM tests of failures and lateness, in nats.
pub const EVENT_CUSUM_THRESHOLD_NATS: f64 = 12.0;
/// Minimum failure rate assumed for the old version.
pub const MIN_BASE_FAILURE_RATE: f64 = 0.01;
/// Failure rate of a bad version in the likelihood ratio.
pub const BAD_FAILURE_RATE: f64 = 0.15;
/// Minimum rate of late answers assumed for the old version.
pub const MIN_BASE_LATE_RATE: f64 = 0.05;
/// Rate of late answers of a bad version in the likelihood ratio.
pub const BAD_LATE_RATE: f64 = 0.40;
