//! Settings of an entry that reaches backend servers directly.

use std::{net::SocketAddr, time::Duration};

use crate::{
    error::ConfigError,
    raw::RawFile,
    shared::{ADDRESS, StoreSettings},
};

/// Share of the key bound that is kept back for the way from this process to a backend server.
const KEY_BOUND_MARGIN: f64 = 0.1;

/// Longest time for which a key is honoured without a confirmation, in milliseconds, where the
/// deployment puts service before strictness. Outages of the store that last minutes are rarer
/// than those of seconds, and a key taken away because it leaked must not outlive one by long.
const LENIENT_KEY_BOUND_MS: u64 = 60_000;

/// Everything a direct entry learns from its file.
#[derive(Debug, Clone)]
pub struct DirectSettings {
    /// Name of this process in logs.
    pub name: String,
    /// Data centre it runs in.
    pub data_centre: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this process is ready.
    pub readiness: SocketAddr,
    /// Where counters are told, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Where other entries ask for changes; without it, this entry watches the store itself.
    pub peers: Option<SocketAddr>,
    /// The platform's store.
    pub store: StoreSettings,
    /// Time after the last confirmation by the store for which the state counts as its own.
    pub state_bound: Duration,
    /// Longest time a key may be honoured after the last confirmation by the store.
    pub key_bound: Duration,
    /// Limits on what is sent to a second backend server.
    pub retries: RetrySettings,
    /// How new versions are brought in.
    pub roll_out: RollOutSettings,
    /// Time from the signal to stop until the process is ended from outside.
    pub grace: Duration,
    /// Time after its last request for which a session lasts.
    pub session_ttl: Duration,
    /// Lines that may be logged in a second.
    pub log_lines_per_s: u32,
}

/// `[retries]`: sends beyond each request's first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Further sends as a share of the requests in the window.
    pub ratio: f64,
    /// Further sends in the window beyond that share, for all entries together.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
    /// Entries that share `extra`.
    pub entries: u32,
}

/// `[roll_out]`: limits while a version is on trial.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RollOutSettings {
    /// Largest share of a service's requests that may reach a version on trial.
    pub exposure: f64,
}

impl TryFrom<RawFile> for DirectSettings {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let settings = read(&mut file);
        file.finish(settings)
    }
}

fn read(file: &mut RawFile) -> Option<DirectSettings> {
    let name = file.required("direct", "name", "a name");
    let data_centre = file.required("direct", "data_centre", "a name");
    let callers = file.required("direct", "callers", ADDRESS);
    let readiness = file.required("direct", "readiness", ADDRESS);
    let metrics = file.optional("direct", "metrics", ADDRESS);
    let peers = file.optional("direct", "peers", ADDRESS);
    let (state_bound, key_bound) = read_bounds(file);
    let grace = file.seconds("direct", "grace_s", 8.0);
    let session_ttl = file.seconds("direct", "session_ttl_s", 5.0);
    let lines = "a number of lines from 1 to 100000";
    let log_lines_per_s = file.within("direct", "log_lines_per_s", lines, (1, 100_000), 200);
    let retries = read_retries(file);
    let share = "a share from 0 to 1";
    let exposure = file.within("roll_out", "exposure", share, (0.0, 1.0), 0.1);
    let store = StoreSettings::read(file);
    Some(DirectSettings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        readiness: readiness?,
        metrics,
        peers,
        store: store?,
        state_bound,
        key_bound,
        retries,
        roll_out: RollOutSettings { exposure },
        grace,
        session_ttl,
        log_lines_per_s,
    })
}

/// Bounds of the state's age and of the age at which keys are still honoured.
fn read_bounds(file: &mut RawFile) -> (Duration, Duration) {
    let strict = file.millis("direct", "key_bound_ms", 5_000).mul_f64(1.0 - KEY_BOUND_MARGIN);
    let is_strict = file.or_if_blank("direct", "strict_keys", "true or false", true);
    let lenient = file.millis("direct", "lenient_key_bound_ms", LENIENT_KEY_BOUND_MS);
    let key_bound = if is_strict { strict } else { lenient.max(strict) };
    (strict, key_bound)
}

fn read_retries(file: &mut RawFile) -> RetrySettings {
    let share = "a share from 0 to 10";
    let number = "a number from 0 to 1000000";
    RetrySettings {
        ratio: file.within("retries", "ratio", share, (0.0, 10.0), 0.1),
        extra: file.within("retries", "extra", number, (0.0, 1e6), 10.0),
        window: file.seconds("retries", "window_s", 10.0),
        entries: file.within("retries", "entries", "a number from 1 to 10000", (1, 10_000), 32),
    }
}
