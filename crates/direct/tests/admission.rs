//! Refusals of requests that an overloaded service cannot answer in time.
//!
//! In the failure that is guarded against, such requests were sent nevertheless, occupied servers,
//! and ended at their callers' deadlines without an answer.

mod common;

use std::{rc::Rc, time::Duration};

use common::{TestResponse, World, address, catalog, net::Net, request, run_test, with};
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use serde_json::Value;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::sleep,
};

const ALL_ON: &str = "[policy]\nshared_load=true\nadmission=true\nfair_shares=true\n";
const WITHOUT_EXCHANGE: &str = "[policy]\nadmission=true\nfair_shares=true\n";
const ADMISSION_ONLY: &str = "[policy]\nshared_load=true\nadmission=true\n";
/// Requests that occupy the only server, of 8 slots, without an answer.
const OCCUPYING: usize = 40;
/// Requests whose answers would begin too late, and of which one in ten is admitted.
const LATE: usize = 20;

/// Sends requests that the service does not answer before their deadline.
async fn occupy(world: &Rc<World>, entry: &Entry) -> Vec<JoinHandle<TestResponse>> {
    let send = |number| {
        let (world, entry) = (Rc::clone(world), entry.clone());
        spawn_local(async move {
            world.call_at(&entry, request("/once/x", &format!("o{number}"))).await
        })
    };
    let pending = (0..OCCUPYING).map(send).collect();
    // Longer than it takes until the entries know each other's work.
    sleep(Duration::from_millis(500)).await;
    pending
}

/// Sends requests with 200 ms left to a service with a queue of a second; returns the responses.
async fn call_late(world: &Rc<World>, entry: &Entry) -> Vec<TestResponse> {
    let mut responses = Vec::new();
    for number in 0..LATE {
        let late = request("/once/x", &format!("late-{number}"));
        let late = with(late, "pondwalk-deadline-ms", "200");
        responses.push(world.call_at(entry, late).await);
    }
    responses
}

async fn start(world: World, net: &Net, further: &str) -> (Rc<World>, Vec<Entry>) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Behaviour::Silent);
    let entries = net.start_many(&world, 2, further);
    sleep(Duration::from_secs(5)).await;
    (Rc::new(world), entries)
}

fn code(response: &TestResponse) -> &str {
    let (_, rest) = response.body.split_once("\"code\":\"").unwrap_or_default();
    rest.split_once('"').map_or("", |(code, _)| code)
}

/// Number of requests with this prefix of their id that a server has received.
fn received(world: &World, prefix: &str) -> usize {
    let requests = world.backends.requests(address(1));
    let ids = requests.iter().filter_map(|one| one.headers.get("x-request-id"));
    ids.filter(|id| id.starts_with(prefix)).count()
}

/// Guards against a refusal that says "not run" for a request that was sent, and against one
/// without a time to return.
#[test]
fn refusal_of_an_overloaded_service_is_truthful() {
    run_test(|world| async move {
        let net = Net::default();
        let (world, entries) = start(world, &net, ADMISSION_ONLY).await;
        let pending = occupy(&world, &entries[0]).await;
        let responses = call_late(&world, &entries[0]).await;
        let metrics = entries[0].metrics_text();
        assert!(metrics.contains("pondwalk_admission_refused_total 18"), "{metrics}");
        let refused: Vec<_> = responses.iter().filter(|one| code(one) == "overloaded").collect();
        assert_eq!(refused.len(), LATE - LATE / 10, "all but the floor");
        for response in &refused {
            assert_eq!(response.status.as_u16(), 503);
            assert!(response.body.contains("\"ran\":false"), "{}", response.body);
            let retry_after = response.headers.get("retry-after").expect("a time");
            let seconds: f64 = retry_after.to_str().expect("text").parse().expect("a number");
            assert!(seconds >= 0.2, "{seconds}");
        }
        assert_eq!(received(&world, "late-"), LATE - refused.len(), "none was sent");
        drop(pending);
    });
}

/// The log must show what a refusal was decided by.
#[test]
fn refusals_are_logged_with_their_reasons() {
    run_test(|world| async move {
        let net = Net::default();
        let (world, entries) = start(world, &net, ADMISSION_ONLY).await;
        let pending = occupy(&world, &entries[0]).await;
        let mut events: Vec<Value> = Vec::new();
        for number in 0..LATE {
            let late = request("/once/x", &format!("late-{number}"));
            let late = with(late, "pondwalk-deadline-ms", "200");
            let response = world.call_at(&entries[0], late).await;
            if code(&response) == "overloaded" {
                // The lines are read before the next batch is written.
                let text = entries[0].buffered_log_lines();
                let lines = text.lines().map(|line| serde_json::from_str(line).expect("JSON"));
                let of_request = format!("late-{number}");
                events.extend(lines.filter(|line: &Value| {
                    line["event"] == "request_not_admitted" && line["request"] == of_request
                }));
            }
        }
        assert_eq!(events.len(), LATE - LATE / 10);
        for event in &events {
            assert_eq!((&event["workspace"], &event["priority"]), (&"w1".into(), &0.into()));
            assert_eq!((&event["reason"], &event["places"]), (&"no_place".into(), &8.into()));
            assert!(event["forecast_ms"].as_f64() > Some(400.0), "{event}");
            assert!(event["retry_after_ms"].as_u64() >= Some(200), "{event}");
        }
        drop(pending);
    });
}

