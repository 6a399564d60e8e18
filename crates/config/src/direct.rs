//! Settings of an entry that reaches backend servers directly.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, RegionId};

use crate::{
    error::{ConfigError, Problem},
    inbound::InboundSettings,
    membership::MembershipSettings,
    raw::RawFile,
    shared::{ADDRESS, StoreSettings},
};

/// Share of the key bound that is reserved for the transit of a request to a backend server.
const KEY_BOUND_MARGIN: f64 = 0.1;

/// Default of the longest time, in milliseconds, for which a key is accepted without a confirmation if the
/// deployment prefers availability to strictness. Store outages of minutes are rarer than those of
/// seconds, and a key revoked after a leak must not stay valid for long.
const DEFAULT_LENIENT_KEY_BOUND_MS: u64 = 60_000;

/// Default time between two updates of a server's own record, in milliseconds; the value of all known
/// deployments.
const DEFAULT_HEARTBEAT_MS: u64 = 1_200;

/// Heartbeats that a backend server misses in an outage before its record may lapse.
const HEARTBEATS_TO_LAPSE: u32 = 2;

/// Default lease time of the usage reporter, in milliseconds.
const DEFAULT_REPORTER_LEASE_MS: u64 = 3_000;
/// Default length of a usage window, in seconds.
const DEFAULT_REPORT_INTERVAL_S: f64 = 5.0;
/// Default time from a window's end until its report is due, in seconds.
const DEFAULT_USAGE_DELAY_S: f64 = 10.0;
/// Shortest accepted `usage_delay_s`: gathering the counts takes a second, and two calls must follow.
const MIN_USAGE_DELAY: Duration = Duration::from_secs(2);

/// Evacuation time assumed if the setting is invalid, in milliseconds.
const DEFAULT_EVACUATION_MS: u64 = 5_000;

/// Checked settings of an entry that reaches backend servers directly.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of this process in logs.
    pub name: String,
    /// Data centre that the entry runs in.
    pub data_centre: String,
    /// Region of each data centre; data centres without a known region are absent.
    pub regions: BTreeMap<DataCentreId, RegionId>,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub readiness: SocketAddr,
    /// Address that serves the metrics, if any.
    pub metrics: Option<SocketAddr>,
    /// Address on which other entries ask for changes; without it, this entry watches the store itself.
    pub peers: Option<SocketAddr>,
    /// Bandwidth of the machine's link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// How the entry exchanges state with other entries.
    pub membership: MembershipSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Time between two renewals of a backend server's record in the store.
    pub server_heartbeat: Duration,
    /// Time after the last confirmation by the store for which the state counts as current.
    pub state_bound: Duration,
    /// Longest time for which a key is accepted after the last confirmation by the store.
    pub key_bound: Duration,
    /// Limits on sends to further backend servers.
    pub retries: RetrySettings,
    /// Mechanisms of the decision that an operator can switch off.
    pub policy: PolicySettings,
    /// Limits of roll-outs.
    pub roll_out: RollOutSettings,
    /// Request limits of cold servers; `None` for no limits.
    pub warm_up: Option<WarmUpSettings>,
    /// Usage reports, sent by one entry on behalf of all; `None` for no reports.
    pub usage: Option<UsageSettings>,
    /// Time from the stop signal until the process is killed.
    pub grace: Duration,
    /// Time for which a session lasts after its last request.
    pub session_ttl: Duration,
    /// Bounds on what is read from outside.
    pub inbound: InboundSettings,
    /// Limit on log lines per second.
    pub log_lines_per_s: u32,
}

/// Largest accepted bandwidth in Mbit/s, a hundred times that of the fastest links of machines.
const MAX_LINK_MBPS: f64 = 1_000_000.0;

/// `[retries]`: limits on sends beyond the first of each request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Further sends as a share of the requests in the window.
    pub ratio: f64,
    /// Further sends in the window beyond that share, for all entries together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

