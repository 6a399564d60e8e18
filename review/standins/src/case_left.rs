//! GONE: clients leave while their streams are being resumed after a server's crash.

use std::{
    io::{BufRead, Write},
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    http::{Message, read_head},
    lab::{
        Entries, Record, Scratch, Worker, answer_head, configuration, connect_client, is_closed,
        read_answer, send,
    },
    store::Store,
};

const STREAMS: usize = 12;
/// Time between two events.
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Last event of a stream.
const LAST_EVENT: u64 = 120;
/// Time that a server takes to read a prompt before its first token.
const PREFILL: Duration = Duration::from_millis(2_500);
/// Time that a request waits in a server's queue until the server turns it away.
const QUEUE_TIME: Duration = Duration::from_millis(1_200);
/// Time from the crash until the clients leave.
const PATIENCE: Duration = Duration::from_millis(300);
/// A request may reach a server, or be worked on, this long after its client has left.
const SLACK_MS: u64 = 500;

/// What a server did for a request.
#[derive(Debug, Clone)]
struct Work {
    id: String,
    server: String,
    arrived_ms: u64,
    /// `None` while the server still works on it.
    ended_ms: Option<u64>,
}

/// Work of all servers.
#[derive(Clone, Default)]
struct Works(Arc<Mutex<Vec<Work>>>);

impl Works {
    fn begin(&self, id: &str, server: &str, now_ms: u64) -> usize {
        let mut works = self.0.lock().expect("not poisoned");
        let work = Work {
            id: id.to_owned(),
            server: server.to_owned(),
            arrived_ms: now_ms,
            ended_ms: None,
        };
        works.push(work);
        works.len() - 1
    }

    fn end(&self, index: usize, now_ms: u64) {
        self.0.lock().expect("not poisoned")[index].ended_ms = Some(now_ms);
    }
}

