//! Answers of backend servers that have no end.

mod common;

use std::{rc::Rc, time::Duration};

use common::{World, address, catalog, request, run_test, settings, stream, total, with};
use http_body_util::BodyExt;
use pondwalk_direct::upstream::{BoxedDuplex, Connect};
use pondwalk_standin::{backends::Behaviour, floods::Flood};
use tokio::{
    io::duplex,
    time::{Instant, sleep},
};

/// Bytes that a server offers.
const OFFERED_BYTES: usize = 400_000_000;
/// Bytes that an entry may take of an answer that its caller does not read.
const MAX_UNREAD_BYTES: usize = 4 * 1024 * 1024;
/// Bytes that may be read of an answer that has no whole head.
const MAX_HEAD_BYTES: usize = 1024 * 1024;
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time after the deadline until which a request must have ended.
const GRACE: Duration = Duration::from_millis(500);

const PATHS: [&str; 4] = ["/once/x", "/again/x", "/fixed/x", "/stream/x"];

async fn start(world: &World, flood: Flood) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", Behaviour::Flood(flood, OFFERED_BYTES));
    world.start().await;
}

/// Runs a test for each kind of flood and of route.
fn for_each_flood<F: Future<Output = ()>>(test: fn(World, Flood, &'static str) -> F) {
    for flood in Flood::ALL {
        for path in PATHS {
            run_test(|world| async move {
                start(&world, flood).await;
                test(world, flood, path).await;
            });
        }
    }
}

#[test]
fn endless_answer_is_not_buffered_for_a_caller_that_does_not_read() {
    for_each_flood(|world, flood, path| async move {
        let sent = with(request(path, "r1"), "pondwalk-deadline-ms", "3000");
        let response = world.send(sent).await;
        sleep(DEADLINE + GRACE).await;
        let taken = world.backends.streamed_bytes(address(1));
        assert!(taken <= MAX_UNREAD_BYTES, "{flood:?} {path}: {taken} bytes");
        drop(response);
        sleep(GRACE).await;
        let buffered = total(std::slice::from_ref(&world.entry), "pondwalk_buffered_bytes");
        assert_eq!(buffered, 0, "{flood:?} {path}");
    });
}

#[test]
fn endless_head_is_given_up_before_the_deadline() {
    for_each_flood(|world, flood, path| async move {
        if flood.has_whole_head() {
            return;
        }
        let started = Instant::now();
        let sent = with(request(path, "r1"), "pondwalk-deadline-ms", "3000");
        let response = world.call(sent).await;
        assert_eq!(response.status.as_u16(), 502, "{flood:?} {path}");
        assert!(started.elapsed() < DEADLINE / 2, "{flood:?} {path}: {:?}", started.elapsed());
        let taken = world.backends.streamed_bytes(address(1));
        let sends = world.backends.requests(address(1)).len();
        assert!(taken <= sends * MAX_HEAD_BYTES, "{flood:?} {path}: {taken} bytes");
    });
}

#[test]
fn endless_answer_never_looks_complete_and_ends_by_the_deadline() {
    for_each_flood(|world, flood, path| async move {
        let started = Instant::now();
        let sent = with(request(path, "r1"), "pondwalk-deadline-ms", "3000");
        let response = world.send(sent).await;
        let status = response.status().as_u16();
        let mut body = response.into_body();
        let mut is_complete = true;
        while let Some(frame) = body.frame().await {
            is_complete &= frame.is_ok();
        }
        assert!(status != 200 || !is_complete, "{flood:?} {path}");
        assert!(started.elapsed() <= DEADLINE + GRACE, "{flood:?} {path}: {:?}", started.elapsed());
        let requests = world.backends.requests(address(1));
        assert!(requests.iter().all(|request| request.cancelled), "{flood:?} {path}");
    });
}

/// Bytes of a sound answer that is too long to be buffered.
const LONG_BYTES: usize = 100_000_000;

fn long_answers(bytes: usize) -> [Behaviour; 3] {
    let body = "0123456789abcdef".repeat(bytes / 16);
    [
        Behaviour::Answer(200, body.clone()),
        Behaviour::ChunkedAnswer { body: body.clone(), is_whole: true },
        Behaviour::UnframedAnswer(body),
    ]
}

/// Reads a response, with a pause after each frame; returns its length and whether it is complete.
async fn read(response: hyper::Response<hyper::body::Incoming>, pause: Duration) -> (usize, bool) {
    let mut body = response.into_body();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return (bytes, false) };
        bytes += frame.data_ref().map_or(0, |data| data.len());
        sleep(pause).await;
    }
    (bytes, true)
}

#[test]
fn long_answers_are_passed_on_whole_at_any_speed_of_the_caller() {
    for (bytes, pause_ms) in [(4_000_000, 0), (4_000_000, 200), (LONG_BYTES, 0)] {
        for behaviour in long_answers(bytes) {
            run_test(|world| async move {
                world.configure(catalog(1));
                world.start_server(1, "s", "v1", behaviour);
                world.start().await;
                let response = world.send(request("/once/x", "r1")).await;
                assert_eq!(response.status().as_u16(), 200);
                let read = read(response, Duration::from_millis(pause_ms)).await;
                assert_eq!(read, (bytes, true));
                let answered = total(std::slice::from_ref(&world.entry), "pondwalk_answered_total");
                assert_eq!(answered, 1);
            });
        }
    }
}

