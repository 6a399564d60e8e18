//! Configuration, keys, membership and roll-outs under a store that fails in every way.

mod common;

use std::time::Duration;

use common::{World, address, catalog, catalog_with_keys, play, play_with, request, with};
use hyper::StatusCode;
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::time::sleep;

async fn with_one_server(world: &World) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Act::Answer(200, "made".into()));
    world.start().await;
}

async fn status(world: &World, key: &str) -> u16 {
    let sent = with(request("/once/", "r"), "authorization", &format!("Bearer {key}"));
    world.ask(sent).await.status.as_u16()
}

#[test]
fn keys_are_honoured_only_while_the_store_confirms_them() {
    let silent = Weather::Silent(Duration::from_secs(1));
    for weather in [Weather::Refused, silent] {
        play(|world| async move {
            with_one_server(&world).await;
            world.store.set_weather(weather);
            sleep(Duration::from_secs(2)).await;
            assert_eq!(status(&world, "k1").await, 200, "{weather:?}");
            sleep(Duration::from_secs(3)).await;
            assert_eq!(status(&world, "k1").await, 503, "{weather:?}");
            assert!(!world.entry.is_ready());
            world.store.set_weather(Weather::Fair);
            sleep(Duration::from_secs(2)).await;
            assert_eq!(status(&world, "k1").await, 200, "{weather:?}");
        });
    }
}

#[test]
fn a_deployment_that_is_not_strict_honours_known_keys_for_longer() {
    play_with("strict_keys=false\nlenient_key_bound_ms=20000", |world| async move {
        with_one_server(&world).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(15)).await;
        assert_eq!(status(&world, "k1").await, 200);
        assert!(world.entry.is_ready());
        // NB: the key may have been added meanwhile, so this is no 401.
        assert_eq!(status(&world, "unknown").await, 503);
        sleep(Duration::from_secs(6)).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

#[test]
fn a_strict_deployment_ignores_the_longer_bound() {
    play_with("strict_keys=true\nlenient_key_bound_ms=20000", |world| async move {
        with_one_server(&world).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(6)).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

#[test]
fn what_needs_no_key_is_served_while_the_store_is_away() {
    play(|world| async move {
        with_one_server(&world).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(30)).await;
        let mut open = request("/open/", "r1");
        open.headers_mut().remove("authorization");
        assert_eq!(world.ask(open).await.status, StatusCode::OK);
        // NB: the route may have been added meanwhile, so this is no 404.
        let nowhere = world.ask(request("/nowhere/", "r2")).await;
        assert_eq!(nowhere.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_key_taken_away_is_refused_at_once_and_one_added_is_taken() {
    play(|world| async move {
        with_one_server(&world).await;
        world.configure(catalog_with_keys(2, &["k1", "k3"]));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(status(&world, "k2").await, 401);
        assert_eq!(status(&world, "k3").await, 200);
    });
}

#[test]
fn a_key_taken_away_while_a_request_waits_stops_its_next_send() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Silent);
        world.start_server(2, "s", "v1", Act::Silent);
        world.start().await;
        let waiting = world.send(request("/again/", "r"));
        let revoking = async {
            sleep(Duration::from_millis(100)).await;
            world.configure(catalog_with_keys(2, &["k2"]));
        };
        let (response, ()) = tokio::join!(waiting, revoking);
        assert!(response.status().is_server_error());
        assert_eq!(world.backends.runs(), 1);
    });
}

#[test]
fn no_older_configuration_comes_back() {
    play(|world| async move {
        with_one_server(&world).await;
        world.configure(catalog_with_keys(5, &["k1"]));
        sleep(Duration::from_millis(500)).await;
        world.configure(catalog(4));
        sleep(Duration::from_millis(500)).await;
        assert_eq!(status(&world, "k2").await, 401);
    });
}

#[test]
fn what_changed_while_history_was_lost_is_found() {
    play(|world| async move {
        with_one_server(&world).await;
        world.start_server(2, "s", "v1", Act::Answer(200, "made".into()));
        sleep(Duration::from_millis(500)).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_millis(100)).await;
        world.store.remove("server/s1");
        world.configure(catalog_with_keys(2, &["k1"]));
        world.store.forget_history();
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_secs(1)).await;
        let before = world.backends.seen(address(1)).len();
        for _ in 0..4 {
            assert_eq!(status(&world, "k1").await, 200);
        }
        assert_eq!(world.backends.seen(address(1)).len(), before);
        assert_eq!(status(&world, "k2").await, 401);
    });
}

#[test]
fn a_quiet_store_is_asked_less_than_once_a_second() {
    play(|world| async move {
        with_one_server(&world).await;
        let before = world.store.calls();
        sleep(Duration::from_secs(60)).await;
        let calls = world.store.calls() - before;
        assert!(calls <= 45, "{calls}");
    });
}

async fn roll_out(world: &World, new: Act) {
    world.configure(catalog(1));
    for number in 1..=3 {
        world.start_server(number, "s", "v1", Act::Answer(200, "old".into()));
        world.start_server(10 + number, "s", "v2", new.clone());
    }
    world.start().await;
    world.store.put("order/s", "v2 20");
    sleep(Duration::from_millis(500)).await;
}

/// Requests of new sessions over a time; how many the new version answered or failed.
async fn requests(world: &World, count: usize, label: &str) -> usize {
    let seen = || (11..=13).map(|n| world.backends.seen(address(n)).len()).sum::<usize>();
    let before = seen();
    for number in 0..count {
        let session = format!("{label}{number}");
        world.ask(with(request("/again/", "r"), "pondwalk-session", &session)).await;
        sleep(Duration::from_millis(50)).await;
    }
    seen() - before
}

#[test]
fn a_good_version_takes_over_by_steps_and_is_told_complete() {
    play(|world| async move {
        roll_out(&world, Act::Answer(200, "new".into())).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 InProgress"));
        let at_trial = requests(&world, 150, "a").await;
        assert!((4..=30).contains(&at_trial), "{at_trial} of 150");
        sleep(Duration::from_secs(8)).await;
        assert_eq!(requests(&world, 20, "b").await, 20);
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Completed"));
    });
}

#[test]
fn a_bad_version_is_left_at_once_and_told_reverted() {
    for weather in [Weather::Fair, Weather::Refused, Weather::AnswersLost] {
        play(|world| async move {
            roll_out(&world, Act::Answer(500, "bad".into())).await;
            world.store.set_weather(weather);
            let bad = requests(&world, 60, "a").await + requests(&world, 20, "b").await;
            assert!((4..=16).contains(&bad), "{bad} with {weather:?}");
            world.store.set_weather(Weather::Fair);
            sleep(Duration::from_secs(3)).await;
            assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
            assert_eq!(requests(&world, 30, "c").await, 0);
        });
    }
}

#[test]
fn a_reverted_version_gets_nothing_from_the_next_roll_out_either() {
    play(|world| async move {
        roll_out(&world, Act::Answer(500, "bad".into())).await;
        requests(&world, 60, "a").await;
        // NB: long enough for their failures to be forgotten.
        sleep(Duration::from_secs(60)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
        world.start_server(21, "s", "v3", Act::Answer(200, "newer".into()));
        world.store.put("order/s", "v3 20");
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v3 InProgress"));
        assert_eq!(requests(&world, 60, "b").await, 0);
    });
}

#[test]
fn a_session_stays_on_its_version_through_the_trial() {
    play(|world| async move {
        world.configure(catalog(1));
        for number in 1..=3 {
            world.start_server(number, "s", "v1", Act::Answer(200, "old".into()));
            world.start_server(10 + number, "s", "v2", Act::Answer(200, "new".into()));
        }
        world.start().await;
        let ask = async |session: &str| {
            world.ask(with(request("/again/", "r"), "pondwalk-session", session)).await.body
        };
        world.store.put("order/s", "v2 20");
        sleep(Duration::from_millis(500)).await;
        for round in 0..40 {
            let session = format!("session{}", round / 4);
            let first = ask(&session).await;
            sleep(Duration::from_millis(100)).await;
            assert_eq!(ask(&session).await, first, "{session}");
        }
    });
}

#[test]
fn an_entry_that_starts_anew_takes_a_roll_out_up_where_it_stands() {
    play(|world| async move {
        world.store.put("order/s", "v2 20");
        world.store.put("progress/s", "v2 Reverted");
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "old".into()));
        world.start_server(11, "s", "v2", Act::Answer(200, "new".into()));
        world.start().await;
        assert_eq!(requests(&world, 40, "a").await, 0);
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
    });
}

