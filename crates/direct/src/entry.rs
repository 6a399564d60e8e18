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
    conductor::Conductor,
    core::{Core, Stopping},
    dialect::Dialect,
    facts::Port,
    follow::follow,
    http::{self, Gate},
    journal::{Journal, Rank},
    leavers::look_after_leavers,
    membership, quarantine,
    upstream::Connect,
    usage,
};

/// Time between two batches of log lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two looks at what may be forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);
/// Time after the signal to stop for which all new work is still taken. The balancer asks once a
/// second and needs two misses; where others are stopped in turn, each tenth of a second more
/// closes a gap in which none is open. A stream taken later than three seconds after the signal
/// would have too little time left.
const LEAVING_TIME: Duration = Duration::from_millis(2_900);
/// Part of the grace time by which the process has ended.
const GRACE_PART: f64 = 0.95;
/// Time between two looks at whether all work is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Shortest suspension of the machine that is logged.
const LEAST_SUSPENSION: Duration = Duration::from_millis(100);

/// The machine stood still; all that is known is as much older than timers tell.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum WakeEvent {
    MachineWasSuspended { suspended_ms: u64, freshness_ms: Option<u64> },
}

/// Logs a suspension that has not been logged yet; `known` is what was noticed before.
fn note_suspension(core: &Core, known: &mut Duration) {
    let suspended = core.clock.suspended();
    let new = suspended.saturating_sub(*known);
    if new < LEAST_SUSPENSION {
        return;
    }
    *known = suspended;
    let event = WakeEvent::MachineWasSuspended {
        suspended_ms: new.as_millis() as u64,
        freshness_ms: core.state_age().map(|age| age.as_millis() as u64),
    };
    core.journal.note(Rank::State, &event);
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
    conductor: Rc<Conductor>,
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
        journal: Journal,
        seed: u64,
    ) -> Self {
        let clock = Clock::start();
        let core = Rc::new(Core::new(settings, dialect, clock, connect, journal, seed));
        let conductor = Rc::new(Conductor::new(Rc::clone(&core), port.clone()));
        Entry { core, conductor, gate: Rc::default(), port }
    }

    /// Starts to follow the store, on the current thread's local tasks.
    pub fn start(&self) {
        let conductor = Rc::clone(&self.conductor);
        spawn_local(async move { conductor.run().await });
        let conductor = Rc::clone(&self.conductor);
        spawn_local(membership::forward_gossip(Rc::clone(&self.core)));
        spawn_local(quarantine::speak_for_good_contents(Rc::clone(&self.core)));
        spawn_local(quarantine::give_back_probes(Rc::clone(&self.core)));
        if self.core.usage.is_some() {
            spawn_local(usage::tell_usage(Rc::clone(&self.core)));
            let conductor = Rc::clone(&self.conductor);
            spawn_local(usage::report_usage(Rc::clone(&self.core), self.port.clone(), conductor));
        }
        spawn_local(look_after_leavers(Rc::clone(&self.core)));
        spawn_local(follow(Rc::clone(&self.core), self.port.clone(), conductor));
        let core = Rc::clone(&self.core);
        spawn_local(async move {
            let mut suspended = Duration::ZERO;
            loop {
                sleep(FLUSH_INTERVAL).await;
                note_suspension(&core, &mut suspended);
                core.journal.flush();
            }
        });
        let core = Rc::clone(&self.core);
        spawn_local(async move {
            loop {
                sleep(FORGET_INTERVAL).await;
                core.forget_old_ends();
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
    pub fn pretend_suspended(&self, time: Duration) {
        self.core.clock.pretend_suspended(time);
    }

    /// Lets the time of day be as if it had been this at the start, in milliseconds since 1970; for tests.
    pub fn pretend_unix_ms(&self, at_start: u64) {
        self.core.clock.pretend_unix_ms(at_start);
    }

    /// Log lines gathered and not yet handed to the writer.
    pub fn gathered_lines(&self) -> String {
        self.core.journal.gathered()
    }

    /// Sends callers elsewhere, finishes what is under way, and returns within the grace time.
    pub async fn drain(&self) {
        let core = &self.core;
        let told = core.clock.now();
        let end = told + core.settings.grace.mul_f64(GRACE_PART);
        core.stopping.set(Stopping::Leaving);
        let under_way = core.under_way.get();
        core.journal.note(Rank::State, &StopEvent::Leaving { under_way });
        sleep_until(core.clock.instant((told + LEAVING_TIME).min(end))).await;
        core.stopping.set(Stopping::Closing { end });
        self.gate.close();
        let under_way = core.under_way.get();
        core.journal.note(Rank::State, &StopEvent::Closed { under_way });
        while core.under_way.get() > 0 && core.clock.now() < end {
            sleep(DRAIN_LOOK).await;
        }
        let under_way = core.under_way.get();
        core.journal.note(Rank::State, &StopEvent::Stopped { under_way });
        core.journal.flush();
    }
}