#[test]
fn long_answer_that_breaks_off_does_not_look_complete() {
    let body = "0123456789abcdef".repeat(250_000);
    for path in ["/once/x", "/again/x"] {
        let behaviour = Behaviour::ChunkedAnswer { body: body.clone(), is_whole: false };
        run_test(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", behaviour);
            world.start().await;
            let response = world.send(request(path, "r1")).await;
            assert_eq!(response.status().as_u16(), 200);
            let (_, is_complete) = read(response, Duration::ZERO).await;
            assert!(!is_complete, "{path}");
            assert!(world.entry.buffered_log_lines().contains("\"answer_cut\""));
        });
    }
}

#[test]
fn endless_answers_are_logged_and_counted_with_their_server_and_size() {
    run_test(|world| async move {
        start(&world, Flood::DeclaredBody).await;
        let response = world.call(request("/once/x", "r1")).await;
        assert_eq!(response.status.as_u16(), 502);
        assert!(response.body.contains("\"ran\":\"unknown\""), "{}", response.body);
        let log = world.entry.buffered_log_lines();
        let line = log.lines().find(|line| line.contains("\"answer_too_long\"")).expect("a line");
        for part in ["\"request\":\"r1\"", "\"server\":\"s1\"", "\"version\":\"v1\"", "\"bytes\":"]
        {
            assert!(line.contains(part), "{line}");
        }
        assert_eq!(total(std::slice::from_ref(&world.entry), "pondwalk_answers_too_long_total"), 1);
    });
}

#[test]
fn version_with_endless_answers_is_reverted() {
    let floods =
        [Flood::UnframedBody, Flood::DeclaredBody, Flood::ChunkSize, Flood::InformationalHeads];
    for flood in floods {
        run_test(|world| async move {
            world.configure(catalog(1));
            for n in 1..=4 {
                world.start_server(n, "s", "v1", Behaviour::Answer(200, "made".into()));
            }
            world.start().await;
            world.store.put("order/s", "v2 60");
            for n in 5..=8 {
                world.start_server(n, "s", "v2", Behaviour::Flood(flood, OFFERED_BYTES));
            }
            for n in 0..3_000 {
                let sent = request("/again/x", &format!("r{n}"));
                let sent = with(sent, "pondwalk-deadline-ms", "200");
                read(world.send(sent).await, Duration::ZERO).await;
                sleep(Duration::from_millis(10)).await;
            }
            let progress = world.store.value("progress/s");
            assert_eq!(progress.as_deref(), Some("v2 Reverted"), "{flood:?}");
        });
    }
}

#[test]
fn stream_without_ids_is_not_continued_from_another_run() {
    run_test(|world| async move {
        world.configure(catalog(1));
        for n in 1..=2 {
            world.start_server(n, "s", "v1", stream(6, None));
        }
        world.start().await;
        for n in 1..=2 {
            world.backends.script(address(n), [Behaviour::Flood(Flood::Events, 1_000)]);
        }
        let mut cut = 0;
        for n in 0..4 {
            let response = world.call(request("/stream/x", &format!("r{n}"))).await;
            let is_joined = response.body.contains("data: x") && response.body.contains("id:");
            assert!(!is_joined, "{response:?}");
            cut += usize::from(!response.is_complete);
        }
        assert_eq!(cut, 2);
    });
}

#[test]
fn endless_answer_of_a_crashed_server_behind_a_proxy_does_not_look_complete() {
    for (path, flood) in [("/once/x", Flood::UnframedBody), ("/fixed/x", Flood::Events)] {
        run_test(|world| async move {
            world.configure(catalog(1));
            world.start_server(1, "s", "v1", Behaviour::Flood(flood, OFFERED_BYTES));
            let backends = world.backends.clone();
            // The proxy accepts connections whether the server runs or not.
            let connect: Connect = Rc::new(move |address| {
                let stream = backends.connect(address).unwrap_or_else(|_| duplex(64).0);
                Box::pin(async move { Ok(Box::new(stream) as BoxedDuplex) })
            });
            let entry = world.entry_with(settings("e2", None), connect);
            entry.start();
            sleep(Duration::from_millis(500)).await;
            let call = world.call_at(&entry, request(path, "r1"));
            let crash = async {
                sleep(Duration::from_millis(300)).await;
                world.backends.crash(address(1));
            };
            let (response, ()) = tokio::join!(call, crash);
            assert!(!response.is_complete, "{flood:?}");
        });
    }
}

#[test]
fn endless_answer_of_a_server_that_has_restarted_does_not_look_complete() {
    run_test(|world| async move {
        start(&world, Flood::UnframedBody).await;
        let response = world.send(request("/once/x", "r1")).await;
        sleep(Duration::from_millis(300)).await;
        world.backends.crash(address(1));
        sleep(Duration::from_millis(100)).await;
        world.backends.start(address(1), "s1-2", Behaviour::Answer(200, "made".into()));
        // What the server had sent is read only now, and the end of the connection behind it.
        let (_, is_complete) = read(response, Duration::ZERO).await;
        assert!(!is_complete);
    });
}
