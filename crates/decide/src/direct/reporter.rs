//! Who may speak for all entries, and the words that are said only once.
//!
//! One entry reports usage to the platform for all. The record in the store names the holder of that
//! task, a fencing number that rises with each change of holder, and the words of the latest report.
//! Whoever is to say something first writes it there, under the condition that nobody has written since
//! it last heard. So there is one order of holders, numbers and words, and an entry that takes over
//! repeats the words that it finds, letter by letter, as it can't know whether they were heard.
//!
//! A write allows its writer to call for part of the lease, counted from when the write was sent.
//! Others wait for the whole lease after they heard of it. So one that was paused, or cut off from the
//! store, stops by its own clock before another begins.
//!
//! A store that is restored from a copy may hold an earlier record, and a write of before the restoration may
//! still be done to it. So each era of the store has a record of its own, and numbers begin with the era, above
//! all of the eras before. The newest words that an entry has heard stand, and are written again; whoever can't
//! know what was lost waits for the whole lease, and leaves out the windows that may have been reported: a
//! report that is missing does less harm than a second one that differs.

use std::{collections::BTreeMap, time::Duration};

use pondwalk_types::WorkspaceId;
use serde::{Deserialize, Serialize};

/// Number of a window of true time: the time since 1970 in lengths of a window.
pub type WindowId = u64;
/// Number that rises with each change of holder.
pub type FencingToken = u64;
/// Requests that began to run in a window, by workspace.
pub type UsageCounts = BTreeMap<WorkspaceId, u64>;

/// Numbers of holders in one era of the store.
const TOKENS_IN_ERA: u64 = 1_000_000;
/// Part of the lease for which a write allows calls. The rest is left to calls that arrive late.
const CALLING_PART: f64 = 0.5;
/// Time in calls that get no answer after which another entry is let try: the way from here to the
/// platform may be cut alone.
const FRUITLESS_TIME: Duration = Duration::from_secs(3);
/// Time for which an entry whose calls got no answer leaves the task to others.
const ASIDE_TIME: Duration = Duration::from_secs(10);

/// What the store holds of the task.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReporterRecord {
    /// Name of the entry that holds it.
    pub holder: String,
    /// Random number of that life of the entry.
    pub incarnation: u64,
    /// Its number as a holder.
    pub fencing_token: FencingToken,
    /// Window of the latest report.
    pub window: WindowId,
    /// What that report says.
    pub counts: UsageCounts,
    /// Windows up to this one may have been reported in words that a restored store has lost, and are
    /// left out.
    #[serde(default)]
    pub left_out_to: WindowId,
}

/// What became of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// It was taken.
    Accepted,
    /// The platform has seen a higher number.
    Fenced,
    /// It was not taken, or got no answer.
    Failed,
}

/// Number of a history of the store; 0 where the store names none.
pub type StoreEra = u64;

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteOutcome {
    /// It was done, and the record has this revision.
    Written(u64),
    /// It was not done.
    NotWritten,
    /// Its answer was lost.
    Unknown,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ReporterStep {
    /// Write this record if the one in the store has this revision; without one, if there is none.
    Write(ReporterRecord, Option<u64>),
    /// Say the words of this record, until this time at most.
    Call(ReporterRecord, Duration),
}

/// The windows that could be reported, as this entry sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct DueWindows {
    /// The oldest that can still be reported in time.
    pub oldest_in_time: WindowId,
    /// The newest for which all counts should have arrived.
    pub newest_complete: WindowId,
}

/// How long this entry leaves to others what is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReporterDelays {
    /// Wait by its place in the order.
    pub by_order: Duration,
    /// Further wait while another entry is the holder.
    pub holder_grace: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Known {
    record: ReporterRecord,
    revision: u64,
    /// When this entry heard of it.
    received_at: Duration,
}

