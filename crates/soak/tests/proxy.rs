//! Ways between processes: they pass on, go silent, and are reset.

use std::{io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_soak::proxy::Proxy;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{LocalSet, spawn_local},
    time::timeout,
};

/// Time in which nothing must come on a way that is silent.
const SILENT_FOR: Duration = Duration::from_millis(200);

/// Plays a test on a way to a server that sends back what it reads.
fn with_way<F: Future<Output = ()>>(test: impl FnOnce(Rc<Proxy>, SocketAddr) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let server = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let to = server.local_addr().expect("an address");
        spawn_local(async move {
            while let Ok((stream, _)) = server.accept().await {
                spawn_local(async move {
                    let (mut read, mut write) = stream.into_split();
                    tokio::io::copy(&mut read, &mut write).await.unwrap_or_default();
                });
            }
        });
        let at = TcpListener::bind("127.0.0.1:0").await.expect("a port").local_addr();
        let at = at.expect("an address");
        let way = Proxy::start(at, to).await.expect("it listens");
        test(way, at).await;
    });
}

async fn opened(at: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("it opens");
    assert_eq!(answer(&mut stream).await.expect("an answer"), *b"ping");
    stream
}

async fn answer(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    stream.write_all(b"ping").await?;
    let mut read = [0; 4];
    stream.read_exact(&mut read).await?;
    Ok(read)
}

#[test]
fn a_silent_connection_says_nothing_while_new_ones_work() {
    with_way(|way, at| async move {
        let mut stream = opened(at).await;
        way.silence();
        assert!(timeout(SILENT_FOR, answer(&mut stream)).await.is_err());
        opened(at).await;
    });
}

#[test]
fn a_connection_is_reset_and_new_ones_work() {
    with_way(|way, at| async move {
        let mut stream = opened(at).await;
        way.reset();
        let mut rest = [0; 4];
        let ended = stream.read(&mut rest).await.expect_err("a reset");
        assert_eq!(ended.kind(), ErrorKind::ConnectionReset);
        opened(at).await;
    });
}
