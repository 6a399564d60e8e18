//! Servers that name a rate limit, and what reaches them from all entries together.

use std::{rc::Rc, time::Duration};

use pondwalk_direct::Entry;
use pondwalk_standin::backends::Act;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

use super::{Answer, World, address, catalog, net::Net, request};

/// Time within which a server's requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time after a server's first word by which all entries keep to it.
const KNOWN_AFTER: Duration = Duration::from_secs(1);

/// Requests that a server may get within four seconds: half as many again as it named, and five.
pub fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Most requests that a server got within four seconds, from a time on.
pub fn most_in_window(world: &World, n: u16, from: Instant) -> usize {
    let seen = world.backends.seen(address(n));
    let times: Vec<Instant> =
        seen.iter().filter_map(|one| one.at).filter(|at| *at >= from).collect();
    let mut first = 0;
    let mut most = 0;
    for (last, at) in times.iter().enumerate() {
        while *at >= times[first] + WINDOW {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// Requests that a server got from a time on.
pub fn count_from(world: &World, n: u16, from: Instant) -> usize {
    let seen = world.backends.seen(address(n));
    seen.iter().filter(|one| one.at.is_some_and(|at| at >= from)).count()
}

/// Servers of a service, and entries that know them and one another.
pub async fn start(
    world: &World,
    net: &Net,
    (servers, service, usual): (u16, &str, Act),
    entries: u16,
) -> Vec<Entry> {
    world.configure(catalog(1));
    for n in 1..=servers {
        world.start_server(n, service, "v1", usual.clone());
    }
    let entries = net.start_many(world, entries, "");
    sleep(Duration::from_secs(5)).await;
    entries
}

/// A server names a limit in all its answers from now on.
pub fn name_limit(world: &World, n: u16, limit: &str) {
    world.backends.tell(address(n), "server-limit", limit);
}

/// Requests of one kind that come evenly.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Path of the requests.
    pub path: &'static str,
    /// Time between two.
    pub gap: Duration,
    /// How long they come.
    pub time: Duration,
}

/// Lets requests come, each at the entry that `at` names by its number, none waiting for another.
pub async fn load_at(
    world: &Rc<World>,
    entries: &[Entry],
    load: Load,
    at: impl Fn(usize) -> usize,
) -> Vec<JoinHandle<Answer>> {
    let end = Instant::now() + load.time;
    let mut asked = Vec::new();
    while Instant::now() < end {
        let entry = entries[at(asked.len()) % entries.len()].clone();
        let id = format!("l{:?}-{}", Instant::now(), asked.len());
        let world = Rc::clone(world);
        let sent = request(load.path, &id);
        asked.push(spawn_local(async move { world.ask_at(&entry, sent).await }));
        sleep(load.gap).await;
    }
    asked
}

/// The same at all entries in turn.
pub async fn load_evenly(
    world: &Rc<World>,
    entries: &[Entry],
    load: Load,
) -> Vec<JoinHandle<Answer>> {
    load_at(world, entries, load, |number| number).await
}

/// The answers, once all are there.
pub async fn answers(asked: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let mut answers = Vec::new();
    for answer in asked {
        answers.push(answer.await.expect("an answer"));
    }
    answers
}

/// Checks that a server, which has just begun to name a limit, gets no more from a second on than that allows.
pub fn check(world: &World, n: u16, limit_per_s: f64, named: Instant) {
    let most = most_in_window(world, n, named + KNOWN_AFTER);
    let allowed = allowed(limit_per_s);
    assert!(
        most <= allowed,
        "{most} requests in 4 s at a server that takes {limit_per_s} a second, {allowed} allowed"
    );
}
