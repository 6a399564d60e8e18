//! Serving at an address until the handle is dropped.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use poem::{IntoEndpoint, Server};
use pondwalk_listen::LimitedAcceptor;
use tokio::task::JoinHandle;

/// A listening stand-in; stops when dropped.
#[derive(Debug)]
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A loopback port that the system chooses.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Serves an endpoint at an address.
pub async fn listen<E>(address: SocketAddr, endpoint: E) -> io::Result<Listening>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: Send + Sync + 'static,
{
    const CONNECTIONS: usize = 100_000;
    let acceptor = LimitedAcceptor::bind(address, CONNECTIONS).await?;
    let address = acceptor.address();
    let server = Server::new_with_acceptor(acceptor);
    let task = tokio::spawn(async move {
        // NB: ends with the task; a failed accept is not the stand-in's concern.
        let _ = server.run(endpoint).await;
    });
    Ok(Listening { address, task })
}
