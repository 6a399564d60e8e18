//! The usage reporter, step by step, and by a model check of all orders of the steps of a few
//! entries, with a store and a platform that lose answers and apply messages late.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use pondwalk_decide::direct::{
    CallOutcome, DueWindows, FencingToken, Reporter, ReporterDelays, ReporterRecord, ReporterStep,
    UsageCounts, WindowId, WriteOutcome,
};

const LEASE: Duration = Duration::from_secs(3);
const NO_WAIT: ReporterDelays =
    ReporterDelays { by_order: Duration::ZERO, holder_grace: Duration::ZERO };

fn at(ms: u64) -> Duration {
    Duration::from_millis(1_000_000 + ms)
}

fn due(newest_complete: WindowId) -> DueWindows {
    let oldest_in_time = newest_complete.saturating_sub(1);
    DueWindows { oldest_in_time, newest_complete, newest_ended: newest_complete }
}

fn counts(count: u64) -> UsageCounts {
    UsageCounts::from([("w1".to_owned(), count)])
}

fn next_step(reporter: &mut Reporter, window: WindowId, now: Duration) -> Option<ReporterStep> {
    reporter.next_step(due(window), NO_WAIT, now, |_| counts(1))
}

/// Lets an entry write its record; returns the record and its revision.
fn write_step(
    reporter: &mut Reporter,
    window: WindowId,
    revision: u64,
    now: Duration,
) -> (ReporterRecord, u64) {
    let Some(ReporterStep::Write(record, _)) = next_step(reporter, window, now) else {
        panic!("no write");
    };
    reporter.on_write_outcome(record.clone(), now, WriteOutcome::Written(revision), now);
    (record, revision)
}

#[test]
fn a_report_is_written_before_it_is_sent_and_sent_until_accepted() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write_step(&mut reporter, 5, 1, at(0));
    assert_eq!((record.fencing_token, record.window), (1, 4));
    let Some(ReporterStep::Call(called, until)) = next_step(&mut reporter, 5, at(10)) else {
        panic!("no call")
    };
    assert_eq!((called.clone(), until), (record, at(1_500)));
    reporter.on_call_outcome(&called, CallOutcome::Failed, at(20));
    assert!(matches!(next_step(&mut reporter, 5, at(30)), Some(ReporterStep::Call(..))));
    reporter.on_call_outcome(&called, CallOutcome::Accepted, at(40));
    // The next window is reported under the same token.
    let (record, _) = write_step(&mut reporter, 5, 2, at(50));
    assert_eq!((record.fencing_token, record.window), (1, 5));
    reporter.on_call_outcome(&record, CallOutcome::Accepted, at(60));
    assert_eq!(next_step(&mut reporter, 5, at(70)), None);
}

#[test]
fn an_expired_lease_is_renewed_before_a_call() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write_step(&mut reporter, 5, 1, at(0));
    let Some(ReporterStep::Write(again, Some(1))) = next_step(&mut reporter, 5, at(1_500)) else {
        panic!("a call after the lease");
    };
    assert_eq!(again, record);
}

#[test]
fn another_entry_waits_for_the_lease_and_repeats_the_report() {
    let mut first = Reporter::new("e1", 1, LEASE);
    let mut second = Reporter::new("e2", 2, LEASE);
    let (record, revision) = write_step(&mut first, 5, 1, at(0));
    second.apply_record(Some((record.clone(), revision)), at(400));
    assert_eq!(next_step(&mut second, 5, at(3_399)), None);
    let step = second.next_step(due(5), NO_WAIT, at(3_400), |_| counts(99));
    let Some(ReporterStep::Write(taken, Some(1))) = step else { panic!("no takeover") };
    assert_eq!((taken.fencing_token, taken.window), (2, record.window));
    assert_eq!(taken.counts, record.counts);
}