/// A request waits for a place that becomes free soon, before it is refused.
#[test]
fn request_waits_for_a_place_that_becomes_free() {
    run_test(|world| async move {
        let net = Net::default();
        let (world, entries) = start(world, &net, ADMISSION_ONLY).await;
        let pending = occupy(&world, &entries[0]).await;
        // All places become free at 8 s; those of eight other requests some time before.
        let brief = |number| {
            let (world, entry) = (Rc::clone(&world), entries[0].clone());
            spawn_local(async move {
                let brief = request("/once/x", &format!("brief-{number}"));
                world.call_at(&entry, with(brief, "pondwalk-deadline-ms", "7400")).await
            })
        };
        let brief: Vec<_> = (0..8).map(brief).collect();
        for response in brief {
            assert_eq!(code(&response.await.expect("a response")), "timed_out");
        }
        let late = with(request("/once/x", "late"), "pondwalk-deadline-ms", "400");
        let response = world.call_at(&entries[0], late).await;
        let metrics = entries[0].metrics_text();
        assert!(metrics.contains("pondwalk_admission_waited_total 1"), "{metrics}");
        // It was sent, to a server that answers nothing.
        assert_eq!((code(&response), received(&world, "late")), ("timed_out", 1));
        drop(pending);
    });
}

/// Guards against one workspace that takes all places, and against its refusals being untrue.
#[test]
fn excess_of_a_workspace_is_refused_truthfully() {
    run_test(|world| async move {
        let net = Net::default();
        let (world, entries) = start(world, &net, ALL_ON).await;
        let pending = occupy(&world, &entries[0]).await;
        // 8 slots take 240 requests of 30 ms per second.
        let send = |number| {
            let (world, entry) = (Rc::clone(&world), entries[0].clone());
            spawn_local(async move {
                world.call_at(&entry, request("/once/x", &format!("excess-{number}"))).await
            })
        };
        // Over 200 ms, since a level is used for 10 ms after it was computed.
        let mut excess = Vec::new();
        for batch in 0..10 {
            excess.extend((0..100).map(|number| send(100 * batch + number)));
            sleep(Duration::from_millis(20)).await;
        }
        let (mut refused, mut timed_out) = (0, 0);
        for response in excess {
            let response = response.await.expect("a response");
            timed_out += usize::from(code(&response) == "timed_out");
            if code(&response) == "share_exceeded" {
                refused += 1;
                assert_eq!(response.status.as_u16(), 503);
                assert!(response.body.contains("\"ran\":false"), "{}", response.body);
                let retry_after = response.headers.get("retry-after").expect("a time");
                let seconds: f64 = retry_after.to_str().expect("text").parse().expect("a number");
                assert!(seconds >= 0.2, "{seconds}");
            }
        }
        assert!(refused > 0);
        assert_eq!(refused + timed_out, 1_000);
        assert_eq!(received(&world, "excess-"), timed_out, "no refused one was sent");
        let count = format!("pondwalk_shares_refused_total {refused}");
        assert!(entries[0].metrics_text().contains(&count));
        drop(pending);
    });
}

/// With the switches off, or without the exchange, the entry must behave as before: everything is
/// sent.
#[test]
fn nothing_is_refused_with_the_switches_off() {
    for further in ["", "[policy]\nshared_load=true\n", WITHOUT_EXCHANGE] {
        run_test(|world| async move {
            let net = Net::default();
            let (world, entries) = start(world, &net, further).await;
            let pending = occupy(&world, &entries[0]).await;
            let responses = call_late(&world, &entries[0]).await;
            assert!(responses.iter().all(|one| code(one) == "timed_out"), "{further}");
            assert_eq!(received(&world, "late-"), LATE);
            drop(pending);
        });
    }
}

/// A service that is not half full must not refuse anything.
#[test]
fn nothing_is_refused_while_places_are_free() {
    run_test(|world| async move {
        let net = Net::default();
        let (world, entries) = start(world, &net, ALL_ON).await;
        for n in 2..=20 {
            world.start_server(n, "s", "v1", Behaviour::Answer(200, "made".into()));
        }
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "made".into()));
        sleep(Duration::from_secs(2)).await;
        for number in 0..50 {
            let response =
                world.call_at(&entries[0], request("/again/x", &format!("r{number}"))).await;
            assert_eq!(response.status.as_u16(), 200, "{}", response.body);
        }
    });
}
