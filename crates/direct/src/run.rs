//! Runs an entry as a process: sockets, signals and shutdown.

use std::{io, net::SocketAddr, rc::Rc};

use pondwalk_config::DirectSettings;
use serde::Serialize;
use thiserror::Error;
use tokio::{
    net::TcpListener,
    select,
    task::{JoinSet, LocalSet},
};

use crate::{
    dialect::Dialect,
    entry::Entry,
    event_log::{EventLog, LogError, LogPriority},
    http,
    port::Port,
    signals::{SignalHandlers, SignalRequest},
    upstream,
};

/// Why an entry can't run.
#[derive(Debug, Error)]
pub enum RunError {
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] io::Error),
    /// An address can't be bound.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to bind.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// Signal handlers can't be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// A listener ended by a panic, which standard error tells.
    #[error("a listener ended unexpectedly")]
    ListenerFailed,
    /// Logs can't be written.
    #[error("cannot write logs: {0}")]
    Log(#[from] LogError),
}

/// Log event of the process lifecycle.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum LifecycleEvent<'a> {
    Started {
        data_centre: &'a str,
        callers: SocketAddr,
        store: SocketAddr,
        /// Maximum store reply time at which a change is still in force in time.
        answer_for_changes_ms: u64,
        /// Maximum store reply time at which keys stay confirmed.
        answer_for_keys_ms: u64,
        /// Longest time until a change is in force at all entries.
        worst_propagation_ms: u64,
    },
    ReloadAsked,
}

/// Runs an entry until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the runtime, the log, a listener or the signal handlers can't be set up.
pub fn run(settings: DirectSettings, dialect: Dialect, port: Port) -> Result<(), RunError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(RunError::Runtime)?;
    LocalSet::new().block_on(&runtime, run_local(settings, dialect, port))
}

async fn run_local(settings: DirectSettings, dialect: Dialect, port: Port) -> Result<(), RunError> {
    let mut signals = SignalHandlers::install().map_err(RunError::Signals)?;
    let event_log = EventLog::to_stdout(&settings.name, settings.log_lines_per_s)?;
    let callers = listen(settings.callers).await?;
    let readiness = listen(settings.readiness).await?;
    let metrics = match settings.metrics {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let peers = match settings.peers {
        Some(address) => Some(listen(address).await?),
        None => None,
    };
    let entry =
        Entry::new(settings, dialect, port, upstream::tcp_connector(), event_log, rand::random());
    let core = entry.core();
    let membership = &core.settings.membership;
    let longest_answer_ms = |bound| membership.times.max_store_response(bound).as_millis() as u64;
    let event = LifecycleEvent::Started {
        data_centre: &core.settings.data_centre,
        callers: core.settings.callers,
        store: core.settings.store.address,
        answer_for_changes_ms: longest_answer_ms(membership.propagation),
        answer_for_keys_ms: longest_answer_ms(core.settings.key_bound),
        worst_propagation_ms: membership.times.worst_case_propagation().as_millis() as u64,
    };
    core.event_log.record(LogPriority::State, &event);
    entry.start();
    let mut listeners = JoinSet::new();
    listeners.spawn_local(http::serve_readiness(Rc::clone(core), readiness));
    if let Some(listener) = metrics {
        listeners.spawn_local(http::serve_metrics(Rc::clone(core), listener));
    }
    if let Some(listener) = peers {
        listeners.spawn_local(http::serve_peers(entry.clone(), listener));
    }
    listeners.spawn_local(entry.clone().accept(callers));
    select! {
        () = wait_for_stop(&mut signals, &entry) => {}
        // An entry that accepts no connections is of no use; the platform starts another.
        _ = listeners.join_next() => return Err(RunError::ListenerFailed),
    }
    entry.drain().await;
    Ok(())
}

async fn listen(address: SocketAddr) -> Result<TcpListener, RunError> {
    TcpListener::bind(address).await.map_err(|source| RunError::Listen { address, source })
}

/// Waits for a stop signal; a reload signal is only logged.
async fn wait_for_stop(signals: &mut SignalHandlers, entry: &Entry) {
    // Settings take effect at the next start; everything dynamic is in the store.
    while signals.next().await == SignalRequest::Reload {
        entry.core().event_log.record(LogPriority::State, &LifecycleEvent::ReloadAsked);
    }
}
