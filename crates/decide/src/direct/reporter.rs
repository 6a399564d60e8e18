//! Decides which entry reports usage for all entries, and makes sure that each report has one
//! content.
//!
//! One entry reports usage to the platform for all. The record in the store holds the name of this
//! holder, a fencing token that increases with each change of holder, and the content of the latest
//! report. Before an entry reports anything, it writes the report to the record, on condition that
//! the record has not changed since the entry last received it. This gives one order of holders,
//! tokens and reports. An entry that takes over repeats the recorded report byte for byte, as it
//! cannot know whether the platform received it.
//!
//! A write allows its writer to call the platform for a fraction of the lease, counted from when
//! the write was sent. Other entries wait for the full lease after they received the record. A
//! holder that was suspended, or cut off from the store, therefore stops by its own clock before
//! another begins.
//!
//! A store that is restored from a backup may hold an earlier record, and a write from before the
//! restoration may still be applied to it. Each era of the store therefore has a record of its own,
//! and tokens begin with the era, above all tokens of earlier eras. The newest report that an entry
//! has received remains valid and is written again. An entry that cannot know what was lost waits
//! for the full lease and omits the windows that may have been reported: a missing report does
//! less harm than a second one with other content.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_types::WorkspaceId;
use serde::{Deserialize, Serialize};

/// Number of a window of wall-clock time: Unix time divided by the length of a window.
pub type WindowId = u64;
/// Token that increases with each change of holder.
pub type FencingToken = u64;
/// Requests that began to run in a window, by workspace.
pub type UsageCounts = BTreeMap<WorkspaceId, u64>;

/// Number of tokens in one era of the store.
const TOKENS_IN_ERA: u64 = 1_000_000;
/// Fraction of the lease for which a write allows calls. The rest is reserved for calls that arrive
/// late.
const CALL_LEASE_FRACTION: f64 = 0.5;
/// Time of failing calls after which another entry may try: only the path from this entry to the
/// platform may be cut.
const MAX_FAILING_TIME: Duration = Duration::from_secs(3);
/// Time for which an entry whose calls failed leaves the task to others.
const YIELD_TIME: Duration = Duration::from_secs(10);

/// Record of the task in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReporterRecord {
    /// Name of the entry that holds the task.
    pub holder: String,
    /// Random number of that entry's incarnation.
    pub incarnation: u64,
    /// Fencing token of the holder.
    pub fencing_token: FencingToken,
    /// Window of the latest report.
    pub window: WindowId,
    /// Content of that report.
    pub counts: UsageCounts,
    /// Windows up to this one are omitted, since a report that a restored store has lost may cover
    /// them.
    #[serde(default)]
    pub left_out_to: WindowId,
}

/// Outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// The platform accepted the report.
    Accepted,
    /// The platform has seen a higher token.
    Fenced,
    /// The report was not accepted, or there was no answer.
    Failed,
}

/// Number of a history of the store; 0 if the store has no eras.
pub type StoreEra = u64;

/// Outcome of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// The record was written and has this revision.
    Written(u64),
    /// The record was not written.
    NotWritten,
    /// There was no answer.
    Unknown,
}

/// Next step of the reporter.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReporterStep {
    /// Write this record if the stored one has this revision; `None` requires that there is none.
    Write(ReporterRecord, Option<u64>),
    /// Report the content of this record, until this time at the latest.
    Call(ReporterRecord, Duration),
}

/// The windows that could be reported, as this entry sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DueWindows {
    /// Oldest window that can still be reported in time.
    pub oldest_in_time: WindowId,
    /// Newest window for which all counts should have arrived.
    pub newest_complete: WindowId,
    /// Newest window that has ended. An entry whose counts are complete sooner may have reported it.
    pub newest_ended: WindowId,
}

/// Time for which this entry leaves due reports to others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReporterDelays {
    /// Delay by its position among the entries.
    pub by_order: Duration,
    /// Further delay while another entry is the holder.
    pub holder_grace: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct StoredRecord {
    record: ReporterRecord,
    revision: u64,
    /// When this entry received the record.
    received_at: Duration,
}

/// One entry's state of the task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reporter {
    name: String,
    incarnation: u64,
    lease: Duration,
    /// Era of the store, and when this entry received it.
    era: (StoreEra, Duration),
    stored: Option<StoredRecord>,
    /// Newest report ever received, also from records that are gone.
    newest_record: Option<ReporterRecord>,
    /// Highest token ever received, also from records that are gone.
    highest_token: FencingToken,
    /// Highest token under which the platform refused a call.
    fenced_token: FencingToken,
    /// Until when this entry may report the record that it wrote itself.
    may_call_until: Duration,
    /// When its latest successful write was sent.
    written_at: Option<Duration>,
    /// Whether this entry, and no other, held the task at the end of the previous era.
    held_previous_era: bool,
    /// Whether an unknown holder may have reported the windows that have ended by now.
    has_unknown_reports: bool,
    /// Newest window that is omitted.
    left_out_to: WindowId,
    /// Since when calls have failed.
    failing_since: Option<Duration>,
    /// Until when to wait for a write without an answer, which may still be applied.
    pending_write_until: Duration,
    /// Newest window whose report was accepted from this incarnation.
    accepted: Option<WindowId>,
    /// Window that is due, and since when.
    due_since: Option<(WindowId, Duration)>,
    yields_until: Duration,
}

