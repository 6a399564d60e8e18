//! The sequential test: how often it is wrong, and how fast it is right.

use std::time::Duration;

use pondwalk_decide::{Baseline, Trial, TrialStage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NOW: Duration = Duration::ZERO;
const MEAN: f64 = 0.83;
const DEVIATION: f64 = 0.07;

/// A rating drawn around a mean, as the sum of uniform numbers.
fn rating(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (mean + DEVIATION * normal).clamp(0.0, 1.0)
}

fn old_version(rng: &mut Pcg64Mcg, ratings: u32) -> Baseline {
    let mut baseline = Baseline::default();
    (0..ratings).for_each(|_| baseline.add(rating(rng, MEAN)));
    baseline
}

/// Ratings until the trial trips, if it does within `most`.
fn trips_after(rng: &mut Pcg64Mcg, mean: f64, known: u32, most: u32) -> Option<u32> {
    let mut baseline = old_version(rng, known);
    let mut trial = Trial::default();
    for count in 1..=most {
        baseline.add(rating(rng, MEAN));
        trial.record_start();
        trial.record_rating(NOW, rating(rng, mean), baseline.reference());
        if trial.tripped_at().is_some() {
            return Some(count);
        }
    }
    None
}

#[test]
fn an_equal_version_trips_less_than_once_in_a_thousand_roll_outs() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let false_alarms =
        (0..6_000).filter(|_| trips_after(&mut rng, MEAN, 20, 600).is_some()).count();
    assert!(false_alarms < 6, "{false_alarms} of 6000 roll-outs of an equal version tripped");
}

#[test]
fn a_version_of_half_the_quality_trips_within_a_few_ratings() {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let slowest = (0..1_000).map(|_| trips_after(&mut rng, MEAN / 2.0, 30, 600)).max();
    let slowest = slowest.flatten().expect("all trip");
    assert!(slowest <= 8, "the slowest took {slowest} ratings");
}

#[test]
fn a_small_lasting_drop_trips_too() {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let drop = MEAN - 1.2 * DEVIATION;
    let tripped = (0..200).filter(|_| trips_after(&mut rng, drop, 50, 200).is_some()).count();
    assert!(tripped >= 195, "only {tripped} of 200 tripped");
}

#[test]
fn without_ratings_exposure_stops() {
    let mut trial = Trial::default();
    let mut exposed = 0;
    while trial.share() > 0.0 {
        trial.record_start();
        exposed += 1;
        assert!(exposed < 50, "exposure must end by itself");
    }
    assert_eq!(trial.stage(), TrialStage::Testing(0));
}

#[test]
fn failures_trip_and_do_not_wait_for_ratings() {
    let mut trial = Trial::default();
    let mut count = 0;
    while trial.tripped_at().is_none() {
        trial.record_start();
        trial.record_end(NOW, true, 0.01);
        count += 1;
        assert!(count < 10, "failures in a row must trip soon");
    }
}