#[test]
fn a_replaced_holder_waits_for_the_lease_of_its_successor() {
    let mut first = Reporter::new("e1", 1, LEASE);
    let (_, _) = write_step(&mut first, 5, 1, at(0));
    let other = ReporterRecord {
        holder: "e2".to_owned(),
        incarnation: 2,
        fencing_token: 2,
        window: 4,
        counts: counts(1),
        left_out_to: 0,
    };
    first.apply_record(Some((other, 2)), at(100));
    assert_eq!(next_step(&mut first, 9, at(3_000)), None);
    let Some(ReporterStep::Write(record, Some(2))) = next_step(&mut first, 9, at(3_100)) else {
        panic!("no takeover");
    };
    assert_eq!(record.fencing_token, 3);
}

#[test]
fn a_fenced_token_is_not_used_again() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write_step(&mut reporter, 5, 1, at(0));
    reporter.on_call_outcome(&record, CallOutcome::Fenced, at(10));
    let Some(ReporterStep::Write(record, Some(1))) = next_step(&mut reporter, 5, at(20)) else {
        panic!("a call with the fenced token");
    };
    assert_eq!(record.fencing_token, 2);
}

#[test]
fn a_write_without_an_answer_blocks_until_the_record_arrives() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let Some(ReporterStep::Write(record, None)) = next_step(&mut reporter, 5, at(0)) else {
        panic!("no write")
    };
    reporter.on_write_outcome(record.clone(), at(0), WriteOutcome::Unknown, at(1_000));
    assert_eq!(next_step(&mut reporter, 5, at(1_100)), None);
    reporter.apply_record(Some((record.clone(), 9)), at(1_200));
    // NB: it is unknown when the write that was applied had been sent, so it does not allow calls.
    let Some(ReporterStep::Write(again, Some(9))) = next_step(&mut reporter, 5, at(1_210)) else {
        panic!("no renewal of the lease");
    };
    assert_eq!(again, record);
    reporter.on_write_outcome(again, at(1_210), WriteOutcome::Written(10), at(1_220));
    assert!(matches!(next_step(&mut reporter, 5, at(1_230)), Some(ReporterStep::Call(..))));
}

#[test]
fn a_holder_that_cannot_reach_the_platform_yields() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let mut now = 0;
    let mut revision = 0;
    while now < 4_000 {
        match next_step(&mut reporter, 5, at(now)) {
            Some(ReporterStep::Write(record, _)) => {
                revision += 1;
                reporter.on_write_outcome(
                    record,
                    at(now),
                    WriteOutcome::Written(revision),
                    at(now),
                );
            }
            Some(ReporterStep::Call(record, _)) => {
                reporter.on_call_outcome(&record, CallOutcome::Failed, at(now))
            }
            None => break,
        }
        now += 100;
    }
    assert!((3_000..3_500).contains(&now), "it yields after {now} ms");
    assert_eq!(next_step(&mut reporter, 5, at(now + 5_000)), None);
    assert!(next_step(&mut reporter, 9, at(now + 11_000)).is_some());
}

#[test]
fn windows_that_are_too_old_are_omitted() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write_step(&mut reporter, 5, 1, at(0));
    reporter.on_call_outcome(&record, CallOutcome::Accepted, at(10));
    let (record, _) = write_step(&mut reporter, 20, 2, at(60_000));
    assert_eq!(record.window, 19);
}

/// Number of tokens in one era of the store.
const TOKENS_IN_ERA: FencingToken = 1_000_000;
/// Clock step of the model check.
const TICK: Duration = Duration::from_millis(1_500);
/// Clock steps at which windows become due.
const DUE_AT: [u64; 2] = [0, 2];
/// Maximum number of states; a search that meets more is not exhaustive, and fails.
const MAX_STATES: usize = 600_000;

/// A call or a write in transit.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum PendingMessage {
    Write { record: RecordRow, expected: Option<u64> },
    Call { record: RecordRow },
}

/// The record as a tuple, which has an order.
type RecordRow = (String, u64, FencingToken, WindowId, u64, WindowId);