/// `[policy]`: mechanisms of the decision; all are on by default but those that say otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicySettings {
    /// Requests with a common part of their prompt prefer the server that the part hashes to.
    pub named_servers: bool,
    /// The cost of a server is raised for a while by the delay of its recent responses.
    pub delays: bool,
    /// The load that a server reports is taken into account.
    pub told_loads: bool,
    /// Service times of engines are estimated from responses.
    pub learned_engines: bool,
    /// The confidence gained by escalating to a larger model is estimated from responses.
    pub learned_lifts: bool,
    /// Server time has a price under load.
    pub time_price: bool,
    /// Requests carry a priority rank to the server, shortest first.
    pub ranks: bool,
    /// A repeatable request is sent to another server while the first does not respond.
    pub tries_elsewhere: bool,
    /// A stream that pauses for too long is resumed on another server.
    pub leaves_silent_streams: bool,
    /// Calls with a time limit are still accepted late in a planned stop.
    pub late_calls: bool,
    /// Entries exchange their work at the backend servers and decide by its sum; off by default.
    pub shared_load: bool,
    /// Requests that cannot be served in time are refused at once; off by default.
    pub admission: bool,
    /// Workspaces share a service that is overloaded; off by default.
    pub fair_shares: bool,
    /// Streams that would miss their deadline are moved to faster servers; off by default.
    pub slow_streams: bool,
}

/// `[roll_out]`: limits while a version is on trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RollOutSettings {
    /// Largest share of a service's requests that may reach a version on trial.
    pub exposure: f64,
}

/// `[warm_up]`: requests that a cold server may receive from all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpSettings {
    /// Factor on the configured requests per second of a cold server.
    pub overshoot: f64,
    /// Requests per second allowed in addition.
    pub tolerance: f64,
    /// Time between two updates of a server's own record.
    pub heartbeat: Duration,
}

/// `[usage]`: usage reports, sent to the platform by one entry on behalf of all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageSettings {
    /// Address of the platform's metering service.
    pub address: SocketAddr,
    /// Time after which another entry may replace a silent reporter.
    pub lease: Duration,
    /// Length of the windows in which usage is counted.
    pub report_interval: Duration,
    /// Time from a window's end until its report is due.
    pub usage_delay: Duration,
}

impl TryFrom<RawFile> for DirectSettings {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let settings = read(&mut file);
        file.finish(settings)
    }
}

/// Reads the link's bandwidth; a template may leave it blank or give a fraction.
fn read_link(file: &mut RawFile) -> u32 {
    match file.text("direct", "link_mbps") {
        Some(text) if !text.trim().is_empty() => {
            let expected = "megabits per second from 0 to 1000000";
            let range = (0.0, MAX_LINK_MBPS);
            // NB: every value in the range fits into a `u32`.
            file.bounded("direct", "link_mbps", expected, range, 0.0) as u32
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
    let server_heartbeat = read_server_heartbeat(file);
    let grace = file.seconds("direct", "grace_s", 8.0);
    let session_ttl = file.seconds("direct", "session_ttl_s", 5.0);
    let lines = "a number of lines from 1 to 100000";
    let log_lines_per_s = file.bounded("direct", "log_lines_per_s", lines, (1, 100_000), 200);
    let retries = read_retries(file);
    let policy = read_policy(file);
    let share = "a share from 0 to 1";
    let exposure = file.bounded("roll_out", "exposure", share, (0.0, 1.0), 0.1);
    let warm_up = read_warm_up(file);
    let usage = read_usage(file);
    let membership = MembershipSettings::read(file, state_bound, min_outage(server_heartbeat));
    check_evacuation(file, &membership);
    let store = StoreSettings::read(file);
    let inbound = InboundSettings::read(file);
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
        server_heartbeat,
        state_bound,
        key_bound,
        retries,
        policy,
        roll_out: RollOutSettings { exposure },
        warm_up,
        usage,
        grace,
        session_ttl,
        inbound,
        log_lines_per_s,
    })
}

