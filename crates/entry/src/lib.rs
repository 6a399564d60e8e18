//! The entry: the process that serves callers.
//!
//! It authenticates callers, routes each request to a version and backend server, runs it through
//! the server's agent, streams or holds the answer, and bills it once. It keeps no durable state:
//! sessions carry their own pins, and bills are copied to an agent until they are stored.

mod agent_links;
mod agent_run;
mod answer;
mod bills;
mod calls;
mod claim;
mod configuration_watcher;
mod control;
mod coordinator;
mod core;
mod http;
mod incoming;
pub mod instances;
pub mod lease;
mod link;
mod pins;
mod rating;
mod serve;
mod spend;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use cadence::StatsdClient;
use pondwalk_config::EntrySettings;
use pondwalk_store::Store;
use pondwalk_threads::{ControlThread, StartError, traffic_runtime};
use tokio::{runtime::Runtime, sync::oneshot, task::JoinHandle};

use crate::core::Core;

/// A running entry; dropping it stops it immediately, without draining.
#[derive(Debug)]
pub struct RunningEntry {
    address: SocketAddr,
    core: Arc<Core>,
    traffic: Option<Runtime>,
    control: Option<ControlThread>,
    close: Option<oneshot::Sender<()>>,
    server: Option<JoinHandle<io::Result<()>>>,
}

impl RunningEntry {
    /// Starts an entry on its own threads.
    pub fn start(
        settings: EntrySettings,
        store: Store,
        metrics: StatsdClient,
    ) -> Result<Self, StartError> {
        let address = settings.listen;
        let traffic = traffic_runtime("entry-traffic", settings.threads)?;
        let guard = traffic.enter();
        let core = Arc::new(Core::new(settings, store, metrics, traffic.handle().clone()));
        drop(guard);
        let listening = traffic.block_on(http::bind(core.clone()));
        let listening = listening.map_err(|source| StartError::Listen { address, source })?;
        let address = listening.address;
        let (close, closed) = oneshot::channel();
        let server = traffic.spawn(listening.run(closed));
        let control = ControlThread::start("entry-control", control::run(core.clone()))?;
        spdlog::info!("entry started", kv: { instance = core.settings.instance.as_str() });
        Ok(RunningEntry {
            address,
            core,
            traffic: Some(traffic),
            control: Some(control),
            close: Some(close),
            server: Some(server),
        })
    }

    /// The address on which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a configuration is installed, an agent is connected, and the entry is not draining.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Reports the entry as not ready, finishes the requests in flight, and stops.
    ///
    /// Returns whether all requests ended and all bills were stored within the drain limit.
    pub async fn drain(mut self) -> bool {
        self.core.begin_drain();
        tokio::time::sleep(self.core.settings.unready_notice).await;
        let limit = self.core.settings.limits.drain;
        if let Some(close) = self.close.take() {
            // NB: fails only if the server has already stopped.
            let _ = close.send(());
        }
        let ended = match self.server.take() {
            Some(server) => tokio::time::timeout(limit, server).await.is_ok(),
            None => true,
        };
        let billed = tokio::time::timeout(limit, self.wait_for_bills()).await.is_ok();
        let Core { spend_slices, router, store, .. } = &*self.core;
        spend_slices.release_all(router, store).await;
        self.stop();
        ended && billed
    }

    async fn wait_for_bills(&self) {
        const POLL_INTERVAL: Duration = Duration::from_millis(20);
        while self.core.bills.backlog() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
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

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.stop();
    }
}
