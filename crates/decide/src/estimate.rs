//! What is known of each version: quality, service time, length and failures by task.

use std::time::Duration;

use pondwalk_types::{Price, TokenUsage};

use crate::{
    histogram::{QualityHistogram, TimeHistogram},
    intern::{TaskIx, VersionIx},
    plan::from_ms,
    tuning::{
        MEAN_GAIN, OUTPUT_PRIOR_TOKENS, QUALITY_PRIOR_CHEAPEST, QUALITY_PRIOR_DEAREST,
        QUALITY_PRIOR_WEIGHT, SERVICE_PRIOR_MS, TIME_PRIOR_FADED, TIME_PRIOR_ON_TIME,
        TIME_PRIOR_WEIGHT,
    },
};

/// A running mean that starts at its first observation.
#[derive(Debug, Clone, Copy, Default)]
pub struct RunningMean {
    value: f64,
    count: u32,
}

impl RunningMean {
    /// Takes in an observation.
    pub fn add(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let gain = MEAN_GAIN.max(1.0 / f64::from(self.count));
        self.value += gain * (value - self.value);
    }

    /// Whether anything was observed.
    pub fn is_known(&self) -> bool {
        self.count > 0
    }

    /// The mean, or `prior` before the first observation.
    pub fn or(&self, prior: f64) -> f64 {
        if self.count == 0 { prior } else { self.value }
    }
}

/// How often something happened out of how many times, with slow forgetting.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rate {
    hits: f64,
    total: f64,
}

impl Rate {
    /// Takes in one case.
    pub fn add(&mut self, hit: bool) {
        const WINDOW: f64 = 1_000.0;
        if self.total >= WINDOW {
            self.hits *= 0.5;
            self.total *= 0.5;
        }
        self.total += 1.0;
        self.hits += f64::from(u8::from(hit));
    }

    /// The rate, given a prior rate that counts as `weight` cases.
    pub fn with_prior(&self, prior: f64, weight: f64) -> f64 {
        (self.hits + prior * weight) / (self.total + weight)
    }
}

/// What is known of one version on one task.
#[derive(Debug, Clone, Default)]
pub struct VersionTask {
    /// Ratings of its answers.
    pub quality: QualityHistogram,
    /// Times its runs took on a server.
    pub service: TimeHistogram,
    /// Mean of those times, in milliseconds.
    pub service_ms: RunningMean,
    /// Tokens in its answers.
    pub output_tokens: RunningMean,
    /// Runs that failed.
    pub failures: Rate,
    /// Answers that came after their deadline.
    pub late: Rate,
}

/// What is known of one version on all tasks.
#[derive(Debug, Clone)]
struct Version {
    price: Price,
    /// Factor on times that the price suggests where nothing better is known.
    guessed_slowness: f64,
    /// Place in the order of prices, from 0 for the cheapest to 1 for the dearest.
    price_rank: f64,
    service_ms: RunningMean,
    tasks: Vec<VersionTask>,
}

/// What is known of one task whatever the version.
#[derive(Debug, Clone, Default)]
struct Task {
    anchor: Option<VersionIx>,
    deadline_ms: RunningMean,
}

/// How often a second version met the target after a first one had missed it.
#[derive(Debug, Clone, Copy)]
struct Rescue {
    second: VersionIx,
    task: TaskIx,
    met: Rate,
}

/// What is known of all versions.
#[derive(Debug, Default)]
pub struct Estimates {
    versions: Vec<Option<Version>>,
    /// By task: the version seen most often, and the usual deadline.
    tasks: Vec<Task>,
    /// Whether the second version met the target after the first had missed it.
    ///
    /// By the first version; the lists are short, as only a few versions are ever paired.
    rescues: Vec<Vec<Rescue>>,
    blank: VersionTask,
}

impl Estimates {
    /// Sets prices; what was learned of a version stays as long as its name does.
    pub fn set_prices(&mut self, prices: &[(VersionIx, Price)]) {
        let mut order: Vec<(VersionIx, f64)> =
            prices.iter().map(|(version, price)| (*version, reference_cost(price))).collect();
        order.sort_by(|a, b| a.1.total_cmp(&b.1).then(a.0.cmp(&b.0)));
        let last = order.len().saturating_sub(1).max(1) as f64;
        for (version, price) in prices {
            let place = order.iter().position(|(other, _)| other == version).unwrap_or(0);
            let entry = self.version_mut(*version);
            entry.price = *price;
            // NB: times grow with about the cube root of prices.
            entry.guessed_slowness = reference_cost(price).max(1e-9).cbrt();
            entry.price_rank = place as f64 / last;
        }
    }

