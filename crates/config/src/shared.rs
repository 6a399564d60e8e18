//! Sections that entry and agent settings have in common.

use std::{net::SocketAddr, time::Duration};

use crate::raw::RawFile;

/// What an IP address with its port looks like, for faults.
pub const ADDRESS: &str = "an IP address and port, such as 127.0.0.1:8080";

/// `[store]`: the platform's key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest time one call may take.
    pub timeout: Duration,
    /// Longest time one watch waits before it is opened again.
    pub watch_wait: Duration,
}

impl StoreSettings {
    /// Reads the section.
    pub fn read(file: &mut RawFile) -> Option<Self> {
        let address = file.required("store", "address", ADDRESS);
        let timeout = file.millis("store", "timeout_ms", 1_000);
        let watch_wait = file.millis("store", "watch_wait_ms", 30_000);
        Some(StoreSettings { address: address?, timeout, watch_wait })
    }
}

/// `[telemetry]`: where counters and spans go.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// StatsD receiver of the counters, if any.
    pub statsd: Option<SocketAddr>,
    /// OTLP receiver of the spans over HTTP, if any.
    pub otlp: Option<SocketAddr>,
    /// Least severe log level written.
    pub log_level: LogLevel,
}

/// How much is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Failures and what may lead to them.
    Warn,
    /// Changes of state.
    Info,
    /// Everything.
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
            log_level: file.or(
                "telemetry",
                "log_level",
                "error, warn, info or debug",
                LogLevel::Info,
            ),
        }
    }
}
