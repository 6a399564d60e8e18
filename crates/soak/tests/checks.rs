//! Each check detects a case that breaks its promise and accepts cases that do not.

use std::time::Duration;

use pondwalk_soak::{
    checks::{self, CHECKS, Check},
    records::{Exchange, Outcome, Records, Route, RunRecord, SlowRead, Span, TimeUs},
    retry_budget::check_retry_budget,
};

/// Time base of the tests, later than all time bounds.
const START_US: TimeUs = 1_000_000_000;

fn at(seconds: f64) -> TimeUs {
    START_US + (seconds * 1e6) as TimeUs
}

fn exchange(id: &str, sent_s: f64, outcome: Outcome) -> Exchange {
    Exchange {
        id: id.to_owned(),
        entry: 0,
        route: Route::Once,
        key: 1,
        sent_us: at(sent_s),
        ended_us: at(sent_s + 0.1),
        outcome,
    }
}

fn answered(status: u16) -> Outcome {
    Outcome::Answered { status, is_complete: true }
}

fn run(id: &str, at_s: f64) -> RunRecord {
    let (server, request) = ("s0".to_owned(), id.to_owned());
    RunRecord { server, request, ran: true, at_us: at(at_s), ..RunRecord::default() }
}

/// Returns records that pass all checks: ten requests that ran and were answered.
fn passing_records() -> Records {
    let mut records = Records { fault_free_from_us: at(0.0), ..Records::default() };
    records.configured_us.insert(1, at(-10.0));
    for number in 0..10 {
        let (id, time) = (format!("r{number}"), 10.0 + f64::from(number));
        records.exchanges.push(exchange(&id, time, answered(200)));
        records.runs.push(run(&id, time + 0.05));
    }
    records
}

fn broken(check: Check, records: &Records) -> usize {
    check(records).broken.len()
}

/// Asserts that the check reports exactly one broken case after `violate`, and no other check any.
fn assert_detects(check: Check, violate: impl Fn(&mut Records)) {
    assert_eq!(broken(check, &passing_records()), 0, "the initial records pass");
    let mut records = passing_records();
    violate(&mut records);
    let findings: Vec<_> = CHECKS.iter().map(|check| check(&records)).collect();
    let failed: Vec<_> = findings.iter().filter(|finding| !finding.broken.is_empty()).collect();
    assert_eq!(failed.len(), 1, "{failed:?}");
    assert_eq!((failed[0].promise, failed[0].broken.len()), (check(&records).promise, 1));
}

#[test]
fn detects_second_run() {
    assert_detects(checks::check_at_most_once, |records| records.runs.push(run("r3", 13.2)));
}

#[test]
fn detects_refused_request_that_ran() {
    assert_detects(checks::check_refusals, |records| {
        records.exchanges.push(exchange("refused", 9.0, answered(503)));
        records.runs.push(run("refused", 9.5));
    });
}

#[test]
fn detects_answer_of_another_request() {
    assert_detects(checks::check_answers, |records| {
        let outcome = Outcome::Answered { status: 200, is_complete: false };
        records.exchanges.push(exchange("other", 9.0, outcome));
    });
}

#[test]
fn detects_missing_answer_of_undisturbed_entry() {
    let add_unanswered =
        |records: &mut Records| records.exchanges.push(exchange("x", 9.0, Outcome::NoAnswer));
    assert_detects(checks::check_answered_by_deadline, add_unanswered);
    let mut records = passing_records();
    add_unanswered(&mut records);
    records.disturbed.insert(0, vec![Span { from_us: at(8.9), to_us: at(9.5) }]);
    assert_eq!(broken(checks::check_answered_by_deadline, &records), 0);
}

