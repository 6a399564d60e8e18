//! Records of a run: requests of callers, runs at backend servers, and disturbances.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

pub use pondwalk_standin::platform_server::{RunRecord, now_us};

/// Wall-clock time in microseconds since the Unix epoch.
pub type TimeUs = u64;
/// Version number of a configuration.
pub type ConfigVersion = u64;

/// Route of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Route {
    /// Requests that may run at most once.
    Once,
    /// Requests that may be repeated.
    Again,
    /// Requests that are answered with a stream.
    Stream,
}

impl Route {
    /// All routes.
    pub const ALL: [Route; 3] = [Route::Once, Route::Again, Route::Stream];

    /// Path prefix of the route.
    pub fn path(self) -> &'static str {
        match self {
            Route::Once => "/once/",
            Route::Again => "/again/",
            Route::Stream => "/stream/",
        }
    }
}

/// Outcome of a request for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The caller received a complete HTTP response.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the response is complete and belongs to this request; only checked for status 200.
        is_complete: bool,
    },
    /// The connection closed before the end of the response.
    Cut,
    /// No response came within a grace time after the deadline.
    NoAnswer,
    /// The caller left before the response.
    Left,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub struct Exchange {
    /// Id of the request.
    pub id: String,
    /// Entry that the request was sent to.
    pub entry: usize,
    /// Route of the request.
    pub route: Route,
    /// Version of the configuration that added the request's key.
    pub key: ConfigVersion,
    /// Time at which the request was sent.
    pub sent_us: TimeUs,
    /// Time at which the request ended.
    pub ended_us: TimeUs,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// An answer that its caller reads slowly while its entry stops.
#[derive(Debug, Clone)]
pub struct SlowRead {
    /// Id of the request.
    pub id: String,
    /// Entry that the request was sent to.
    pub entry: usize,
    /// Time at which the request was sent.
    pub sent_us: TimeUs,
    /// Time at which the read ended.
    pub ended_us: TimeUs,
    /// Bytes received.
    pub bytes: usize,
    /// Whether a successful answer ended early.
    pub is_cut: bool,
}

/// Time span of a disturbance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Span {
    /// Start of the span.
    pub from_us: TimeUs,
    /// End of the span.
    pub to_us: TimeUs,
}

/// Memory of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUse {
    /// Resident memory, in KB.
    pub resident_kb: u64,
    /// Maximum of the resident memory so far, in KB.
    pub peak_kb: u64,
}

/// Input of all checks.
#[derive(Debug, Clone, Default)]
pub struct Records {
    /// Finished requests.
    pub exchanges: Vec<Exchange>,
    /// Requests that servers have read.
    pub runs: Vec<RunRecord>,
    /// Time at which the store acknowledged each configuration.
    pub configured_us: HashMap<ConfigVersion, TimeUs>,
    /// Spans in which nothing of the newest configuration could be read.
    pub unreadable: Vec<Span>,
    /// Time at which the store acknowledged that a server drains.
    pub draining_us: HashMap<String, TimeUs>,
    /// Servers that were replaced, whether they announced it in the store or in response headers.
    pub replaced: HashSet<String>,
    /// Times at which each server was killed or found to have crashed.
    pub killed_us: HashMap<String, Vec<TimeUs>>,
    /// Spans in which each server published that it was cold.
    pub cold: HashMap<String, Vec<Span>>,
    /// Data centre of each server.
    pub data_centre_of: HashMap<String, String>,
    /// Spans in which each data centre was evacuated, from the store's acknowledgement on.
    pub evacuated: HashMap<String, Vec<Span>>,
    /// Answers that were read slowly while their entry stopped.
    pub slow_reads: Vec<SlowRead>,
    /// Spans from the signal to stop each entry to its end.
    pub stopped: HashMap<usize, Vec<Span>>,
    /// Spans in which each entry was killed, paused or starting.
    pub disturbed: HashMap<usize, Vec<Span>>,
    /// Entries whose process ended without a signal of the run.
    pub ended_by_themselves: BTreeSet<usize>,
    /// Memory of the processes of each entry while they were ready, in order of time.
    pub memory: BTreeMap<(usize, u32), Vec<MemoryUse>>,
    /// Spans in which the store was disturbed.
    pub store_disturbed: Vec<Span>,
    /// Start of the fault-free time at the end of the run.
    pub fault_free_from_us: TimeUs,
}

impl Records {
    /// Returns whether neither the store nor this entry was disturbed in this span.
    pub fn was_undisturbed(&self, entry: usize, from_us: TimeUs, to_us: TimeUs) -> bool {
        !self.was_disturbed(entry, from_us, to_us) && !self.was_store_disturbed(from_us, to_us)
    }

    /// Returns whether this entry was disturbed in this span.
    pub fn was_disturbed(&self, entry: usize, from_us: TimeUs, to_us: TimeUs) -> bool {
        self.disturbed.get(&entry).is_some_and(|spans| overlaps(spans, from_us, to_us))
    }

    /// Returns whether the store was disturbed in this span.
    pub fn was_store_disturbed(&self, from_us: TimeUs, to_us: TimeUs) -> bool {
        overlaps(&self.store_disturbed, from_us, to_us)
    }

    /// Returns whether a server was killed or crashed in this span.
    pub fn was_killed(&self, server: &str, from_us: TimeUs, to_us: TimeUs) -> bool {
        let killed = self.killed_us.get(server).into_iter().flatten();
        killed.into_iter().any(|at_us| (from_us..to_us).contains(at_us))
    }

    /// Returns all requests by id.
    pub fn by_id(&self) -> HashMap<&str, &Exchange> {
        self.exchanges.iter().map(|exchange| (exchange.id.as_str(), exchange)).collect()
    }

    /// Returns the runs by request id, without requests that a server refused.
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
