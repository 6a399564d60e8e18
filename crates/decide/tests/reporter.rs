//! Who reports, and in which words: one step after the other, and all orders of the steps of a few entries
//! with a store and a platform that lose answers and carry calls out late.

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
    DueWindows { oldest_in_time: newest_complete.saturating_sub(1), newest_complete }
}

fn counts(of_w1: u64) -> UsageCounts {
    UsageCounts::from([("w1".to_owned(), of_w1)])
}

fn next(reporter: &mut Reporter, window: WindowId, now: Duration) -> Option<ReporterStep> {
    reporter.next_step(due(window), NO_WAIT, now, |_| counts(1))
}

/// Lets an entry write what it wants to; returns the record and its revision.
fn write(
    reporter: &mut Reporter,
    window: WindowId,
    revision: u64,
    now: Duration,
) -> (ReporterRecord, u64) {
    let Some(ReporterStep::Write(record, _)) = next(reporter, window, now) else {
        panic!("it does not write");
    };
    reporter.on_write_outcome(record.clone(), now, WriteOutcome::Written(revision), now);
    (record, revision)
}

#[test]
fn a_report_is_written_before_it_is_said_and_said_until_it_is_taken() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write(&mut reporter, 5, 1, at(0));
    assert_eq!((record.fencing_token, record.window), (1, 4));
    let Some(ReporterStep::Call(called, until)) = next(&mut reporter, 5, at(10)) else {
        panic!("no call")
    };
    assert_eq!((called.clone(), until), (record, at(1_500)));
    reporter.on_call_outcome(&called, CallOutcome::Failed, at(20));
    assert!(matches!(next(&mut reporter, 5, at(30)), Some(ReporterStep::Call(..))));
    reporter.on_call_outcome(&called, CallOutcome::Accepted, at(40));
    // The next window goes under the same number.
    let (record, _) = write(&mut reporter, 5, 2, at(50));
    assert_eq!((record.fencing_token, record.window), (1, 5));
    reporter.on_call_outcome(&record, CallOutcome::Accepted, at(60));
    assert_eq!(next(&mut reporter, 5, at(70)), None);
}

#[test]
fn one_whose_leave_has_run_out_writes_anew_before_it_calls() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write(&mut reporter, 5, 1, at(0));
    let Some(ReporterStep::Write(again, Some(1))) = next(&mut reporter, 5, at(1_500)) else {
        panic!("it calls without leave");
    };
    assert_eq!(again, record);
}

#[test]
fn another_entry_waits_for_the_lease_and_repeats_the_words() {
    let mut first = Reporter::new("e1", 1, LEASE);
    let mut second = Reporter::new("e2", 2, LEASE);
    let (record, revision) = write(&mut first, 5, 1, at(0));
    second.apply_record(Some((record.clone(), revision)), at(400));
    assert_eq!(next(&mut second, 5, at(3_399)), None);
    let step = second.next_step(due(5), NO_WAIT, at(3_400), |_| counts(99));
    let Some(ReporterStep::Write(taken, Some(1))) = step else { panic!("it does not take over") };
    assert_eq!((taken.fencing_token, taken.window), (2, record.window));
    assert_eq!(taken.counts, record.counts);
}

#[test]
fn a_holder_goes_on_only_after_the_lease_of_one_that_took_over() {
    let mut first = Reporter::new("e1", 1, LEASE);
    let (_, _) = write(&mut first, 5, 1, at(0));
    let other = ReporterRecord {
        holder: "e2".to_owned(),
        incarnation: 2,
        fencing_token: 2,
        window: 4,
        counts: counts(1),
        left_out_to: 0,
    };
    first.apply_record(Some((other, 2)), at(100));
    assert_eq!(next(&mut first, 9, at(3_000)), None);
    let Some(ReporterStep::Write(record, Some(2))) = next(&mut first, 9, at(3_100)) else {
        panic!("it does not take over");
    };
    assert_eq!(record.fencing_token, 3);
}

#[test]
fn a_refused_number_is_not_used_again() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write(&mut reporter, 5, 1, at(0));
    reporter.on_call_outcome(&record, CallOutcome::Fenced, at(10));
    let Some(ReporterStep::Write(record, Some(1))) = next(&mut reporter, 5, at(20)) else {
        panic!("it calls again");
    };
    assert_eq!(record.fencing_token, 2);
}

