//! Evacuated data centres, cold servers, restarted servers, and unreadable store entries.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{TestResponse, World, address, catalog, request, run_test_with, with};
use pondwalk_decide::direct::WarmUp;
use pondwalk_direct::catalog::Catalog;
use pondwalk_standin::{backends::Behaviour, memory_store::FaultMode};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

/// Settings of a listed entry whose servers take 14 requests a second while cold.
const COLD_SETTINGS: &str =
    "peers=127.0.0.1:4\n[warm_up]\novershoot=1.5\ntolerance=5\nheartbeat_ms=1200\n";
/// Requests that a cold server may get in a second: 14 x 1.5 + 5.
const MAX_PER_SECOND: usize = 26;

fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

/// The usual configuration, with services that warm up.
fn warming(version: u64) -> Catalog {
    let warm_up = WarmUp { time: Duration::from_secs(3), requests_per_s: 14.0 };
    common::catalog_warming(version, Some(warm_up))
}

/// Lists a server in a data centre, with its remaining warm-up time and start time.
fn list(world: &World, n: u16, data_centre: &str, cold_ms: u64, born_ms: u64) {
    let value = format!("s {} {data_centre} v1 ready {cold_ms} {born_ms}", address(n));
    world.store.put(&format!("server/s{n}"), &value);
}

fn start(world: &World, n: u16, data_centre: &str) {
    world.backends.start(address(n), &format!("s{n}"), ok_response());
    list(world, n, data_centre, 0, 1);
}

async fn call(world: &World, id: &str) -> TestResponse {
    world.call(request("/again/x", id)).await
}

/// Requests that were read by these servers.
fn request_counts(world: &World, servers: std::ops::RangeInclusive<u16>) -> Vec<usize> {
    servers.map(|n| world.backends.requests(address(n)).len()).collect()
}

fn set_up(world: &World) {
    world.configure(warming(1));
    start(world, 1, "dc1");
    start(world, 2, "dc2");
}

#[test]
fn evacuated_data_centre_gets_no_requests_until_revoked() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.start().await;
        assert_eq!(call(&world, "r0").await.status.as_u16(), 200);
        assert_eq!(request_counts(&world, 1..=2), [1, 0], "the local server is used");
        world.store.put("evacuate/dc1", "{}");
        sleep(Duration::from_millis(900)).await;
        for n in 0..20 {
            assert_eq!(call(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        assert_eq!(request_counts(&world, 1..=2), [1, 20]);
        world.store.remove("evacuate/dc1");
        sleep(Duration::from_millis(5_000)).await;
        call(&world, "back").await;
        assert_eq!(request_counts(&world, 1..=2), [2, 20]);
    });
}

#[test]
fn callers_are_refused_at_once_if_all_data_centres_are_evacuated() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.start().await;
        world.store.put("evacuate/dc1", "{}");
        world.store.put("evacuate/dc2", "{}");
        sleep(Duration::from_millis(900)).await;
        let before = Instant::now();
        let response = call(&world, "r").await;
        assert_eq!(response.status.as_u16(), 503);
        assert!(response.headers.contains_key("retry-after"));
        assert!(before.elapsed() < Duration::from_millis(50));
        assert_eq!(request_counts(&world, 1..=2), [0, 0]);
    });
}

#[test]
fn starting_entry_applies_evacuations_before_serving() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.store.put("evacuate/dc1", "{}");
        world.start().await;
        for n in 0..5 {
            assert_eq!(call(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        assert_eq!(request_counts(&world, 1..=2), [0, 5]);
    });
}

#[test]
fn evacuation_survives_store_outage_and_lost_history() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.start().await;
        world.store.put("evacuate/dc1", "{}");
        sleep(Duration::from_millis(900)).await;
        world.store.set_fault_mode(FaultMode::Refused);
        sleep(Duration::from_secs(3)).await;
        call(&world, "away").await;
        world.store.drop_history();
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_secs(2)).await;
        call(&world, "back").await;
        assert_eq!(request_counts(&world, 1..=2), [0, 2]);
        // Revoked while the store is unreachable; the next full read shows it.
        world.store.set_fault_mode(FaultMode::Refused);
        world.store.remove("evacuate/dc1");
        sleep(Duration::from_secs(1)).await;
        world.store.drop_history();
        world.store.set_fault_mode(FaultMode::Normal);
        sleep(Duration::from_secs(6)).await;
        call(&world, "near").await;
        assert_eq!(request_counts(&world, 1..=2), [1, 2]);
    });
}

