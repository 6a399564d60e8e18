//! Placement with the other entries' work: the spread of a burst over the servers, servers of
//! different speed, and the behaviour without that work.

mod common;

use common::{fleet, ms, parts, request, server};
use pondwalk_decide::direct::{
    Fleet, LoadSummary, Places, PromptPart, ServerInfo, ServerWork, ServiceWork, Ticket, name_key,
    server_key,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 27;
const SERVERS: usize = 48;
const RUN_MS: u64 = 6_000;
const LATE_MS: u64 = 1_000;

struct Running {
    entry: usize,
    ticket: Ticket,
    server: usize,
    sent_ms: u64,
    starts_ms: u64,
    ends_ms: u64,
    is_started: bool,
}

#[derive(Debug)]
struct Outcome {
    /// Work at the busiest server over the mean.
    busiest: f64,
    p99_ms: u64,
    late: usize,
    /// Work by server, in milliseconds at normal speed.
    work: Vec<f64>,
}

fn fleets() -> Vec<Fleet> {
    let new = |_| {
        let mut fleet = fleet(SERVERS);
        fleet.set_load_key(name_key("s"));
        fleet
    };
    (0..ENTRIES).map(new).collect()
}

fn exchange(fleets: &mut [Fleet], at: u64) {
    let own = |fleet: &Fleet| {
        let mut summary = LoadSummary::default();
        fleet.collect_load(ms(at), &mut summary);
        summary
    };
    let summaries: Vec<LoadSummary> = fleets.iter().map(own).collect();
    for (entry, fleet) in fleets.iter_mut().enumerate() {
        let mut peers = LoadSummary::default();
        let others = summaries.iter().enumerate().filter(|(other, _)| *other != entry);
        others.for_each(|(_, summary)| peers.add(summary));
        fleet.apply_peer_load(Some(&peers), ms(at));
    }
}

/// All entries place requests at `load` times the capacity of the servers, which take
/// `slowness(server)` times the normal time. The entries exchange their work every `view_ms`.
fn run(load: f64, view_ms: Option<u64>, slowness: impl Fn(usize) -> f64) -> Outcome {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut fleets = fleets();
    let mut free_ms = [0.0f64; SERVERS];
    let mut work = vec![0.0; SERVERS];
    let mut running: Vec<Running> = Vec::new();
    let mut waits = Vec::new();
    let capacity: f64 = (0..SERVERS).map(|server| 1.0 / slowness(server)).sum();
    let mut due_ms = 0.0;
    for at in 0..RUN_MS {
        for one in &mut running {
            if one.starts_ms <= at && !one.is_started {
                let elapsed_ms = (at - one.sent_ms) as f64;
                fleets[one.entry].on_answer_started(&mut one.ticket, elapsed_ms, ms(at));
                one.is_started = true;
            }
            if one.is_started && (at - one.starts_ms) % 500 == 499 {
                let token_ms = 12.0 * slowness(one.server);
                fleets[one.entry].record_pace(&one.ticket, token_ms, ms(at));
            }
            if one.ends_ms <= at {
                fleets[one.entry].on_finished(&one.ticket);
            }
        }
        running.retain(|one| one.ends_ms > at);
        due_ms += load * capacity;
        while due_ms > 0.0 {
            if view_ms.is_some_and(|view_ms| view_ms == 0) {
                exchange(&mut fleets, at);
            }
            let parts = [PromptPart { id: rng.random(), tokens: rng.random_range(400..4_000) }];
            let prefill_ms = f64::from(parts[0].tokens) * 0.05;
            let entry = rng.random_range(0..ENTRIES);
            let placed = fleets[entry].place(&request(&parts), ms(at), &mut rng);
            let ticket = placed.expect("a server");
            let server = ticket.index;
            free_ms[server] = free_ms[server].max(at as f64) + prefill_ms * slowness(server);
            work[server] += prefill_ms;
            due_ms -= prefill_ms;
            let starts_ms = free_ms[server] as u64 + 20;
            waits.push(starts_ms - at);
            let ends_ms = starts_ms + 2_000;
            let is_started = false;
            running.push(Running {
                entry,
                ticket,
                server,
                sent_ms: at,
                starts_ms,
                ends_ms,
                is_started,
            });
        }
        if view_ms.is_some_and(|view_ms| view_ms > 0 && at % view_ms == 0) {
            exchange(&mut fleets, at);
        }
    }
    waits.sort_unstable();
    let mean = work.iter().sum::<f64>() / SERVERS as f64;
    Outcome {
        busiest: work.iter().copied().fold(0.0, f64::max) / mean,
        p99_ms: waits[waits.len() * 99 / 100],
        late: waits.iter().filter(|wait| **wait > LATE_MS).count(),
        work,
    }
}

/// Guards against entries that overload some servers while others idle, whether each sees only its
/// own requests or all read the same view. The load is a long burst on servers that are alike.
#[test]
fn burst_is_spread_better_with_a_view_than_without() {
    let none = run(0.85, None, |_| 1.0);
    for view_ms in [0, 200] {
        let view = run(0.85, Some(view_ms), |_| 1.0);
        assert!(view.busiest < none.busiest, "{view_ms}: {view:?} {none:?}");
        assert!(view.p99_ms * 100 < none.p99_ms * 85, "{view_ms}: {view:?} {none:?}");
        assert!(view.late * 2 < none.late, "{view_ms}: {view:?} {none:?}");
    }
    // A view that is a second old costs little: over seeds 11 to 14 its p99 was 1,064 to 1,177 ms,
    // and 958 to 1,041 ms without a view.
    let old = run(0.85, Some(1_000), |_| 1.0);
    assert!(old.p99_ms * 4 < none.p99_ms * 5, "{old:?} {none:?}");
}

/// Guards against slow servers that get as much work as quick ones, and against slow servers that
/// get none. The load is that of servers whose speeds differ by a factor of 2.7.
#[test]
fn servers_get_work_in_proportion_to_their_speed() {
    let slowness = |server: usize| [0.6, 1.0, 1.6][server % 3];
    for load in [0.5, 0.85] {
        let none = run(load, None, slowness);
        let view = run(load, Some(100), slowness);
        let of = |kind: usize| view.work.iter().skip(kind).step_by(3).sum::<f64>();
        let (quick, slow) = (of(0) / of(1), of(2) / of(1));
        assert!((1.3..1.9).contains(&quick), "{load}: {quick}");
        assert!((0.5..0.75).contains(&slow), "{load}: {slow}");
        assert!(view.p99_ms * 4 < none.p99_ms * 3, "{load}: {view:?} {none:?}");
    }
}

/// Servers chosen for a seeded sequence of requests, and the next random number.
fn choices(fleet: &mut Fleet) -> (u64, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut hash = 0u64;
    let mut open = Vec::new();
    for number in 0..2_000u64 {
        let parts = parts(&[(number * 37 % 900) as u32, (number * 91 % 3_000) as u32]);
        let at = ms(number * 7);
        let ticket = fleet.place(&request(&parts), at, &mut rng).expect("a server");
        hash = hash.wrapping_mul(31).wrapping_add(ticket.index as u64);
        open.push(ticket);
        if number % 3 == 0 {
            let mut ticket = open.remove((number as usize * 13) % open.len());
            fleet.on_answer_started(&mut ticket, (number % 300) as f64, at);
            fleet.on_finished(&ticket);
        }
    }
    (hash, rng.random())
}

/// Guards against a change of seeded runs where the exchange is off. The expected values are those
/// of commit 0a1e56c, which had no view.
#[test]
fn without_a_view_choices_and_draws_are_as_before() {
    let before = (14_133_523_725_339_567_665, 8_109_651_271_164_737_362);
    assert_eq!(choices(&mut fleet(9)), before);
    // A view that was withdrawn leaves nothing behind.
    let mut fleet = fleet(9);
    let work = ServerWork { queued_ms: 5_000.0, pace_log_sum: 8.0, pace_samples: 8.0, ..BUSY };
    fleet.apply_peer_load(Some(&work_at(&server("s0", "v1"), work)), ms(0));
    assert!(fleet.utilization(ms(0)).is_some());
    fleet.apply_peer_load(None, ms(0));
    assert_eq!(choices(&mut fleet), before);
    assert_eq!((fleet.utilization(ms(0)), fleet.places(ms(0))), (None, None));
}

const BUSY: ServerWork =
    ServerWork { queued_ms: 400.0, waiting: 2, running: 3, pace_log_sum: 0.0, pace_samples: 0.0 };

fn work_at(info: &ServerInfo, work: ServerWork) -> LoadSummary {
    LoadSummary { servers: [(server_key(info), work)].into(), ..LoadSummary::default() }
}

/// Guards against work and pace of a server that are attributed to its next incarnation.
#[test]
fn restarted_server_has_no_work_and_no_pace() {
    let info = |born_ms| ServerInfo { born_ms: Some(born_ms), ..server("s0", "v1") };
    let mut fleet = Fleet::new("dc1");
    fleet.apply_server(info(1));
    let idle = fleet.forecast(&request(&[]), ms(0)).expect("a server");
    let peers = work_at(&info(1), BUSY);
    fleet.apply_peer_load(Some(&peers), ms(0));
    assert_eq!(fleet.places(ms(0)), Some(Places { taken: 5, total: 8 }));
    let busy = fleet.forecast(&request(&[]), ms(0)).expect("a server");
    assert_eq!(busy.first_byte_ms, idle.first_byte_ms + 400.0);
    // What was queued is worked off.
    let later = fleet.forecast(&request(&[]), ms(500)).expect("a server");
    assert_eq!(later.first_byte_ms, idle.first_byte_ms);
    fleet.apply_server(info(2));
    for _ in 0..2 {
        assert_eq!(fleet.forecast(&request(&[]), ms(0)), Some(idle));
        assert_eq!(fleet.places(ms(0)), Some(Places { taken: 0, total: 8 }));
        // The others have not seen the restart yet.
        fleet.apply_peer_load(Some(&peers), ms(0));
    }
}

/// Guards against a utilization that omits the other entries or counts slow servers fully.
#[test]
fn utilization_counts_the_prefill_of_all_entries() {
    let mut fleet = fleet(2);
    fleet.set_load_key(name_key("s"));
    let service = ServiceWork { prefill_ms_per_s: 900.0, ..ServiceWork::default() };
    let mut peers =
        LoadSummary { services: [(name_key("s"), service)].into(), ..LoadSummary::default() };
    fleet.apply_peer_load(Some(&peers), ms(0));
    assert_eq!(fleet.utilization(ms(0)), Some(0.45));
    let parts = parts(&[2_000]);
    fleet.place(&request(&parts), ms(0), &mut Pcg64Mcg::seed_from_u64(1)).expect("a server");
    assert_eq!(fleet.utilization(ms(0)), Some(0.5));
    let slow = |log: f32| ServerWork { pace_log_sum: 100.0 * log, pace_samples: 100.0, ..BUSY };
    for (id, log) in [("s0", 0.7), ("s1", -0.7)] {
        peers.servers.insert(server_key(&server(id, "v1")), slow(log));
    }
    fleet.apply_peer_load(Some(&peers), ms(0));
    let weighed = fleet.utilization(ms(0)).expect("a view");
    assert!((0.38..0.45).contains(&weighed), "{weighed}");
}
