//! Generates the fault schedule of a run: overlapping series of actions, drawn from a seed.

use std::{fmt, time::Duration};

use pondwalk_standin::{
    platform_server::{FLOOD_DURATION, RATE_LIMIT_DURATION, REJECTION_DURATION},
    platform_store::FaultModeOrder,
};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use crate::{
    checks::WARM_UP_TIME,
    deployment::{DATA_CENTRES, ODD_VALUE_COUNT, SERVER_RESTART},
    options::Size,
    proxy::Rejection,
    records::Route,
};

/// Fault-free time at the start, in which all servers and entries become listed.
const FAULT_FREE_START: Duration = Duration::from_secs(3);
/// Fault-free time at the end, in which service must recover.
pub const FAULT_FREE_END: Duration = Duration::from_secs(12);
/// Mean time between the starts of two series.
const MEAN_SERIES_INTERVAL: Duration = Duration::from_millis(2_500);
/// Maximum time that a stopping entry or a draining server takes to exit.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(8);
/// Time until a killed entry serves again.
const ENTRY_RESTART: Duration = Duration::from_secs(3);
/// Distinguishes the random numbers of rejections from those of the other steps.
const REJECTION_SEED: u64 = 0x7265_6a65_6374;
/// Distinguishes the random numbers of odd configurations from those of the other steps.
const ODD_CONFIGURATION_SEED: u64 = 0x636f_6e66_6967;
/// Mean time between two odd configurations.
const MEAN_ODD_INTERVAL: Duration = Duration::from_secs(6);
/// Share of them of which nothing can be read.
const UNREADABLE_SHARE: f64 = 0.25;
/// Time for which such a configuration stays, in milliseconds: longer than keys are accepted.
const MIN_UNREADABLE_MS: u64 = 6_500;
const MAX_UNREADABLE_MS: u64 = 9_000;
/// Maximum length of a store fault, in milliseconds. Entries refuse keys after 4.5 s.
const MAX_STORE_FAULT_MS: u64 = 6_000;

/// A fault or a planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Stops an entry gracefully and starts it again.
    Stop(usize),
    /// Kills an entry and starts it again.
    Kill(usize),
    /// Suspends an entry for this time.
    Pause(usize, Duration),
    /// Applies a fault mode to the store for this time.
    Weather(FaultModeOrder, Duration),
    /// Makes the store discard its change history.
    Forget,
    /// Makes the store unavailable for the first time, then restores a copy that is older by the second time.
    Restore(Duration, Duration),
    /// Writes a configuration that adds a key and removes the oldest one.
    Configure,
    /// Like [`Action::Configure`], with odd values, the first of which has this index.
    ConfigureOddly(usize),
    /// Writes a configuration of which nothing can be read, the one of this index, and after this time one that can
    /// be read.
    ConfigureUnreadably(usize, Duration),
    /// Stalls all open connections to the store; new ones work.
    SilenceStore,
    /// Resets all open connections to the store.
    ResetStore,
    /// Stalls all open connections to a server; new ones work.
    SilenceServer(usize),
    /// Announces in the store that a server drains, and replaces the server.
    Replace(usize),
    /// Announces only in a server's response headers that it drains, and replaces the server.
    Leave(usize),
    /// Makes a server reject all requests for a while and ask for backoff.
    TurnAway(usize),
    /// Makes a server announce a rate limit in its responses for a while.
    Limit(usize),
    /// Makes a server cold, which it publishes in the store.
    Cool(usize),
    /// Kills a server and restarts it under the same id after this time.
    KillServer(usize, Duration),
    /// Evacuates a data centre for this time.
    Evacuate(usize, Duration),
    /// Writes unreadable records among the servers' records, as another writer might.
    Litter,
    /// Repeats, for this time, a request that crashes every server that runs it.
    EndServers(Route, Duration),
    /// Sends, for this time, different requests that share a prompt part which crashes servers.
    CrashByPart(Duration),
    /// Makes a server's responses endless for a while.
    FloodFromServer(usize),
    /// Makes the store's responses endless for this time.
    FloodFromStore(Duration),
    /// Sends several reload signals to an entry.
    Reload(usize),
    /// Kills an entry, starts it again and sends it reload signals during the start.
    SignalDuringStart(usize),
    /// Makes the store reject this many entries from an index on, in this way and for this time, while
    /// it serves the others.
    RejectEntries(usize, usize, Rejection, Duration),
    /// Removes a server's record without an announcement, and replaces the server.
    Vanish(usize),
    /// Concentrates the new connections of callers on one entry for this time.
    Concentrate(usize, Duration),
}

