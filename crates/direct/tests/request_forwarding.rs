//! What reaches backend servers and callers in normal operation, and which requests are refused.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::{World, address, catalog, events, request, run_test, run_test_with, stream, with};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use pondwalk_standin::backends::Behaviour;
use tokio::time::sleep;

async fn start_one_server(world: &World, behaviour: Behaviour) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", behaviour);
    world.start().await;
}

#[test]
fn request_is_forwarded_unchanged_with_own_headers() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, "made".into())).await;
        let sent = with(request("/once/a%20b?x=1", "r1"), "pondwalk-workspace", "forged");
        let sent = with(sent, "connection", "x-private");
        let sent = with(sent, "x-private", "1");
        let response = world.call(with(sent, "x-kept", "2")).await;
        assert_eq!((response.status, response.body.as_str()), (StatusCode::OK, "made"));
        assert_eq!(response.headers["pondwalk-signature"], "proof");
        let seen = &world.backends.requests(address(1))[0];
        assert_eq!(seen.request_line, "POST /once/a%20b?x=1 HTTP/1.1");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.headers["pondwalk-workspace"], "w1");
        assert_eq!(seen.headers["pondwalk-expected-server"], "s1");
        assert_eq!(seen.headers["x-kept"], "2");
        assert!(!seen.headers.contains_key("authorization"));
        assert!(!seen.headers.contains_key("x-private"));
        let remaining: u64 = seen.headers["pondwalk-deadline-ms"].parse().expect("a number");
        assert!((7_900..8_000).contains(&remaining), "{remaining}");
    });
}

#[test]
fn longest_path_prefix_of_the_host_wins() {
    run_test(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Behaviour::Answer(200, "s".into()));
        world.start_server(2, "m", "v1", Behaviour::Answer(200, "m".into()));
        world.start().await;
        assert_eq!(world.call(request("/again/x", "r1")).await.body, "s");
        assert_eq!(world.call(request("/again/deeper/x", "r2")).await.body, "m");
    });
}

#[test]
fn only_disallowed_requests_are_refused() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, String::new())).await;
        let status = async |request| world.call(request).await.status;
        assert_eq!(status(request("/nowhere/", "r")).await, StatusCode::NOT_FOUND);
        let unknown = with(request("/once/", "r"), "authorization", "Bearer no");
        assert_eq!(status(unknown).await, StatusCode::UNAUTHORIZED);
        let mut without_id = request("/once/", "r");
        without_id.headers_mut().remove("x-request-id");
        assert_eq!(status(without_id).await, StatusCode::BAD_REQUEST);
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
fn responds_503_without_a_configuration() {
    run_test(|world| async move {
        world.start().await;
        assert!(!world.entry.is_ready());
        let response = world.call(request("/nowhere/", "r1")).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
        start_one_server(&world, Behaviour::Answer(200, String::new())).await;
        sleep(Duration::from_millis(500)).await;
        assert!(world.entry.is_ready());
        assert_eq!(world.call(request("/once/", "r2")).await.status, StatusCode::OK);
    });
}

#[test]
fn events_are_relayed_as_they_arrive() {
    run_test(|world| async move {
        start_one_server(&world, stream(5, None)).await;
        let response = world.call(request("/stream/", "r1")).await;
        assert_eq!(response.body, events(1..=5));
        assert!(response.is_complete);
    });
}

#[test]
fn work_stops_when_the_caller_disconnects() {
    run_test(|world| async move {
        let slow = Behaviour::Stream {
            last: 100,
            gap: Duration::from_millis(100),
            confidence: None,
            cut_in: None,
        };
        start_one_server(&world, slow).await;
        let response = world.send(request("/stream/", "r1")).await;
        sleep(Duration::from_millis(250)).await;
        drop(response);
        sleep(Duration::from_millis(450)).await;
        assert!(world.backends.requests(address(1))[0].cancelled);
    });
}

/// A request with a deadline of one second, and one with a longer deadline.
fn short_and_long() -> [Request<Full<Bytes>>; 2] {
    let short = with(request("/once/", "short"), "pondwalk-deadline-ms", "1000");
    [short, request("/once/", "long")]
}

/// Sends a request whose answer takes longer than a shutdown.
async fn keep_running(world: &World) -> hyper::Response<hyper::body::Incoming> {
    let gap = Duration::from_millis(100);
    let long = Behaviour::Stream { last: 100, gap, confidence: None, cut_in: None };
    world.backends.script(address(1), [long]);
    world.send(request("/stream/", "keeps the entry running")).await
}

#[test]
fn late_in_a_shutdown_only_short_requests_are_accepted() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, "made".into())).await;
        let entry = world.entry.clone();
        tokio::task::spawn_local(async move { entry.drain().await });
        let stream = keep_running(&world).await;
        sleep(Duration::from_millis(3_000)).await;
        let [short, long] = short_and_long();
        assert_eq!(world.call(short).await.status, 200);
        let refused = world.call(long).await;
        assert_eq!(refused.status, 503);
        assert!(refused.headers.contains_key("retry-after"));
        sleep(Duration::from_millis(4_000)).await;
        let [short, _] = short_and_long();
        assert_eq!(world.call(short).await.status, 503, "half a second is left");
        drop(stream);
    });
}

#[test]
fn without_late_calls_a_shutdown_accepts_nothing_late() {
    run_test_with("[policy]\nlate_calls=false\n", |world| async move {
        start_one_server(&world, Behaviour::Answer(200, "made".into())).await;
        let entry = world.entry.clone();
        tokio::task::spawn_local(async move { entry.drain().await });
        let stream = keep_running(&world).await;
        sleep(Duration::from_millis(3_000)).await;
        let [short, _] = short_and_long();
        assert_eq!(world.call(short).await.status, 503);
        drop(stream);
    });
}

#[test]
fn shutdown_completes_requests_in_flight_and_accepts_no_more() {
    run_test(|world| async move {
        let slow = Behaviour::Stream {
            last: 40,
            gap: Duration::from_millis(100),
            confidence: None,
            cut_in: None,
        };
        start_one_server(&world, slow).await;
        let entry = world.entry.clone();
        let streamed = world.send(request("/stream/", "r1")).await;
        let stopping = tokio::task::spawn_local(async move { entry.drain().await });
        sleep(Duration::from_millis(100)).await;
        assert!(!world.entry.is_ready());
        world.backends.script(address(1), [Behaviour::Answer(200, "late".into())]);
        let response = world.call(request("/once/", "r2")).await;
        assert_eq!(response.body, "late");
        assert_eq!(response.headers["connection"], "close");
        sleep(Duration::from_millis(2_950)).await;
        let body = http_body_util::BodyExt::collect(streamed.into_body());
        let body = body.await.expect("a complete stream").to_bytes();
        assert_eq!(body, events(1..=40));
        stopping.await.expect("it ends");
        assert_eq!(world.backends.runs(), 2);
    });
}
