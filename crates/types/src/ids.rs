//! Type aliases for the identifiers used across process boundaries.

/// Identifies one caller request from end to end; also the billing key.
pub type RequestId = String;
/// Names a customer whose requests are billed and limited together.
pub type WorkspaceId = String;
/// Names a region, which holds one or more data centres.
pub type RegionId = String;
/// Names a conversation within one workspace.
pub type SessionId = String;
/// Names a model version as `MODEL/VERSION`, or a plain service by its bare name.
pub type VersionId = String;
/// Names one backend server.
pub type ServerId = String;
/// Names one data centre.
pub type DataCentreId = String;
/// Names a kind of work, such as `briefing`.
pub type TaskId = String;
/// Names one pondwalk process for as long as its settings stay the same.
pub type InstanceId = String;
/// Counts accepted configurations; strictly increasing, zero before the first.
pub type Generation = u64;
/// Numbers the attempts made by one entry incarnation.
pub type AttemptId = u64;
/// Drawn at random when a process starts; tells its restarts apart.
pub type Incarnation = u64;
/// Names a model without its version.
pub type ModelId = String;
