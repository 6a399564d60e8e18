//! Case: a worker crashes in the middle of a long answer, and is back before its caller has read it.
//!
//! One entry and 18 workers, each a process of its own. Plain answers of 18 MB come with neither a
//! length nor chunks and end with their channels; a worker makes 3 MB of each in a second. Callers
//! read 1 MB a second. With the disruption three workers are killed 3 s after the requests, and
//! are back 3 s later, under their ids and at their addresses.
//!
//! An answer that ends early must not look complete.

mod common;
use common::*;
use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener},
    os::fd::AsRawFd,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

const WORKERS: usize = 18;
/// Workers that crash: 3 of 18, a share of 0.17.
const CRASHED: usize = 3;
const CALLERS: usize = 24;
const PIECES: usize = 60;
const PIECE_BYTES: usize = 300 * 1024;
/// Time from one piece to the next, at the worker and at the caller.
const PIECE_GAP: Duration = Duration::from_millis(100);
const READ_GAP: Duration = Duration::from_millis(300);
const CRASH_AFTER: Duration = Duration::from_secs(3);
const DOWN: Duration = Duration::from_secs(3);

/// A worker in a process of its own, which writes a line for each request that it runs.
struct WorkerProcess {
    id: String,
    address: String,
    child: Child,
}

/// How an answer ended for its caller.
#[derive(Clone, Copy, PartialEq, Debug)]
enum End {
    Complete,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("worker") {
        return serve(&arguments[2], arguments.get(3).map_or("127.0.0.1:0", String::as_str));
    }
    let record = Record::new();
    let folder = temporary_folder();
    let store = Store::start();
    let placed: Arc<Mutex<HashMap<String, String>>> = Arc::default();
    let mut workers: Vec<WorkerProcess> =
        (0..WORKERS).map(|n| start_worker(&record, &placed, &format!("i-{n:08x}"), None)).collect();
    let zones = ["regina-hall", "saskatoon-hall", "brandon-hall"];
    let entry = |n: usize, worker: &WorkerProcess| {
        let born = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |time| time.as_millis());
        let value = format!(
            "{{\"backend\":\"pool\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"1.0\",\
             \"capacity\":64,\"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":1,\
             \"born\":{born}}}",
            worker.address,
            zones[n % 3]
        );
        (format!("servers/{}", worker.id), value)
    };
    for (n, worker) in workers.iter().enumerate() {
        let (key, value) = entry(n, worker);
        store.put(&key, &value);
    }
    let route = "{\"name\":\"vista-classifica\",\"hostname\":\"ficu95.example\",\
                 \"path_prefix\":\"/lohu930/\",\"type\":\"non_idempotent\",\"timeout_ms\":25000,\
                 \"target_latency_ms\":4000,\"priority\":2,\"backend\":\"pool\",\"max_attempts\":1}";
    let service = "{\"name\":\"pool\",\"max_connections\":360}";
    store.put("op/config", &configuration(7, &[route.into()], &[service.into()], &["k1"]));

    let mut entries = prepare_entries(1, &zones, store.address, &folder);
    entries[0].start();
    entries[0].wait_until_ready(Duration::from_secs(10));
    thread::sleep(Duration::from_secs(4));

    let callers = entries[0].callers;
    let readers: Vec<thread::JoinHandle<(String, End, usize)>> = (0..CALLERS)
        .map(|n| {
            let record = Arc::clone(&record);
            thread::sleep(Duration::from_millis(5));
            thread::spawn(move || read_answer(&record, n, callers))
        })
        .collect();
    thread::sleep(CRASH_AFTER);
    let mut answers_at: HashMap<String, usize> = HashMap::new();
    for worker in placed.lock().unwrap().values() {
        *answers_at.entry(worker.clone()).or_default() += 1;
    }
    let mut order: Vec<usize> = (0..WORKERS).collect();
    order.sort_by_key(|n| std::cmp::Reverse(answers_at.get(&workers[*n].id).copied().unwrap_or(0)));
    if has_trouble() {
        for n in &order[..CRASHED] {
            let _ = workers[*n].child.kill();
            let _ = workers[*n].child.wait();
            let answers = answers_at.get(&workers[*n].id).copied().unwrap_or(0);
            record.add(format!("worker {} crashes, {answers} answers there", workers[*n].id));
        }
        thread::sleep(DOWN);
        for n in &order[..CRASHED] {
            let (id, address) = (workers[*n].id.clone(), workers[*n].address.clone());
            workers[*n] = start_worker(&record, &placed, &id, Some(&address));
            let (key, value) = entry(*n, &workers[*n]);
            store.put(&key, &value);
            record.add(format!("worker {id} is back"));
        }
    }
    let ends: Vec<(String, End, usize)> =
        readers.into_iter().filter_map(|reader| reader.join().ok()).collect();
    for worker in &mut workers {
        let _ = worker.child.kill();
        let _ = worker.child.wait();
    }

    let whole = PIECES * PIECE_BYTES;
    let early: Vec<&(String, End, usize)> =
        ends.iter().filter(|(_, end, bytes)| *end == End::Complete && *bytes < whole).collect();
    for (id, _, bytes) in &early {
        record.add(format!("{id} ended as complete after {bytes} of {whole} bytes"));
    }
    let complete =
        ends.iter().filter(|(_, end, bytes)| *end == End::Complete && *bytes == whole).count();
    record.add(format!(
        "{} answers: {complete} complete and whole, {} ended as complete before their end, {} broken",
        ends.len(),
        early.len(),
        ends.len() - complete - early.len()
    ));
    let verdict = !early.is_empty();
    record.add(if verdict { "MIXED is broken" } else { "MIXED holds" });
    println!("complete {complete} early {} of {}", early.len(), ends.len());
    record.write(&PathBuf::from(arguments.get(1).cloned().unwrap_or("record.txt".into())));
    let has_ended = !entries[0].is_running();
    drop(entries);
    let _ = std::fs::remove_dir_all(&folder);
    if has_ended || complete < CALLERS / 4 {
        cannot_run("the entry has ended, or too few answers were complete");
    }
    std::process::exit(i32::from(verdict));
}

