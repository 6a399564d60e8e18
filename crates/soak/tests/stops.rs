//! A planned stop of an entry as a real process, while callers read slowly.

#[path = "site/mod.rs"]
mod site;

use std::{process::Stdio, time::Duration};

use nix::sys::signal::{Signal, kill};
use pondwalk_standin::backends::Behaviour;
use site::{Site, request_head, routes_of, run_test, start_entry_with};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::spawn_local,
    time::{Instant, sleep},
};

/// Receive buffer of a slow caller.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
const READ_INTERVAL: Duration = Duration::from_millis(20);
/// Event that an answer consists of, so that it is whole on each route.
const EVENT: &str = "data: ~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~\n\n";
/// Size of an answer, of which a connection holds only a part.
const ANSWER_BYTES: usize = 200_000 * EVENT.len();
/// Bytes that a caller reads each interval: the whole answer in six seconds.
const READ_BYTES: usize = ANSWER_BYTES / 300;
/// The default grace period.
const GRACE: Duration = Duration::from_secs(8);

async fn connect(site: &Site) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a buffer size");
    socket.connect(site.callers).await.expect("open")
}

/// Sends a request on a connection of its own.
async fn send(site: &Site, path: &str, id: &str, body: &[u8]) -> TcpStream {
    let mut stream = connect(site).await;
    write_request(&mut stream, path, id, body).await;
    stream
}

async fn write_request(stream: &mut TcpStream, path: &str, id: &str, body: &[u8]) {
    let deadline = pondwalk_platform::dialect().deadline_ms;
    let length = body.len();
    let rest = format!("{deadline}: 9000\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all(request_head(path, id, &rest).as_bytes()).await.expect("it is written");
    // The entry may close the connection before it has read all of this.
    let _ = stream.write_all(body).await;
}

/// Reads slowly until the connection ends.
async fn read_slowly(mut stream: TcpStream) -> Vec<u8> {
    let (mut response, mut buffer) = (Vec::new(), vec![0; READ_BYTES]);
    loop {
        sleep(READ_INTERVAL).await;
        let mut room = &mut buffer[..];
        while !room.is_empty() {
            // A connection that is reset is incomplete.
            let Ok(bytes) = stream.read(room).await else { return response };
            if bytes == 0 {
                return response;
            }
            response.extend_from_slice(&room[..bytes]);
            room = &mut room[bytes..];
        }
    }
}

/// Sends signals in series; returns how long the process takes to end.
async fn stop(site: &mut Site) -> Duration {
    let started_at = Instant::now();
    for signal in [Signal::SIGHUP, Signal::SIGTERM, Signal::SIGHUP, Signal::SIGTERM] {
        kill(site.pid(), signal).expect("it runs");
        sleep(Duration::from_millis(50)).await;
    }
    while started_at.elapsed() < GRACE {
        if let Some(status) = site.child.try_wait().expect("a child") {
            assert!(status.success(), "{status}");
            return started_at.elapsed();
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the process does not end within the grace period");
}

/// Number of bytes that occur in events alone, not in the framing of chunks.
fn event_bytes(response: &[u8]) -> usize {
    response.iter().filter(|byte| **byte == b'~').count()
}

/// Guards against answers cut by a stop, whatever signals arrive meanwhile and whatever else the
/// callers send.
#[test]
fn answers_of_slow_callers_survive_signals_and_further_requests() {
    run_test(async {
        let large = Behaviour::Answer(200, EVENT.repeat(ANSWER_BYTES / EVENT.len()));
        let mut site = Site::start_with("stops", &[("large", large)]).await;
        let mut readers = Vec::new();
        for (number, (path, _)) in routes_of("large").iter().cycle().take(6).enumerate() {
            let mut caller = send(&site, path, &format!("r{number}"), b"").await;
            if number >= 3 {
                // More than the entry reads ahead.
                let body = vec![b'x'; 60_000];
                write_request(&mut caller, "/plain/idempotent/x", &format!("next{number}"), &body)
                    .await;
            }
            readers.push((path.clone(), number, spawn_local(read_slowly(caller))));
        }
        sleep(Duration::from_millis(300)).await;
        let after = stop(&mut site).await;
        assert!(after > Duration::from_secs(3), "{after:?}");
        for (path, number, reader) in readers {
            let response = reader.await.expect("it ends");
            let whole = ANSWER_BYTES / EVENT.len() * event_bytes(EVENT.as_bytes());
            assert_eq!(event_bytes(&response), whole, "{path} {number}");
        }
    });
}

/// Guards against a stop that waits for whoever reads the log.
#[test]
fn stop_does_not_wait_for_an_unread_log() {
    run_test(async {
        let mut site = Site::start("unread-log").await;
        site.child.kill().expect("it runs");
        site.child.wait().expect("it ends");
        let settings = site.folder.join("entry.ini");
        site.child = start_entry_with(&settings, Stdio::piped(), Stdio::null());
        site.wait_until_served().await;
        let until = Instant::now() + Duration::from_secs(2);
        let callers = (0..8).map(|_| site.call_plain(until));
        futures::future::join_all(callers).await;
        let after = stop(&mut site).await;
        assert!(after < Duration::from_secs(4), "{after:?}");
    });
}