#[test]
fn detects_cut_request_of_undisturbed_entry() {
    assert_detects(checks::check_no_cuts, |records| {
        records.exchanges.push(exchange("cut", 9.0, Outcome::Cut));
        records.runs.push(run("cut", 9.05));
    });
    let mut records = passing_records();
    records.exchanges.push(exchange("not run", 9.0, Outcome::Cut));
    records.exchanges.push(exchange("killed", 30.0, Outcome::Cut));
    records.runs.push(run("killed", 30.05));
    records.disturbed.insert(0, vec![Span { from_us: at(30.0), to_us: at(31.0) }]);
    let over = Exchange { ended_us: at(40.0), ..exchange("over", 37.0, Outcome::Cut) };
    records.exchanges.push(over);
    records.runs.push(run("over", 37.05));
    assert_eq!(broken(checks::check_no_cuts, &records), 0);
}

#[test]
fn detects_late_configuration_with_undisturbed_store() {
    let add_unknown_key = |records: &mut Records| {
        records.exchanges.push(exchange("unknown", 9.0, answered(401)));
    };
    assert_detects(checks::check_propagation, add_unknown_key);
    let mut records = passing_records();
    add_unknown_key(&mut records);
    records.store_disturbed.push(Span { from_us: at(6.0), to_us: at(7.0) });
    assert_eq!(broken(checks::check_propagation, &records), 0);
}

/// Adds a third configuration, which removes the first key, at this second; all later requests use
/// the third key.
fn third_configuration(records: &mut Records, at_s: f64) {
    records.configured_us.insert(2, at(at_s - 1.0));
    records.configured_us.insert(3, at(at_s));
    for exchange in &mut records.exchanges {
        if exchange.sent_us > at(at_s) {
            exchange.key = 3;
        }
    }
}

#[test]
fn detects_reverted_configuration() {
    assert_detects(checks::check_no_reversion, |records| {
        third_configuration(records, 12.5);
        records.exchanges.push(exchange("old", 16.0, answered(200)));
        records.runs.push(run("old", 16.05));
    });
}

#[test]
fn detects_late_key_revocation_despite_disturbances() {
    assert_detects(checks::check_key_revocation, |records| {
        third_configuration(records, 5.0);
        records.store_disturbed.push(Span { from_us: at(0.0), to_us: at(30.0) });
        let late = Exchange { entry: 1, ..exchange("late", 10.7, answered(200)) };
        records.exchanges.push(late);
        records.runs.push(run("late", 10.75));
    });
}

#[test]
fn detects_key_accepted_beside_an_unreadable_configuration() {
    assert_detects(checks::check_unreadable_configurations, |records| {
        records.unreadable.push(Span { from_us: at(0.0), to_us: at(9.9) });
        records.exchanges.push(exchange("late", 8.0, answered(200)));
        records.runs.push(run("late", 8.0));
    });
}

#[test]
fn detects_request_at_draining_server() {
    assert_detects(checks::check_draining, |records| {
        records.draining_us.insert("s0".to_owned(), at(16.2));
    });
}

#[test]
fn detects_request_in_evacuated_data_centre() {
    let evacuated = |records: &mut Records| {
        records.data_centre_of.insert("s0".to_owned(), "dc1".to_owned());
        // The request at 15 s is sent 2.4 s after the start, the one at 16 s 3.4 s, the next after the end.
        let span = Span { from_us: at(12.6), to_us: at(16.5) };
        records.evacuated.insert("dc1".to_owned(), vec![span]);
    };
    assert_detects(checks::check_evacuation, evacuated);
    let mut records = passing_records();
    evacuated(&mut records);
    records.store_disturbed.push(Span { from_us: at(13.0), to_us: at(13.5) });
    assert_eq!(broken(checks::check_evacuation, &records), 0);
}

#[test]
fn detects_burst_at_cold_server() {
    let add_burst = |records: &mut Records, requests: usize| {
        records.cold.insert("s1".to_owned(), vec![Span { from_us: at(10.0), to_us: at(16.0) }]);
        for number in 0..requests {
            let at_s = 13.0 + number as f64 * 0.06;
            let run = RunRecord { server: "s1".to_owned(), ..run(&format!("c{number}"), at_s) };
            records.runs.push(run);
        }
    };
    assert_detects(checks::check_warm_up, |records| add_burst(records, 15));
    let mut records = passing_records();
    add_burst(&mut records, 14);
    assert_eq!(broken(checks::check_warm_up, &records), 0);
}