/// Runs a stream: reads the prompt for `prefill`, then sends events. Stops when its channel closes.
fn run_stream(
    worker: &Worker,
    request: &Message,
    mut stream: TcpStream,
    works: &Works,
    prefill: Duration,
) {
    let id = request.header("x-pondwalk-attempt-id").unwrap_or_default();
    let last = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    worker.record.add(&worker.id, format!("{id} arrives, from event {last} on; it is worked on"));
    let index = works.begin(id, &worker.id, worker.record.now_ms());
    let stopped = |what: &str| {
        works.end(index, worker.record.now_ms());
        worker.record.add(&worker.id, format!("{id} {what}"));
    };
    let end = Instant::now() + prefill;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(5));
        if worker.has_crashed() {
            return stopped("ends with its server");
        }
        if is_closed(&stream) {
            return stopped("is dropped, since its channel closed");
        }
    }
    let head = answer_head(
        request,
        200,
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return stopped("is dropped, since its channel closed");
    }
    for event in last + 1..=LAST_EVENT {
        let text = format!("id: {event}\ndata: token {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        if stream.write_all(chunk.as_bytes()).is_err() {
            return stopped("is dropped, since its channel closed");
        }
        let next = Instant::now() + EVENT_GAP;
        while Instant::now() < next {
            thread::sleep(Duration::from_millis(5));
            if worker.has_crashed() {
                return stopped("ends with its server");
            }
            if is_closed(&stream) {
                return stopped("is dropped, since its channel closed");
            }
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n");
    stopped("has run to its end");
}

/// A server whose queue is long: it turns a request away after a while.
fn turn_away(worker: &Worker, request: &Message, mut stream: TcpStream) {
    let id = request.header("x-pondwalk-attempt-id").unwrap_or_default();
    worker.record.add(&worker.id, format!("{id} arrives and waits in its queue"));
    thread::sleep(QUEUE_TIME);
    let answer = "HTTP/1.1 503 S\r\nX-Pondwalk-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let _ = stream.write_all(answer.as_bytes());
    worker.record.add(&worker.id, format!("{id} is turned away, not run"));
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let record = Record::new();
    let scratch = Scratch::new();
    let (store, store_address) = Store::start();
    let route = "{\"name\":\"r-chat\",\"hostname\":\"app.example\",\"path_prefix\":\"/chat/\",\
         \"type\":\"streaming\",\"timeout_ms\":25000,\"target_latency_ms\":4000,\"priority\":2,\
         \"backend\":\"pool\",\"max_attempts\":3,\"anonymous\":false,\"stream_resume\":true,\
         \"target_itl_ms\":1000}"
        .to_owned();
    let usual = "{\"name\":\"r-usual\",\"hostname\":\"app.example\",\"path_prefix\":\"/usual/\",\
         \"type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":2,\
         \"backend\":\"pool\",\"max_attempts\":2,\"anonymous\":false}"
        .to_owned();
    store.put("op/config", &configuration(1, &[route, usual], &["pool"], ""));
    let works = Works::default();
    let handler = |prefill: Duration, is_full: bool| {
        let works = works.clone();
        Arc::new(move |worker: &Worker, request: &Message, mut stream: TcpStream| {
            if request.target().starts_with("/usual/") {
                let answer = answer_head(request, 200, "Content-Length: 2\r\n") + "ok";
                let _ = stream.write_all(answer.as_bytes());
            } else if is_full {
                turn_away(worker, request, stream);
            } else {
                run_stream(worker, request, stream, &works, prefill);
            }
        })
    };
    let first =
        Worker::start("i-a", "pool", &store, &record, handler(Duration::from_millis(50), false));
    let entries = Entries::start(2, store_address, &scratch, &record);
    let entry = entries.addresses[0].callers;
    // Usual traffic, which fills the retry budget.
    let is_over = Arc::new(AtomicBool::new(false));
    let over = Arc::clone(&is_over);
    let usual = thread::spawn(move || {
        for number in 0.. {
            if over.load(Ordering::SeqCst) {
                return;
            }
            let id = format!("5a{number:06}");
            let headers = "X-Pondwalk-Deadline-Ms: 1500\r\n";
            let _ = connect_client(entry, 64 * 1024)
                .and_then(|stream| send(&stream, "GET", "/usual/1", &id, headers, b""))
                .and_then(|mut reader| read_answer(&mut reader));
            thread::sleep(Duration::from_millis(50));
        }
    });
    thread::sleep(Duration::from_millis(1_500));
    let leave = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (record, leave) = (record.clone(), Arc::clone(&leave));
            thread::spawn(move || client(&record, entry, number, &leave))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    // Replacements, one of which is full at the moment.
    let others = [
        Worker::start("i-b", "pool", &store, &record, handler(PREFILL, false)),
        Worker::start("i-c", "pool", &store, &record, handler(PREFILL, true)),
    ];
    thread::sleep(Duration::from_millis(2_500));
    if has_trouble {
        first.crash();
    }
    thread::sleep(PATIENCE);
    leave.store(true, Ordering::SeqCst);
    let left: Vec<(String, u64)> =
        clients.into_iter().filter_map(|client| client.join().ok()).collect();
    thread::sleep(Duration::from_millis(6_000));
    is_over.store(true, Ordering::SeqCst);
    let _ = usual.join();
    drop(entries);
    thread::sleep(Duration::from_millis(200));
    drop(others);
    let works = works.0.lock().expect("not poisoned").clone();
    let is_broken = check(&record, &left, &works);
    record.write(folder);
    Entries::keep_logs(&scratch, folder);
    Outcome { is_broken }
}

/// Reads a stream until the clients are to leave; returns its id and when its channel was closed.
fn client(record: &Record, entry: SocketAddr, number: usize, leave: &AtomicBool) -> (String, u64) {
    let id = format!("{number:02}57e4a");
    let who = format!("client-{number}");
    let mut events = 0;
    let stream = connect_client(entry, 64 * 1024);
    if let Ok(stream) = &stream {
        let headers = "X-Pondwalk-Deadline-Ms: 25000\r\n";
        let _ = stream.set_read_timeout(Some(Duration::from_millis(20)));
        if let Ok(mut reader) = send(stream, "POST", "/chat/1", &id, headers, b"hello") {
            record.add(&who, format!("sends {id}"));
            let mut line = String::new();
            let mut has_head = false;
            while !leave.load(Ordering::SeqCst) {
                if !has_head {
                    has_head = matches!(read_head(&mut reader), Ok(Some(_)));
                    continue;
                }
                match reader.read_line(&mut line) {
                    Ok(0) => break,
                    Ok(_) => {
                        events += usize::from(line.starts_with("id:"));
                        line.clear();
                    }
                    Err(_) => {}
                }
            }
        }
    }
    drop(stream);
    let left_ms = record.now_ms();
    record.add(&who, format!("{id} leaves after {events} events: its channel is closed"));
    (id, left_ms)
}

fn check(record: &Record, left: &[(String, u64)], works: &[Work]) -> bool {
    let mut late_arrivals = 0;
    let mut still_worked_on = 0;
    for (id, left_ms) in left {
        let limit_ms = left_ms + SLACK_MS;
        for work in works.iter().filter(|work| work.id == *id && work.arrived_ms > limit_ms) {
            late_arrivals += 1;
            let late_ms = work.arrived_ms - left_ms;
            let server = &work.server;
            let what = format!("GONE: {id} reaches {server} {late_ms} ms after its client left");
            record.add("check", what);
        }
        let worked = works.iter().find(|work| {
            let is_ended = work.ended_ms.is_some_and(|ended_ms| ended_ms <= limit_ms);
            work.id == *id && work.arrived_ms <= limit_ms && !is_ended
        });
        if let Some(work) = worked {
            still_worked_on += 1;
            let ended =
                work.ended_ms.map_or("(not yet)".to_owned(), |ms| (ms - left_ms).to_string());
            let server = &work.server;
            record.add("check", format!(
                "GONE: {server} still works on {id} {SLACK_MS} ms after its client left, and stops \
                 after {ended} ms"
            ));
        }
    }
    let summary = format!(
        "of {} streams whose clients left, {still_worked_on} were still worked on {SLACK_MS} ms \
         later (allowed: a quarter), and {late_arrivals} requests reached a server later than that \
         (allowed: a few)",
        left.len()
    );
    record.add("check", &summary);
    println!("{summary}");
    4 * still_worked_on > left.len() || late_arrivals > 3
}
