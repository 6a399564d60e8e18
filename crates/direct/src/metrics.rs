//! Counters and latency histograms, told as text.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;

/// Longest latency told apart, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles told of each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// What is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests read.
    Requests,
    /// Answers of success passed on.
    Answered,
    /// Requests refused that did not run.
    Refused,
    /// Requests failed whose outcome is unknown or that ran.
    Failed,
    /// Requests whose caller left.
    Abandoned,
    /// Sends to backend servers.
    Sends,
    /// Sends beyond a request's first.
    FurtherSends,
    /// Sends that a backend server turned away without running them.
    NotRun,
    /// Backend servers that said in an answer that they leave.
    ServersDraining,
    /// Times that a backend server asked to be sent nothing for a while.
    BackoffsRequested,
    /// Changes of rate limits that backend servers name.
    LimitsChanged,
    /// Permits that were given to this entry for servers that name a rate limit.
    PermitsGiven,
    /// Permits that it asked for in vain.
    PermitsRefused,
    /// Requests held back until a server that was cold or paused could take one more.
    WaitedForCapacity,
    /// Requests that did not leave, since their server's data centre was evacuated or it turned cold.
    Withheld,
    /// Backend servers that could not be reached and count as cold when they are again.
    ServersPresumedCold,
    /// Connections that broke while a request was at a backend server.
    ConnectionsBroken,
    /// Times that the content of a request began to be held, since servers ended under it.
    ContentsQuarantined,
    /// Runs of such a content by leave of the entry that grants them.
    Probes,
    /// Ends of servers that this entry saw and did not tell, since they were too many at once.
    CrashesNotReported,
    /// Answers of smaller models dropped for a stronger one's.
    Escalations,
    /// Streams resumed at another backend server.
    Resumes,
    /// Calls to the store that failed.
    StoreFailures,
    /// Questions of other entries answered with a state.
    QuestionsAnswered,
    /// Reports of usage that the platform took from this entry.
    UsageReports,
    /// Calls with such reports that came to nothing.
    UsageCallsFailed,
    /// Bytes of states and news told to other entries.
    PeerBytesSent,
    /// Bytes of states heard from other entries.
    PeerBytesReceived,
}

impl Counter {
    fn name(self) -> &'static str {
        match self {
            Counter::Requests => "requests_total",
            Counter::Answered => "answered_total",
            Counter::Refused => "refused_total",
            Counter::Failed => "failed_total",
            Counter::Abandoned => "abandoned_total",
            Counter::Sends => "sends_total",
            Counter::FurtherSends => "further_sends_total",
            Counter::NotRun => "not_run_total",
            Counter::ServersDraining => "told_leaving_total",
            Counter::BackoffsRequested => "asked_backoff_total",
            Counter::LimitsChanged => "server_limits_changed_total",
            Counter::PermitsGiven => "permits_given_total",
            Counter::PermitsRefused => "permits_refused_total",
            Counter::WaitedForCapacity => "held_for_room_total",
            Counter::Withheld => "withheld_total",
            Counter::ServersPresumedCold => "servers_doubted_total",
            Counter::ConnectionsBroken => "connections_broken_total",
            Counter::ContentsQuarantined => "contents_held_total",
            Counter::Probes => "probes_total",
            Counter::CrashesNotReported => "ends_not_told_total",
            Counter::Escalations => "escalations_total",
            Counter::Resumes => "resumes_total",
            Counter::StoreFailures => "store_failures_total",
            Counter::QuestionsAnswered => "questions_answered_total",
            Counter::UsageReports => "usage_reports_total",
            Counter::UsageCallsFailed => "usage_calls_failed_total",
            Counter::PeerBytesSent => "peer_bytes_told_total",
            Counter::PeerBytesReceived => "peer_bytes_heard_total",
        }
    }
}

/// Why the store was called.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCause {
    /// A start read everything; one reading may take several calls.
    FirstReading,
    /// Everything was read anew, since history was gone.
    Rereading,
    /// An entry whose place it is asked for changes.
    Watching,
    /// An entry that should have heard from others asked for changes.
    Fallback,
    /// The store was tried again after it was lost.
    Probing,
    /// Entries were listed.
    Listing,
    /// Contents that are held were written.
    Quarantine,
    /// The record of who reports usage was written.
    UsageRecord,
    /// A step of a roll-out was written.
    StepWon,
    /// A step of a roll-out could not be written, mostly since another entry was first.
    StepLost,
}

impl StoreCause {
    fn name(self) -> &'static str {
        match self {
            StoreCause::FirstReading => "first_reading",
            StoreCause::Rereading => "rereading",
            StoreCause::Watching => "watching",
            StoreCause::Fallback => "fallback",
            StoreCause::Probing => "probing",
            StoreCause::Listing => "listing",
            StoreCause::Quarantine => "quarantine",
            StoreCause::UsageRecord => "usage_record",
            StoreCause::StepWon => "step_won",
            StoreCause::StepLost => "step_lost",
        }
    }
}

/// What is timed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// From a request's arrival to the head of its answer.
    FirstByte,
    /// From a request's arrival to the end of its answer.
    WholeAnswer,
    /// One call to the store, watches left out.
    StoreCall,
    /// Age of the configuration's confirmation when a request arrives.
    ConfigurationAge,
    /// Time by which an answer began later than expected for its prompt and the load known.
    ServerQueue,
}

impl Timer {
    fn name(self) -> &'static str {
        match self {
            Timer::FirstByte => "first_byte_ms",
            Timer::WholeAnswer => "whole_answer_ms",
            Timer::StoreCall => "store_call_ms",
            Timer::ConfigurationAge => "configuration_age_ms",
            Timer::ServerQueue => "server_queue_ms",
        }
    }
}

/// All counters and histograms of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: RefCell<BTreeMap<Counter, u64>>,
    store_calls: RefCell<BTreeMap<StoreCause, u64>>,
    timers: RefCell<BTreeMap<Timer, Histogram<u32>>>,
}

impl Metrics {
    /// Counts one.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Counts several.
    pub fn count_many(&self, counter: Counter, n: usize) {
        *self.counters.borrow_mut().entry(counter).or_default() += n as u64;
    }

    /// Counts a call to the store by its cause.
    pub fn count_store_call(&self, cause: StoreCause) {
        *self.store_calls.borrow_mut().entry(cause).or_default() += 1;
    }

    /// Takes a time in.
    pub fn time(&self, timer: Timer, took: Duration) {
        let mut timers = self.timers.borrow_mut();
        timers
            .entry(timer)
            .or_insert_with(new_latency_histogram)
            .saturating_record(took.as_millis() as u64);
    }

    /// All of them, one a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // NB: writing to a string does not fail.
        for (counter, count) in self.counters.borrow().iter() {
            let _ = writeln!(text, "pondwalk_{} {count}", counter.name());
        }
        for (cause, count) in self.store_calls.borrow().iter() {
            let _ =
                writeln!(text, "pondwalk_store_calls_total{{cause=\"{}\"}} {count}", cause.name());
        }
        for (timer, histogram) in self.timers.borrow().iter() {
            let name = timer.name();
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "pondwalk_{name}{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "pondwalk_{name}_count {}", histogram.len());
        }
        text
    }
}

/// An empty histogram that grows with what it is told.
fn new_latency_histogram() -> Histogram<u32> {
    let bounded = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
    bounded.unwrap_or_else(|_| unreachable!("the bounds are constants that the library takes"))
}
