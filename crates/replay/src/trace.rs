//! Trace files: JSON Lines, validated field by field.

mod fields;

use std::{collections::BTreeMap, fmt, path::Path, time::Duration};

use pondwalk_types::{
    DataCentreId, RequestId, ServerId, SessionId, TaskId, VersionId, WorkspaceId,
};
use thiserror::Error;

use fields::Fields;

/// Recorded outcome of a request on one version.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedOutcome {
    /// Number of generated tokens.
    pub output_tokens: u64,
    /// Time that the run takes on a server.
    pub service_time: Duration,
    /// Quality from 0 to 1.
    pub quality: f64,
    /// Whether the run fails.
    pub failed: bool,
}

/// A recorded request.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedRequest {
    /// Id of the request.
    pub request: RequestId,
    /// Workspace that sent the request.
    pub workspace: WorkspaceId,
    /// Task of the request.
    pub task: TaskId,
    /// Session, if the request belongs to one.
    pub session: Option<SessionId>,
    /// Size of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// Name of the prompt's cacheable prefix, if any.
    pub prefix: Option<String>,
    /// Time from arrival within which the answer is due.
    pub deadline: Duration,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Key that identifies retries of the same request by the caller.
    pub idempotency_key: Option<String>,
    /// Plain service that the request calls; `None` for a model.
    pub service: Option<VersionId>,
    /// Recorded outcome by version.
    pub outcomes: BTreeMap<VersionId, RecordedOutcome>,
}

/// An event of a trace.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent {
    /// A request arrives.
    Request(Box<RecordedRequest>),
    /// A server starts, or changes the versions that it hosts.
    Server {
        /// Id of the server.
        server: ServerId,
        /// Data centre of the server.
        data_centre: DataCentreId,
        /// Versions that the server hosts.
        versions: Vec<VersionId>,
        /// Number of requests that the server runs concurrently.
        slots: u32,
    },
    /// A server is put on the list of leaving instances.
    Leaving(ServerId),
    /// A server disappears; its runs are interrupted.
    Gone(ServerId),
    /// The roll-out of a new version in place of an old one begins.
    RollOut {
        /// The new version.
        version: VersionId,
        /// The old version.
        replaces: VersionId,
    },
    /// A version is withdrawn and gets no new runs.
    Withdraw(VersionId),
    /// The versions that a workspace may use change.
    Allow {
        /// The workspace.
        workspace: WorkspaceId,
        /// All versions that the workspace may use.
        versions: Vec<VersionId>,
    },
    /// The rating service becomes available (`true`) or unavailable.
    Rating(bool),
    /// The platform's store becomes available (`true`) or unavailable.
    Store(bool),
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine {
    /// Time of the event from the start of the trace.
    pub at: Duration,
    /// The event.
    pub event: TraceEvent,
    /// Line number, from 1.
    pub line: usize,
}

/// A validated trace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Lines in ascending order of time.
    pub lines: Vec<TraceLine>,
}

/// A fault in a line of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceProblem {
    /// A line is not a JSON object.
    NotAnObject,
    /// A field is missing.
    Missing,
    /// A field has the wrong type or is out of range; names the expected value.
    Invalid(&'static str),
    /// The kind of event is unknown.
    UnknownKind(String),
    /// The time is earlier than that of the previous line.
    DecreasingTime,
    /// Neither the version nor its model has a price.
    NoPrice(VersionId),
}

impl fmt::Display for TraceProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceProblem::NotAnObject => write!(f, "is not a JSON object"),
            TraceProblem::Missing => write!(f, "is missing"),
            TraceProblem::Invalid(expected) => write!(f, "is not {expected}"),
            TraceProblem::UnknownKind(kind) => write!(f, "is `{kind}`, which is unknown"),
            TraceProblem::DecreasingTime => write!(f, "is earlier than on the previous line"),
            TraceProblem::NoPrice(version) => write!(f, "names `{version}`, which has no price"),
        }
    }
}

