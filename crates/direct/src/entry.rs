//! An entry with all its tasks, except for sockets and signals.

use std::{future::Future, rc::Rc, time::Duration};

use pondwalk_config::DirectSettings;
use pondwalk_decide::direct::LoadSummary;
use serde::Serialize;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpListener,
    time::{sleep, sleep_until},
};

use crate::{
    clock::Clock,
    coordinator::Coordinator,
    core::{Core, ShutdownPhase},
    deliveries::UnwrittenAnswer,
    dialect::Dialect,
    draining_servers::watch_draining_servers,
    event_log::{EventLog, LogPriority},
    follow::follow,
    http,
    latch::Latch,
    membership,
    metrics::Counter,
    panics::{self, PanicRecord},
    port::Port,
    quarantine, tasks,
    upstream::Connect,
    usage,
};

/// Interval between batches of log lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between removals of expired quarantine data.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Time after the stop signal for which new work is still accepted. The load balancer checks once a
/// second and needs two failures; when other entries are stopped in turn, each tenth of a second
/// more closes a gap in which none accepts work. A stream accepted later than three seconds after
/// the signal would have too little time left.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_900);
/// Fraction of the grace period after which requests in flight get their final answer.
const GRACE_FRACTION: f64 = 0.95;
/// Fraction of the grace period after which the process has ended, whatever is not written.
const END_FRACTION: f64 = 0.97;
/// Maximum time that an entry without work waits for its last gossip to be forwarded.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(500);
/// Poll interval for the end of all work.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum suspension of the machine that is logged.
const MIN_LOGGED_SUSPENSION: Duration = Duration::from_millis(100);

/// The machine was suspended; the state is older by that time than timers show.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum SuspensionEvent {
    MachineWasSuspended { suspended_ms: u64, freshness_ms: Option<u64> },
}

/// Logs a suspension that has not been logged yet; `known` is the total logged before.
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

/// A task ended by a panic.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum PanicEvent<'a> {
    Panicked { place: &'a str, message: &'a str },
}

/// Counts and logs the panics since the last call.
fn log_panics(core: &Core) {
    let recorded = panics::take_recorded();
    if recorded.count > 0 {
        core.metrics.count_many(Counter::Panics, recorded.count);
    }
    for PanicRecord { place, message } in &recorded.panics {
        core.event_log.record(LogPriority::State, &PanicEvent::Panicked { place, message });
    }
}

/// Passes log lines on in batches, for as long as the process runs.
async fn write_log(core: Rc<Core>) {
    let mut suspended = Duration::ZERO;
    loop {
        sleep(FLUSH_INTERVAL).await;
        log_suspension(&core, &mut suspended);
        log_panics(&core);
        core.event_log.flush();
    }
}

/// Removes expired quarantine data, for as long as the process runs.
async fn forget_old_crashes(core: Rc<Core>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
        core.forget_old_crashes();
    }
}

/// Phase of a graceful shutdown, as logged.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum StopEvent<'a> {
    Leaving { under_way: usize, not_written: usize },
    Closed { under_way: usize, not_written: usize },
    AnswerNotWritten { request: &'a str, written_bytes: u64, left_bytes: u64 },
    Stopped { under_way: usize, not_written: usize },
}

/// An entry.
#[derive(Clone)]
pub struct Entry {
    core: Rc<Core>,
    coordinator: Rc<Coordinator>,
    closing: Rc<Latch>,
    port: Port,
}

impl Entry {
    /// Creates an entry without state; `seed` initializes its random numbers.
    pub fn new(
        settings: DirectSettings,
        dialect: Dialect,
        port: Port,
        connect: Connect,
        event_log: EventLog,
        seed: u64,
    ) -> Self {
        panics::install_hook();
        let clock = Clock::start();
        let core = Rc::new(Core::new(
            settings,
            dialect,
            clock,
            connect,
            port.buffers.clone(),
            event_log,
            seed,
        ));
        let coordinator = Rc::new(Coordinator::new(Rc::clone(&core), port.clone()));
        Entry { core, coordinator, closing: Rc::default(), port }
    }

    /// Starts the background tasks as local tasks of the current thread.
    pub fn start(&self) {
        self.start_task("forward_gossip", membership::forward_gossip);
        self.start_task("publish_clearances", quarantine::publish_clearances);
        self.start_task("release_probes", quarantine::release_probes);
        self.start_task("publish_crashes", quarantine::publish_crashes);
        self.start_task("examine_ended_runs", quarantine::examine_ended_runs);
        self.start_task("watch_draining_servers", watch_draining_servers);
        self.start_task("write_log", write_log);
        self.start_task("forget_old_crashes", forget_old_crashes);
        if self.core.settings.policy.shared_load {
            self.start_task("exchange_load", membership::exchange_load);
        }
        let coordinator = Rc::clone(&self.coordinator);
        tasks::spawn_restarting(&self.core, "coordinate", move || {
            let coordinator = Rc::clone(&coordinator);
            async move { coordinator.run().await }
        });
        if self.core.usage.is_some() {
            self.start_task("publish_usage", usage::publish_usage);
            self.start_port_task("report_usage", usage::report_usage);
        }
        self.start_port_task("follow", follow);
    }

