//! One entry with all that runs in it, apart from sockets and signals.

use std::{rc::Rc, time::Duration};

use pondwalk_config::DirectSettings;
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    task::spawn_local,
    time::{sleep, sleep_until},
};

use crate::{
    clock::Clock,
    coordinator::Coordinator,
    core::{Core, ShutdownPhase},
    dialect::Dialect,
    draining_servers::watch_draining_servers,
    event_log::{EventLog, LogPriority},
    follow::follow,
    http::{self, Gate},
    membership,
    port::Port,
    quarantine,
    upstream::Connect,
    usage,
};

/// Time between two batches of log lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at what may be forgotten.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Time after the signal to stop for which all new work is still taken. The balancer asks once a
/// second and needs two misses; where others are stopped in turn, each tenth of a second more
/// closes a gap in which none is open. A stream taken later than three seconds after the signal
/// would have too little time left.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_900);
/// Part of the grace time by which the process has ended.
const GRACE_FRACTION: f64 = 0.95;
/// Time between two looks at whether all work is done.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest suspension of the machine that is logged.
const MIN_LOGGED_SUSPENSION: Duration = Duration::from_millis(100);

/// The machine stood still; all that is known is as much older than timers tell.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum SuspensionEvent {
    MachineWasSuspended { suspended_ms: u64, freshness_ms: Option<u64> },
}

/// Logs a suspension that has not been logged yet; `known` is what was noticed before.
fn log_suspension(core: &Core, known: &mut Duration) {
    let suspended = core.clock.suspended();
    let new = suspended.saturating_sub(*known);
    if new < MIN_LOGGED_SUSPENSION {
        return;
    }
    *known = suspended;
    let event = SuspensionEvent::MachineWasSuspended {
        suspended_ms: new.as_millis() as u64,
        freshness_ms: core.state_age().map(|age| age.as_millis() as u64),
    };
    core.event_log.record(LogPriority::State, &event);
}

/// A step of a planned stop.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum StopEvent {
    Leaving { under_way: usize },
    Closed { under_way: usize },
    Stopped { under_way: usize },
}

/// One entry.
#[derive(Clone)]
pub struct Entry {
    core: Rc<Core>,
    coordinator: Rc<Coordinator>,
    gate: Rc<Gate>,
    port: Port,
}

impl Entry {
    /// An entry that knows nothing yet; `seed` starts its random numbers.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        port: Port,
        connect: Connect,
        event_log: EventLog,
        seed: u64,
    ) -> Self {
        let clock = Clock::start();
        let core = Rc::new(Core::new(settings, dialect, clock, connect, event_log, seed));
        let coordinator = Rc::new(Coordinator::new(Rc::clone(&core), port.clone()));
        Entry { core, coordinator, gate: Rc::default(), port }
    }

    /// Starts to follow the store, on the current thread's local tasks.
    pub fn start(&self) {
        let coordinator = Rc::clone(&self.coordinator);
        spawn_local(async move { coordinator.run().await });
        let coordinator = Rc::clone(&self.coordinator);
        spawn_local(membership::forward_gossip(Rc::clone(&self.core)));
        spawn_local(quarantine::publish_clearances(Rc::clone(&self.core)));
        spawn_local(quarantine::release_probes(Rc::clone(&self.core)));
        if self.core.usage.is_some() {
            spawn_local(usage::publish_usage(Rc::clone(&self.core)));
            let coordinator = Rc::clone(&self.coordinator);
            spawn_local(usage::report_usage(Rc::clone(&self.core), self.port.clone(), coordinator));
        }
        spawn_local(watch_draining_servers(Rc::clone(&self.core)));
        spawn_local(follow(Rc::clone(&self.core), self.port.clone(), coordinator));
        let core = Rc::clone(&self.core);
        spawn_local(async move {
            let mut suspended = Duration::ZERO;
            loop {
                sleep(FLUSH_INTERVAL).await;
                log_suspension(&core, &mut suspended);
                core.event_log.flush();
            }
        });
        let core = Rc::clone(&self.core);
        spawn_local(async move {
            loop {
                sleep(EXPIRY_INTERVAL).await;
                core.forget_old_crashes();
            }
        });
    }

    /// Answers the requests on one caller's connection.
    pub async fn serve<I>(&self, io: I)
    where
        I: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        http::serve_connection(Rc::clone(&self.core), io, Rc::clone(&self.gate)).await;
    }

    /// Answers the questions on one connection from another entry.
    pub async fn serve_peer<I>(&self, io: I)
    where
        I: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        membership::serve(Rc::clone(&self.core), io).await;
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.core.settings.name
    }

    /// Counters and histograms as text.
    pub fn metrics_text(&self) -> String {
        self.core.metrics_text()
    }

    /// Age of the last confirmation by the store that this entry's state rests on, if any.
    pub fn state_age(&self) -> Option<Duration> {
        self.core.state_age()
    }

    /// What is shared by the tasks of this entry.
    pub(crate) fn core(&self) -> &Rc<Core> {
        &self.core
    }

    /// Lets time pass as if the machine had been suspended; for tests.
    pub fn simulate_suspension(&self, time: Duration) {
        self.core.clock.simulate_suspension(time);
    }

    /// Lets the time of day be as if it had been this at the start, in milliseconds since 1970; for tests.
    pub fn simulate_unix_ms(&self, at_start: u64) {
        self.core.clock.simulate_unix_ms(at_start);
    }

    /// Log lines gathered and not yet handed to the writer.
    pub fn buffered_log_lines(&self) -> String {
        self.core.event_log.buffered()
    }

    /// Sends callers elsewhere, finishes what is under way, and returns within the grace time.
    pub async fn drain(&self) {
        let core = &self.core;
        let signalled_at = core.clock.now();
        let end = signalled_at + core.settings.grace.mul_f64(GRACE_FRACTION);
        core.shutdown.set(ShutdownPhase::Draining);
        let under_way = core.in_flight.get();
        core.event_log.record(LogPriority::State, &StopEvent::Leaving { under_way });
        sleep_until(core.clock.instant((signalled_at + DRAIN_NOTICE).min(end))).await;
        core.shutdown.set(ShutdownPhase::Closing { end });
        self.gate.close();
        let under_way = core.in_flight.get();
        core.event_log.record(LogPriority::State, &StopEvent::Closed { under_way });
        while core.in_flight.get() > 0 && core.clock.now() < end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        let under_way = core.in_flight.get();
        core.event_log.record(LogPriority::State, &StopEvent::Stopped { under_way });
        core.event_log.flush();
    }
}
