//! Serving on a loopback port until the handle is dropped.

use std::{io, net::SocketAddr};

use poem::{
    IntoEndpoint, Server,
    listener::{Acceptor, Listener, TcpListener},
};
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
    let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await?;
    let address = acceptor
        .local_addr()
        .first()
        .and_then(|address| address.as_socket_addr().copied());
    let address = address.ok_or(io::ErrorKind::AddrNotAvailable)?;
    let server = Server::new_with_acceptor(acceptor);
    let task = tokio::spawn(async move {
        // NB: ends with the task; a failed accept is not the stand-in's concern.
        let _ = server.run(endpoint).await;
    });
    Ok(Listening { address, task })
}
