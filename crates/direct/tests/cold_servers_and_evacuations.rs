//! Evacuated data centres, cold servers, servers born anew, and entries that cannot be read.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{Answer, World, address, catalog, play_with, request, with};
use pondwalk_decide::direct::WarmUp;
use pondwalk_direct::catalog::Catalog;
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

/// Settings of an entry that is listed, where servers bear 14 requests a second while cold.
const COLD: &str = "peers=127.0.0.1:4\n[warm_up]\novershoot=1.5\ntolerance=5\nheartbeat_ms=1200\n";
/// Requests that a cold server may get in a second: 14 x 1.5 + 5.
const MOST: usize = 26;

fn made() -> Act {
    Act::Answer(200, "made".into())
}

/// The usual configuration, whose services warm up.
fn warming(version: u64) -> Catalog {
    let warm_up = WarmUp { time: Duration::from_secs(3), requests_per_s: 14.0 };
    common::catalog_warming(version, Some(warm_up))
}

/// Lists a server in a data centre, cold for some time, of one start.
fn list(world: &World, n: u16, data_centre: &str, cold_ms: u64, born_ms: u64) {
    let value = format!("s {} {data_centre} v1 ready {cold_ms} {born_ms}", address(n));
    world.store.put(&format!("server/s{n}"), &value);
}

fn start(world: &World, n: u16, data_centre: &str) {
    world.backends.start(address(n), &format!("s{n}"), made());
    list(world, n, data_centre, 0, 1);
}

async fn ask(world: &World, id: &str) -> Answer {
    world.ask(request("/again/x", id)).await
}

/// Requests that servers have read, by server.
fn seen(world: &World, servers: std::ops::RangeInclusive<u16>) -> Vec<usize> {
    servers.map(|n| world.backends.seen(address(n)).len()).collect()
}

fn fixture(world: &World) {
    world.configure(warming(1));
    start(world, 1, "dc1");
    start(world, 2, "dc2");
}

#[test]
fn nothing_reaches_an_evacuated_data_centre_until_it_is_taken_back() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.start().await;
        assert_eq!(ask(&world, "r0").await.status.as_u16(), 200);
        assert_eq!(seen(&world, 1..=2), [1, 0], "the near one is asked");
        world.store.put("evacuate/dc1", "{}");
        sleep(Duration::from_millis(900)).await;
        for n in 0..20 {
            assert_eq!(ask(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        assert_eq!(seen(&world, 1..=2), [1, 20]);
        world.store.remove("evacuate/dc1");
        sleep(Duration::from_millis(5_000)).await;
        ask(&world, "back").await;
        assert_eq!(seen(&world, 1..=2), [2, 20]);
    });
}

#[test]
fn with_all_data_centres_evacuated_callers_are_refused_at_once() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.start().await;
        world.store.put("evacuate/dc1", "{}");
        world.store.put("evacuate/dc2", "{}");
        sleep(Duration::from_millis(900)).await;
        let before = Instant::now();
        let answer = ask(&world, "r").await;
        assert_eq!(answer.status.as_u16(), 503);
        assert!(answer.headers.contains_key("retry-after"));
        assert!(before.elapsed() < Duration::from_millis(50));
        assert_eq!(seen(&world, 1..=2), [0, 0]);
    });
}

#[test]
fn an_entry_that_starts_knows_of_evacuations_before_it_serves() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.store.put("evacuate/dc1", "{}");
        world.start().await;
        for n in 0..5 {
            assert_eq!(ask(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        assert_eq!(seen(&world, 1..=2), [0, 5]);
    });
}

#[test]
fn an_evacuation_outlasts_the_loss_of_the_store_and_of_its_history() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.start().await;
        world.store.put("evacuate/dc1", "{}");
        sleep(Duration::from_millis(900)).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(3)).await;
        ask(&world, "away").await;
        world.store.forget_history();
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_secs(2)).await;
        ask(&world, "back").await;
        assert_eq!(seen(&world, 1..=2), [0, 2]);
        // NB: taken back while nobody could tell; the next whole reading shows it.
        world.store.set_weather(Weather::Refused);
        world.store.remove("evacuate/dc1");
        sleep(Duration::from_secs(1)).await;
        world.store.forget_history();
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_secs(6)).await;
        ask(&world, "near").await;
        assert_eq!(seen(&world, 1..=2), [1, 2]);
    });
}

