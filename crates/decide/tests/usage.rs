//! Usage counts, their totals over many entries, and the clock that defines the windows.

use std::time::Duration;

use pondwalk_decide::direct::{
    ClockEstimate, UsageCounts, UsageMeter, UsagePublisher, UsageTotals,
};
use quickcheck::{Gen, QuickCheck};
use rand::{SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

const START_MS: u64 = 1_790_000_000_000;

fn counts(count: u64) -> UsageCounts {
    UsageCounts::from([("w1".to_owned(), count), ("w2".to_owned(), 2 * count)])
}

fn publisher(n: u64) -> UsagePublisher {
    (format!("e{n}"), n)
}

#[test]
fn whole_counts_are_published_and_only_when_changed() {
    let mut meter = UsageMeter::default();
    meter.record_request(7, "w1");
    meter.record_request(7, "w1");
    meter.record_request(8, "w2");
    let published = meter.drain_unpublished();
    assert_eq!(published[0], (7, UsageCounts::from([("w1".to_owned(), 2)])));
    assert_eq!(published[1], (8, UsageCounts::from([("w2".to_owned(), 1)])));
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
fn totals_ignore_order_and_duplicates() {
    fn totals_agree(seed: u64, publishers: u8, messages: u8) -> bool {
        let publishers = u64::from(publishers % 6) + 1;
        let messages = u64::from(messages % 8) + 1;
        let mut published = Vec::new();
        for n in 0..publishers {
            for number in 0..=messages {
                published.push((publisher(n), number, counts(number)));
            }
        }
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let duplicates = published.clone();
        published.extend(duplicates);
        published.shuffle(&mut rng);
        let mut totals = UsageTotals::default();
        for (from, number, counts) in published {
            totals.apply_counts(from, number, 3, counts);
        }
        totals.total(3) == counts(publishers * messages)
    }
    let generator = Gen::from_size_and_seed(100, 11);
    QuickCheck::new().rng(generator).quickcheck(totals_agree as fn(u64, u8, u8) -> bool);
}

#[test]
fn counts_of_a_restarted_entry_add_to_those_before() {
    let mut totals = UsageTotals::default();
    totals.apply_counts(("e1".to_owned(), 1), 40, 3, counts(5));
    totals.apply_counts(("e1".to_owned(), 2), 0, 3, counts(2));
    assert_eq!(totals.total(3), counts(7));
}

#[test]
fn extreme_counts_do_not_overflow() {
    let mut totals = UsageTotals::default();
    totals.apply_counts(publisher(1), 0, 3, UsageCounts::from([("w1".to_owned(), u64::MAX)]));
    totals.apply_counts(publisher(2), 0, 3, UsageCounts::from([("w1".to_owned(), 9)]));
    assert_eq!(totals.total(3)["w1"], u64::MAX);
    for window in 0..10_000 {
        totals.apply_counts(publisher(1), 1, window, counts(1));
    }
    assert!(totals.total(0).is_empty(), "old windows are removed");
}

#[test]
fn a_temporary_clock_jump_is_ignored() {
    let mut clock = ClockEstimate::default();
    let at = Duration::from_secs;
    for second in 0..12 {
        let jump = if (5..8).contains(&second) { 9_000 } else { 0 };
        clock.record_reading(START_MS + second * 1_000 + jump, at(second));
    }
    assert_eq!(clock.local_unix_ms(at(20)), Some(START_MS + 20_000));
}

#[test]
fn a_wrong_clock_is_corrected_by_other_entries() {
    let mut clock = ClockEstimate::default();
    let now = Duration::from_secs(3_600);
    clock.record_reading(START_MS + 5_000, now);
    assert_eq!(clock.unix_ms(now), Some(START_MS + 5_000));
    for n in 0..4 {
        clock.apply_peer(&format!("e{n}"), START_MS, now);
    }
    assert_eq!(clock.unix_ms(now), Some(START_MS));
    clock.apply_peer("invalid", u64::MAX, now);
    clock.apply_peer("also invalid", 0, now);
    assert_eq!(clock.unix_ms(now), Some(START_MS));
}
