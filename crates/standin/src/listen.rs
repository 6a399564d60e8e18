//! Serving on a loopback port until the handle is dropped.

use std::{io, net::SocketAddr};

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

/// Serves an endpoint on a free loopback port.
pub async fn listen<E>(endpoint: E) -> io::Result<Listening>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: Send + Sync + 'static,
{
    const CONNECTIONS: usize = 100_000;
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let acceptor = LimitedAcceptor::bind(any_port, CONNECTIONS).await?;
    let address = acceptor.address();
    let server = Server::new_with_acceptor(acceptor);
    let task = tokio::spawn(async move {
        // NB: ends with the task; a failed accept is not the stand-in's concern.
        let _ = server.run(endpoint).await;
    });
    Ok(Listening { address, task })
}
