//! The clock used for decisions: process uptime including the time for which the machine was
//! suspended.
//!
//! The monotonic clock that drives timers stops while the machine is suspended. Keys, leases and
//! configurations elsewhere age meanwhile, so every comparison of ages must include that time: the
//! amount by which `CLOCK_BOOTTIME` has advanced beyond `CLOCK_MONOTONIC`.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Value of the clock at the start. Times reported by other processes may lie before this process's
/// start, by up to the maximum useful age of a state.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);

/// A clock that starts at [`CLOCK_OFFSET`] and advances while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Clock {
    origin: Instant,
    /// Lead of `CLOCK_BOOTTIME` over `CLOCK_MONOTONIC` at the start.
    boottime_lead_at_start: Option<Duration>,
    /// Total suspension time observed.
    suspended: Rc<Cell<Duration>>,
    /// Suspension time simulated by a test.
    simulated_suspension: Rc<Cell<Duration>>,
    /// Wall-clock time at the start as simulated by a test, in milliseconds since the Unix epoch.
    simulated_unix_ms: Rc<Cell<Option<u64>>>,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let monotonic = read(ClockId::CLOCK_MONOTONIC);
        let boottime = read(ClockId::CLOCK_BOOTTIME);
        Clock {
            origin: Instant::now(),
            boottime_lead_at_start: lead(boottime, monotonic),
            suspended: Rc::default(),
            simulated_suspension: Rc::default(),
            simulated_unix_ms: Rc::default(),
        }
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        CLOCK_OFFSET + self.uptime()
    }

    /// Time since the start.
    pub fn uptime(&self) -> Duration {
        self.origin.elapsed() + self.suspended()
    }

    /// Total time for which the machine has been suspended since the start.
    pub fn suspended(&self) -> Duration {
        // In this order, a delay between the two readings makes the lead appear smaller, never
        // larger; so the maximum observed is the closest, and the time never goes back.
        let boottime = read(ClockId::CLOCK_BOOTTIME);
        let monotonic = read(ClockId::CLOCK_MONOTONIC);
        if let (Some(at_start), Some(now)) =
            (self.boottime_lead_at_start, lead(boottime, monotonic))
        {
            let observed = now.saturating_sub(at_start);
            self.suspended.set(self.suspended.get().max(observed));
        }
        self.suspended.get() + self.simulated_suspension.get()
    }

    /// Wall-clock time of the machine in milliseconds since the Unix epoch. It may jump.
    pub fn unix_ms(&self) -> u64 {
        let since = match self.simulated_unix_ms.get() {
            Some(at_start) => Duration::from_millis(at_start) + self.uptime(),
            None => SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        };
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Simulates a wall-clock time at the start, in milliseconds since the Unix epoch; for tests.
    pub fn simulate_unix_ms(&self, at_start: u64) {
        self.simulated_unix_ms.set(Some(at_start));
    }

    /// The instant of a time, for timers; a past time maps to a past instant, at the earliest the
    /// start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at.saturating_sub(CLOCK_OFFSET + self.suspended())
    }

    /// Simulates a suspension of the machine; for tests.
    pub fn simulate_suspension(&self, time: Duration) {
        self.simulated_suspension.set(self.simulated_suspension.get() + time);
    }
}

/// Reads a system clock; `None` if that fails, in which case only the monotonic clock is used.
fn read(clock: ClockId) -> Option<Duration> {
    clock_gettime(clock).ok().map(Duration::from)
}

fn lead(boottime: Option<Duration>, monotonic: Option<Duration>) -> Option<Duration> {
    Some(boottime?.saturating_sub(monotonic?))
}