#[test]
fn a_write_whose_answer_was_lost_is_left_alone_until_the_store_shows_it() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let Some(ReporterStep::Write(record, None)) = next(&mut reporter, 5, at(0)) else {
        panic!("no write")
    };
    reporter.on_write_outcome(record.clone(), at(0), WriteOutcome::Unknown, at(1_000));
    assert_eq!(next(&mut reporter, 5, at(1_100)), None);
    reporter.apply_record(Some((record.clone(), 9)), at(1_200));
    // NB: when the write that was done had been sent cannot be told, so it gives no leave to call.
    let Some(ReporterStep::Write(again, Some(9))) = next(&mut reporter, 5, at(1_210)) else {
        panic!("it does not ask for leave");
    };
    assert_eq!(again, record);
    reporter.on_write_outcome(again, at(1_210), WriteOutcome::Written(10), at(1_220));
    assert!(matches!(next(&mut reporter, 5, at(1_230)), Some(ReporterStep::Call(..))));
}

#[test]
fn one_that_cannot_reach_the_platform_leaves_the_task_to_others() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let mut now = 0;
    let mut revision = 0;
    while now < 4_000 {
        match next(&mut reporter, 5, at(now)) {
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
    assert!((3_000..3_500).contains(&now), "it leaves it after {now} ms");
    assert_eq!(next(&mut reporter, 5, at(now + 5_000)), None);
    assert!(next(&mut reporter, 9, at(now + 11_000)).is_some());
}

#[test]
fn windows_that_can_no_longer_be_in_time_are_left_out() {
    let mut reporter = Reporter::new("e1", 1, LEASE);
    let (record, _) = write(&mut reporter, 5, 1, at(0));
    reporter.on_call_outcome(&record, CallOutcome::Accepted, at(10));
    let (record, _) = write(&mut reporter, 20, 2, at(60_000));
    assert_eq!(record.window, 19);
}

/// Numbers in one era of the store.
const TOKENS_IN_ERA: FencingToken = 1_000_000;
/// Time of a step of the clock in the search.
const TICK: Duration = Duration::from_millis(1_500);
/// Windows that become due, by the step of the clock at which they do.
const DUE_AT: [u64; 2] = [0, 2];
/// Moments searched at most; a search that meets more is not exhaustive, and fails.
const MOST_MOMENTS: usize = 600_000;

/// A call or a write that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Late {
    Write { record: RecordOfModel, expected: Option<u64> },
    Call { record: RecordOfModel },
}

/// The record as a plain row, which has an order.
type RecordOfModel = (String, u64, FencingToken, WindowId, u64, WindowId);

fn row(record: &ReporterRecord) -> RecordOfModel {
    let count = record.counts.get("w1").copied().unwrap_or_default();
    let ReporterRecord { holder, incarnation, fencing_token, window, left_out_to, .. } = record;
    (holder.clone(), *incarnation, *fencing_token, *window, count, *left_out_to)
}

fn record_of(row: &RecordOfModel) -> ReporterRecord {
    ReporterRecord {
        holder: row.0.clone(),
        incarnation: row.1,
        fencing_token: row.2,
        window: row.3,
        counts: counts(row.4),
        left_out_to: row.5,
    }
}

/// Entries, store and platform at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Moment {
    tick: u64,
    /// Steps of the clock that are searched.
    ticks: u64,
    reporters: Vec<Reporter>,
    lives: Vec<u64>,
    store: Option<(RecordOfModel, u64)>,
    revision: u64,
    era: u64,
    late: Vec<Late>,
    /// Words that the platform has taken, by window.
    words: BTreeMap<WindowId, u64>,
    /// Who has used a number.
    users: BTreeMap<FencingToken, String>,
    highest: FencingToken,
    /// Holders of prompt calls, with when they acted last; the latest last.
    acts: Vec<(String, u64)>,
    faults_left: u8,
    restarts_left: u8,
    restorations_left: u8,
}

impl Moment {
    fn start(entries: usize, ticks: u64, faults: u8, restarts: u8) -> Self {
        let name = |n: usize| format!("e{n}");
        Moment {
            tick: 0,
            ticks,
            reporters: (0..entries).map(|n| Reporter::new(&name(n), n as u64, LEASE)).collect(),
            lives: vec![0; entries],
            store: None,
            revision: 0,
            era: 0,
            late: Vec::new(),
            words: BTreeMap::new(),
            users: BTreeMap::new(),
            highest: 0,
            acts: Vec::new(),
            faults_left: faults,
            restarts_left: restarts,
            restorations_left: 0,
        }
    }

    /// The same with a store that is restored once.
    fn restored_once(self) -> Self {
        Moment { restorations_left: 1, ..self }
    }