fn row(record: &ReporterRecord) -> RecordRow {
    let count = record.counts.get("w1").copied().unwrap_or_default();
    let ReporterRecord { holder, incarnation, fencing_token, window, left_out_to, .. } = record;
    (holder.clone(), *incarnation, *fencing_token, *window, count, *left_out_to)
}

fn record_of(row: &RecordRow) -> ReporterRecord {
    ReporterRecord {
        holder: row.0.clone(),
        incarnation: row.1,
        fencing_token: row.2,
        window: row.3,
        counts: counts(row.4),
        left_out_to: row.5,
    }
}

/// Guards against a second report of a window by an entry that knows nothing of the first, and has
/// all counts of the window later than the entry that made it.
#[test]
fn windows_that_had_ended_before_an_unknown_era_are_omitted() {
    let mut restarted = Reporter::new("e1", 2, LEASE);
    restarted.enter_era(1, at(0));
    let step = |reporter: &mut Reporter, newest_complete, newest_ended, now| {
        let windows = DueWindows { oldest_in_time: 1, newest_complete, newest_ended };
        reporter.next_step(windows, NO_WAIT, now, |_| counts(1))
    };
    assert_eq!(step(&mut restarted, 3, 4, at(0)), None);
    assert_eq!(step(&mut restarted, 4, 4, at(4_000)), None);
    let Some(ReporterStep::Write(record, None)) = step(&mut restarted, 5, 5, at(5_000)) else {
        panic!("no write");
    };
    assert_eq!((record.window, record.left_out_to), (5, 4));
}

/// State of the entries, the store and the platform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ModelState {
    tick: u64,
    /// Number of clock steps to search.
    ticks: u64,
    reporters: Vec<Reporter>,
    incarnations: Vec<u64>,
    store: Option<(RecordRow, u64)>,
    revision: u64,
    era: u64,
    pending: Vec<PendingMessage>,
    /// Reports that the platform has accepted, by window.
    reports: BTreeMap<WindowId, u64>,
    /// The holder that has used each token.
    token_holders: BTreeMap<FencingToken, String>,
    highest: FencingToken,
    /// Holders of prompt calls, with the clock step of their latest; the latest last.
    actions: Vec<(String, u64)>,
    faults_left: u8,
    restarts_left: u8,
    restorations_left: u8,
}

impl ModelState {
    fn start(entries: usize, ticks: u64, faults: u8, restarts: u8) -> Self {
        let name = |n: usize| format!("e{n}");
        ModelState {
            tick: 0,
            ticks,
            reporters: (0..entries).map(|n| Reporter::new(&name(n), n as u64, LEASE)).collect(),
            incarnations: vec![0; entries],
            store: None,
            revision: 0,
            era: 0,
            pending: Vec::new(),
            reports: BTreeMap::new(),
            token_holders: BTreeMap::new(),
            highest: 0,
            actions: Vec::new(),
            faults_left: faults,
            restarts_left: restarts,
            restorations_left: 0,
        }
    }

    /// The same with a store that is restored once.
    fn restored_once(self) -> Self {
        ModelState { restorations_left: 1, ..self }
    }

    fn now(&self) -> Duration {
        at(0) + TICK * u32::try_from(self.tick).expect("few ticks")
    }

    fn windows(&self) -> DueWindows {
        let newest_complete = DUE_AT.iter().filter(|at| **at <= self.tick).count() as u64;
        DueWindows { oldest_in_time: 1, newest_complete, newest_ended: newest_complete }
    }

    /// All states that may follow.
    fn successors(&self) -> Vec<ModelState> {
        let mut successors = Vec::new();
        if self.tick < self.ticks {
            successors.push(ModelState { tick: self.tick + 1, ..self.clone() });
        }
        for n in 0..self.reporters.len() {
            successors.extend(self.reporter_steps(n));
            successors.extend(self.receptions_of(n));
            successors.extend(self.restarts_of(n));
        }
        successors.extend(self.store_restoration());
        for n in 0..self.pending.len() {
            let mut successor = self.clone();
            match successor.pending.remove(n) {
                PendingMessage::Write { record, expected } => {
                    successor.apply_write(&record, expected);
                }
                PendingMessage::Call { record } => {
                    successor.apply_call(&record, false);
                }
            }
            successors.push(successor);
        }
        successors
    }

