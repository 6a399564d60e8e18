//! Case: a caller names a model that is not on its route's list.
//!
//! Two entries, 18 model workers and 3 plain ones. Workers answer any other model than those of the
//! list with 421, as the pages say. With the disruption, one caller sends 60 requests that name
//! another model; without it, it leaves the choice to the system as all others do. All others send
//! sound requests of two kinds for 20 s.

mod common;
use common::*;
use std::{
    io,
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

const POOL_WORKERS: usize = 18;
const PLAIN_WORKERS: usize = 3;
const MODELS: [&str; 3] = ["m0", "m1", "m2"];
/// Requests that name another model.
const ODD_REQUESTS: usize = 60;
/// Sound requests of each kind, one each 100 ms.
const SOUND_REQUESTS: usize = 200;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
}

fn main() {
    let record = Record::new();
    let folder = temporary_folder();
    let store = Store::start();
    let refused_runs = Arc::new(AtomicUsize::new(0));
    let workers: Vec<Arc<Worker>> = (0..POOL_WORKERS + PLAIN_WORKERS)
        .map(|n| {
            let service = if n < POOL_WORKERS { "pool" } else { "ticker" };
            let (record, refused_runs) = (Arc::clone(&record), Arc::clone(&refused_runs));
            Worker::start(
                &format!("i-{n:08x}"),
                service,
                Arc::new(move |worker, request, conn| {
                    run(&record, &refused_runs, worker, &request, conn)
                }),
            )
        })
        .collect();
    let zones = ["regina-hall", "saskatoon-hall", "brandon-hall"];
    for (n, worker) in workers.iter().enumerate() {
        let (key, value) = worker.entry(zones[n % 3], "1.0", "ready");
        store.put(&key, &value);
    }
    let brief = "{\"name\":\"morning-brief\",\"hostname\":\"ficu95.example\",\
                 \"path_prefix\":\"/lohu930/\",\"type\":\"streaming\",\"timeout_ms\":8000,\
                 \"target_latency_ms\":2000,\"target_itl_ms\":1000,\"priority\":0,\"backend\":\"pool\",\
                 \"max_attempts\":3,\"stream_resume\":true,\"session_affinity\":true,\
                 \"size_list\":[\"m0\",\"m1\",\"m2\"]}";
    let quote = "{\"name\":\"quote-lookup\",\"hostname\":\"ficu95.example\",\
                 \"path_prefix\":\"/puxa403/\",\"type\":\"non_idempotent\",\"timeout_ms\":800,\
                 \"target_latency_ms\":150,\"priority\":2,\"backend\":\"ticker\",\"max_attempts\":1}";
    let pool = "{\"name\":\"pool\",\"max_connections\":360,\"runtime\":{\"capacity\":64,\
                \"kv_capacity_tokens\":504674,\"interval\":4,\"model_list\":[\
                {\"name\":\"m0\",\"price\":0.018},{\"name\":\"m1\",\"price\":0.14},\
                {\"name\":\"m2\",\"price\":0.27}]}}";
    let ticker = "{\"name\":\"ticker\",\"max_connections\":100}";
    let routes = [brief.to_owned(), quote.to_owned()];
    let services = [pool.to_owned(), ticker.to_owned()];
    store.put("op/config", &configuration(7, &routes, &services, &["k1"]));

    let mut entries = prepare_entries(2, &zones, store.address, &folder);
    entries.iter_mut().for_each(Entry::start);
    entries.iter_mut().for_each(|entry| entry.wait_until_ready(Duration::from_secs(10)));
    thread::sleep(Duration::from_secs(5));
    let addresses: Vec<SocketAddr> = entries.iter().map(|entry| entry.callers).collect();

    // One caller names another model, or not.
    let model = if has_trouble() { "m9" } else { "*" };
    for n in 0..ODD_REQUESTS {
        let request = brief_request(&format!("odd-{n}"), model);
        let status = call(addresses[n % addresses.len()], &request);
        record.add(format!("odd-{n} names model {model}: {status}"));
        thread::sleep(Duration::from_millis(50));
    }

    // All others send sound requests of two kinds.
    let kinds: [Arc<Counts>; 2] = Default::default();
    let ended: Arc<Mutex<Vec<thread::JoinHandle<()>>>> = Arc::default();
    for n in 0..SOUND_REQUESTS {
        for (kind, counts) in kinds.iter().enumerate() {
            let (record, counts) = (Arc::clone(&record), Arc::clone(counts));
            let address = addresses[(n + kind) % addresses.len()];
            ended.lock().unwrap().push(thread::spawn(move || {
                let id = format!("{}-{n}", ["brief", "quote"][kind]);
                let request = match kind {
                    0 => brief_request(&id, "*"),
                    _ => quote_request(&id),
                };
                counts.sent.fetch_add(1, Ordering::SeqCst);
                let status = call(address, &request);
                record.add(format!("{id}: {status}"));
                counts.served.fetch_add(usize::from(status == "200 whole"), Ordering::SeqCst);
            }));
        }
        thread::sleep(Duration::from_millis(100));
    }
    for thread in ended.lock().unwrap().drain(..) {
        let _ = thread.join();
    }

    let count = |counts: &Counts| {
        (counts.served.load(Ordering::SeqCst) as f64, counts.sent.load(Ordering::SeqCst) as f64)
    };
    let (brief, quote) = (count(&kinds[0]), count(&kinds[1]));
    let all = (brief.0 + quote.0) / (brief.1 + quote.1);
    let starves = |(served, sent): (f64, f64)| served / sent < all / 4.0;
    let verdict = starves(brief) || starves(quote);
    record.add(format!(
        "sound requests served: morning-brief {} of {}, quote-lookup {} of {}; of all {:.2}; \
         a kind starves below {:.2}; workers turned {} requests away for their model",
        brief.0,
        brief.1,
        quote.0,
        quote.1,
        all,
        all / 4.0,
        refused_runs.load(Ordering::SeqCst)
    ));
    record.add(if verdict { "Starved: the rule is broken" } else { "Starved: the rule holds" });
    println!("brief {brief:?} quote {quote:?}");
    record.write(&PathBuf::from(std::env::args().nth(1).unwrap_or("record.txt".into())));
    let has_ended = entries.iter_mut().any(|entry| !entry.is_running());
    drop(entries);
    let _ = std::fs::remove_dir_all(&folder);
    if has_ended || quote.0 < quote.1 / 2.0 {
        cannot_run("an entry has ended, or the plain service does not work");
    }
    std::process::exit(i32::from(verdict));
}