    fn now(&self) -> Duration {
        at(0) + TICK * u32::try_from(self.tick).expect("few ticks")
    }

    fn windows(&self) -> DueWindows {
        let newest_complete = DUE_AT.iter().filter(|at| **at <= self.tick).count() as u64;
        DueWindows { oldest_in_time: 1, newest_complete }
    }

    /// What may follow.
    fn followers(&self) -> Vec<Moment> {
        let mut followers = Vec::new();
        if self.tick < self.ticks {
            followers.push(Moment { tick: self.tick + 1, ..self.clone() });
        }
        for n in 0..self.reporters.len() {
            followers.extend(self.steps_of(n));
            followers.extend(self.hearing_of(n));
            followers.extend(self.restart_of(n));
        }
        followers.extend(self.restoration());
        for n in 0..self.late.len() {
            let mut next = self.clone();
            match next.late.remove(n) {
                Late::Write { record, expected } => {
                    next.carry_out_write(&record, expected);
                }
                Late::Call { record } => {
                    next.carry_out_call(&record, false);
                }
            }
            followers.push(next);
        }
        followers
    }

    fn hearing_of(&self, n: usize) -> Option<Moment> {
        let mut next = self.clone();
        next.reporters[n].enter_era(self.era, self.now());
        if let Some((record, revision)) = &self.store {
            next.reporters[n].apply_record(Some((record_of(record), *revision)), self.now());
        }
        (next != *self).then_some(next)
    }

    /// The store is restored; the new era has no record yet, and revisions are given out again.
    fn restoration(&self) -> Option<Moment> {
        let restorations_left = self.restorations_left.checked_sub(1)?;
        let mut next = self.clone();
        next.restorations_left = restorations_left;
        next.era += 1;
        next.store = None;
        next.revision = 0;
        // NB: turns are not judged across a disruption of the platform.
        next.acts.clear();
        Some(next)
    }

    fn restart_of(&self, n: usize) -> Option<Moment> {
        if self.restarts_left == 0 {
            return None;
        }
        let mut next = self.clone();
        next.restarts_left -= 1;
        next.lives[n] += 1;
        next.reporters[n] = Reporter::new(&format!("e{n}"), 100 + n as u64, LEASE);
        Some(next)
    }

    fn steps_of(&self, n: usize) -> Vec<Moment> {
        let mut asked = self.clone();
        // NB: entries have heard different counts, and an entry in its second life others again.
        let own = 10 * (n as u64 + 1) + self.lives[n];
        let step =
            asked.reporters[n].next_step(self.windows(), NO_WAIT, self.now(), |_| counts(own));
        match step {
            Some(ReporterStep::Write(record, expected)) => asked.after_write(n, &record, expected),
            Some(ReporterStep::Call(record, _)) => asked.after_call(n, &record),
            None => Vec::new(),
        }
    }

    fn after_write(&self, n: usize, record: &ReporterRecord, expected: Option<u64>) -> Vec<Moment> {
        let now = self.now();
        let mut answered = self.clone();
        let revision = answered.carry_out_write(&row(record), expected);
        let end = match revision {
            // NB: the answer tells that the store is in another era.
            _ if self.reporters[n].era() != self.era => WriteOutcome::Unknown,
            revision => revision.map_or(WriteOutcome::NotWritten, WriteOutcome::Written),
        };
        answered.reporters[n].on_write_outcome(record.clone(), now, end, now);
        let mut followers = vec![answered];
        if let Some(mut lost) = self.with_fault() {
            lost.carry_out_write(&row(record), expected);
            lost.reporters[n].on_write_outcome(record.clone(), now, WriteOutcome::Unknown, now);
            followers.push(lost);
        }
        if let Some(mut late) = self.with_fault() {
            late.late.push(Late::Write { record: row(record), expected });
            late.late.sort();
            late.reporters[n].on_write_outcome(record.clone(), now, WriteOutcome::Unknown, now);
            followers.push(late);
        }
        followers
    }

    fn after_call(&self, n: usize, record: &ReporterRecord) -> Vec<Moment> {
        let now = self.now();
        let mut answered = self.clone();
        let end = answered.carry_out_call(&row(record), true);
        answered.reporters[n].on_call_outcome(record, end, now);
        let mut followers = vec![answered];
        if let Some(mut lost) = self.with_fault() {
            lost.carry_out_call(&row(record), true);
            lost.reporters[n].on_call_outcome(record, CallOutcome::Failed, now);
            followers.push(lost);
        }
        if let Some(mut late) = self.with_fault() {
            late.late.push(Late::Call { record: row(record) });
            late.late.sort();
            late.reporters[n].on_call_outcome(record, CallOutcome::Failed, now);
            followers.push(late);
        }
        followers
    }

