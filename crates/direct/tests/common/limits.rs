//! Servers that report a rate limit, and the load that they get from all entries together.

use std::{rc::Rc, time::Duration};

use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

use super::{TestResponse, World, address, catalog, net::Net, request};

/// Interval in which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a server's first report by which all entries must apply the limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(1);

/// Requests that a server may get per window: one and a half times its limit, plus five.
pub fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Maximum number of requests in any window from `from` on.
pub fn max_in_window(world: &World, n: u16, from: Instant) -> usize {
    let seen = world.backends.requests(address(n));
    let times: Vec<Instant> =
        seen.iter().filter_map(|one| one.at).filter(|at| *at >= from).collect();
    let mut first = 0;
    let mut max_count = 0;
    for (last, at) in times.iter().enumerate() {
        while *at >= times[first] + WINDOW {
            first += 1;
        }
        max_count = max_count.max(last + 1 - first);
    }
    max_count
}

/// Requests that a server received from `from` on.
pub fn count_from(world: &World, n: u16, from: Instant) -> usize {
    let seen = world.backends.requests(address(n));
    seen.iter().filter(|one| one.at.is_some_and(|at| at >= from)).count()
}

/// Starts servers of a service, and entries that are connected to each other.
pub async fn start(
    world: &World,
    net: &Net,
    (servers, service, behaviour): (u16, &str, Behaviour),
    entries: u16,
) -> Vec<Entry> {
    world.configure(catalog(1));
    for n in 1..=servers {
        world.start_server(n, service, "v1", behaviour.clone());
    }
    let entries = net.start_many(world, entries, "");
    sleep(Duration::from_secs(5)).await;
    entries
}

/// Lets a server report a limit in all further responses.
pub fn report_limit(world: &World, n: u16, limit: &str) {
    world.backends.set_header(address(n), "server-limit", limit);
}

/// Requests of one kind at a constant rate.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Path of the requests.
    pub path: &'static str,
    /// Interval between two requests.
    pub gap: Duration,
    /// Duration of the load.
    pub time: Duration,
}

/// Sends the load without waiting for responses; `at` maps each request's number to an entry.
pub async fn load_at(
    world: &Rc<World>,
    entries: &[Entry],
    load: Load,
    at: impl Fn(usize) -> usize,
) -> Vec<JoinHandle<TestResponse>> {
    let end = Instant::now() + load.time;
    let mut pending = Vec::new();
    while Instant::now() < end {
        let entry = entries[at(pending.len()) % entries.len()].clone();
        let id = format!("l{:?}-{}", Instant::now(), pending.len());
        let world = Rc::clone(world);
        let sent = request(load.path, &id);
        pending.push(spawn_local(async move { world.call_at(&entry, sent).await }));
        sleep(load.gap).await;
    }
    pending
}

/// Sends the load to all entries in turn.
pub async fn load_evenly(
    world: &Rc<World>,
    entries: &[Entry],
    load: Load,
) -> Vec<JoinHandle<TestResponse>> {
    load_at(world, entries, load, |number| number).await
}

/// Waits for all responses.
pub async fn responses(pending: Vec<JoinHandle<TestResponse>>) -> Vec<TestResponse> {
    let mut responses = Vec::new();
    for response in pending {
        responses.push(response.await.expect("a response"));
    }
    responses
}

/// Checks that a server that reported its limit at `reported_at` gets no more than that limit allows,
/// from [`PROPAGATION_TIME`] on.
pub fn check_limit(world: &World, n: u16, limit_per_s: f64, reported_at: Instant) {
    let max_count = max_in_window(world, n, reported_at + PROPAGATION_TIME);
    let allowed = allowed(limit_per_s);
    assert!(
        max_count <= allowed,
        "{max_count} requests in 4 s with a limit of {limit_per_s} per second, {allowed} allowed"
    );
}
