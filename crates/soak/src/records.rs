//! What callers and backend servers have seen, and when what was disturbed.

use std::collections::{HashMap, HashSet};

pub use pondwalk_standin::platform_server::{RunRecord, now_us};

/// Time of day in microseconds.
pub type TimeUs = u64;
/// Number of a configuration.
pub type Version = u64;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// May run once at most.
    Once,
    /// May be repeated.
    Again,
    /// Is answered by a stream.
    Stream,
}

impl Route {
    /// All of them.
    pub const ALL: [Route; 3] = [Route::Once, Route::Again, Route::Stream];

    /// Start of its paths.
    pub fn path(self) -> &'static str {
        match self {
            Route::Once => "/once/",
            Route::Again => "/again/",
            Route::Stream => "/stream/",
        }
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With an answer; whether it was all of what belongs to this request.
    Answered {
        /// Status.
        status: u16,
        /// Whether the body is whole and the request's own.
        is_whole: bool,
    },
    /// The connection closed without an answer, or in its middle.
    Cut,
    /// No answer came until well after the deadline.
    Never,
}

/// One request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Its id.
    pub id: String,
    /// Entry it was sent to.
    pub entry: usize,
    /// What it asks for.
    pub route: Route,
    /// Configuration that brought its key.
    pub key: Version,
    /// When it was sent.
    pub sent_us: TimeUs,
    /// When it ended.
    pub ended_us: TimeUs,
    /// How.
    pub end: End,
}

/// A span of time in which something was disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Its start.
    pub from_us: TimeUs,
    /// Its end.
    pub to_us: TimeUs,
}

/// Everything that the checks rest on.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Requests that have ended.
    pub exchanges: Vec<Exchange>,
    /// Requests that servers have read.
    pub runs: Vec<RunRecord>,
    /// When each configuration was acknowledged.
    pub configured_us: HashMap<Version, TimeUs>,
    /// When it was acknowledged that a server leaves.
    pub left_us: HashMap<String, TimeUs>,
    /// Servers that have given way to others, whichever way they said that they leave.
    pub replaced: HashSet<String>,
    /// When each server was killed.
    pub killed_us: HashMap<String, Vec<TimeUs>>,
    /// When each server was cold and said so.
    pub cold: HashMap<String, Vec<Span>>,
    /// Data centre of each server.
    pub data_centre_of: HashMap<String, String>,
    /// When each data centre was evacuated, from the acknowledgement on.
    pub evacuated: HashMap<String, Vec<Span>>,
    /// When each entry was killed or paused, or was starting.
    pub disturbed: HashMap<usize, Vec<Span>>,
    /// When the store was.
    pub store_disturbed: Vec<Span>,
    /// Start of the time without faults at the end.
    pub calm_from_us: TimeUs,
}

impl Records {
    /// Whether neither the store nor this entry was disturbed in this time.
    pub fn was_calm(&self, entry: usize, from_us: TimeUs, to_us: TimeUs) -> bool {
        !self.was_disturbed(entry, from_us, to_us) && !self.was_store_disturbed(from_us, to_us)
    }

    /// Whether this entry was disturbed in this time.
    pub fn was_disturbed(&self, entry: usize, from_us: TimeUs, to_us: TimeUs) -> bool {
        self.disturbed.get(&entry).is_some_and(|spans| overlaps(spans, from_us, to_us))
    }

    /// Whether the store was disturbed in this time.
    pub fn was_store_disturbed(&self, from_us: TimeUs, to_us: TimeUs) -> bool {
        overlaps(&self.store_disturbed, from_us, to_us)
    }

    /// Whether a server was killed in this time.
    pub fn was_killed(&self, server: &str, from_us: TimeUs, to_us: TimeUs) -> bool {
        let killed = self.killed_us.get(server).into_iter().flatten();
        killed.into_iter().any(|at_us| (from_us..to_us).contains(at_us))
    }

    /// Requests by id.
    pub fn by_id(&self) -> HashMap<&str, &Exchange> {
        self.exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange)).collect()
    }

    /// Runs by the request's id, those that a server refused left out.
    pub fn runs_by_id(&self) -> HashMap<&str, Vec<&RunRecord>> {
        let mut by_id: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
        for run in self.runs.iter().filter(|run| run.ran) {
            by_id.entry(&run.request).or_default().push(run);
        }
        by_id
    }
}

fn overlaps(spans: &[Span], from_us: TimeUs, to_us: TimeUs) -> bool {
    spans.iter().any(|span| span.from_us < to_us && span.to_us > from_us)
}