#[test]
fn the_log_of_a_refusal_tells_what_decided_it() {
    play(|world| async move {
        with_one_server(&world).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(6)).await;
        let answer = world.ask(request("/once/", "r-17")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let lines = world.entry.gathered_lines();
        let line = lines.lines().find(|line| line.contains("r-17")).expect("a line");
        for part in ["request_refused", "\"stale\"", "\"freshness_ms\":", "\"configuration\":1"] {
            assert!(line.contains(part), "{part} in {line}");
        }
        assert!(lines.contains("store_lost"));
    });
}

#[test]
fn a_server_whose_entry_lapsed_with_the_store_away_serves_on_until_it_should_be_back() {
    play(|world| async move {
        with_one_server(&world).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(1)).await;
        world.store.remove("server/s1");
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_millis(1_000)).await;
        assert_eq!(status(&world, "k1").await, 200, "it may come back yet");
        world.list_server(1, "s", "v1", "ready");
        sleep(Duration::from_secs(3)).await;
        assert_eq!(status(&world, "k1").await, 200, "it came back");
    });
}

#[test]
fn a_server_that_does_not_come_back_after_the_store_gets_nothing_two_seconds_later() {
    play(|world| async move {
        with_one_server(&world).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(1)).await;
        world.store.remove("server/s1");
        world.store.set_weather(Weather::Fair);
        sleep(Duration::from_millis(2_400)).await;
        assert_eq!(status(&world, "k1").await, 503, "it is gone");
    });
}

#[test]
fn a_server_that_goes_with_the_store_in_order_gets_nothing_at_once() {
    play(|world| async move {
        with_one_server(&world).await;
        world.store.remove("server/s1");
        sleep(Duration::from_millis(100)).await;
        assert_eq!(status(&world, "k1").await, 503);
    });
}

#[test]
fn an_entry_that_starts_without_the_store_asks_for_pauses_as_long_as_the_outage() {
    play(|world| async move {
        world.store.set_weather(Weather::Refused);
        world.start().await;
        let mut pauses = Vec::new();
        for wait_s in [0, 2, 20] {
            sleep(Duration::from_secs(wait_s)).await;
            let refused = world.ask(request("/once/", "r")).await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            pauses.push(refused.headers["retry-after"].to_str().expect("text").to_owned());
        }
        assert_eq!(pauses, ["1.000", "2.020", "4.000"]);
    });
}

#[test]
fn a_version_whose_servers_break_off_under_everything_is_told_reverted() {
    play(|world| async move {
        roll_out(&world, Act::LoseAnswer).await;
        let broken = requests(&world, 80, "a").await;
        sleep(Duration::from_secs(25)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"), "{broken}");
        assert!(broken <= 24, "{broken}");
        assert_eq!(requests(&world, 30, "c").await, 0);
    });
}