fn start_worker(
    record: &Arc<Record>,
    placed: &Arc<Mutex<HashMap<String, String>>>,
    id: &str,
    address: Option<&str>,
) -> WorkerProcess {
    let program = std::env::current_exe().unwrap_or_else(|_| cannot_run("no program"));
    let child = Command::new(program)
        .args(["worker", id])
        .args(address)
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

/// The worker process: answers without a length and without chunks.
fn serve(id: &str, address: &str) {
    let listener = TcpListener::bind(address).unwrap_or_else(|_| cannot_run("no port"));
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
    say(&format!("runs {id}"));
    let head = success_head(&id, "application/octet-stream") + "connection: close\r\n\r\n";
    conn.send(head.as_bytes())?;
    for piece in 0..PIECES {
        conn.send(&vec![b'a' + (piece % 26) as u8; PIECE_BYTES])?;
        thread::sleep(PIECE_GAP);
    }
    say(&format!("has made all of {id}"));
    Ok(())
}

/// Reads one answer slowly: how it ended, and its bytes.
fn read_answer(record: &Record, n: usize, entry: SocketAddr) -> (String, End, usize) {
    let id = format!("a-{n}");
    let mut bytes = 0;
    let end = receive(&id, entry, &mut bytes).unwrap_or(End::Broken);
    record.add(format!("caller of {id}: {end:?} after {bytes} bytes"));
    (id, end, bytes)
}

fn receive(id: &str, entry: SocketAddr, bytes: &mut usize) -> io::Result<End> {
    let mut conn = Conn::connect(entry)?;
    limit_window(&conn);
    conn.stream.set_read_timeout(Some(Duration::from_secs(25)))?;
    let request = format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-deadline-ms: 25000\r\nauthorization: Token k1\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    );
    conn.send(request.as_bytes())?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    if head.status() != 200 || head.header("transfer-encoding").is_none() {
        return Ok(End::Broken);
    }
    let mut read = 0;
    loop {
        let chunk = conn.read_chunk()?;
        if chunk.is_empty() {
            return Ok(End::Complete);
        }
        *bytes += chunk.len();
        read += chunk.len();
        while read >= PIECE_BYTES {
            read -= PIECE_BYTES;
            thread::sleep(READ_GAP);
        }
    }
}

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Keeps the caller's receive window small.
fn limit_window(conn: &Conn) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 64 * 1024;
    // SAFETY: the socket is open, and the value is a whole number of the stated length.
    unsafe {
        setsockopt(conn.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4);
    }
}
