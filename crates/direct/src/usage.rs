//! Counts usage, gathers it, and reports it to the platform: one entry for all.
//!
//! Each entry counts what it saw begin to run and tells its counts up the tree, several times in a window.
//! The entries at the top know them all. Which of them reports, under which number and in which words, is
//! settled in the store by [`Reporter`]. Nothing of it is needed to answer a caller.

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

/// Key of the record of who reports usage, and what was reported last, where the store names no era.
const USAGE_KEY: &str = "pondwalk/usage-reporter";

/// Time between two looks at what is to be told or reported.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two readings of the time of day.
const CLOCK_READ_INTERVAL: Duration = Duration::from_secs(10);
/// Least time between two tellings of an entry. What it has not told is lost with it.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// The same for each entry: together they tell at most 400 times a second.
const PUBLISH_INTERVAL_PER_ENTRY: Duration = Duration::from_micros(2_500);
/// Part of the delay allowed in which counts gather after a window's end, besides the time between two
/// tellings.
const GATHER_FRACTION: f64 = 0.2;
/// Part of that delay for which an entry that heard only part of a window leaves it to others.
const PARTIAL_COUNTS_FRACTION: f64 = 0.2;
/// Part of that delay for which others leave to the holder what is due.
const HOLDER_FIRST_FRACTION: f64 = 0.1;
/// Windows ahead of the time of day for which counts are believed; clocks of machines differ.
const MAX_WINDOWS_AHEAD: u64 = 2;
/// Pause after a call that came to nothing; each costs the platform something.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a call. It comes in milliseconds.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A step of the task, under the name of the event.
#[derive(Debug, Serialize)]
#[serde(tag = "event")]
enum UsageEvent {
    /// This entry has become the holder.
    #[serde(rename = "usage_reporter_changed")]
    Taken { fencing_token: u64 },
    /// The platform took a report.
    #[serde(rename = "usage_reported")]
    Reported { window: WindowId, requests: u64, workspaces: usize, fencing_token: u64 },
    /// A call came to nothing.
    #[serde(rename = "usage_call_failed")]
    CallFailed { window: WindowId, fencing_token: u64, error: String },
    /// A report could not be written before it was to be said.
    #[serde(rename = "usage_not_written")]
    NotWritten { window: WindowId, error: String },
    /// The store holds something else in the record's place.
    #[serde(rename = "usage_record_unreadable")]
    RecordUnreadable { error: String },
    /// Counts came of a window that is reported already, or too far off.
    #[serde(rename = "usage_counts_ignored")]
    CountsIgnored { from: String, window: WindowId },
}

/// What an entry counts and knows of usage.
#[derive(Debug)]
pub struct Usage {
    settings: UsageSettings,
    meter: RefCell<UsageMeter>,
    totals: RefCell<UsageTotals>,
    time: RefCell<ClockEstimate>,
    reporter: RefCell<Reporter>,
    /// Since when all counts reach this entry.
    complete_since: Cell<Option<Duration>>,
    /// Whether the record in the store cannot be read: it is another version's, and left to that.
    is_unreadable: Cell<bool>,
}

impl Usage {
    /// Nothing is counted yet.
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

    /// The windows that could be reported at a time of day, if counts take `gathering` to arrive where some
    /// entry may have more to tell.
    fn due_windows(&self, unix_ms: u64, gathering: Duration, now: Duration) -> DueWindows {
        let waited_for = unix_ms.saturating_sub(whole_ms(gathering));
        let latest = self.window_of(unix_ms).saturating_sub(1);
        let (from_ms, to_ms) = (latest * self.interval_ms(), (latest + 1) * self.interval_ms());
        let is_whole = self.totals.borrow().have_all_published(from_ms, to_ms)
            && self.has_complete_counts(latest, now, unix_ms);
        let newest_complete =
            if is_whole { latest } else { self.window_of(waited_for).saturating_sub(1) };
        DueWindows { oldest_in_time: self.oldest_in_time(unix_ms), newest_complete }
    }

    /// The first window that can still be reported and whose words are not written.
    fn first_open_window(&self, unix_ms: u64) -> WindowId {
        let written = self.reporter.borrow().newest_written();
        let after = written.map_or(0, |written| written.saturating_add(1));
        after.max(self.oldest_in_time(unix_ms))
    }