/// A worker: answers other models with 421, and all else with a short answer.
fn run(
    record: &Record,
    refused_runs: &AtomicUsize,
    worker: &Arc<Worker>,
    request: &Message,
    conn: &mut Conn,
) -> io::Result<()> {
    let id = request.id();
    if worker.service == "pool" {
        let model = request.header("x-pondwalk-model").unwrap_or("");
        if !MODELS.contains(&model) {
            record.add(format!("worker {} answers {id}, model {model}, with 421", worker.id));
            refused_runs.fetch_add(1, Ordering::SeqCst);
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-pondwalk-attempt-id: {id}\r\n\
                 x-pondwalk-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return conn.send(head.as_bytes());
        }
        record.add(format!("worker {} runs {id}, model {model}", worker.id));
        thread::sleep(Duration::from_millis(100));
        let head = success_head(&id, "text/event-stream")
            + "x-pondwalk-estimate-confidence: 95\r\ntransfer-encoding: chunked\r\n\r\n";
        conn.send(head.as_bytes())?;
        for event in 1..=5 {
            conn.send_chunk(format!("id: {event}\ndata: t{event}\n\n").as_bytes())?;
            thread::sleep(Duration::from_millis(20));
        }
        return conn.send(b"0\r\n\r\n");
    }
    record.add(format!("worker {} runs {id}", worker.id));
    thread::sleep(Duration::from_millis(30));
    let head = success_head(&id, "text/plain") + "content-length: 5\r\n\r\nquote";
    conn.send(head.as_bytes())
}

fn brief_request(id: &str, model: &str) -> String {
    format!(
        "POST /lohu930/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-model: {model}\r\nx-pondwalk-token-usage: 9190,52\r\n\
         x-pondwalk-prefix-hash: 5c1e07a2:6300,{:x}:2890\r\nx-pondwalk-deadline-ms: 8000\r\n\
         authorization: Token k1\r\ncontent-length: {}\r\n\r\n{id}",
        id.bytes().fold(7u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte))),
        id.len()
    )
}

fn quote_request(id: &str) -> String {
    format!(
        "POST /puxa403/2f HTTP/1.1\r\nhost: ficu95.example\r\nx-pondwalk-attempt-id: {id}\r\n\
         x-pondwalk-deadline-ms: 1500\r\nauthorization: Token k1\r\ncontent-length: {}\r\n\r\n{id}",
        id.len()
    )
}

/// Sends a request on a channel of its own; the status, and whether the answer is whole.
fn call(entry: SocketAddr, request: &str) -> String {
    let Ok(mut conn) = Conn::connect(entry) else { return "no channel".to_owned() };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(10)));
    if conn.send(request.as_bytes()).is_err() {
        return "closed".to_owned();
    }
    let Ok(Some(head)) = conn.read_head() else { return "no answer".to_owned() };
    match conn.read_body(&head, false) {
        Ok(_) => format!("{} whole", head.status()),
        Err(_) => format!("{} cut", head.status()),
    }
}
