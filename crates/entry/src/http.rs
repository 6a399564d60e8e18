//! The callers' side: HTTP.

mod acceptor;
mod auth;
mod chat;
mod errors;
mod health;
mod intake;
mod service;

use std::{io, net::SocketAddr, sync::Arc};

use poem::{
    EndpointExt, Route, Server, get,
    listener::{Acceptor, Listener, TcpListener},
    post,
};
use tokio::sync::oneshot;

use crate::core::Core;
use acceptor::LimitedAcceptor;

/// Time that a planned stop leaves to connections without a request under way.
const CLOSE_IDLE: std::time::Duration = std::time::Duration::from_secs(1);

/// A bound address that is not served yet.
pub struct Bound<A> {
    /// The address.
    pub address: SocketAddr,
    acceptor: A,
    core: Arc<Core>,
}

/// Binds the settings' address.
pub async fn bind(core: Arc<Core>) -> io::Result<Bound<impl Acceptor + 'static>> {
    let listener = TcpListener::bind(core.settings.listen.to_string());
    let acceptor = listener.into_acceptor().await?;
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|a| a.as_socket_addr().copied());
    let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let acceptor = LimitedAcceptor::new(acceptor, core.settings.limits.connections);
    Ok(Bound {
        address,
        acceptor,
        core,
    })
}

impl<A: Acceptor + 'static> Bound<A> {
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
