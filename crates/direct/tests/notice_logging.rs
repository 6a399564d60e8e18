//! From the logs and counters alone: when a backend server asked something of an entry, in which answer.

mod common;

use std::time::Duration;

use common::{World, address, catalog, play, request, stream};
use pondwalk_standin::backends::Act;
use serde_json::Value;
use tokio::time::sleep;

fn lines(world: &World, event: &str) -> Vec<Value> {
    let text = world.entry.gathered_lines();
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    lines.filter(|line| line["event"] == event).collect()
}

#[test]
fn a_server_that_leaves_is_logged_with_the_answer_that_told_it() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", stream(3, None));
        world.backends.tell(address(1), "server-leaving", "1");
        world.start().await;
        world.ask(request("/stream/", "r1")).await;
        let told = lines(&world, "server_told_leaving");
        assert_eq!(told.len(), 1);
        assert_eq!((&told[0]["request"], &told[0]["server"]), (&"r1".into(), &"s1".into()));
        assert_eq!(told[0]["status"], 200);
        assert!(world.entry.metrics_text().contains("pondwalk_told_leaving_total 1"));
    });
}

#[test]
fn a_server_that_asks_for_a_pause_is_logged_with_how_long() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::NotRun(503));
        world.backends.tell(address(1), "retry-after", "2.5");
        world.start().await;
        world.ask(request("/again/x", "r1")).await;
        let asked = lines(&world, "server_asked_backoff");
        assert_eq!(asked.len(), 1);
        assert_eq!((&asked[0]["request"], &asked[0]["server"]), (&"r1".into(), &"s1".into()));
        assert_eq!(asked[0]["backoff_ms"], 2_500);
        assert!(world.entry.metrics_text().contains("pondwalk_asked_backoff_total 1"));
    });
}

#[test]
fn words_that_make_no_sense_ask_for_nothing() {
    for word in ["-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "", "0", "-inf", "3s"] {
        play(move |world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Act::NotRun(503));
            world.backends.tell(address(1), "retry-after", word);
            world.backends.tell(address(1), "server-leaving", "0");
            world.start().await;
            world.ask(request("/again/x", "r1")).await;
            assert_eq!(lines(&world, "server_asked_backoff").len(), 0, "{word}");
            assert_eq!(lines(&world, "server_told_leaving").len(), 0, "{word}");
        });
    }
}

#[test]
fn a_servers_limit_is_logged_when_it_changes_and_only_then() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", stream(3, None));
        world.start().await;
        for (number, word) in ["1.7", "1.7", "0.4"].into_iter().enumerate() {
            world.backends.tell(address(1), "server-limit", word);
            world.ask(request("/stream/", &format!("r{number}"))).await;
            sleep(Duration::from_secs(5)).await;
        }
        assert!(world.entry.metrics_text().contains("pondwalk_servers_limited 1"));
        world.backends.tell_no_more(address(1), "server-limit");
        world.ask(request("/stream/", "r3")).await;
        let named = lines(&world, "server_named_limit");
        let told: Vec<_> = named.iter().map(|line| (&line["request"], &line["per_s"])).collect();
        assert_eq!(told, [(&"r0".into(), &1.7.into()), (&"r2".into(), &0.4.into())]);
        let lifted = lines(&world, "server_lifted_limit");
        assert_eq!(lifted.len(), 1);
        assert_eq!((&lifted[0]["request"], &lifted[0]["server"]), (&"r3".into(), &"s1".into()));
        assert!(world.entry.metrics_text().contains("pondwalk_server_limits_changed_total 3"));
        assert!(world.entry.metrics_text().contains("pondwalk_servers_limited 0"));
    });
}
