//! Backend server over TCP that prints each request it received to standard output, as a JSON line.
//!
//! Signals change its behaviour: `SIGUSR1` reports that it is draining, `SIGUSR2` rejects requests
//! and asks for backoff for a while, `SIGHUP` reports a rate limit for a while, and `SIGWINCH` makes
//! its responses endless for a while.

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
    time::{Instant, sleep},
};

use crate::{
    backends::{Backends, Behaviour, CrashRule, HeaderNames, ReceivedRequest, prompt_parts},
    floods::Flood,
};

/// Interval at which received requests are printed; a request is printed at most this much late.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Prefix of the body of a request that crashes every server that runs it.
pub const CRASHING_BODY: &str = "ends whoever runs it";
/// The same for a request that is answered before, or streamed in part.
pub const LATE_CRASHING_BODY: &str = "ends whoever has run it";
/// Bits above [`CRASHING_PART_BITS`] in the ids of prompt parts that crash every server that runs a
/// request with one of them.
const CRASHING_PARTS: u64 = 0xbad;
/// Number of bits in which such parts differ.
const CRASHING_PART_BITS: u32 = 16;
/// Header with the parts of a prompt.
pub const PROMPT_PARTS_HEADER: &str = "x-pondwalk-prefix-hash";
/// Time from the start of such a request until the server crashes.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// The same for a request that is answered before.
const LATE_CRASH_DELAY: Duration = Duration::from_millis(250);
/// Restart delay that is never reached, because the process exits after the crash.
const NO_RESTART: Duration = Duration::from_secs(3_600);
/// Exit status of the process after a crash.
const CRASH_EXIT_STATUS: i32 = 3;

/// Response header of a draining server.
const DRAINING_HEADER: &str = "server-leaving";
/// Response header with the requested backoff, in seconds.
const RETRY_AFTER_HEADER: &str = "retry-after";
/// Response header with the rate limit for all entries together, in requests a second.
const LIMIT_HEADER: &str = "server-limit";
/// Time for which the server reports a rate limit after `SIGHUP`.
pub const RATE_LIMIT_DURATION: Duration = Duration::from_secs(10);
/// Reported rate limit, in requests a second.
const LIMIT_PER_S: &str = "1.6";
/// Time for which the server rejects all requests after `SIGUSR2`.
pub const REJECTION_DURATION: Duration = Duration::from_secs(5);
/// Backoff requested with each rejection, in seconds.
const RETRY_AFTER_S: &str = "2.5";

/// Time for which the server's responses are endless after `SIGWINCH`.
pub const FLOOD_DURATION: Duration = Duration::from_millis(2_500);
/// Time until they are endless in another way.
const FLOOD_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes that each of them offers. Callers may read all of it into the memory of one process.
const FLOOD_BYTES: usize = 8 * 1024 * 1024;

/// A request that a server received, as printed to standard output.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Id of the server.
    pub server: String,
    /// Id of the request.
    pub request: String,
    /// Whether the server ran it.
    pub ran: bool,
    /// Unix time at which the request was printed, in microseconds.
    pub at_us: u64,
    /// Whether the response has no end.
    #[serde(default)]
    pub is_flooded: bool,
    /// Whether the response reported that the server is draining.
    #[serde(default)]
    pub told_leaving: bool,
    /// Backoff requested in the response, if any, in milliseconds.
    #[serde(default)]
    pub asked_backoff_ms: Option<u64>,
    /// Rate limit for all entries together reported in the response, if any, in requests a second.
    #[serde(default)]
    pub limit_per_s: Option<f64>,
}

/// Returns the Unix time in microseconds.
pub fn now_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the names of the headers that the platform's backend servers use.
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
        let header = |name: &str| {
            let header = request.extra_headers.iter().find(|(header, _)| header == name);
            header.map(|(_, value)| value.as_str())
        };
        let backoff_s = header(RETRY_AFTER_HEADER).and_then(|text| text.parse::<f64>().ok());
        RunRecord {
            server: server.to_owned(),
            request: request.headers.get(&header_names().request_id).cloned().unwrap_or_default(),
            ran: request.ran,
            is_flooded: request.is_flooded,
            at_us: now_us(),
            told_leaving: header(DRAINING_HEADER).is_some(),
            asked_backoff_ms: backoff_s.map(|backoff_s| (backoff_s * 1_000.0) as u64),
            limit_per_s: header(LIMIT_HEADER).and_then(|text| text.parse().ok()),
        }
    }
}

