//! A backend server over TCP, which tells on standard output what it ran.

use std::{
    io::{self, Write},
    net::SocketAddr,
    process,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};
use tokio::{
    io::copy_bidirectional,
    net::TcpListener,
    signal::unix::{Signal, SignalKind, signal},
    task::spawn_local,
    time::sleep,
};

use crate::backends::{Backends, Behaviour, CrashRule, HeaderNames, ReceivedRequest};

/// Time between two looks at what was run; a run is told that much late at most.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Beginning of the body of a request that ends every server that runs it.
pub const CRASHING_BODY: &str = "ends whoever runs it";
/// Time from the beginning of its run until the server's process ends.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// The process does not outlive its end.
const NO_RESTART: Duration = Duration::from_secs(3_600);
/// Status of a process that ended so.
const CRASH_EXIT_STATUS: i32 = 3;

/// Tells in its answers that the server leaves.
const DRAINING_HEADER: &str = "server-leaving";
/// Tells in its answers for how many seconds it wants no requests.
const RETRY_AFTER_HEADER: &str = "retry-after";
/// Tells in its answers how many requests a second it takes from all entries together.
const LIMIT_HEADER: &str = "server-limit";
/// Time for which a server that was told to names a limit.
pub const RATE_LIMIT_DURATION: Duration = Duration::from_secs(10);
/// Requests a second that it takes meanwhile.
const LIMIT_PER_S: &str = "1.6";
/// Time for which a server that was told to turns everything away.
pub const REJECTION_DURATION: Duration = Duration::from_secs(5);
/// Seconds without requests that it asks for meanwhile.
const RETRY_AFTER_S: &str = "2.5";

/// One request that a server has read.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Server that read it.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// Whether the server ran it.
    pub ran: bool,
    /// Time of day at which it was noticed, in microseconds.
    pub at_us: u64,
    /// Whether the answer said that the server leaves.
    #[serde(default)]
    pub told_leaving: bool,
    /// For how long the server wanted nothing more, if it asked for that with the answer, in milliseconds.
    #[serde(default)]
    pub asked_backoff_ms: Option<u64>,
    /// Requests a second that the server takes from all entries together, if the answer named that.
    #[serde(default)]
    pub limit_per_s: Option<f64>,
}

/// Time of day in microseconds.
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Headers of the platform's backend servers.
pub fn header_names() -> HeaderNames {
    let name = |text: &str| text.to_owned();
    HeaderNames {
        request_id: name("x-pondwalk-attempt-id"),
        expected_server: name("x-pondwalk-expected-instance"),
        not_run: name("x-pondwalk-not-executed"),
        signature: name("x-pondwalk-response-signature"),
        confidence: name("x-pondwalk-estimate-confidence"),
        last_event_id: name("last-event-id"),
    }
}

impl RunRecord {
    fn new(server: &str, request: &ReceivedRequest) -> Self {
        let told = |name: &str| {
            let told = request.extra_headers.iter().find(|(told, _)| told == name);
            told.map(|(_, value)| value.as_str())
        };
        let backoff_s = told(RETRY_AFTER_HEADER).and_then(|text| text.parse::<f64>().ok());
        RunRecord {
            server: server.to_owned(),
            request: request.headers.get(&header_names().request_id).cloned().unwrap_or_default(),
            ran: request.ran,
            at_us: now_us(),
            told_leaving: told(DRAINING_HEADER).is_some(),
            asked_backoff_ms: backoff_s.map(|backoff_s| (backoff_s * 1_000.0) as u64),
            limit_per_s: told(LIMIT_HEADER).and_then(|text| text.parse().ok()),
        }
    }
}

/// Serves as `id` on connections to `listener`, on the current thread's local tasks.
pub async fn serve(
    id: String,
    default_behaviour: Behaviour,
    listener: TcpListener,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let backends = Backends::new(header_names());
    backends.start(address, &id, default_behaviour.clone());
    // NB: a signal that nobody listens for yet would end the process.
    let (drain, reject) =
        (signal(SignalKind::user_defined1())?, signal(SignalKind::user_defined2())?);
    let limit = signal(SignalKind::hangup())?;
    spawn_local(announce_draining(backends.clone(), address, drain));
    spawn_local(reject_requests(backends.clone(), address, default_behaviour, reject));
    spawn_local(announce_rate_limit(backends.clone(), address, limit));
    backends.add_crash_rule(CrashRule {
        body: CRASHING_BODY.as_bytes().to_vec(),
        after: CRASH_DELAY,
        restart_delay: NO_RESTART,
        on_restart: Rc::new(|_, id| id.to_owned()),
    });
    spawn_local(print_runs(backends.clone(), address, id));
    loop {
        let (mut stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let mut connection = backends.connect(address)?;
        spawn_local(async move {
            // NB: either side may leave at any moment.
            let _ = copy_bidirectional(&mut stream, &mut connection).await;
        });
    }
}

/// Says in all answers that the server leaves, from the first such signal on.
async fn announce_draining(backends: Backends, address: SocketAddr, mut signal: Signal) {
    while signal.recv().await.is_some() {
        backends.set_header(address, DRAINING_HEADER, "1");
    }
}

/// Turns everything away for a while at each such signal, and asks for a pause with each answer.
async fn reject_requests(
    backends: Backends,
    address: SocketAddr,
    default_behaviour: Behaviour,
    mut signal: Signal,
) {
    while signal.recv().await.is_some() {
        backends.set_behaviour(address, Behaviour::NotRun(503));
        backends.set_header(address, RETRY_AFTER_HEADER, RETRY_AFTER_S);
        sleep(REJECTION_DURATION).await;
        backends.set_behaviour(address, default_behaviour.clone());
        backends.remove_header(address, RETRY_AFTER_HEADER);
    }
}

/// Names a limit in all answers for a while at each such signal.
async fn announce_rate_limit(backends: Backends, address: SocketAddr, mut signal: Signal) {
    while signal.recv().await.is_some() {
        backends.set_header(address, LIMIT_HEADER, LIMIT_PER_S);
        sleep(RATE_LIMIT_DURATION).await;
        backends.remove_header(address, LIMIT_HEADER);
    }
}

/// Tells each request once, a line each.
async fn print_runs(backends: Backends, address: SocketAddr, id: String) {
    let mut told = 0;
    loop {
        for request in backends.requests_from(address, told) {
            told += 1;
            let line = serde_json::to_string(&RunRecord::new(&id, &request)).unwrap_or_default();
            // NB: whoever started it reads this; without a reader there is nothing to serve for.
            if writeln!(io::stdout(), "{line}").is_err() {
                return;
            }
        }
        // NB: what it worked on has broken off by now, as the system lets it when a process ends.
        if backends.crashing_runs().iter().any(|run| run.crashed_at.is_some()) {
            process::exit(CRASH_EXIT_STATUS);
        }
        sleep(POLL_INTERVAL).await;
    }
}
