//! Answers with neither a length nor chunks, which end with their connection.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World, address, catalog,
    crashing::{Kind, repeatable},
    events,
    net::Net,
    prompt_parts::{
        CRASHING_PART, Callers, FIRST_PART, Outcome, SharedEntries, send_requests, start,
    },
    request, run_test,
};
use pondwalk_standin::backends::Behaviour;
use tokio::time::sleep;

const GAP: Duration = Duration::from_millis(10);

fn unframed_stream(last: u32, cut_in: Option<u32>) -> Behaviour {
    Behaviour::UnframedStream { last, gap: GAP, cut_in }
}

async fn start_one(world: &World, behaviour: Behaviour) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", behaviour);
    world.start().await;
}

#[test]
fn unframed_answer_is_relayed_whole() {
    run_test(|world| async move {
        start_one(&world, Behaviour::UnframedAnswer("made".into())).await;
        let response = world.call(request("/once/x", "r")).await;
        assert_eq!(response.status.as_u16(), 200);
        assert!(response.is_complete && response.body == "made", "{response:?}");
    });
}

#[test]
fn unframed_stream_is_relayed_whole() {
    run_test(|world| async move {
        start_one(&world, unframed_stream(6, None)).await;
        for path in ["/stream/x", "/fixed/x"] {
            let response = world.call(request(path, path)).await;
            assert!(response.is_complete && response.body == events(1..=6), "{response:?}");
        }
    });
}

#[test]
fn unframed_stream_that_ends_within_an_event_is_resumed() {
    run_test(|world| async move {
        start_one(&world, unframed_stream(6, None)).await;
        world.start_server(2, "s", "v1", unframed_stream(6, None));
        sleep(Duration::from_millis(100)).await;
        world.backends.script(address(1), [unframed_stream(6, Some(4))]);
        for n in 0..6 {
            let response = world.call(request("/stream/x", &format!("r{n}"))).await;
            assert!(response.is_complete && response.body == events(1..=6), "{response:?}");
        }
        let resumed = world.backends.requests(address(2));
        let resumed = resumed.iter().filter_map(|request| request.headers.get("last-event-id"));
        assert_eq!(resumed.collect::<Vec<_>>(), ["3"]);
    });
}

#[test]
fn unframed_stream_that_cannot_be_resumed_is_cut_within_an_event() {
    run_test(|world| async move {
        start_one(&world, unframed_stream(6, Some(4))).await;
        let response = world.call(request("/fixed/x", "r")).await;
        assert!(!response.is_complete && response.body == events(1..=3), "{response:?}");
    });
}

#[test]
fn unframed_stream_of_a_crashed_server_is_resumed() {
    run_test(|world| async move {
        start_one(&world, unframed_stream(50, None)).await;
        world.start_server(2, "s", "v1", unframed_stream(50, None));
        sleep(Duration::from_millis(100)).await;
        let call = world.call(request("/stream/x", "r"));
        let crash = async {
            sleep(Duration::from_millis(205)).await;
            let n = if world.backends.requests(address(1)).is_empty() { 2 } else { 1 };
            world.backends.crash(address(n));
        };
        let (response, ()) = tokio::join!(call, crash);
        assert!(response.is_complete && response.body == events(1..=50), "{response:?}");
    });
}

#[test]
fn unframed_answer_of_a_leaving_server_is_delivered() {
    run_test(|world| async move {
        start_one(&world, unframed_stream(20, None)).await;
        let call = world.call(request("/fixed/x", "r"));
        let leave = async {
            sleep(Duration::from_millis(50)).await;
            world.list_server(1, "s", "v1", "draining");
            sleep(Duration::from_millis(100)).await;
            world.backends.stop(address(1));
        };
        let (response, ()) = tokio::join!(call, leave);
        assert!(response.is_complete && response.body == events(1..=20), "{response:?}");
    });
}

/// Callers with a crashing part beside sound ones, at servers whose answers end with their
/// connections.
fn check_quarantine(kind: Kind) {
    run_test(|world| async move {
        let (world, net) = (Rc::new(world), Net::default());
        let entries = start(&world, &net, &kind, 5).await;
        let entries = SharedEntries::new(entries.into());
        let callers = |per_s: f64, parts| Callers {
            interval: Duration::from_secs_f64(1.0 / per_s),
            parts,
            from: Duration::ZERO,
            until: Duration::from_secs(30),
            retries: true,
        };
        let bad = callers(8.0, |_| vec![FIRST_PART, CRASHING_PART]);
        let sound = callers(20.0, |number| vec![FIRST_PART, 0x50 + u64::from(number % 4)]);
        let bad = send_requests(&world, &entries, &kind, "bad", bad);
        let sound = send_requests(&world, &entries, &kind, "sound", sound);
        let (_, attempts) = tokio::join!(bad, sound);
        Outcome::of(&world, &attempts).check(kind.path);
    });
}

/// Events come each 10 ms and the crash after 60, so the crashed answers end between two events.
#[test]
fn crash_between_two_events_does_not_clear_the_crashing_part() {
    check_quarantine(Kind {
        path: "/stream/x",
        behaviour: unframed_stream(50, None),
        ..repeatable()
    });
}

#[test]
fn crashing_part_of_unframed_answers_is_quarantined() {
    check_quarantine(Kind { behaviour: Behaviour::UnframedAnswer("made".into()), ..repeatable() });
}
