//! Callers that keep their connections until they are closed.

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
    records::{End, Exchange, Route, Version, now_us},
    roles::EVENTS,
};

/// Time that a caller gives its request.
pub const DEADLINE: Duration = Duration::from_millis(3_000);
/// Time beyond it after which no answer counts as coming any more.
const WELL_AFTER: Duration = Duration::from_millis(1_000);
/// Time for a connection to open.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longest pause between two requests.
const LONGEST_PAUSE_MS: u64 = 200;
/// Pause before another connection is tried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

type Sender = SendRequest<Full<Bytes>>;

/// One caller.
pub struct Caller {
    /// Its place among all, which starts its random numbers.
    pub number: usize,
    /// Entry that it goes to as long as that is open.
    pub home: usize,
    /// When it makes its last request.
    pub until: Instant,
}

impl Caller {
    /// Sends requests until its time is over.
    pub async fn run(self, deployment: Rc<Deployment>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ((self.number as u64 + 1) << 32));
        let dialect = pondwalk_platform::dialect();
        let sent = Cell::new(0);
        while Instant::now() < self.until {
            let Some((entry, address)) = self.open_entry(&deployment) else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match timeout(CONNECT_LIMIT, open(address)).await {
                Ok(Some(mut sender)) => {
                    let line = Line { caller: &self, deployment: &deployment, dialect: &dialect };
                    line.use_up(&mut sender, entry, &sent, &mut rng).await;
                }
                _ => sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Its own entry, or the next that is open.
    fn open_entry(&self, deployment: &Deployment) -> Option<(usize, SocketAddr)> {
        let count = deployment.entries();
        let places = (0..count).map(|step| (self.home + step) % count);
        let mut open = places.filter_map(|entry| Some((entry, deployment.open_at(entry)?)));
        open.next()
    }
}

/// Opens a connection to an entry.
pub async fn open(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
    spawn_local(async move { connection.await.unwrap_or_default() });
    Some(sender)
}

/// One connection of a caller.
struct Line<'a> {
    caller: &'a Caller,
    deployment: &'a Deployment,
    dialect: &'a Dialect,
}

impl Line<'_> {
    /// Sends requests on it until it is closed.
    async fn use_up(
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
            let key = draw_key(self.deployment.version(), rng);
            let sent_us = now_us();
            let asked = request(self.dialect, &id, route, key, "asked".to_owned());
            let Ok(request) = asked else { return };
            let limit = DEADLINE + WELL_AFTER;
            let ended = timeout(limit, exchange(sender, request, &id, route, self.dialect)).await;
            let (end, goes_on) = ended.unwrap_or((End::Never, false));
            let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), end };
            self.deployment.records.borrow_mut().exchanges.push(exchange);
            if !goes_on {
                return;
            }
            sleep(Duration::from_millis(rng.random_range(0..LONGEST_PAUSE_MS))).await;
        }
    }
}

/// A request to a route under a key.
pub fn request(
    dialect: &Dialect,
    id: &str,
    route: Route,
    key: Version,
    body: String,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    Request::post(route.path())
        .header(HOST, HOST_NAME)
        .header(&dialect.request_id, id)
        .header(&dialect.deadline_ms, DEADLINE.as_millis().to_string())
        .header(AUTHORIZATION, format!("{} {}", dialect.key_scheme, key_text(key)))
        .body(Full::from(body))
}

/// Mostly the newest key, sometimes the one before, seldom one that was taken away.
fn draw_key(version: Version, rng: &mut Pcg64Mcg) -> Version {
    let back = match rng.random_range(0..20) {
        0..16 => 0,
        16..19 => 1,
        _ => 2,
    };
    version.saturating_sub(back).max(1)
}

/// Sends a request and judges its answer; tells too whether the connection goes on.
pub async fn exchange(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
    id: &str,
    route: Route,
    dialect: &Dialect,
) -> (End, bool) {
    let Ok(answer) = sender.send_request(request).await else { return (End::Cut, false) };
    let status = answer.status().as_u16();
    let closes = answer.headers().get(CONNECTION).is_some_and(|value| value == "close");
    let is_own = answer.headers().get(&dialect.request_id).is_some_and(|value| value == id);
    match read(answer).await {
        Some(body) => {
            let is_whole = status != 200 || is_own && body == expected(route, id);
            (End::Answered { status, is_whole }, !closes)
        }
        None => (End::Cut, false),
    }
}

/// The body, if it ended as a whole one does.
async fn read(answer: Response<Incoming>) -> Option<Bytes> {
    Some(answer.into_body().collect().await.ok()?.to_bytes())
}

fn expected(route: Route, id: &str) -> String {
    match route {
        Route::Once | Route::Again => id.to_owned(),
        Route::Stream => {
            (1..=EVENTS).map(|number| format!("id: {number}\ndata: piece {number}\n\n")).collect()
        }
    }
}
