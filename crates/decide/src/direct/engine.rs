//! What an entry learns of the engines of one service: how long its servers take to begin an
//! answer, to read a token of a prompt and to make one, by model.
//!
//! Engines and models differ by more than ten times, and no deployment declares these times. Each
//! is a quantile that moves by a bounded factor with each answer, so that it converges from a
//! prior within some tens of answers, follows a change, and no outlier counts for more than any
//! other late answer. A lower quantile than the median is followed, since most of what spoils a
//! sample, such as requests of other entries, makes it longer. Nothing is kept over a restart: an
//! entry that starts anew learns anew.

use std::collections::HashMap;

/// Number of a model among those of its service, as the configuration lists them.
pub type ServiceModelIndex = u8;

/// Quantile of the samples that an estimate follows.
const QUANTILE: f64 = 0.4;
/// Logarithm of the factor by which the first sample may move an estimate.
const FIRST_STEP: f64 = 0.8;
/// The same once many samples have been seen; small enough that chance moves it by a few percent.
const LAST_STEP: f64 = 0.04;
/// Samples after which a step is half of the first.
const HALF_STEP_SAMPLES: f64 = 8.0;
/// How far an estimate may go from its prior, as a factor either way.
const LARGEST_FACTOR: f64 = 20.0;

/// Time until an answer begins besides reading, in milliseconds, before any has shown it.
const BEGIN_PRIOR_MS: f64 = 25.0;
/// Time to read a token with the smallest and with the largest of several models, in milliseconds,
/// before any answer has shown it: engines of a usual size and ten times apart.
const READ_PRIORS_MS: (f64, f64) = (0.0055, 0.053);
/// Time from one token of an answer to the next before any has shown it, in milliseconds.
const TOKEN_PRIOR_MS: f64 = 12.0;
/// Tokens from which on reading is most of what an answer waits for.
const MANY_TOKENS: f64 = 1_000.0;
/// Tokens up to which it is next to nothing.
const FEW_TOKENS: f64 = 200.0;

/// A quantile of positive samples, learned on line.
#[derive(Debug, Clone, Copy)]
pub struct QuantileEstimate {
    prior: f64,
    value: f64,
    samples: u32,
}

impl QuantileEstimate {
    /// Nothing has been seen yet.
    pub fn new(prior: f64) -> Self {
        QuantileEstimate { prior, value: prior, samples: 0 }
    }

    /// The value known so far.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Takes one sample in; one that is no positive number tells nothing.
    pub fn record(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let step = FIRST_STEP / (1.0 + f64::from(self.samples) / HALF_STEP_SAMPLES);
        let step = step.max(LAST_STEP);
        let up = if sample > self.value { QUANTILE } else { QUANTILE - 1.0 };
        let (least, most) = (self.prior / LARGEST_FACTOR, self.prior * LARGEST_FACTOR);
        self.value = (self.value * (step * up).exp()).clamp(least, most);
        self.samples = self.samples.saturating_add(1);
    }
}

/// The engines of one service.
#[derive(Debug)]
pub struct EngineEstimates {
    models: u8,
    base: QuantileEstimate,
    prefill: HashMap<ServiceModelIndex, QuantileEstimate>,
    tokens: HashMap<ServiceModelIndex, QuantileEstimate>,
}

impl EngineEstimates {
    /// Nothing is known of engines that run this many models; none for a plain service.
    pub fn new(models: u8) -> Self {
        EngineEstimates {
            models,
            base: QuantileEstimate::new(BEGIN_PRIOR_MS),
            prefill: HashMap::new(),
            tokens: HashMap::new(),
        }
    }

    /// Time until an answer begins besides reading, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        self.base.value()
    }

    /// Time to read one token with a model, in milliseconds.
    pub fn prefill_ms_per_token(&self, model: ServiceModelIndex) -> f64 {
        self.prefill
            .get(&model)
            .map_or_else(|| self.prefill_prior_ms(model), QuantileEstimate::value)
    }

    /// Time from one token of a model's answer to the next, in milliseconds.
    pub fn token_ms(&self, model: ServiceModelIndex) -> f64 {
        self.tokens.get(&model).map_or(TOKEN_PRIOR_MS, QuantileEstimate::value)
    }

    /// An answer began after `took_ms` at a server that had nothing else of this entry waiting,
    /// with so many tokens of its prompt to read.
    pub fn record_first_byte(&mut self, model: ServiceModelIndex, tokens_read: f64, took_ms: f64) {
        if tokens_read <= FEW_TOKENS {
            let read_ms = tokens_read * self.prefill_ms_per_token(model);
            self.base.record(took_ms - read_ms);
        } else if tokens_read >= MANY_TOKENS {
            let begins_ms = self.base_ms();
            let prior = self.prefill_prior_ms(model);
            let read = self.prefill.entry(model).or_insert_with(|| QuantileEstimate::new(prior));
            // NB: an answer that comes sooner than any can begin was held there already.
            read.record(((took_ms - begins_ms) / tokens_read).max(prior / LARGEST_FACTOR));
        }
    }

    /// A whole answer of a model took this long for each of its tokens, in milliseconds.
    pub fn record_token_ms(&mut self, model: ServiceModelIndex, token_ms: f64) {
        let tokens = self.tokens.entry(model);
        tokens.or_insert_with(|| QuantileEstimate::new(TOKEN_PRIOR_MS)).record(token_ms);
    }

    /// Models are taken to lie evenly between the smallest and the largest, by factors.
    fn prefill_prior_ms(&self, model: ServiceModelIndex) -> f64 {
        let (smallest, largest) = READ_PRIORS_MS;
        let last = f64::from(self.models.saturating_sub(1));
        let place = if last > 0.0 { (f64::from(model) / last).min(1.0) } else { 0.5 };
        smallest * (largest / smallest).powf(place)
    }
}
