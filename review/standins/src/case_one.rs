//! ONE: all processes are killed right after a usage report, and the store comes back from a copy.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome,
    http::{Message, read_request},
    json::{Json, parse},
    lab::{
        Entries, Record, Scratch, Worker, answer_head, configuration, connect_client, read_answer,
        send,
    },
    store::Store,
};

const KEY: &str = "n2ctnfzs989anu6wsjnb";
const REPORT_INTERVAL_S: u64 = 5;
const USAGE_DELAY_S: u64 = 10;
/// Time between two requests to one entry.
const REQUEST_GAP: Duration = Duration::from_millis(15);
/// Reports that the platform takes in before the one that is followed by the disruption.
const REPORTS_BEFORE: usize = 1;
/// A usual report comes this soon after the end of its window; the first ones wait for longer.
const USUAL_REPORT_MS: u64 = 1_500;
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Age of the copy that it comes back from.
const COPY_AGE: Duration = Duration::from_secs(3);
/// Time after which the platform starts the killed processes again.
const RESTART_AFTER: Duration = Duration::from_millis(700);
/// Reports after the disruption.
const TIME_AFTER: Duration = Duration::from_secs(16);

/// A usage report that the platform took in.
#[derive(Debug, Clone, PartialEq)]
struct Report {
    window: u64,
    owner: String,
    token: u64,
    counts: BTreeMap<String, u64>,
}

/// The platform's API for singleton duties; it enforces the fences.
struct Metering {
    record: Record,
    reports: Mutex<Vec<Report>>,
    /// Number of usual reports after which all entries are killed at once; 0 for never.
    kill_after: usize,
    has_kill: bool,
    /// Process ids of the entries.
    processes: Mutex<Vec<u32>>,
    has_killed: AtomicBool,
    /// Requests that the servers began to run, by window.
    ran: Mutex<BTreeMap<u64, u64>>,
}

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

const SIGKILL: i32 = 9;

impl Metering {
    fn start(record: &Record, kill_after: usize, has_kill: bool) -> (Arc<Metering>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let metering = Arc::new(Metering {
            record: record.clone(),
            reports: Mutex::default(),
            kill_after,
            has_kill,
            processes: Mutex::default(),
            has_killed: AtomicBool::new(false),
            ran: Mutex::default(),
        });
        let served = Arc::clone(&metering);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let metering = Arc::clone(&served);
                thread::spawn(move || metering.serve(stream));
            }
        });
        (metering, address)
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let status = self.take(&request);
            let answer = format!("HTTP/1.1 {status} M\r\nContent-Length: 0\r\n\r\n");
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn take(&self, request: &Message) -> u16 {
        let body = parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let counts = match body.get("counts") {
            Json::Object(counts) => {
                counts.iter().map(|(name, count)| (name.clone(), count.number())).collect()
            }
            _ => BTreeMap::new(),
        };
        let report = Report {
            window: body.get("window_id").number(),
            owner: request.header("x-pondwalk-task-owner").unwrap_or_default().to_owned(),
            token: request
                .header("x-pondwalk-fencing-token")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0),
            counts,
        };
        let end_ms = (report.window + 1) * REPORT_INTERVAL_S * 1_000;
        let after_ms = unix_ms().saturating_sub(end_ms);
        let mut reports = self.reports.lock().expect("not poisoned");
        let is_stale = reports.iter().any(|known| known.token > report.token);
        let status = if is_stale { 409 } else { 200 };
        self.record.add(
            "metering",
            format!(
                "{status} to {} (fence {}): window {} with {:?}, {after_ms} ms after its end",
                report.owner, report.token, report.window, report.counts
            ),
        );
        if status == 200 {
            reports.push(report.clone());
            let is_usual = |one: &&Report| !one.counts.is_empty();
            let is_due = self.kill_after > 0
                && after_ms < USUAL_REPORT_MS
                && reports.iter().filter(is_usual).count() >= self.kill_after;
            if is_due && !self.has_killed.swap(true, Ordering::SeqCst) {
                if self.has_kill {
                    for process in self.processes.lock().expect("not poisoned").iter() {
                        unsafe { kill(*process as i32, SIGKILL) };
                    }
                    self.record.add("platform", "SIGKILL to all entries");
                }
            }
        }
        status
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis() as u64
}

