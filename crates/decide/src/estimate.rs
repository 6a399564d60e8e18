//! Estimates for each version and task: quality, service time, output length, failures, lateness.

use std::time::Duration;

use pondwalk_types::{Price, TokenUsage};

use crate::{
    histogram::{QualityHistogram, TimeHistogram},
    intern::{TaskIx, VersionIx},
    plan::duration_from_ms,
    tuning::{
        OUTPUT_PRIOR_TOKENS, PRIOR_ON_TIME_PROBABILITY, QUALITY_PRIOR_CHEAPEST,
        QUALITY_PRIOR_MOST_EXPENSIVE, QUALITY_PRIOR_WEIGHT, RUNNING_MEAN_GAIN, SERVICE_PRIOR_MS,
        TIME_PRIOR_MAX_OBSERVATIONS, TIME_PRIOR_WEIGHT,
    },
};

/// A running mean that starts at its first observation.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    /// Adds an observation.
    pub fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let gain = RUNNING_MEAN_GAIN.max(1.0 / f64::from(self.count));
        self.value += gain * (value - self.value);
    }

    /// Whether there has been an observation.
    pub fn is_known(&self) -> bool {
        self.count > 0
    }

    /// The mean, or `prior` before the first observation.
    pub fn or(&self, prior: f64) -> f64 {
        if self.count == 0 { prior } else { self.value }
    }
}

/// Share of events that were hits; old events lose weight over time.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    hits: f64,
    total: f64,
}

impl Rate {
    /// Adds one event.
    pub fn add(&mut self, hit: bool) {
        const WINDOW: f64 = 1_000.0;
        if self.total >= WINDOW {
            self.hits *= 0.5;
            self.total *= 0.5;
        }
        self.total += 1.0;
        self.hits += f64::from(u8::from(hit));
    }

    /// The rate from 0 to 1, combined with a prior rate that counts as `weight` events.
    pub fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.hits + prior * weight) / (self.total + weight)
    }
}

/// Estimates for one version on one task.
#[derive(Debug, Clone, Default)]
pub struct VersionTask {
    /// Ratings of its answers.
    pub quality: QualityHistogram,
    /// Service times of its runs.
    pub service_time: TimeHistogram,
    /// Mean service time, in milliseconds.
    pub service_ms: RunningMean,
    /// Mean number of tokens in its answers.
    pub output_tokens: RunningMean,
    /// Share of runs that failed.
    pub failures: Rate,
    /// Share of answers delivered after their deadline.
    pub late: Rate,
}

/// Estimates for one version over all tasks.
#[derive(Debug, Clone)]
struct Version {
    price: Price,
    /// Relative service time inferred from the price; used until both versions compared have runs.
    prior_slowness: f64,
    /// Rank by price, from 0 for the cheapest version to 1 for the most expensive.
    price_rank: f64,
    service_ms: RunningMean,
    tasks: Vec<VersionTask>,
}

/// Estimates for one task over all versions.
#[derive(Debug, Clone, Default)]
struct Task {
    /// The version with the most observed runs of the task.
    anchor: Option<VersionIx>,
    /// Mean time allowed by callers, in milliseconds.
    deadline_ms: RunningMean,
}

/// How often `second` met the target of `task` after another version had missed it.
#[derive(Debug, Clone, Copy)]
struct Escalation {
    second: VersionIx,
    task: TaskIx,
    met: Rate,
}

/// Estimates for all versions.
#[derive(Debug, Default)]
pub struct Estimates {
    versions: Vec<Option<Version>>,
    tasks: Vec<Task>,
    /// Outcomes of escalations, indexed by the first version.
    ///
    /// The lists are short, because few pairs of versions occur.
    escalations: Vec<Vec<Escalation>>,
    empty: VersionTask,
}

impl Estimates {
    /// Sets the prices. Estimates of a version are kept as long as its name stays the same.
    pub fn set_prices(&mut self, prices: &[(VersionIx, Price)]) {
        let mut order: Vec<(VersionIx, f64)> =
            prices.iter().map(|(version, price)| (*version, reference_cost(price))).collect();
        order.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let last = order.len().saturating_sub(1).max(1) as f64;
        for (version, price) in prices {
            let position = order.iter().position(|(other, _)| other == version).unwrap_or(0);
            let entry = self.version_mut(*version);
            entry.price = *price;
            // NB: service times grow roughly with the cube root of the price.
            entry.prior_slowness = reference_cost(price).max(1e-9).cbrt();
            entry.price_rank = position as f64 / last;
        }
    }

    /// The price of a version.
    pub fn price(&self, version: VersionIx) -> Price {
        self.version(version).map(|estimate| estimate.price).unwrap_or_default()
    }

