//! The agent: the process beside one backend server, with the last word on what runs there.
//!
//! It admits or refuses runs by its own queue and configuration, runs them on the backend server,
//! keeps the frames of their answers until entries have fetched them, and drains on a planned
//! stop. It makes no calls to the platform's store in ordinary operation: configurations come
//! from entries.

mod backend;
mod control;
mod core;
mod orders;
mod outbox;
mod runs;
mod serve;
mod trials;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use cadence::StatsdClient;
use pondwalk_config::AgentSettings;
use pondwalk_store::Store;
use thiserror::Error;
use tokio::{net::TcpListener, runtime::Runtime};

use crate::core::Core;

/// Why an agent could not start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// Its address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// Threads could not be started.
    #[error("cannot start threads: {0}")]
    Threads(io::Error),
}

/// A running agent; dropping it stops it at once, as a failure would.
#[derive(Debug)]
pub struct RunningAgent {
    address: SocketAddr,
    core: Arc<Core>,
    traffic: Option<Runtime>,
    control: Option<control::ControlThread>,
}

impl RunningAgent {
    /// Starts an agent on threads of its own.
    pub fn start(
        settings: AgentSettings,
        store: Store,
        metrics: StatsdClient,
    ) -> Result<Self, AgentError> {
        let address = settings.listen;
        let traffic = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(settings.threads)
            .thread_name("agent-traffic")
            .enable_all()
            .build()
            .map_err(AgentError::Threads)?;
        let core = Arc::new(Core::new(settings, metrics, traffic.handle().clone()));
        let listener = traffic
            .block_on(TcpListener::bind(address))
            .map_err(|source| AgentError::Listen { address, source })?;
        let address =
            listener.local_addr().map_err(|source| AgentError::Listen { address, source })?;
        traffic.spawn(serve::serve(listener, core.clone()));
        let control =
            control::ControlThread::start(core.clone(), store).map_err(AgentError::Threads)?;
        spdlog::info!("agent started", kv: { server = core.settings.server.as_str() });
        Ok(RunningAgent { address, core, traffic: Some(traffic), control: Some(control) })
    }

    /// Where entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no new work from now on.
    pub fn begin_drain(&self) {
        self.core.begin_drain();
    }

    /// Whether all admitted work has ended and its answers have been fetched.
    pub fn is_drained(&self) -> bool {
        self.core.is_idle()
    }

    /// Takes no new work, waits for what is under way, and stops.
    ///
    /// Returns whether all of it ended within the settings' limit.
    pub async fn drain(mut self) -> bool {
        const POLL: Duration = Duration::from_millis(20);
        self.begin_drain();
        let limit = self.core.settings.drain;
        let idle = async {
            while !self.is_drained() {
                tokio::time::sleep(POLL).await;
            }
        };
        let clean = tokio::time::timeout(limit, idle).await.is_ok();
        self.stop();
        clean
    }

    fn stop(&mut self) {
        if let Some(control) = self.control.take() {
            control.stop();
        }
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for RunningAgent {
    fn drop(&mut self) {
        self.stop();
    }
}
