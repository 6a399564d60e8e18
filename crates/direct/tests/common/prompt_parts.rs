//! Callers of requests whose prompts share parts, one of which crashes servers, and sound requests
//! beside them.

use std::{cell::RefCell, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pondwalk_direct::Entry;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

use super::{
    World, catalog,
    crashing::{CRASH_AFTER, Kind, SERVERS},
    net::Net,
    request, with, with_body,
};

/// Part that crashes every server that runs a request with it.
pub const CRASHING_PART: u64 = 0xbad;
/// A second such part.
pub const OTHER_CRASHING_PART: u64 = 0xbad2;
/// A part that crashes servers late in the answer.
pub const LATE_CRASHING_PART: u64 = 0xbad3;
const LATE_CRASH_AFTER: Duration = Duration::from_millis(800);
/// First part of the prompts of all requests.
pub const FIRST_PART: u64 = 0xf1;
/// Crashes after which the part must be quarantined.
pub const MAX_CRASHES: usize = 5;
/// Runs that are allowed later.
pub const MAX_FURTHER_RUNS: usize = 3;
/// Time after these crashes within which connected entries must refuse requests with the part.
pub const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Time after these crashes from which sound requests must be served.
pub const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Share of the sound requests that must be served at the first attempt from then on.
pub const MIN_SERVED_SHARE: f64 = 0.9;

/// Prompt parts of the n-th request, without its own.
pub type PartsOf = fn(u32) -> Vec<u64>;

/// One kind of callers: their rate, the parts they send, and when.
#[derive(Clone, Copy)]
pub struct Callers {
    /// Time between two requests.
    pub interval: Duration,
    /// Prompt parts of the n-th request, without its own.
    pub parts: PartsOf,
    /// Time of the first request.
    pub from: Duration,
    /// Time after which no more are sent.
    pub until: Duration,
    /// Whether a request that fails is sent once more, at another entry.
    pub retries: bool,
}

/// A first attempt of a sound request.
#[derive(Debug, Clone, Copy)]
pub struct Attempt {
    pub sent: Instant,
    pub is_served: bool,
}

/// First attempts of sound requests.
pub type Attempts = Rc<RefCell<Vec<Attempt>>>;

/// Parts as a header value; the last one is the request's own.
pub fn parts_header(parts: &[u64], own: u64) -> String {
    let parts = parts.iter().chain([&own]);
    let parts: Vec<String> = parts.map(|part| format!("{part:x}:100")).collect();
    parts.join(",")
}

/// A request with these parts and one of its own, and a body of its own.
pub fn request_with_parts(kind: &Kind, id: &str, parts: &[u64]) -> Request<Full<Bytes>> {
    let own = id.bytes().fold(1_u64 << 40, |own, byte| own.wrapping_mul(31) + u64::from(byte));
    let sent = with(request(kind.path, id), "pondwalk-model", "auto");
    let sent = with(sent, "pondwalk-prompt-parts", &parts_header(parts, own));
    with_body(sent, &format!("asked {id}"))
}

/// Starts `entries` connected entries and servers that crash when they run a request with
/// [`CRASHING_PART`], [`OTHER_CRASHING_PART`] or [`LATE_CRASHING_PART`].
pub async fn start(world: &World, net: &Net, kind: &Kind, entries: u16) -> Vec<Entry> {
    world.configure(catalog(1));
    for n in 1..=SERVERS {
        world.start_server(n, kind.service, "v1", kind.behaviour.clone());
    }
    for part in [CRASHING_PART, OTHER_CRASHING_PART] {
        world.make_part_crashing(kind.service, part, CRASH_AFTER);
    }
    world.make_part_crashing(kind.service, LATE_CRASHING_PART, LATE_CRASH_AFTER);
    let entries = net.start_many(world, entries, "");
    sleep(Duration::from_secs(5)).await;
    entries
}

/// Entries that may change while callers send.
pub type SharedEntries = Rc<RefCell<Vec<Entry>>>;

/// Sends requests until the callers' time is over, each at a random entry; records the first
/// attempts.
pub async fn send_requests(
    world: &Rc<World>,
    entries: &SharedEntries,
    kind: &Kind,
    name: &'static str,
    callers: Callers,
) -> Vec<Attempt> {
    let attempts = Attempts::default();
    let mut rng = SmallRng::seed_from_u64(name.len() as u64);
    let end = Instant::now() + callers.until;
    sleep(callers.from).await;
    let mut tasks = Vec::new();
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let (world, kind) = (Rc::clone(world), kind.clone());
        let entries = entries.borrow().clone();
        let first = rng.random_range(0..entries.len());
        let recorded = Rc::clone(&attempts);
        tasks.push(spawn_local(async move {
            for attempt in 0..2 {
                let entry = &entries[(first + attempt) % entries.len()];
                let id = format!("{name}{number}-{attempt}");
                let sent = Instant::now();
                let asked = request_with_parts(&kind, &id, &(callers.parts)(number));
                let response = world.call_at(entry, asked).await;
                let is_served = response.status.as_u16() == 200 && response.is_complete;
                if attempt == 0 {
                    recorded.borrow_mut().push(Attempt { sent, is_served });
                }
                if is_served || !callers.retries {
                    return;
                }
                let retry_after = response.headers.get("retry-after");
                let retry_after = retry_after.and_then(|text| text.to_str().ok()?.parse().ok());
                sleep(Duration::from_secs_f64(f64::min(retry_after.unwrap_or(0.2), 2.0))).await;
            }
        }));
        sleep(callers.interval).await;
    }
    for task in tasks {
        task.await.expect("a caller");
    }
    attempts.take()
}

/// What a run showed.
#[derive(Debug)]
pub struct Outcome {
    /// Servers that crashed under requests with a crashing part.
    pub crashes: usize,
    /// Runs of such requests later than [`DETECTION_TIME`] after the fifth crash.
    pub further_runs: usize,
    /// Sound requests sent later than [`RECOVERY_TIME`] after the fifth crash, and how many of
    /// them were served at the first attempt.
    pub sound: usize,
    pub served: usize,
}

impl Outcome {
    /// Counts what happened later than the fifth crash, or the last if there are fewer.
    pub fn of(world: &World, attempts: &[Attempt]) -> Self {
        let runs = world.backends.crashing_runs();
        let mut crashes: Vec<Instant> = runs.iter().filter_map(|run| run.crashed_at).collect();
        crashes.sort();
        let fifth = crashes.get(MAX_CRASHES - 1).or(crashes.last()).copied();
        let later = |at: Instant, time| fifth.is_some_and(|fifth| at > fifth + time);
        let sound: Vec<&Attempt> =
            attempts.iter().filter(|attempt| later(attempt.sent, RECOVERY_TIME)).collect();
        Outcome {
            crashes: crashes.len(),
            further_runs: runs.iter().filter(|run| later(run.at, DETECTION_TIME)).count(),
            sound: sound.len(),
            served: sound.iter().filter(|attempt| attempt.is_served).count(),
        }
    }

    /// Checks that the part was quarantined and that sound requests were served.
    pub fn check(&self, case: &str) {
        println!("{case}: {self:?}");
        assert!(self.crashes > 0 && self.sound > 0, "{case}: {self:?}");
        assert!(self.further_runs <= MAX_FURTHER_RUNS, "{case}: {self:?}");
        let share = self.served as f64 / self.sound as f64;
        assert!(share >= MIN_SERVED_SHARE, "{case}: {self:?}");
    }
}
