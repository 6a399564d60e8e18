//! Log lines and counters: bounded, fair between failures and successes, never waited for.

mod common;

use std::time::Duration;

use common::{catalog, play, request};
use pondwalk_direct::journal::{Journal, Rank};
use pondwalk_standin::backends::Act;
use tokio::time::sleep;

#[derive(serde::Serialize)]
struct Line {
    event: &'static str,
}

fn lines(journal: &Journal, event: &str) -> usize {
    journal.gathered().lines().filter(|line| line.contains(event)).count()
}

#[tokio::test(start_paused = true)]
async fn ten_times_the_load_stays_within_the_lines_allowed() {
    let journal = Journal::silent("e1", 100);
    for _ in 0..1_000 {
        journal.note(Rank::Success, &Line { event: "good" });
    }
    for _ in 0..1_000 {
        journal.note(Rank::Failure, &Line { event: "bad" });
    }
    journal.note(Rank::State, &Line { event: "changed" });
    assert_eq!(lines(&journal, "good"), 50, "successes leave half of the lines to failures");
    assert_eq!(lines(&journal, "bad"), 50);
    assert_eq!(lines(&journal, "changed"), 1, "changes of state are always written");
    sleep(Duration::from_secs(1)).await;
    journal.note(Rank::Success, &Line { event: "good" });
    journal.flush();
    assert_eq!(lines(&journal, "good"), 51, "a second later there is room again");
    let text = journal.gathered();
    let dropped = text.lines().find(|line| line.contains("lines_dropped")).expect("a line");
    assert!(dropped.contains("\"lines\":1900"), "{dropped}");
}

#[test]
fn each_line_is_one_json_object() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "made".into()));
        world.start().await;
        world.ask(request("/once/", "r1")).await;
        world.ask(request("/nowhere/", "r2")).await;
        let text = world.entry.gathered_lines();
        let read = |line| serde_json::from_str::<serde_json::Value>(line).expect("JSON");
        let events: Vec<serde_json::Value> = text.lines().map(read).collect();
        assert!(events.iter().all(|event| event["at_ms"].is_u64() && event["event"].is_string()));
        let answered = events.iter().find(|event| event["event"] == "request_answered");
        let answered = answered.expect("a line");
        assert_eq!((&answered["request"], &answered["server"]), (&"r1".into(), &"s1".into()));
        let refused = events.iter().find(|event| event["code"] == "no_route").expect("a line");
        assert_eq!(refused["configuration"], 1);
    });
}

#[test]
fn counters_and_latencies_are_told_as_text() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "made".into()));
        world.start().await;
        world.ask(request("/once/", "r1")).await;
        let text = world.entry.metrics_text();
        for line in [
            "pondwalk_requests_total 1",
            "pondwalk_answered_total 1",
            "pondwalk_first_byte_ms_count 1",
            "pondwalk_configuration_age_ms_count 1",
            "pondwalk_store_call_ms_count 1",
        ] {
            assert!(text.lines().any(|told| told == line), "{line} in\n{text}");
        }
    });
}
