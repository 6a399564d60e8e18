//! HTTP listener that serves an endpoint until its handle is dropped.

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
};

use poem::{IntoEndpoint, Server};
use pondwalk_listen::LimitedAcceptor;
use tokio::task::JoinHandle;

/// Handle on a listening stand-in; dropping it stops the listener.
#[derive(Debug)]
pub struct Listening {
    /// Address that the listener is bound to.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Loopback address with port 0: the operating system chooses a free port.
pub const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Binds `address` and serves `endpoint` on a task of its own.
///
/// Returns an error if the address cannot be bound.
pub async fn listen<E>(address: SocketAddr, endpoint: E) -> io::Result<Listening>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: Send + Sync + 'static,
{
    const MAX_CONNECTIONS: usize = 100_000;
    let acceptor = LimitedAcceptor::bind(address, MAX_CONNECTIONS).await?;
    let address = acceptor.address();
    let server = Server::new_with_acceptor(acceptor);
    let task = tokio::spawn(async move {
        // NB: the server runs until the task is aborted; errors of accept are ignored.
        let _ = server.run(endpoint).await;
    });
    Ok(Listening { address, task })
}
