//! Counts usage, aggregates it over all entries, and reports it to the platform from a single
//! entry.
//!
//! Each entry counts the requests that it saw start and publishes its counts towards the root
//! several times per window, so the entries near the root know all counts. [`Reporter`] decides
//! through the store which of them reports, with which fencing token and which counts. Answering
//! callers doesn't depend on any of this.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use pondwalk_config::UsageSettings;
use pondwalk_decide::direct::{
    CallOutcome, ClockEstimate, DueWindows, Reporter, ReporterDelays, ReporterRecord, ReporterStep,
    UsageCounts, UsageMeter, UsageTotals, WindowId, WriteOutcome,
};
use pondwalk_store::{Change, Era, Expect, StoreEntry, StoreError};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    coordinator::Coordinator,
    core::Core,
    event_log::LogPriority,
    membership::{ChangeSource, Gossip, GossipItem},
    metrics::{Counter, StoreCause},
    port::{Port, ReportError, UsageReport},
};

/// Key of the record with the reporting entry and the last report, where the store reports no era.
const USAGE_KEY: &str = "pondwalk/usage-reporter";

/// Poll interval for counts to publish and reports that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between readings of the wall clock.
const CLOCK_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time between two publications by an entry. Unpublished counts are lost if it fails.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Additional interval per listed entry: all entries together publish at most 400 times a second.
const PUBLISH_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(2_500);
/// Fraction of the allowed delay left for counts to arrive after a window's end, in addition to the
/// publication interval.
const GATHER_FRACTION: f64 = 0.2;
/// Fraction of that delay for which an entry with incomplete counts of a window leaves the report
/// to others.
const PARTIAL_COUNTS_FRACTION: f64 = 0.2;
/// Fraction of that delay for which other entries leave a due report to the holder.
const HOLDER_FIRST_FRACTION: f64 = 0.1;
/// Number of windows in the future for which counts are accepted, since machines' clocks differ.
const MAX_WINDOWS_AHEAD: u64 = 2;
/// Delay after a failed call; each call costs the platform something.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Call timeout. Replies normally take milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Log event of the usage reporter; the tag is the event name.
#[derive(Debug, Serialize)]
#[serde(tag = "event")]
enum UsageEvent {
    /// This entry has become the holder.
    #[serde(rename = "usage_reporter_changed")]
    Taken { fencing_token: u64 },
    /// The platform accepted a report.
    #[serde(rename = "usage_reported")]
    Reported { window: WindowId, requests: u64, workspaces: usize, fencing_token: u64 },
    /// A call failed.
    #[serde(rename = "usage_call_failed")]
    CallFailed { window: WindowId, fencing_token: u64, error: String },
    /// The record of a report could not be written before the call.
    #[serde(rename = "usage_not_written")]
    NotWritten { window: WindowId, error: String },
    /// The stored record can't be parsed.
    #[serde(rename = "usage_record_unreadable")]
    RecordUnreadable { error: String },
    /// Counts were received for a window that is already reported, or too far in the future.
    #[serde(rename = "usage_counts_ignored")]
    CountsIgnored { from: String, window: WindowId },
}

/// Usage counts of this entry and of all entries, and the state of the reporter.
#[derive(Debug)]
pub struct Usage {
    settings: UsageSettings,
    meter: RefCell<UsageMeter>,
    totals: RefCell<UsageTotals>,
    time: RefCell<ClockEstimate>,
    reporter: RefCell<Reporter>,
    /// Since when all counts have reached this entry.
    complete_since: Cell<Option<Duration>>,
    /// Whether the stored record can't be parsed; another release wrote it and keeps reporting.
    is_unreadable: Cell<bool>,
}

impl Usage {
    /// Creates empty counts.
    pub fn new(name: &str, incarnation: u64, settings: UsageSettings) -> Self {
        Usage {
            settings,
            meter: RefCell::default(),
            totals: RefCell::default(),
            time: RefCell::default(),
            reporter: RefCell::new(Reporter::new(name, incarnation, settings.lease)),
            complete_since: Cell::default(),
            is_unreadable: Cell::default(),
        }
    }

    fn window_of(&self, unix_ms: u64) -> WindowId {
        unix_ms / self.interval_ms()
    }

