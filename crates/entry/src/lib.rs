//! The entry: the process that callers reach.
//!
//! It checks who calls, decides which version and backend server answer, hands the work to that
//! server's agent, streams or holds the answer, and bills it once. Nothing that must last is kept
//! here: sessions carry their own pins, and bills are held by an agent too until they are durable.

mod answer;
mod bills;
mod calls;
mod claim;
mod conductor;
mod control;
mod core;
mod fleet;
mod http;
mod incoming;
pub mod instances;
pub mod lease;
mod link;
mod pins;
mod rating;
mod serve;
mod spend;
mod step;
mod watcher;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use cadence::StatsdClient;
use pondwalk_config::EntrySettings;
use pondwalk_store::Store;
use pondwalk_threads::{ControlThread, StartError, traffic_threads};
use tokio::{runtime::Runtime, sync::oneshot, task::JoinHandle};

use crate::core::Core;

/// A running entry; dropping it stops it at once, as a failure would.
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
    /// Starts an entry on threads of its own.
    pub fn start(
        settings: EntrySettings,
        store: Store,
        metrics: StatsdClient,
    ) -> Result<Self, StartError> {
        let address = settings.listen;
        let traffic = traffic_threads("entry-traffic", settings.threads)?;
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

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Whether a configuration is in force and some server is connected.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Tells the balancer to send no more, finishes what is under way, and stops.
    ///
    /// Returns whether all of it ended within the settings' limit.
    pub async fn drain(mut self) -> bool {
        self.core.begin_drain();
        tokio::time::sleep(self.core.settings.unready_notice).await;
        let limit = self.core.settings.limits.drain;
        if let Some(close) = self.close.take() {
            // NB: the server may have failed already, and then there is nothing to close.
            let _ = close.send(());
        }
        let ended = match self.server.take() {
            Some(server) => tokio::time::timeout(limit, server).await.is_ok(),
            None => true,
        };
        let billed = tokio::time::timeout(limit, self.write_bills()).await.is_ok();
        let Core { slices, router, store, .. } = &*self.core;
        slices.give_back_all(router, store).await;
        self.stop();
        ended && billed
    }

    async fn write_bills(&self) {
        const POLL: Duration = Duration::from_millis(20);
        while self.core.bills.backlog() > 0 {
            tokio::time::sleep(POLL).await;
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
