//! Settings of an entry that reaches backend servers directly.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, RegionId};

use crate::{
    error::{ConfigError, Problem},
    membership::MembershipSettings,
    raw::RawFile,
    shared::{ADDRESS, StoreSettings},
};

/// Share of the key bound that is kept back for the way from this process to a backend server.
const KEY_BOUND_MARGIN: f64 = 0.1;

/// Longest time for which a key is honoured without a confirmation, in milliseconds, where the
/// deployment puts service before strictness. Outages of the store that last minutes are rarer
/// than those of seconds, and a key taken away because it leaked must not outlive one by long.
const LENIENT_KEY_BOUND_MS: u64 = 60_000;

/// Time between two words of a server on itself where nothing is told, in milliseconds: what all
/// deployments of the users have.
const DEFAULT_HEARTBEAT_MS: f64 = 1_200.0;

/// Time for which the reporter of usage is not passed over where nothing is told, in milliseconds.
const DEFAULT_REPORTER_LEASE_MS: u64 = 3_000;
/// Length of the windows of usage where nothing is told, in seconds.
const DEFAULT_REPORT_INTERVAL_S: f64 = 5.0;
/// Time after a window's end by which its report is due where nothing is told, in seconds.
const DEFAULT_USAGE_DELAY_S: f64 = 10.0;
/// Shortest such time: counts take a second to be gathered, and two calls must fit in behind.
const SHORTEST_USAGE_DELAY: Duration = Duration::from_secs(2);

/// Time in which a data centre must be left where that cannot be read, in milliseconds.
const DEFAULT_EVACUATION_MS: u64 = 5_000;

/// Everything a direct entry learns from its file.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of this process in logs.
    pub name: String,
    /// Data centre it runs in.
    pub data_centre: String,
    /// Region of each data centre, as far as it is told.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this process is ready.
    pub readiness: SocketAddr,
    /// Where counters are told, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where other entries ask for changes; without it, this entry watches the store itself.
    pub peers: Option<SocketAddr>,
    /// Megabits a second that the machine's link carries; 0 if that is not known.
    pub link_mbps: u32,
    /// How it learns from other entries.
    pub membership: MembershipSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Time after the last confirmation by the store for which the state counts as its own.
    pub state_bound: Duration,
    /// Longest time a key may be honoured after the last confirmation by the store.
    pub key_bound: Duration,
    /// Limits on what is sent to a second backend server.
    pub retries: RetrySettings,
    /// Mechanisms of the decision that an operator may switch off.
    pub policy: PolicySettings,
    /// How new versions are brought in.
    pub roll_out: RollOutSettings,
    /// What servers that are cold may get; without it none is held back.
    pub warm_up: Option<WarmUpSettings>,
    /// Calls to the platform that one entry makes for all; without it there are none.
    pub usage: Option<UsageSettings>,
    /// Time from the signal to stop until the process is ended from outside.
    pub grace: Duration,
    /// Time after its last request for which a session lasts.
    pub session_ttl: Duration,
    /// Lines that may be logged in a second.
    pub log_lines_per_s: u32,
}

/// Widest link that is told apart, in megabits a second; a machine's own carry up to a hundredth.
const WIDEST_LINK_MBPS: f64 = 1_000_000.0;

/// `[retries]`: sends beyond each request's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Further sends as a share of the requests in the window.
    pub ratio: f64,
    /// Further sends in the window beyond that share, for all entries together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// `[policy]`: mechanisms of the decision, all on unless switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// Requests that share a part of their prompt go to the server that hashing names for it.
    pub named_servers: bool,
    /// A server whose answers came late costs as much more for a while.
    pub delays: bool,
    /// A server's own word on its load counts.
    pub told_loads: bool,
    /// Times of engines are learned from answers.
    pub learned_engines: bool,
    /// What a larger model's confidence adds to a smaller one's is learned.
    pub learned_lifts: bool,
    /// Servers' time has a price under strain.
    pub time_price: bool,
    /// Servers are told the rank of a request, shortest first.
    pub ranks: bool,
    /// A repeatable request is tried elsewhere while its server is silent.
    pub tries_elsewhere: bool,
    /// A stream that pauses too long is resumed elsewhere.
    pub leaves_silent_streams: bool,
    /// Calls that must be over in time are taken late in a planned stop.
    pub late_calls: bool,
}

/// `[roll_out]`: limits while a version is on trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RollOutSettings {
    /// Largest share of a service's requests that may reach a version on trial.
    pub exposure: f64,
}

/// `[warm_up]`: requests that a server may get while it is cold, from all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpSettings {
    /// Factor on the requests a second that the configuration says it bears.
    pub overshoot: f64,
    /// Requests in a second on top of that.
    pub tolerance: f64,
    /// Time between two words of a server on itself.
    pub heartbeat: Duration,
}

