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
/// Fewest characters of a key that signs session pins.
const MIN_SIGNING_KEY_LEN: usize = 16;

/// Checked settings of an entry process.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// This process's name.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Traffic threads.
    pub threads: usize,
    /// Key that signs session pins; the same for all entries.
    pub signing_key: String,
    /// Former key whose pins are still honoured.
    pub former_signing_key: Option<String>,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// The platform's list of live and leaving instances.
    pub instances: SocketAddr,
    /// How often the list is read.
    pub instances_every: Duration,
    /// The service that rates answers, if there is one.
    pub rating: Option<SocketAddr>,
    /// Share of answers sent to it, from 0 to 1.
    pub rating_share: f64,
    /// How long the entry is unready before it stops accepting, on a planned stop.
    pub unready_notice: Duration,
    /// How often an agent that carried no traffic is asked for its load.
    pub heartbeat: Duration,
    /// How long the last confirmed configuration may be acted on; without limit if absent.
    pub config_bound: Option<Duration>,
    /// Limits towards callers.
    pub limits: Limits,
    /// Counters, spans and logs.
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
    let threads = file.within(SECTION, "threads", "a whole number from 1 to 256", (1, 256), 2);
    let signing_key = signing_key(file, "signing_key");
    if signing_key.is_none() && file.text("sessions", "signing_key").is_none() {
        let expected = "at least 16 characters";
        file.fault("sessions", "signing_key", Problem::Missing { expected });
    }
    let former_signing_key = signing_key_optional(file);
    let store = StoreSettings::read(file);
    let instances = file.required("instances", "address", ADDRESS);
    let instances_every = file.millis("instances", "every_ms", 2_000);
    let rating = file.optional("rating", "address", ADDRESS);
    let rating_share = file.within("rating", "share", "a number from 0 to 1", (0.0, 1.0), 1.0);
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

fn signing_key(file: &mut RawFile, key: &str) -> Option<String> {
    let text = file.text("sessions", key)?;
    if text.len() >= MIN_SIGNING_KEY_LEN {
        return Some(text);
    }
    let expected = "at least 16 characters";
    file.fault("sessions", key, Problem::Invalid { found: "a shorter key".into(), expected });
    None
}

fn signing_key_optional(file: &mut RawFile) -> Option<String> {
    signing_key(file, "former_signing_key")
}
