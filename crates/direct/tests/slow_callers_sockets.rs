//! Callers that read slowly, on real sockets: what the operating system does is not part of a
//! simulated connection.

mod common;

use std::{net::Ipv4Addr, time::Duration};

use common::{World, catalog, events, run_test_on_sockets};
use pondwalk_standin::backends::Behaviour;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::spawn_local,
    time::sleep,
};

/// Receive buffer of the caller, which a response fills within milliseconds.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
const LAST_EVENT: u32 = 2_000;

async fn connect(world: &World) -> TcpStream {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    spawn_local(world.entry.clone().accept(listener));
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer size");
    socket.connect(address).await.expect("open")
}

/// Guards against a limit on unacknowledged bytes that also ends the connections of callers whose
/// receive window is closed: they were cut after 2.5 s without reading.
#[test]
fn caller_that_pauses_for_seconds_gets_the_whole_response() {
    run_test_on_sockets(|world| async move {
        world.configure(catalog(1));
        let gap = Duration::from_millis(1);
        let long = Behaviour::Stream { last: LAST_EVENT, gap, confidence: None, cut_in: None };
        world.start_server(1, "s", "v1", long);
        world.start().await;
        let mut caller = connect(&world).await;
        let request = "POST /fixed/ HTTP/1.1\r\nhost: h.example\r\nx-request-id: r1\r\n\
            pondwalk-deadline-ms: 60000\r\nauthorization: Bearer k1\r\n\
            connection: close\r\ncontent-length: 0\r\n\r\n";
        caller.write_all(request.as_bytes()).await.expect("sent");
        sleep(Duration::from_secs(6)).await;
        let mut response = Vec::new();
        caller.read_to_end(&mut response).await.expect("an open connection");
        let text = String::from_utf8_lossy(&response);
        assert!(text.contains(events(LAST_EVENT..=LAST_EVENT).trim_end()), "not whole");
        assert!(text.ends_with("0\r\n\r\n"), "not complete");
    });
}

/// Guards against refusals that are lost because the rest of the request was not read: the
/// connection was reset.
#[test]
fn refusal_reaches_a_caller_that_is_still_sending_its_body() {
    run_test_on_sockets(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Echo);
        world.start().await;
        for n in 0..20 {
            let mut caller = connect(&world).await;
            let head = format!(
                "POST /nowhere/ HTTP/1.1\r\nhost: h.example\r\nx-request-id: r{n}\r\n\
                 content-length: 200000\r\n\r\n"
            );
            caller.write_all(head.as_bytes()).await.expect("sent");
            for _ in 0..10 {
                caller.write_all(&[b'x'; 20_000]).await.expect("an open connection");
                sleep(Duration::from_millis(5)).await;
            }
            let mut response = Vec::new();
            caller.read_to_end(&mut response).await.expect("an open connection");
            let text = String::from_utf8_lossy(&response);
            assert!(text.starts_with("HTTP/1.1 404") && text.ends_with("false}"), "{text}");
        }
    });
}