#[test]
fn an_unknown_data_centre_evacuated_changes_nothing_and_is_logged() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.start().await;
        world.store.put("evacuate/nowhere", "???");
        sleep(Duration::from_millis(900)).await;
        assert_eq!(ask(&world, "r").await.status.as_u16(), 200);
        assert!(world.entry.metrics_text().contains("pondwalk_data_centres_evacuated 1"));
    });
}

#[test]
fn an_entry_that_cannot_be_read_names_no_server_and_the_others_hold() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.start().await;
        world.store.put("server/s1", "gibberish");
        sleep(Duration::from_millis(900)).await;
        for n in 0..5 {
            assert_eq!(ask(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        assert_eq!(seen(&world, 1..=2), [0, 5]);
        list(&world, 1, "dc1", 0, 1);
        sleep(Duration::from_millis(900)).await;
        ask(&world, "again").await;
        assert_eq!(seen(&world, 1..=2), [1, 5]);
    });
}

#[test]
fn a_server_that_left_takes_work_again_once_it_is_born_anew() {
    play_with(COLD, |world| async move {
        fixture(&world);
        world.start().await;
        // NB: beyond a share of its requests, an entry sends again only once it is listed among the others.
        sleep(Duration::from_secs(2)).await;
        // NB: another one has its address for a moment.
        world.backends.start(address(1), "other", made());
        assert_eq!(ask(&world, "r0").await.status.as_u16(), 200);
        world.backends.start(address(1), "s1", made());
        ask(&world, "r1").await;
        assert_eq!(seen(&world, 1..=2), [0, 2], "it has left");
        list(&world, 1, "dc1", 0, 2);
        sleep(Duration::from_millis(900)).await;
        ask(&world, "r2").await;
        assert_eq!(seen(&world, 1..=2), [1, 2]);
    });
}

/// Sends requests at an even pace, and notes what became of each, and after which time.
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
            let asked = Instant::now();
            let sent = with(request("/again/x", &format!("r{n}")), "pondwalk-deadline-ms", "8000");
            let answer = world.ask(sent).await;
            let retry_after = answer.headers.get("retry-after");
            let retry_after = retry_after.and_then(|text| text.to_str().ok()?.parse().ok());
            outcomes.borrow_mut().push((answer.status.as_u16(), asked.elapsed(), retry_after));
        });
        sleep(Duration::from_secs(1) / per_s).await;
    }
    sleep(Duration::from_secs(2)).await;
    outcomes
}

/// Most requests that a server read within any second.
fn most_in_a_second(arrivals: &[Duration]) -> usize {
    let within = |from: Duration| {
        let is_within = |at: &&Duration| **at >= from && **at < from + Duration::from_secs(1);
        arrivals.iter().filter(is_within).count()
    };
    arrivals.iter().map(|at| within(*at)).max().unwrap_or_default()
}

#[test]
fn a_data_centre_that_comes_back_cold_under_a_rush_gets_what_it_bears_and_callers_are_served() {
    // Three servers of each of two data centres, 1.6 times the traffic of a calm day for each of them
    // (12 requests a second): what the cold ones cannot take, the warm ones do.
    play_with(COLD, |world| async move {
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
        assert_eq!(seen(&world, 1..=3), [0, 0, 0]);
        world.store.remove("evacuate/dc1");
        (1..=3).for_each(|n| list(&world, n, "dc1", 3_000, 1));
        let mut arrivals: [Vec<Duration>; 3] = Default::default();
        let began = Instant::now();
        while began.elapsed() < Duration::from_millis(2_900) {
            sleep(Duration::from_millis(10)).await;
            for (n, arrivals) in arrivals.iter_mut().enumerate() {
                let count = world.backends.seen(address(n as u16 + 1)).len();
                arrivals.resize(count, began.elapsed());
            }
        }
        for arrivals in &arrivals {
            let most = most_in_a_second(arrivals);
            assert!(most <= MOST, "{most} requests in a second at a cold server");
            assert!(arrivals.len() > 15, "it is used while cold: {}", arrivals.len());
        }
        let outcomes = loading.await.expect("no panic");
        let outcomes = outcomes.borrow();
        let served = outcomes.iter().filter(|(status, ..)| *status == 200).count();
        assert_eq!(served, outcomes.len(), "all are served");
        assert!(outcomes.iter().all(|(_, took, _)| *took < Duration::from_millis(500)));
        // NB: full members again a second after they are warm.
        let share = |n: u16| world.backends.seen(address(n)).len();
        assert!((1..=3).all(|n| share(n) > 40), "{:?}", seen(&world, 1..=6));
    });
}