/// `[usage]`: calls to the platform that one entry makes for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Where the platform takes them.
    pub address: SocketAddr,
    /// Time for which a holder is not passed over.
    pub lease: Duration,
    /// Length of the windows in which usage is counted.
    pub report_interval: Duration,
    /// Time after a window's end by which its report is due.
    pub usage_delay: Duration,
}

impl TryFrom<RawFile> for DirectSettings {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let settings = read(&mut file);
        file.finish(settings)
    }
}

/// The width of the link; a template may leave it blank, or tell it with a fraction.
fn read_link(file: &mut RawFile) -> u32 {
    match file.text("direct", "link_mbps") {
        Some(text) if !text.trim().is_empty() => {
            let expected = "megabits a second from 0 to 1000000";
            let range = (0.0, WIDEST_LINK_MBPS);
            // NB: within the range every whole part fits.
            file.within("direct", "link_mbps", expected, range, 0.0) as u32
        }
        _ => 0,
    }
}

fn read(file: &mut RawFile) -> Option<DirectSettings> {
    let name = file.required("direct", "name", "a name");
    let data_centre = file.required("direct", "data_centre", "a name");
    let regions = read_regions(file);
    let callers = file.required("direct", "callers", ADDRESS);
    let readiness = file.required("direct", "readiness", ADDRESS);
    let metrics = file.optional("direct", "metrics", ADDRESS);
    let peers = file.optional("direct", "peers", ADDRESS);
    let link_mbps = read_link(file);
    let (state_bound, key_bound) = read_bounds(file);
    let grace = file.seconds("direct", "grace_s", 8.0);
    let session_ttl = file.seconds("direct", "session_ttl_s", 5.0);
    let lines = "a number of lines from 1 to 100000";
    let log_lines_per_s = file.within("direct", "log_lines_per_s", lines, (1, 100_000), 200);
    let retries = read_retries(file);
    let policy = read_policy(file);
    let share = "a share from 0 to 1";
    let exposure = file.within("roll_out", "exposure", share, (0.0, 1.0), 0.1);
    let warm_up = read_warm_up(file);
    let usage = read_usage(file);
    let membership = MembershipSettings::read(file, state_bound);
    check_evacuation(file, &membership);
    let store = StoreSettings::read(file);
    Some(DirectSettings {
        name: name?,
        data_centre: data_centre?,
        regions,
        callers: callers?,
        readiness: readiness?,
        metrics,
        peers,
        link_mbps,
        membership,
        store: store?,
        state_bound,
        key_bound,
        retries,
        policy,
        roll_out: RollOutSettings { exposure },
        warm_up,
        usage,
        grace,
        session_ttl,
        log_lines_per_s,
    })
}

/// Region of each data centre, as `DATA CENTRE:REGION` by commas. A template may leave it blank, or fill it in
/// as a table in JSON, which has the same pairs in quotes and braces.
fn read_regions(file: &mut RawFile) -> BTreeMap<DataCentreId, RegionId> {
    let text = file.text("direct", "regions").unwrap_or_default();
    let bare = text.trim().trim_start_matches('{').trim_end_matches('}');
    let mut regions = BTreeMap::new();
    for pair in RawFile::items(bare) {
        let unquoted = |name: &str| name.trim().trim_matches('"').to_owned();
        match pair.split_once(':') {
            Some((data_centre, region)) => {
                regions.insert(unquoted(data_centre), unquoted(region));
            }
            None => {
                let expected = "pairs of a data centre and its region, as DATA CENTRE:REGION";
                file.fault("direct", "regions", Problem::Invalid { found: pair, expected });
            }
        }
    }
    regions
}

/// Bounds of the state's age and of the age at which keys are still honoured.
fn read_bounds(file: &mut RawFile) -> (Duration, Duration) {
    let strict = file.millis("direct", "key_bound_ms", 5_000).mul_f64(1.0 - KEY_BOUND_MARGIN);
    let is_strict = file.or_if_blank("direct", "strict_keys", "true or false", true);
    let lenient = file.millis("direct", "lenient_key_bound_ms", LENIENT_KEY_BOUND_MS);
    let key_bound = if is_strict { strict } else { lenient.max(strict) };
    (strict, key_bound)
}

fn read_policy(file: &mut RawFile) -> PolicySettings {
    let mut is_on = |key| file.or("policy", key, "true or false", true);
    PolicySettings {
        named_servers: is_on("named_servers"),
        delays: is_on("delays"),
        told_loads: is_on("told_loads"),
        learned_engines: is_on("learned_engines"),
        learned_lifts: is_on("learned_lifts"),
        time_price: is_on("time_price"),
        ranks: is_on("ranks"),
        tries_elsewhere: is_on("tries_elsewhere"),
        leaves_silent_streams: is_on("leaves_silent_streams"),
        late_calls: is_on("late_calls"),
    }
}

