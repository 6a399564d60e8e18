//! What reaches backend servers and callers when all goes well, and what is refused at the door.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{World, address, catalog, events, play, play_with, request, stream, with};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use pondwalk_standin::backends::Act;
use tokio::time::sleep;

async fn with_one_server(world: &World, usual: Act) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", usual);
    world.start().await;
}

#[test]
fn passes_a_request_on_untouched_with_the_headers_that_are_its_own_to_set() {
    play(|world| async move {
        with_one_server(&world, Act::Answer(200, "made".into())).await;
        let sent = with(request("/once/a%20b?x=1", "r1"), "pondwalk-workspace", "forged");
        let sent = with(sent, "connection", "x-private");
        let sent = with(sent, "x-private", "1");
        let answer = world.ask(with(sent, "x-kept", "2")).await;
        assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "made"));
        assert_eq!(answer.headers["pondwalk-signature"], "proof");
        let seen = &world.backends.seen(address(1))[0];
        assert_eq!(seen.line, "POST /once/a%20b?x=1 HTTP/1.1");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.headers["pondwalk-workspace"], "w1");
        assert_eq!(seen.headers["pondwalk-expected-server"], "s1");
        assert_eq!(seen.headers["x-kept"], "2");
        assert!(!seen.headers.contains_key("authorization"));
        assert!(!seen.headers.contains_key("x-private"));
        let left: u64 = seen.headers["pondwalk-deadline-ms"].parse().expect("a number");
        assert!((7_900..8_000).contains(&left), "{left}");
    });
}

#[test]
fn takes_the_longest_prefix_of_the_host() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::Answer(200, "s".into()));
        world.start_server(2, "m", "v1", Act::Answer(200, "m".into()));
        world.start().await;
        assert_eq!(world.ask(request("/again/x", "r1")).await.body, "s");
        assert_eq!(world.ask(request("/again/deeper/x", "r2")).await.body, "m");
    });
}

#[test]
fn refuses_what_the_configuration_does_not_allow_and_nothing_else() {
    play(|world| async move {
        with_one_server(&world, Act::Answer(200, String::new())).await;
        let status = async |request| world.ask(request).await.status;
        assert_eq!(status(request("/nowhere/", "r")).await, StatusCode::NOT_FOUND);
        let unknown = with(request("/once/", "r"), "authorization", "Bearer no");
        assert_eq!(status(unknown).await, StatusCode::UNAUTHORIZED);
        let mut nameless = request("/once/", "r");
        nameless.headers_mut().remove("x-request-id");
        assert_eq!(status(nameless).await, StatusCode::BAD_REQUEST);
        let mut large = request("/once/", "r");
        *large.body_mut() = Full::from(Bytes::from(vec![b'x'; 1_001]));
        assert_eq!(status(large).await, StatusCode::PAYLOAD_TOO_LARGE);
        let mut open = request("/open/", "r");
        open.headers_mut().remove("authorization");
        assert_eq!(status(open).await, StatusCode::OK);
        assert_eq!(world.backends.runs(), 1);
    });
}

#[test]
fn answers_503_until_a_configuration_is_held() {
    play(|world| async move {
        world.start().await;
        assert!(!world.entry.is_ready());
        let answer = world.ask(request("/nowhere/", "r1")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.headers.contains_key("retry-after"));
        with_one_server(&world, Act::Answer(200, String::new())).await;
        sleep(Duration::from_millis(500)).await;
        assert!(world.entry.is_ready());
        assert_eq!(world.ask(request("/once/", "r2")).await.status, StatusCode::OK);
    });
}

#[test]
fn passes_events_on_as_they_come() {
    play(|world| async move {
        with_one_server(&world, stream(5, None)).await;
        let answer = world.ask(request("/stream/", "r1")).await;
        assert_eq!(answer.body, events(1..=5));
        assert!(answer.whole);
    });
}

#[test]
fn stops_the_work_when_the_caller_leaves() {
    play(|world| async move {
        let slow = Act::Stream {
            last: 100,
            gap: Duration::from_millis(100),
            confidence: None,
            cut_in: None,
        };
        with_one_server(&world, slow).await;
        let response = world.send(request("/stream/", "r1")).await;
        sleep(Duration::from_millis(250)).await;
        drop(response);
        sleep(Duration::from_millis(450)).await;
        assert!(world.backends.seen(address(1))[0].cancelled);
    });
}

/// A request that gives up within a second, and one that does not.
fn short_and_long() -> [Request<Full<Bytes>>; 2] {
    let short = with(request("/once/", "short"), "pondwalk-deadline-ms", "1000");
    [short, request("/once/", "long")]
}

#[test]
fn late_in_a_planned_stop_only_what_must_be_over_in_time_is_taken() {
    play(|world| async move {
        with_one_server(&world, Act::Answer(200, "made".into())).await;
        let entry = world.entry.clone();
        tokio::task::spawn_local(async move { entry.drain().await });
        let stream = world.send(request("/stream/", "keeps the entry up")).await;
        sleep(Duration::from_millis(3_000)).await;
        let [short, long] = short_and_long();
        assert_eq!(world.ask(short).await.status, 200);
        let refused = world.ask(long).await;
        assert_eq!(refused.status, 503);
        assert!(refused.headers.contains_key("retry-after"));
        sleep(Duration::from_millis(4_000)).await;
        let [short, _] = short_and_long();
        assert_eq!(world.ask(short).await.status, 503, "half a second is left");
        drop(stream);
    });
}

#[test]
fn without_late_calls_a_planned_stop_takes_nothing_late() {
    play_with("[policy]\nlate_calls=false\n", |world| async move {
        with_one_server(&world, Act::Answer(200, "made".into())).await;
        let entry = world.entry.clone();
        tokio::task::spawn_local(async move { entry.drain().await });
        let stream = world.send(request("/stream/", "keeps the entry up")).await;
        sleep(Duration::from_millis(3_000)).await;
        let [short, _] = short_and_long();
        assert_eq!(world.ask(short).await.status, 503);
        drop(stream);
    });
}

#[test]
fn a_planned_stop_finishes_what_is_under_way_and_takes_no_more() {
    play(|world| async move {
        let slow = Act::Stream {
            last: 40,
            gap: Duration::from_millis(100),
            confidence: None,
            cut_in: None,
        };
        with_one_server(&world, slow).await;
        let entry = world.entry.clone();
        let response = world.send(request("/stream/", "r1")).await;
        let stopping = tokio::task::spawn_local(async move { entry.drain().await });
        sleep(Duration::from_millis(100)).await;
        assert!(!world.entry.is_ready());
        world.backends.script(address(1), [Act::Answer(200, "late".into())]);
        let answer = world.ask(request("/once/", "r2")).await;
        assert_eq!(answer.body, "late");
        assert_eq!(answer.headers["connection"], "close");
        sleep(Duration::from_millis(2_950)).await;
        let body = http_body_util::BodyExt::collect(response.into_body());
        let body = body.await.expect("a whole stream").to_bytes();
        assert_eq!(body, events(1..=40));
        stopping.await.expect("it ends");
        assert_eq!(world.backends.runs(), 2);
    });
}
