//! The wait for a response head where the other entries' work is known.

mod common;

use std::time::Duration;

use common::{World, address, catalog, request, run_test_with};
use hyper::StatusCode;
use pondwalk_decide::direct::{LoadSummary, ServerInfo, ServerWork, server_key};
use pondwalk_standin::backends::Behaviour;
use tokio::{task::spawn_local, time::sleep};

const SWITCHES: &str = "[policy]\nshared_load=true\n";

/// Starts two servers where the other entries keep so much prefill queued, in milliseconds.
async fn start(world: &World, behaviours: [Behaviour; 2], queued_ms: f32) {
    world.configure(catalog(1));
    let mut peers = LoadSummary::default();
    for (n, behaviour) in (1..).zip(behaviours) {
        world.start_server(n, "s", "v1", behaviour);
        let info = ServerInfo {
            id: format!("s{n}"),
            born_ms: Some(0),
            address: address(n),
            data_centre: "dc1".into(),
            version: "v1".into(),
            slots: 8,
            ready: true,
            cold_until: Duration::ZERO,
        };
        let work = ServerWork { queued_ms, waiting: 1, ..ServerWork::default() };
        peers.servers.insert(server_key(&info), work);
    }
    world.start().await;
    let entry = world.entry.clone();
    spawn_local(async move {
        loop {
            entry.simulate_peer_load(&peers);
            sleep(Duration::from_millis(10)).await;
        }
    });
    sleep(Duration::from_millis(20)).await;
}

/// Guards against requests that leave a busy server for one that is as busy, which costs their
/// place in the queue and a further send. The load is that of a burst: 5 s of prefill at each
/// server.
#[test]
fn request_waits_on_if_all_servers_are_as_busy() {
    run_test_with(SWITCHES, |world| async move {
        start(&world, [Behaviour::Silent, Behaviour::Silent], 5_000.0).await;
        let response = world.call(request("/again/", "r1")).await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(world.backends.runs(), 1);
    });
}

/// Guards against requests that stay at a silent server because of the view.
#[test]
fn silent_server_is_left() {
    for queued_ms in [0.0, 100.0, 400.0] {
        run_test_with(SWITCHES, |world| async move {
            let answer = Behaviour::Answer(200, "made".into());
            start(&world, [Behaviour::Silent, answer], queued_ms).await;
            for number in 0..6 {
                let response = world.call(request("/again/", &format!("r{number}"))).await;
                assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "made"));
            }
            assert!(!world.backends.requests(address(1)).is_empty(), "the silent server is unused");
        });
    }
}
