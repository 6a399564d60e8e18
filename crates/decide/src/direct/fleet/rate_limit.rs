//! The rate limit that a backend server reports: requests a second from all entries together.

use std::time::Duration;

use pondwalk_types::parse_decimal;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths in a unit.
const MILLI: f64 = 1_000.0;
/// Time for which a limit is kept after its server's record is gone from the store.
const RATE_LIMIT_RETENTION: Duration = Duration::from_secs(60);
/// Shortest time between two publications of one server's limit; a server may report another limit
/// in each answer.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);
/// The same for a raised limit, which entries may receive late without harm.
const MIN_RAISED_PUBLISH_INTERVAL: Duration = Duration::from_secs(5);
/// Relative change from which a limit is published to entries that have an earlier one. They
/// receive smaller changes with answers.
const MIN_PUBLISHED_CHANGE: f64 = 0.25;

/// A rate limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RateLimit {
    /// Requests a second from all entries together, in thousandths.
    milli_per_s: u64,
}

impl RateLimit {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI
    }
}

/// Why a reported limit is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RateLimitError {
    /// The text is not a decimal number.
    #[error("a rate limit is not a decimal number of requests a second")]
    NotANumber,
}

/// Parses a decimal number of requests a second; anything below a thousandth counts as zero.
impl TryFrom<&str> for RateLimit {
    type Error = RateLimitError;

    fn try_from(text: &str) -> Result<Self, RateLimitError> {
        let per_s = parse_decimal(text).ok_or(RateLimitError::NotANumber)?;
        // NB: the conversion saturates at the largest value of the type.
        Ok(RateLimit { milli_per_s: (per_s * MILLI) as u64 })
    }
}

/// What an answer reports about its server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedRateLimit {
    /// The answer reports a limit.
    Limit(RateLimit),
    /// The answer reports no limit, so an earlier one no longer applies.
    NoLimit,
    /// The answer reports nothing valid.
    #[default]
    NotReported,
}

/// The rate limit of a server by the latest report.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateLimitState {
    limit: Option<RateLimit>,
    /// When the latest report was received.
    reported_at: Option<Duration>,
    /// The limit that was published to all entries, and when.
    published: Option<(Option<RateLimit>, Duration)>,
}

impl RateLimitState {
    /// Current limit; `None` if there is none.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// When the latest report was received, if any was.
    pub fn reported_at(&self) -> Option<Duration> {
        self.reported_at
    }

    /// Whether the limit was reported so recently that it may still apply after the server's record
    /// is gone.
    pub fn is_recent(&self, now: Duration) -> bool {
        self.limit.is_some() && self.reported_at.is_some_and(|at| now < at + RATE_LIMIT_RETENTION)
    }

    /// Applies what an answer reports whose request was sent at `sent_at`. Returns whether the
    /// limit has changed.
    ///
    /// NB: of the answers in flight when a report was received, only one that lowers the limit is
    /// certainly no older.
    pub fn apply_reported(
        &mut self,
        reported: ReportedRateLimit,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let may_raise = self.reported_at.is_none_or(|at| sent_at >= at);
        let limit = match (reported, self.limit) {
            (ReportedRateLimit::NotReported, _) | (ReportedRateLimit::NoLimit, None) => {
                return false;
            }
            (ReportedRateLimit::NoLimit, Some(_)) if !may_raise => return false,
            (ReportedRateLimit::Limit(new_limit), Some(known))
                if new_limit > known && !may_raise =>
            {
                return false;
            }
            (ReportedRateLimit::NoLimit, Some(_)) => None,
            (ReportedRateLimit::Limit(new_limit), _) => Some(new_limit),
        };
        self.reported_at = Some(now);
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Applies what another entry received at `at`. Returns whether the limit has changed.
    pub fn apply_from_peer(&mut self, limit: Option<RateLimit>, at: Duration) -> bool {
        if self.reported_at.is_some_and(|known_at| known_at >= at) {
            return false;
        }
        self.reported_at = Some(at);
        self.published = Some((limit, at));
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Whether the limit is to be published to all entries now; marks it published.
    pub fn take_due_publication(&mut self, now: Duration) -> bool {
        let is_due = match self.published {
            None => self.limit.is_some(),
            Some((published, at)) => {
                differ_enough(published, self.limit)
                    && now >= at + min_publish_interval(published, self.limit)
            }
        };
        if is_due {
            self.published = Some((self.limit, now));
        }
        is_due
    }
}

fn min_publish_interval(published: Option<RateLimit>, limit: Option<RateLimit>) -> Duration {
    let is_raised = published.zip(limit).is_some_and(|(published, limit)| limit > published);
    if is_raised { MIN_RAISED_PUBLISH_INTERVAL } else { MIN_PUBLISH_INTERVAL }
}

/// Whether two limits differ enough to be published.
fn differ_enough(one: Option<RateLimit>, other: Option<RateLimit>) -> bool {
    let (Some(one), Some(other)) = (one, other) else { return one != other };
    let (low, high) = (one.min(other).milli_per_s, one.max(other).milli_per_s);
    (high - low) as f64 > high as f64 * MIN_PUBLISHED_CHANGE
}
