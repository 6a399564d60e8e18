//! The HTTP server for callers.

mod auth;
mod chat;
mod errors;
mod health;
mod intake;
mod service;

use std::{io, net::SocketAddr, sync::Arc};

use poem::{EndpointExt, Route, Server, get, post};
use pondwalk_listen::LimitedAcceptor;
use tokio::sync::oneshot;

use crate::core::Core;

/// Unit of the timeout of connections without a request in flight.
const IDLE_TIMEOUT_UNIT: std::time::Duration = std::time::Duration::from_secs(1);

/// A server that is bound but does not serve yet.
pub struct BoundServer {
    /// The address.
    pub address: SocketAddr,
    acceptor: LimitedAcceptor,
    core: Arc<Core>,
}

/// Binds the configured address.
pub async fn bind(core: Arc<Core>) -> io::Result<BoundServer> {
    let connections = core.settings.limits.connections;
    let acceptor = LimitedAcceptor::bind(core.settings.listen, connections).await?;
    let address = acceptor.address();
    Ok(BoundServer { address, acceptor, core })
}

impl BoundServer {
    /// Serves callers until `closed` resolves, then finishes the requests in flight.
    pub async fn run(self, closed: oneshot::Receiver<()>) -> io::Result<()> {
        let limit = self.core.settings.limits.drain;
        let route = Route::new()
            .at("/v1/chat/completions", post(chat::complete))
            .at("/v1/services/:service/*path", post(service::call))
            .at("/healthz", get(health::healthz))
            .at("/readyz", get(health::readyz))
            .at("/status", get(health::status))
            .data(self.core);
        let signal = async {
            // NB: a dropped sender also stops the server.
            let _ = closed.await;
        };
        Server::new_with_acceptor(self.acceptor)
            .idle_timeout(IDLE_TIMEOUT_UNIT * 60)
            .run_with_graceful_shutdown(route, signal, Some(limit))
            .await
    }
}
