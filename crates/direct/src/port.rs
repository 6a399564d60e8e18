//! What lies in the platform's store, in the product's terms.

use std::{future::Future, pin::Pin, rc::Rc, time::Duration};

use pondwalk_decide::direct::{FencingToken, UsageCounts, WindowId};
use pondwalk_store::{StoreEntry, StorePort};
use pondwalk_types::{DataCentreId, ServerId, VersionId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::catalog::{BackendServer, Catalog, ServiceId};

/// An operator's order to move a service to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollOutOrder {
    /// Service to move.
    pub service: ServiceId,
    /// Version to move it to.
    pub target: VersionId,
    /// Time within which it is to be done.
    pub within: Duration,
}

/// Whether the backend servers of a data centre get anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evacuation {
    /// Nothing more goes to them.
    Ordered,
    /// They may be used again.
    Cancelled,
}

/// How far a roll-out has come, as told to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Under way.
    InProgress,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes back to the old version.
    Reverted,
}

/// The operator's view of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Service that moves.
    pub service: ServiceId,
    /// Version it moves to.
    pub target: VersionId,
    /// How far it has come.
    pub outcome: Outcome,
}

/// Something the store holds, or no longer holds.
#[derive(Debug, Clone)]
pub enum StoreRecord {
    /// A whole configuration.
    Catalog(Box<Catalog>),
    /// A backend server, or that it is gone.
    Server(ServerId, Option<BackendServer>),
    /// An entry of a backend server that cannot be read; it names no server to use.
    UnreadableServer(ServerId, UnreadableRecord),
    /// A data centre is to be evacuated, or was taken back.
    Evacuation(DataCentreId, Evacuation),
    /// An order to roll out, or that it was taken back.
    Order(ServiceId, Option<RollOutOrder>),
    /// Progress of a roll-out, or that nothing is told of it.
    Progress(ServiceId, Option<Progress>),
    /// Nothing that an entry uses.
    Unrelated,
}

/// An entry of the store that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("`{key}` cannot be read: {reason}")]
pub struct UnreadableRecord {
    /// Key of the entry.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Reads one key with its value, or its absence.
pub type DecodeRecord = Rc<dyn Fn(&str, Option<&[u8]>) -> Result<StoreRecord, UnreadableRecord>>;
/// Key and value under which a roll-out's progress is told.
pub type EncodeProgress = Rc<dyn Fn(&Progress) -> (String, Vec<u8>)>;

/// A report of usage, with what shows who speaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Name of the entry that holds the task.
    pub holder: String,
    /// Its number as a holder.
    pub fencing_token: FencingToken,
    /// Window that it is of.
    pub window: WindowId,
    /// Requests that began to run in it, by workspace.
    pub counts: UsageCounts,
}

/// Why a call to the platform that one entry makes for all came to nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The platform has seen a higher number.
    #[error("a higher number has been seen")]
    StaleFencingToken,
    /// The platform takes no more calls for now, or answers otherwise than it should.
    #[error("the platform answers {0}")]
    UnexpectedStatus(u16),
    /// It cannot be reached.
    #[error("the platform cannot be reached")]
    Unreachable,
    /// No answer came; the call may be carried out yet.
    #[error("no answer came")]
    NoAnswer,
}

/// Future of one such call.
pub type ReportFuture = Pin<Box<dyn Future<Output = Result<(), ReportError>>>>;
/// Reports usage to the platform, in the given time at most.
pub type ReportUsage = Rc<dyn Fn(UsageReport, Duration) -> ReportFuture>;

/// The platform: its store's calls, how to read and write what lies there, and other calls.
#[derive(Clone)]
pub struct Port {
    /// The calls.
    pub store: StorePort,
    /// Reads an entry.
    pub decode: DecodeRecord,
    /// Writes progress.
    pub encode_progress: EncodeProgress,
    /// Reports usage, where the deployment asks for that.
    pub report_usage: Option<ReportUsage>,
}

impl Port {
    /// Reads an entry that exists.
    pub fn decode_entry(&self, entry: &StoreEntry) -> Result<StoreRecord, UnreadableRecord> {
        (self.decode)(&entry.key, Some(&entry.value))
    }
}
