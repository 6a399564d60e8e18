//! Requirements of a request on its server, and the ticket of a placed request.

use std::time::Duration;

use pondwalk_types::{DataCentreId, ServerId};

use super::{IncarnationNumber, ServerIndex, ServerInfo, notice::ServerIncarnation};
use crate::direct::engine::ServiceModelIndex;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Versions that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRule<'a> {
    /// All versions.
    Any,
    /// One version only.
    Only(&'a str),
    /// All versions except one.
    Except(&'a str),
}

impl VersionRule<'_> {
    /// Whether a version may run the request.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            VersionRule::Any => true,
            VersionRule::Only(only) => *only == version,
            VersionRule::Except(except) => *except != version,
        }
    }
}

/// Requirements of a request on its server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt in order; empty for plain services.
    pub parts: &'a [PromptPart],
    /// Index of the model in its service.
    pub model: ServiceModelIndex,
    /// Prefill time per token with that model, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Time to first byte without prefill, in milliseconds.
    pub base_ms: f64,
    /// Servers that must not run the request.
    pub excluded_servers: &'a [ServerId],
    /// Versions that may run the request.
    pub versions: VersionRule<'a>,
    /// Data centres whose servers may run the request.
    pub data_centres: DataCentreRule<'a>,
}

impl PlacementRequest<'_> {
    /// Whether a server may run the request, regardless of its current state.
    pub fn allows(&self, server: &ServerInfo) -> bool {
        !self.excluded_servers.contains(&server.id) && self.data_centres.allows(&server.data_centre)
    }
}

/// Data centres that a request must not leave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DataCentreRule<'a> {
    /// All data centres.
    #[default]
    Any,
    /// These data centres only; the list may be empty.
    Only(&'a [DataCentreId]),
}

impl DataCentreRule<'_> {
    /// Whether servers of a data centre may run the request.
    pub fn allows(&self, data_centre: &str) -> bool {
        match self {
            DataCentreRule::Any => true,
            DataCentreRule::Only(data_centres) => {
                data_centres.iter().any(|home| home == data_centre)
            }
        }
    }
}

/// A request placed on a server; passed back with each event of the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// Index of the server.
    pub index: ServerIndex,
    /// Identity of the server; the index may have been reused since.
    pub server: ServerId,
    /// Number of the server's incarnation; a server may restart under its identity.
    pub(super) incarnation_number: IncarnationNumber,
    /// Distinguishes that incarnation from others even without its record in the store.
    pub(super) incarnation: ServerIncarnation,
    /// When the request was placed.
    pub(super) placed_at: Duration,
    /// When the permit that the request uses was granted, if it needs one.
    pub(super) permit_granted_at: Option<Duration>,
    /// Expected time to first byte on an idle server, in milliseconds.
    pub expected_ms: f64,
    /// Expected number of prompt tokens without a cached prefix.
    pub prefill_tokens: f64,
    /// Expected time of this entry's requests queued before it, in milliseconds.
    pub queued_ms: f64,
    /// Expected further time because of other entries' requests and the server's pace, in
    /// milliseconds; negative at a fast server.
    pub(super) peer_ms: f64,
    /// Index of the model in its service.
    pub(super) model: ServiceModelIndex,
    /// Whether the answer has not begun yet.
    pub(super) is_waiting: bool,
}

impl Ticket {
    /// Expected time to first byte including the requests queued before it, in milliseconds; at
    /// least 1.
    pub fn expected_with_queue_ms(&self) -> f64 {
        (self.expected_ms + self.queued_ms + self.peer_ms).max(1.0)
    }
}

/// Predicted outcome of placing a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Expected time to first byte, in milliseconds.
    pub first_byte_ms: f64,
    /// Expected prefill time, in milliseconds.
    pub prefill_ms: f64,
}