/// One entry's part in the task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reporter {
    name: String,
    incarnation: u64,
    lease: Duration,
    /// Era of the store, and since when this entry knows of it.
    era: (StoreEra, Duration),
    known: Option<Known>,
    /// The newest words ever heard of, also in records that are gone.
    newest: Option<ReporterRecord>,
    /// Highest number ever heard of, also in records that are gone.
    highest_token: FencingToken,
    /// Number under which the platform refused a call.
    refused_token: FencingToken,
    /// Until when it may say the words of the record, which it wrote itself.
    may_call_until: Duration,
    /// When its latest write that was done was sent.
    written_at: Option<Duration>,
    /// Whether this entry, and nobody else, held the task as the era before ended.
    held_previous_era: bool,
    /// Whether the windows that are complete by now may have been reported by somebody unknown.
    has_unknown_reports: bool,
    /// Newest window that is left out.
    left_out_to: WindowId,
    /// Since when calls have come to nothing.
    failing_since: Option<Duration>,
    /// Until when a write is left alone whose answer was lost: it may be done yet.
    pending_write_until: Duration,
    /// Newest window whose report this life has seen taken.
    accepted: Option<WindowId>,
    /// Window that is due, and since when.
    due_since: Option<(WindowId, Duration)>,
    yields_until: Duration,
}

