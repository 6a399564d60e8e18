//! Case: a key is taken away by a configuration that the entries cannot read.
//!
//! Two entries and 6 workers. Two callers send requests with a key each. The operator writes a
//! configuration that takes the second key away and adds a route. With the disruption the new
//! route's `priority` is 1000, without it 3. Requests with the key that was taken away must not run
//! if they are sent later than `revoke_timeout_ms` after the store has confirmed it.

mod common;
use common::*;
use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

const WORKERS: usize = 6;
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];
const GAP: Duration = Duration::from_millis(100);
/// Bounds of the rules: `revoke_timeout_ms` and `propagation_ms`.
const REVOKE_TIMEOUT: Duration = Duration::from_secs(5);
const PROPAGATION: Duration = Duration::from_secs(2);

struct Call {
    id: String,
    key: usize,
    at: Duration,
    status: u16,
}

fn main() {
    let record = Record::new();
    let folder = temporary_folder();
    let store = Store::start();
    let begun: Arc<Mutex<Vec<String>>> = Arc::default();
    let zones = ["regina-hall", "saskatoon-hall", "brandon-hall"];
    for n in 0..WORKERS {
        let (record, begun) = (Arc::clone(&record), Arc::clone(&begun));
        let handler: Arc<Handler> =
            Arc::new(move |worker, request, conn| run(&record, &begun, worker, &request, conn));
        let worker = Worker::start(&format!("i-{n:08x}"), "ticker", handler);
        let (key, value) = worker.entry(zones[n % 3], "1.0", "ready");
        store.put(&key, &value);
    }
    let route = |prefix: &str, priority: u32| {
        format!(
            "{{\"name\":\"r-{prefix}\",\"hostname\":\"ficu95.example\",\
             \"path_prefix\":\"/{prefix}/\",\"type\":\"non_idempotent\",\"timeout_ms\":800,\
             \"target_latency_ms\":150,\"priority\":{priority},\"backend\":\"ticker\",\
             \"max_attempts\":1}}"
        )
    };
    let services = ["{\"name\":\"ticker\",\"max_connections\":100}".to_owned()];
    store.put("op/config", &configuration(7, &[route("puxa403", 2)], &services, &KEYS));

    let mut entries = prepare_entries(2, &zones, store.address, &folder);
    entries.iter_mut().for_each(Entry::start);
    entries.iter_mut().for_each(|entry| entry.wait_until_ready(Duration::from_secs(10)));
    thread::sleep(Duration::from_secs(5));

    let is_over = Arc::new(AtomicBool::new(false));
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let callers: Vec<thread::JoinHandle<()>> = (0..KEYS.len())
        .map(|key| {
            let (record, calls, is_over) =
                (Arc::clone(&record), Arc::clone(&calls), Arc::clone(&is_over));
            let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();
            thread::spawn(move || {
                let mut n = 0;
                while !is_over.load(Ordering::SeqCst) {
                    n += 1;
                    let id = format!("k{}-{n}", key + 1);
                    let at = record.now();
                    let status = call(addresses[n % addresses.len()], &id, KEYS[key]).unwrap_or(0);
                    record.add(format!("{id}: {status}"));
                    calls.lock().unwrap().push(Call { id, key, at, status });
                    thread::sleep(GAP);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(5));

    let priority = if has_trouble() { 1_000 } else { 3 };
    let routes = [route("puxa403", 2), route("lohu930", priority)];
    store.put("op/config", &configuration(8, &routes, &services, &KEYS[..1]));
    let confirmed = record.add(format!(
        "version 8 is confirmed: key 2 is taken away, a route has priority {priority}"
    ));
    thread::sleep(PROPAGATION + Duration::from_secs(1));
    let probe = call_path(entries[0].callers, "lohu930", "route-1", KEYS[0]).unwrap_or(0);
    record.add(format!("a request on the new route: {probe}"));
    thread::sleep(Duration::from_secs(17));
    is_over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));

    let calls = calls.lock().unwrap();
    let begun = begun.lock().unwrap();
    let runs = |call: &&Call| begun.contains(&call.id);
    let late = || calls.iter().filter(|call| call.key == 1 && call.at > confirmed + REVOKE_TIMEOUT);
    let (sent, ran) = (late().count(), late().filter(runs).count());
    let kept = calls.iter().filter(|call| call.key == 0);
    let (kept, served) = (kept.clone().count(), kept.filter(|call| call.status == 200).count());
    let verdict = ran > 0;
    record.add(format!(
        "of {sent} requests with key 2 sent later than 5 s after the confirmation {ran} ran; of \
         {kept} with key 1 {served} were served; the new route answered {probe}"
    ));
    record.add(if verdict { "CONFIG is broken" } else { "CONFIG holds" });
    println!("late {sent} ran {ran}; key 1: {served} of {kept}; new route {probe}");
    record.write(&PathBuf::from(std::env::args().nth(1).unwrap_or("record.txt".into())));
    let has_ended = entries.iter_mut().any(|entry| !entry.is_running());
    drop(entries);
    let _ = std::fs::remove_dir_all(&folder);
    if has_ended || sent < 20 || served < kept / 2 {
        cannot_run("an entry has ended, or too few requests were sent or served");
    }
    std::process::exit(i32::from(verdict));
}

fn run(
    record: &Record,
    begun: &Mutex<Vec<String>>,
    worker: &Arc<Worker>,
    request: &Message,
    conn: &mut Conn,
) -> io::Result<()> {
    let id = request.id();
    record.add(format!("worker {} runs {id}", worker.id));
    begun.lock().unwrap().push(id.clone());
    thread::sleep(Duration::from_millis(30));
    let head = success_head(&id, "text/plain") + "content-length: 5\r\n\r\nquote";
    conn.send(head.as_bytes())
}

fn call(entry: SocketAddr, id: &str, key: &str) -> io::Result<u16> {
    call_path(entry, "puxa403", id, key)
}

fn call_path(entry: SocketAddr, prefix: &str, id: &str, key: &str) -> io::Result<u16> {
    let mut conn = Conn::connect(entry)?;
    conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let request = format!(
        "POST /{prefix}/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-deadline-ms: 1500\r\nauthorization: Token {key}\r\ncontent-length: {}\r\n\r\n\
         {id}",
        id.len()
    );
    conn.send(request.as_bytes())?;
    let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    conn.read_body(&head, false)?;
    Ok(head.status())
}
