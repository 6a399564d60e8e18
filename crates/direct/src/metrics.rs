//! Counters and latency histograms in text form.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write, time::Duration};

use hdrhistogram::Histogram;

/// Maximum latency recorded, in milliseconds.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles exported per histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// Event counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Counter {
    /// Requests received.
    Requests,
    /// Successful answers relayed.
    Answered,
    /// Refused requests that did not run.
    Refused,
    /// Failed requests that ran or whose outcome is unknown.
    Failed,
    /// Requests whose caller disconnected.
    Abandoned,
    /// Requests sent to backend servers.
    Sends,
    /// Requests sent beyond the first attempt.
    FurtherSends,
    /// Sends taken from the retry budget that were not made, or too late.
    FurtherSendsPutBack,
    /// Requests that a backend server rejected without running them.
    NotRun,
    /// Backend servers that reported in a response that they are draining.
    ServersDraining,
    /// Backoffs requested by backend servers.
    BackoffsRequested,
    /// Changes of rate limits reported by backend servers.
    LimitsChanged,
    /// Permits granted to this entry for servers with a rate limit.
    PermitsGiven,
    /// Permits refused to this entry.
    PermitsRefused,
    /// Requests that waited for a server with capacity.
    WaitedForCapacity,
    /// Requests refused since their answers would have begun too late.
    AdmissionRefused,
    /// Requests that waited for a place at a full service.
    AdmissionWaited,
    /// Requests refused since their workspace exceeded its share of a service.
    SharesRefused,
    /// Requests withheld because their server turned cold or its data centre was evacuated.
    Withheld,
    /// Unreachable backend servers that are presumed cold once they return.
    ServersPresumedCold,
    /// Connections broken while a backend server had the request.
    ConnectionsBroken,
    /// Servers found to have crashed after the end of a run, while nothing was in flight.
    CrashesAfterRuns,
    /// Contents quarantined because servers crashed under them.
    ContentsQuarantined,
    /// Requests at cold servers lent by other entries.
    LoansGiven,
    /// Loans that no other entry granted.
    LoansRefused,
    /// Prompt parts quarantined because servers crashed under them.
    PartsQuarantined,
    /// Runs of quarantined requests as granted probes.
    Probes,
    /// Crashes observed by this entry but not published, since there were too many at once.
    CrashesNotReported,
    /// Answers of smaller models dropped in favour of a larger model's.
    Escalations,
    /// Larger models that were not asked since the retry budget was empty.
    LargerModelsWithheld,
    /// Streams resumed at another backend server.
    Resumes,
    /// Slow streams moved to another backend server.
    StreamsMoved,
    /// Responses of backend servers that were longer than allowed.
    AnswersTooLong,
    /// Responses of backend servers that are none in the protocol.
    AnswersInvalid,
    /// Panics, each of which ended a task.
    Panics,
    /// Background tasks restarted after a panic.
    TasksRestarted,
    /// Failed calls to the store.
    StoreFailures,
    /// Requests of other entries answered with a state.
    QuestionsAnswered,
    /// Usage reports accepted by the platform from this entry.
    UsageReports,
    /// Failed calls with usage reports.
    UsageCallsFailed,
    /// Bytes of state and gossip sent to other entries.
    PeerBytesSent,
    /// Bytes of state received from other entries.
    PeerBytesReceived,
    /// Summaries of work sent to other entries.
    LoadMessagesSent,
    /// Summaries of work rejected as malformed or implausible.
    LoadMessagesRefused,
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
            Counter::FurtherSendsPutBack => "further_sends_put_back_total",
            Counter::NotRun => "not_run_total",
            Counter::ServersDraining => "told_leaving_total",
            Counter::BackoffsRequested => "asked_backoff_total",
            Counter::LimitsChanged => "server_limits_changed_total",
            Counter::PermitsGiven => "permits_given_total",
            Counter::PermitsRefused => "permits_refused_total",
            Counter::WaitedForCapacity => "held_for_room_total",
            Counter::AdmissionRefused => "admission_refused_total",
            Counter::AdmissionWaited => "admission_waited_total",
            Counter::SharesRefused => "shares_refused_total",
            Counter::Withheld => "withheld_total",
            Counter::ServersPresumedCold => "servers_doubted_total",
            Counter::ConnectionsBroken => "connections_broken_total",
            Counter::CrashesAfterRuns => "crashes_after_runs_total",
            Counter::ContentsQuarantined => "contents_held_total",
            Counter::LoansGiven => "loans_given_total",
            Counter::LoansRefused => "loans_refused_total",
            Counter::PartsQuarantined => "prompt_parts_held_total",
            Counter::Probes => "probes_total",
            Counter::CrashesNotReported => "ends_not_told_total",
            Counter::Escalations => "escalations_total",
            Counter::LargerModelsWithheld => "larger_models_withheld",
            Counter::Resumes => "resumes_total",
            Counter::StreamsMoved => "streams_moved_total",
            Counter::AnswersTooLong => "answers_too_long_total",
            Counter::AnswersInvalid => "answers_invalid_total",
            Counter::Panics => "panics_total",
            Counter::TasksRestarted => "tasks_restarted_total",
            Counter::StoreFailures => "store_failures_total",
            Counter::QuestionsAnswered => "questions_answered_total",
            Counter::UsageReports => "usage_reports_total",
            Counter::UsageCallsFailed => "usage_calls_failed_total",
            Counter::PeerBytesSent => "peer_bytes_told_total",
            Counter::PeerBytesReceived => "peer_bytes_heard_total",
            Counter::LoadMessagesSent => "load_messages_sent",
            Counter::LoadMessagesRefused => "load_messages_refused",
        }
    }
}

