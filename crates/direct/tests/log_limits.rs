//! Log lines and counters: bounded, fair between failures and successes, never waited for.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{catalog, play, request};
use pondwalk_direct::journal::{Journal, Rank};
use pondwalk_standin::backends::Act;
use spdlog::{
    Record,
    sink::{GetSinkProp, Sink, SinkProp},
};
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

/// An output that takes nothing while it is held.
#[derive(Default)]
struct HeldOutput {
    prop: SinkProp,
    written: Mutex<String>,
}

impl GetSinkProp for HeldOutput {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for HeldOutput {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut written = self.written.lock().expect("nobody panics with it");
        written.push_str(record.payload());
        written.push('\n');
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_stalls_nothing_and_what_it_lost_is_told() {
    let output = Arc::new(HeldOutput::default());
    let journal = Journal::to(Arc::clone(&output) as Arc<dyn Sink>, "e1", 1_000_000);
    let journal = journal.expect("a journal");
    let held = output.written.lock().expect("nobody panics with it");
    // NB: more batches than may wait; with a journal that waits, this never ends.
    for _ in 0..30 {
        journal.note(Rank::State, &Line { event: "changed" });
        journal.flush();
    }
    drop(held);
    let told = || output.written.lock().expect("nobody panics with it").contains("lines_dropped");
    for _ in 0..10_000 {
        if told() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
        journal.flush();
    }
    panic!("what was lost is never told");
}
