//! Case: callers send their bodies slowly, within the limits of the configuration.
//!
//! One entry and 6 workers. Of 60 callers, 20 send a body of 60 KB. With the disruption they take
//! 6.5 s for it, a piece each 100 ms, as on a slow link; without it they send it at once. The head
//! comes at once, no pause comes near `idle_timeout_ms`, and 18 s of their time limit are left.

mod common;
use common::*;
use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const WORKERS: usize = 6;
const CALLERS: usize = 60;
/// Every third caller has a long body.
const LONG_EVERY: usize = 3;
const LONG_BODY_BYTES: usize = 60 * 1024;
const PIECES: usize = 65;
const PIECE_GAP: Duration = Duration::from_millis(100);

fn main() {
    let record = Record::new();
    let folder = temporary_folder();
    let store = Store::start();
    let runs = Arc::new(AtomicUsize::new(0));
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|n| {
            let (record, runs) = (Arc::clone(&record), Arc::clone(&runs));
            Worker::start(
                &format!("i-{n:08x}"),
                "pool",
                Arc::new(move |worker, request, conn| run(&record, &runs, worker, &request, conn)),
            )
        })
        .collect();
    let zones = ["regina-hall", "saskatoon-hall", "brandon-hall"];
    for (n, worker) in workers.iter().enumerate() {
        let (key, value) = worker.entry(zones[n % 3], "1.0", "ready");
        store.put(&key, &value);
    }
    let route = "{\"name\":\"advisor-chat\",\"hostname\":\"ficu95.example\",\
                 \"path_prefix\":\"/lohu930/\",\"type\":\"idempotent\",\"timeout_ms\":25000,\
                 \"target_latency_ms\":4000,\"priority\":2,\"backend\":\"pool\",\"max_attempts\":3}";
    let service = "{\"name\":\"pool\",\"max_connections\":360}";
    store.put("op/config", &configuration(7, &[route.into()], &[service.into()], &["k1"]));

    let mut entries = prepare_entries(1, &zones, store.address, &folder);
    entries[0].start();
    entries[0].wait_until_ready(Duration::from_secs(10));
    thread::sleep(Duration::from_secs(3));

    let callers = entries[0].callers;
    let calls: Vec<thread::JoinHandle<u16>> = (0..CALLERS)
        .map(|n| {
            let record = Arc::clone(&record);
            thread::sleep(Duration::from_millis(30));
            thread::spawn(move || call(&record, n, callers))
        })
        .collect();
    let statuses: Vec<u16> = calls.into_iter().filter_map(|call| call.join().ok()).collect();

    // The rule: own answers 3xx and 4xx, other than 408, 421 and 429.
    let denied = statuses
        .iter()
        .filter(|status| (300..500).contains(*status) && ![408, 421, 429].contains(*status))
        .count();
    let served = statuses.iter().filter(|status| **status == 200).count();
    let allowed = 5.0 + statuses.len() as f64 / 500.0;
    let verdict = denied as f64 > allowed;
    record.add(format!(
        "{} proper requests: {served} served, {denied} ended with 4xx (allowed: {allowed:.1}); \
         workers ran {}",
        statuses.len(),
        runs.load(Ordering::SeqCst)
    ));
    record.add(if verdict { "DENIED is broken" } else { "DENIED holds" });
    println!("served {served} denied {denied} of {}", statuses.len());
    record.write(&PathBuf::from(std::env::args().nth(1).unwrap_or("record.txt".into())));
    let has_ended = !entries[0].is_running();
    drop(entries);
    let _ = std::fs::remove_dir_all(&folder);
    if has_ended || served < CALLERS / 2 {
        cannot_run("the entry has ended, or too few requests were served");
    }
    std::process::exit(i32::from(verdict));
}

fn run(
    record: &Record,
    runs: &AtomicUsize,
    worker: &Arc<Worker>,
    request: &Message,
    conn: &mut Conn,
) -> io::Result<()> {
    let id = request.id();
    record.add(format!("worker {} runs {id}, {} bytes", worker.id, request.body.len()));
    runs.fetch_add(1, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(50));
    let head = success_head(&id, "text/plain") + "content-length: 6\r\n\r\nanswer";
    conn.send(head.as_bytes())
}

/// Sends a request and its body; the status of the answer, 0 without one.
fn call(record: &Record, n: usize, entry: SocketAddr) -> u16 {
    let id = format!("r-{n}");
    let is_long = n % LONG_EVERY == 0;
    let body = vec![b'p'; if is_long { LONG_BODY_BYTES } else { 1_400 }];
    let head = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-deadline-ms: 25000\r\nauthorization: Token k1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let from = record.add(format!("caller sends {id}, {} bytes", body.len()));
    let is_slow = is_long && has_trouble();
    let status = exchange(entry, &head, &body, is_slow).unwrap_or(0);
    let took = record.now() - from;
    record.add(format!("caller of {id} gets {status} after {:.2} s", took.as_secs_f64()));
    status
}

fn exchange(entry: SocketAddr, head: &str, body: &[u8], is_slow: bool) -> io::Result<u16> {
    let mut conn = Conn::connect(entry)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(25)))?;
    conn.send(head.as_bytes())?;
    for piece in body.chunks(body.len().div_ceil(PIECES)) {
        if conn.send(piece).is_err() {
            break;
        }
        if is_slow {
            thread::sleep(PIECE_GAP);
        }
    }
    Ok(conn.read_head()?.map_or(0, |head| head.status()))
}
