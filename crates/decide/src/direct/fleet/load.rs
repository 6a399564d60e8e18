//! What a backend server tells of its own load, and what that says of other entries' requests.
//!
//! A server that puts its load into its answers tells the truth about all entries at once, while
//! an entry sees only its own requests. The truth ages: what was waiting is read within about a
//! second, and what was running ends within a few.

use std::{num::ParseIntError, time::Duration};

use thiserror::Error;

/// Time that one running request of another entry adds to the cost of a server, in milliseconds.
/// Every token of a batch comes later the larger the batch is; a few milliseconds for each request
/// part servers that are equal otherwise.
const OTHER_RUNNING_MS: f64 = 8.0;
/// Time in which the word on running requests fades to a third; most streams last some seconds.
const RUNNING_MEMORY: Duration = Duration::from_secs(3);
/// Time in which the word on waiting requests fades to a third; most prompts are read by then.
const WAITING_MEMORY: Duration = Duration::from_secs(1);

/// A server's load as it tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
}

/// Why a server's word on its load is of no use.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LoadError {
    /// It does not hold three numbers, or four.
    #[error("a load is three numbers by commas: running, waiting, slots; a pace may follow")]
    WrongFieldCount,
    /// One of them is no number.
    #[error("a load holds no number: {0}")]
    InvalidNumber(#[from] ParseIntError),
    /// Its pace is no time.
    #[error("a load's pace is no number from 0 on")]
    InvalidPace,
}

/// Reads `RUNNING,WAITING,SLOTS`, or the same with the pace of the moment behind it: how long work takes, 100
/// for as usual.
///
/// NB: the pace changes many times a second, while an entry hears from a server about once a second, so it
/// says nothing of the next request and is not kept.
impl TryFrom<&str> for ServerLoad {
    type Error = LoadError;

    fn try_from(text: &str) -> Result<Self, LoadError> {
        let numbers: Vec<&str> = text.split(',').map(str::trim).collect();
        let (running, waiting, slots) = match numbers[..] {
            [running, waiting, slots] => (running, waiting, slots),
            [running, waiting, slots, pace] if is_pace(pace) => (running, waiting, slots),
            [_, _, _, _] => return Err(LoadError::InvalidPace),
            _ => return Err(LoadError::WrongFieldCount),
        };
        Ok(ServerLoad {
            running: running.parse()?,
            waiting: waiting.parse()?,
            slots: slots.parse()?,
        })
    }
}

fn is_pace(text: &str) -> bool {
    text.parse::<f64>().is_ok_and(|pace| pace.is_finite() && pace >= 0.0)
}

/// Requests of other entries at one server, from its own word.
#[derive(Debug, Clone, Copy, Default)]
pub struct OthersLoad {
    running: f64,
    waiting: f64,
    recorded_at: Duration,
}

impl OthersLoad {
    /// The server told its load while this entry had so many of its own requests running and
    /// waiting there.
    pub fn record(&mut self, load: ServerLoad, own_running: u32, own_waiting: u32, now: Duration) {
        self.running = f64::from(load.running.saturating_sub(own_running));
        self.waiting = f64::from(load.waiting.saturating_sub(own_waiting));
        self.recorded_at = now;
    }

    /// Time that these requests add to the cost of the server, in milliseconds, if one that waits
    /// is read in `read_ms`. Nothing where the server does not tell its load.
    pub fn cost_ms(&self, read_ms: f64, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.recorded_at).as_secs_f64();
        let left = |memory: Duration| (-age_s / memory.as_secs_f64()).exp();
        let running_ms = self.running * OTHER_RUNNING_MS * left(RUNNING_MEMORY);
        running_ms + self.waiting * read_ms * left(WAITING_MEMORY)
    }
}
