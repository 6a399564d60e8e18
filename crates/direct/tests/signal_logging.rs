//! Logging of server signals: the logs and metrics alone show when a backend server reported something to
//! an entry, and in which response.

mod common;

use std::time::Duration;

use common::{World, address, catalog, request, run_test, stream};
use pondwalk_standin::backends::Behaviour;
use serde_json::Value;
use tokio::time::sleep;

fn lines(world: &World, event: &str) -> Vec<Value> {
    let text = world.entry.buffered_log_lines();
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    lines.filter(|line| line["event"] == event).collect()
}

#[test]
fn draining_server_is_logged_with_its_response() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", stream(3, None));
        world.backends.set_header(address(1), "server-leaving", "1");
        world.start().await;
        world.call(request("/stream/", "r1")).await;
        let events = lines(&world, "server_told_leaving");
        assert_eq!(events.len(), 1);
        assert_eq!((&events[0]["request"], &events[0]["server"]), (&"r1".into(), &"s1".into()));
        assert_eq!(events[0]["status"], 200);
        assert!(world.entry.metrics_text().contains("pondwalk_told_leaving_total 1"));
    });
}

#[test]
fn requested_backoff_is_logged_with_its_duration() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::NotRun(503));
        world.backends.set_header(address(1), "retry-after", "2.5");
        world.start().await;
        world.call(request("/again/x", "r1")).await;
        let events = lines(&world, "server_asked_backoff");
        assert_eq!(events.len(), 1);
        assert_eq!((&events[0]["request"], &events[0]["server"]), (&"r1".into(), &"s1".into()));
        assert_eq!(events[0]["backoff_ms"], 2_500);
        assert!(world.entry.metrics_text().contains("pondwalk_asked_backoff_total 1"));
    });
}

#[test]
fn invalid_signals_are_ignored() {
    for value in ["-3", "soon", "Wed, 21 Oct 2026 07:28:00 GMT", "NaN", "", "0", "-inf", "3s"] {
        run_test(move |world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Behaviour::NotRun(503));
            world.backends.set_header(address(1), "retry-after", value);
            world.backends.set_header(address(1), "server-leaving", "0");
            world.start().await;
            world.call(request("/again/x", "r1")).await;
            assert_eq!(lines(&world, "server_asked_backoff").len(), 0, "{value}");
            assert_eq!(lines(&world, "server_told_leaving").len(), 0, "{value}");
        });
    }
}

#[test]
fn rate_limit_is_logged_only_when_it_changes() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", stream(3, None));
        world.start().await;
        for (number, value) in ["1.7", "1.7", "0.4"].into_iter().enumerate() {
            world.backends.set_header(address(1), "server-limit", value);
            world.call(request("/stream/", &format!("r{number}"))).await;
            sleep(Duration::from_secs(5)).await;
        }
        assert!(world.entry.metrics_text().contains("pondwalk_servers_limited 1"));
        world.backends.remove_header(address(1), "server-limit");
        world.call(request("/stream/", "r3")).await;
        let named = lines(&world, "server_named_limit");
        let limits: Vec<_> = named.iter().map(|line| (&line["request"], &line["per_s"])).collect();
        assert_eq!(limits, [(&"r0".into(), &1.7.into()), (&"r2".into(), &0.4.into())]);
        let lifted = lines(&world, "server_lifted_limit");
        assert_eq!(lifted.len(), 1);
        assert_eq!((&lifted[0]["request"], &lifted[0]["server"]), (&"r3".into(), &"s1".into()));
        assert!(world.entry.metrics_text().contains("pondwalk_server_limits_changed_total 3"));
        assert!(world.entry.metrics_text().contains("pondwalk_servers_limited 0"));
    });
}
