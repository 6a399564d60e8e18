//! Protocol between entries and agents, over tarpc.
//!
//! The entry is always the client. The response to a run is not the reply to the call that started the
//! run: the agent puts its frames into an outbox for each entry, and the entry keeps one pending call of
//! [`Agent::take`] at each agent, which returns all available frames. No frame is lost with a connection,
//! since frames that were not acknowledged are returned again.

use std::time::Duration;

use pondwalk_types::{
    AttemptId, DataCentreId, Generation, Incarnation, Policy, Refusal, RequestId, ServerId, TaskId,
    TokenUsage, VersionId, Work, WorkspaceId,
};
use serde::{Deserialize, Serialize};

mod connect;

pub use connect::{AgentChannel, channel, connect};

/// Identifies a run among all runs of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunKey {
    /// Incarnation of the entry that started the run.
    pub entry: Incarnation,
    /// Number of the attempt within that incarnation.
    pub attempt: AttemptId,
}

/// Request to start a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// Key of the run.
    pub run: RunKey,
    /// Id of the caller's request.
    pub request: RequestId,
    /// Generation of the configuration that the decision used.
    pub generation: Generation,
    /// Workspace of the request.
    pub workspace: WorkspaceId,
    /// Task of the request.
    pub task: TaskId,
    /// Work to run.
    pub work: Work,
    /// Whether the request belongs to a session that already had an answer from this version.
    pub old_session: bool,
    /// Time left until the deadline.
    pub deadline_left: Duration,
    /// The caller's original deadline.
    pub stated_deadline: Duration,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Content type of the body.
    pub content_type: String,
    /// Body for the backend server.
    pub body: Vec<u8>,
}

/// Reply to a [`StartRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// `None` if the run was admitted; otherwise the reason why it was not run.
    pub refusal: Option<Refusal>,
    /// Current state of the agent.
    #[serde(rename = "news")]
    pub snapshot: AgentSnapshot,
}

/// State of an agent, reported with every reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentSnapshot {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Generation in force at the agent.
    pub generation: Generation,
    /// Number of running and queued requests.
    pub load: u32,
    /// Number of changes of the hosted versions; an increase means that they must be queried again.
    pub hosting_changes: u32,
    /// Whether the agent refuses new runs because it is stopping.
    pub draining: bool,
    /// Versions whose trial tripped at this agent.
    pub tripped: Vec<VersionId>,
}

/// Request for the frames after `acknowledged`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFrames {
    /// Incarnation of the requesting entry.
    pub entry: Incarnation,
    /// Highest sequence number received; the agent discards frames up to it.
    pub acknowledged: u64,
    /// Longest wait for a frame.
    pub wait: Duration,
}

/// Frames for one entry, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FrameBatch {
    /// Current state of the agent.
    #[serde(rename = "news")]
    pub snapshot: AgentSnapshot,
    /// Frames with consecutive sequence numbers.
    pub frames: Vec<Frame>,
}

/// One event of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Sequence number within the outbox for this entry.
    pub sequence: u64,
    /// Attempt that the event belongs to.
    pub attempt: AttemptId,
    /// The event.
    pub kind: FrameKind,
}

/// Events of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FrameKind {
    /// From now on the request may have reached the backend server.
    Began,
    /// The run was abandoned in the queue and not executed.
    NotRun(Refusal),
    /// Head of a plain service's response.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// JSON text of one event of a chat, or a chunk of a service's response body.
    Data(Vec<u8>),
    /// The response is complete.
    Ended {
        /// Token usage.
        usage: TokenUsage,
        /// Service time of the backend server.
        service: Duration,
    },
    /// The response was aborted or never began; the request may have been executed.
    Failed(Refusal),
}

/// Status of an agent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Id of the agent's backend server.
    pub server: ServerId,
    /// Data centre that the agent runs in.
    pub data_centre: DataCentreId,
    /// Versions, or the single service, currently hosted.
    pub versions: Vec<VersionId>,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Current state of the agent.
    #[serde(rename = "news")]
    pub snapshot: AgentSnapshot,
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Generation of the configuration.
    pub generation: Generation,
    /// The policy.
    pub policy: Policy,
}

/// A rating, reported to the agent whose backend server generated the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RatingReport {
    /// Version that generated the answer.
    pub version: VersionId,
    /// Task of the request.
    pub task: TaskId,
    /// Quality from 0 to 1.
    pub quality: f64,
}

/// Action that an order requests of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Load a version.
    Load(VersionId),
    /// Unload a version.
    Unload(VersionId),
}

/// An order with proof of the sender's authority.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender's lease; increases with each holder.
    pub fence: u64,
    /// Time for which the sender's lease is guaranteed to be valid.
    pub valid_for: Duration,
    /// The requested action.
    pub kind: OrderKind,
}

/// Why an order was not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum OrderRefusal {
    /// The agent has received an order with a higher fencing token.
    #[error("an order with fencing token {seen} was received before")]
    StaleFence {
        /// Highest fencing token received.
        seen: u64,
    },
    /// The sender's lease may have expired.
    #[error("the order has expired")]
    Expired,
    /// The version cannot be unloaded while runs on it are in flight.
    #[error("runs on the version are still in flight")]
    Busy,
    /// The backend server does not accept orders, or failed.
    #[error("the backend server did not execute the order")]
    Backend,
}

/// A bill that an agent keeps until the entry has written it durably.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldBill {
    /// Incarnation of the entry that will write the bill.
    pub entry: Incarnation,
    /// Id of the billed request.
    pub request: RequestId,
    /// The bill, serialized as in the store.
    pub bill: Vec<u8>,
}

/// Calls served by an agent.
#[tarpc::service]
pub trait Agent {
    /// Admits or refuses a run.
    async fn start(request: StartRequest) -> StartReply;
    /// Returns frames, or none after the wait.
    async fn take(request: FetchFrames) -> FrameBatch;
    /// Cancels a run whose response is no longer needed.
    async fn cancel(run: RunKey);
    /// Keeps a bill; the entry may complete the response once this call has returned.
    async fn hold_bill(bill: HeldBill);
    /// Discards bills that are durable.
    async fn release_bills(requests: Vec<RequestId>);
    /// Executes an order; returns the versions hosted afterwards.
    async fn order(order: Order) -> Result<Vec<VersionId>, OrderRefusal>;
    /// Records a rating.
    async fn rate(report: RatingReport);
    /// Returns the status of the agent.
    async fn status() -> AgentStatus;
    /// Applies a configuration if it is newer; returns the generation in force.
    async fn configure(configuration: Configuration) -> Generation;
    /// Returns the configuration in force, if any.
    async fn configuration() -> Option<Configuration>;
}
