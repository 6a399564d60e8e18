//! Requests whose content crashes every server that runs it, and callers that repeat them.

#![allow(dead_code)]

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

use super::{CRASHING_BODY, World, catalog, net::Net, request, run_test, stream, with, with_body};

/// Number of servers of the service.
pub const SERVERS: u16 = 30;
/// Crashes that a content may cause before it is quarantined.
pub const MAX_CRASHES: usize = 3;
/// Further runs allowed later than [`DETECTION_TIME`] after the third of those crashes.
pub const MAX_FURTHER_RUNS: usize = 3;
/// Time within which all connected entries must have detected the content.
pub const DETECTION_TIME: Duration = Duration::from_millis(2_500);
/// Time from the beginning of a run to the server's crash.
pub const CRASH_AFTER: Duration = Duration::from_millis(60);

pub fn ok_response() -> Behaviour {
    Behaviour::Answer(200, "made".into())
}

/// A kind of request: its path, service, and the servers' behaviour towards other contents.
#[derive(Debug, Clone)]
pub struct Kind {
    pub path: &'static str,
    pub service: &'static str,
    pub behaviour: Behaviour,
}

pub fn repeatable() -> Kind {
    Kind { path: "/again/x", service: "s", behaviour: ok_response() }
}

/// All kinds of requests.
pub fn kinds() -> Vec<Kind> {
    let streams = stream(100, Some(90));
    vec![
        repeatable(),
        Kind { path: "/once/x", ..repeatable() },
        Kind { path: "/open/x", ..repeatable() },
        Kind { path: "/stream/x", behaviour: streams.clone(), ..repeatable() },
        Kind { path: "/fixed/x", behaviour: streams.clone(), ..repeatable() },
        Kind { path: "/models/x", service: "m", behaviour: streams },
    ]
}

/// Starts `entries` connected entries, and servers that crash when they run [`CRASHING_BODY`].
pub async fn start(world: &World, net: &Net, kind: &Kind, entries: u16) -> Vec<Entry> {
    start_sized(world, net, kind, Size { servers: SERVERS, entries }, CRASH_AFTER).await
}

/// Numbers of servers and entries.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    pub servers: u16,
    pub entries: u16,
}

/// Like [`start`], with so many servers, which crash `crash_after` the beginning of a run.
pub async fn start_sized(
    world: &World,
    net: &Net,
    kind: &Kind,
    Size { servers, entries }: Size,
    crash_after: Duration,
) -> Vec<Entry> {
    world.configure(catalog(1));
    for n in 1..=servers {
        world.start_server(n, kind.service, "v1", kind.behaviour.clone());
    }
    world.make_crashing(kind.service, CRASHING_BODY, crash_after);
    let entries = net.start_many(world, entries, "");
    sleep(Duration::from_secs(5)).await;
    entries
}

pub fn crashing(kind: &Kind, number: u32) -> Request<Full<Bytes>> {
    let sent = with(request(kind.path, &format!("lethal-{number}")), "pondwalk-model", "auto");
    with_body(sent, CRASHING_BODY)
}

/// Repeats the request for `time` at random entries, `pause` after each response.
pub async fn repeat_request(
    world: &World,
    entries: &[Entry],
    kind: &Kind,
    pause: Duration,
    time: Duration,
) {
    let mut rng = SmallRng::seed_from_u64(entries.len() as u64);
    let end = Instant::now() + time;
    let mut number = 0;
    while Instant::now() < end {
        let entry = &entries[rng.random_range(0..entries.len())];
        world.call_at(entry, crashing(kind, number)).await;
        number += 1;
        sleep(pause).await;
    }
}

/// Runs that began after all entries must have detected the content.
pub fn further_runs(world: &World) -> usize {
    let runs = world.backends.crashing_runs();
    let mut ends: Vec<Instant> = runs.iter().filter_map(|run| run.crashed_at).collect();
    ends.sort();
    let Some(third) = ends.get(MAX_CRASHES - 1) else { return 0 };
    runs.iter().filter(|run| run.at > *third + DETECTION_TIME).count()
}

/// Further runs of a request of this kind, repeated `pause` after each response.
pub fn further_runs_of(kind: Kind, entries: u16, pause: Duration, time: Duration) -> usize {
    let further = Rc::new(Cell::new(0));
    let recorded = Rc::clone(&further);
    run_test(|world| async move {
        let net = Net::default();
        let all = start(&world, &net, &kind, entries).await;
        repeat_request(&world, &all, &kind, pause, time).await;
        recorded.set(further_runs(&world));
    });
    further.get()
}

/// Pause of a caller that retries quickly.
pub const QUICK_RETRY: Duration = Duration::from_millis(400);

/// Sends `copies` requests at once, distributed over the entries, and waits for all.
pub async fn send_all_at_once(
    world: &Rc<World>,
    entries: &[Entry],
    kind: &Kind,
    copies: u32,
    round: u32,
) {
    let copy = |number: u32| {
        let (world, kind) = (Rc::clone(world), kind.clone());
        let entry = entries[number as usize % entries.len()].clone();
        spawn_local(async move {
            world.call_at(&entry, crashing(&kind, round * copies + number)).await;
        })
    };
    let callers: Vec<_> = (0..copies).map(copy).collect();
    for caller in callers {
        caller.await.expect("a caller");
    }
}

/// Body of the n-th of several contents that crash servers.
pub fn crashing_body(n: u32) -> String {
    format!("{CRASHING_BODY}, {n}")
}
