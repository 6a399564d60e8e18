//! The rate limit that a backend server names: requests a second that it takes from all entries together.

use std::time::Duration;

use pondwalk_types::parse_decimal;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;
/// Time for which a limit is remembered after its server's entry is gone.
const MEMORY: Duration = Duration::from_secs(60);
/// Least time between two tellings of one server's limit; a server may name another in each answer.
const TELL_AGAIN: Duration = Duration::from_secs(1);
/// The same for a limit that was raised, which does no harm to whoever hears of it late.
const TELL_RAISED_AGAIN: Duration = Duration::from_secs(5);
/// Part by which a limit must change to be told to entries that know of it. They hear the rest in answers.
const TOLD_PART: f64 = 0.25;

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

/// Why a server's word on its limit is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum RateLimitError {
    /// It is no decimal number.
    #[error("a limit is a decimal number of requests a second")]
    NotANumber,
}

/// Reads a decimal number of requests a second; what is below a thousandth counts as zero.
impl TryFrom<&str> for RateLimit {
    type Error = RateLimitError;

    fn try_from(text: &str) -> Result<Self, RateLimitError> {
        let per_s = parse_decimal(text).ok_or(RateLimitError::NotANumber)?;
        // NB: a number too large for the type becomes the largest.
        Ok(RateLimit { milli_per_s: (per_s * MILLI) as u64 })
    }
}

/// What an answer says of its server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum ReportedRateLimit {
    /// It names one.
    Limit(RateLimit),
    /// It names none, so there is none any more.
    NoLimit,
    /// It says nothing that could be relied on.
    #[default]
    NotReported,
}

/// The limit of a server by the latest word on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RateLimitState {
    limit: Option<RateLimit>,
    /// When it was said.
    reported_at: Option<Duration>,
    /// What all entries know, and since when.
    published: Option<(Option<RateLimit>, Duration)>,
}

impl RateLimitState {
    /// The limit in force, if there is one.
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// When the latest word came, if any did.
    pub fn reported_at(&self) -> Option<Duration> {
        self.reported_at
    }

    /// Whether the limit was named so recently that it may still hold though the server's entry is gone.
    pub fn is_recent(&self, now: Duration) -> bool {
        self.limit.is_some() && self.reported_at.is_some_and(|at| now < at + MEMORY)
    }

    /// Takes in what an answer says whose request was sent at `sent`. Returns whether the limit has changed.
    ///
    /// NB: of answers under way when the word came, only one that lowers the limit is certainly no older.
    pub fn apply_reported(
        &mut self,
        word: ReportedRateLimit,
        sent: Duration,
        now: Duration,
    ) -> bool {
        let may_raise = self.reported_at.is_none_or(|at| sent >= at);
        let limit = match (word, self.limit) {
            (ReportedRateLimit::NotReported, _) | (ReportedRateLimit::NoLimit, None) => {
                return false;
            }
            (ReportedRateLimit::NoLimit, Some(_)) if !may_raise => return false,
            (ReportedRateLimit::Limit(named), Some(known)) if named > known && !may_raise => {
                return false;
            }
            (ReportedRateLimit::NoLimit, Some(_)) => None,
            (ReportedRateLimit::Limit(named), _) => Some(named),
        };
        self.reported_at = Some(now);
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Takes in what another entry heard at `at`. Returns whether the limit has changed.
    pub fn apply_from_peer(&mut self, limit: Option<RateLimit>, at: Duration) -> bool {
        if self.reported_at.is_some_and(|said| said >= at) {
            return false;
        }
        self.reported_at = Some(at);
        self.published = Some((limit, at));
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Whether all entries should be told of it now; they count as told then.
    pub fn take_due_publication(&mut self, now: Duration) -> bool {
        let is_news = match self.published {
            None => self.limit.is_some(),
            Some((told, at)) => {
                differ(told, self.limit) && now >= at + tell_again(told, self.limit)
            }
        };
        if is_news {
            self.published = Some((self.limit, now));
        }
        is_news
    }
}

fn tell_again(told: Option<RateLimit>, limit: Option<RateLimit>) -> Duration {
    let is_raised = told.zip(limit).is_some_and(|(told, limit)| limit > told);
    if is_raised { TELL_RAISED_AGAIN } else { TELL_AGAIN }
}

/// Whether two limits differ by enough to be told of.
fn differ(one: Option<RateLimit>, other: Option<RateLimit>) -> bool {
    let (Some(one), Some(other)) = (one, other) else { return one != other };
    let (low, high) = (one.min(other).milli_per_s, one.max(other).milli_per_s);
    (high - low) as f64 > high as f64 * TOLD_PART
}