impl Reporter {
    /// Creates the state without a record. `lease` is the time for which a holder must not be
    /// replaced.
    pub fn new(name: &str, incarnation: u64, lease: Duration) -> Self {
        Reporter {
            name: name.to_owned(),
            incarnation,
            lease,
            era: (0, Duration::ZERO),
            stored: None,
            newest_record: None,
            highest_token: 0,
            fenced_token: 0,
            may_call_until: Duration::ZERO,
            written_at: None,
            held_previous_era: false,
            has_unknown_reports: false,
            left_out_to: 0,
            failing_since: None,
            pending_write_until: Duration::ZERO,
            accepted: None,
            due_since: None,
            yields_until: Duration::ZERO,
        }
    }

    /// The record as last received.
    pub fn record(&self) -> Option<&ReporterRecord> {
        self.stored.as_ref().map(|stored| &stored.record)
    }

    /// Newest window whose report was written, also before the store was restored.
    pub fn newest_written(&self) -> Option<WindowId> {
        self.newest_record.as_ref().map(|record| record.window)
    }

    /// Era of the store as last received.
    pub fn era(&self) -> StoreEra {
        self.era.0
    }

    /// Enters an era of the store; the record of that era is applied next.
    pub fn enter_era(&mut self, era: StoreEra, now: Duration) {
        if era != self.era.0 {
            self.era = (era, now);
            self.stored = None;
            self.may_call_until = Duration::ZERO;
            // NB: within the lease of this entry's own write no other entry has written.
            self.held_previous_era = self.written_at.is_some_and(|at| now < at + self.lease);
            self.has_unknown_reports = !self.held_previous_era;
        }
    }

    /// Applies the record of the current era, or its absence.
    pub fn apply_record(&mut self, record: Option<(ReporterRecord, u64)>, now: Duration) {
        let Some((record, revision)) = record else {
            self.stored = None;
            self.may_call_until = Duration::ZERO;
            return;
        };
        if self.stored.as_ref().is_some_and(|stored| stored.revision >= revision) {
            return;
        }
        self.highest_token = self.highest_token.max(record.fencing_token);
        if self
            .newest_record
            .as_ref()
            .is_none_or(|newest_record| write_order(newest_record) < write_order(&record))
        {
            self.newest_record = Some(record.clone());
        }
        self.left_out_to = self.left_out_to.max(record.left_out_to);
        self.has_unknown_reports = false;
        // NB: also if the record shows a write of this entry without an answer. Several identical
        // writes may have been sent, so it is unknown which one was applied and when it was sent.
        self.may_call_until = Duration::ZERO;
        self.pending_write_until = Duration::ZERO;
        self.stored = Some(StoredRecord { record, revision, received_at: now });
    }

    /// Applies the outcome of a write sent at `sent_at`.
    pub fn on_write_outcome(
        &mut self,
        record: ReporterRecord,
        sent_at: Duration,
        outcome: WriteOutcome,
        now: Duration,
    ) {
        match outcome {
            WriteOutcome::Written(revision) => {
                self.apply_record(Some((record, revision)), now);
                let is_latest =
                    self.stored.as_ref().is_some_and(|stored| stored.revision == revision);
                if is_latest {
                    self.may_call_until = sent_at + self.lease.mul_f64(CALL_LEASE_FRACTION);
                    self.written_at = Some(sent_at);
                }
            }
            // NB: the record that was written first arrives with all other changes.
            WriteOutcome::NotWritten => {}
            WriteOutcome::Unknown => self.pending_write_until = sent_at + self.lease,
        }
    }

    /// Applies the outcome of a call with this record.
    pub fn on_call_outcome(
        &mut self,
        record: &ReporterRecord,
        outcome: CallOutcome,
        now: Duration,
    ) {
        match outcome {
            CallOutcome::Accepted => {
                self.accepted = self.accepted.max(Some(record.window));
                self.failing_since = None;
            }
            CallOutcome::Fenced => {
                self.fenced_token = self.fenced_token.max(record.fencing_token);
            }
            CallOutcome::Failed => self.record_failed_call(now),
        }
    }

    fn record_failed_call(&mut self, now: Duration) {
        let since = *self.failing_since.get_or_insert(now);
        if now.saturating_sub(since) >= MAX_FAILING_TIME {
            self.failing_since = None;
            self.yields_until = now + YIELD_TIME;
        }
    }