    fn interval_ms(&self) -> u64 {
        whole_ms(self.settings.report_interval).max(1)
    }

    /// The oldest window that can still be reported in time.
    fn oldest_in_time(&self, unix_ms: u64) -> WindowId {
        self.window_of(unix_ms.saturating_sub(whole_ms(self.settings.usage_delay)))
    }

    /// The windows that can be reported at a wall-clock time, where counts take `gathering` to
    /// arrive as long as some entry may have more to publish.
    fn due_windows(&self, unix_ms: u64, gathering: Duration, now: Duration) -> DueWindows {
        let waited_for = unix_ms.saturating_sub(whole_ms(gathering));
        let latest = self.window_of(unix_ms).saturating_sub(1);
        let (from_ms, to_ms) = (latest * self.interval_ms(), (latest + 1) * self.interval_ms());
        let is_whole = self.totals.borrow().have_all_published(from_ms, to_ms)
            && self.has_complete_counts(latest, now, unix_ms);
        let newest_complete =
            if is_whole { latest } else { self.window_of(waited_for).saturating_sub(1) };
        let oldest_in_time = self.oldest_in_time(unix_ms);
        DueWindows { oldest_in_time, newest_complete, newest_ended: latest }
    }

    /// The first window that can still be reported and has no stored record.
    fn first_open_window(&self, unix_ms: u64) -> WindowId {
        let written = self.reporter.borrow().newest_written();
        let after = written.map_or(0, |written| written.saturating_add(1));
        after.max(self.oldest_in_time(unix_ms))
    }

    /// Whether counts of a window are still useful at a wall-clock time.
    fn is_open(&self, window: WindowId, unix_ms: u64) -> bool {
        let newest = self.window_of(unix_ms) + MAX_WINDOWS_AHEAD;
        (self.first_open_window(unix_ms)..=newest).contains(&window)
    }

    /// Whether this entry has received all counts of a window from its start.
    fn has_complete_counts(&self, window: WindowId, now: Duration, unix_ms: u64) -> bool {
        let Some(since) = self.complete_since.get() else { return false };
        let since_ms = unix_ms.saturating_sub(whole_ms(now.saturating_sub(since)));
        window * self.interval_ms() >= since_ms
    }

    fn fraction_of_delay(&self, part: f64) -> Duration {
        self.settings.usage_delay.mul_f64(part)
    }
}

/// Key of the record in an era of the store.
///
/// A write from before a restoration may be applied after it, so it must not overwrite the record
/// of the next era.
pub fn usage_key(era: Era) -> String {
    match era {
        0 => USAGE_KEY.to_owned(),
        era => format!("{USAGE_KEY}/{era}"),
    }
}

/// Whether a key is the record's key in any era.
pub fn is_usage_key(key: &str) -> bool {
    key.starts_with(USAGE_KEY)
}

impl Core {
    /// Counts a request of a workspace that has started to run.
    pub fn count_usage(&self, workspace: &str) {
        let Some(usage) = &self.usage else { return };
        // Uses the clock that also dates the published counts.
        if let Some(unix_ms) = usage.time.borrow().local_unix_ms(self.clock.now()) {
            usage.meter.borrow_mut().record_request(usage.window_of(unix_ms), workspace);
        }
    }

    /// Applies the counts published by an entry.
    pub fn receive_usage_counts(
        &self,
        item: &GossipItem,
        window: WindowId,
        counts: &UsageCounts,
        published_ms: u64,
    ) {
        let Some(usage) = &self.usage else { return };
        let now = self.clock.now();
        let mut time = usage.time.borrow_mut();
        time.apply_peer(&item.origin, published_ms, now.saturating_sub(item.age));
        let Some(unix_ms) = time.unix_ms(now) else { return };
        drop(time);
        if !usage.is_open(window, unix_ms) {
            let from = item.origin.clone();
            self.event_log.record(LogPriority::State, &UsageEvent::CountsIgnored { from, window });
            return;
        }
        let publisher = (item.origin.clone(), item.incarnation);
        let mut totals = usage.totals.borrow_mut();
        totals.record_published_until(&item.origin, published_ms);
        totals.apply_counts(publisher, item.number, window, counts.clone());
    }

