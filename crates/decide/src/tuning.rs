//! Constants of the decision, gathered in one place.

use std::time::Duration;

/// Answers that the quality prior of a version and task counts as.
pub const QUALITY_PRIOR_WEIGHT: f64 = 2.0;
/// Prior share of answers that meet the target, for the cheapest version.
pub const QUALITY_PRIOR_CHEAPEST: f64 = 0.5;
/// Prior share of answers that meet the target, for the dearest version.
pub const QUALITY_PRIOR_DEAREST: f64 = 0.97;
/// Weight of a histogram at which its older half is forgotten.
pub const HISTOGRAM_WINDOW: f32 = 600.0;
/// Observations that the prior of a service time counts as.
pub const TIME_PRIOR_WEIGHT: f64 = 2.0;
/// Observations from which on that prior is left out.
pub const TIME_PRIOR_FADED: f64 = 64.0;
/// Prior probability that a run of unknown length is on time.
pub const TIME_PRIOR_ON_TIME: f64 = 0.95;
/// Output tokens assumed for a version and task not seen yet.
pub const OUTPUT_PRIOR_TOKENS: f64 = 200.0;
/// Weight of the newest observation in running means.
pub const MEAN_GAIN: f64 = 0.05;
/// Service time assumed for a version not seen yet, in milliseconds.
pub const SERVICE_PRIOR_MS: f64 = 1_000.0;

/// What an answer short of the target share costs, in runs of the dearest version.
pub const SHORTFALL_PENALTY: f64 = 6.0;
/// Balance above the target share that is kept in reserve, in answers.
pub const BALANCE_RESERVE: f64 = 0.8;
/// Width of the passage from no penalty to the full one, in answers.
pub const BALANCE_SOFTNESS: f64 = 1.2;
/// How fast the level of slack follows balances, per request.
pub const SLACK_GAIN: f64 = 0.03;
/// Level of slack at the start, in answers.
pub const SLACK_START: f64 = -1.0;
/// Bounds of the level of slack, in answers.
pub const SLACK_LIMIT: f64 = 6.0;
/// Most answers above or below the target that an account remembers.
pub const ACCOUNT_LIMIT: f64 = 12.0;
/// Versions compared in pairs for one request.
pub const FRONTIER_LIMIT: usize = 5;
/// Penalty of a late answer, in runs of the dearest version.
pub const LATE_PENALTY: f64 = 8.0;
/// Penalty of holding an answer for the whole of its deadline, in runs of the dearest version.
pub const HOLD_PENALTY: f64 = 0.05;

/// Requests that a new session is expected to bring.
pub const SESSION_REQUESTS: f64 = 6.0;
/// A session unused for this long is forgotten.
pub const SESSION_IDLE: Duration = Duration::from_secs(3_600);
/// Sessions remembered by one process; the oldest go first.
pub const SESSION_LIMIT: usize = 200_000;

/// Time kept free before a deadline when an answer in hand is delivered.
pub const DELIVERY_MARGIN: Duration = Duration::from_millis(20);
/// Longest wait for a rating before the first one was seen.
pub const RATING_WAIT_PRIOR: Duration = Duration::from_millis(400);
/// Waits for ratings that failed in a row, after which no answer is held.
pub const RATING_MISSES_LIMIT: u32 = 3;
/// While ratings are away, one request in this many still waits for one.
pub const RATING_PROBE_EVERY: u32 = 50;
/// Time to the first token that a streaming caller is promised.
pub const FIRST_TOKEN_BOUND: Duration = Duration::from_millis(1_000);
/// A request with less than this chance of being on time is refused when servers are short.
pub const HOPELESS: f64 = 0.02;

/// Servers of a version up to which all are compared; above, a sample is.
pub const FULL_SCAN_SERVERS: usize = 8;
/// Servers sampled above that.
pub const SAMPLED_SERVERS: usize = 4;
/// Share of a server's service time that a cached prefix saves, at most.
pub const PREFIX_SAVING: f64 = 0.3;
/// Cost of leaving the data centre, in milliseconds.
pub const REMOTE_PENALTY_MS: f64 = 2.0;
/// Age at which half of a load report's weight is gone.
pub const LOAD_HALF_LIFE: Duration = Duration::from_millis(1_000);
/// A server that failed is left alone for this long, doubling with each failure in a row.
pub const SERVER_BACKOFF: Duration = Duration::from_millis(500);
/// Longest such pause.
pub const SERVER_BACKOFF_LIMIT: Duration = Duration::from_secs(15);

/// Retries earned by each first attempt.
pub const RETRIES_PER_REQUEST: f64 = 0.1;
/// Retries that may be saved up.
pub const RETRY_SAVINGS: f64 = 10.0;
/// Servers that may refuse one request before it is given up.
pub const REFUSALS_PER_REQUEST: usize = 4;
/// Runs of one request, cascade steps and retries together.
pub const RUNS_PER_REQUEST: usize = 4;

/// Share of the old version's runs that a new version gets, by stage.
pub const TRIAL_SHARES: [f64; 3] = [0.10, 0.30, 1.0];
/// Most runs that a version on trial may save up.
pub const TRIAL_CREDIT: f64 = 4.0;
/// Saved-up runs from which on requests for cheaper versions are used for the trial too.
pub const TRIAL_OVERDUE: f64 = 2.0;
/// Ratings without a trip that end each stage.
pub const TRIAL_STAGE_RATINGS: [u32; 3] = [30, 120, 400];
/// Answers of a version on trial that may be without a rating.
pub const TRIAL_UNRATED: u32 = 16;
/// Ratings of other versions after which one missing rating is given up.
pub const TRIAL_FORGIVE_EVERY: u32 = 8;
/// Ratings of the old version and task needed before a rating is compared.
pub const TRIAL_REFERENCE_RATINGS: f64 = 8.0;
/// Drift allowed by the quick test, in standard deviations.
pub const TRIAL_QUICK_DRIFT: f64 = 1.0;
/// Threshold of the quick test.
pub const TRIAL_QUICK_LIMIT: f64 = 9.0;
/// Drift allowed by the slow test, in standard deviations.
pub const TRIAL_SLOW_DRIFT: f64 = 0.35;
/// Threshold of the slow test.
pub const TRIAL_SLOW_LIMIT: f64 = 28.0;
/// Largest standardised rating difference that counts.
pub const TRIAL_CLIP: f64 = 4.0;
/// Standard deviation of ratings assumed before any was seen.
pub const TRIAL_PRIOR_DEVIATION: f64 = 0.1;
/// Ratings that this assumption counts as.
pub const TRIAL_PRIOR_RATINGS: f64 = 8.0;
/// Threshold of the tests on failures and lateness, in nats.
pub const TRIAL_EVENT_LIMIT: f64 = 12.0;
/// Least failure rate assumed of the old version.
pub const TRIAL_FAILURE_FLOOR: f64 = 0.01;
/// Failure rate of a bad version that the test looks for.
pub const TRIAL_FAILURE_BAD: f64 = 0.15;
/// Least rate of late answers assumed of the old version.
pub const TRIAL_LATE_FLOOR: f64 = 0.05;
/// Rate of late answers of a bad version that the test looks for.
pub const TRIAL_LATE_BAD: f64 = 0.40;