    /// Whether counts of a window are of use at a time of day.
    fn is_open(&self, window: WindowId, unix_ms: u64) -> bool {
        let newest = self.window_of(unix_ms) + MAX_WINDOWS_AHEAD;
        (self.first_open_window(unix_ms)..=newest).contains(&window)
    }

    /// Whether this entry has heard all counts of a window from its beginning.
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
/// NB: a write of before a restoration may be done after it, so it must not reach the next era's record.
pub fn usage_key(era: Era) -> String {
    match era {
        0 => USAGE_KEY.to_owned(),
        era => format!("{USAGE_KEY}/{era}"),
    }
}

/// Whether a key is that of the record in any era.
pub fn is_usage_key(key: &str) -> bool {
    key.starts_with(USAGE_KEY)
}

impl Core {
    /// A request of a workspace has begun to run.
    pub fn count_usage(&self, workspace: &str) {
        let Some(usage) = &self.usage else { return };
        // NB: by the clock by which it tells until when it has counted.
        if let Some(unix_ms) = usage.time.borrow().local_unix_ms(self.clock.now()) {
            usage.meter.borrow_mut().record_request(usage.window_of(unix_ms), workspace);
        }
    }

    /// An entry told what it has counted.
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

    /// Hears of the era that the store is in, before what it holds.
    pub fn apply_usage_era(&self, era: Era) {
        let Some(usage) = &self.usage else { return };
        usage.reporter.borrow_mut().enter_era(era, self.clock.now());
    }

    /// Hears what the store holds of the task, or that its record is gone.
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

    /// Time between two tellings of what this entry has counted.
    fn usage_publish_interval(&self) -> Duration {
        (PUBLISH_INTERVAL_PER_ENTRY * self.members.count() as u32).max(MIN_PUBLISH_INTERVAL)
    }

    /// Tells the counts that have changed.
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

/// Tells other entries what this one has counted, for as long as the process runs.
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
        // NB: who was told before may be gone, and with it what it had not passed on.
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

/// Reports usage where that is this entry's to do, for as long as the process runs.
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

/// What this entry is to do now, if anything.
fn next_step(core: &Core, usage: &Usage, coordinator: &Coordinator) -> Option<ReporterStep> {
    let now = core.clock.now();
    if !core.receives_all_gossip() {
        usage.complete_since.set(None);
    } else if usage.complete_since.get().is_none() {
        usage.complete_since.set(Some(now));
    }
    // NB: an entry that asks others hears too late who was first.
    if matches!(core.source(), ChangeSource::Entry { .. }) || usage.is_unreadable.get() {
        return None;
    }
    if core.outage().is_some() || core.state.borrow().catalog.is_none() {
        return None;
    }
    let unix_ms = usage.time.borrow().unix_ms(now)?;
    let gathering = usage.fraction_of_delay(GATHER_FRACTION) + core.usage_publish_interval();
    let windows = usage.due_windows(unix_ms, gathering, now);
    let mut order = ReporterDelays {
        by_order: coordinator.rotation_delay(),
        holder_grace: usage.fraction_of_delay(HOLDER_FIRST_FRACTION),
    };
    let next = usage.first_open_window(unix_ms);
    usage.totals.borrow_mut().remove_before(next);
    if !usage.has_complete_counts(next, now, unix_ms) {
        order.by_order += usage.fraction_of_delay(PARTIAL_COUNTS_FRACTION);
    }
    let mut reporter = usage.reporter.borrow_mut();
    reporter.next_step(windows, order, now, |window| usage.totals.borrow().total(window))
}

/// Writes a record; tells whether that has brought the task forward.
async fn write(
    core: &Core,
    usage: &Usage,
    coordinator: &Coordinator,
    record: ReporterRecord,
    expected: Option<u64>,
) -> bool {
    let sent = core.clock.now();
    // NB: a record of texts and numbers always serializes.
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
        // NB: the record of an era before is read by nobody any more.
        Ok(position) if position.era != era => WriteOutcome::Unknown,
        Ok(position) => WriteOutcome::Written(position.revision),
        Err(StoreError::ResponseLost | StoreError::ResponseStalled(_) | StoreError::Malformed) => {
            WriteOutcome::Unknown
        }
        Err(StoreError::Conflict | StoreError::Unreachable | StoreError::LeaseLapsed) => {
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

/// Takes in what became of a call; tells whether that has brought the task forward.
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
