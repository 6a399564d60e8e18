//! Case: a worker that leaves is taken away in the middle of its streams.
//!
//! One entry and 18 model workers, each a process of its own. Streams come with neither a length
//! nor chunks and end with their channels. Two workers say that they are draining. With the
//! disruption they are gone 2 s later (SIGKILL); without it they finish their streams first.
//!
//! Each stream has 40 pieces. One that ends as complete before its last piece breaks the rule.

mod common;
use common::*;
use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const WORKERS: usize = 18;
/// Workers that leave: 2 of 18, a share of 0.11.
const LEAVING: usize = 2;
const STREAMS: usize = 72;
const PIECES: u32 = 40;
const PIECE_GAP: Duration = Duration::from_millis(100);
/// Time from the notice until a worker is gone.
const NOTICE: Duration = Duration::from_secs(2);

/// A worker in a process of its own, which writes a line for each request that it runs.
struct WorkerProcess {
    id: String,
    address: String,
    child: Child,
}

/// How a stream ended for its caller.
#[derive(Clone, Copy, PartialEq, Debug)]
enum End {
    Complete,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("worker") {
        return serve(&arguments[2]);
    }
    let record = Record::new();
    let folder = temporary_folder();
    let store = Store::start();
    let placed: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let mut workers: Vec<WorkerProcess> =
        (0..WORKERS).map(|n| start_worker(&record, &placed, &format!("i-{n:08x}"))).collect();
    let zones = ["regina-hall", "saskatoon-hall", "brandon-hall"];
    let born = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |time| time.as_millis());
    let entry = |n: usize, worker: &WorkerProcess, state: &str, sequence: u32| {
        let value = format!(
            "{{\"backend\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1.0\",\
             \"capacity\":64,\"state\":\"{state}\",\"warmup_left_ms\":0,\"sequence\":{sequence},\
             \"born\":{born}}}",
            worker.address,
            zones[n % 3]
        );
        (format!("servers/{}", worker.id), value)
    };
    for (n, worker) in workers.iter().enumerate() {
        let (key, value) = entry(n, worker, "ready", 1);
        store.put(&key, &value);
    }
    let route = "{\"name\":\"advisor-chat\",\"hostname\":\"ficu95.example\",\
                 \"path_prefix\":\"/lohu930/\",\"type\":\"streaming\",\"timeout_ms\":25000,\
                 \"target_latency_ms\":4000,\"target_itl_ms\":1000,\"priority\":2,\"backend\":\"pool\",\
                 \"max_attempts\":3,\"stream_resume\":true,\"session_affinity\":true}";
    let service = "{\"name\":\"pool\",\"max_connections\":360}";
    store.put("op/config", &configuration(7, &[route.into()], &[service.into()], &["k1"]));

    let mut entries = prepare_entries(1, &zones, store.address, &folder);
    entries[0].start();
    entries[0].wait_until_ready(Duration::from_secs(10));
    thread::sleep(Duration::from_secs(4));

    let callers = entries[0].callers;
    let readers: Vec<thread::JoinHandle<(String, End, u32)>> = (0..STREAMS)
        .map(|n| {
            let record = Arc::clone(&record);
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || read_stream(&record, n, callers))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));

    // The two workers with most streams leave.
    let mut streams_at: HashMap<String, usize> = HashMap::new();
    for worker in placed.lock().unwrap().values() {
        *streams_at.entry(worker.clone()).or_default() += 1;
    }
    let mut order: Vec<usize> = (0..WORKERS).collect();
    order.sort_by_key(|n| std::cmp::Reverse(streams_at.get(&workers[*n].id).copied().unwrap_or(0)));
    let leaving = &order[..LEAVING];
    for n in leaving {
        let (key, value) = entry(*n, &workers[*n], "draining", 2);
        store.put(&key, &value);
        let streams = streams_at.get(&workers[*n].id).copied().unwrap_or(0);
        record.add(format!("worker {} says draining, {streams} streams there", workers[*n].id));
    }
    if has_trouble() {
        thread::sleep(NOTICE);
        for n in leaving {
            let _ = workers[*n].child.kill();
            record.add(format!("worker {} is gone", workers[*n].id));
        }
    }
    let ends: Vec<(String, End, u32)> =
        readers.into_iter().filter_map(|reader| reader.join().ok()).collect();
    for worker in &mut workers {
        let _ = worker.child.kill();
        let _ = worker.child.wait();
    }

    let early: Vec<&(String, End, u32)> =
        ends.iter().filter(|(_, end, last)| *end == End::Complete && *last < PIECES).collect();
    for (id, _, last) in &early {
        record.add(format!("{id} ended as complete after piece {last} of {PIECES}"));
    }
    let complete = ends.iter().filter(|(_, end, last)| *end == End::Complete && *last == PIECES);
    let complete = complete.count();
    record.add(format!(
        "{} streams: {complete} complete with all pieces, {} ended as complete before their last \
         piece, {} broken",
        ends.len(),
        early.len(),
        ends.len() - complete - early.len()
    ));
    let verdict = !early.is_empty();
    record.add(if verdict { "ORDER is broken" } else { "ORDER holds" });
    println!("complete {complete} early {} of {}", early.len(), ends.len());
    record.write(&PathBuf::from(arguments.get(1).cloned().unwrap_or("record.txt".into())));
    let has_ended = !entries[0].is_running();
    drop(entries);
    let _ = std::fs::remove_dir_all(&folder);
    if has_ended || complete < STREAMS / 2 {
        cannot_run("the entry has ended, or too few streams were complete");
    }
    std::process::exit(i32::from(verdict));
}

