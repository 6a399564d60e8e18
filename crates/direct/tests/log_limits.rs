//! Log lines and metrics: bounded, shared fairly between failures and successes, and never
//! blocking.

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use common::{catalog, request, run_test};
use pondwalk_direct::event_log::{EventLog, LogPriority};
use pondwalk_standin::backends::Behaviour;
use spdlog::{
    Record,
    sink::{GetSinkProp, Sink, SinkProp},
};
use tokio::time::sleep;

#[derive(serde::Serialize)]
struct Line {
    event: &'static str,
}

fn lines(event_log: &EventLog, event: &str) -> usize {
    event_log.buffered().lines().filter(|line| line.contains(event)).count()
}

#[tokio::test(start_paused = true)]
async fn log_lines_stay_within_limit_under_tenfold_load() {
    let event_log = EventLog::in_memory("e1", 100);
    for _ in 0..1_000 {
        event_log.record(LogPriority::Success, &Line { event: "good" });
    }
    for _ in 0..1_000 {
        event_log.record(LogPriority::Failure, &Line { event: "bad" });
    }
    event_log.record(LogPriority::State, &Line { event: "changed" });
    assert_eq!(lines(&event_log, "good"), 50, "successes leave half of the lines to failures");
    assert_eq!(lines(&event_log, "bad"), 50);
    assert_eq!(lines(&event_log, "changed"), 1, "changes of state are always written");
    sleep(Duration::from_secs(1)).await;
    event_log.record(LogPriority::Success, &Line { event: "good" });
    event_log.flush();
    assert_eq!(lines(&event_log, "good"), 51, "a second later lines are available again");
    let text = event_log.buffered();
    let dropped = text.lines().find(|line| line.contains("lines_dropped")).expect("a line");
    assert!(dropped.contains("\"lines\":1900"), "{dropped}");
}

#[test]
fn each_log_line_is_one_json_object() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        world.start().await;
        world.call(request("/once/", "r1")).await;
        world.call(request("/nowhere/", "r2")).await;
        let text = world.entry.buffered_log_lines();
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
fn metrics_are_exposed_as_text() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        world.start().await;
        world.call(request("/once/", "r1")).await;
        let text = world.entry.metrics_text();
        for line in [
            "pondwalk_requests_total 1",
            "pondwalk_answered_total 1",
            "pondwalk_first_byte_ms_count 1",
            "pondwalk_configuration_age_ms_count 1",
            "pondwalk_store_call_ms_count 1",
        ] {
            assert!(text.lines().any(|other| other == line), "{line} in\n{text}");
        }
    });
}

/// An output that blocks while it is locked.
#[derive(Default)]
struct BlockingOutput {
    prop: SinkProp,
    written: Mutex<String>,
}

impl GetSinkProp for BlockingOutput {
    fn prop(&self) -> &SinkProp {
        &self.prop
    }
}

impl Sink for BlockingOutput {
    fn log(&self, record: &Record) -> spdlog::Result<()> {
        let mut written = self.written.lock().expect("the lock is not poisoned");
        written.push_str(record.payload());
        written.push('\n');
        Ok(())
    }

    fn flush(&self) -> spdlog::Result<()> {
        Ok(())
    }
}

#[test]
fn blocked_output_does_not_stall_and_lost_lines_are_counted() {
    let output = Arc::new(BlockingOutput::default());
    let event_log = EventLog::to_sink(Arc::clone(&output) as Arc<dyn Sink>, "e1", 1_000_000);
    let event_log = event_log.expect("an event log");
    let guard = output.written.lock().expect("the lock is not poisoned");
    // More batches than the queue holds; with a blocking log this would never end.
    for _ in 0..30 {
        event_log.record(LogPriority::State, &Line { event: "changed" });
        event_log.flush();
    }
    drop(guard);
    let reported =
        || output.written.lock().expect("the lock is not poisoned").contains("lines_dropped");
    for _ in 0..10_000 {
        if reported() {
            return;
        }
        std::thread::sleep(Duration::from_millis(1));
        event_log.flush();
    }
    panic!("lost lines are never reported");
}
