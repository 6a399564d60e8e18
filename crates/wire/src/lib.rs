//! Messages between entry and agent, over tarpc.
//!
//! The entry is always the client. An answer does not come back as the reply of the call that
//! started it: the agent keeps its frames in an outbox for each entry, and the entry has one
//! [`Agent::take`] waiting at each agent that returns all frames there are. A lost connection
//! loses no frame, since those not acknowledged are returned again.

use std::time::Duration;

use pondwalk_types::{
    AttemptId, DataCentreId, Generation, Incarnation, Policy, Refusal, RequestId, ServerId, TaskId,
    TokenUsage, VersionId, Work, WorkspaceId,
};
use serde::{Deserialize, Serialize};

mod connect;

pub use connect::{AgentChannel, channel, connect};

/// Names a run among all runs of an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunKey {
    /// The entry process that started it.
    pub entry: Incarnation,
    /// Number of the attempt within that process.
    pub attempt: AttemptId,
}

/// Asks an agent to run something.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartRequest {
    /// The run's name.
    pub run: RunKey,
    /// The request it is for.
    pub request: RequestId,
    /// Generation of the configuration that the decision used.
    pub generation: Generation,
    /// Whose request it is.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub task: TaskId,
    /// What is to run.
    pub work: Work,
    /// Whether it belongs to a session that has had an answer from this version.
    pub old_session: bool,
    /// Time left until the answer is due.
    pub deadline_left: Duration,
    /// Deadline as the caller stated it.
    pub stated_deadline: Duration,
    /// Size of the prompt.
    pub prompt_tokens: u64,
    /// Content type of the body.
    pub content_type: String,
    /// Body for the backend server.
    pub body: Vec<u8>,
}

/// Answer to a start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartReply {
    /// `None` if the run was admitted; otherwise why not, and it has truly not run.
    pub refusal: Option<Refusal>,
    /// What the agent says of itself.
    pub snapshot: AgentSnapshot,
}

/// What an agent says of itself with every reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentSnapshot {
    /// The agent process.
    pub incarnation: Incarnation,
    /// Generation in force there.
    pub generation: Generation,
    /// Requests running and waiting.
    pub load: u32,
    /// Changes so far of the versions hosted; tells when to ask for them again.
    pub hosting_changes: u32,
    /// Whether it takes no new work because it is stopping.
    pub draining: bool,
    /// Versions that its own tests have stopped.
    pub tripped: Vec<VersionId>,
}

/// Asks for the frames after `acknowledged`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchFrames {
    /// The entry that asks.
    pub entry: Incarnation,
    /// Highest sequence number received; frames up to it are forgotten.
    pub acknowledged: u64,
    /// Longest wait for a frame.
    pub wait: Duration,
}

/// Frames for one entry, in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FrameBatch {
    /// What the agent says of itself.
    pub snapshot: AgentSnapshot,
    /// Frames with consecutive sequence numbers.
    pub frames: Vec<Frame>,
}

/// One piece of news about one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Place in the outbox of this entry.
    pub sequence: u64,
    /// The attempt it is about.
    pub attempt: AttemptId,
    /// What happened.
    pub kind: FrameKind,
}

/// What a frame says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum FrameKind {
    /// The backend server may have the request from now on.
    Began,
    /// The run was given up in the queue; it has truly not run.
    NotRun(Refusal),
    /// Head of a plain service's answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// For a chat one event's JSON text; for a service a piece of the body.
    Data(Vec<u8>),
    /// The answer is whole.
    Ended {
        /// Tokens used.
        usage: TokenUsage,
        /// Time the backend server worked on it.
        service: Duration,
    },
    /// The answer broke off or never came; it may have run.
    Failed(Refusal),
}

/// What an agent is and has in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AgentStatus {
    /// Its backend server.
    pub server: ServerId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Versions, or the service, hosted now.
    pub versions: Vec<VersionId>,
    /// Requests run at a time.
    pub slots: u32,
    /// Load and generation.
    pub snapshot: AgentSnapshot,
}

/// One accepted configuration on its way between processes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its generation.
    pub generation: Generation,
    /// Its content.
    pub policy: Policy,
}

/// A rating on its way to the agent whose backend server gave the answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RatingReport {
    /// The version that answered.
    pub version: VersionId,
    /// Kind of work.
    pub task: TaskId,
    /// Quality from 0 to 1.
    pub quality: f64,
}

/// What a backend server is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderKind {
    /// Host a version as well.
    Load(VersionId),
    /// Host a version no more.
    Unload(VersionId),
}

/// An order with the right to give it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fence of the lease under which it is given; a later holder's is higher.
    pub fence: u64,
    /// Time for which the giver surely still holds the lease.
    pub valid_for: Duration,
    /// What is to be done.
    pub kind: OrderKind,
}

/// Why an order was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum OrderRefusal {
    /// An order with a higher fence has been seen.
    #[error("an order with fence {seen} has been seen")]
    StaleFence {
        /// The highest fence seen.
        seen: u64,
    },
    /// The giver may have lost its lease by now.
    #[error("the order's time is over")]
    Expired,
    /// The version is to be unloaded, and runs on it are still under way.
    #[error("runs on the version are still under way")]
    Busy,
    /// The backend server takes no orders, or failed.
    #[error("the backend server did not carry it out")]
    Backend,
}

/// A bill that an agent holds until the entry has made it durable.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldBill {
    /// The entry that will write it.
    pub entry: Incarnation,
    /// The request it is for.
    pub request: RequestId,
    /// The bill as it is written to the store.
    pub bill: Vec<u8>,
}

/// Calls that an agent serves.
#[tarpc::service]
pub trait Agent {
    /// Admits a run or refuses it.
    async fn start(request: StartRequest) -> StartReply;
    /// Returns frames, or none once the wait is over.
    async fn take(request: FetchFrames) -> FrameBatch;
    /// Stops a run whose answer nobody wants any more.
    async fn cancel(run: RunKey);
    /// Holds a bill; the answer may be closed once this returns.
    async fn hold_bill(bill: HeldBill);
    /// Forgets bills that are durable.
    async fn release_bills(requests: Vec<RequestId>);
    /// Carries out an order; returns the versions hosted after it.
    async fn order(order: Order) -> Result<Vec<VersionId>, OrderRefusal>;
    /// Takes in a rating.
    async fn rate(report: RatingReport);
    /// Tells what the agent is.
    async fn status() -> AgentStatus;
    /// Puts a configuration in force if it is newer; returns the generation in force.
    async fn configure(configuration: Configuration) -> Generation;
    /// Returns the configuration in force, if there is any.
    async fn configuration() -> Option<Configuration>;
}
