//! False alarms and detection delay of the sequential test of a version.

use std::time::Duration;

use pondwalk_decide::{Baseline, Trial, TrialStage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const NOW: Duration = Duration::ZERO;
const MEAN: f64 = 0.83;
const DEVIATION: f64 = 0.07;

/// Draws a rating from an approximate normal distribution around a mean.
fn rating(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (mean + DEVIATION * normal).clamp(0.0, 1.0)
}

fn baseline_of(rng: &mut Pcg64Mcg, ratings: u32) -> Baseline {
    let mut baseline = Baseline::default();
    (0..ratings).for_each(|_| baseline.add(rating(rng, MEAN)));
    baseline
}

/// Number of ratings until the trial trips, if it trips within `max_ratings`.
fn ratings_to_trip(
    rng: &mut Pcg64Mcg,
    mean: f64,
    baseline_ratings: u32,
    max_ratings: u32,
) -> Option<u32> {
    let mut baseline = baseline_of(rng, baseline_ratings);
    let mut trial = Trial::default();
    for count in 1..=max_ratings {
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
fn equal_version_trips_in_less_than_one_in_a_thousand_roll_outs() {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let false_alarms =
        (0..6_000).filter(|_| ratings_to_trip(&mut rng, MEAN, 20, 600).is_some()).count();
    assert!(false_alarms < 6, "{false_alarms} of 6000 roll-outs of an equal version tripped");
}

#[test]
fn version_of_half_the_quality_trips_within_eight_ratings() {
    let mut rng = Pcg64Mcg::seed_from_u64(8);
    let slowest = (0..1_000).map(|_| ratings_to_trip(&mut rng, MEAN / 2.0, 30, 600)).max();
    let slowest = slowest.flatten().expect("every trial trips");
    assert!(slowest <= 8, "the slowest trial took {slowest} ratings to trip");
}

#[test]
fn small_persistent_drop_trips() {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let drop = MEAN - 1.2 * DEVIATION;
    let tripped = (0..200).filter(|_| ratings_to_trip(&mut rng, drop, 50, 200).is_some()).count();
    assert!(tripped >= 195, "only {tripped} of 200 trials tripped");
}

#[test]
fn exposure_stops_without_ratings() {
    let mut trial = Trial::default();
    let mut exposed_runs = 0;
    while trial.share() > 0.0 {
        trial.record_start();
        exposed_runs += 1;
        assert!(exposed_runs < 50, "exposure continues without ratings");
    }
    assert_eq!(trial.stage(), TrialStage::Testing(0));
}

#[test]
fn failures_trip_without_ratings() {
    let mut trial = Trial::default();
    let mut count = 0;
    while trial.tripped_at().is_none() {
        trial.record_start();
        trial.record_end(NOW, true, 0.01);
        count += 1;
        assert!(count < 10, "failures in a row did not trip the trial");
    }
}
