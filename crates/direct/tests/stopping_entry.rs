//! A planned stop while callers still read their answers.

mod common;

use std::{cell::RefCell, rc::Rc, time::Duration};

use common::{World, catalog, run_test};
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

/// Bytes that a connection between caller and entry holds.
const CONNECTION_BYTES: usize = 512;
/// Interval between two reads of a slow caller.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// The grace period of the settings, when requests under way get an answer, and when an entry has
/// ended.
const GRACE: Duration = Duration::from_secs(8);
const LATEST_ANSWER: Duration = Duration::from_millis(7_600);
const LATEST_END: Duration = Duration::from_millis(7_760);
/// When an entry with nothing to do ends.
const IDLE_END: Duration = Duration::from_millis(2_900);
/// What a test's clock and an entry's polls may add.
const TOLERANCE: Duration = Duration::from_millis(100);
const KEY: &str = "authorization: Bearer k1\r\n";

/// Connections to an entry, which end with it.
#[derive(Clone, Default)]
struct Connections {
    served: Rc<RefCell<Vec<JoinHandle<()>>>>,
}

impl Connections {
    fn open(&self, world: &World, bytes: usize) -> DuplexStream {
        let (caller, server_end) = duplex(bytes);
        let entry = world.entry.clone();
        let served = spawn_local(async move { entry.serve(server_end).await });
        self.served.borrow_mut().push(served);
        caller
    }

    async fn send(&self, world: &World, path: &str, headers: &str) -> DuplexStream {
        let mut caller = self.open(world, CONNECTION_BYTES);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: r\r\n{headers}\
             content-length: 0\r\n\r\n"
        );
        caller.write_all(head.as_bytes()).await.expect("sent");
        caller
    }

    /// Stops the entry and ends its connections, as the end of its process does. Returns how long
    /// it took.
    async fn stop(&self, entry: Entry) -> Duration {
        let started_at = Instant::now();
        entry.drain().await;
        self.served.borrow().iter().for_each(JoinHandle::abort);
        started_at.elapsed()
    }
}

/// Reads `rate` bytes each interval until the connection ends.
async fn read_slowly(mut caller: DuplexStream, rate: usize) -> Vec<u8> {
    let (mut response, mut buffer) = (Vec::new(), vec![0; rate]);
    loop {
        sleep(READ_INTERVAL).await;
        let mut room = &mut buffer[..];
        while !room.is_empty() {
            // A connection that ends in the middle of a chunk breaks for the caller.
            let Ok(bytes) = caller.read(room).await else { return response };
            if bytes == 0 {
                return response;
            }
            response.extend_from_slice(&room[..bytes]);
            room = &mut room[bytes..];
        }
    }
}

fn text(bytes: usize) -> String {
    "0123456789".repeat(bytes / 10)
}

async fn start_one_server(world: &World, behaviour: Behaviour) {
    world.configure(catalog(1));
    world.start_server(1, "s", "v1", behaviour);
    world.start().await;
}

/// Has a slow caller read an answer in 70 intervals, in which its entry is told to stop.
async fn read_through_a_stop(world: &World, path: &str, bytes: usize) -> (String, Duration) {
    let connections = Connections::default();
    let caller = connections.send(world, path, KEY).await;
    let reading = spawn_local(read_slowly(caller, bytes / 60));
    sleep(Duration::from_millis(300)).await;
    let stopped_after = connections.stop(world.entry.clone()).await;
    let response = reading.await.expect("it ends");
    (String::from_utf8_lossy(&response).into_owned(), stopped_after)
}

