//! Callers of an entry that is told to stop: some read their answers slowly, some send requests until
//! its process is gone.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use pondwalk_standin::backends::REPEAT_BODY;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep, timeout},
};

use crate::{
    callers::{DEADLINE, connect, exchange, request},
    deployment::{Deployment, HOST_NAME, key_text},
    records::{Exchange, Outcome, Route, SlowRead, now_us},
};

/// Number of callers of each kind.
const CALLERS: usize = 4;
/// Time from the first of them to the signal.
pub const LEAD_TIME: Duration = Duration::from_millis(400);
/// Time for which they send requests, several times a stop.
const SENDING_TIME: Duration = Duration::from_secs(7);
/// Maximum pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 150;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Receive buffer of a caller that reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;
/// Segment size of its connection, as on an Ethernet link. With the segments of a loopback interface
/// the sender's buffer holds megabytes.
const SEGMENT_BYTES: u32 = 1_460;
/// Number of times that the answer of a slow read repeats its id: more than a connection holds.
const REPETITIONS: usize = 80_000;
/// Deadline of a slow read.
pub const SLOW_DEADLINE: Duration = Duration::from_millis(8_000);
/// Time in which a slow read ends, the pause between its parts, and their size.
const READ_TIME: Duration = Duration::from_millis(4_800);
const READ_INTERVAL: Duration = Duration::from_millis(10);
const READ_BYTES: usize = 8 * 1024;
/// Share of that time for which every other caller reads nothing at first.
const PAUSE_SHARE: f64 = 0.75;

/// Starts callers of an entry that is about to stop, if it is ready.
pub fn start(deployment: &Rc<Deployment>, entry: usize, seed: u64) -> Vec<JoinHandle<()>> {
    let Some(address) = deployment.ready_address(entry) else { return Vec::new() };
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let number = deployment.next_repeater_number();
        callers.push(spawn_local(read_slowly(Rc::clone(deployment), entry, address, number)));
        let rng = Pcg64Mcg::seed_from_u64(seed ^ (number as u64) << 16);
        let late = send_late(Rc::clone(deployment), entry, address, number, rng);
        callers.push(spawn_local(late));
    }
    callers
}

/// Sends requests on connections that are kept until they are closed.
async fn send_late(
    deployment: Rc<Deployment>,
    entry: usize,
    address: SocketAddr,
    number: usize,
    mut rng: Pcg64Mcg,
) {
    let dialect = pondwalk_platform::dialect();
    let until = Instant::now() + SENDING_TIME;
    let mut sent = 0;
    while Instant::now() < until {
        // The process may be gone.
        let Ok(Some(mut sender)) = timeout(CONNECT_TIMEOUT, connect(address)).await else { return };
        let mut is_reusable = true;
        while is_reusable && sender.ready().await.is_ok() && Instant::now() < until {
            let id = format!("l{number:04x}{sent:07x}");
            sent += 1;
            let route = *Route::ALL.choose(&mut rng).unwrap_or(&Route::Once);
            let key = deployment.config_version();
            let parts = [sent << 32];
            let built = request(&dialect, &id, route, key, "late".to_owned(), &parts);
            let Ok(request) = built else { return };
            let sent_us = now_us();
            let exchanged = exchange(&mut sender, request, &id, route, &dialect);
            let ended = timeout(DEADLINE + CONNECT_TIMEOUT, exchanged).await;
            let (outcome, reusable) = ended.unwrap_or((Outcome::NoAnswer, false));
            is_reusable = reusable;
            let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), outcome };
            deployment.records.borrow_mut().exchanges.push(exchange);
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }
}

/// Sends a request with a long answer and reads that slowly.
async fn read_slowly(deployment: Rc<Deployment>, entry: usize, address: SocketAddr, number: usize) {
    let id = format!("s{number:04x}0000000");
    let (key, sent_us) = (deployment.config_version(), now_us());
    let Some(mut stream) = open_slowly(address).await else { return };
    let dialect = pondwalk_platform::dialect();
    let body = format!("{REPEAT_BODY}{REPETITIONS}");
    let head = format!(
        "POST {} HTTP/1.1\r\nhost: {HOST_NAME}\r\n{}: {id}\r\n{}: {}\r\n\
         authorization: {} {}\r\ncontent-length: {}\r\n\r\n{body}",
        Route::Again.path(),
        dialect.request_id,
        dialect.deadline_ms,
        SLOW_DEADLINE.as_millis(),
        dialect.key_scheme,
        key_text(key),
        body.len(),
    );
    if stream.write_all(head.as_bytes()).await.is_err() {
        return;
    }
    let (mut answer, answer_bytes) = (Vec::new(), REPETITIONS * id.len());
    let pause = READ_TIME.mul_f64(if number.is_multiple_of(2) { PAUSE_SHARE } else { 0.0 });
    let bytes_per_s = answer_bytes as f64 / (READ_TIME - pause).as_secs_f64();
    sleep(pause).await;
    let (started_at, mut part) = (Instant::now(), vec![0; READ_BYTES]);
    while answer.len() < answer_bytes {
        if answer.len() as f64 > started_at.elapsed().as_secs_f64() * bytes_per_s {
            sleep(READ_INTERVAL).await;
            continue;
        }
        // A connection that breaks or stalls ends the read too.
        match timeout(SLOW_DEADLINE, stream.read(&mut part)).await {
            Ok(Ok(bytes)) if bytes > 0 => answer.extend_from_slice(&part[..bytes]),
            _ => break,
        }
    }
    let is_cut = answer.starts_with(b"HTTP/1.1 200") && answer.len() < answer_bytes;
    let read = SlowRead { id, entry, sent_us, ended_us: now_us(), bytes: answer.len(), is_cut };
    deployment.records.borrow_mut().slow_reads.push(read);
}

/// Opens a connection with a small receive buffer.
async fn open_slowly(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES).ok()?;
    timeout(CONNECT_TIMEOUT, socket.connect(address)).await.ok()?.ok()
}