#[test]
fn detects_unused_restarted_server_with_nearby_traffic() {
    let restart_without_use = |records: &mut Records, requests: usize| {
        for (server, data_centre) in [("s0", "dc1"), ("s2", "dc1"), ("s3", "dc2")] {
            records.killed_us.insert(server.to_owned(), vec![at(5.0)]);
            records.data_centre_of.insert(server.to_owned(), data_centre.to_owned());
        }
        for number in 0..requests {
            let (id, time) = (format!("w{number}"), 20.0 + number as f64 * 0.01);
            records.exchanges.push(exchange(&id, time, answered(200)));
        }
    };
    assert_detects(checks::check_restarted_servers, |records| restart_without_use(records, 60));
    let mut records = passing_records();
    restart_without_use(&mut records, 40);
    assert_eq!(checks::check_restarted_servers(&records).checked, 0);
}

#[test]
fn allows_cut_stream_of_killed_server() {
    let mut records = passing_records();
    records.exchanges.push(exchange("cut", 9.0, Outcome::Cut));
    records.runs.push(run("cut", 9.05));
    records.killed_us.insert("s0".to_owned(), vec![at(9.07)]);
    assert_eq!(broken(checks::check_no_cuts, &records), 0);
    records.killed_us.insert("s0".to_owned(), vec![at(8.9)]);
    assert_eq!(broken(checks::check_no_cuts, &records), 1);
}

#[test]
fn detects_missing_recovery_and_absence_of_requests() {
    assert_detects(checks::check_recovery, |records| {
        for number in 0..2 {
            let id = format!("refused{number}");
            records.exchanges.push(exchange(&id, 15.0, answered(503)));
        }
    });
    let records = Records { fault_free_from_us: at(60.0), ..passing_records() };
    assert_eq!(broken(checks::check_recovery, &records), 1);
}

#[test]
fn bounds_match_entry_settings() {
    assert_eq!(checks::PROPAGATION_BOUND, Duration::from_secs(2));
    assert_eq!(checks::KEY_BOUND, Duration::from_secs(5));
    assert_eq!(checks::EVACUATION_BOUND, Duration::from_secs(2));
}

/// Adds attempts of one caller whose request crashes servers; each attempt ran.
fn add_crash_attempts(records: &mut Records, first: u32, count: u32, from_s: f64) {
    for number in first..first + count {
        let (id, at_s) = (format!("x0001{number:07x}"), from_s + 0.4 * f64::from(number - first));
        records.exchanges.push(exchange(&id, at_s, answered(200)));
        records.runs.push(run(&id, at_s + 0.05));
    }
}

#[test]
fn detects_further_runs_of_crashing_request() {
    assert_detects(checks::check_crash_quarantine, |records| {
        add_crash_attempts(records, 0, 3, 10.0);
        add_crash_attempts(records, 3, 4, 20.0);
    });
}

#[test]
fn allows_three_further_runs_and_runs_with_disturbed_store() {
    let mut records = passing_records();
    add_crash_attempts(&mut records, 0, 3, 10.0);
    add_crash_attempts(&mut records, 3, 3, 20.0);
    records.store_disturbed.push(Span { from_us: at(30.0), to_us: at(31.0) });
    add_crash_attempts(&mut records, 6, 3, 31.0);
    assert_eq!(broken(checks::check_crash_quarantine, &records), 0);
}

