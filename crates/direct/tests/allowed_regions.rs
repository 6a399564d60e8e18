//! Requests that must stay within allowed regions, in every way in which a request can be sent to a
//! server.

mod common;

use std::time::Duration;

use common::{World, address, catalog_in_regions, request, run_test_with, stream, with};
use pondwalk_standin::backends::Behaviour;
use tokio::time::sleep;

/// The entry itself is in another region, whose servers are closer to it.
const REGION_SETTINGS: &str = "regions=dc1:east,dc2:west,dc3:west\n";

/// Servers 1 and 2 in the allowed region, and 3 to 6, which always succeed, outside it.
async fn set_up(world: &World, service: &str, inside: Behaviour, outside: Behaviour) {
    world.configure(catalog_in_regions(1, &["west"], &[]));
    for n in 1..=2 {
        world.backends.start(address(n), &format!("s{n}"), inside.clone());
        world.list_server_in("dc3", n, service, "v1", "ready");
    }
    for n in 3..=6 {
        world.backends.start(address(n), &format!("s{n}"), outside.clone());
        world.list_server_in("dc1", n, service, "v1", "ready");
    }
    world.start().await;
}

fn ran_outside_region(world: &World) -> usize {
    (3..=6).map(|n| world.backends.requests(address(n)).len()).sum()
}

fn ran_in_region(world: &World) -> usize {
    (1..=2).map(|n| world.backends.requests(address(n)).len()).sum()
}

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

#[test]
fn request_runs_in_allowed_region_only() {
    run_test_with(REGION_SETTINGS, |world| async move {
        set_up(&world, "s", ok_response(), ok_response()).await;
        for n in 0..40 {
            let path = ["/once/", "/again/"][n % 2];
            assert_eq!(world.call(request(path, &format!("r{n}"))).await.status, 200);
        }
        assert_eq!((ran_in_region(&world), ran_outside_region(&world)), (40, 0));
    });
}

#[test]
fn retry_stays_in_allowed_region() {
    for fails in
        [Behaviour::Answer(500, "failed".into()), Behaviour::NotRun(503), Behaviour::DropResponse]
    {
        run_test_with(REGION_SETTINGS, |world| async move {
            set_up(&world, "s", fails, ok_response()).await;
            for n in 0..20 {
                let response = world.call(request("/again/", &format!("r{n}"))).await;
                assert_ne!(response.status, 200);
            }
            assert_eq!(ran_outside_region(&world), 0);
        });
    }
}

#[test]
fn silent_server_is_not_replaced_outside_the_region() {
    run_test_with(REGION_SETTINGS, |world| async move {
        set_up(&world, "s", Behaviour::Silent, ok_response()).await;
        let sent = with(request("/again/", "r1"), "pondwalk-deadline-ms", "4000");
        assert_ne!(world.call(sent).await.status, 200);
        assert_eq!(ran_outside_region(&world), 0);
    });
}

#[test]
fn broken_stream_is_resumed_in_allowed_region() {
    run_test_with(REGION_SETTINGS, |world| async move {
        let gap = Duration::from_millis(10);
        let broken = Behaviour::Stream { last: 9, gap, confidence: None, cut_in: Some(4) };
        set_up(&world, "s", broken, stream(9, None)).await;
        assert!(!world.call(request("/stream/", "r1")).await.is_complete);
        assert_eq!(ran_outside_region(&world), 0);
        assert!(ran_in_region(&world) > 1);
    });
}

#[test]
fn escalation_stays_in_allowed_region() {
    run_test_with(REGION_SETTINGS, |world| async move {
        set_up(&world, "m", stream(3, Some(5)), stream(3, Some(99))).await;
        for n in 0..10 {
            let sent = request("/models/", &format!("r{n}"));
            world.call(with(sent, "pondwalk-model", "auto")).await;
        }
        assert_eq!(ran_outside_region(&world), 0);
        assert!(ran_in_region(&world) > 10, "some were retried");
    });
}

#[test]
fn callers_are_refused_at_once_without_server_in_region() {
    run_test_with(REGION_SETTINGS, |world| async move {
        set_up(&world, "s", ok_response(), ok_response()).await;
        for n in 1..=2 {
            world.store.remove(&format!("server/s{n}"));
        }
        sleep(Duration::from_secs(5)).await;
        let before = tokio::time::Instant::now();
        let response = world.call(request("/again/", "r1")).await;
        assert_eq!(response.status, 503);
        assert!(response.body.contains("no_server_at_home"), "{}", response.body);
        assert!(before.elapsed() < Duration::from_millis(50));
        assert_eq!(ran_outside_region(&world), 0);
        // Another data centre of the region is equally allowed.
        world.backends.start(address(9), "s9", ok_response());
        world.list_server_in("dc2", 9, "s", "v1", "ready");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(world.call(request("/again/", "r2")).await.status, 200);
    });
}

#[test]
fn data_centre_of_unknown_region_is_not_used() {
    run_test_with("", |world| async move {
        set_up(&world, "s", ok_response(), ok_response()).await;
        assert_eq!(world.call(request("/again/", "r1")).await.status, 503);
        assert_eq!(ran_in_region(&world) + ran_outside_region(&world), 0);
    });
}

#[test]
fn regions_allowed_by_both_route_and_workspace_are_used() {
    let both = [(&["west", "east"][..], &["west"][..]), (&[], &["west"]), (&["west"], &["west"])];
    for (routes, workspace) in both {
        run_test_with(REGION_SETTINGS, |world| async move {
            set_up(&world, "s", ok_response(), ok_response()).await;
            world.configure(catalog_in_regions(2, routes, workspace));
            sleep(Duration::from_secs(2)).await;
            for n in 0..10 {
                assert_eq!(world.call(request("/again/", &format!("r{n}"))).await.status, 200);
            }
            assert_eq!(ran_outside_region(&world), 0);
        });
    }
    run_test_with(REGION_SETTINGS, |world| async move {
        set_up(&world, "s", ok_response(), ok_response()).await;
        world.configure(catalog_in_regions(2, &["west"], &["east"]));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.call(request("/again/", "r")).await.status, 503);
    });
}