    /// The price of a version.
    pub fn price(&self, version: VersionIx) -> Price {
        self.version(version).map(|known| known.price).unwrap_or_default()
    }

    /// What is known of a version on a task.
    pub fn of(&self, version: VersionIx, task: TaskIx) -> &VersionTask {
        self.version(version).and_then(|known| known.tasks.get(task)).unwrap_or(&self.blank)
    }

    /// The same, to take in observations.
    pub fn of_mut(&mut self, version: VersionIx, task: TaskIx) -> &mut VersionTask {
        let known = self.version_mut(version);
        if known.tasks.len() <= task {
            known.tasks.resize_with(task + 1, VersionTask::default);
        }
        &mut known.tasks[task]
    }

    /// Probability that an answer meets the target.
    pub fn meets(&self, version: VersionIx, task: TaskIx, target: f64) -> f64 {
        let quality = &self.of(version, task).quality;
        let rank = self.version(version).map_or(0.5, |known| known.price_rank);
        // NB: quality rises fast with the first step up in price, and slowly after that.
        let span = QUALITY_PRIOR_DEAREST - QUALITY_PRIOR_CHEAPEST;
        let prior = QUALITY_PRIOR_DEAREST - span * (1.0 - rank).powi(2);
        let hits = quality.at_least(target) + prior * QUALITY_PRIOR_WEIGHT;
        hits / (quality.total() + QUALITY_PRIOR_WEIGHT)
    }

    /// Probability that `second` meets the target where `first` has missed it.
    pub fn rescues(&self, first: VersionIx, second: VersionIx, task: TaskIx, target: f64) -> f64 {
        const PRIOR_WEIGHT: f64 = 6.0;
        let alone = self.meets(second, task, target);
        let known = self.rescues.get(first).into_iter().flatten();
        match known.into_iter().find(|known| known.second == second && known.task == task) {
            Some(known) => known.met.with_prior(alone, PRIOR_WEIGHT),
            None => alone,
        }
    }

    /// Takes in whether `second` met the target where `first` had missed it.
    pub fn add_rescue(&mut self, first: VersionIx, second: VersionIx, task: TaskIx, met: bool) {
        if self.rescues.len() <= first {
            self.rescues.resize_with(first + 1, Vec::new);
        }
        let known = &mut self.rescues[first];
        match known.iter_mut().find(|known| known.second == second && known.task == task) {
            Some(known) => known.met.add(met),
            None => {
                let mut rate = Rate::default();
                rate.add(met);
                known.push(Rescue { second, task, met: rate });
            }
        }
    }

    /// Probability that a run ends within `limit`.
    pub fn within(&self, version: VersionIx, task: TaskIx, limit: Duration) -> f64 {
        let service = &self.of(version, task).service;
        let total = service.total();
        if total >= TIME_PRIOR_FADED {
            return service.within(limit) / total;
        }
        let prior = self.prior_within(version, task, limit);
        (service.within(limit) + prior * TIME_PRIOR_WEIGHT) / (total + TIME_PRIOR_WEIGHT)
    }

    /// Probability that an answer to a task of the usual deadline is late.
    pub fn usually_late(&self, version: VersionIx, task: TaskIx) -> f64 {
        let known = self.tasks.get(task).filter(|known| known.deadline_ms.is_known());
        let deadline_ms = known.map(|known| known.deadline_ms.or(0.0));
        deadline_ms.map_or(0.0, |ms| 1.0 - self.within(version, task, from_ms(ms)))
    }

    /// Takes in the time that a caller allowed.
    pub fn add_deadline(&mut self, task: TaskIx, allowed: Duration) {
        self.task_mut(task).deadline_ms.add(allowed.as_secs_f64() * 1e3);
    }