    /// Returns the next step, if any; `counts` returns the content of a window's report.
    pub fn next_step(
        &mut self,
        windows: DueWindows,
        delays: ReporterDelays,
        now: Duration,
        counts: impl FnOnce(WindowId) -> UsageCounts,
    ) -> Option<ReporterStep> {
        // NB: a write without an answer may still be applied; the next record received ends the
        // wait.
        if now < self.yields_until || now < self.pending_write_until {
            return None;
        }
        if std::mem::take(&mut self.has_unknown_reports) {
            self.left_out_to = self.left_out_to.max(windows.newest_ended);
        }
        if let Some(step) = self.finish_report(windows, now) {
            return Some(step);
        }
        let window = match self.lost_report(windows) {
            Some(record) => record.window,
            None => self.next_window(windows)?,
        };
        let due_since = match self.due_since {
            Some((due, since)) if due == window => since,
            _ => now,
        };
        self.due_since = Some((window, due_since));
        if !self.may_write(delays, due_since, now) {
            return None;
        }
        let token = self.next_token();
        let (window, counts) = match self.report_to_repeat(windows) {
            Some(record) => (record.window, record.counts.clone()),
            None => (window, counts(window)),
        };
        Some(self.write_step(token, window, counts))
    }

    /// Reports what this entry has written, or renews the lease to do so.
    fn finish_report(&self, windows: DueWindows, now: Duration) -> Option<ReporterStep> {
        let record = self.newest_record.as_ref().filter(|record| self.may_continue(record))?;
        if self.accepted >= Some(record.window) || record.window < windows.oldest_in_time {
            return None;
        }
        if now < self.may_call_until {
            return Some(ReporterStep::Call(record.clone(), self.may_call_until));
        }
        Some(self.write_step(record.fencing_token, record.window, record.counts.clone()))
    }

    /// The window to report next.
    fn next_window(&self, windows: DueWindows) -> Option<WindowId> {
        let written = self.newest_written().unwrap_or_default();
        let after = written.max(self.left_out_to).saturating_add(1);
        let window = after.max(windows.oldest_in_time);
        (window <= windows.newest_complete).then_some(window)
    }

    /// Report that another holder, or an earlier incarnation, may not have delivered.
    fn report_to_repeat(&self, windows: DueWindows) -> Option<&ReporterRecord> {
        let record = self.newest_record.as_ref()?;
        let is_pending = !self.may_continue(record) && record.window >= windows.oldest_in_time;
        is_pending.then_some(record)
    }

    /// Report that the restored store has lost and that could be repeated with other content.
    fn lost_report(&self, windows: DueWindows) -> Option<&ReporterRecord> {
        let newest_record = self.newest_record.as_ref()?;
        let is_lost =
            self.record().is_none_or(|record| write_order(record) < write_order(newest_record));
        (is_lost && newest_record.window >= windows.oldest_in_time).then_some(newest_record)
    }

    fn may_write(&self, delays: ReporterDelays, due_since: Duration, now: Duration) -> bool {
        let has_waited = |wait: Duration| now >= due_since + wait;
        match &self.stored {
            Some(stored) if stored.record.holder == self.name => true,
            Some(stored) => {
                has_waited(delays.by_order + delays.holder_grace)
                    && now >= stored.received_at + self.lease
            }
            None if self.held_previous_era => true,
            // NB: the holder in the previous era may not have received the new era yet.
            None => {
                has_waited(delays.by_order) && (self.era.0 == 0 || now >= self.era.1 + self.lease)
            }
        }
    }

    fn is_of_era(&self, record: &ReporterRecord) -> bool {
        record.fencing_token / TOKENS_IN_ERA == self.era.0
    }

    /// Whether the record belongs to this incarnation and its token is still valid.
    fn may_continue(&self, record: &ReporterRecord) -> bool {
        self.is_own(record) && self.is_of_era(record) && record.fencing_token > self.fenced_token
    }

    fn is_own(&self, record: &ReporterRecord) -> bool {
        record.holder == self.name && record.incarnation == self.incarnation
    }

    fn next_token(&self) -> FencingToken {
        match &self.newest_record {
            Some(record) if self.may_continue(record) => record.fencing_token,
            _ => self.highest_token.max(self.fenced_token).max(self.era.0 * TOKENS_IN_ERA) + 1,
        }
    }

    fn write_step(
        &self,
        fencing_token: FencingToken,
        window: WindowId,
        counts: UsageCounts,
    ) -> ReporterStep {
        let record = ReporterRecord {
            holder: self.name.clone(),
            incarnation: self.incarnation,
            fencing_token,
            window,
            counts,
            left_out_to: self.left_out_to,
        };
        ReporterStep::Write(record, self.stored.as_ref().map(|stored| stored.revision))
    }
}

/// Order in which records were written.
fn write_order(record: &ReporterRecord) -> (WindowId, FencingToken) {
    (record.window, record.fencing_token)
}