    /// Applies the era of the store, before its content.
    pub fn apply_usage_era(&self, era: Era) {
        let Some(usage) = &self.usage else { return };
        usage.reporter.borrow_mut().enter_era(era, self.clock.now());
    }

    /// Applies the stored record, or its removal.
    pub fn apply_usage_record(&self, entry: Option<&StoreEntry>) {
        let Some(usage) = &self.usage else { return };
        let now = self.clock.now();
        let mut reporter = usage.reporter.borrow_mut();
        usage.is_unreadable.set(false);
        let Some(entry) = entry else { return reporter.apply_record(None, now) };
        match serde_json::from_slice::<ReporterRecord>(&entry.value) {
            Ok(record) => reporter.apply_record(Some((record, entry.revision)), now),
            Err(error) => {
                usage.is_unreadable.set(true);
                let error = error.to_string();
                self.event_log.record(LogPriority::State, &UsageEvent::RecordUnreadable { error });
            }
        }
    }

    /// Time between two publications of this entry's counts.
    fn usage_publish_interval(&self) -> Duration {
        (PUBLISH_INTERVAL_PER_ENTRY * self.members.count() as u32).max(MIN_PUBLISH_INTERVAL)
    }

    /// Publishes the counts since the last publication, before the process ends.
    pub fn publish_last_counts(&self) {
        if let Some(usage) = &self.usage {
            self.publish_counts(usage);
        }
    }

    /// Publishes the counts that have changed.
    fn publish_counts(&self, usage: &Usage) {
        let Some(unix_ms) = usage.time.borrow().local_unix_ms(self.clock.now()) else { return };
        let mut meter = usage.meter.borrow_mut();
        meter.remove_before(usage.first_open_window(unix_ms));
        meter.open_window(usage.window_of(unix_ms));
        let unpublished = meter.drain_unpublished();
        drop(meter);
        for (window, counts) in unpublished {
            self.publish_gossip(Gossip::Used { window, counts, unix_ms });
        }
    }
}

