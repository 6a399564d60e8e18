//! Callers that reuse each connection until it is closed.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{SendRequest, handshake},
    header::{AUTHORIZATION, CONNECTION, HOST},
};
use hyper_util::rt::TokioIo;
use pondwalk_direct::Dialect;
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use tokio::{
    net::TcpStream,
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    deployment::{Deployment, HOST_NAME, key_text},
    records::{ConfigVersion, Exchange, Outcome, Route, now_us},
    roles::EVENTS,
};

/// Deadline of each request.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time after the deadline until a request counts as unanswered.
const ANSWER_GRACE: Duration = Duration::from_millis(1_000);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum pause between two requests, in milliseconds.
const MAX_PAUSE_MS: u64 = 200;
/// Share of the new connections that go to the entry on which they are concentrated.
const CONCENTRATION: f64 = 0.85;
/// Prompt part that all streams share.
pub const SHARED_PART: u64 = 0xf1;
/// Number of parts that streams of sound callers have beside it.
const SOUND_PARTS: u64 = 4;
/// Pause before the next connection attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

type Sender = SendRequest<Full<Bytes>>;

/// A caller, which sends one request at a time.
pub struct Caller {
    /// Number among all callers; part of the random seed.
    pub number: usize,
    /// Entry that the caller uses while the entry is ready.
    pub preferred_entry: usize,
    /// Time after which the caller sends no more requests.
    pub until: Instant,
}

impl Caller {
    /// Sends requests until the time is over.
    pub async fn run(self, deployment: Rc<Deployment>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ((self.number as u64 + 1) << 32));
        let dialect = pondwalk_platform::dialect();
        let sent = Cell::new(0);
        while Instant::now() < self.until {
            let Some((entry, address)) = self.ready_entry(&deployment, &mut rng) else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match timeout(CONNECT_TIMEOUT, connect(address)).await {
                Ok(Some(mut sender)) => {
                    let connection = CallerConnection {
                        caller: &self,
                        deployment: &deployment,
                        dialect: &dialect,
                    };
                    connection.send_until_closed(&mut sender, entry, &sent, &mut rng).await;
                }
                _ => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Returns the preferred entry, or the next one that is ready, with its address. While
    /// connections are concentrated on one entry, that one is mostly preferred.
    fn ready_entry(
        &self,
        deployment: &Deployment,
        rng: &mut Pcg64Mcg,
    ) -> Option<(usize, SocketAddr)> {
        let count = deployment.entries();
        let concentrated = deployment.concentrated_on.get();
        let concentrated = concentrated.filter(|_| rng.random_bool(CONCENTRATION));
        let first = concentrated.unwrap_or(self.preferred_entry);
        let entries = (0..count).map(|step| (first + step) % count);
        let mut ready = entries.filter_map(|entry| Some((entry, deployment.ready_address(entry)?)));
        // Beside an unreadable configuration no entry is ready, and a load balancer uses all of them.
        ready.next().or_else(|| {
            deployment.is_unreadable().then(|| (first, deployment.caller_address(first)))
        })
    }
}

/// Opens a connection to an entry.
pub async fn connect(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { connection.await.unwrap_or_default() });
    Some(sender)
}

/// Connection of a caller to an entry.
struct CallerConnection<'a> {
    caller: &'a Caller,
    deployment: &'a Deployment,
    dialect: &'a Dialect,
}

impl CallerConnection<'_> {
    /// Sends requests on the connection until it is closed.
    async fn send_until_closed(
        &self,
        sender: &mut Sender,
        entry: usize,
        sent: &Cell<u64>,
        rng: &mut Pcg64Mcg,
    ) {
        while Instant::now() < self.caller.until && sender.ready().await.is_ok() {
            let number = sent.replace(sent.get() + 1);
            let id = format!("{:04x}{number:08x}", self.caller.number);
            let route = *Route::ALL.choose(rng).unwrap_or(&Route::Again);
            let key = draw_key(self.deployment.config_version(), rng);
            let sent_us = now_us();
            let parts = [SHARED_PART, SHARED_PART + 1 + number % SOUND_PARTS, number << 16];
            let built = request(self.dialect, &id, route, key, "asked".to_owned(), &parts);
            let Ok(request) = built else { return };
            let limit = DEADLINE + ANSWER_GRACE;
            let ended = timeout(limit, exchange(sender, request, &id, route, self.dialect)).await;
            let (outcome, is_reusable) = ended.unwrap_or((Outcome::NoAnswer, false));
            let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), outcome };
            self.deployment.records.borrow_mut().exchanges.push(exchange);
            // Callers reconnect more often while their connections are concentrated.
            if !is_reusable || self.deployment.concentrated_on.get().is_some() {
                return;
            }
            sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }
}

/// Builds a request for a route with the key of a configuration; streams have a prompt of these
/// parts.
pub fn request(
    dialect: &Dialect,
    id: &str,
    route: Route,
    key: ConfigVersion,
    body: String,
    parts: &[u64],
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let mut request = Request::post(route.path());
    if route == Route::Stream {
        let parts: Vec<String> = parts.iter().map(|part| format!("{part:x}:100")).collect();
        request = request.header(&dialect.prompt_parts, parts.join(","));
    }
    request
        .header(HOST, HOST_NAME)
        .header(&dialect.request_id, id)
        .header(&dialect.deadline_ms, DEADLINE.as_millis().to_string())
        .header(AUTHORIZATION, format!("{} {}", dialect.key_scheme, key_text(key)))
        .body(Full::from(body))
}

/// Draws the key for a request: mostly the newest, sometimes the previous one, rarely a removed one.
fn draw_key(config_version: ConfigVersion, rng: &mut Pcg64Mcg) -> ConfigVersion {
    let versions_back = match rng.random_range(0..20) {
        0..16 => 0,
        16..19 => 1,
        _ => 2,
    };
    config_version.saturating_sub(versions_back).max(1)
}

/// Sends a request; returns its outcome and whether the connection can be reused.
pub async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    id: &str,
    route: Route,
    dialect: &Dialect,
) -> (Outcome, bool) {
    let Ok(answer) = sender.send_request(request).await else { return (Outcome::Cut, false) };
    let status = answer.status().as_u16();
    let closes_connection = answer.headers().get(CONNECTION).is_some_and(|value| value == "close");
    let is_own = answer.headers().get(&dialect.request_id).is_some_and(|value| value == id);
    match read_body(answer).await {
        Some(body) => {
            let is_complete = status != 200 || is_own && body == expected_body(route, id);
            (Outcome::Answered { status, is_complete }, !closes_connection)
        }
        None => (Outcome::Cut, false),
    }
}

/// Reads the body; returns `None` if it is incomplete.
async fn read_body(answer: Response<Incoming>) -> Option<Bytes> {
    Some(answer.into_body().collect().await.ok()?.to_bytes())
}

fn expected_body(route: Route, id: &str) -> String {
    match route {
        Route::Once | Route::Again => id.to_owned(),
        Route::Stream => {
            (1..=EVENTS).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
        }
    }
}
