//! The agent: the process beside one backend server that controls what runs there.
//!
//! It admits runs by its queue and configuration, executes them on the backend server, keeps the
//! frames of their answers until entries have fetched them, and drains on a planned stop. In
//! normal operation it does not call the platform's store; entries send it configurations.

mod backend;
mod control;
mod core;
mod execution;
mod orders;
mod outbox;
mod runs;
mod serve;
mod trials;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cadence::StatsdClient;
use pondwalk_config::AgentSettings;
use pondwalk_store::Store;
use pondwalk_threads::{ControlThread, StartError, traffic_runtime};
use tokio::{net::TcpListener, runtime::Runtime};

use crate::core::Core;

/// A running agent; dropping it stops it immediately, without draining.
#[derive(Debug)]
pub struct RunningAgent {
    address: SocketAddr,
    core: Arc<Core>,
    traffic: Option<Runtime>,
    control: Option<ControlThread>,
}

impl RunningAgent {
    /// Starts an agent on its own threads.
    pub fn start(
        settings: AgentSettings,
        store: Store,
        metrics: StatsdClient,
    ) -> Result<Self, StartError> {
        let address = settings.listen;
        let traffic = traffic_runtime("agent-traffic", settings.threads)?;
        let core = Arc::new(Core::new(settings, metrics, traffic.handle().clone()));
        let listener = traffic
            .block_on(TcpListener::bind(address))
            .map_err(|source| StartError::Listen { address, source })?;
        let address =
            listener.local_addr().map_err(|source| StartError::Listen { address, source })?;
        traffic.spawn(serve::serve(listener, core.clone()));
        let control = ControlThread::start("agent-control", control::run(core.clone(), store))?;
        spdlog::info!("agent started", kv: { server = core.settings.server.as_str() });
        Ok(RunningAgent { address, core, traffic: Some(traffic), control: Some(control) })
    }

    /// The address on which entries connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new work from now on.
    pub fn begin_drain(&self) {
        self.core.begin_drain();
    }

    /// Whether all admitted runs have ended and all frames have been fetched.
    pub fn is_drained(&self) -> bool {
        self.core.is_idle()
    }

    /// Refuses new work, waits until the agent is drained, and stops.
    ///
    /// Returns whether it was drained within the configured limit.
    pub async fn drain(mut self) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        self.begin_drain();
        let limit = self.core.settings.drain;
        let idle = async {
            while !self.is_drained() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let completed = tokio::time::timeout(limit, idle).await.is_ok();
        self.stop();
        completed
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
