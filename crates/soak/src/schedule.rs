//! Which faults come when: series of a kind, drawn from a seed, that overlap.

use std::{fmt, time::Duration};

use pondwalk_standin::{
    platform_server::{RATE_LIMIT_DURATION, REJECTION_DURATION},
    platform_store::FaultModeOrder,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use crate::{
    checks::COLD_TIME,
    deployment::{DATA_CENTRES, SERVER_RESTART},
    options::Size,
    records::Route,
};

/// Time without faults at the start, in which all is listed.
const CALM_START: Duration = Duration::from_secs(3);
/// Time without faults at the end, in which service must recover.
pub const CALM_END: Duration = Duration::from_secs(12);
/// Mean time between the starts of two series.
const BETWEEN_SERIES: Duration = Duration::from_millis(2_500);
/// Time in which an entry that stops, or a server that leaves, has gone.
const LONGEST_LEAVING: Duration = Duration::from_secs(8);
/// Time in which an entry that was killed serves again.
const RESTART: Duration = Duration::from_secs(3);
/// Longest disturbance of the store. Keys are refused from 4.5 s on.
const LONGEST_WEATHER_MS: u64 = 6_000;

/// One fault, or one planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Act {
    /// An entry is stopped as planned, and started again.
    Stop(usize),
    /// An entry is killed, and started again.
    Kill(usize),
    /// An entry stands still for a while.
    Pause(usize, Duration),
    /// Calls to the store fare so for a while.
    Weather(FaultModeOrder, Duration),
    /// The store forgets its history.
    Forget,
    /// The store is away for a while, and comes back from a copy that is older by the second time.
    Restore(Duration, Duration),
    /// A configuration with another key, and without the oldest.
    Configure,
    /// All open connections to the store go silent; new ones work.
    SilenceStore,
    /// All open connections to the store are reset.
    ResetStore,
    /// All open connections to a server go silent; new ones work.
    SilenceServer(usize),
    /// A server says that it leaves, goes, and another comes in its place.
    Replace(usize),
    /// A server says in its answers alone that it leaves, goes, and another comes in its place.
    Leave(usize),
    /// A server turns everything away for a while, and asks for pauses.
    TurnAway(usize),
    /// A server names a rate limit in its answers for a while.
    Limit(usize),
    /// A server turns cold, and says so.
    Cool(usize),
    /// A server is killed, and starts again after a while under the identity that it had.
    KillServer(usize, Duration),
    /// A data centre is evacuated for a while.
    Evacuate(usize, Duration),
    /// Another writer leaves entries that cannot be read among the servers'.
    Litter,
    /// A caller brings a request again and again, for a while, that ends every server that runs it.
    EndServers(Route, Duration),
}

/// When it happens, from the arrival of the first callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Its time.
    pub at: Duration,
    /// What happens.
    pub act: Act,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s  {:?}", self.at.as_secs_f64(), self.act)
    }
}

/// Draws the steps of a run of this length.
pub fn draw(seed: u64, length: Duration, size: Size) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = length.saturating_sub(CALM_END);
    let mut steps = Vec::new();
    let mut at = CALM_START;
    while at < end {
        series(&mut rng, at, size, &mut steps);
        at += BETWEEN_SERIES.mul_f64(rng.random_range(0.2..1.8));
    }
    steps.retain(|step| step.at + lasts(step.act) < end);
    steps.sort_by_key(|step| step.at);
    steps
}

/// How long it disturbs at most.
fn lasts(act: Act) -> Duration {
    match act {
        Act::Pause(_, time) | Act::Weather(_, time) | Act::Evacuate(_, time) => time,
        Act::Restore(away, _) => away,
        // NB: the last server that ends is back, and cold for a while.
        Act::EndServers(_, time) => time + SERVER_RESTART + COLD_TIME,
        Act::KillServer(_, time) => time + COLD_TIME,
        Act::Cool(_) => COLD_TIME,
        Act::Stop(_) | Act::Replace(_) | Act::Leave(_) => LONGEST_LEAVING,
        Act::TurnAway(_) => REJECTION_DURATION,
        Act::Limit(_) => RATE_LIMIT_DURATION,
        Act::Kill(_) => RESTART,
        Act::Forget | Act::Configure | Act::Litter => Duration::ZERO,
        Act::SilenceStore | Act::ResetStore | Act::SilenceServer(_) => Duration::ZERO,
    }
}

fn series(rng: &mut Pcg64Mcg, from: Duration, size: Size, steps: &mut Vec<Step>) {
    let kinds: [fn(&mut Pcg64Mcg, Size) -> Act; 19] = [
        |rng, size| Act::Stop(rng.random_range(0..size.entries)),
        |rng, size| Act::Kill(rng.random_range(0..size.entries)),
        |rng, size| {
            let time = Duration::from_millis(rng.random_range(200..4_000));
            Act::Pause(rng.random_range(0..size.entries), time)
        },
        |rng, _| weather(rng),
        |_, _| Act::Forget,
        |rng, _| restoration(rng),
        |_, _| Act::Configure,
        |_, _| Act::SilenceStore,
        |_, _| Act::ResetStore,
        |rng, size| Act::SilenceServer(rng.random_range(0..2 * size.servers)),
        |rng, size| Act::Replace(rng.random_range(0..2 * size.servers)),
        |rng, size| Act::Leave(rng.random_range(0..2 * size.servers)),
        |rng, size| Act::TurnAway(rng.random_range(0..2 * size.servers)),
        |rng, size| Act::Limit(rng.random_range(0..2 * size.servers)),
        |rng, size| Act::Cool(rng.random_range(0..2 * size.servers)),
        |rng, size| {
            let time = Duration::from_millis(rng.random_range(100..2_500));
            Act::KillServer(rng.random_range(0..2 * size.servers), time)
        },
        |rng, _| {
            let time = Duration::from_millis(rng.random_range(1_000..8_000));
            Act::Evacuate(rng.random_range(0..DATA_CENTRES), time)
        },
        |_, _| Act::Litter,
        |rng, _| {
            let time = Duration::from_millis(rng.random_range(3_000..12_000));
            Act::EndServers(*Route::ALL.choose(rng).unwrap_or(&Route::Again), time)
        },
    ];
    let Some(kind) = kinds.choose(rng) else { return };
    let mut at = from;
    for _ in 0..rng.random_range(1..=3) {
        steps.push(Step { at, act: kind(rng, size) });
        at += Duration::from_millis(rng.random_range(100..3_000));
    }
}

fn restoration(rng: &mut Pcg64Mcg) -> Act {
    let away = Duration::from_millis(rng.random_range(0..LONGEST_WEATHER_MS / 2));
    let age = Duration::from_millis(rng.random_range(500..LONGEST_WEATHER_MS));
    Act::Restore(away, age)
}

fn weather(rng: &mut Pcg64Mcg) -> Act {
    let ms = rng.random_range(300..LONGEST_WEATHER_MS);
    let order = match rng.random_range(0..4) {
        0 => FaultModeOrder::Refused,
        1 => FaultModeOrder::Silent { ms: 30_000 },
        2 => FaultModeOrder::Late { ms: rng.random_range(50..4_000) },
        _ => FaultModeOrder::AnswersLost,
    };
    Act::Weather(order, Duration::from_millis(ms))
}