/// An action and its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// Time since the first callers started.
    pub at: Duration,
    /// Action to execute.
    pub action: Action,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:7.3} s  {:?}", self.at.as_secs_f64(), self.action)
    }
}

/// Generates the steps of a run of this length, sorted by time.
pub fn generate(seed: u64, length: Duration, size: Size) -> Vec<Step> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let end = length.saturating_sub(FAULT_FREE_END);
    let mut steps = Vec::new();
    let mut at = FAULT_FREE_START;
    while at < end {
        push_series(&mut rng, at, size, &mut steps);
        at += MEAN_SERIES_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
    }
    push_rejections(seed, size, end, &mut steps);
    push_odd_configurations(seed, end, &mut steps);
    steps.retain(|step| step.at + max_duration(step.action) < end);
    steps.sort_by_key(|step| step.at);
    steps
}

/// Returns the maximum time for which an action disturbs the deployment.
fn max_duration(action: Action) -> Duration {
    match action {
        Action::Pause(_, time)
        | Action::Weather(_, time)
        | Action::FloodFromStore(time)
        | Action::Evacuate(_, time) => time,
        Action::Restore(outage, _) => outage,
        Action::ConfigureUnreadably(_, time) => time,
        // The server that crashes last must restart and warm up.
        Action::EndServers(_, time) | Action::CrashByPart(time) => {
            time + SERVER_RESTART + WARM_UP_TIME
        }
        Action::Concentrate(_, time) | Action::RejectEntries(_, _, _, time) => time,
        Action::KillServer(_, time) => time + WARM_UP_TIME,
        Action::Cool(_) => WARM_UP_TIME,
        Action::Stop(_) | Action::Replace(_) | Action::Leave(_) | Action::Vanish(_) => {
            MAX_DRAIN_TIME
        }
        Action::TurnAway(_) => REJECTION_DURATION,
        Action::Limit(_) => RATE_LIMIT_DURATION,
        Action::FloodFromServer(_) => FLOOD_DURATION,
        Action::Kill(_) | Action::SignalDuringStart(_) => ENTRY_RESTART,
        Action::Forget | Action::Configure | Action::Litter | Action::Reload(_) => Duration::ZERO,
        Action::ConfigureOddly(_) => Duration::ZERO,
        Action::SilenceStore | Action::ResetStore | Action::SilenceServer(_) => Duration::ZERO,
    }
}

fn push_series(rng: &mut Pcg64Mcg, from: Duration, size: Size, steps: &mut Vec<Step>) {
    let kinds: [fn(&mut Pcg64Mcg, Size) -> Action; 25] = [
        |rng, size| Action::Stop(rng.random_range(0..size.entries)),
        |rng, size| Action::Kill(rng.random_range(0..size.entries)),
        |rng, size| {
            let time = Duration::from_millis(rng.random_range(200..4_000));
            Action::Pause(rng.random_range(0..size.entries), time)
        },
        |rng, _| fault_mode(rng),
        |_, _| Action::Forget,
        |rng, _| restoration_action(rng),
        |_, _| Action::Configure,
        |_, _| Action::SilenceStore,
        |_, _| Action::ResetStore,
        |rng, size| Action::SilenceServer(rng.random_range(0..2 * size.servers)),
        |rng, size| Action::Replace(rng.random_range(0..2 * size.servers)),
        |rng, size| Action::Leave(rng.random_range(0..2 * size.servers)),
        |rng, size| Action::TurnAway(rng.random_range(0..2 * size.servers)),
        |rng, size| Action::Limit(rng.random_range(0..2 * size.servers)),
        |rng, size| Action::Cool(rng.random_range(0..2 * size.servers)),
        |rng, size| {
            let time = Duration::from_millis(rng.random_range(100..2_500));
            Action::KillServer(rng.random_range(0..2 * size.servers), time)
        },
        |rng, _| {
            let time = Duration::from_millis(rng.random_range(1_000..8_000));
            Action::Evacuate(rng.random_range(0..DATA_CENTRES), time)
        },
        |_, _| Action::Litter,
        |rng, _| {
            let time = Duration::from_millis(rng.random_range(3_000..12_000));
            Action::EndServers(*Route::ALL.choose(rng).unwrap_or(&Route::Again), time)
        },
        |rng, _| Action::CrashByPart(Duration::from_millis(rng.random_range(6_000..15_000))),
        |rng, size| {
            let time = Duration::from_millis(rng.random_range(2_000..8_000));
            Action::Concentrate(rng.random_range(0..size.entries), time)
        },
        |rng, size| Action::FloodFromServer(rng.random_range(0..2 * size.servers)),
        |rng, _| {
            let ms = rng.random_range(300..MAX_STORE_FAULT_MS);
            Action::FloodFromStore(Duration::from_millis(ms))
        },
        |rng, size| Action::Reload(rng.random_range(0..size.entries)),
        |rng, size| Action::SignalDuringStart(rng.random_range(0..size.entries)),
    ];
    let Some(kind) = kinds.choose(rng) else { return };
    let mut at = from;
    for _ in 0..rng.random_range(1..=3) {
        steps.push(Step { at, action: kind(rng, size) });
        at += Duration::from_millis(rng.random_range(100..3_000));
    }
}

