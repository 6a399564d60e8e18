//! What a request asks of a server, and what it gets.

use std::time::Duration;

use pondwalk_types::{DataCentreId, ServerId};

use super::{IncarnationNumber, ServerIndex, ServerInfo, notice::ServerIncarnation};
use crate::direct::engine::ServiceModelIndex;

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Versions that may run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionRule<'a> {
    /// All.
    Any,
    /// Just one.
    Only(&'a str),
    /// All but one.
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

/// What a request asks of a server.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Parts of the prompt in order; empty for plain services.
    pub parts: &'a [PromptPart],
    /// The model among those of its service.
    pub model: ServiceModelIndex,
    /// Time to read one token of a prompt with that model, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Time besides reading until the answer begins, in milliseconds.
    pub base_ms: f64,
    /// Servers that are left out.
    pub excluded_servers: &'a [ServerId],
    /// Versions that may run it.
    pub versions: VersionRule<'a>,
    /// Data centres whose servers may run it.
    pub data_centres: DataCentreRule<'a>,
}

impl PlacementRequest<'_> {
    /// Whether a server may run it, apart from what the server itself can do now.
    pub fn allows(&self, server: &ServerInfo) -> bool {
        !self.excluded_servers.contains(&server.id) && self.data_centres.allows(&server.data_centre)
    }
}

/// The data centres that a request must not leave.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DataCentreRule<'a> {
    /// It may go anywhere.
    #[default]
    Any,
    /// It may go to these only, of which there may be none.
    Only(&'a [DataCentreId]),
}

impl DataCentreRule<'_> {
    /// Whether it may go to a data centre.
    pub fn allows(&self, data_centre: &str) -> bool {
        match self {
            DataCentreRule::Any => true,
            DataCentreRule::Only(homes) => homes.iter().any(|home| home == data_centre),
        }
    }
}

/// A request placed on a server, to be handed back when it ends.
#[derive(Debug, Clone, PartialEq)]
pub struct Ticket {
    /// The server's position.
    pub index: ServerIndex,
    /// The server's identity; the position may have been reused since.
    pub server: ServerId,
    /// The life of the server that it was placed in; a server may start again under its identity.
    pub(super) incarnation_number: IncarnationNumber,
    /// What tells that life from another, though its entry in the store should go.
    pub(super) incarnation: ServerIncarnation,
    /// When it was placed.
    pub(super) placed_at: Duration,
    /// When the permit was given by which it may go there, if it has one.
    pub(super) permit_granted_at: Option<Duration>,
    /// Time until its answer was expected to begin, in milliseconds, with nothing before it.
    pub expected_ms: f64,
    /// Tokens of its prompt that were to be read.
    pub prefill_tokens: f64,
    /// What this entry had waiting there before it, in milliseconds.
    pub queued_ms: f64,
    /// Whether its answer has not begun yet.
    pub(super) is_waiting: bool,
}

impl Ticket {
    /// Time until its answer was expected to begin with all that was known, in milliseconds.
    pub fn expected_with_queue_ms(&self) -> f64 {
        (self.expected_ms + self.queued_ms).max(1.0)
    }
}

/// What placing a request would lead to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Time until its answer is expected to begin, in milliseconds.
    pub first_byte_ms: f64,
    /// Time that the server reads its prompt for, in milliseconds.
    pub prefill_ms: f64,
}
