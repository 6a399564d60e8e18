//! The callers' side: HTTP.

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

/// Time that a planned stop leaves to connections without a request under way.
const CLOSE_IDLE: std::time::Duration = std::time::Duration::from_secs(1);

/// A bound address that is not served yet.
pub struct Bound {
    /// The address.
    pub address: SocketAddr,
    acceptor: LimitedAcceptor,
    core: Arc<Core>,
}

/// Binds the settings' address.
pub async fn bind(core: Arc<Core>) -> io::Result<Bound> {
    let connections = core.settings.limits.connections;
    let acceptor = LimitedAcceptor::bind(core.settings.listen, connections).await?;
    let address = acceptor.address();
    Ok(Bound { address, acceptor, core })
}

impl Bound {
    /// Serves callers until `closed`, then finishes what is under way.
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
            // NB: a dropped sender means the same as one that fired.
            let _ = closed.await;
        };
        Server::new_with_acceptor(self.acceptor)
            .idle_timeout(CLOSE_IDLE * 60)
            .run_with_graceful_shutdown(route, signal, Some(limit))
            .await
    }
}
