//! The bound on further sends over all entries while callers move among groups of entries that have
//! no contact to each other.

use std::time::Duration;

use pondwalk_decide::direct::{BoundSharing, WindowBudget, WindowLimits};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

const RATIO: f64 = 0.9;
const EXTRA: f64 = 94.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Resolution of a run; windows may begin at any step.
const STEP: Duration = Duration::from_millis(25);
const WINDOW_STEPS: usize = 400;
const RUN_STEPS: usize = 5 * WINDOW_STEPS;

/// Shape of a run.
#[derive(Debug, Clone, Copy)]
struct Layout {
    entries: usize,
    /// Groups of entries; all callers are at one of them at a time.
    groups: usize,
    requests_per_s: f64,
    /// Time between the taking of a send and the send, in every second group.
    delay: Duration,
}

/// A send that has been taken from the budget of an entry.
struct TakenSend {
    entry: usize,
    taken_at: Duration,
    made_in_step: usize,
}

/// When the entries of a group take all the sends that they may.
#[derive(Debug, Clone, Copy)]
enum Sending {
    /// At all times.
    Always,
    /// From the time at which its callers leave, until they return.
    AfterCallersLeft,
    /// From some time on.
    From(usize),
}

fn budgets(entries: usize) -> Vec<WindowBudget> {
    let names: Vec<String> = (0..entries).map(|entry| format!("entry-{entry}")).collect();
    let budget = |own: &String| {
        let mut sharing = BoundSharing::new(own);
        sharing.set_entries(names.iter().map(String::as_str));
        let (extra, rounding) = (EXTRA * sharing.fraction(), sharing.rounding());
        WindowBudget::new(WindowLimits { ratio: RATIO, extra, window: WINDOW, rounding })
    };
    names.iter().map(budget).collect()
}

/// Group at which the callers are in each step: they move at random times.
fn callers_by_step(groups: usize, rng: &mut Pcg64Mcg) -> Vec<usize> {
    let mut places = Vec::with_capacity(RUN_STEPS);
    let mut place = 0;
    while places.len() < RUN_STEPS {
        let steps = rng.random_range(WINDOW_STEPS / 10..WINDOW_STEPS * 6 / 5);
        places.extend(std::iter::repeat_n(place, steps));
        place = (place + rng.random_range(1..groups.max(2))) % groups;
    }
    places.truncate(RUN_STEPS);
    places
}

fn sum(counts: &[f64], begin: usize, steps: usize) -> f64 {
    counts[begin.min(counts.len())..(begin + steps).min(counts.len())].iter().sum()
}

/// Largest ratio of the further sends in a window to its bound, over all windows of a run.
fn peak_use(layout: Layout, seed: u64) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut budgets = budgets(layout.entries);
    let phases: Vec<Duration> = (0..layout.entries)
        .map(|_| WINDOW * 3 + Duration::from_micros(rng.random_range(0..100_000)))
        .collect();
    let callers = callers_by_step(layout.groups, &mut rng);
    let sending: Vec<Sending> = (0..layout.groups)
        .map(|_| {
            let from = rng.random_range(0..RUN_STEPS);
            let ways = [Sending::Always, Sending::AfterCallersLeft, Sending::From(from)];
            *ways.choose(&mut rng).expect("not empty")
        })
        .collect();
    let delay_steps = (layout.delay.as_millis() / STEP.as_millis()) as usize;
    let mut waiting: Vec<TakenSend> = Vec::new();
    let (mut requests, mut sends) = (vec![0.0; RUN_STEPS], vec![0.0; RUN_STEPS]);
    for step in 0..RUN_STEPS {
        let here = callers[step];
        let members = || (here..layout.entries).step_by(layout.groups);
        let per_entry =
            layout.requests_per_s * STEP.as_secs_f64() / members().count().max(1) as f64;
        let time = |entry: usize| STEP * step as u32 + phases[entry];
        for entry in members() {
            let count = per_entry as u32 + u32::from(rng.random_bool(per_entry.fract()));
            (0..count).for_each(|_| budgets[entry].record_request(time(entry)));
            requests[step] += f64::from(count);
        }
        for (entry, budget) in budgets.iter_mut().enumerate() {
            let group = entry % layout.groups;
            let sends_now = match sending[group] {
                Sending::Always => true,
                Sending::AfterCallersLeft => group != here && callers[..step].contains(&group),
                Sending::From(from) => step >= from,
            };
            while sends_now && budget.try_take(time(entry), 0.0) {
                let made_in_step = step + if group.is_multiple_of(2) { delay_steps } else { 0 };
                waiting.push(TakenSend { entry, taken_at: time(entry), made_in_step });
            }
        }
        for send in waiting.extract_if(.., |send| send.made_in_step == step) {
            let (budget, now) = (&mut budgets[send.entry], time(send.entry));
            let is_made = budget.covers(send.taken_at, now) || {
                budget.put_back(send.taken_at);
                budget.try_take(now, 0.0)
            };
            sends[step] += f64::from(u8::from(is_made));
        }
    }
    let peak = (2 * WINDOW_STEPS..RUN_STEPS - WINDOW_STEPS).map(|begin| {
        let earlier = |steps: usize| sum(&requests, begin - steps, WINDOW_STEPS);
        let most = earlier(0).max(earlier(WINDOW_STEPS / 2)).max(earlier(WINDOW_STEPS));
        sum(&sends, begin, WINDOW_STEPS) / (RATIO * most + EXTRA)
    });
    peak.fold(0.0, f64::max)
}

