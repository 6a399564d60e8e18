//! Type aliases of identifiers used across process boundaries.

/// Id of a caller's request from end to end; also the billing key.
pub type RequestId = String;
/// Name of a customer whose requests are billed and limited together.
pub type WorkspaceId = String;
/// Name of a region, which contains one or more data centres.
pub type RegionId = String;
/// Name of a conversation within a workspace.
pub type SessionId = String;
/// Name of a model version as `MODEL/VERSION`, or of a plain service.
pub type VersionId = String;
/// Name of a backend server.
pub type ServerId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a kind of work, such as `briefing`.
pub type TaskId = String;
/// Name of a pondwalk process, stable across restarts with the same settings.
pub type InstanceId = String;
/// Number of a configuration; strictly increasing, zero before the first accepted configuration.
pub type Generation = u64;
/// Number of an attempt, unique within one incarnation of an entry.
pub type AttemptId = u64;
/// Random number drawn when a process starts, which distinguishes its restarts.
pub type Incarnation = u64;
/// Name of a model without its version.
pub type ModelId = String;
