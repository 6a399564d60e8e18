//! Interface to the platform: its store, the records in the store, and usage reports.

use std::{future::Future, pin::Pin, rc::Rc, time::Duration};

use pondwalk_decide::direct::{FencingToken, UsageCounts, WindowId};
use pondwalk_inbound::BufferPool;
use pondwalk_store::{StoreEntry, StorePort};
use pondwalk_types::{DataCentreId, ServerId, VersionId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::catalog::{BackendServer, Catalog, Defects, ServiceId};

/// Time limit of a roll-out whose own can't be read.
pub const DEFAULT_ROLL_OUT_TIME: Duration = Duration::from_secs(60);

/// An operator's order to roll out a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RollOutOrder {
    /// Service to update.
    pub service: ServiceId,
    /// Version to roll out.
    pub target: VersionId,
    /// Time limit of the roll-out.
    pub within: Duration,
    /// What can't be put in force as it was written.
    pub defects: Defects,
}

/// Whether the backend servers of a data centre get requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evacuation {
    /// No requests are sent to them.
    Ordered,
    /// They may be used again.
    Cancelled,
}

/// Outcome of a roll-out as reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The roll-out is in progress.
    InProgress,
    /// All traffic goes to the new version.
    Completed,
    /// All traffic goes back to the old version.
    Reverted,
}

/// Progress of a roll-out as reported to the operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// Service that is updated.
    pub service: ServiceId,
    /// Version that is rolled out.
    pub target: VersionId,
    /// Outcome so far.
    pub outcome: Outcome,
}

/// A decoded store record, or the absence of one.
#[derive(Debug, Clone)]
pub enum StoreRecord {
    /// A complete configuration, with what of it can't be put in force as it was written.
    Catalog(Box<Catalog>),
    /// A backend server; `None` if it was removed.
    Server(ServerId, Option<BackendServer>),
    /// A record of a backend server that can't be decoded; the server must not be used.
    UnreadableServer(ServerId, UnreadableRecord),
    /// An evacuation of a data centre, or its cancellation.
    Evacuation(DataCentreId, Evacuation),
    /// A roll-out order; `None` if it was withdrawn.
    Order(ServiceId, Option<RollOutOrder>),
    /// Reported progress of a roll-out; `None` if there is none.
    Progress(ServiceId, Option<Progress>),
    /// A record that entries don't use.
    Unrelated,
}

/// A record that can't be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("cannot decode `{key}`: {reason}")]
pub struct UnreadableRecord {
    /// Key of the record.
    pub key: String,
    /// Why it can't be decoded.
    pub reason: String,
}

/// Decodes the value of a key, or its absence.
pub type DecodeRecord = Rc<dyn Fn(&str, Option<&[u8]>) -> Result<StoreRecord, UnreadableRecord>>;
/// Encodes a roll-out's progress as key and value.
pub type EncodeProgress = Rc<dyn Fn(&Progress) -> (String, Vec<u8>)>;

/// A usage report with the credentials of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// Name of the entry that holds the reporting task.
    pub holder: String,
    /// Fencing token of the holder.
    pub fencing_token: FencingToken,
    /// Reported window.
    pub window: WindowId,
    /// Requests that started in the window, by workspace.
    pub counts: UsageCounts,
}

/// Why a usage report failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ReportError {
    /// The platform has seen a higher fencing token.
    #[error("the platform has seen a higher fencing token")]
    StaleFencingToken,
    /// The platform rejects further calls for now, or replied with an unexpected status.
    #[error("the platform replied with status {0}")]
    UnexpectedStatus(u16),
    /// The platform can't be reached.
    #[error("cannot reach the platform")]
    Unreachable,
    /// No reply arrived; the call may still take effect.
    #[error("no reply arrived")]
    NoAnswer,
}

/// Future of a usage report.
pub type ReportFuture = Pin<Box<dyn Future<Output = Result<(), ReportError>>>>;
/// Reports usage to the platform within the given time.
pub type ReportUsage = Rc<dyn Fn(UsageReport, Duration) -> ReportFuture>;

/// The platform: store calls, record formats and usage reports.
#[derive(Clone)]
pub struct Port {
    /// Store calls.
    pub store: StorePort,
    /// Key of the configuration.
    pub configuration_key: &'static str,
    /// Decodes a record.
    pub decode: DecodeRecord,
    /// Encodes roll-out progress.
    pub encode_progress: EncodeProgress,
    /// Memory for messages of the store, shared with those of other entries.
    pub buffers: BufferPool,
    /// Reports usage, if the deployment requires it.
    pub report_usage: Option<ReportUsage>,
}

impl Port {
    /// Decodes an existing record.
    ///
    /// # Errors
    ///
    /// The key and the reason if the record can't be decoded.
    pub fn decode_entry(&self, entry: &StoreEntry) -> Result<StoreRecord, UnreadableRecord> {
        (self.decode)(&entry.key, Some(&entry.value))
    }
}
