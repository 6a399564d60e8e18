//! Sections common to several kinds of settings.

use std::{net::SocketAddr, time::Duration};

use crate::raw::RawFile;

/// Description of an address, for faults.
pub const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";

/// `[store]`: the platform's key-value store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Longest time that a watch waits before it is renewed.
    pub watch_wait: Duration,
}

impl StoreSettings {
    /// Reads the section; `None` after recording a fault if the address is missing or invalid.
    pub fn read(file: &mut RawFile) -> Option<Self> {
        let address = file.required("store", "address", ADDRESS);
        let timeout = file.millis("store", "timeout_ms", 1_000);
        let watch_wait = file.millis("store", "watch_wait_ms", 30_000);
        Some(StoreSettings { address: address?, timeout, watch_wait })
    }
}

/// `[telemetry]`: receivers of metrics and traces, and the log level.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// StatsD receiver of metrics, if any.
    pub statsd: Option<SocketAddr>,
    /// OTLP receiver of traces over HTTP, if any.
    pub otlp: Option<SocketAddr>,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
}

/// Log level.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Only failures.
    Error,
    /// Failures and their possible causes.
    Warn,
    /// Also changes of state.
    Info,
    /// All messages.
    Debug,
}

impl std::str::FromStr for LogLevel {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "error" => Ok(LogLevel::Error),
            "warn" => Ok(LogLevel::Warn),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            _ => Err(()),
        }
    }
}

impl TelemetrySettings {
    /// Reads the section.
    pub fn read(file: &mut RawFile) -> Self {
        TelemetrySettings {
            statsd: file.optional("telemetry", "statsd", ADDRESS),
            otlp: file.optional("telemetry", "otlp", ADDRESS),
            log_level: file.value_or(
                "telemetry",
                "log_level",
                "error, warn, info or debug",
                LogLevel::Info,
            ),
        }
    }
}
