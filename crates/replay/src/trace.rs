//! Traces: JSON Lines, checked field by field.

mod fields;

use std::{collections::BTreeMap, fmt, path::Path, time::Duration};

use pondwalk_types::{
    DataCentreId, RequestId, ServerId, SessionId, TaskId, VersionId, WorkspaceId,
};
use thiserror::Error;

use fields::Fields;

/// What one version would have done with a request.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedOutcome {
    /// Tokens generated.
    pub output_tokens: u64,
    /// Time on a server.
    pub service: Duration,
    /// Quality from 0 to 1.
    pub quality: f64,
    /// Whether the run fails.
    pub failed: bool,
}

/// A recorded request.
#[derive(Debug, Clone, PartialEq)]
pub struct RecordedRequest {
    /// Its id.
    pub request: RequestId,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub task: TaskId,
    /// Conversation.
    pub session: Option<SessionId>,
    /// Size of the prompt.
    pub prompt_tokens: u64,
    /// Name of the cacheable prefix.
    pub prefix: Option<String>,
    /// Time allowed.
    pub deadline: Duration,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Key that marks the caller's own repeats.
    pub idempotency_key: Option<String>,
    /// The plain service called, if it is none for a model.
    pub service: Option<VersionId>,
    /// What each version would have done.
    pub outcomes: BTreeMap<VersionId, RecordedOutcome>,
}

/// What happens in a trace.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent {
    /// A request arrives.
    Request(Box<RecordedRequest>),
    /// A server starts, or hosts other versions from now on.
    Server {
        /// The server.
        server: ServerId,
        /// Where it is.
        data_centre: DataCentreId,
        /// What it hosts.
        versions: Vec<VersionId>,
        /// Requests it runs at a time.
        slots: u32,
    },
    /// A server is on the list of leaving instances from now on.
    Leaving(ServerId),
    /// A server is gone; its work is cut.
    Gone(ServerId),
    /// A new version starts to take over from an old one.
    RollOut {
        /// The new version.
        version: VersionId,
        /// The old one.
        replaces: VersionId,
    },
    /// A version takes no new work from now on.
    Withdraw(VersionId),
    /// A workspace may use just these versions from now on.
    Allow {
        /// The workspace.
        workspace: WorkspaceId,
        /// Its versions.
        versions: Vec<VersionId>,
    },
    /// The rating service goes down or comes up.
    Rating(bool),
    /// The platform's store goes down or comes up.
    Store(bool),
}

/// One line of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine {
    /// When it happens.
    pub at: Duration,
    /// What happens.
    pub event: TraceEvent,
    /// Line number, from 1.
    pub line: usize,
}

/// A whole trace.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Trace {
    /// Lines in order of time.
    pub lines: Vec<TraceLine>,
}

/// What is wrong with a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TraceProblem {
    /// A line is not a JSON object.
    NotAnObject,
    /// A field is missing.
    Missing,
    /// A field has the wrong type or is out of range.
    Invalid(&'static str),
    /// The kind of event is not known.
    UnknownKind(String),
    /// The time is before the line above.
    TimeRunsBackwards,
    /// A version has neither a price of its own nor one of its model.
    NoPrice(VersionId),
}

impl fmt::Display for TraceProblem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TraceProblem::NotAnObject => write!(f, "is not a JSON object"),
            TraceProblem::Missing => write!(f, "is missing"),
            TraceProblem::Invalid(expected) => write!(f, "is not {expected}"),
            TraceProblem::UnknownKind(kind) => write!(f, "is `{kind}`, which is not known"),
            TraceProblem::TimeRunsBackwards => write!(f, "runs backwards"),
            TraceProblem::NoPrice(version) => write!(f, "names `{version}`, which has no price"),
        }
    }
}

/// Why a trace was refused.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file cannot be read.
    #[error("{file}: cannot be read")]
    Unreadable {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is wrong.
    #[error("{file}:{line}: field `{field}` {problem}")]
    Line {
        /// The file.
        file: String,
        /// Line number, from 1.
        line: usize,
        /// The field at fault.
        field: String,
        /// What is wrong with it.
        problem: TraceProblem,
    },
}

impl Trace {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Self, TraceError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Self::parse(&file, &text),
            Err(source) => Err(TraceError::Unreadable { file, source }),
        }
    }

    /// Checks the text of a file.
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
            let (at, event) = read_line(text).map_err(error)?;
            if lines.last().is_some_and(|last| at < last.at) {
                return Err(error(("at_ms".into(), TraceProblem::TimeRunsBackwards)));
            }
            lines.push(TraceLine { at, event, line });
        }
        Ok(Trace { lines })
    }
}

/// A field's path and what is wrong with it.
type FieldError = (String, TraceProblem);

fn read_line(text: &str) -> Result<(Duration, TraceEvent), FieldError> {
    let fields = Fields::parse(text)?;
    let at = Duration::from_millis(fields.whole("at_ms")?);
    let kind = fields.text("kind")?;
    let event = match kind.as_str() {
        "request" => TraceEvent::Request(Box::new(read_request(&fields)?)),
        "server" => TraceEvent::Server {
            server: fields.text("server")?,
            data_centre: fields.text("data_centre")?,
            versions: fields.texts("versions")?,
            slots: fields.count("slots")?,
        },
        "leaving" => TraceEvent::Leaving(fields.text("server")?),
        "gone" => TraceEvent::Gone(fields.text("server")?),
        "roll_out" => TraceEvent::RollOut {
            version: fields.text("version")?,
            replaces: fields.text("replaces")?,
        },
        "withdraw" => TraceEvent::Withdraw(fields.text("version")?),
        "allow" => TraceEvent::Allow {
            workspace: fields.text("workspace")?,
            versions: fields.texts("versions")?,
        },
        "rating" => TraceEvent::Rating(fields.flag("up")?),
        "store" => TraceEvent::Store(fields.flag("up")?),
        _ => return Err(("kind".into(), TraceProblem::UnknownKind(kind))),
    };
    Ok((at, event))
}

fn read_request(fields: &Fields) -> Result<RecordedRequest, FieldError> {
    let mut outcomes = BTreeMap::new();
    for (version, outcome) in fields.objects("outcomes")? {
        let recorded = RecordedOutcome {
            output_tokens: outcome.whole("output_tokens")?,
            service: Duration::from_millis(outcome.whole("service_ms")?),
            quality: outcome.unit("quality")?,
            failed: outcome.flag("failed")?,
        };
        outcomes.insert(version, recorded);
    }
    let service = fields.optional_text_or_absent("service")?;
    if let Some(service) = &service
        && !outcomes.contains_key(service)
    {
        return Err((format!("outcomes.{service}"), TraceProblem::Missing));
    }
    Ok(RecordedRequest {
        request: fields.text("request")?,
        workspace: fields.text("workspace")?,
        task: fields.text("task")?,
        session: fields.optional_text("session")?,
        prompt_tokens: fields.whole("prompt_tokens")?,
        prefix: fields.optional_text("prefix")?,
        deadline: Duration::from_millis(fields.positive("deadline_ms")?),
        repeatable: fields.flag("repeatable")?,
        idempotency_key: fields.optional_text("idempotency_key")?,
        service,
        outcomes,
    })
}