/// Guards against a stop that cuts answers which the HTTP library has taken and not written.
#[test]
fn answers_that_callers_read_slowly_are_written_before_the_end() {
    for bytes in [60_000, 700_000, 2_000_000] {
        let behaviours = [
            Behaviour::Answer(200, text(bytes)),
            Behaviour::Answer(500, text(bytes)),
            Behaviour::ChunkedAnswer { body: text(bytes), is_whole: true },
            Behaviour::UnframedAnswer(text(bytes)),
        ];
        for (kind, behaviour) in behaviours.into_iter().enumerate() {
            for path in ["/once/", "/again/", "/open/"] {
                let behaviour = behaviour.clone();
                run_test(|world| async move {
                    start_one_server(&world, behaviour).await;
                    let (response, after) = read_through_a_stop(&world, path, bytes).await;
                    let is_whole = response.ends_with(&text(bytes)[bytes - 1_000..])
                        || response.ends_with("9\r\n0\r\n\r\n");
                    assert!(is_whole, "{path}, kind {kind}: {} of {bytes}", response.len());
                    assert!(after > IDLE_END && after < LATEST_ANSWER, "{after:?}");
                });
            }
        }
    }
    for last in [2_000, 4_000] {
        for path in ["/stream/", "/fixed/"] {
            run_test(|world| async move {
                let gap = Duration::from_millis(1);
                let stream = Behaviour::Stream { last, gap, confidence: None, cut_in: None };
                start_one_server(&world, stream).await;
                let bytes = common::events(1..=last).len();
                let (response, _) = read_through_a_stop(&world, path, bytes).await;
                assert!(response.contains(&format!("piece {last}\n\n")), "{}", response.len());
                assert!(response.ends_with("0\r\n\r\n"));
            });
        }
    }
}

/// Guards against a stop that cuts refusals.
#[test]
fn refusals_that_callers_read_slowly_are_written_before_the_end() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, text(100))).await;
        let connections = Connections::default();
        let mut readers = Vec::new();
        for (path, key) in [("/nowhere/", KEY), ("/once/", ""), ("/once/", "expect: nothing\r\n")] {
            let mut caller = connections.open(&world, 16);
            let head = format!("POST {path} HTTP/1.1\r\nhost: h.example\r\n{key}\r\n");
            caller.write_all(head.as_bytes()).await.expect("sent");
            readers.push(spawn_local(read_slowly(caller, 4)));
        }
        sleep(Duration::from_millis(300)).await;
        connections.stop(world.entry.clone()).await;
        for reader in readers {
            let response = reader.await.expect("it ends");
            let response = String::from_utf8_lossy(&response).into_owned();
            assert!(response.ends_with("\"ran\":false}"), "{response}");
        }
    });
}

/// Guards against a stop that cuts answers to other entries.
#[test]
fn answers_that_other_entries_read_slowly_are_written_before_the_end() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, text(100))).await;
        let (mut peer, server_end) = duplex(16);
        let entry = world.entry.clone();
        let served = spawn_local(async move { entry.serve_peer(server_end).await });
        let head = "GET /state?after=0.0&first=now HTTP/1.1\r\nhost: e1\r\n\r\n";
        peer.write_all(head.as_bytes()).await.expect("sent");
        let reading = spawn_local(read_slowly(peer, 4));
        sleep(Duration::from_millis(300)).await;
        world.entry.drain().await;
        served.abort();
        let answer = reading.await.expect("it ends");
        let head_end = answer.windows(4).position(|window| window == b"\r\n\r\n").expect("a head");
        let head = String::from_utf8_lossy(&answer[..head_end]).into_owned();
        let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.expect("a length").parse().expect("a number");
        assert_eq!(answer.len(), head_end + 4 + length);
    });
}

/// Guards against a stop that ends requests under way without an answer.
#[test]
fn requests_under_way_at_the_end_of_a_stop_get_an_answer() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Silent).await;
        world.start_server(2, "s", "v1", Behaviour::Silent);
        let connections = Connections::default();
        let (entry, stopped) = (world.entry.clone(), connections.clone());
        let stopping = spawn_local(async move { stopped.stop(entry).await });
        sleep(Duration::from_millis(1_000)).await;
        let mut readers = Vec::new();
        for path in ["/once/", "/again/", "/stream/"] {
            let headers = format!("{KEY}pondwalk-deadline-ms: 8000\r\n");
            let caller = connections.send(&world, path, &headers).await;
            readers.push((
                "HTTP/1.1 50",
                "\"ran\":\"unknown\"}",
                spawn_local(read_slowly(caller, 500)),
            ));
        }
        sleep(Duration::from_millis(2_500)).await;
        let mut caller = connections.open(&world, CONNECTION_BYTES);
        let head = format!(
            "POST /once/ HTTP/1.1\r\nhost: h.example\r\nx-request-id: r\r\n{KEY}\
             content-length: 9\r\n\r\npart"
        );
        caller.write_all(head.as_bytes()).await.expect("sent");
        readers.push(("HTTP/1.1 503", "\"ran\":false}", spawn_local(read_slowly(caller, 500))));
        for (status, end, reader) in readers {
            let response = reader.await.expect("it ends");
            let response = String::from_utf8_lossy(&response).into_owned();
            assert!(response.starts_with(status) && response.ends_with(end), "{response}");
        }
        assert!(stopping.await.expect("it ends") < LATEST_END + TOLERANCE);
    });
}