/// Serves as server `id` on connections to `listener`, as local tasks of the current thread.
///
/// Returns an error if a signal handler cannot be installed or a connection cannot be accepted.
pub async fn serve(
    id: String,
    default_behaviour: Behaviour,
    listener: TcpListener,
) -> io::Result<()> {
    let address = listener.local_addr()?;
    let backends = Backends::new(header_names());
    backends.start(address, &id, default_behaviour.clone());
    // NB: a signal without a handler ends the process, so the handlers are installed before any
    // await.
    let (drain, reject) =
        (signal(SignalKind::user_defined1())?, signal(SignalKind::user_defined2())?);
    let (limit, flood) = (signal(SignalKind::hangup())?, signal(SignalKind::window_change())?);
    spawn_local(announce_draining(backends.clone(), address, drain));
    let usual = default_behaviour.clone();
    spawn_local(reject_requests(backends.clone(), address, usual, reject));
    spawn_local(announce_rate_limit(backends.clone(), address, limit));
    spawn_local(send_floods(backends.clone(), address, default_behaviour.clone(), flood));
    let rule = CrashRule {
        applies: Rc::new(crashes_server),
        after: CRASH_DELAY,
        is_answered: false,
        restart_delay: NO_RESTART,
        on_restart: Rc::new(|_, id| id.to_owned()),
    };
    backends.add_crash_rule(CrashRule {
        applies: Rc::new(|request| request.body.starts_with(LATE_CRASHING_BODY.as_bytes())),
        after: LATE_CRASH_DELAY,
        is_answered: true,
        ..rule.clone()
    });
    backends.add_crash_rule(rule);
    spawn_local(print_runs(backends.clone(), address, id));
    loop {
        let (mut stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let mut connection = backends.connect(address)?;
        spawn_local(async move {
            // NB: either side may close at any time; that is no error.
            let _ = copy_bidirectional(&mut stream, &mut connection).await;
        });
    }
}

/// Id of the n-th prompt part that crashes every server that runs a request with it.
pub fn crashing_part(number: u16) -> u64 {
    CRASHING_PARTS << CRASHING_PART_BITS | u64::from(number)
}

/// Whether a request crashes every server that runs it.
fn crashes_server(request: &ReceivedRequest) -> bool {
    let parts = request.headers.get(PROMPT_PARTS_HEADER).map_or("", String::as_str);
    let mut parts = prompt_parts(parts);
    request.body.starts_with(CRASHING_BODY.as_bytes())
        || parts.any(|part| part >> CRASHING_PART_BITS == CRASHING_PARTS)
}

/// Reports in all responses that the server is draining, from the first signal on.
async fn announce_draining(backends: Backends, address: SocketAddr, mut signal: Signal) {
    while signal.recv().await.is_some() {
        backends.set_header(address, DRAINING_HEADER, "1");
    }
}

/// Rejects all requests for [`REJECTION_DURATION`] after each signal, with a requested backoff.
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

/// Reports a rate limit in all responses for [`RATE_LIMIT_DURATION`] after each signal.
async fn announce_rate_limit(backends: Backends, address: SocketAddr, mut signal: Signal) {
    while signal.recv().await.is_some() {
        backends.set_header(address, LIMIT_HEADER, LIMIT_PER_S);
        sleep(RATE_LIMIT_DURATION).await;
        backends.remove_header(address, LIMIT_HEADER);
    }
}

/// Responds without an end for [`FLOOD_DURATION`] after each signal, in all ways by turns.
async fn send_floods(
    backends: Backends,
    address: SocketAddr,
    default_behaviour: Behaviour,
    mut signal: Signal,
) {
    let mut kinds = Flood::ALL.into_iter().cycle();
    while signal.recv().await.is_some() {
        let end = Instant::now() + FLOOD_DURATION;
        while Instant::now() < end {
            let kind = kinds.next().unwrap_or(Flood::UnframedBody);
            backends.set_behaviour(address, Behaviour::Flood(kind, FLOOD_BYTES));
            sleep(FLOOD_INTERVAL).await;
        }
        backends.set_behaviour(address, default_behaviour.clone());
    }
}

/// Prints each received request once, a line each, and exits the process after a crash.
async fn print_runs(backends: Backends, address: SocketAddr, id: String) {
    let mut printed = 0;
    loop {
        for request in backends.requests_from(address, printed) {
            printed += 1;
            let line = serde_json::to_string(&RunRecord::new(&id, &request)).unwrap_or_default();
            // NB: the parent process reads this output; without a reader the server has no use.
            if writeln!(io::stdout(), "{line}").is_err() {
                return;
            }
        }
        // NB: the connections are closed by now, as the system closes them when a process exits.
        if backends.crashing_runs().iter().any(|run| run.crashed_at.is_some()) {
            process::exit(CRASH_EXIT_STATUS);
        }
        sleep(POLL_INTERVAL).await;
    }
}
