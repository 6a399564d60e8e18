//! Learned engine estimates: they converge, stay in bounds, and determine decisions.

mod common;

use std::time::Duration;

use common::fleet;
use pondwalk_decide::direct::{
    Cascade, DataCentreRule, EngineEstimates, Fleet, ModelCost, PlacementRequest, PromptPart,
    QuantileEstimate, VersionRule,
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn check(property: impl quickcheck::Testable) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 17)).tests(300).quickcheck(property);
}

/// A time with noise of 30% either way, and in one of ten cases an outlier.
fn noisy(rng: &mut Pcg64Mcg, time_ms: f64) -> f64 {
    let outlier = if rng.random_range(0..10) == 0 { 50.0 } else { 1.0 };
    time_ms * rng.random_range(0.7..1.3) * outlier
}

/// Estimates after so many answers whose times are `factor` times those of the prior.
fn engine_after(factor: f64, answers: u32, rng: &mut Pcg64Mcg) -> EngineEstimates {
    let mut engine = EngineEstimates::new(3);
    for n in 0..answers {
        let model = (n % 3) as u8;
        let prefill_ms = factor * [0.0055, 0.017, 0.053][usize::from(model)];
        let first_byte_ms = noisy(rng, factor * 25.0 + 4_000.0 * prefill_ms);
        engine.record_first_byte(model, 4_000.0, first_byte_ms);
        engine.record_first_byte(model, 50.0, noisy(rng, factor * 25.0 + 50.0 * prefill_ms));
        engine.record_token_ms(model, noisy(rng, factor * 12.0));
    }
    engine
}

#[test]
fn an_estimate_converges_and_follows_a_change() {
    fn property(seed: u64, factor: u8) -> bool {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let true_value = 10.0 * 2f64.powf(f64::from(factor % 7) - 3.0);
        let mut estimate = QuantileEstimate::new(10.0);
        (0..150).for_each(|_| estimate.record(noisy(&mut rng, true_value)));
        let first = estimate.value() / true_value;
        (0..250).for_each(|_| estimate.record(noisy(&mut rng, 2.0 * true_value)));
        let second = estimate.value() / (2.0 * true_value);
        (0.75..1.3).contains(&first) && (0.75..1.3).contains(&second)
    }
    check(property as fn(u64, u8) -> bool);
}

#[test]
fn an_estimate_stays_in_bounds_for_any_samples() {
    fn property(samples: Vec<f64>) -> bool {
        let mut estimate = QuantileEstimate::new(10.0);
        samples.into_iter().for_each(|sample| estimate.record(sample));
        estimate.value().is_finite() && (0.5..=200.0).contains(&estimate.value())
    }
    check(property as fn(Vec<f64>) -> bool);
}

#[test]
fn one_outlier_moves_a_converged_estimate_by_a_few_percent() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut engine = engine_after(1.0, 300, &mut rng);
    let before = engine.prefill_ms_per_token(2);
    engine.record_first_byte(2, 4_000.0, 1e9);
    assert!((engine.prefill_ms_per_token(2) / before - 1.0).abs() < 0.05);
}

#[test]
fn models_are_estimated_independently() {
    let mut engine = EngineEstimates::new(3);
    assert_eq!(engine.token_ms(2), engine.token_ms(1), "both have the prior");
    (0..200).for_each(|_| engine.record_token_ms(2, 30.0));
    assert!((engine.token_ms(2) / 30.0 - 1.0).abs() < 0.05, "within one step");
    assert_eq!(engine.token_ms(1), EngineEstimates::new(3).token_ms(1));
}

#[test]
fn estimates_converge_from_the_prior_after_a_restart() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for factor in [0.25, 1.0, 4.0] {
        for answers in [150, 300] {
            let engine = engine_after(factor, answers, &mut rng);
            let prefill = engine.prefill_ms_per_token(2) / (factor * 0.053);
            let base = engine.base_ms() / (factor * 25.0);
            let tokens = engine.token_ms(1) / (factor * 12.0);
            for ratio in [prefill, base, tokens] {
                assert!((0.7..1.4).contains(&ratio), "{factor} {prefill} {base} {tokens}");
            }
        }
    }
}

#[test]
fn priors_increase_with_the_model_size() {
    let prefill = |models: u8| -> Vec<f64> {
        let engine = EngineEstimates::new(models);
        (0..models).map(|model| engine.prefill_ms_per_token(model)).collect()
    };
    for models in [1, 2, 4] {
        let prefill = prefill(models);
        assert!(prefill.windows(2).all(|pair| pair[0] < pair[1]), "{prefill:?}");
        assert!(prefill.iter().all(|estimate| (0.005..0.06).contains(estimate)), "{prefill:?}");
    }
    assert!(EngineEstimates::new(0).prefill_ms_per_token(0) > 0.0, "a plain service has no models");
}

/// The model that is asked after an answer of low confidence from the smallest one, for a prompt of
/// this many tokens and an objective of 2 s, on servers with these estimates.
fn model_after_a_low_confidence(engine: &EngineEstimates, tokens: u32) -> Option<u8> {
    let parts = [PromptPart { id: 1, tokens: 10 }, PromptPart { id: 2, tokens }];
    let fleet: Fleet = fleet(4);
    let costs: Vec<ModelCost> = (0..3u8)
        .map(|model| {
            let request = PlacementRequest {
                parts: &parts,
                model,
                prefill_ms_per_token: engine.prefill_ms_per_token(model),
                base_ms: engine.base_ms(),
                excluded_servers: &[],
                versions: VersionRule::Any,
                data_centres: DataCentreRule::Any,
            };
            let forecast = fleet.forecast(&request, Duration::ZERO).expect("a server");
            let first_byte_ratio = forecast.first_byte_ms / 2_000.0;
            let price = [0.02, 0.14, 0.27][usize::from(model)];
            ModelCost { model, price, server_time: 0.5, first_byte_ratio, end_ratio: 0.3 }
        })
        .collect();
    Cascade::default().next_model(&[(0, 45)], &costs, 0.0, Duration::ZERO)
}

#[test]
fn decisions_follow_engines_that_differ_by_a_factor_of_four() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let fast = engine_after(0.25, 150, &mut rng);
    let medium = engine_after(1.0, 150, &mut rng);
    let slow = engine_after(4.0, 150, &mut rng);
    // NB: the largest model prefills 20,000 tokens in 0.3, 1.1 and 4.2 s.
    assert_eq!(model_after_a_low_confidence(&fast, 20_000), Some(2));
    assert_eq!(model_after_a_low_confidence(&medium, 20_000), Some(2));
    assert_eq!(model_after_a_low_confidence(&slow, 20_000), Some(1));
    assert_eq!(model_after_a_low_confidence(&slow, 2_000), Some(2));
    assert_eq!(model_after_a_low_confidence(&fast, 70_000), Some(2));
    assert_eq!(model_after_a_low_confidence(&medium, 70_000), Some(1));
}
