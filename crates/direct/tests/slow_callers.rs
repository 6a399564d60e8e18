//! Callers that read slowly or not at all: the memory used for each, and the effect on other
//! callers.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{World, address, catalog, request, run_test, stream};
use http_body_util::{BodyExt, Full};
use hyper::{Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use pondwalk_standin::backends::Behaviour;
use tokio::{io::duplex, task::spawn_local, time::sleep};

/// Bytes that a connection between caller and entry, or entry and server, buffers.
const CONNECTION_BYTES: usize = 64 * 1024;
/// Bytes that an entry may buffer for one caller: read from the server, waiting, and about to be
/// written.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Sends a request over a connection with a small buffer, and reads only the response head.
async fn open(world: &World, path: &str, id: &str, connection_bytes: usize) -> Response<Incoming> {
    let (client_end, server_end) = duplex(connection_bytes);
    let entry = world.entry.clone();
    spawn_local(async move { entry.serve(server_end).await });
    let handshake =
        http1::Builder::new().max_buf_size(8 * 1024).handshake(TokioIo::new(client_end));
    let (mut sender, connection) = handshake.await.expect("open");
    spawn_local(async move { connection.await.unwrap_or_default() });
    let response: Response<Incoming> = sender
        .send_request(request(path, id) as hyper::Request<Full<Bytes>>)
        .await
        .expect("a response");
    // The connection stays open until the sender is dropped.
    spawn_local(async move {
        let _sender = sender;
        sleep(Duration::from_secs(3_600)).await;
    });
    response
}

fn endless() -> Behaviour {
    Behaviour::Stream {
        last: 1_000_000,
        gap: Duration::from_micros(10),
        confidence: None,
        cut_in: None,
    }
}

#[test]
fn usual_response_is_buffered_if_its_caller_does_not_read() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", stream(600, None));
        world.start().await;
        let response = open(&world, "/fixed/", "r1", 512).await;
        sleep(Duration::from_secs(60)).await;
        let length: usize = common::events(1..=600).len();
        assert_eq!(
            world.backends.streamed_bytes(address(1)),
            length,
            "the server still holds some of it"
        );
        let read = response.into_body().collect().await.expect("a complete response");
        assert_eq!(read.to_bytes().len(), length);
    });
}

#[test]
fn buffers_of_slow_callers_are_bounded_and_others_are_served() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", endless());
        world.start().await;
        let callers = 50;
        let mut responses = Vec::new();
        for n in 0..callers {
            responses.push(open(&world, "/fixed/", &format!("slow{n}"), 512).await);
        }
        sleep(Duration::from_secs(6)).await;
        let buffered = world.backends.streamed_bytes(address(1)) / callers;
        assert!(buffered > 32 * 1024, "{buffered} bytes: nothing is buffered for a slow caller");
        assert!(
            buffered <= MAX_BUFFERED_BYTES + CONNECTION_BYTES,
            "{buffered} bytes are buffered for each slow caller"
        );
        world.backends.set_behaviour(address(1), Behaviour::Answer(200, "made".into()));
        assert_eq!(world.call(request("/again/", "quick")).await.status, 200);
        drop(responses);
    });
}