/// Reads the region of each data centre: comma-separated pairs `DATA CENTRE:REGION`. A template may leave the value
/// blank, or fill in a flat JSON object, which has the same pairs in quotes and braces.
fn read_regions(file: &mut RawFile) -> BTreeMap<DataCentreId, RegionId> {
    let text = file.text("direct", "regions").unwrap_or_default();
    let bare = text.trim().trim_start_matches('{').trim_end_matches('}');
    let mut regions = BTreeMap::new();
    for pair in RawFile::split_list(bare) {
        let unquoted = |name: &str| name.trim().trim_matches('"').to_owned();
        match pair.split_once(':') {
            Some((data_centre, region)) => {
                regions.insert(unquoted(data_centre), unquoted(region));
            }
            None => {
                let expected = "comma-separated pairs DATA CENTRE:REGION";
                file.add_fault("direct", "regions", Problem::Invalid { found: pair, expected });
            }
        }
    }
    regions
}

/// Shortest outage of the store in which the records of backend servers may lapse.
///
/// A record lapses after three heartbeats without renewal, the first of which may have passed before
/// the outage.
pub fn min_outage(server_heartbeat: Duration) -> Duration {
    server_heartbeat * HEARTBEATS_TO_LAPSE
}

/// Reads the time between two renewals of a server's record; a template may leave it blank.
fn read_server_heartbeat(file: &mut RawFile) -> Duration {
    match file.text("direct", "server_heartbeat_ms") {
        Some(text) if !text.trim().is_empty() => {
            file.millis("direct", "server_heartbeat_ms", DEFAULT_HEARTBEAT_MS)
        }
        _ => Duration::from_millis(DEFAULT_HEARTBEAT_MS),
    }
}

/// Reads the state bound and the key bound.
fn read_bounds(file: &mut RawFile) -> (Duration, Duration) {
    let strict = file.millis("direct", "key_bound_ms", 5_000).mul_f64(1.0 - KEY_BOUND_MARGIN);
    let is_strict = file.value_or_if_blank("direct", "strict_keys", "true or false", true);
    let lenient = file.millis("direct", "lenient_key_bound_ms", DEFAULT_LENIENT_KEY_BOUND_MS);
    let key_bound = if is_strict { strict } else { lenient.max(strict) };
    (strict, key_bound)
}

fn read_policy(file: &mut RawFile) -> PolicySettings {
    let is_on = |file: &mut RawFile, key| file.value_or("policy", key, "true or false", true);
    let is_enabled = |file: &mut RawFile, key| file.value_or("policy", key, "true or false", false);
    PolicySettings {
        named_servers: is_on(file, "named_servers"),
        delays: is_on(file, "delays"),
        told_loads: is_on(file, "told_loads"),
        learned_engines: is_on(file, "learned_engines"),
        learned_lifts: is_on(file, "learned_lifts"),
        time_price: is_on(file, "time_price"),
        ranks: is_on(file, "ranks"),
        tries_elsewhere: is_on(file, "tries_elsewhere"),
        leaves_silent_streams: is_on(file, "leaves_silent_streams"),
        late_calls: is_on(file, "late_calls"),
        shared_load: is_enabled(file, "shared_load"),
        admission: is_enabled(file, "admission"),
        fair_shares: is_enabled(file, "fair_shares"),
        slow_streams: is_enabled(file, "slow_streams"),
    }
}

/// Reads the request limits of cold servers; a template leaves them blank for no limits.
fn read_warm_up(file: &mut RawFile) -> Option<WarmUpSettings> {
    let overshoot = read_optional_number(file, "overshoot", "a factor from 0 to 100", (0.0, 100.0));
    let tolerance =
        read_optional_number(file, "tolerance", "a number from 0 to 1000000", (0.0, 1e6));
    let expected = "milliseconds from 1 to 60000";
    let heartbeat_ms = read_optional_number(file, "heartbeat_ms", expected, (1.0, 60_000.0));
    let (overshoot, tolerance) = match (overshoot, tolerance) {
        (Some(overshoot), Some(tolerance)) => (overshoot, tolerance),
        (None, None) => return None,
        // NB: with a default for the missing value, there would be no limit, or one that admits nothing.
        (overshoot, _) => {
            let missing = if overshoot.is_none() { "overshoot" } else { "tolerance" };
            let expected = "a number, since overshoot and tolerance must be set together";
            file.add_fault("warm_up", missing, Problem::Missing { expected });
            return None;
        }
    };
    let heartbeat_ms = heartbeat_ms.unwrap_or(DEFAULT_HEARTBEAT_MS as f64);
    let heartbeat = Duration::from_secs_f64(heartbeat_ms / 1_000.0);
    Some(WarmUpSettings { overshoot, tolerance, heartbeat })
}

