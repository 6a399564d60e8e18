//! Settings of an entry process.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, InstanceId};

use crate::{
    error::{ConfigError, Problem},
    limits::Limits,
    raw::RawFile,
    shared::{ADDRESS, StoreSettings, TelemetrySettings},
};

const SECTION: &str = "entry";
/// Shortest accepted key for signing session pins, in bytes.
const MIN_SIGNING_KEY_LEN: usize = 16;

/// Checked settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this process.
    pub instance: InstanceId,
    /// Data centre that the entry runs in.
    pub data_centre: DataCentreId,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Number of traffic threads.
    pub threads: usize,
    /// Key that signs session pins; the same for all entries.
    pub signing_key: String,
    /// Previous signing key, whose pins are still accepted.
    pub former_signing_key: Option<String>,
    /// The platform's key-value store.
    pub store: StoreSettings,
    /// Address of the platform's list of live and draining instances.
    pub instances: SocketAddr,
    /// Interval at which the list is read.
    pub instances_every: Duration,
    /// Address of the service that rates answers, if any.
    pub rating: Option<SocketAddr>,
    /// Share of answers that are rated, from 0 to 1.
    pub rating_share: f64,
    /// Time for which the entry is unready before it stops accepting connections, on a planned stop.
    pub unready_notice: Duration,
    /// Interval at which the load of an agent without traffic is polled.
    pub heartbeat: Duration,
    /// Longest time for which the last confirmed configuration is used; `None` for no limit.
    pub config_bound: Option<Duration>,
    /// Limits on callers.
    pub limits: Limits,
    /// Metrics, traces and logs.
    pub telemetry: TelemetrySettings,
}

impl TryFrom<RawFile> for EntrySettings {
    type Error = ConfigError;

    fn try_from(mut file: RawFile) -> Result<Self, ConfigError> {
        let file_ref = &mut file;
        let settings = read(file_ref);
        file.finish(settings)
    }
}

fn read(file: &mut RawFile) -> Option<EntrySettings> {
    let instance = file.required(SECTION, "instance", "a name");
    let data_centre = file.required(SECTION, "data_centre", "a name");
    let listen = file.required(SECTION, "listen", ADDRESS);
    let threads = file.bounded(SECTION, "threads", "a whole number from 1 to 256", (1, 256), 2);
    let signing_key = read_signing_key(file, "signing_key");
    if signing_key.is_none() && file.text("sessions", "signing_key").is_none() {
        let expected = "at least 16 characters";
        file.add_fault("sessions", "signing_key", Problem::Missing { expected });
    }
    let former_signing_key = read_former_signing_key(file);
    let store = StoreSettings::read(file);
    let instances = file.required("instances", "address", ADDRESS);
    let instances_every = file.millis("instances", "every_ms", 2_000);
    let rating = file.optional("rating", "address", ADDRESS);
    let rating_share = file.bounded("rating", "share", "a number from 0 to 1", (0.0, 1.0), 1.0);
    let unready_notice = file.millis(SECTION, "unready_notice_ms", 2_000);
    let heartbeat = file.millis(SECTION, "heartbeat_ms", 1_000);
    let config_bound = file.optional_millis(SECTION, "config_bound_ms");
    let limits = Limits::read(file);
    let telemetry = TelemetrySettings::read(file);
    Some(EntrySettings {
        instance: instance?,
        data_centre: data_centre?,
        listen: listen?,
        threads,
        signing_key: signing_key?,
        former_signing_key,
        store: store?,
        instances: instances?,
        instances_every,
        rating,
        rating_share,
        unready_notice,
        heartbeat,
        config_bound,
        limits,
        telemetry,
    })
}

fn read_signing_key(file: &mut RawFile, key: &str) -> Option<String> {
    let text = file.text("sessions", key)?;
    if text.len() >= MIN_SIGNING_KEY_LEN {
        return Some(text);
    }
    let expected = "at least 16 characters";
    file.add_fault("sessions", key, Problem::Invalid { found: "a shorter key".into(), expected });
    None
}

fn read_former_signing_key(file: &mut RawFile) -> Option<String> {
    read_signing_key(file, "former_signing_key")
}