    /// Estimates for a version on a task; empty if there are none.
    pub fn version_task(&self, version: VersionIx, task: TaskIx) -> &VersionTask {
        self.version(version).and_then(|estimate| estimate.tasks.get(task)).unwrap_or(&self.empty)
    }

    /// Estimates for a version on a task, created if absent.
    pub fn version_task_mut(&mut self, version: VersionIx, task: TaskIx) -> &mut VersionTask {
        let estimate = self.version_mut(version);
        if estimate.tasks.len() <= task {
            estimate.tasks.resize_with(task + 1, VersionTask::default);
        }
        &mut estimate.tasks[task]
    }

    /// Probability that an answer reaches the quality `target`.
    pub fn p_meets(&self, version: VersionIx, task: TaskIx, target: f64) -> f64 {
        let quality = &self.version_task(version, task).quality;
        let rank = self.version(version).map_or(0.5, |estimate| estimate.price_rank);
        // NB: quality rises steeply among the cheapest versions and flattens with the price.
        let span = QUALITY_PRIOR_MOST_EXPENSIVE - QUALITY_PRIOR_CHEAPEST;
        let prior = QUALITY_PRIOR_MOST_EXPENSIVE - span * (1.0 - rank).powi(2);
        let hits = quality.weight_at_least(target) + prior * QUALITY_PRIOR_WEIGHT;
        hits / (quality.total() + QUALITY_PRIOR_WEIGHT)
    }

    /// Probability that `second` reaches the target after `first` has missed it.
    pub fn p_escalation_meets(
        &self,
        first: VersionIx,
        second: VersionIx,
        task: TaskIx,
        target: f64,
    ) -> f64 {
        const PRIOR_WEIGHT: f64 = 6.0;
        let p_unconditional = self.p_meets(second, task, target);
        let escalations = self.escalations.get(first).into_iter().flatten();
        match escalations.into_iter().find(|pair| pair.second == second && pair.task == task) {
            Some(pair) => pair.met.with_prior(p_unconditional, PRIOR_WEIGHT),
            None => p_unconditional,
        }
    }

    /// Records whether `second` reached the target after `first` had missed it.
    pub fn add_escalation(&mut self, first: VersionIx, second: VersionIx, task: TaskIx, met: bool) {
        if self.escalations.len() <= first {
            self.escalations.resize_with(first + 1, Vec::new);
        }
        let escalations = &mut self.escalations[first];
        match escalations.iter_mut().find(|pair| pair.second == second && pair.task == task) {
            Some(pair) => pair.met.add(met),
            None => {
                let mut rate = Rate::default();
                rate.add(met);
                escalations.push(Escalation { second, task, met: rate });
            }
        }
    }

    /// Probability that the service time of a run is at most `limit`.
    pub fn p_within(&self, version: VersionIx, task: TaskIx, limit: Duration) -> f64 {
        let service_time = &self.version_task(version, task).service_time;
        let total = service_time.total();
        if total >= TIME_PRIOR_MAX_OBSERVATIONS {
            return service_time.weight_within(limit) / total;
        }
        let prior = self.prior_p_within(version, task, limit);
        (service_time.weight_within(limit) + prior * TIME_PRIOR_WEIGHT)
            / (total + TIME_PRIOR_WEIGHT)
    }

    /// Probability that a run exceeds the mean deadline of its task; 0 if no deadline was seen.
    pub fn p_late(&self, version: VersionIx, task: TaskIx) -> f64 {
        let estimate = self.tasks.get(task).filter(|estimate| estimate.deadline_ms.is_known());
        let deadline_ms = estimate.map(|estimate| estimate.deadline_ms.or(0.0));
        deadline_ms.map_or(0.0, |ms| 1.0 - self.p_within(version, task, duration_from_ms(ms)))
    }

    /// Records the time that a caller allowed for a request.
    pub fn add_deadline(&mut self, task: TaskIx, allowed: Duration) {
        self.task_mut(task).deadline_ms.add(allowed.as_secs_f64() * 1e3);
    }

    /// Prior of [`Self::p_within`]: the anchor's service times, scaled by the slowness ratio.
    fn prior_p_within(&self, version: VersionIx, task: TaskIx, limit: Duration) -> f64 {
        let anchor = self.tasks.get(task).and_then(|estimate| estimate.anchor);
        let Some(anchor) = anchor.filter(|anchor| *anchor != version) else {
            return PRIOR_ON_TIME_PROBABILITY;
        };
        let slowness_ratio = self.slowness_ratio(version, anchor);
        let service_time = &self.version_task(anchor, task).service_time;
        let hits =
            service_time.weight_within(limit.div_f64(slowness_ratio)) + PRIOR_ON_TIME_PROBABILITY;
        hits / (service_time.total() + 1.0)
    }

