//! Bounds over all entries, summed over entries with complete, partial or no knowledge of one
//! another.

use std::time::Duration;

use pondwalk_decide::direct::{BoundSharing, WindowBudget, WindowLimits};

/// Sends beyond the ratio that all entries together may make in a window.
const EXTRA: f64 = 104.0;
const WINDOW: Duration = Duration::from_secs(10);
/// Numbers of entries, from today's smallest deployment to more than twice the planned one.
const SIZES: [usize; 5] = [1, 4, 357, 714, 1_000];

fn name(n: usize) -> String {
    format!("edge-hall-{n}")
}

fn bound_sharing(own: usize, listed: std::ops::Range<usize>) -> BoundSharing {
    let names: Vec<String> = listed.map(name).collect();
    let mut bound_sharing = BoundSharing::new(&name(own));
    bound_sharing.set_entries(names.iter().map(String::as_str));
    bound_sharing
}

/// Further sends that one entry takes in a window in which everything fails.
fn taken(bound_sharing: &BoundSharing, requests: u32) -> f64 {
    let (extra, rounding) = (EXTRA * bound_sharing.fraction(), bound_sharing.rounding());
    let limits = WindowLimits { ratio: 0.9, extra, window: WINDOW, rounding };
    let mut budget = WindowBudget::new(limits);
    let now = Duration::from_secs(100);
    (0..requests).for_each(|_| budget.record_request(now));
    let sends = std::iter::repeat_with(|| budget.try_take(now, 0.0)).take_while(|taken| *taken);
    sends.count() as f64
}

/// Sends of all entries beyond the ratio of their requests, each with its own view of the others.
fn sends_beyond_ratio(size: usize, requests: u32, view: impl Fn(usize) -> BoundSharing) -> f64 {
    let all: f64 = (0..size).map(|own| taken(&view(own), requests)).sum();
    all - 0.9 * f64::from(requests) * size as f64
}

#[test]
fn further_sends_of_all_entries_stay_within_the_bound() {
    for size in SIZES {
        for requests in [0, 1, 23, 500] {
            let further_sends =
                sends_beyond_ratio(size, requests, |own| bound_sharing(own, 0..size));
            assert!(
                further_sends <= EXTRA,
                "{size} entries with {requests} requests each: {further_sends} beyond"
            );
        }
    }
}

#[test]
fn two_partitions_stay_within_the_bound() {
    for size in SIZES.into_iter().filter(|size| *size > 1) {
        let half = size / 2;
        let view = |own: usize| bound_sharing(own, if own < half { 0..half } else { half..size });
        let further_sends = sends_beyond_ratio(size, 0, view);
        assert!(further_sends <= EXTRA, "{size} entries in halves: {further_sends} beyond");
    }
}

#[test]
fn unlisted_entries_have_no_share() {
    for size in SIZES {
        let further_sends = sends_beyond_ratio(2 * size, 0, |own| bound_sharing(own, 0..size));
        assert!(
            further_sends <= EXTRA,
            "{size} entries listed of {}: {further_sends} beyond",
            2 * size
        );
        assert_eq!(taken(&BoundSharing::new("new"), 0), 0.0);
    }
}

#[test]
fn rounding_does_not_lose_small_budgets() {
    // NB: with 3 requests each, 0.85 of 2.7 further sends is 2.3, and the extra adds a little each.
    for size in SIZES.into_iter().filter(|size| *size > 1) {
        let all: f64 = (0..size).map(|own| taken(&bound_sharing(own, 0..size), 3)).sum();
        let expected = 0.85 * (0.9 * 3.0 * size as f64 + EXTRA / 2.0);
        assert!(all >= expected - 1.0, "{size} entries take {all} of {expected}");
        assert!(all <= 0.9 * 3.0 * size as f64 + EXTRA, "{size} entries take {all}");
    }
}

#[test]
fn a_sole_entry_has_the_whole_bound() {
    assert_eq!(BoundSharing::sole("e1").fraction(), 1.0);
}

#[test]
fn budgets_cover_retries_while_a_fifth_of_the_servers_fail() {
    // NB: 2.3 requests a second at each of 357 entries, a fifth of which need one further send.
    for size in SIZES {
        assert!(taken(&bound_sharing(0, 0..size), 23) >= 23.0 / 5.0, "{size} entries");
    }
}