    fn start_task<F: Future<Output = ()> + 'static>(
        &self,
        name: &'static str,
        run: fn(Rc<Core>) -> F,
    ) {
        let core = Rc::clone(&self.core);
        tasks::spawn_restarting(&self.core, name, move || run(Rc::clone(&core)));
    }

    fn start_port_task<F: Future<Output = ()> + 'static>(
        &self,
        name: &'static str,
        run: fn(Rc<Core>, Port, Rc<Coordinator>) -> F,
    ) {
        let (core, port) = (Rc::clone(&self.core), self.port.clone());
        let coordinator = Rc::clone(&self.coordinator);
        tasks::spawn_restarting(&self.core, name, move || {
            run(Rc::clone(&core), port.clone(), Rc::clone(&coordinator))
        });
    }

    /// Accepts callers' connections until the process ends.
    pub async fn accept(self, listener: TcpListener) {
        http::accept(self, listener).await;
    }

    /// Serves the requests on a caller's connection.
    pub async fn serve<I>(&self, io: I)
    where
        I: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        http::serve_connection(Rc::clone(&self.core), io, Rc::clone(&self.closing)).await;
    }

    /// Serves the requests on a connection from another entry.
    pub async fn serve_peer<I>(&self, io: I)
    where
        I: AsyncRead + AsyncWrite + Unpin + 'static,
    {
        membership::serve(Rc::clone(&self.core), io).await;
    }

    /// Whether the entry accepts callers.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Name of the entry.
    pub fn name(&self) -> &str {
        &self.core.settings.name
    }

    /// Counters and histograms in text form.
    pub fn metrics_text(&self) -> String {
        self.core.metrics_text()
    }

    /// Age of the last store confirmation of this entry's state, if any.
    pub fn state_age(&self) -> Option<Duration> {
        self.core.state_age()
    }

    /// State and services shared by the entry's tasks.
    pub(crate) fn core(&self) -> &Rc<Core> {
        &self.core
    }

    /// Simulates a suspension of the machine; for tests.
    pub fn simulate_suspension(&self, time: Duration) {
        self.core.clock.simulate_suspension(time);
    }

    /// Simulates that the load exchange has received this sum of the other entries' work; for
    /// tests.
    pub fn simulate_peer_load(&self, peers: &LoadSummary) {
        let now = self.core.clock.now();
        self.core.state.borrow_mut().apply_load(Some(peers), now);
    }

    /// Simulates a wall-clock time at the start, in milliseconds since the Unix epoch; for tests.
    pub fn simulate_unix_ms(&self, at_start: u64) {
        self.core.clock.simulate_unix_ms(at_start);
    }

    /// Sum of the work of the other entries, if it is fresh.
    pub fn peer_load(&self) -> Option<LoadSummary> {
        self.core.load_exchange.peers(self.core.clock.now())
    }

    /// Simulates work of this entry in addition to its own; for tests.
    pub fn simulate_load(&self, load: LoadSummary) {
        self.core.load_exchange.simulate(load);
    }

    /// Log lines that have not been passed to the writer yet.
    pub fn buffered_log_lines(&self) -> String {
        self.core.event_log.buffered()
    }

    /// Directs callers elsewhere, finishes the work in flight, writes all answers to their
    /// connections, and returns within the grace period.
    pub async fn drain(&self) {
        let core = &self.core;
        let signalled_at = core.clock.now();
        let end = signalled_at + core.settings.grace.mul_f64(GRACE_FRACTION);
        let latest_end = signalled_at + core.settings.grace.mul_f64(END_FRACTION);
        core.shutdown.set(ShutdownPhase::Draining);
        let (under_way, not_written) = (core.in_flight.get(), core.deliveries.count());
        core.event_log.record(LogPriority::State, &StopEvent::Leaving { under_way, not_written });
        sleep_until(core.clock.instant((signalled_at + DRAIN_NOTICE).min(end))).await;
        core.shutdown.set(ShutdownPhase::Closing { end });
        self.closing.set();
        let (under_way, not_written) = (core.in_flight.get(), core.deliveries.count());
        core.event_log.record(LogPriority::State, &StopEvent::Closed { under_way, not_written });
        if !self.wait_until_idle(end).await {
            core.ending.set();
            self.wait_until_idle(latest_end).await;
        }
        core.shutdown.set(ShutdownPhase::Ending);
        core.publish_last_counts();
        let forwarded_by = (core.clock.now() + FORWARD_TIMEOUT).min(latest_end);
        while !core.outbox.is_empty() && core.clock.now() < forwarded_by {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.wait_until_idle(forwarded_by).await;
        let unwritten = core.deliveries.unwritten();
        for UnwrittenAnswer { request, written_bytes, left_bytes } in &unwritten {
            let (written_bytes, left_bytes) = (*written_bytes, *left_bytes);
            let event = StopEvent::AnswerNotWritten { request, written_bytes, left_bytes };
            core.event_log.record(LogPriority::Failure, &event);
        }
        let (under_way, not_written) = (core.in_flight.get(), unwritten.len());
        core.event_log.record(LogPriority::State, &StopEvent::Stopped { under_way, not_written });
        core.event_log.flush();
    }

    /// Waits until no request is in flight and all answers are written, at most until `end`.
    /// Returns whether that is so.
    async fn wait_until_idle(&self, end: Duration) -> bool {
        let core = &self.core;
        let is_idle = || core.in_flight.get() == 0 && core.deliveries.is_idle();
        while !is_idle() && core.clock.now() < end {
            sleep(DRAIN_POLL_INTERVAL).await;
        }
        is_idle()
    }
}
