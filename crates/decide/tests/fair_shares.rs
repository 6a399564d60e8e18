//! Shares of workspaces in an overloaded service, at 27 entries that exchange sums of demands.
//!
//! In the failure that is guarded against, one workspace sent 12 to 25 times its usual traffic for
//! some seconds, and the requests of all others were late or refused with it.

use std::{collections::HashMap, time::Duration};

use pondwalk_decide::direct::{Admission, FairShares, capacity_ms_per_s};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENTRIES: usize = 27;
const WORKSPACES: u64 = 20;
/// Workspace whose traffic rises.
const HOT: u64 = 7;
/// Server time of one request, in milliseconds.
const REQUEST_MS: f64 = 10.0;
const STEP: Duration = Duration::from_millis(10);
/// Steps between two exchanges.
const EXCHANGE_STEPS: u32 = 10;
/// Usual requests per second of each workspace; together .7 of the service's server time.
const USUAL_PER_S: f64 = 350.0;
/// Time after a change within which the level follows: three time constants.
const SETTLING: Duration = Duration::from_secs(3);

/// Requests of one workspace at one entry.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    offered: u32,
    admitted: u32,
}

impl Count {
    fn fraction(self) -> f64 {
        f64::from(self.admitted) / f64::from(self.offered.max(1))
    }
}

type Counts = HashMap<(usize, u64), Count>;

struct Load {
    entries: Vec<(FairShares, Admission)>,
    rng: Pcg64Mcg,
    now: Duration,
    steps: u32,
    /// Whether entries get each other's demands.
    is_connected: bool,
    /// Number of servers of an engine.
    servers: u32,
}

impl Load {
    fn new(seed: u64) -> Self {
        let entries = (0..ENTRIES).map(|_| Default::default()).collect();
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let now = Duration::from_secs(100);
        Load { entries, rng, now, steps: 0, is_connected: true, servers: 100 }
    }

    fn exchange(&mut self) {
        let now = self.now;
        let of_entry = |(shares, _): &mut (FairShares, _)| shares.own_demands(now).collect();
        let own: Vec<HashMap<u64, f64>> = self.entries.iter_mut().map(of_entry).collect();
        let mut sums: HashMap<u64, f64> = HashMap::new();
        for (workspace, demand) in own.iter().flatten() {
            *sums.entry(*workspace).or_default() += demand;
        }
        for ((shares, _), own) in self.entries.iter_mut().zip(&own) {
            let others = |(key, sum): (&u64, &f64)| (*key, sum - own.get(key).unwrap_or(&0.0));
            shares.set_peers(self.is_connected.then(|| sums.iter().map(others)));
        }
    }

    /// Plays the load for some time; `per_s` is a workspace's requests per second, and `at` maps a
    /// workspace and a random entry to the entry that it reaches.
    fn play(
        &mut self,
        time: Duration,
        per_s: impl Fn(u64) -> f64,
        at: impl Fn(u64, usize) -> usize,
    ) -> Counts {
        let mut counts = Counts::new();
        let end = self.now + time;
        while self.now < end {
            if self.steps.is_multiple_of(EXCHANGE_STEPS) {
                self.exchange();
            }
            self.steps += 1;
            self.now += STEP;
            for workspace in 0..WORKSPACES {
                let expected = per_s(workspace) * STEP.as_secs_f64();
                let further = self.rng.random_bool(expected.fract());
                for _ in 0..expected as u32 + u32::from(further) {
                    let entry = at(workspace, self.rng.random_range(0..ENTRIES));
                    let draw = self.rng.random_range(0.0..1.0);
                    let (shares, admission) = &mut self.entries[entry];
                    shares.set_capacity(capacity_ms_per_s(self.servers));
                    shares.record(workspace, REQUEST_MS, self.now);
                    let is_admitted =
                        shares.admits(workspace, draw, self.now) || admission.takes_floor(0);
                    let count = counts.entry((entry, workspace)).or_default();
                    count.offered += 1;
                    count.admitted += u32::from(is_admitted);
                }
            }
        }
        counts
    }
}

fn usual(_: u64) -> f64 {
    USUAL_PER_S
}

fn hot(times: f64) -> impl Fn(u64) -> f64 {
    move |workspace| if workspace == HOT { USUAL_PER_S * times } else { USUAL_PER_S }
}

