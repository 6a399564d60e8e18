//! Prints the trip rate and the number of ratings to a trip of the sequential test, by quality drop.

use std::time::Duration;

use pondwalk_decide::{Baseline, Trial};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MEAN: f64 = 0.83;
const DEVIATION: f64 = 0.07;
const MAX_RATINGS: u32 = 600;
const BASELINE_RATINGS: u32 = 20;

fn rating(rng: &mut Pcg64Mcg, mean: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (mean + DEVIATION * normal).clamp(0.0, 1.0)
}

fn ratings_to_trip(rng: &mut Pcg64Mcg, mean: f64) -> Option<u32> {
    let mut baseline = Baseline::default();
    (0..BASELINE_RATINGS).for_each(|_| baseline.add(rating(rng, MEAN)));
    let mut trial = Trial::default();
    for count in 1..=MAX_RATINGS {
        baseline.add(rating(rng, MEAN));
        trial.record_start();
        trial.record_rating(Duration::ZERO, rating(rng, mean), baseline.reference());
        if trial.tripped_at().is_some() {
            return Some(count);
        }
    }
    None
}

fn main() {
    println!("drop (sd)  roll-outs  tripped  ratings to trip: p50  p95  max");
    for (drop, roll_outs) in [(0.0, 20_000), (0.5, 2_000), (1.0, 2_000), (2.0, 2_000), (5.9, 2_000)]
    {
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let runs = (0..roll_outs).map(|_| ratings_to_trip(&mut rng, MEAN - drop * DEVIATION));
        let mut tripped: Vec<u32> = runs.flatten().collect();
        tripped.sort_unstable();
        let quantile = |share: f64| {
            let index = (tripped.len() as f64 * share) as usize;
            tripped.get(index.min(tripped.len().saturating_sub(1))).copied().unwrap_or(0)
        };
        println!(
            "{drop:>9}  {roll_outs:>9}  {:>7}  {:>20}  {:>4} {:>4}",
            tripped.len(),
            quantile(0.5),
            quantile(0.95),
            quantile(1.0)
        );
    }
}