/// The bounds of cold servers; a template leaves them blank where there are none.
fn read_warm_up(file: &mut RawFile) -> Option<WarmUpSettings> {
    let overshoot = read_if_told(file, "overshoot", "a factor from 0 to 100", (0.0, 100.0));
    let tolerance = read_if_told(file, "tolerance", "a number from 0 to 1000000", (0.0, 1e6));
    let expected = "milliseconds from 1 to 60000";
    let heartbeat_ms = read_if_told(file, "heartbeat_ms", expected, (1.0, 60_000.0));
    let (overshoot, tolerance) = match (overshoot, tolerance) {
        (Some(overshoot), Some(tolerance)) => (overshoot, tolerance),
        (None, None) => return None,
        // NB: half a bound would be no bound, or one that lets nothing through.
        (overshoot, _) => {
            let missing = if overshoot.is_none() { "overshoot" } else { "tolerance" };
            let expected = "a number, since the other half of the bound is told";
            file.fault("warm_up", missing, Problem::Missing { expected });
            return None;
        }
    };
    let heartbeat_ms = heartbeat_ms.unwrap_or(DEFAULT_HEARTBEAT_MS);
    let heartbeat = Duration::from_secs_f64(heartbeat_ms / 1_000.0);
    Some(WarmUpSettings { overshoot, tolerance, heartbeat })
}

/// A number of `[warm_up]`, if the deployment tells it.
fn read_if_told(
    file: &mut RawFile,
    key: &str,
    expected: &'static str,
    bounds: (f64, f64),
) -> Option<f64> {
    let text = file.text("warm_up", key)?;
    let is_told = !text.trim().is_empty();
    is_told.then(|| file.within("warm_up", key, expected, bounds, bounds.0))
}

/// Checks that a data centre is left in time: evacuations travel as configurations do.
fn check_evacuation(file: &mut RawFile, membership: &MembershipSettings) {
    let found = file.text("membership", "evacuation_ms").unwrap_or_default();
    if found.trim().is_empty() {
        return;
    }
    let bound = file.millis("membership", "evacuation_ms", DEFAULT_EVACUATION_MS);
    if membership.times.worst_case_propagation() > bound {
        let expected = "a time that the ways of a change fit into, as for propagation_ms";
        file.fault("membership", "evacuation_ms", Problem::Invalid { found, expected });
    }
}

/// Tasks among `tasks` that this entry takes part in.
const USAGE_TASK: &str = "metering";

/// The calls that the platform asks for; a template leaves them blank where there are none.
fn read_usage(file: &mut RawFile) -> Option<UsageSettings> {
    let tasks = file.text("usage", "tasks").unwrap_or_default();
    let lease = millis_if_told(file, "lease_ms", DEFAULT_REPORTER_LEASE_MS);
    let report_interval = seconds_if_told(file, "report_interval_s", DEFAULT_REPORT_INTERVAL_S);
    let usage_delay = seconds_if_told(file, "usage_delay_s", DEFAULT_USAGE_DELAY_S);
    let is_asked = RawFile::items(&tasks).iter().any(|task| task == USAGE_TASK);
    if !is_asked {
        file.mark_used("usage", "address");
        return None;
    }
    let address = file.required("usage", "address", ADDRESS)?;
    if usage_delay < SHORTEST_USAGE_DELAY {
        let found = file.text("usage", "usage_delay_s").unwrap_or_default();
        let expected = "a time in which counts can be gathered, 2 seconds or more";
        file.fault("usage", "usage_delay_s", Problem::Invalid { found, expected });
    }
    Some(UsageSettings { address, lease, report_interval, usage_delay })
}

fn is_blank(file: &mut RawFile, key: &str) -> bool {
    file.text("usage", key).unwrap_or_default().trim().is_empty()
}

fn millis_if_told(file: &mut RawFile, key: &str, default_ms: u64) -> Duration {
    if is_blank(file, key) {
        return Duration::from_millis(default_ms);
    }
    file.millis("usage", key, default_ms)
}

fn seconds_if_told(file: &mut RawFile, key: &str, default_s: f64) -> Duration {
    if is_blank(file, key) {
        return Duration::from_secs_f64(default_s);
    }
    file.seconds("usage", key, default_s)
}

fn read_retries(file: &mut RawFile) -> RetrySettings {
    let share = "a share from 0 to 10";
    let number = "a number from 0 to 1000000";
    RetrySettings {
        ratio: file.within("retries", "ratio", share, (0.0, 10.0), 0.1),
        extra: file.within("retries", "extra", number, (0.0, 1e6), 10.0),
        window: file.seconds("retries", "window_s", 10.0),
    }
}