    /// What another version's times on the task say, scaled by how the two compare elsewhere.
    fn prior_within(&self, version: VersionIx, task: TaskIx, limit: Duration) -> f64 {
        let anchor = self.tasks.get(task).and_then(|known| known.anchor);
        let Some(anchor) = anchor.filter(|anchor| *anchor != version) else {
            return TIME_PRIOR_ON_TIME;
        };
        let slower = self.slower(version, anchor);
        let service = &self.of(anchor, task).service;
        let hits = service.within(limit.div_f64(slower)) + TIME_PRIOR_ON_TIME;
        hits / (service.total() + 1.0)
    }

    /// How many times slower a version is than another one.
    fn slower(&self, version: VersionIx, other: VersionIx) -> f64 {
        let seen = |version| self.version(version).is_some_and(|v| v.service_ms.is_known());
        let ratio = if seen(version) && seen(other) {
            self.service_ms(version) / self.service_ms(other).max(1.0)
        } else {
            let guess = |version| self.version(version).map_or(1.0, |v| v.guessed_slowness);
            guess(version) / guess(other)
        };
        ratio.clamp(0.1, 10.0)
    }

    fn task_mut(&mut self, task: TaskIx) -> &mut Task {
        if self.tasks.len() <= task {
            self.tasks.resize_with(task + 1, Task::default);
        }
        &mut self.tasks[task]
    }

    /// Expected cost of a run.
    pub fn cost(&self, version: VersionIx, task: TaskIx, prompt_tokens: u64) -> f64 {
        let output = self.of(version, task).output_tokens.or(OUTPUT_PRIOR_TOKENS);
        let usage = TokenUsage { prompt_tokens, output_tokens: output as u64 };
        self.price(version).cost(usage)
    }

    /// Mean service time of a version over all tasks, in milliseconds.
    pub fn service_ms(&self, version: VersionIx) -> f64 {
        self.version(version)
            .map_or(SERVICE_PRIOR_MS, |known| known.service_ms.or(SERVICE_PRIOR_MS))
    }

    /// Mean service time of a version on one task, in milliseconds.
    pub fn service_ms_on(&self, version: VersionIx, task: TaskIx) -> f64 {
        self.of(version, task).service_ms.or(self.service_ms(version))
    }

    /// Takes in a run that ended whole.
    pub fn add_run(&mut self, version: VersionIx, task: TaskIx, tokens: u64, service: Duration) {
        let known = self.of_mut(version, task);
        known.service.add(service);
        known.service_ms.add(service.as_secs_f64() * 1e3);
        known.output_tokens.add(tokens as f64);
        known.failures.add(false);
        self.version_mut(version).service_ms.add(service.as_secs_f64() * 1e3);
        self.choose_anchor(version, task);
    }

    fn choose_anchor(&mut self, version: VersionIx, task: TaskIx) {
        let total = |version| self.of(version, task).service.total();
        let current = self.tasks.get(task).and_then(|known| known.anchor);
        if current.is_none_or(|anchor| total(version) > total(anchor)) {
            self.task_mut(task).anchor = Some(version);
        }
    }

    /// Takes in a run that was cut short after a time; it would have taken longer.
    pub fn add_unfinished(&mut self, version: VersionIx, task: TaskIx, at_least: Duration) {
        const LIKELY_FACTOR: f64 = 1.3;
        self.of_mut(version, task).service.add(at_least.mul_f64(LIKELY_FACTOR));
    }

    /// Forgets a version, so that a name used again starts anew.
    pub fn forget(&mut self, version: VersionIx) {
        if let Some(Some(known)) = self.versions.get_mut(version) {
            known.tasks.clear();
            known.service_ms = RunningMean::default();
        }
        if let Some(known) = self.rescues.get_mut(version) {
            known.clear();
        }
        self.rescues.iter_mut().for_each(|known| known.retain(|k| k.second != version));
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
            guessed_slowness: 1.0,
            price_rank: 0.5,
            service_ms: RunningMean::default(),
            tasks: Vec::new(),
        })
    }
}

/// Cost of a run of ordinary size, for ordering versions by price.
pub fn reference_cost(price: &Price) -> f64 {
    const USAGE: TokenUsage = TokenUsage { prompt_tokens: 1_000, output_tokens: 300 };
    price.cost(USAGE)
}
