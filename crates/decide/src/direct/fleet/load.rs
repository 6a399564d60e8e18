//! The load that a backend server reports, and what it shows of other entries' requests.
//!
//! A server that reports its load with its answers counts the requests of all entries, while an
//! entry sees only its own. The report ages: waiting prompts are prefilled within about a second,
//! and running requests end within a few.

use std::{num::ParseIntError, time::Duration};

use thiserror::Error;

/// Time that one running request of another entry adds to the cost of a server, in milliseconds.
/// Every token of a batch is slower the larger the batch is; a few milliseconds for each request
/// separate servers that are equal otherwise.
const PEER_RUNNING_MS: f64 = 8.0;
/// Time in which the reported number of running requests decays by a factor of e; most streams last
/// some seconds.
const RUNNING_DECAY: Duration = Duration::from_secs(3);
/// Time in which the reported number of waiting requests decays by a factor of e; most prompts are
/// prefilled by then.
const WAITING_DECAY: Duration = Duration::from_secs(1);

/// Load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
}

/// Why a reported load is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LoadError {
    /// The number of fields is neither three nor four.
    #[error(
        "a load has three comma-separated numbers, running, waiting and slots, and optionally a pace"
    )]
    WrongFieldCount,
    /// A field is not an integer.
    #[error("invalid number in a load: {0}")]
    InvalidNumber(#[from] ParseIntError),
    /// The pace is not a number from 0 on.
    #[error("the pace of a load is not a number from 0 on")]
    InvalidPace,
}

/// Parses `RUNNING,WAITING,SLOTS`, optionally followed by the current pace: how long work takes,
/// as a percentage of the normal time.
///
/// NB: the pace changes many times a second, while an entry receives a report about once a second.
/// It does not predict the next request and is discarded.
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

/// Requests of other entries at one server, derived from its reports.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerLoad {
    running: f64,
    waiting: f64,
    recorded_at: Duration,
}

impl PeerLoad {
    /// Applies a reported load while this entry had so many of its own requests running and waiting
    /// there.
    pub fn record(&mut self, load: ServerLoad, own_running: u32, own_waiting: u32, now: Duration) {
        self.running = f64::from(load.running.saturating_sub(own_running));
        self.waiting = f64::from(load.waiting.saturating_sub(own_waiting));
        self.recorded_at = now;
    }

    /// Time that these requests add to the cost of the server, in milliseconds, if the prefill of a
    /// waiting one takes `prefill_ms`; 0 if the server does not report its load.
    pub fn cost_ms(&self, prefill_ms: f64, now: Duration) -> f64 {
        let age_s = now.saturating_sub(self.recorded_at).as_secs_f64();
        let remaining = |decay_time: Duration| (-age_s / decay_time.as_secs_f64()).exp();
        let running_ms = self.running * PEER_RUNNING_MS * remaining(RUNNING_DECAY);
        running_ms + self.waiting * prefill_ms * remaining(WAITING_DECAY)
    }
}
