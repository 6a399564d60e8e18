//! Requests that must not leave a region, in every way in which one can go to a server.

mod common;

use std::time::Duration;

use common::{World, address, catalog_in_regions, play_with, request, stream, with};
use pondwalk_standin::backends::Act;
use tokio::time::sleep;

/// The entry itself stands abroad, where servers are nearer to it.
const REGIONS: &str = "regions=dc1:east,dc2:west,dc3:west\n";

/// Servers 1 and 2 at home, and 3 to 6, which answer everything well, abroad.
async fn prepare(world: &World, service: &str, at_home: Act, abroad: Act) {
    world.configure(catalog_in_regions(1, &["west"], &[]));
    for n in 1..=2 {
        world.backends.start(address(n), &format!("s{n}"), at_home.clone());
        world.list_server_in("dc3", n, service, "v1", "ready");
    }
    for n in 3..=6 {
        world.backends.start(address(n), &format!("s{n}"), abroad.clone());
        world.list_server_in("dc1", n, service, "v1", "ready");
    }
    world.start().await;
}

fn ran_abroad(world: &World) -> usize {
    (3..=6).map(|n| world.backends.seen(address(n)).len()).sum()
}

fn ran_at_home(world: &World) -> usize {
    (1..=2).map(|n| world.backends.seen(address(n)).len()).sum()
}

fn made() -> Act {
    Act::Answer(200, "made".into())
}

#[test]
fn a_request_runs_at_home_only() {
    play_with(REGIONS, |world| async move {
        prepare(&world, "s", made(), made()).await;
        for n in 0..40 {
            let path = ["/once/", "/again/"][n % 2];
            assert_eq!(world.ask(request(path, &format!("r{n}"))).await.status, 200);
        }
        assert_eq!((ran_at_home(&world), ran_abroad(&world)), (40, 0));
    });
}

#[test]
fn a_repeat_does_not_leave() {
    for fails in [Act::Answer(500, "failed".into()), Act::NotRun(503), Act::LoseAnswer] {
        play_with(REGIONS, |world| async move {
            prepare(&world, "s", fails, made()).await;
            for n in 0..20 {
                let answer = world.ask(request("/again/", &format!("r{n}"))).await;
                assert_ne!(answer.status, 200);
            }
            assert_eq!(ran_abroad(&world), 0);
        });
    }
}

#[test]
fn a_silent_server_at_home_is_not_left_for_one_abroad() {
    play_with(REGIONS, |world| async move {
        prepare(&world, "s", Act::Silent, made()).await;
        let asked = with(request("/again/", "r1"), "pondwalk-deadline-ms", "4000");
        assert_ne!(world.ask(asked).await.status, 200);
        assert_eq!(ran_abroad(&world), 0);
    });
}

#[test]
fn a_stream_that_breaks_is_resumed_at_home() {
    play_with(REGIONS, |world| async move {
        let gap = Duration::from_millis(10);
        let broken = Act::Stream { last: 9, gap, confidence: None, cut_in: Some(4) };
        prepare(&world, "s", broken, stream(9, None)).await;
        assert!(!world.ask(request("/stream/", "r1")).await.whole);
        assert_eq!(ran_abroad(&world), 0);
        assert!(ran_at_home(&world) > 1);
    });
}

#[test]
fn a_larger_model_is_asked_at_home() {
    play_with(REGIONS, |world| async move {
        prepare(&world, "m", stream(3, Some(5)), stream(3, Some(99))).await;
        for n in 0..10 {
            let asked = request("/models/", &format!("r{n}"));
            world.ask(with(asked, "pondwalk-model", "auto")).await;
        }
        assert_eq!(ran_abroad(&world), 0);
        assert!(ran_at_home(&world) > 10, "some were asked again");
    });
}

#[test]
fn with_no_server_left_at_home_callers_hear_so_at_once() {
    play_with(REGIONS, |world| async move {
        prepare(&world, "s", made(), made()).await;
        for n in 1..=2 {
            world.store.remove(&format!("server/s{n}"));
        }
        sleep(Duration::from_secs(5)).await;
        let before = tokio::time::Instant::now();
        let answer = world.ask(request("/again/", "r1")).await;
        assert_eq!(answer.status, 503);
        assert!(answer.body.contains("no_server_at_home"), "{}", answer.body);
        assert!(before.elapsed() < Duration::from_millis(50));
        assert_eq!(ran_abroad(&world), 0);
        // Another data centre of the region is as good.
        world.backends.start(address(9), "s9", made());
        world.list_server_in("dc2", 9, "s", "v1", "ready");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(world.ask(request("/again/", "r2")).await.status, 200);
    });
}

#[test]
fn where_the_region_of_a_data_centre_is_not_known_it_is_no_home() {
    play_with("", |world| async move {
        prepare(&world, "s", made(), made()).await;
        assert_eq!(world.ask(request("/again/", "r1")).await.status, 503);
        assert_eq!(ran_at_home(&world) + ran_abroad(&world), 0);
    });
}

#[test]
fn what_route_and_workspace_both_allow_counts() {
    let both = [(&["west", "east"][..], &["west"][..]), (&[], &["west"]), (&["west"], &["west"])];
    for (routes, workspace) in both {
        play_with(REGIONS, |world| async move {
            prepare(&world, "s", made(), made()).await;
            world.configure(catalog_in_regions(2, routes, workspace));
            sleep(Duration::from_secs(2)).await;
            for n in 0..10 {
                assert_eq!(world.ask(request("/again/", &format!("r{n}"))).await.status, 200);
            }
            assert_eq!(ran_abroad(&world), 0);
        });
    }
    play_with(REGIONS, |world| async move {
        prepare(&world, "s", made(), made()).await;
        world.configure(catalog_in_regions(2, &["west"], &["east"]));
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.ask(request("/again/", "r")).await.status, 503);
    });
}