fn start_worker(
    record: &Arc<Record>,
    placed: &Arc<Mutex<HashMap<String, String>>>,
    id: &str,
) -> WorkerProcess {
    let program = std::env::current_exe().unwrap_or_else(|_| cannot_run("no program"));
    let child = Command::new(program)
        .args(["worker", id])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn();
    let mut child = child.unwrap_or_else(|_| cannot_run("a worker does not start"));
    let mut lines = BufReader::new(child.stdout.take().unwrap());
    let mut address = String::new();
    if lines.read_line(&mut address).is_err() {
        cannot_run("a worker does not start");
    }
    let (record, placed, worker) = (Arc::clone(record), Arc::clone(placed), id.to_owned());
    thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            record.add(format!("worker {worker}: {line}"));
            if let Some(request) = line.strip_prefix("runs ") {
                let request = request.split(' ').next().unwrap_or("").to_owned();
                placed.lock().unwrap().insert(request, worker.clone());
            }
        }
    });
    WorkerProcess { id: id.to_owned(), address: address.trim().to_owned(), child }
}

/// The worker process: streams without a length and without chunks.
fn serve(id: &str) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no port"));
    say(&listener.local_addr().unwrap().to_string());
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        thread::spawn(move || {
            let mut conn = Conn::new(stream);
            if let Ok(Some(request)) = conn.read_request() {
                let _ = run(&id, &request, &mut conn);
            }
        });
    }
}

fn say(line: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

fn run(worker: &str, request: &Message, conn: &mut Conn) -> io::Result<()> {
    let id = request.id();
    if request.header("x-pondwalk-expected-instance").is_some_and(|expected| expected != worker) {
        let head = "HTTP/1.1 421 Misdirected Request\r\nx-pondwalk-not-executed: 1\r\n\
                    content-length: 0\r\n\r\n";
        return conn.send(head.as_bytes());
    }
    let first: u32 =
        request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
    say(&format!("runs {id} from piece {}", first + 1));
    thread::sleep(Duration::from_millis(50));
    let head = success_head(&id, "text/event-stream") + "connection: close\r\n\r\n";
    conn.send(head.as_bytes())?;
    for piece in first + 1..=PIECES {
        conn.send(format!("id: {piece}\ndata: t{piece}\n\n").as_bytes())?;
        thread::sleep(PIECE_GAP);
    }
    say(&format!("has made all of {id}"));
    Ok(())
}

/// Reads one stream: how it ended, and its last piece.
fn read_stream(record: &Record, n: usize, entry: SocketAddr) -> (String, End, u32) {
    let id = format!("s-{n}");
    let mut last = 0;
    let end = receive(&id, n, entry, &mut last).unwrap_or(End::Broken);
    record.add(format!("caller of {id}: {end:?} after piece {last}"));
    (id, end, last)
}

fn receive(id: &str, n: usize, entry: SocketAddr, last: &mut u32) -> io::Result<End> {
    let mut conn = Conn::connect(entry)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(25)))?;
    let body = format!("prompt {n}");
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-model: daka510000\r\nx-pondwalk-token-usage: 715,160\r\n\
         x-pondwalk-prefix-hash: {:x}:172,{:x}:543\r\nx-pondwalk-deadline-ms: 25000\r\n\
         authorization: Token k1\r\ncontent-length: {}\r\n\r\n{body}",
        0x5c1e_07a2 + n % 8,
        0x9000_0000u32 + n as u32,
        body.len()
    );
    conn.send(request.as_bytes())?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 || head.header("transfer-encoding").is_none() {
        return Ok(End::Broken);
    }
    loop {
        let chunk = conn.read_chunk()?;
        if chunk.is_empty() {
            return Ok(End::Complete);
        }
        for line in String::from_utf8_lossy(&chunk).lines() {
            if let Some(piece) = line.strip_prefix("id: ") {
                *last = piece.parse().unwrap_or(*last);
            }
        }
    }
}
