//! Most callers' connections go to one entry for a while, as if a load balancer concentrated them.

mod common;

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use common::{World, address, net::Net, request, run_test, with_body};
use pondwalk_decide::direct::WarmUp;
use pondwalk_direct::Entry;
use pondwalk_standin::backends::Behaviour;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

const SERVERS: u16 = 30;
/// Requests a second that a cold server takes, and that it may get in a second: 4 x 1.5 + 5.
const COLD_REQUESTS_PER_S: f64 = 4.0;
const MAX_PER_SECOND: usize = 11;
const COLD_SETTINGS: &str = "[warm_up]\novershoot=1.5\ntolerance=5\nheartbeat_ms=1200\n";
/// Time between two requests of all callers.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);
/// Time for which callers are spread evenly, and for which they are concentrated.
const PHASE: Duration = Duration::from_secs(10);
/// Share of the requests to one entry while they are concentrated.
const CONCENTRATION: f64 = 0.85;
/// Time within which entries must have adapted.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// Share of the requests served at the first attempt, relative to the time before.
const MIN_SERVED: f64 = 0.75;

/// Requests sent in a phase, and how many were served at the first attempt.
#[derive(Debug, Default)]
struct Counts {
    sent: Cell<usize>,
    served: Cell<usize>,
}

impl Counts {
    fn served_share(&self) -> f64 {
        self.served.get() as f64 / self.sent.get().max(1) as f64
    }
}

/// Sends requests for `time`, a share of `concentration` to the first entry; counts those sent from
/// `counted_from` on.
async fn send_requests(
    world: &Rc<World>,
    entries: &[Entry],
    name: &str,
    concentration: f64,
    counted_from: Duration,
) -> f64 {
    let counts = Rc::new(Counts::default());
    let mut rng = SmallRng::seed_from_u64(entries.len() as u64);
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0.. {
        if start.elapsed() >= PHASE {
            break;
        }
        let is_concentrated = rng.random_bool(concentration);
        let chosen = if is_concentrated { 0 } else { rng.random_range(0..entries.len()) };
        let (world, entry, counts) =
            (Rc::clone(world), entries[chosen].clone(), Rc::clone(&counts));
        let id = format!("{name}{number}");
        let is_counted = start.elapsed() >= counted_from;
        tasks.push(spawn_local(async move {
            let sent = with_body(request("/again/x", &id), &id);
            let status = world.call_at(&entry, sent).await.status.as_u16();
            if is_counted {
                counts.sent.set(counts.sent.get() + 1);
                counts.served.set(counts.served.get() + usize::from(status == 200));
            }
        }));
        sleep(REQUEST_INTERVAL).await;
    }
    for task in tasks {
        task.await.expect("a caller");
    }
    counts.served_share()
}

/// Highest number of requests that reached one server within a second.
fn max_per_second(world: &World) -> usize {
    let of_server = |n: u16| {
        let requests = world.backends.requests(address(n));
        let mut times: Vec<Instant> = requests.iter().filter_map(|request| request.at).collect();
        times.sort();
        let within = |at: Instant| {
            let end = at + Duration::from_secs(1);
            times.iter().filter(move |other| **other >= at && **other < end)
        };
        times.iter().map(|at| within(*at).count()).max().unwrap_or(0)
    };
    (1..=SERVERS).map(of_server).max().unwrap_or(0)
}

/// Shares served at the first attempt before and while callers are concentrated, with all servers
/// cold.
fn served_with_cold_servers(entries: u16) -> (f64, f64) {
    let result = Rc::new(RefCell::new((0.0, 0.0)));
    let recorded = Rc::clone(&result);
    run_test(|world| async move {
        let world = Rc::new(world);
        let net = Net::default();
        let time = Duration::from_secs(60);
        let warm_up = WarmUp { time, requests_per_s: COLD_REQUESTS_PER_S };
        world.configure(common::catalog_warming(1, Some(warm_up)));
        for n in 1..=SERVERS {
            let answer = Behaviour::Answer(200, "made".into());
            world.backends.start(address(n), &format!("s{n}"), answer);
            let listing = format!("s {} dc1 v1 ready {} 1", address(n), time.as_millis());
            world.store.put(&format!("server/s{n}"), &listing);
        }
        let entries = net.start_many(&world, entries, COLD_SETTINGS);
        sleep(Duration::from_secs(5)).await;
        let before = send_requests(&world, &entries, "even", 0.0, Duration::ZERO).await;
        let during =
            send_requests(&world, &entries, "skewed", CONCENTRATION, ADAPTATION_TIME).await;
        let most = max_per_second(&world);
        assert!(most <= MAX_PER_SECOND, "{most} requests at a cold server in one second");
        *recorded.borrow_mut() = (before, during);
    });
    result.take()
}

#[test]
fn concentrated_callers_are_served_while_all_servers_are_cold() {
    for entries in [5, 24] {
        let (before, during) = served_with_cold_servers(entries);
        println!("{entries} entries: {before:.3} before, {during:.3} while concentrated");
        assert!(
            before > 0.0 && during >= MIN_SERVED * before,
            "at {entries} entries: {before:.3} before, {during:.3} while concentrated"
        );
    }
}