/// Error of reading a trace.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{file}: cannot be read")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A line has a fault.
    #[error("{file}:{line}: field `{field}` {problem}")]
    Line {
        /// Path of the file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// Path of the faulty field within the line.
        field: String,
        /// The fault.
        problem: TraceProblem,
    },
}

impl Trace {
    /// Reads and validates a file.
    ///
    /// Returns an error if the file cannot be read or a line has a fault.
    pub fn load(path: &Path) -> Result<Self, TraceError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(source) => Err(TraceError::Unreadable { file, source }),
        }
    }

    /// Validates the text of a file; `file` names it in errors.
    ///
    /// Returns an error for the first line with a fault. Empty lines are skipped.
    pub fn parse(file: &str, text: &str) -> Result<Self, TraceError> {
        let mut lines: Vec<TraceLine> = Vec::new();
        for (index, text) in text.lines().enumerate() {
            if text.trim().is_empty() {
                continue;
            }
            let line = index + 1;
            let error = |(field, problem)| {
                let file = file.to_owned();
                TraceError::Line { file, line, field, problem }
            };
            let (at, event) = parse_line(text).map_err(error)?;
            if lines.last().is_some_and(|last| at < last.at) {
                return Err(error(("at_ms".into(), TraceProblem::DecreasingTime)));
            }
            lines.push(TraceLine { at, event, line });
        }
        Ok(Trace { lines })
    }
}

/// Path of a field, and its fault.
type FieldError = (String, TraceProblem);

fn parse_line(text: &str) -> Result<(Duration, TraceEvent), FieldError> {
    let fields = Fields::parse(text)?;
    let at = Duration::from_millis(fields.unsigned("at_ms")?);
    let kind = fields.string("kind")?;
    let event = match kind.as_str() {
        "request" => TraceEvent::Request(Box::new(parse_request(&fields)?)),
        "server" => TraceEvent::Server {
            server: fields.string("server")?,
            data_centre: fields.string("data_centre")?,
            versions: fields.strings("versions")?,
            slots: fields.count("slots")?,
        },
        "leaving" => TraceEvent::Leaving(fields.string("server")?),
        "gone" => TraceEvent::Gone(fields.string("server")?),
        "roll_out" => TraceEvent::RollOut {
            version: fields.string("version")?,
            replaces: fields.string("replaces")?,
        },
        "withdraw" => TraceEvent::Withdraw(fields.string("version")?),
        "allow" => TraceEvent::Allow {
            workspace: fields.string("workspace")?,
            versions: fields.strings("versions")?,
        },
        "rating" => TraceEvent::Rating(fields.boolean("up")?),
        "store" => TraceEvent::Store(fields.boolean("up")?),
        _ => return Err(("kind".into(), TraceProblem::UnknownKind(kind))),
    };
    Ok((at, event))
}

fn parse_request(fields: &Fields) -> Result<RecordedRequest, FieldError> {
    let mut outcomes = BTreeMap::new();
    for (version, outcome) in fields.objects("outcomes")? {
        let recorded = RecordedOutcome {
            output_tokens: outcome.unsigned("output_tokens")?,
            service_time: Duration::from_millis(outcome.unsigned("service_ms")?),
            quality: outcome.ratio("quality")?,
            failed: outcome.boolean("failed")?,
        };
        outcomes.insert(version, recorded);
    }
    let service = fields.optional_string_or_absent("service")?;
    if let Some(service) = &service
        && !outcomes.contains_key(service)
    {
        return Err((format!("outcomes.{service}"), TraceProblem::Missing));
    }
    Ok(RecordedRequest {
        request: fields.string("request")?,
        workspace: fields.string("workspace")?,
        task: fields.string("task")?,
        session: fields.optional_string("session")?,
        prompt_tokens: fields.unsigned("prompt_tokens")?,
        prefix: fields.optional_string("prefix")?,
        deadline: Duration::from_millis(fields.positive("deadline_ms")?),
        repeatable: fields.boolean("repeatable")?,
        idempotency_key: fields.optional_string("idempotency_key")?,
        service,
        outcomes,
    })
}