/// Adds times in which the store rejects some entries while servers leave without an announcement.
///
/// They have random numbers of their own, so that the other steps of a seed stay as they are.
fn push_rejections(seed: u64, size: Size, end: Duration, steps: &mut Vec<Step>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ REJECTION_SEED);
    let mut at = FAULT_FREE_START;
    while at < end {
        let time = Duration::from_millis(rng.random_range(1_000..MAX_STORE_FAULT_MS));
        let kinds = [Rejection::Busy, Rejection::Reset, Rejection::Silent];
        let rejection = *kinds.choose(&mut rng).unwrap_or(&Rejection::Busy);
        let count = rng.random_range(1..size.entries.max(2));
        let first = rng.random_range(0..size.entries);
        steps.push(Step { at, action: Action::RejectEntries(first, count, rejection, time) });
        for _ in 0..rng.random_range(0..=2) {
            let at = at + time.mul_f64(rng.random_range(0.0..1.2));
            steps.push(Step { at, action: Action::Vanish(rng.random_range(0..2 * size.servers)) });
        }
        at += time + MEAN_SERIES_INTERVAL.mul_f64(rng.random_range(0.2..3.0));
    }
}

/// Adds configurations with odd values, and some of which nothing can be read.
///
/// They have random numbers of their own, like [`push_rejections`].
fn push_odd_configurations(seed: u64, end: Duration, steps: &mut Vec<Step>) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ ODD_CONFIGURATION_SEED);
    let mut at = FAULT_FREE_START;
    while at < end {
        let index = rng.random_range(0..ODD_VALUE_COUNT);
        let action = match rng.random_bool(UNREADABLE_SHARE) {
            true => {
                let ms = rng.random_range(MIN_UNREADABLE_MS..MAX_UNREADABLE_MS);
                Action::ConfigureUnreadably(index, Duration::from_millis(ms))
            }
            false => Action::ConfigureOddly(index),
        };
        steps.push(Step { at, action });
        // The next one would end its effects.
        at += max_duration(action);
        at += MEAN_ODD_INTERVAL.mul_f64(rng.random_range(0.2..1.8));
    }
}

fn restoration_action(rng: &mut Pcg64Mcg) -> Action {
    let outage = Duration::from_millis(rng.random_range(0..MAX_STORE_FAULT_MS / 2));
    let age = Duration::from_millis(rng.random_range(500..MAX_STORE_FAULT_MS));
    Action::Restore(outage, age)
}

fn fault_mode(rng: &mut Pcg64Mcg) -> Action {
    let ms = rng.random_range(300..MAX_STORE_FAULT_MS);
    let order = match rng.random_range(0..4) {
        0 => FaultModeOrder::Refused,
        1 => FaultModeOrder::Silent { ms: 30_000 },
        2 => FaultModeOrder::Late { ms: rng.random_range(50..4_000) },
        _ => FaultModeOrder::AnswersLost,
    };
    Action::Weather(order, Duration::from_millis(ms))
}