    fn receptions_of(&self, n: usize) -> Option<ModelState> {
        let mut successor = self.clone();
        successor.reporters[n].enter_era(self.era, self.now());
        if let Some((record, revision)) = &self.store {
            successor.reporters[n].apply_record(Some((record_of(record), *revision)), self.now());
        }
        (successor != *self).then_some(successor)
    }

    /// The store is restored; the new era has no record yet, and revisions are reused.
    fn store_restoration(&self) -> Option<ModelState> {
        let restorations_left = self.restorations_left.checked_sub(1)?;
        let mut successor = self.clone();
        successor.restorations_left = restorations_left;
        successor.era += 1;
        successor.store = None;
        successor.revision = 0;
        // NB: the order of holders is not checked across a restoration.
        successor.actions.clear();
        Some(successor)
    }

    fn restarts_of(&self, n: usize) -> Option<ModelState> {
        if self.restarts_left == 0 {
            return None;
        }
        let mut successor = self.clone();
        successor.restarts_left -= 1;
        successor.incarnations[n] += 1;
        successor.reporters[n] = Reporter::new(&format!("e{n}"), 100 + n as u64, LEASE);
        Some(successor)
    }

    fn reporter_steps(&self, n: usize) -> Vec<ModelState> {
        let mut successor = self.clone();
        // NB: entries have received different counts, and a restarted entry others again.
        let own = 10 * (n as u64 + 1) + self.incarnations[n];
        let step =
            successor.reporters[n].next_step(self.windows(), NO_WAIT, self.now(), |_| counts(own));
        match step {
            Some(ReporterStep::Write(record, expected)) => {
                successor.after_write(n, &record, expected)
            }
            Some(ReporterStep::Call(record, _)) => successor.after_call(n, &record),
            None => Vec::new(),
        }
    }

    fn after_write(
        &self,
        n: usize,
        record: &ReporterRecord,
        expected: Option<u64>,
    ) -> Vec<ModelState> {
        let now = self.now();
        let mut answered = self.clone();
        let revision = answered.apply_write(&row(record), expected);
        let outcome = match revision {
            // NB: the answer shows that the store is in another era.
            _ if self.reporters[n].era() != self.era => WriteOutcome::Unknown,
            revision => revision.map_or(WriteOutcome::NotWritten, WriteOutcome::Written),
        };
        answered.reporters[n].on_write_outcome(record.clone(), now, outcome, now);
        let mut successors = vec![answered];
        if let Some(mut lost) = self.with_fault() {
            lost.apply_write(&row(record), expected);
            lost.reporters[n].on_write_outcome(record.clone(), now, WriteOutcome::Unknown, now);
            successors.push(lost);
        }
        if let Some(mut delayed) = self.with_fault() {
            delayed.pending.push(PendingMessage::Write { record: row(record), expected });
            delayed.pending.sort();
            delayed.reporters[n].on_write_outcome(record.clone(), now, WriteOutcome::Unknown, now);
            successors.push(delayed);
        }
        successors
    }

    fn after_call(&self, n: usize, record: &ReporterRecord) -> Vec<ModelState> {
        let now = self.now();
        let mut answered = self.clone();
        let outcome = answered.apply_call(&row(record), true);
        answered.reporters[n].on_call_outcome(record, outcome, now);
        let mut successors = vec![answered];
        if let Some(mut lost) = self.with_fault() {
            lost.apply_call(&row(record), true);
            lost.reporters[n].on_call_outcome(record, CallOutcome::Failed, now);
            successors.push(lost);
        }
        if let Some(mut delayed) = self.with_fault() {
            delayed.pending.push(PendingMessage::Call { record: row(record) });
            delayed.pending.sort();
            delayed.reporters[n].on_call_outcome(record, CallOutcome::Failed, now);
            successors.push(delayed);
        }
        successors
    }

