//! Input and output types of the router.

use std::time::Duration;

use pondwalk_types::{DataCentreId, Refusal, ServerId, VersionId};

/// The properties of a request that the router uses.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The workspace of the caller.
    pub workspace: &'a str,
    /// The kind of work.
    pub task: &'a str,
    /// The session that it belongs to, if any.
    pub session: Option<&'a str>,
    /// The version named by the caller's verified session pin, if any.
    pub pin: Option<&'a str>,
    /// The plain service that it calls, if it does not call a model.
    pub service: Option<&'a str>,
    /// The version that the caller requests explicitly, if any.
    pub version: Option<&'a str>,
    /// Estimated size of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Hash of the prompt's cacheable prefix, if any.
    pub prefix: Option<u64>,
    /// Arrival time.
    pub arrived: Duration,
    /// Time by which the answer is due.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Whether the caller requested a streamed answer.
    pub streaming: bool,
}

/// State of a server, as reported by its agent or by the instance list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerReport {
    /// The server.
    pub server: ServerId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Versions that it hosts.
    pub versions: Vec<VersionId>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Number of requests running and waiting, if reported.
    pub load: Option<u32>,
}

/// A run to start.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedRun {
    /// The version, or service, to run.
    pub version: VersionId,
    /// The server to run it on.
    pub server: ServerId,
    /// If set, the answer is held until it is rated, for at most this long.
    pub rating_timeout: Option<Duration>,
    /// Whether the version is on trial, so that every answer should be rated.
    pub on_trial: bool,
    /// If set, time at which the earlier answer is delivered unless the run has ended.
    pub fallback_deadline: Option<Duration>,
}

/// The result of a run that finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinishedRun {
    /// Tokens generated.
    pub output_tokens: u64,
    /// Time that the server worked on it, without queueing.
    pub service_time: Duration,
}

/// The next step for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum NextAction {
    /// Deliver the best answer so far.
    Deliver,
    /// Wait for the rating of the latest answer, for at most this long.
    AwaitRating(Duration),
    /// Start another run.
    Run(PlannedRun),
    /// Refuse the request.
    Refuse(Refusal),
}