/// Checks every window of runs with these layouts and seeds.
fn check(layouts: &[(usize, usize, f64)], delay: Duration, seeds: u64) {
    let mut broken = Vec::new();
    let mut worst: f64 = 0.0;
    for (entries, groups, requests_per_s) in layouts.iter().copied() {
        let layout = Layout { entries, groups, requests_per_s, delay };
        for seed in 0..seeds {
            let peak = peak_use(layout, seed);
            worst = worst.max(peak);
            if peak > 1.0 {
                broken.push((layout, seed, peak));
            }
        }
    }
    println!("at most {worst:.3} of the bound");
    assert!(broken.is_empty(), "{} runs exceed the bound: {broken:?}", broken.len());
}

// Each of these guards against entries that save up sends and take them once their callers have
// moved to other entries, which count the same requests again.

#[test]
fn further_sends_of_few_entries_stay_within_the_bound_while_callers_move_among_groups() {
    check(&[(2, 2, 25.0), (4, 2, 60.0), (4, 4, 300.0)], Duration::ZERO, 12);
}

#[test]
fn further_sends_of_27_entries_stay_within_the_bound_while_callers_move_among_groups() {
    check(&[(27, 2, 60.0), (27, 3, 300.0), (27, 9, 200.0)], Duration::ZERO, 4);
}

#[test]
fn further_sends_of_hundreds_of_entries_stay_within_the_bound_while_callers_move_among_groups() {
    check(&[(105, 3, 300.0), (357, 2, 900.0), (1_000, 3, 3_000.0)], Duration::ZERO, 1);
}

/// Guards against sends that wait for a server until windows in which they were not counted.
#[test]
fn sends_made_long_after_they_were_taken_stay_within_the_bound() {
    check(&[(4, 2, 60.0), (4, 4, 300.0), (27, 3, 200.0)], Duration::from_secs(2), 6);
}

/// Further sends of all entries in a window in which they are listed one after the other and
/// everything fails. `lives` is how often each entry starts; a new process remembers nothing.
fn sends_while_listed(entries: usize, listed_over: Duration, lives: usize) -> f64 {
    let names: Vec<String> = (0..entries).map(|entry| format!("entry-{entry}")).collect();
    let unlisted = WindowLimits { ratio: RATIO, extra: 0.0, window: WINDOW, rounding: 0.0 };
    let mut further_sends = 0.0;
    for life in 0..lives {
        let start = WINDOW * 3 + listed_over * life as u32;
        let mut budgets = vec![WindowBudget::new(unlisted); entries];
        // One by one at first, then a twentieth more at a time.
        let grown = |listed: &usize| Some(listed + (listed / 20).max(1));
        let lists = std::iter::successors(Some(1), grown).take_while(|listed| *listed < entries);
        for listed in lists.chain([entries]) {
            let now = start + listed_over * listed as u32 / entries as u32;
            let known = if life == 0 { listed } else { entries };
            for (budget, own) in budgets.iter_mut().zip(&names[..known]) {
                let mut sharing = BoundSharing::new(own);
                sharing.set_entries(names[..known].iter().map(String::as_str));
                budget.set_share(EXTRA * sharing.fraction(), sharing.rounding(), now);
                while budget.try_take(now, 0.0) {
                    further_sends += 1.0;
                }
            }
        }
    }
    further_sends
}

/// Guards against shares by the list before and by the list after in one window.
#[test]
fn shares_of_a_list_that_grows_within_a_window_stay_within_the_bound() {
    for entries in [4, 27, 357, 1_000] {
        let further_sends = sends_while_listed(entries, WINDOW * 9 / 10, 1);
        assert!(further_sends <= EXTRA, "{entries} entries: {further_sends} of {EXTRA}");
    }
}

/// Guards against entries that use their share again after a restart.
#[test]
fn restarts_within_a_window_stay_within_the_bound() {
    for entries in [1, 4, 27] {
        let further_sends = sends_while_listed(entries, WINDOW / 4, 4);
        assert!(further_sends <= EXTRA, "{entries} entries: {further_sends} of {EXTRA}");
    }
}

#[test]
fn an_eighth_of_the_share_is_usable_at_once_and_all_of_it_after_a_window() {
    let mut budget = budgets(4).swap_remove(0);
    let extra = EXTRA / 8.0;
    budget.set_share(0.0, 0.0, WINDOW);
    budget.set_share(extra, 0.0, WINDOW * 3);
    let mut taken = |now| (0..50).filter(|_| budget.try_take(now, 0.0)).count();
    assert_eq!(taken(WINDOW * 7 / 2), (extra / 8.0) as usize);
    assert_eq!(taken(WINDOW * 9 / 2), extra as usize - (extra / 8.0) as usize);
}