#[test]
fn evacuation_of_unknown_data_centre_is_logged_without_effect() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.start().await;
        world.store.put("evacuate/nowhere", "???");
        sleep(Duration::from_millis(900)).await;
        assert_eq!(call(&world, "r").await.status.as_u16(), 200);
        assert!(world.entry.metrics_text().contains("pondwalk_data_centres_evacuated 1"));
    });
}

#[test]
fn unreadable_server_record_is_ignored() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.start().await;
        world.store.put("server/s1", "gibberish");
        sleep(Duration::from_millis(900)).await;
        for n in 0..5 {
            assert_eq!(call(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        assert_eq!(request_counts(&world, 1..=2), [0, 5]);
        list(&world, 1, "dc1", 0, 1);
        sleep(Duration::from_millis(900)).await;
        call(&world, "again").await;
        assert_eq!(request_counts(&world, 1..=2), [1, 5]);
    });
}

#[test]
fn drained_server_is_used_again_after_restart() {
    run_test_with(COLD_SETTINGS, |world| async move {
        set_up(&world);
        world.start().await;
        // Beyond a share of its requests, an entry retries only once it is listed.
        sleep(Duration::from_secs(2)).await;
        // Another server has its address for a while.
        world.backends.start(address(1), "other", ok_response());
        assert_eq!(call(&world, "r0").await.status.as_u16(), 200);
        world.backends.start(address(1), "s1", ok_response());
        call(&world, "r1").await;
        assert_eq!(request_counts(&world, 1..=2), [0, 2], "it is draining");
        list(&world, 1, "dc1", 0, 2);
        sleep(Duration::from_millis(900)).await;
        call(&world, "r2").await;
        assert_eq!(request_counts(&world, 1..=2), [1, 2]);
    });
}

/// Sends requests at a constant rate, and records the status and the duration of each.
async fn load(
    world: &Rc<World>,
    per_s: u32,
    time: Duration,
) -> Rc<RefCell<Vec<(u16, Duration, Option<f64>)>>> {
    let outcomes = Rc::new(RefCell::new(Vec::new()));
    let count = (time.as_secs_f64() * f64::from(per_s)) as u32;
    for n in 0..count {
        let (world, outcomes) = (Rc::clone(world), Rc::clone(&outcomes));
        spawn_local(async move {
            let start = Instant::now();
            let sent = with(request("/again/x", &format!("r{n}")), "pondwalk-deadline-ms", "8000");
            let response = world.call(sent).await;
            let retry_after = response.headers.get("retry-after");
            let retry_after = retry_after.and_then(|text| text.to_str().ok()?.parse().ok());
            outcomes.borrow_mut().push((response.status.as_u16(), start.elapsed(), retry_after));
        });
        sleep(Duration::from_secs(1) / per_s).await;
    }
    sleep(Duration::from_secs(2)).await;
    outcomes
}

/// Maximum number of requests within any second.
fn max_per_second(arrivals: &[Duration]) -> usize {
    let within = |from: Duration| {
        let is_within = |at: &&Duration| **at >= from && **at < from + Duration::from_secs(1);
        arrivals.iter().filter(is_within).count()
    };
    arrivals.iter().map(|at| within(*at)).max().unwrap_or_default()
}

#[test]
fn cold_data_centre_under_load_gets_its_limit_and_callers_are_served() {
    // Three servers in each of two data centres, at 1.6 times the usual load of 12 requests a
    // second for each data centre. The warm servers take what the cold ones cannot.
    run_test_with(COLD_SETTINGS, |world| async move {
        let world = Rc::new(world);
        world.configure(warming(1));
        (1..=3).for_each(|n| start(&world, n, "dc1"));
        (4..=6).for_each(|n| start(&world, n, "dc2"));
        world.store.put("evacuate/dc1", "{}");
        world.start().await;
        sleep(Duration::from_secs(2)).await;
        let loading = {
            let world = Rc::clone(&world);
            spawn_local(async move { load(&world, 115, Duration::from_secs(6)).await })
        };
        sleep(Duration::from_secs(1)).await;
        assert_eq!(request_counts(&world, 1..=3), [0, 0, 0]);
        world.store.remove("evacuate/dc1");
        (1..=3).for_each(|n| list(&world, n, "dc1", 3_000, 1));
        let mut arrivals: [Vec<Duration>; 3] = Default::default();
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(2_900) {
            sleep(Duration::from_millis(10)).await;
            for (n, arrivals) in arrivals.iter_mut().enumerate() {
                let count = world.backends.requests(address(n as u16 + 1)).len();
                arrivals.resize(count, began.elapsed());
            }
        }
        for arrivals in &arrivals {
            let max_count = max_per_second(arrivals);
            assert!(
                max_count <= MAX_PER_SECOND,
                "{max_count} requests in a second at a cold server"
            );
            assert!(arrivals.len() > 15, "it is used while cold: {}", arrivals.len());
        }
        let outcomes = loading.await.expect("no panic");
        let outcomes = outcomes.borrow();
        let served = outcomes.iter().filter(|(status, ..)| *status == 200).count();
        assert_eq!(served, outcomes.len(), "all are served");
        assert!(outcomes.iter().all(|(_, elapsed, _)| *elapsed < Duration::from_millis(500)));
        // A second after they are warm, they have their full share again.
        let share = |n: u16| world.backends.requests(address(n)).len();
        assert!((1..=3).all(|n| share(n) > 40), "{:?}", request_counts(&world, 1..=6));
    });
}