    fn with_fault(&self) -> Option<Moment> {
        let faults_left = self.faults_left.checked_sub(1)?;
        Some(Moment { faults_left, ..self.clone() })
    }

    fn carry_out_write(&mut self, record: &RecordOfModel, expected: Option<u64>) -> Option<u64> {
        let current = self.store.as_ref().map(|(_, revision)| *revision);
        // NB: the record of an era before is another one.
        let era = record.2 / TOKENS_IN_ERA;
        if current != expected || era != self.era {
            return None;
        }
        self.revision += 1;
        self.store = Some((record.clone(), self.revision));
        Some(self.revision)
    }

    /// The platform gets a call; what must hold of it is checked here.
    fn carry_out_call(&mut self, record: &RecordOfModel, is_prompt: bool) -> CallOutcome {
        let (holder, _, token, window, count, _) = record;
        let user = self.users.entry(*token).or_insert_with(|| holder.clone());
        assert_eq!(user, holder, "two holders use the number {token}");
        if *token < self.highest {
            assert!(!is_prompt, "{holder} calls under {token} after {} was seen", self.highest);
            return CallOutcome::Fenced;
        }
        self.highest = *token;
        let words = *self.words.entry(*window).or_insert(*count);
        assert_eq!(words, *count, "two reports of window {window} differ");
        if is_prompt {
            self.note_act(holder);
        }
        CallOutcome::Accepted
    }

    /// Holders must not act in the order A, B, A within the lease.
    fn note_act(&mut self, holder: &str) {
        let lease_ticks = LEASE.as_millis().div_ceil(TICK.as_millis()) as u64;
        let others_since =
            |at: u64| self.acts.iter().any(|(other, then)| other != holder && *then >= at);
        let own = self.acts.iter().find(|(other, _)| other == holder);
        if let Some((_, before)) = own {
            let is_back =
                others_since(*before) && self.acts.last().is_some_and(|(last, _)| last != holder);
            let has_waited = self.tick - before >= lease_ticks;
            assert!(
                !is_back || has_waited,
                "{holder} acts again after {} ticks",
                self.tick - before
            );
        }
        self.acts.retain(|(other, _)| other != holder);
        self.acts.push((holder.to_owned(), self.tick));
    }
}

fn fingerprint(moment: &Moment) -> u64 {
    let mut hasher = DefaultHasher::new();
    moment.hash(&mut hasher);
    hasher.finish()
}

/// Visits all moments that can follow from one, and returns how many there are and the most windows reported.
fn search(start: Moment) -> (usize, usize) {
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut open = vec![start];
    let mut most_reported = 0;
    while let Some(moment) = open.pop() {
        most_reported = most_reported.max(moment.words.len());
        for next in moment.followers() {
            if seen.insert(fingerprint(&next)) {
                open.push(next);
            }
        }
        assert!(seen.len() <= MOST_MOMENTS, "more moments than are searched");
    }
    (seen.len(), most_reported)
}

#[test]
fn in_all_orders_two_entries_say_one_thing_and_take_turns() {
    let (moments, reported) = search(Moment::start(2, 4, 1, 0));
    println!("{moments} moments");
    assert!(moments > 10_000, "{moments} moments");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn in_all_orders_entries_that_start_anew_say_one_thing() {
    let (moments, reported) = search(Moment::start(2, 3, 1, 1));
    println!("{moments} moments");
    assert!(moments > 10_000, "{moments} moments");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn in_all_orders_three_entries_say_one_thing_and_take_turns() {
    let (moments, reported) = search(Moment::start(3, 3, 0, 0));
    println!("{moments} moments");
    assert!(moments > 10_000, "{moments} moments");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn in_all_orders_two_entries_say_one_thing_where_the_store_is_restored() {
    let (moments, reported) = search(Moment::start(2, 4, 0, 0).restored_once());
    println!("{moments} moments");
    assert!(moments > 10_000, "{moments} moments");
    assert_eq!(reported, DUE_AT.len());
}

#[test]
fn in_all_orders_entries_whose_answers_are_lost_say_one_thing_where_the_store_is_restored() {
    let (moments, reported) = search(Moment::start(2, 2, 1, 0).restored_once());
    println!("{moments} moments");
    assert!(moments > 10_000, "{moments} moments");
    assert_eq!(reported, DUE_AT.len());
}