    fn with_fault(&self) -> Option<ModelState> {
        let faults_left = self.faults_left.checked_sub(1)?;
        Some(ModelState { faults_left, ..self.clone() })
    }

    fn apply_write(&mut self, record: &RecordRow, expected: Option<u64>) -> Option<u64> {
        let current = self.store.as_ref().map(|(_, revision)| *revision);
        // NB: each era has its own record.
        let era = record.2 / TOKENS_IN_ERA;
        if current != expected || era != self.era {
            return None;
        }
        self.revision += 1;
        self.store = Some((record.clone(), self.revision));
        Some(self.revision)
    }

    /// The platform receives a call; checks the invariants of calls.
    fn apply_call(&mut self, record: &RecordRow, is_prompt: bool) -> CallOutcome {
        let (holder, _, token, window, count, _) = record;
        let token_holder = self.token_holders.entry(*token).or_insert_with(|| holder.clone());
        assert_eq!(token_holder, holder, "two holders use the token {token}");
        if *token < self.highest {
            assert!(!is_prompt, "{holder} calls under {token} after {} was seen", self.highest);
            return CallOutcome::Fenced;
        }
        self.highest = *token;
        let reports = *self.reports.entry(*window).or_insert(*count);
        assert_eq!(reports, *count, "two reports of window {window} differ");
        if is_prompt {
            self.record_action(holder);
        }
        CallOutcome::Accepted
    }

    /// Checks that holders do not act in the order A, B, A within the lease.
    fn record_action(&mut self, holder: &str) {
        let lease_ticks = LEASE.as_millis().div_ceil(TICK.as_millis()) as u64;
        let acted_since =
            |at: u64| self.actions.iter().any(|(other, then)| other != holder && *then >= at);
        let own = self.actions.iter().find(|(other, _)| other == holder);
        if let Some((_, before)) = own {
            let is_back =
                acted_since(*before) && self.actions.last().is_some_and(|(last, _)| last != holder);
            let has_waited = self.tick - before >= lease_ticks;
            assert!(
                !is_back || has_waited,
                "{holder} acts again after {} ticks",
                self.tick - before
            );
        }
        self.actions.retain(|(other, _)| other != holder);
        self.actions.push((holder.to_owned(), self.tick));
    }
}

fn fingerprint(state: &ModelState) -> u64 {
    let mut hasher = DefaultHasher::new();
    state.hash(&mut hasher);
    hasher.finish()
}

/// Visits all states that can follow from `start`; returns their number and the largest number of
/// reported windows.
fn search(start: ModelState) -> (usize, usize) {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut pending_states = vec![start];
    let mut max_reported = 0;
    while let Some(state) = pending_states.pop() {
        max_reported = max_reported.max(state.reports.len());
        for successor in state.successors() {
            if seen.insert(fingerprint(&successor)) {
                pending_states.push(successor);
            }
        }
        assert!(seen.len() <= MAX_STATES, "more states than the maximum");
    }
    (seen.len(), max_reported)
}

#[test]
fn model_check_two_entries() {
    let (states, reported) = search(ModelState::start(2, 4, 1, 0));
    println!("{states} states");
    assert!(states > 10_000, "{states} states");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn model_check_restarted_entries() {
    let (states, reported) = search(ModelState::start(2, 3, 1, 1));
    println!("{states} states");
    assert!(states > 10_000, "{states} states");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn model_check_three_entries() {
    let (states, reported) = search(ModelState::start(3, 3, 0, 0));
    println!("{states} states");
    assert!(states > 10_000, "{states} states");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn model_check_restored_store() {
    let (states, reported) = search(ModelState::start(2, 4, 0, 0).restored_once());
    println!("{states} states");
    assert!(states > 10_000, "{states} states");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn model_check_lost_answers_and_restored_store() {
    let (states, reported) = search(ModelState::start(2, 2, 1, 0).restored_once());
    println!("{states} states");
    assert!(states > 10_000, "{states} states");
    assert_eq!(reported, DUE_AT.len());
}
