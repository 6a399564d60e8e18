//! Work of one or more entries at backend servers, in the form in which entries exchange it.
//!
//! A summary is a sum: that of several entries is the sum of theirs, so it can be added up along a
//! tree of entries without any of them knowing the others.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{
    fleet::ServerInfo,
    hash::{hash_text, mix},
};

/// Hash of a server's incarnation, of a service's name or of a workspace's name, alike at all
/// entries.
pub type LoadKey = u64;

/// Half windows of the retry budget for which requests are counted.
pub const HALF_WINDOWS: usize = 4;

/// Largest plausible value of any field; above it a summary is rejected.
const MAX_VALUE: f32 = 1e9;

/// Largest magnitude of the logarithm of one pace sample.
const MAX_PACE_LOG: f32 = 3.0;

/// Work at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServerWork {
    /// Prefill of requests whose answers have not begun, in milliseconds at normal speed.
    pub queued_ms: f32,
    /// Requests whose answers have not begun.
    pub waiting: u32,
    /// Requests whose answers have begun.
    pub running: u32,
    /// Sum over recent samples of the logarithm of the time per token, as a multiple of the normal
    /// time.
    pub pace_log_sum: f32,
    /// Number of these samples; older ones count less.
    pub pace_samples: f32,
}

/// Work for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// Requests received in the latest half window of the retry budget, and in those before it. The
    /// budget does not use them: with counts that are some hundred milliseconds old, every rule
    /// tried so far exceeded the bound over all entries in some load.
    pub requests: [u32; HALF_WINDOWS],
    /// Prefill placed per second, in milliseconds; decays with a time constant of one second.
    pub prefill_ms_per_s: f32,
}

/// Work that one workspace asks one service for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Server time per second, in milliseconds; decays with a time constant of one second.
    pub offered_ms_per_s: f32,
}

/// Why a summary was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LoadSummaryError {
    /// A field is not a finite number.
    #[error("a value of the load summary is not a finite number")]
    NotFinite,
    /// A field is negative or implausibly large.
    #[error("a value of the load summary is out of range")]
    OutOfRange,
}

/// Work of one or more entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadSummary {
    /// Work by server incarnation.
    pub servers: BTreeMap<LoadKey, ServerWork>,
    /// Work by service.
    pub services: BTreeMap<LoadKey, ServiceWork>,
    /// Demand by service and workspace.
    pub demands: BTreeMap<(LoadKey, LoadKey), Demand>,
}

impl LoadSummary {
    /// Adds another summary to this one.
    pub fn add(&mut self, other: &LoadSummary) {
        for (key, work) in &other.servers {
            self.servers.entry(*key).or_default().add(work);
        }
        for (key, work) in &other.services {
            self.services.entry(*key).or_default().add(work);
        }
        for (key, demand) in &other.demands {
            self.demands.entry(*key).or_default().offered_ms_per_s += demand.offered_ms_per_s;
        }
    }

    /// Checks that all values are possible.
    ///
    /// # Errors
    ///
    /// Returns an error if a value is not finite, negative or implausibly large.
    pub fn check(&self) -> Result<(), LoadSummaryError> {
        let servers = self.servers.values().flat_map(|work| {
            [work.queued_ms, work.pace_samples, work.waiting as f32, work.running as f32]
        });
        let services = self.services.values().flat_map(|work| {
            let requests = work.requests.map(|count| count as f32);
            requests.into_iter().chain([work.prefill_ms_per_s])
        });
        let demands = self.demands.values().map(|demand| demand.offered_ms_per_s);
        let mut values = servers.chain(services).chain(demands);
        let logs = || self.servers.values().map(|work| work.pace_log_sum);
        if values.clone().chain(logs()).any(|value| !value.is_finite()) {
            return Err(LoadSummaryError::NotFinite);
        }
        let is_pace_too_large = self
            .servers
            .values()
            .any(|work| work.pace_log_sum.abs() > MAX_PACE_LOG * work.pace_samples + 0.01);
        let is_out_of_range = is_pace_too_large
            || values.any(|value| !(0.0..=MAX_VALUE).contains(&value))
            || logs().any(|value| value.abs() > MAX_VALUE);
        if is_out_of_range { Err(LoadSummaryError::OutOfRange) } else { Ok(()) }
    }
}

impl ServerWork {
    /// Adds the work of other entries at the same server.
    pub fn add(&mut self, other: &ServerWork) {
        self.queued_ms += other.queued_ms;
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.running = self.running.saturating_add(other.running);
        self.pace_log_sum += other.pace_log_sum;
        self.pace_samples += other.pace_samples;
    }
}

impl ServiceWork {
    /// Adds the work of other entries for the same service.
    pub fn add(&mut self, other: &ServiceWork) {
        for (count, further) in self.requests.iter_mut().zip(other.requests) {
            *count = count.saturating_add(further);
        }
        self.prefill_ms_per_s += other.prefill_ms_per_s;
    }
}

/// Key of a service or a workspace.
pub fn name_key(name: &str) -> LoadKey {
    hash_text(name)
}

/// Key of a server's incarnation. Where the server does not report its start, its address stands
/// for it.
pub fn server_key(info: &ServerInfo) -> LoadKey {
    let incarnation = info.born_ms.unwrap_or_else(|| hash_text(&info.address.to_string()));
    mix(hash_text(&info.id) ^ mix(incarnation))
}
