//! What is counted of usage, how counts of many entries add up, and which time of day they are by.

use std::time::Duration;

use pondwalk_decide::direct::{
    ClockEstimate, UsageCounts, UsageMeter, UsagePublisher, UsageTotals,
};
use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

const START_MS: u64 = 1_790_000_000_000;

fn counts(of_one: u64) -> UsageCounts {
    UsageCounts::from([("w1".to_owned(), of_one), ("w2".to_owned(), 2 * of_one)])
}

fn teller(n: u64) -> UsagePublisher {
    (format!("e{n}"), n)
}

#[test]
fn counts_are_told_whole_and_again_only_when_they_change() {
    let mut meter = UsageMeter::default();
    meter.record_request(7, "w1");
    meter.record_request(7, "w1");
    meter.record_request(8, "w2");
    let told = meter.drain_unpublished();
    assert_eq!(told[0], (7, UsageCounts::from([("w1".to_owned(), 2)])));
    assert_eq!(told[1], (8, UsageCounts::from([("w2".to_owned(), 1)])));
    assert!(meter.drain_unpublished().is_empty());
    meter.record_request(7, "w2");
    let whole = UsageCounts::from([("w1".to_owned(), 2), ("w2".to_owned(), 1)]);
    assert_eq!(meter.drain_unpublished(), vec![(7, whole)]);
    meter.mark_all_unpublished();
    assert_eq!(meter.drain_unpublished().len(), 2);
    meter.remove_before(8);
    meter.mark_all_unpublished();
    assert_eq!(meter.drain_unpublished().len(), 1);
}

#[test]
fn totals_are_the_same_whatever_comes_late_or_twice() {
    fn same_whatever_the_order(seed: u64, tellers: u8, messages: u8) -> bool {
        let tellers = u64::from(tellers % 6) + 1;
        let messages = u64::from(messages % 8) + 1;
        let mut told = Vec::new();
        for n in 0..tellers {
            for number in 0..=messages {
                told.push((teller(n), number, counts(number)));
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let twice = told.clone();
        told.extend(twice);
        told.shuffle(&mut rng);
        let mut totals = UsageTotals::default();
        for (from, number, counts) in told {
            totals.apply_counts(from, number, 3, counts);
        }
        totals.total(3) == counts(tellers * messages)
    }
    let generator = Gen::from_size_and_seed(100, 11);
    QuickCheck::new().rng(generator).quickcheck(same_whatever_the_order as fn(u64, u8, u8) -> bool);
}

#[test]
fn an_entry_that_starts_anew_adds_to_what_its_life_before_told() {
    let mut totals = UsageTotals::default();
    totals.apply_counts(("e1".to_owned(), 1), 40, 3, counts(5));
    totals.apply_counts(("e1".to_owned(), 2), 0, 3, counts(2));
    assert_eq!(totals.total(3), counts(7));
}

#[test]
fn absurd_counts_do_not_overflow() {
    let mut totals = UsageTotals::default();
    totals.apply_counts(teller(1), 0, 3, UsageCounts::from([("w1".to_owned(), u64::MAX)]));
    totals.apply_counts(teller(2), 0, 3, UsageCounts::from([("w1".to_owned(), 9)]));
    assert_eq!(totals.total(3)["w1"], u64::MAX);
    for window in 0..10_000 {
        totals.apply_counts(teller(1), 1, window, counts(1));
    }
    assert!(totals.total(0).is_empty(), "old windows give way");
}

#[test]
fn a_clock_that_jumps_and_comes_back_changes_nothing() {
    let mut time = ClockEstimate::default();
    let at = Duration::from_secs;
    for second in 0..12 {
        let jump = if (5..8).contains(&second) { 9_000 } else { 0 };
        time.record_reading(START_MS + second * 1_000 + jump, at(second));
    }
    assert_eq!(time.local_unix_ms(at(20)), Some(START_MS + 20_000));
}

#[test]
fn a_clock_that_was_wrong_at_the_start_is_set_right_by_the_others() {
    let mut time = ClockEstimate::default();
    let now = Duration::from_secs(3_600);
    time.record_reading(START_MS + 5_000, now);
    assert_eq!(time.unix_ms(now), Some(START_MS + 5_000));
    for n in 0..4 {
        time.apply_peer(&format!("e{n}"), START_MS, now);
    }
    assert_eq!(time.unix_ms(now), Some(START_MS));
    time.apply_peer("liar", u64::MAX, now);
    time.apply_peer("other liar", 0, now);
    assert_eq!(time.unix_ms(now), Some(START_MS));
}