pub fn run(folder: &Path, has_trouble: bool) -> Outcome {
    let record = Record::new();
    let scratch = Scratch::new();
    let (store, store_address) = Store::start();
    // One of the two disruptions alone, for comparison.
    let only = std::env::var("ONLY").unwrap_or_default();
    let (has_kill, has_drill) = (only != "drill", only != "kill");
    let kill_after = if has_trouble { REPORTS_BEFORE + 1 } else { 0 };
    let (metering, metering_address) = Metering::start(&record, kill_after, has_kill);
    let route = "{\"name\":\"r-order\",\"hostname\":\"app.example\",\"path_prefix\":\"/order/\",\
         \"type\":\"idempotent\",\"timeout_ms\":1500,\"target_latency_ms\":150,\"priority\":0,\
         \"backend\":\"app\",\"max_attempts\":2,\"anonymous\":false}"
        .to_owned();
    let tenants = format!(",\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[\"{KEY}\"]}}]");
    store.put("op/config", &configuration(1, &[route], &["app"], &tenants));
    let counted = Arc::clone(&metering);
    let handler = Arc::new(move |_: &Worker, request: &Message, mut stream: TcpStream| {
        let window = unix_ms() / (REPORT_INTERVAL_S * 1_000);
        *counted.ran.lock().expect("not poisoned").entry(window).or_default() += 1;
        let answer = answer_head(request, 200, "Content-Length: 2\r\n") + "ok";
        let _ = stream.write_all(answer.as_bytes());
    });
    let workers =
        ["i-a", "i-b"].map(|id| Worker::start(id, "app", &store, &record, handler.clone()));
    let extra = [
        ("cloud_api.address", metering_address.to_string()),
        ("cloud_api.tasks", "metering".to_owned()),
        ("guarantees.lease_timeout_ms", "3000".to_owned()),
        ("guarantees.report_interval_s", REPORT_INTERVAL_S.to_string()),
        ("guarantees.usage_delay_s", USAGE_DELAY_S.to_string()),
        ("guarantees.propagation_ms", "3000".to_owned()),
        ("guarantees.retry_min_extra", "88".to_owned()),
    ];
    let mut entries = Entries::start_with(2, store_address, &extra, &scratch, &record);
    let ids = entries.children.iter().map(std::process::Child::id).collect();
    *metering.processes.lock().expect("not poisoned") = ids;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = entries
        .addresses
        .iter()
        .map(|own| {
            let (address, over) = (own.callers, Arc::clone(&is_over));
            let record = record.clone();
            thread::spawn(move || send_requests(&record, address, &over))
        })
        .collect();
    let limit = Instant::now() + Duration::from_secs(40);
    if has_trouble {
        while !metering.has_killed.load(Ordering::SeqCst) && Instant::now() < limit {
            thread::sleep(Duration::from_millis(1));
        }
        if !metering.has_killed.load(Ordering::SeqCst) {
            drop(entries);
            crate::lab::cannot_run("no usual report came");
        }
        if has_drill {
            store.go_away();
            record.add("store", "away");
        }
        thread::sleep(AWAY);
        if has_drill {
            let era = store.come_back(COPY_AGE);
            record.add("store", format!("back from a copy {COPY_AGE:?} old; Store-Era: {era}"));
        }
        thread::sleep(RESTART_AFTER - AWAY);
        if has_kill {
            (0..entries.children.len()).for_each(|index| entries.start_again(index));
        }
    } else {
        while metering.reports.lock().expect("not poisoned").len() <= REPORTS_BEFORE
            && Instant::now() < limit
        {
            thread::sleep(Duration::from_millis(10));
        }
    }
    thread::sleep(TIME_AFTER);
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    drop(entries);
    drop(workers);
    let reports = metering.reports.lock().expect("not poisoned").clone();
    if reports.iter().all(|report| report.counts.is_empty()) {
        record.write(folder);
        crate::lab::cannot_run("no usage was reported");
    }
    let mut is_broken = false;
    for (number, report) in reports.iter().enumerate() {
        let earlier = reports[..number]
            .iter()
            .find(|one| one.window == report.window && one.counts != report.counts);
        if let Some(earlier) = earlier {
            is_broken = true;
            record.add(
                "check",
                format!(
                    "ONE: window {} was reported by {} with {:?} and by {} with {:?}",
                    report.window, earlier.owner, earlier.counts, report.owner, report.counts
                ),
            );
        }
    }
    let summary = match is_broken {
        true => "two reports of one window with other counts",
        false => "no window was reported with other counts",
    };
    let ran = metering.ran.lock().expect("not poisoned").clone();
    for (window, count) in &ran {
        record.add("servers", format!("began to run {count} requests in window {window}"));
    }
    record.add("check", summary);
    println!("{summary}; {} reports, {} requests ran", reports.len(), ran.values().sum::<u64>());
    record.write(folder);
    Entries::keep_logs(&scratch, folder);
    Outcome { is_broken }
}

/// Sends requests at a steady rate, each on a new channel, and records each second what was answered.
fn send_requests(record: &Record, entry: SocketAddr, is_over: &AtomicBool) {
    let mut answered: BTreeMap<String, u32> = BTreeMap::new();
    let headers = format!("X-Pondwalk-Deadline-Ms: 1500\r\nAuthorization: Token {KEY}\r\n");
    let mut recorded_at = Instant::now();
    for number in 0u64.. {
        let is_last = is_over.load(Ordering::SeqCst);
        if is_last || recorded_at.elapsed() >= Duration::from_secs(1) {
            recorded_at = Instant::now();
            let sent: u32 = answered.values().sum();
            let answers = std::mem::take(&mut answered);
            record.add("clients", format!("at {entry}: {sent} sent, answers {answers:?}"));
        }
        if is_last {
            return;
        }
        let id = format!("{:04x}{number:08x}", entry.port());
        let answer = connect_client(entry, 64 * 1024)
            .and_then(|stream| send(&stream, "GET", "/order/1", &id, &headers, b""))
            .and_then(|mut reader| read_answer(&mut reader));
        let what = match answer {
            Ok((status, _)) => status.to_string(),
            Err(error) => error.kind().to_string(),
        };
        *answered.entry(what).or_default() += 1;
        thread::sleep(REQUEST_GAP);
    }
}