fn anywhere(_: u64, entry: usize) -> usize {
    entry
}

/// Sum over the counts that `filter` selects by entry and workspace.
fn sum(counts: &Counts, filter: impl Fn(usize, u64) -> bool) -> Count {
    let selected = counts.iter().filter(|((entry, workspace), _)| filter(*entry, *workspace));
    selected.fold(Count::default(), |sum, (_, count)| Count {
        offered: sum.offered + count.offered,
        admitted: sum.admitted + count.admitted,
    })
}

/// Server time of the admitted requests in milliseconds per second.
fn used(counts: &Counts, time: Duration) -> f64 {
    f64::from(sum(counts, |_, _| true).admitted) * REQUEST_MS / time.as_secs_f64()
}

#[test]
fn calm_service_refuses_nothing() {
    let mut load = Load::new(1);
    let counts = load.play(Duration::from_secs(10), usual, anywhere);
    assert!(counts.values().all(|count| count.admitted == count.offered));
}

/// One workspace at 12 and 25 times its usual traffic for 7 s costs the others next to nothing, and
/// gets what they leave.
#[test]
fn hot_workspace_gets_what_the_others_leave() {
    for times in [12.0, 25.0] {
        let mut load = Load::new(2);
        load.play(Duration::from_secs(5), usual, anywhere);
        let start = load.play(SETTLING, hot(times), anywhere);
        let settled_time = Duration::from_secs(4);
        let settled = load.play(settled_time, hot(times), anywhere);
        for counts in [&start, &settled] {
            let worst = (0..WORKSPACES).filter(|workspace| *workspace != HOT);
            let worst = worst.map(|one| sum(counts, |_, workspace| workspace == one).fraction());
            assert!(worst.fold(1.0, f64::min) >= 0.95);
        }
        let capacity = capacity_ms_per_s(load.servers);
        let used = used(&settled, settled_time) / capacity;
        assert!((0.93..=1.07).contains(&used), "{times} times: {used} of the capacity");
        let after = load.play(Duration::from_secs(10), usual, anywhere);
        let late = load.play(Duration::from_secs(5), usual, anywhere);
        assert!(sum(&after, |_, workspace| workspace != HOT).fraction() >= 0.95);
        assert!(sum(&late, |_, _| true).fraction() >= 1.0, "no effect after the burst");
    }
}

/// A workspace must not get more by sending to many entries, or less by sending to one.
#[test]
fn share_does_not_depend_on_the_entry() {
    let time = Duration::from_secs(7);
    let mut spread = Load::new(3);
    spread.play(SETTLING, hot(25.0), anywhere);
    let everywhere = spread.play(time, hot(25.0), anywhere);
    let fraction = sum(&everywhere, |_, workspace| workspace == HOT).fraction();
    for entry in 0..ENTRIES {
        let here = sum(&everywhere, |at, workspace| at == entry && workspace == HOT).fraction();
        assert!((here - fraction).abs() < 0.2 * fraction, "entry {entry}: {here} of {fraction}");
    }
    let at_one = |workspace, entry| if workspace == HOT { 0 } else { entry };
    let mut single = Load::new(3);
    single.play(SETTLING, hot(25.0), at_one);
    let counts = single.play(time, hot(25.0), at_one);
    let here = sum(&counts, |_, workspace| workspace == HOT).fraction();
    assert!((here - fraction).abs() < 0.1 * fraction, "{here} at one entry, {fraction} at all");
}

/// A fivefold load of all workspaces: all get the same share, and the service stays full.
#[test]
fn sudden_load_is_shared_equally() {
    let mut load = Load::new(4);
    load.play(Duration::from_secs(3), usual, anywhere);
    load.play(SETTLING, |_| 5.0 * USUAL_PER_S, anywhere);
    let time = Duration::from_secs(4);
    let counts = load.play(time, |_| 5.0 * USUAL_PER_S, anywhere);
    let expected = 0.9 * 100.0 / (5.0 * 70.0);
    for one in 0..WORKSPACES {
        let fraction = sum(&counts, |_, workspace| workspace == one).fraction();
        assert!((fraction - expected).abs() < 0.15 * expected, "{fraction} of {expected}");
    }
    let used = used(&counts, time) / capacity_ms_per_s(load.servers);
    assert!((0.93..=1.07).contains(&used), "{used} of the capacity");
}