#[test]
fn detects_request_after_draining_header() {
    // The response with the header arrives at 12.1 s; the request at 15 s is sent 2.9 s later.
    let announce_draining = |records: &mut Records| {
        records.runs.iter_mut().take(6).skip(2).for_each(|run| run.told_leaving = true);
        for run in records.runs.iter_mut().skip(6) {
            run.server = "s1".to_owned();
        }
    };
    assert_detects(checks::check_draining_headers, announce_draining);
    let mut records = passing_records();
    announce_draining(&mut records);
    records.disturbed.insert(0, vec![Span { from_us: at(12.5), to_us: at(13.0) }]);
    assert_eq!(broken(checks::check_draining_headers, &records), 0);
    let mut records = passing_records();
    announce_draining(&mut records);
    records.killed_us.insert("s0".to_owned(), vec![at(12.5)]);
    assert_eq!(broken(checks::check_draining_headers, &records), 0, "the server restarted");
}

#[test]
fn detects_third_request_during_backoff() {
    let request_backoff = |records: &mut Records, pause_ms: u64| {
        records.runs[2].asked_backoff_ms = Some(pause_ms);
    };
    // The server asks for backoff at 12.05 s; the next requests run at 13.05, 14.05 and 15.05 s.
    assert_detects(checks::check_backoff, |records| request_backoff(records, 3_200));
    let mut records = passing_records();
    request_backoff(&mut records, 2_900);
    assert_eq!(broken(checks::check_backoff, &records), 0);
}

#[test]
fn detects_exceeded_server_limit() {
    let add_limited_runs = |records: &mut Records, requests: u32, limit_per_s: f64| {
        for number in 0..requests {
            let (id, time) = (format!("l{number}"), 30.0 + 0.25 * f64::from(number));
            records.exchanges.push(exchange(&id, time, answered(200)));
            let server = "s1".to_owned();
            records.runs.push(RunRecord {
                server,
                limit_per_s: Some(limit_per_s),
                ..run(&id, time)
            });
        }
    };
    let broken_by = |requests, limit_per_s| {
        let mut records = passing_records();
        add_limited_runs(&mut records, requests, limit_per_s);
        broken(checks::check_limits, &records)
    };
    // The entry receives the limit at 30.1 s, so runs from 30.75 s on count; 11 are allowed.
    assert_detects(checks::check_limits, |records| add_limited_runs(records, 15, 1.0));
    assert_eq!(broken_by(14, 1.0), 0);
    assert_eq!(broken_by(60, 2.0), 0, "16 runs in four seconds, where 17 are allowed");
    let mut records = passing_records();
    add_limited_runs(&mut records, 15, 1.0);
    records.disturbed.insert(0, vec![Span { from_us: at(30.2), to_us: at(30.3) }]);
    assert_eq!(broken(checks::check_limits, &records), 0, "the entry was disturbed");
}

#[test]
fn ignores_restarted_server_that_was_replaced() {
    let mut records = passing_records();
    records.killed_us.insert("s2".to_owned(), vec![at(5.0)]);
    records.data_centre_of.insert("s2".to_owned(), "dc1".to_owned());
    for number in 0..60 {
        records.exchanges.push(exchange(&format!("w{number}"), 20.0, answered(200)));
    }
    assert_eq!(broken(checks::check_restarted_servers, &records), 1);
    records.replaced.insert("s2".to_owned());
    assert_eq!(broken(checks::check_restarted_servers, &records), 0);
}

#[test]
fn retries_over_the_budget_are_found() {
    // Each of eight requests within a second is sent nine times; 0.9 * 8 and 54 more are allowed.
    let add = |records: &mut Records, sends: u32| {
        for number in 0..8 {
            let (id, time) = (format!("again{number}"), 40.0 + f64::from(number) / 10.0);
            let again = Exchange { route: Route::Again, ..exchange(&id, time, answered(200)) };
            records.exchanges.push(again);
            let runs = (0..sends).map(|send| run(&id, time + 0.01 * f64::from(send)));
            records.runs.extend(runs);
        }
    };
    assert_detects(check_retry_budget, |records| add(records, 9));
    let mut within = passing_records();
    add(&mut within, 8);
    assert_eq!(broken(check_retry_budget, &within), 0);
    // Repeats by the caller are requests of their own.
    add(&mut within, 2);
    assert_eq!(broken(check_retry_budget, &within), 0);
}

