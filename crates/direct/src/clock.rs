//! The time that decisions see: how long this process has been running, the time included for which its
//! machine was suspended.
//!
//! The steady clock, on which timers run, stands still while a machine is suspended. Keys, leases and
//! configurations elsewhere grow old meanwhile, so everything that compares ages must count that time:
//! it is what `CLOCK_BOOTTIME` has gained on the steady clock.

use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Where the clock starts. What other processes tell may be dated before the start of this one, by
/// up to the longest time for which an old state is of any use.
const CLOCK_OFFSET: Duration = Duration::from_secs(3_600);

/// A clock that starts some time after zero and does not stand still while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Clock {
    origin: Instant,
    /// What the clock that counts suspended time was ahead of the steady one at the start.
    boottime_lead_at_start: Option<Duration>,
    /// Time for which the machine was suspended, as far as it was noticed.
    suspended: Rc<Cell<Duration>>,
    /// Suspended time that a test makes up.
    simulated_suspension: Rc<Cell<Duration>>,
    /// What a test makes the time of day be at the start of the clock, in milliseconds since 1970.
    simulated_unix_ms: Rc<Cell<Option<u64>>>,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        let steady = read(ClockId::CLOCK_MONOTONIC);
        let boottime = read(ClockId::CLOCK_BOOTTIME);
        Clock {
            origin: Instant::now(),
            boottime_lead_at_start: lead(boottime, steady),
            suspended: Rc::default(),
            simulated_suspension: Rc::default(),
            simulated_unix_ms: Rc::default(),
        }
    }

    /// The time.
    pub fn now(&self) -> Duration {
        CLOCK_OFFSET + self.uptime()
    }

    /// Time since the start.
    pub fn uptime(&self) -> Duration {
        self.origin.elapsed() + self.suspended()
    }

    /// Time for which the machine has been suspended since the start.
    pub fn suspended(&self) -> Duration {
        // NB: in this order, a pause between the two readings makes the lead look smaller than it is,
        // never larger; so the largest one seen is the closest, and the time never steps back.
        let boottime = read(ClockId::CLOCK_BOOTTIME);
        let steady = read(ClockId::CLOCK_MONOTONIC);
        if let (Some(at_start), Some(now)) = (self.boottime_lead_at_start, lead(boottime, steady)) {
            let seen = now.saturating_sub(at_start);
            self.suspended.set(self.suspended.get().max(seen));
        }
        self.suspended.get() + self.simulated_suspension.get()
    }

    /// The time of day by the machine's own clock, in milliseconds since 1970. It may jump.
    pub fn unix_ms(&self) -> u64 {
        let since = match self.simulated_unix_ms.get() {
            Some(at_start) => Duration::from_millis(at_start) + self.uptime(),
            None => SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default(),
        };
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }

    /// Lets the time of day be as if it had been this at the start; for tests.
    pub fn simulate_unix_ms(&self, at_start: u64) {
        self.simulated_unix_ms.set(Some(at_start));
    }

    /// The instant of a time, for timers; one that has passed counts as now, or as the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.origin + at.saturating_sub(CLOCK_OFFSET + self.suspended())
    }

    /// Lets so much time pass as if the machine had been suspended; for tests.
    pub fn simulate_suspension(&self, time: Duration) {
        self.simulated_suspension.set(self.simulated_suspension.get() + time);
    }
}

/// A clock of the system; none if it cannot be read, so that the steady one alone counts.
fn read(clock: ClockId) -> Option<Duration> {
    clock_gettime(clock).ok().map(Duration::from)
}

fn lead(boottime: Option<Duration>, steady: Option<Duration>) -> Option<Duration> {
    Some(boottime?.saturating_sub(steady?))
}
