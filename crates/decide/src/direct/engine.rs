//! Learned timing of the engines of one service, by model: base latency, prefill time per prompt
//! token and time per output token.
//!
//! Engines and models differ by more than ten times, and no deployment declares these times. Each
//! estimate is a quantile that moves by a bounded factor with each answer. It converges from a
//! prior within some tens of answers and follows changes, and an outlier counts no more than any
//! other late answer. The quantile lies below the median, since most disturbances of a sample, such
//! as requests of other entries, make it longer. Nothing is stored across a restart; a restarted
//! entry begins with the priors.

use std::collections::HashMap;

/// Index of a model in its service, in the order of the configuration.
pub type ServiceModelIndex = u8;

/// Quantile of the samples that an estimate tracks.
const QUANTILE: f64 = 0.4;
/// Logarithm of the factor by which the first sample may move an estimate.
const INITIAL_LOG_STEP: f64 = 0.8;
/// Lower bound of that logarithm after many samples; small enough that chance moves an estimate by
/// a few percent.
const MIN_LOG_STEP: f64 = 0.04;
/// Number of samples after which the step is half of the initial one.
const HALF_STEP_SAMPLES: f64 = 8.0;
/// Largest factor, either way, between an estimate and its prior.
const MAX_PRIOR_FACTOR: f64 = 20.0;

/// Initial estimate of the time to first byte without prefill, in milliseconds.
const BASE_PRIOR_MS: f64 = 25.0;
/// Initial estimates of the prefill time per token of the smallest and the largest of several
/// models, in milliseconds: engines of typical size, a factor of ten apart.
const PREFILL_PRIORS_MS: (f64, f64) = (0.0055, 0.053);
/// Initial estimate of the time between two tokens of an answer, in milliseconds.
const TOKEN_PRIOR_MS: f64 = 12.0;
/// Prompt tokens from which prefill makes up most of the time to first byte.
const MIN_PREFILL_SAMPLE_TOKENS: f64 = 1_000.0;
/// Prompt tokens up to which prefill is negligible.
const MAX_BASE_SAMPLE_TOKENS: f64 = 200.0;

/// Online estimate of a quantile of positive samples.
#[derive(Debug, Clone, Copy)]
pub struct QuantileEstimate {
    prior: f64,
    value: f64,
    samples: u32,
}

impl QuantileEstimate {
    /// Creates an estimate without samples.
    pub fn new(prior: f64) -> Self {
        QuantileEstimate { prior, value: prior, samples: 0 }
    }

    /// Current estimate.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Adds a sample; ignores it unless it is a positive finite number.
    pub fn record(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let step = INITIAL_LOG_STEP / (1.0 + f64::from(self.samples) / HALF_STEP_SAMPLES);
        let step = step.max(MIN_LOG_STEP);
        let direction = if sample > self.value { QUANTILE } else { QUANTILE - 1.0 };
        let (min, max) = (self.prior / MAX_PRIOR_FACTOR, self.prior * MAX_PRIOR_FACTOR);
        self.value = (self.value * (step * direction).exp()).clamp(min, max);
        self.samples = self.samples.saturating_add(1);
    }
}

/// Timing estimates for the engines of one service.
#[derive(Debug)]
pub struct EngineEstimates {
    models: u8,
    base: QuantileEstimate,
    prefill: HashMap<ServiceModelIndex, QuantileEstimate>,
    tokens: HashMap<ServiceModelIndex, QuantileEstimate>,
}

impl EngineEstimates {
    /// Creates the estimates for engines that run `models` models; 0 for a plain service.
    pub fn new(models: u8) -> Self {
        EngineEstimates {
            models,
            base: QuantileEstimate::new(BASE_PRIOR_MS),
            prefill: HashMap::new(),
            tokens: HashMap::new(),
        }
    }

    /// Time to first byte without prefill, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        self.base.value()
    }

    /// Prefill time per token of a model, in milliseconds.
    pub fn prefill_ms_per_token(&self, model: ServiceModelIndex) -> f64 {
        self.prefill
            .get(&model)
            .map_or_else(|| self.prefill_prior_ms(model), QuantileEstimate::value)
    }

    /// Time between two tokens of a model's answer, in milliseconds.
    pub fn token_ms(&self, model: ServiceModelIndex) -> f64 {
        self.tokens.get(&model).map_or(TOKEN_PRIOR_MS, QuantileEstimate::value)
    }

    /// Records the time to first byte of an answer, in milliseconds, at a server where this entry
    /// had nothing else waiting and where `prefill_tokens` tokens of the prompt were to be read.
    pub fn record_first_byte(
        &mut self,
        model: ServiceModelIndex,
        prefill_tokens: f64,
        first_byte_ms: f64,
    ) {
        if prefill_tokens <= MAX_BASE_SAMPLE_TOKENS {
            let prefill_ms = prefill_tokens * self.prefill_ms_per_token(model);
            self.base.record(first_byte_ms - prefill_ms);
        } else if prefill_tokens >= MIN_PREFILL_SAMPLE_TOKENS {
            let base_ms = self.base_ms();
            let prior = self.prefill_prior_ms(model);
            let estimate =
                self.prefill.entry(model).or_insert_with(|| QuantileEstimate::new(prior));
            // NB: an answer faster than the base latency was a cache hit that the entry did not
            // expect.
            estimate
                .record(((first_byte_ms - base_ms) / prefill_tokens).max(prior / MAX_PRIOR_FACTOR));
        }
    }

    /// Records the mean time per token of a complete answer, in milliseconds.
    pub fn record_token_ms(&mut self, model: ServiceModelIndex, token_ms: f64) {
        let tokens = self.tokens.entry(model);
        tokens.or_insert_with(|| QuantileEstimate::new(TOKEN_PRIOR_MS)).record(token_ms);
    }

    /// Interpolates geometrically between the priors of the smallest and the largest model.
    fn prefill_prior_ms(&self, model: ServiceModelIndex) -> f64 {
        let (smallest, largest) = PREFILL_PRIORS_MS;
        let last = f64::from(self.models.saturating_sub(1));
        let position = if last > 0.0 { (f64::from(model) / last).min(1.0) } else { 0.5 };
        smallest * (largest / smallest).powf(position)
    }
}
