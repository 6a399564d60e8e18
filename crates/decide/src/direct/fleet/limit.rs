//! The rate limit that a backend server names: requests a second that it takes from all entries together.

use std::time::Duration;

use pondwalk_types::read_decimal;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// A rate limit of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerLimit {
    /// Requests a second from all entries together, in thousandths.
    milli_per_s: u64,
}

impl ServerLimit {
    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.milli_per_s as f64 / MILLI
    }
}

/// Why a server's word on its limit is of no use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitError {
    /// It is no decimal number.
    #[error("a limit is a decimal number of requests a second")]
    NotANumber,
}

/// Reads a decimal number of requests a second; what is below a thousandth counts as zero.
impl TryFrom<&str> for ServerLimit {
    type Error = LimitError;

    fn try_from(text: &str) -> Result<Self, LimitError> {
        let per_s = read_decimal(text).ok_or(LimitError::NotANumber)?;
        // NB: a number too large for the type becomes the largest.
        Ok(ServerLimit { milli_per_s: (per_s * MILLI) as u64 })
    }
}

/// What an answer says of its server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum LimitWord {
    /// It names one.
    Named(ServerLimit),
    /// It names none, so there is none any more.
    Unnamed,
    /// It says nothing that could be relied on.
    #[default]
    Unsaid,
}

/// The limit of a server by the latest word on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct KnownLimit {
    limit: Option<ServerLimit>,
    /// When it was said.
    said_at: Option<Duration>,
}

impl KnownLimit {
    /// The limit in force, if there is one.
    pub fn limit(&self) -> Option<ServerLimit> {
        self.limit
    }

    /// Takes in what an answer says whose request was sent at `sent`. Returns whether the limit has changed.
    ///
    /// NB: of answers under way when the word came, only one that lowers the limit is certainly no older.
    pub fn hear(&mut self, word: LimitWord, sent: Duration, now: Duration) -> bool {
        let may_raise = self.said_at.is_none_or(|at| sent >= at);
        let limit = match (word, self.limit) {
            (LimitWord::Unsaid, _) => return false,
            (LimitWord::Unnamed, None) => return false,
            (LimitWord::Unnamed, Some(_)) if !may_raise => return false,
            (LimitWord::Unnamed, Some(_)) => None,
            (LimitWord::Named(named), Some(known)) if named > known && !may_raise => return false,
            (LimitWord::Named(named), _) => Some(named),
        };
        self.said_at = Some(now);
        std::mem::replace(&mut self.limit, limit) != limit
    }
}