impl Reporter {
    /// Knows of no record yet. `lease` is the time for which a holder is not passed over.
    pub fn new(name: &str, incarnation: u64, lease: Duration) -> Self {
        Reporter {
            name: name.to_owned(),
            incarnation,
            lease,
            era: (0, Duration::ZERO),
            known: None,
            newest: None,
            highest_token: 0,
            refused_token: 0,
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

    /// The record as this entry knows it.
    pub fn record(&self) -> Option<&ReporterRecord> {
        self.known.as_ref().map(|known| &known.record)
    }

    /// Newest window whose words are written, or were before the store was restored.
    pub fn newest_written(&self) -> Option<WindowId> {
        self.newest.as_ref().map(|record| record.window)
    }

    /// Era of the store that this entry knows of.
    pub fn era(&self) -> StoreEra {
        self.era.0
    }

    /// The store is in this era; what its record of the era says is heard next.
    pub fn enter_era(&mut self, era: StoreEra, now: Duration) {
        if era != self.era.0 {
            self.era = (era, now);
            self.known = None;
            self.may_call_until = Duration::ZERO;
            // NB: within the lease of its own write nobody else has written.
            self.held_previous_era = self.written_at.is_some_and(|at| now < at + self.lease);
            self.has_unknown_reports = !self.held_previous_era;
        }
    }

    /// Hears what the store holds in its era, or that the record is gone.
    pub fn apply_record(&mut self, record: Option<(ReporterRecord, u64)>, now: Duration) {
        let Some((record, revision)) = record else {
            self.known = None;
            self.may_call_until = Duration::ZERO;
            return;
        };
        if self.known.as_ref().is_some_and(|known| known.revision >= revision) {
            return;
        }
        self.highest_token = self.highest_token.max(record.fencing_token);
        if self.newest.as_ref().is_none_or(|newest| age_order(newest) < age_order(&record)) {
            self.newest = Some(record.clone());
        }
        self.left_out_to = self.left_out_to.max(record.left_out_to);
        self.has_unknown_reports = false;
        // NB: also where it shows a write of this entry whose answer was lost. Which of several like writes was
        // done, and so when it was sent, cannot be told.
        self.may_call_until = Duration::ZERO;
        self.pending_write_until = Duration::ZERO;
        self.known = Some(Known { record, revision, received_at: now });
    }

    /// What became of a write sent at `sent`.
    pub fn on_write_outcome(
        &mut self,
        record: ReporterRecord,
        sent: Duration,
        end: WriteOutcome,
        now: Duration,
    ) {
        match end {
            WriteOutcome::Written(revision) => {
                self.apply_record(Some((record, revision)), now);
                let is_latest = self.known.as_ref().is_some_and(|known| known.revision == revision);
                if is_latest {
                    self.may_call_until = sent + self.lease.mul_f64(CALLING_PART);
                    self.written_at = Some(sent);
                }
            }
            // NB: whoever was first is heard of with all other changes.
            WriteOutcome::NotWritten => {}
            WriteOutcome::Unknown => self.pending_write_until = sent + self.lease,
        }
    }

    /// What became of a call with the words of the record.
    pub fn on_call_outcome(&mut self, record: &ReporterRecord, end: CallOutcome, now: Duration) {
        match end {
            CallOutcome::Accepted => {
                self.accepted = self.accepted.max(Some(record.window));
                self.failing_since = None;
            }
            CallOutcome::Fenced => {
                self.refused_token = self.refused_token.max(record.fencing_token);
            }
            CallOutcome::Failed => self.record_failed_call(now),
        }
    }

    fn record_failed_call(&mut self, now: Duration) {
        let since = *self.failing_since.get_or_insert(now);
        if now.saturating_sub(since) >= FRUITLESS_TIME {
            self.failing_since = None;
            self.yields_until = now + ASIDE_TIME;
        }
    }

    /// What this entry is to do now, if anything; `counts` tells what a window's report is to say.
    pub fn next_step(
        &mut self,
        windows: DueWindows,
        order: ReporterDelays,
        now: Duration,
        counts: impl FnOnce(WindowId) -> UsageCounts,
    ) -> Option<ReporterStep> {
        // NB: a write whose answer was lost may still be done; what the store tells ends the wait.
        if now < self.yields_until || now < self.pending_write_until {
            return None;
        }
        if std::mem::take(&mut self.has_unknown_reports) {
            self.left_out_to = self.left_out_to.max(windows.newest_complete);
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
        if !self.may_write(order, due_since, now) {
            return None;
        }
        let token = self.own_token();
        let (window, counts) = match self.report_to_repeat(windows) {
            Some(record) => (record.window, record.counts.clone()),
            None => (window, counts(window)),
        };
        Some(self.write(token, window, counts))
    }

    /// Says the words that it has written, or asks for more time to do so.
    fn finish_report(&self, windows: DueWindows, now: Duration) -> Option<ReporterStep> {
        let record = self.newest.as_ref().filter(|record| self.continues(record))?;
        if self.accepted >= Some(record.window) || record.window < windows.oldest_in_time {
            return None;
        }
        if now < self.may_call_until {
            return Some(ReporterStep::Call(record.clone(), self.may_call_until));
        }
        Some(self.write(record.fencing_token, record.window, record.counts.clone()))
    }

    /// The window to be reported next.
    fn next_window(&self, windows: DueWindows) -> Option<WindowId> {
        let written = self.newest_written().unwrap_or_default();
        let after = written.max(self.left_out_to).saturating_add(1);
        let window = after.max(windows.oldest_in_time);
        (window <= windows.newest_complete).then_some(window)
    }

    /// Words that another holder, or an earlier life, may have left unsaid.
    fn report_to_repeat(&self, windows: DueWindows) -> Option<&ReporterRecord> {
        let record = self.newest.as_ref()?;
        let is_left = !self.continues(record) && record.window >= windows.oldest_in_time;
        is_left.then_some(record)
    }

    /// Words that the restored store has lost and that could be said in another way.
    fn lost_report(&self, windows: DueWindows) -> Option<&ReporterRecord> {
        let newest = self.newest.as_ref()?;
        let is_lost = self.record().is_none_or(|record| age_order(record) < age_order(newest));
        (is_lost && newest.window >= windows.oldest_in_time).then_some(newest)
    }

    fn may_write(&self, order: ReporterDelays, due_since: Duration, now: Duration) -> bool {
        let has_waited = |wait: Duration| now >= due_since + wait;
        match &self.known {
            Some(known) if known.record.holder == self.name => true,
            Some(known) => {
                has_waited(order.by_order + order.holder_grace)
                    && now >= known.received_at + self.lease
            }
            None if self.held_previous_era => true,
            // NB: whoever held the task in the era before may not have heard that it is over.
            None => {
                has_waited(order.by_order) && (self.era.0 == 0 || now >= self.era.1 + self.lease)
            }
        }
    }

    fn is_of_era(&self, record: &ReporterRecord) -> bool {
        record.fencing_token / TOKENS_IN_ERA == self.era.0
    }

    /// Whether it goes on under the number of the record.
    fn continues(&self, record: &ReporterRecord) -> bool {
        self.is_own(record) && self.is_of_era(record) && record.fencing_token > self.refused_token
    }

    fn is_own(&self, record: &ReporterRecord) -> bool {
        record.holder == self.name && record.incarnation == self.incarnation
    }

    fn own_token(&self) -> FencingToken {
        match &self.newest {
            Some(record) if self.continues(record) => record.fencing_token,
            _ => self.highest_token.max(self.refused_token).max(self.era.0 * TOKENS_IN_ERA) + 1,
        }
    }

    fn write(
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
        ReporterStep::Write(record, self.known.as_ref().map(|known| known.revision))
    }
}

/// Order in which records were written.
fn age_order(record: &ReporterRecord) -> (WindowId, FencingToken) {
    (record.window, record.fencing_token)
}