/// Adds runs of a crashing part from second 20 on, each of which crashes a server of its own; further
/// ones follow at these times.
fn add_part_runs(records: &mut Records, further_s: &[f64]) {
    let crashing = (0..5).map(|n| 20.0 + f64::from(n) * 0.1);
    for (n, at_s) in crashing.chain(further_s.iter().copied()).enumerate() {
        let (id, server) = (format!("p0001{n:07x}"), format!("crashed{n}"));
        let sent = Exchange { route: Route::Stream, key: 0, ..exchange(&id, at_s, answered(502)) };
        records.exchanges.push(sent);
        records.runs.push(RunRecord { server: server.clone(), ..run(&id, at_s + 0.01) });
        records.killed_us.insert(server, vec![at(at_s + 0.08)]);
    }
}

#[test]
fn detects_runs_of_a_part_that_has_crashed_servers() {
    assert_detects(checks::check_part_quarantine, |records| {
        add_part_runs(records, &[24.5, 25.0, 26.0, 27.0]);
    });
    let mut records = passing_records();
    add_part_runs(&mut records, &[21.0, 22.0, 23.0, 24.5, 25.0, 26.0]);
    assert_eq!(broken(checks::check_part_quarantine, &records), 0, "three may run later");
}

#[test]
fn detects_sound_requests_refused_beside_a_crashing_part() {
    let add_sound = |records: &mut Records, refused: usize| {
        add_part_runs(records, &[]);
        let late = Exchange {
            route: Route::Stream,
            key: 0,
            ..exchange("p00010000fff", 60.0, answered(429))
        };
        records.exchanges.push(late);
        for n in 0..30 {
            let status = if n < refused { 429 } else { 200 };
            let id = format!("sound{n}");
            let sent = exchange(&id, 30.0 + n as f64, answered(status));
            records.exchanges.push(Exchange { route: Route::Stream, key: 0, ..sent });
        }
    };
    assert_detects(checks::check_sound_requests, |records| add_sound(records, 16));
    let mut records = passing_records();
    add_sound(&mut records, 15);
    assert_eq!(broken(checks::check_sound_requests, &records), 0, "half may be refused");
}

#[test]
fn slow_reads_that_are_cut_by_a_stop_are_detected() {
    let read = |is_cut| SlowRead {
        id: "r3".to_owned(),
        entry: 0,
        sent_us: at(13.0),
        ended_us: at(17.0),
        bytes: 100,
        is_cut,
    };
    let stop = |records: &mut Records| {
        let (end, ready) = (at(16.0), at(18.0));
        let stopped = Span { from_us: at(13.4), to_us: end };
        records.stopped.insert(0, vec![stopped]);
        records.disturbed.insert(0, vec![Span { from_us: end, to_us: ready }]);
    };
    assert_detects(checks::check_slow_reads, |records| {
        stop(records);
        records.slow_reads.push(read(true));
    });
    let mut records = passing_records();
    stop(&mut records);
    records.slow_reads.push(read(false));
    assert_eq!(checks::check_slow_reads(&records).checked, 1);
    assert_eq!(broken(checks::check_slow_reads, &records), 0);
    // What is not read by the end of the grace period may be cut.
    let late = SlowRead { ended_us: at(13.4) + 5_700_000, ..read(true) };
    records.slow_reads.push(late);
    assert_eq!(broken(checks::check_slow_reads, &records), 0);
    // A server that was killed may have cut the answer.
    records.slow_reads.push(read(true));
    records.killed_us.insert("s0".to_owned(), vec![at(14.0)]);
    assert_eq!(broken(checks::check_slow_reads, &records), 0);
}