#[test]
fn where_all_are_cold_callers_wait_for_room_and_the_rest_is_refused_early_with_when_to_come_back() {
    play_with(COLD, |world| async move {
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
        // Two servers take half of the bound each, 13 in a second, and six seconds begin while callers
        // ask or wait.
        assert!((110..=156).contains(&served), "{served} served of {}", outcomes.len());
        for (status, took, retry_after) in outcomes.iter() {
            // A quarter of the objective of two seconds.
            assert!(*took <= Duration::from_millis(520), "held for {took:?}");
            if *status != 200 {
                assert_eq!(*status, 503);
                assert!(retry_after.is_some_and(|pause| (0.2..=2.0).contains(&pause)));
            }
        }
    });
}

#[test]
fn a_server_that_cannot_be_reached_is_spared_when_it_is_back() {
    play_with(COLD, |world| async move {
        let world = Rc::new(world);
        world.configure(catalog(1));
        world.configure(warming(2));
        (1..=2).for_each(|n| start(&world, n, "dc1"));
        world.start().await;
        sleep(Duration::from_secs(2)).await;
        world.backends.stop(address(1));
        for n in 0..4 {
            assert_eq!(ask(&world, &format!("r{n}")).await.status.as_u16(), 200);
        }
        // It is back, cold, and has not yet told so.
        world.backends.start(address(1), "s1", made());
        let outcomes = load(&world, 100, Duration::from_secs(2)).await;
        assert!(outcomes.borrow().iter().all(|(status, ..)| *status == 200));
        let got = seen(&world, 1..=1)[0];
        assert!(got <= MOST * 2, "{got} requests in two seconds");
        assert!(world.entry.metrics_text().contains("pondwalk_servers_cold 1"));
    });
}

#[test]
fn an_answer_that_was_made_is_passed_on_where_a_larger_model_would_have_to_wait() {
    // A cold server may get one request a second of this entry.
    let bounds = "peers=127.0.0.1:4\n[warm_up]\novershoot=0.15\ntolerance=0\nheartbeat_ms=1200\n";
    play_with(bounds, |world| async move {
        world.configure(warming(1));
        world.start_server(1, "m", "v1", common::stream(3, Some(10)));
        world.start().await;
        sleep(Duration::from_secs(5)).await;
        let ask = |id: &str| {
            let sent = with(request("/models/x", id), "pondwalk-session", "a");
            let sent = with(sent, "pondwalk-token-usage", "1000,10");
            world.ask(with(sent, "pondwalk-model", "auto"))
        };
        let first = ask("first").await;
        assert_eq!(first.status.as_u16(), 200);
        world.start_server(2, "m", "v2", common::stream(3, Some(90)));
        world.store.put("order/m", "v2 20");
        world.store.put("server/s1", &format!("m {} dc1 v1 ready 9000 1", address(1)));
        sleep(Duration::from_millis(1_200)).await;
        // NB: its session is on the old version, whose only server is cold; the other one is warm.
        let before = world.backends.seen(address(1)).len();
        let answer = ask("second").await;
        assert_eq!((answer.status.as_u16(), answer.whole), (200, true));
        assert_eq!(seen(&world, 1..=2), [before + 1, 0]);
    });
}