/// Guards against callers that never read and hold a stop up beyond its end.
#[test]
fn caller_that_never_reads_holds_a_stop_until_the_end_and_is_logged() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, text(60_000))).await;
        let connections = Connections::default();
        let unread = connections.send(&world, "/once/", KEY).await;
        sleep(Duration::from_millis(300)).await;
        let after = connections.stop(world.entry.clone()).await;
        assert!(after >= LATEST_END && after < LATEST_END + TOLERANCE, "{after:?}");
        assert!(after < GRACE);
        drop(unread);
        let log = world.entry.buffered_log_lines();
        let line = log.lines().find(|line| line.contains("answer_not_written")).expect("a line");
        assert!(line.contains("\"request\":\"r\""), "{line}");
        assert!(line.contains("\"written_bytes\":512,\"left_bytes\":59488"), "{line}");
    });
}

#[test]
fn stop_without_unwritten_answers_ends_early() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, text(60_000))).await;
        let connections = Connections::default();
        let caller = connections.send(&world, "/once/", KEY).await;
        let response = spawn_local(read_slowly(caller, 10_000));
        // A caller that leaves holds nothing up either.
        drop(connections.send(&world, "/once/", KEY).await);
        sleep(Duration::from_secs(1)).await;
        let after = connections.stop(world.entry.clone()).await;
        assert!(after < IDLE_END + TOLERANCE, "{after:?}");
        assert!(response.await.expect("it ends").ends_with(text(100).as_bytes()));
    });
}

/// Guards against late requests that are accepted and then cut.
#[test]
fn late_request_of_a_slow_caller_is_written_by_its_deadline_or_refused() {
    run_test(|world| async move {
        start_one_server(&world, Behaviour::Answer(200, text(60_000))).await;
        let connections = Connections::default();
        let started_at = Instant::now();
        let (entry, stopped) = (world.entry.clone(), connections.clone());
        let stopping = spawn_local(async move { stopped.stop(entry).await });
        let kept = connections.send(&world, "/once/", KEY).await;
        sleep(Duration::from_millis(3_200)).await;
        assert!(!stopping.is_finished());
        let mut readers = Vec::new();
        for deadline_ms in [1_000, 4_300, 4_500, 8_000] {
            let headers = format!("{KEY}pondwalk-deadline-ms: {deadline_ms}\r\n");
            let caller = connections.send(&world, "/again/", &headers).await;
            readers.push((deadline_ms, spawn_local(read_slowly(caller, 1_500))));
        }
        for (deadline_ms, reader) in readers {
            let response = reader.await.expect("it ends");
            let response = String::from_utf8_lossy(&response).into_owned();
            let is_in_time = started_at + Duration::from_millis(3_200 + deadline_ms)
                <= started_at + LATEST_ANSWER;
            let status = if is_in_time { "HTTP/1.1 200" } else { "HTTP/1.1 503" };
            assert!(response.starts_with(status), "{deadline_ms}: {}", &response[..40]);
            let whole = if is_in_time { "0123456789" } else { "\"ran\":false}" };
            assert!(response.ends_with(whole), "{deadline_ms}: {}", response.len());
        }
        drop(kept);
        let after = stopping.await.expect("it ends");
        assert!(after < LATEST_END + TOLERANCE, "{after:?}");
    });
}