/// Publishes this entry's counts for as long as the process runs.
pub async fn publish_usage(core: Rc<Core>) {
    let Some(usage) = &core.usage else { return };
    let mut read_at = Duration::ZERO;
    let mut publish_at = Duration::ZERO;
    let mut source = None;
    loop {
        let now = core.clock.now();
        if now >= read_at {
            read_at = now + CLOCK_READ_INTERVAL;
            usage.time.borrow_mut().record_reading(core.clock.unix_ms(), now);
        }
        // The previous parents may have failed with counts that they had not forwarded.
        let parents = core.parents();
        if source.as_ref() != Some(&parents) {
            source = Some(parents);
            usage.meter.borrow_mut().mark_all_unpublished();
        }
        if now >= publish_at {
            publish_at = now + core.usage_publish_interval();
            core.publish_counts(usage);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Reports usage if this entry is responsible, for as long as the process runs.
pub async fn report_usage(core: Rc<Core>, port: Port, coordinator: Rc<Coordinator>) {
    let (Some(usage), Some(report)) = (&core.usage, &port.report_usage) else { return };
    loop {
        sleep(POLL_INTERVAL).await;
        while let Some(step) = next_step(&core, usage, &coordinator) {
            let has_progressed = match step {
                ReporterStep::Write(record, expected) => {
                    write(&core, usage, &coordinator, record, expected).await
                }
                ReporterStep::Call(record, until) => {
                    let limit = until.saturating_sub(core.clock.now()).min(CALL_TIMEOUT);
                    let calling = report(report_of(&record), limit);
                    record_call(&core, usage, &record, calling.await)
                }
            };
            if !has_progressed {
                sleep(CALL_RETRY_DELAY).await;
            }
        }
    }
}

/// The next step of the reporter, if one is due.
fn next_step(core: &Core, usage: &Usage, coordinator: &Coordinator) -> Option<ReporterStep> {
    let now = core.clock.now();
    if !core.receives_all_gossip() {
        usage.complete_since.set(None);
    } else if usage.complete_since.get().is_none() {
        usage.complete_since.set(Some(now));
    }
    // An entry that queries another entry receives the holder's record too late.
    if matches!(core.source(), ChangeSource::Entry { .. }) || usage.is_unreadable.get() {
        return None;
    }
    if core.outage().is_some() || core.state.borrow().catalog.is_none() {
        return None;
    }
    let unix_ms = usage.time.borrow().unix_ms(now)?;
    let gathering = usage.fraction_of_delay(GATHER_FRACTION) + core.usage_publish_interval();
    let windows = usage.due_windows(unix_ms, gathering, now);
    let mut delays = ReporterDelays {
        by_order: coordinator.rotation_delay(),
        holder_grace: usage.fraction_of_delay(HOLDER_FIRST_FRACTION),
    };
    let next = usage.first_open_window(unix_ms);
    usage.totals.borrow_mut().remove_before(next);
    if !usage.has_complete_counts(next, now, unix_ms) {
        delays.by_order += usage.fraction_of_delay(PARTIAL_COUNTS_FRACTION);
    }
    let mut reporter = usage.reporter.borrow_mut();
    reporter.next_step(windows, delays, now, |window| usage.totals.borrow().total(window))
}

/// Writes a record; returns whether this made progress.
async fn write(
    core: &Core,
    usage: &Usage,
    coordinator: &Coordinator,
    record: ReporterRecord,
    expected: Option<u64>,
) -> bool {
    let sent = core.clock.now();
    // Serializing strings and numbers can't fail.
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let expect = expected.map_or(Expect::Absent, Expect::Revision);
    let era = usage.reporter.borrow().era();
    let change = Change { key: usage_key(era), value, expect, lease: None };
    let written = coordinator.commit(vec![change], StoreCause::UsageRecord).await;
    if let Err(error) = &written {
        let (window, error) = (record.window, error.to_string());
        core.event_log.record(LogPriority::State, &UsageEvent::NotWritten { window, error });
    }
    let is_done = written.is_ok();
    let end = match written {
        // Nothing reads the record of a previous era.
        Ok(position) if position.era != era => WriteOutcome::Unknown,
        Ok(position) => WriteOutcome::Written(position.revision),
        Err(
            StoreError::ResponseLost
            | StoreError::ResponseStalled(_)
            | StoreError::ResponseTooLong(_)
            | StoreError::Malformed,
        ) => WriteOutcome::Unknown,
        Err(StoreError::Conflict | StoreError::Unreachable | StoreError::LeaseExpired) => {
            WriteOutcome::NotWritten
        }
    };
    let fencing_token = record.fencing_token;
    let mut reporter = usage.reporter.borrow_mut();
    let before = reporter.record().map(|record| record.fencing_token);
    reporter.on_write_outcome(record, sent, end, core.clock.now());
    if is_done && before != Some(fencing_token) {
        core.event_log.record(LogPriority::State, &UsageEvent::Taken { fencing_token });
    }
    is_done
}

fn report_of(record: &ReporterRecord) -> UsageReport {
    UsageReport {
        holder: record.holder.clone(),
        fencing_token: record.fencing_token,
        window: record.window,
        counts: record.counts.clone(),
    }
}

/// Records the result of a call; returns whether this made progress.
fn record_call(
    core: &Core,
    usage: &Usage,
    record: &ReporterRecord,
    called: Result<(), ReportError>,
) -> bool {
    let (window, fencing_token) = (record.window, record.fencing_token);
    let end = match &called {
        Ok(()) => CallOutcome::Accepted,
        Err(ReportError::StaleFencingToken) => CallOutcome::Fenced,
        Err(_) => CallOutcome::Failed,
    };
    usage.reporter.borrow_mut().on_call_outcome(record, end, core.clock.now());
    match called {
        Ok(()) => {
            core.metrics.count(Counter::UsageReports);
            let requests = record.counts.values().sum();
            let workspaces = record.counts.len();
            let event = UsageEvent::Reported { window, requests, workspaces, fencing_token };
            core.event_log.record(LogPriority::State, &event);
        }
        Err(error) => {
            core.metrics.count(Counter::UsageCallsFailed);
            let error = error.to_string();
            let event = UsageEvent::CallFailed { window, fencing_token, error };
            core.event_log.record(LogPriority::State, &event);
        }
    }
    end == CallOutcome::Accepted
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
