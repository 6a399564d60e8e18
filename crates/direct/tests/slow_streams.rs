//! Streams that would miss their deadline at a slow server: moved exactly, at most once, and kept
//! if no other server takes them.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{World, address, catalog, events, request, run_test_with, total, with};
use http_body_util::Full;
use hyper::Request;
use pondwalk_decide::direct::LoadSummary;
use pondwalk_standin::backends::Behaviour;
use tokio::{task::spawn_local, time::sleep};

const SWITCHES: &str = "[policy]\nshared_load=true\nslow_streams=true\n";
/// Time between events at which a hundred events take 20 s, longer than the 8 s of the request.
const SLOW_GAP: Duration = Duration::from_millis(200);

fn stream(last: u32, gap: Duration) -> Behaviour {
    Behaviour::Stream { last, gap, confidence: None, cut_in: None }
}

/// A request for a stream of at most a hundred tokens, one for each event.
fn hundred_tokens(id: &str) -> Request<Full<Bytes>> {
    with(request("/stream/", id), "pondwalk-token-usage", "10,100")
}

/// Starts one server of each behaviour, and keeps the entry's view of the other entries fresh.
async fn start(world: &World, behaviours: [Behaviour; 2]) {
    world.configure(catalog(1));
    for (n, behaviour) in (1..).zip(behaviours) {
        world.start_server(n, "s", "v1", behaviour);
    }
    world.start().await;
    let entry = world.entry.clone();
    spawn_local(async move {
        loop {
            entry.simulate_peer_load(&LoadSummary::default());
            sleep(Duration::from_millis(10)).await;
        }
    });
}

fn moved(world: &World) -> u64 {
    total(std::slice::from_ref(&world.entry), "pondwalk_streams_moved_total")
}

/// Guards against events that are lost or repeated when a stream is moved, and against slow streams
/// that end at their deadline while another server is quick.
#[test]
fn slow_stream_is_moved_exactly() {
    run_test_with(SWITCHES, |world| async move {
        let quick = Duration::from_millis(20);
        start(&world, [stream(100, SLOW_GAP), stream(100, quick)]).await;
        for number in 0..6 {
            let response = world.call(hundred_tokens(&format!("r{number}"))).await;
            assert_eq!((response.body, response.is_complete), (events(1..=100), true));
        }
        assert!(moved(&world) > 0);
    });
}

/// Guards against streams that are sent from server to server when all are slow.
#[test]
fn stream_is_moved_once() {
    run_test_with(SWITCHES, |world| async move {
        start(&world, [stream(100, SLOW_GAP), stream(100, SLOW_GAP)]).await;
        let response = world.call(hundred_tokens("r1")).await;
        assert!(!response.is_complete);
        assert!(events(1..=100).starts_with(&response.body), "{}", response.body);
        assert_eq!(moved(&world), 1);
        assert_eq!(world.backends.runs(), 2);
    });
}

/// Guards against streams that are cut when the move fails.
#[test]
fn stream_is_kept_if_no_other_server_takes_it() {
    run_test_with(SWITCHES, |world| async move {
        start(&world, [stream(30, SLOW_GAP), Behaviour::NotRun(503)]).await;
        for number in 0..4 {
            let response = world.call(hundred_tokens(&format!("r{number}"))).await;
            assert_eq!((response.body, response.is_complete), (events(1..=30), true));
        }
        assert_eq!(moved(&world), 0);
        let refused = world.backends.requests(address(2));
        let is_resumed = |request: &&_| is_resumed(request);
        assert!(refused.iter().filter(is_resumed).count() > 0, "no move was tried");
    });
}

fn is_resumed(request: &pondwalk_standin::backends::ReceivedRequest) -> bool {
    request.headers.contains_key("last-event-id")
}

/// Guards against moves where the switches are off or the other entries' work is not known: many
/// entries that move streams by their own requests alone overload the servers that are left.
#[test]
fn stream_is_not_moved_without_a_view() {
    for switches in ["", "[policy]\nshared_load=true\n", "[policy]\nslow_streams=true\n", SWITCHES]
    {
        run_test_with(switches, |world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", stream(30, SLOW_GAP));
            world.start_server(2, "s", "v1", stream(30, SLOW_GAP));
            world.start().await;
            let response = world.call(hundred_tokens("r1")).await;
            assert_eq!((response.body, response.is_complete), (events(1..=30), true));
            assert_eq!((moved(&world), world.backends.runs()), (0, 1));
        });
    }
}