/// Half of the servers lost, and returned after 5 s.
#[test]
fn lost_servers_lower_the_level_until_they_return() {
    let mut load = Load::new(5);
    load.play(SETTLING, |_| 1.2 * USUAL_PER_S, anywhere);
    load.servers = 50;
    let time = Duration::from_secs(5);
    let counts = load.play(time, |_| 1.2 * USUAL_PER_S, anywhere);
    let used = used(&counts, time) / capacity_ms_per_s(50);
    assert!((0.93..=1.07).contains(&used), "{used} of the capacity");
    load.servers = 100;
    let counts = load.play(time, |_| 1.2 * USUAL_PER_S, anywhere);
    assert!(counts.values().all(|count| count.admitted == count.offered));
}

/// Entries that do not know each other's demands must not refuse anything.
#[test]
fn nothing_is_refused_without_the_demands_of_others() {
    let mut load = Load::new(6);
    load.is_connected = false;
    let counts = load.play(Duration::from_secs(5), hot(25.0), anywhere);
    assert!(counts.values().all(|count| count.admitted == count.offered));
    // All restart together: the demands of the time before are not known any more.
    let mut load = Load::new(6);
    load.play(SETTLING, usual, anywhere);
    load.entries.iter_mut().for_each(|entry| *entry = Default::default());
    let counts = load.play(Duration::from_millis(100), hot(25.0), anywhere);
    assert!(counts.values().all(|count| count.admitted == count.offered));
}

/// Refused callers that return at once raise only their own demand.
#[test]
fn repeated_requests_do_not_displace_others() {
    let mut load = Load::new(7);
    load.play(SETTLING, hot(100.0), anywhere);
    let time = Duration::from_secs(4);
    let counts = load.play(time, hot(100.0), anywhere);
    assert!(sum(&counts, |_, workspace| workspace != HOT).fraction() >= 0.95);
    assert!(sum(&counts, |_, workspace| workspace == HOT).fraction() >= 0.09, "floor");
}

/// Guards against workspaces that get nothing: the minimum of one in ten requests of each priority
/// must reach all of them.
#[test]
fn no_workspace_is_starved() {
    let mut load = Load::new(8);
    load.servers = 1;
    load.play(SETTLING, hot(25.0), anywhere);
    let counts = load.play(Duration::from_secs(10), hot(25.0), anywhere);
    for one in 0..WORKSPACES {
        let fraction = sum(&counts, |_, workspace| workspace == one).fraction();
        assert!(fraction >= 0.07, "workspace {one}: {fraction}");
    }
}

/// Workspaces that ask for nothing any more must not be remembered for ever.
#[test]
fn workspaces_without_demand_are_forgotten() {
    let mut shares = FairShares::default();
    let start = Duration::from_secs(1);
    (0..10_000).for_each(|workspace| shares.record(workspace, 10.0, start));
    assert_eq!(shares.own_demands(start).count(), 10_000);
    assert_eq!(shares.own_demands(start + Duration::from_secs(10)).count(), 0);
}

#[test]
fn invalid_input_has_no_effect() {
    let now = Duration::from_secs(1);
    let mut shares = FairShares::default();
    for offered in [f64::NAN, f64::INFINITY, -5.0, 0.0] {
        shares.record(1, offered, now);
        shares.record_answer(if offered == 0.0 { f64::NAN } else { offered.min(-1.0) });
    }
    assert_eq!(shares.own_demands(now).count(), 0);
    assert_eq!(shares.plain_request_ms(), FairShares::default().plain_request_ms());
    shares.set_peers(Some([(2, f64::NAN), (3, -1.0), (4, f64::INFINITY)].into_iter()));
    shares.record(1, 1e6, now);
    for capacity in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        shares.set_capacity(capacity);
        assert!(shares.admits(1, 0.99, now), "a capacity of {capacity} is not known");
    }
    shares.set_capacity(900.0);
    assert_eq!(shares.level(now), Some(900.0), "only the valid demand counts");
    assert!(shares.admits(1, f64::NAN, now), "an invalid draw admits");
    // A clock that goes back neither raises a demand nor fails.
    let demand = shares.demand(1, now);
    assert_eq!(shares.demand(1, Duration::ZERO), demand);
}