/// Reads a number of `[warm_up]`; `None` if it is absent or blank.
fn read_optional_number(
    file: &mut RawFile,
    key: &str,
    expected: &'static str,
    bounds: (f64, f64),
) -> Option<f64> {
    let text = file.text("warm_up", key)?;
    let is_set = !text.trim().is_empty();
    is_set.then(|| file.bounded("warm_up", key, expected, bounds, bounds.0))
}

/// Checks that an evacuation order can propagate within its bound: orders propagate like configurations.
fn check_evacuation(file: &mut RawFile, membership: &MembershipSettings) {
    let found = file.text("membership", "evacuation_ms").unwrap_or_default();
    if found.trim().is_empty() {
        return;
    }
    let bound = file.millis("membership", "evacuation_ms", DEFAULT_EVACUATION_MS);
    if membership.times.worst_case_propagation() > bound {
        let expected = "a time long enough for a change to propagate, as for propagation_ms";
        file.add_fault("membership", "evacuation_ms", Problem::Invalid { found, expected });
    }
}

/// The only item of `tasks` that entries perform.
const USAGE_TASK: &str = "metering";

/// Reads the settings of usage reports; a template leaves them blank for no reports.
fn read_usage(file: &mut RawFile) -> Option<UsageSettings> {
    let tasks = file.text("usage", "tasks").unwrap_or_default();
    let lease = millis_or_default(file, "lease_ms", DEFAULT_REPORTER_LEASE_MS);
    let report_interval = seconds_or_default(file, "report_interval_s", DEFAULT_REPORT_INTERVAL_S);
    let usage_delay = seconds_or_default(file, "usage_delay_s", DEFAULT_USAGE_DELAY_S);
    let is_enabled = RawFile::split_list(&tasks).iter().any(|task| task == USAGE_TASK);
    if !is_enabled {
        file.mark_used("usage", "address");
        return None;
    }
    let address = file.required("usage", "address", ADDRESS)?;
    if usage_delay < MIN_USAGE_DELAY {
        let found = file.text("usage", "usage_delay_s").unwrap_or_default();
        let expected = "at least 2 seconds, the time to gather and send the counts";
        file.add_fault("usage", "usage_delay_s", Problem::Invalid { found, expected });
    }
    Some(UsageSettings { address, lease, report_interval, usage_delay })
}

fn is_blank(file: &mut RawFile, key: &str) -> bool {
    file.text("usage", key).unwrap_or_default().trim().is_empty()
}

fn millis_or_default(file: &mut RawFile, key: &str, default_ms: u64) -> Duration {
    if is_blank(file, key) {
        return Duration::from_millis(default_ms);
    }
    file.millis("usage", key, default_ms)
}

fn seconds_or_default(file: &mut RawFile, key: &str, default_s: f64) -> Duration {
    if is_blank(file, key) {
        return Duration::from_secs_f64(default_s);
    }
    file.seconds("usage", key, default_s)
}

fn read_retries(file: &mut RawFile) -> RetrySettings {
    let share = "a share from 0 to 10";
    let number = "a number from 0 to 1000000";
    RetrySettings {
        ratio: file.bounded("retries", "ratio", share, (0.0, 10.0), 0.1),
        extra: file.bounded("retries", "extra", number, (0.0, 1e6), 10.0),
        window: file.seconds("retries", "window_s", 10.0),
    }
}
