//! Callers that read slowly or not at all: what is held for each, and what others notice of it.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{World, address, catalog, play, request, stream};
use http_body_util::{BodyExt, Full};
use hyper::{Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use pondwalk_standin::backends::Act;
use tokio::{io::duplex, task::spawn_local, time::sleep};

/// Bytes that the way between caller and entry, and between entry and server, carries before it is read.
const WAY_BYTES: usize = 64 * 1024;
/// Bytes that an entry may hold for one caller: what it has read from the server, what waits, and what it is
/// about to write.
const MOST_HELD: usize = 256 * 1024;

/// Sends a request over a way that carries little, and reads the head of the answer only.
async fn open(world: &World, path: &str, id: &str, way_bytes: usize) -> Response<Incoming> {
    let (near, far) = duplex(way_bytes);
    let entry = world.entry.clone();
    spawn_local(async move { entry.serve(far).await });
    let handshake = http1::Builder::new().max_buf_size(8 * 1024).handshake(TokioIo::new(near));
    let (mut sender, connection) = handshake.await.expect("open");
    spawn_local(async move { connection.await.unwrap_or_default() });
    let answer: Response<Incoming> = sender
        .send_request(request(path, id) as hyper::Request<Full<Bytes>>)
        .await
        .expect("an answer");
    // NB: the connection stays open as long as the sender does.
    spawn_local(async move {
        let _sender = sender;
        sleep(Duration::from_secs(3_600)).await;
    });
    answer
}

fn endless() -> Act {
    Act::Stream { last: 1_000_000, gap: Duration::from_micros(10), confidence: None, cut_in: None }
}

#[test]
fn a_server_gets_rid_of_a_usual_answer_though_its_caller_reads_nothing() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", stream(600, None));
        world.start().await;
        let answer = open(&world, "/fixed/", "r1", 512).await;
        sleep(Duration::from_secs(60)).await;
        let whole: usize = common::events(1..=600).len();
        assert_eq!(
            world.backends.taken_bytes(address(1)),
            whole,
            "the server still holds some of it"
        );
        let read = answer.into_body().collect().await.expect("a whole answer");
        assert_eq!(read.to_bytes().len(), whole);
    });
}

#[test]
fn what_is_held_for_many_slow_callers_is_bounded_and_others_are_served() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", endless());
        world.start().await;
        let callers = 50;
        let mut answers = Vec::new();
        for n in 0..callers {
            answers.push(open(&world, "/fixed/", &format!("slow{n}"), 512).await);
        }
        sleep(Duration::from_secs(6)).await;
        let held = world.backends.taken_bytes(address(1)) / callers;
        assert!(held > 32 * 1024, "{held} bytes: nothing waits for a slow caller");
        assert!(held <= MOST_HELD + WAY_BYTES, "{held} bytes are held for each slow caller");
        world.backends.does(address(1), Act::Answer(200, "made".into()));
        assert_eq!(world.ask(request("/again/", "quick")).await.status, 200);
        drop(answers);
    });
}
