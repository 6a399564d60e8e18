//! What goes into the decision and what comes out.

use std::time::Duration;

use pondwalk_types::{DataCentreId, Refusal, ServerId, VersionId};

/// A request as far as the decision needs to know it.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// Whose request it is.
    pub workspace: &'a str,
    /// What kind of work it is.
    pub task: &'a str,
    /// The conversation it belongs to, if any.
    pub session: Option<&'a str>,
    /// The version that the caller's verified pin names, if it brought one.
    pub pin: Option<&'a str>,
    /// The plain service that it calls, if it is not for a model.
    pub service: Option<&'a str>,
    /// The version that the caller insists on, if any.
    pub version: Option<&'a str>,
    /// Size of the prompt.
    pub prompt_tokens: u64,
    /// Fingerprint of the prompt's cacheable prefix, if any.
    pub prefix: Option<u64>,
    /// When it arrived.
    pub arrived: Duration,
    /// When its answer is due.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Whether the caller wants tokens as they are generated.
    pub streaming: bool,
}

/// What a server says of itself, or what the instance list says of it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// What it hosts.
    pub versions: Vec<VersionId>,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests that it has running and waiting, if it said so.
    pub load: Option<u32>,
}

/// A run to start.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRun {
    /// The version, or service, to run.
    pub version: VersionId,
    /// The server to run it on.
    pub server: ServerId,
    /// If set, the answer is held until it is rated, at most for this long.
    pub rating_timeout: Option<Duration>,
    /// Whether the version is on trial, so that its answer should always be rated.
    pub on_trial: bool,
    /// If set, deliver the answer in hand when this time comes and the run has not ended.
    pub fallback_deadline: Option<Duration>,
}

/// A run that ended whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRun {
    /// Tokens generated.
    pub output_tokens: u64,
    /// Time the server worked on it, without queueing.
    pub service_time: Duration,
}

/// What to do next with a request.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Deliver the answer in hand.
    Deliver,
    /// Wait for the rating of the answer in hand, at most this long.
    AwaitRating(Duration),
    /// Start another run.
    Run(PlannedRun),
    /// Give up.
    Refuse(Refusal),
}