#[test]
fn callers_wait_or_are_refused_with_retry_after_if_all_servers_are_cold() {
    run_test_with(COLD_SETTINGS, |world| async move {
        let world = Rc::new(world);
        world.configure(warming(1));
        (1..=2).for_each(|n| start(&world, n, "dc1"));
        world.start().await;
        sleep(Duration::from_secs(2)).await;
        (1..=2).for_each(|n| list(&world, n, "dc1", 10_000, 2));
        sleep(Duration::from_secs(1)).await;
        let outcomes = load(&world, 60, Duration::from_secs(5)).await;
        let outcomes = outcomes.borrow();
        let served = outcomes.iter().filter(|(status, ..)| *status == 200).count();
        // Each of the two servers takes 13 requests a second, and requests arrive or wait for six
        // seconds.
        assert!((110..=156).contains(&served), "{served} served of {}", outcomes.len());
        for (status, elapsed, retry_after) in outcomes.iter() {
            // A quarter of the objective of two seconds.
            assert!(*elapsed <= Duration::from_millis(520), "held for {elapsed:?}");
            if *status != 200 {
                assert_eq!(*status, 503);
                assert!(retry_after.is_some_and(|pause| (0.2..=2.0).contains(&pause)));
            }
        }
    });
}

#[test]
fn unreachable_server_is_limited_on_return() {
    run_test_with(COLD_SETTINGS, |world| async move {
        let world = Rc::new(world);
        world.configure(catalog(1));
        world.configure(warming(2));
        (1..=2).for_each(|n| start(&world, n, "dc1"));
        world.start().await;
        sleep(Duration::from_secs(2)).await;
        world.backends.stop(address(1));
        for n in 0..4 {
            assert_eq!(call(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        // It is back, cold, and has not reported it yet.
        world.backends.start(address(1), "s1", ok_response());
        let outcomes = load(&world, 100, Duration::from_secs(2)).await;
        assert!(outcomes.borrow().iter().all(|(status, ..)| *status == 200));
        let got = request_counts(&world, 1..=1)[0];
        assert!(got <= MAX_PER_SECOND * 2, "{got} requests in two seconds");
        assert!(world.entry.metrics_text().contains("pondwalk_servers_cold 1"));
    });
}

#[test]
fn response_is_passed_on_if_the_larger_model_is_cold() {
    // A cold server may get one request a second from this entry.
    let bounds = "peers=127.0.0.1:4\n[warm_up]\novershoot=0.15\ntolerance=0\nheartbeat_ms=1200\n";
    run_test_with(bounds, |world| async move {
        world.configure(warming(1));
        world.start_server(1, "m", "v1", common::stream(3, Some(10)));
        world.start().await;
        sleep(Duration::from_secs(5)).await;
        let call = |id: &str| {
            let sent = with(request("/models/x", id), "pondwalk-session", "a");
            let sent = with(sent, "pondwalk-token-usage", "1000,10");
            world.call(with(sent, "pondwalk-model", "auto"))
        };
        let first = call("first").await;
        assert_eq!(first.status.as_u16(), 200);
        world.start_server(2, "m", "v2", common::stream(3, Some(90)));
        world.store.put("order/m", "v2 20");
        world.store.put("server/s1", &format!("m {} dc1 v1 ready 9000 1", address(1)));
        sleep(Duration::from_millis(1_200)).await;
        // The session is on the old version, whose only server is cold; the other server is warm.
        let before = world.backends.requests(address(1)).len();
        let response = call("second").await;
        assert_eq!((response.status.as_u16(), response.is_complete), (200, true));
        assert_eq!(request_counts(&world, 1..=2), [before + 1, 0]);
    });
}
