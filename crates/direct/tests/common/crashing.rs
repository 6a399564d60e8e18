//! Callers that bring a request again which ends every server that runs it.

#![allow(dead_code)]

use std::{cell::Cell, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Act;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

use super::{LETHAL_BODY, World, catalog, net::Net, play, request, stream, with, with_body};

/// Servers of a service.
pub const SERVERS: u16 = 30;
/// Servers that a request may end before it is known for that.
pub const ENDS: usize = 3;
/// Further runs that are allowed from `KNOWN_AFTER` the third of those ends on.
pub const FURTHER_RUNS: usize = 3;
/// Time in which all entries that are in touch with one another must know.
pub const KNOWN_AFTER: Duration = Duration::from_millis(2_500);
/// Time from the beginning of a run until its server ends.
pub const ENDS_AFTER: Duration = Duration::from_millis(60);

pub fn made() -> Act {
    Act::Answer(200, "made".into())
}

/// What a kind of request is sent to, and what its servers usually do.
#[derive(Debug, Clone)]
pub struct Kind {
    pub path: &'static str,
    pub service: &'static str,
    pub usual: Act,
}

pub fn again() -> Kind {
    Kind { path: "/again/x", service: "s", usual: made() }
}

/// All kinds of requests.
pub fn kinds() -> Vec<Kind> {
    let streams = stream(100, Some(90));
    vec![
        again(),
        Kind { path: "/once/x", ..again() },
        Kind { path: "/open/x", ..again() },
        Kind { path: "/stream/x", usual: streams.clone(), ..again() },
        Kind { path: "/fixed/x", usual: streams.clone(), ..again() },
        Kind { path: "/models/x", service: "m", usual: streams },
    ]
}

/// So many entries that know one another, and servers that a request of this kind ends.
pub async fn start(world: &World, net: &Net, kind: &Kind, entries: u16) -> Vec<Entry> {
    world.configure(catalog(1));
    for n in 1..=SERVERS {
        world.start_server(n, kind.service, "v1", kind.usual.clone());
    }
    world.make_lethal(kind.service, LETHAL_BODY, ENDS_AFTER);
    let entries = net.start_many(world, entries, "");
    sleep(Duration::from_secs(5)).await;
    entries
}

pub fn lethal(kind: &Kind, number: u32) -> Request<Full<Bytes>> {
    let sent = with(request(kind.path, &format!("lethal-{number}")), "pondwalk-model", "auto");
    with_body(sent, LETHAL_BODY)
}

/// Lets the caller come again at any of the entries, so long after each try, for some time.
pub async fn come_again(
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
        world.ask_at(entry, lethal(kind, number)).await;
        number += 1;
        sleep(pause).await;
    }
}

/// Runs that began when all entries had to know that the request ends servers.
pub fn further_runs(world: &World) -> usize {
    let runs = world.backends.lethal_runs();
    let mut ends: Vec<Instant> = runs.iter().filter_map(|run| run.ended).collect();
    ends.sort();
    let Some(third) = ends.get(ENDS - 1) else { return 0 };
    runs.iter().filter(|run| run.at > *third + KNOWN_AFTER).count()
}

/// Further runs of a request of this kind, whose caller comes again so long after each try.
pub fn further_runs_of(kind: Kind, entries: u16, pause: Duration, time: Duration) -> usize {
    let further = Rc::new(Cell::new(0));
    let noted = Rc::clone(&further);
    play(|world| async move {
        let net = Net::default();
        let all = start(&world, &net, &kind, entries).await;
        come_again(&world, &all, &kind, pause, time).await;
        noted.set(further_runs(&world));
    });
    further.get()
}

/// Pause of a caller that comes again soon.
pub const QUICK: Duration = Duration::from_millis(400);

/// Sends so many copies at once, at the entries in turn, and waits for all of them.
pub async fn all_at_once(
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
            world.ask_at(&entry, lethal(&kind, round * copies + number)).await;
        })
    };
    let callers: Vec<_> = (0..copies).map(copy).collect();
    for caller in callers {
        caller.await.expect("a caller");
    }
}

/// Body of the n-th of several requests that end servers.
pub fn lethal_body(n: u32) -> String {
    format!("{LETHAL_BODY}, {n}")
}
