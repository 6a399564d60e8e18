//! Bounds over all entries, added up over entries that see one another as they are, partly, or not yet.

use std::time::Duration;

use pondwalk_decide::direct::{BoundSharing, WindowBudget, WindowLimits};

/// Sends beyond the share that all entries together may make in a window.
const EXTRA: f64 = 104.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Sizes of deployments, from today's smallest to twice the planned one and beyond.
const SIZES: [usize; 5] = [1, 4, 357, 714, 1_000];

fn name(n: usize) -> String {
    format!("edge-hall-{n}")
}

fn sharers(own: usize, listed: std::ops::Range<usize>) -> BoundSharing {
    let names: Vec<String> = listed.map(name).collect();
    let mut sharers = BoundSharing::new(&name(own));
    sharers.set_entries(names.iter().map(String::as_str));
    sharers
}

/// Sends beyond its share that one entry takes in a window in which everything fails.
fn taken(sharers: &BoundSharing, requests: u32) -> f64 {
    let (extra, rounding) = (EXTRA * sharers.fraction(), sharers.rounding());
    let limits = WindowLimits { ratio: 0.9, extra, window: WINDOW, rounding };
    let mut budget = WindowBudget::new(limits);
    let now = Duration::from_secs(100);
    (0..requests).for_each(|_| budget.record_request(now));
    let sends = std::iter::repeat_with(|| budget.try_take(now, 0.0)).take_while(|taken| *taken);
    sends.count() as f64
}

/// Sends of all entries beyond the ratio of their requests, each with its view of the others.
fn beyond_the_ratio(size: usize, requests: u32, view: impl Fn(usize) -> BoundSharing) -> f64 {
    let all: f64 = (0..size).map(|own| taken(&view(own), requests)).sum();
    all - 0.9 * f64::from(requests) * size as f64
}

#[test]
fn further_sends_of_all_entries_stay_within_the_bound() {
    for size in SIZES {
        for requests in [0, 1, 23, 500] {
            let seen = beyond_the_ratio(size, requests, |own| sharers(own, 0..size));
            assert!(seen <= EXTRA, "{size} entries with {requests} requests each: {seen} beyond");
        }
    }
}

#[test]
fn so_they_do_while_each_half_knows_only_itself() {
    for size in SIZES.into_iter().filter(|size| *size > 1) {
        let half = size / 2;
        let view = |own: usize| sharers(own, if own < half { 0..half } else { half..size });
        let seen = beyond_the_ratio(size, 0, view);
        assert!(seen <= EXTRA, "{size} entries in halves: {seen} beyond");
    }
}

#[test]
fn entries_that_have_just_started_and_are_not_listed_take_nothing_of_it() {
    for size in SIZES {
        let seen = beyond_the_ratio(2 * size, 0, |own| sharers(own, 0..size));
        assert!(seen <= EXTRA, "{size} entries listed of {}: {seen} beyond", 2 * size);
        assert_eq!(taken(&BoundSharing::new("new"), 0), 0.0);
    }
}

#[test]
fn what_entries_of_few_requests_may_send_is_not_lost_in_fractions() {
    // NB: with 3 requests each, 0.85 of 2.7 further sends and of the extra are 2.3 and a little each.
    for size in SIZES.into_iter().filter(|size| *size > 1) {
        let all: f64 = (0..size).map(|own| taken(&sharers(own, 0..size), 3)).sum();
        let planned = 0.85 * (0.9 * 3.0 * size as f64 + EXTRA / 2.0);
        assert!(all >= planned - 1.0, "{size} entries take {all} of {planned}");
        assert!(all <= 0.9 * 3.0 * size as f64 + EXTRA, "{size} entries take {all}");
    }
}

#[test]
fn an_entry_that_is_alone_for_good_has_it_whole() {
    assert_eq!(BoundSharing::sole("e1").fraction(), 1.0);
}

#[test]
fn callers_get_what_they_need_while_a_fifth_of_the_servers_fail() {
    // NB: 2.3 requests a second at each of 357 entries, a fifth of which need one more send.
    for size in SIZES {
        assert!(taken(&sharers(0, 0..size), 23) >= 23.0 / 5.0, "{size} entries");
    }
}