    /// Ratio of the two versions' service times, from 0.1 to 10.
    fn slowness_ratio(&self, version: VersionIx, other: VersionIx) -> f64 {
        let is_observed = |version| self.version(version).is_some_and(|v| v.service_ms.is_known());
        let ratio = if is_observed(version) && is_observed(other) {
            self.service_ms(version) / self.service_ms(other).max(1.0)
        } else {
            let prior_slowness = |version| self.version(version).map_or(1.0, |v| v.prior_slowness);
            prior_slowness(version) / prior_slowness(other)
        };
        ratio.clamp(0.1, 10.0)
    }

    fn task_mut(&mut self, task: TaskIx) -> &mut Task {
        if self.tasks.len() <= task {
            self.tasks.resize_with(task + 1, Task::default);
        }
        &mut self.tasks[task]
    }

    /// Expected cost of a run, in the currency of the prices.
    pub fn cost(&self, version: VersionIx, task: TaskIx, prompt_tokens: u64) -> f64 {
        let output = self.version_task(version, task).output_tokens.or(OUTPUT_PRIOR_TOKENS);
        let usage = TokenUsage { prompt_tokens, output_tokens: output as u64 };
        self.price(version).cost(usage)
    }

    /// Mean service time of a version over all tasks, in milliseconds.
    pub fn service_ms(&self, version: VersionIx) -> f64 {
        self.version(version)
            .map_or(SERVICE_PRIOR_MS, |estimate| estimate.service_ms.or(SERVICE_PRIOR_MS))
    }

    /// Mean service time of a version on one task, in milliseconds.
    pub fn task_service_ms(&self, version: VersionIx, task: TaskIx) -> f64 {
        self.version_task(version, task).service_ms.or(self.service_ms(version))
    }

    /// Records a run that finished.
    pub fn add_run(
        &mut self,
        version: VersionIx,
        task: TaskIx,
        tokens: u64,
        service_time: Duration,
    ) {
        let estimate = self.version_task_mut(version, task);
        estimate.service_time.add(service_time);
        estimate.service_ms.add(service_time.as_secs_f64() * 1e3);
        estimate.output_tokens.add(tokens as f64);
        estimate.failures.add(false);
        self.version_mut(version).service_ms.add(service_time.as_secs_f64() * 1e3);
        self.update_anchor(version, task);
    }

    fn update_anchor(&mut self, version: VersionIx, task: TaskIx) {
        let total = |version| self.version_task(version, task).service_time.total();
        let current = self.tasks.get(task).and_then(|estimate| estimate.anchor);
        if current.is_none_or(|anchor| total(version) > total(anchor)) {
            self.task_mut(task).anchor = Some(version);
        }
    }

    /// Records a cancelled run as a censored observation: it would have taken longer than `at_least`.
    pub fn add_censored(&mut self, version: VersionIx, task: TaskIx, at_least: Duration) {
        const EXPECTED_OVERRUN: f64 = 1.3;
        self.version_task_mut(version, task).service_time.add(at_least.mul_f64(EXPECTED_OVERRUN));
    }

    /// Drops all estimates of a version, so that a reused name starts from the priors.
    pub fn forget(&mut self, version: VersionIx) {
        if let Some(Some(estimate)) = self.versions.get_mut(version) {
            estimate.tasks.clear();
            estimate.service_ms = RunningMean::default();
        }
        if let Some(escalations) = self.escalations.get_mut(version) {
            escalations.clear();
        }
        self.escalations
            .iter_mut()
            .for_each(|escalations| escalations.retain(|pair| pair.second != version));
    }

    fn version(&self, version: VersionIx) -> Option<&Version> {
        self.versions.get(version)?.as_ref()
    }

    fn version_mut(&mut self, version: VersionIx) -> &mut Version {
        if self.versions.len() <= version {
            self.versions.resize_with(version + 1, || None);
        }
        self.versions[version].get_or_insert_with(|| Version {
            price: Price::default(),
            prior_slowness: 1.0,
            price_rank: 0.5,
            service_ms: RunningMean::default(),
            tasks: Vec::new(),
        })
    }
}

/// Cost of a typical run (1000 prompt and 300 output tokens), for ordering versions by price.
pub fn reference_cost(price: &Price) -> f64 {
    const USAGE: TokenUsage = TokenUsage { prompt_tokens: 1_000, output_tokens: 300 };
    price.cost(USAGE)
}
