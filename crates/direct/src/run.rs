//! Starts an entry, and stops it as planned.

use std::{io, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_config::DirectSettings;
use serde::Serialize;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    select,
    signal::unix::{SignalKind, signal},
    task::{LocalSet, spawn_local},
    time::{Instant, sleep, sleep_until},
};

use crate::{
    clock::Clock,
    conductor::Conductor,
    core::{Core, Stopping},
    dialect::Dialect,
    facts::Port,
    follow::follow,
    http::{self, Gate},
    journal::{Journal, LogError, Rank},
};

/// Time between two batches of log lines.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the signal to stop for which new work is still taken. The balancer asks once a
/// second and needs two misses.
const LEAVING_TIME: Duration = Duration::from_millis(2_600);
/// Part of the grace time by which the process has ended.
const GRACE_PART: f64 = 0.95;
/// Time between two looks at whether all work is done.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

/// Why an entry cannot run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The runtime cannot be started.
    #[error("the runtime cannot be started: {0}")]
    Runtime(#[source] io::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[error("signals cannot be received: {0}")]
    Signals(#[source] io::Error),
    /// Logs cannot be written.
    #[error("logs cannot be written: {0}")]
    Log(#[from] LogError),
}

/// A step in the life of the process.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifeEvent<'a> {
    Started { data_centre: &'a str, callers: SocketAddr, store: SocketAddr },
    ReloadAsked,
    Leaving { under_way: usize },
    Closed { under_way: usize },
    Stopped { under_way: usize },
}

/// Runs an entry until it is told to stop.
pub fn run(settings: DirectSettings, dialect: Dialect, port: Port) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, live(settings, dialect, port))
}

async fn live(settings: DirectSettings, dialect: Dialect, port: Port) -> Result<(), RunError> {
    let clock = Clock::start();
    let journal = Journal::to_stdout(&settings.name, clock, settings.log_lines_per_s)?;
    let core = Rc::new(Core::new(settings, dialect, clock, journal, rand::random()));
    let settings = &core.settings;
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    core.journal.note(
        Rank::State,
        &LifeEvent::Started {
            data_centre: &settings.data_centre,
            callers: settings.callers,
            store: settings.store.address,
        },
    );
    let conductor = Rc::new(Conductor::new(Rc::clone(&core), port.clone()));
    let conducting = Rc::clone(&conductor);
    spawn_local(async move { conducting.run().await });
    spawn_local(follow(Rc::clone(&core), port, conductor));
    spawn_local(flush(Rc::clone(&core)));
    spawn_local(http::serve_readiness(Rc::clone(&core), readiness));
    if let Some(listener) = metrics {
        spawn_local(http::serve_metrics(Rc::clone(&core), listener));
    }
    let gate = Rc::new(Gate::default());
    spawn_local(http::accept(Rc::clone(&core), callers, Rc::clone(&gate)));
    wait_for_stop(&core).await?;
    drain(&core, &gate).await;
    core.journal.flush();
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    http::bind(address).await.map_err(|source| RunError::Listen { address, source })
}

async fn flush(core: Rc<Core>) {
    loop {
        sleep(FLUSH_INTERVAL).await;
        core.journal.flush();
    }
}

/// Waits for a signal to stop; a signal to reload is logged.
async fn wait_for_stop(core: &Core) -> Result<(), RunError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(RunError::Signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(RunError::Signals)?;
    let mut hang_up = signal(SignalKind::hangup()).map_err(RunError::Signals)?;
    loop {
        select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            // NB: settings take effect at the next start; all that changes lies in the store.
            _ = hang_up.recv() => core.journal.note(Rank::State, &LifeEvent::ReloadAsked),
        }
    }
}

/// Sends callers elsewhere, finishes what is under way, and returns in time.
async fn drain(core: &Core, gate: &Gate) {
    let told = Instant::now();
    let end = told + core.settings.grace.mul_f64(GRACE_PART);
    core.stopping.set(Stopping::Leaving);
    let under_way = core.under_way.get();
    core.journal.note(Rank::State, &LifeEvent::Leaving { under_way });
    sleep_until((told + LEAVING_TIME).min(end)).await;
    core.stopping.set(Stopping::Closed);
    gate.close();
    let under_way = core.under_way.get();
    core.journal.note(Rank::State, &LifeEvent::Closed { under_way });
    while core.under_way.get() > 0 && Instant::now() < end {
        sleep(DRAIN_LOOK).await;
    }
    let under_way = core.under_way.get();
    core.journal.note(Rank::State, &LifeEvent::Stopped { under_way });
}