/// Reason for a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StoreCause {
    /// Initial snapshot; one may take several calls.
    FirstReading,
    /// New snapshot after the history was compacted.
    Rereading,
    /// Watch by an entry that queries the store.
    Watching,
    /// Watch by an entry that normally queries another entry.
    Fallback,
    /// Watch on behalf of an entry that the store does not respond to.
    Relayed,
    /// Retry after the store was lost.
    Probing,
    /// Listing of entries.
    Listing,
    /// Write of the quarantine record.
    Quarantine,
    /// Write of the usage reporter's record.
    UsageRecord,
    /// Successful write of a roll-out step.
    StepWon,
    /// Failed write of a roll-out step, usually since another entry was first.
    StepLost,
}

impl StoreCause {
    fn name(self) -> &'static str {
        match self {
            StoreCause::FirstReading => "first_reading",
            StoreCause::Rereading => "rereading",
            StoreCause::Watching => "watching",
            StoreCause::Fallback => "fallback",
            StoreCause::Relayed => "relayed",
            StoreCause::Probing => "probing",
            StoreCause::Listing => "listing",
            StoreCause::Quarantine => "quarantine",
            StoreCause::UsageRecord => "usage_record",
            StoreCause::StepWon => "step_won",
            StoreCause::StepLost => "step_lost",
        }
    }
}

/// Measured durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// From the arrival of a request to the head of its answer.
    FirstByte,
    /// From the arrival of a request to the end of its answer.
    WholeAnswer,
    /// A store call, except for watches.
    StoreCall,
    /// Maximum age of changes received from the store.
    StoreChangeAge,
    /// Maximum age of changes received from other entries.
    PeerChangeAge,
    /// Time since the configuration was last confirmed, on arrival of a request.
    ConfigurationAge,
    /// Delay of a response beyond the time expected for its prompt and the known load.
    ServerQueue,
}

impl Timer {
    fn name(self) -> &'static str {
        match self {
            Timer::FirstByte => "first_byte_ms",
            Timer::WholeAnswer => "whole_answer_ms",
            Timer::StoreCall => "store_call_ms",
            Timer::StoreChangeAge => "store_change_age_ms",
            Timer::PeerChangeAge => "peer_change_age_ms",
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
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.count_many(counter, 1);
    }

    /// Adds to a counter.
    pub fn count_many(&self, counter: Counter, n: usize) {
        *self.counters.borrow_mut().entry(counter).or_default() += n as u64;
    }

    /// Counts a call to the store by its cause.
    pub fn count_store_call(&self, cause: StoreCause) {
        *self.store_calls.borrow_mut().entry(cause).or_default() += 1;
    }

    /// Records a duration.
    pub fn time(&self, timer: Timer, took: Duration) {
        let mut timers = self.timers.borrow_mut();
        timers
            .entry(timer)
            .or_insert_with(new_latency_histogram)
            .saturating_record(took.as_millis() as u64);
    }

    /// All metrics in text form, one per line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
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

/// Creates an empty, auto-resizing histogram.
fn new_latency_histogram() -> Histogram<u32> {
    let bounded = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS);
    bounded.unwrap_or_else(|_| unreachable!("the bounds are valid constants"))
}
