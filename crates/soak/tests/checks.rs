//! Each check notices one case that breaks its promise, and passes over those that do not.

use std::time::Duration;

use pondwalk_soak::{
    checks::{self, CHECKS, Check},
    records::{End, Exchange, Records, Route, Run, Span, TimeUs},
};

/// Time of the tests, well after the start of all clocks.
const START_US: TimeUs = 1_000_000_000;

fn at(seconds: f64) -> TimeUs {
    START_US + (seconds * 1e6) as TimeUs
}

fn exchange(id: &str, sent_s: f64, end: End) -> Exchange {
    Exchange {
        id: id.to_owned(),
        entry: 0,
        route: Route::Once,
        key: 1,
        sent_us: at(sent_s),
        ended_us: at(sent_s + 0.1),
        end,
    }
}

fn answered(status: u16) -> End {
    End::Answered { status, is_whole: true }
}

fn run(id: &str, at_s: f64) -> Run {
    let (server, request) = ("s0".to_owned(), id.to_owned());
    Run { server, request, ran: true, at_us: at(at_s), ..Run::default() }
}

/// A run in which all is as promised: ten requests that ran and were answered.
fn kept() -> Records {
    let mut records = Records { calm_from_us: at(0.0), ..Records::default() };
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

/// The check notices what `spoil` does once, and no other check notices anything.
fn notices(check: Check, spoil: impl Fn(&mut Records)) {
    assert_eq!(broken(check, &kept()), 0, "nothing is broken yet");
    let mut records = kept();
    spoil(&mut records);
    let found: Vec<_> = CHECKS.iter().map(|check| check(&records)).collect();
    let noticed: Vec<_> = found.iter().filter(|finding| !finding.broken.is_empty()).collect();
    assert_eq!(noticed.len(), 1, "{noticed:?}");
    assert_eq!((noticed[0].promise, noticed[0].broken.len()), (check(&records).promise, 1));
}

#[test]
fn a_second_run_is_noticed() {
    notices(checks::runs_at_most_once, |records| records.runs.push(run("r3", 13.2)));
}

#[test]
fn a_refused_request_that_runs_is_noticed() {
    notices(checks::refusals_are_true, |records| {
        records.exchanges.push(exchange("refused", 9.0, answered(503)));
        records.runs.push(run("refused", 9.5));
    });
}

#[test]
fn anothers_answer_is_noticed() {
    notices(checks::answers_are_whole_and_own, |records| {
        let end = End::Answered { status: 200, is_whole: false };
        records.exchanges.push(exchange("other", 9.0, end));
    });
}

#[test]
fn a_request_without_an_answer_is_noticed_unless_its_entry_was_disturbed() {
    let never = |records: &mut Records| records.exchanges.push(exchange("x", 9.0, End::Never));
    notices(checks::every_request_is_answered, never);
    let mut records = kept();
    never(&mut records);
    records.disturbed.insert(0, vec![Span { from_us: at(8.9), to_us: at(9.5) }]);
    assert_eq!(broken(checks::every_request_is_answered, &records), 0);
}

#[test]
fn a_cut_is_noticed_if_the_request_ran_and_its_entry_was_not_disturbed() {
    notices(checks::nothing_is_cut, |records| {
        records.exchanges.push(exchange("cut", 9.0, End::Cut));
        records.runs.push(run("cut", 9.05));
    });
    let mut records = kept();
    records.exchanges.push(exchange("not run", 9.0, End::Cut));
    records.exchanges.push(exchange("killed", 30.0, End::Cut));
    records.runs.push(run("killed", 30.05));
    records.disturbed.insert(0, vec![Span { from_us: at(30.0), to_us: at(31.0) }]);
    let over = Exchange { ended_us: at(40.0), ..exchange("over", 37.0, End::Cut) };
    records.exchanges.push(over);
    records.runs.push(run("over", 37.05));
    assert_eq!(broken(checks::nothing_is_cut, &records), 0);
}

#[test]
fn a_change_that_is_not_in_force_in_time_is_noticed_unless_the_store_was_disturbed() {
    let unknown = |records: &mut Records| {
        records.exchanges.push(exchange("unknown", 9.0, answered(401)));
    };
    notices(checks::changes_are_in_force, unknown);
    let mut records = kept();
    unknown(&mut records);
    records.store_disturbed.push(Span { from_us: at(6.0), to_us: at(7.0) });
    assert_eq!(broken(checks::changes_are_in_force, &records), 0);
}

/// The third configuration, which takes the first key away, at this second; all requests after it are
/// of its own key.
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
fn a_key_that_is_honoured_again_is_noticed() {
    notices(checks::configurations_never_revert, |records| {
        third_configuration(records, 12.5);
        records.exchanges.push(exchange("old", 16.0, answered(200)));
        records.runs.push(run("old", 16.05));
    });
}

#[test]
fn a_key_that_works_after_its_bound_is_noticed_whatever_is_disturbed() {
    notices(checks::keys_are_dead_in_time, |records| {
        third_configuration(records, 5.0);
        records.store_disturbed.push(Span { from_us: at(0.0), to_us: at(30.0) });
        let late = Exchange { entry: 1, ..exchange("late", 10.7, answered(200)) };
        records.exchanges.push(late);
        records.runs.push(run("late", 10.75));
    });
}

#[test]
fn work_at_a_server_that_has_left_is_noticed() {
    notices(checks::leaving_servers_are_left, |records| {
        records.left_us.insert("s0".to_owned(), at(16.2));
    });
}

#[test]
fn work_at_an_evacuated_data_centre_is_noticed_unless_the_store_was_disturbed() {
    let evacuated = |records: &mut Records| {
        records.data_centre_of.insert("s0".to_owned(), "dc1".to_owned());
        // The request at 15 s comes 2.4 s after it, the one at 16 s 3.4 s, the next after its end.
        let span = Span { from_us: at(12.6), to_us: at(16.5) };
        records.evacuated.insert("dc1".to_owned(), vec![span]);
    };
    notices(checks::evacuated_data_centres_are_left, evacuated);
    let mut records = kept();
    evacuated(&mut records);
    records.store_disturbed.push(Span { from_us: at(13.0), to_us: at(13.5) });
    assert_eq!(broken(checks::evacuated_data_centres_are_left, &records), 0);
}

#[test]
fn a_rush_at_a_cold_server_is_noticed() {
    let rush = |records: &mut Records, requests: usize| {
        records.cold.insert("s1".to_owned(), vec![Span { from_us: at(10.0), to_us: at(16.0) }]);
        for number in 0..requests {
            let at_s = 13.0 + number as f64 * 0.06;
            let run = Run { server: "s1".to_owned(), ..run(&format!("c{number}"), at_s) };
            records.runs.push(run);
        }
    };
    notices(checks::cold_servers_are_spared, |records| rush(records, 15));
    let mut records = kept();
    rush(&mut records, 14);
    assert_eq!(broken(checks::cold_servers_are_spared, &records), 0);
}

#[test]
fn a_server_that_is_forgotten_after_it_came_back_is_noticed_where_there_is_work_near_it() {
    let forgotten = |records: &mut Records, requests: usize| {
        for (server, data_centre) in [("s0", "dc1"), ("s2", "dc1"), ("s3", "dc2")] {
            records.killed_us.insert(server.to_owned(), vec![at(5.0)]);
            records.data_centre_of.insert(server.to_owned(), data_centre.to_owned());
        }
        for number in 0..requests {
            let (id, time) = (format!("w{number}"), 20.0 + number as f64 * 0.01);
            records.exchanges.push(exchange(&id, time, answered(200)));
        }
    };
    notices(checks::servers_born_anew_are_used, |records| forgotten(records, 60));
    let mut records = kept();
    forgotten(&mut records, 40);
    assert_eq!(checks::servers_born_anew_are_used(&records).looked_at, 0);
}

#[test]
fn a_stream_whose_server_was_killed_may_be_cut() {
    let mut records = kept();
    records.exchanges.push(exchange("cut", 9.0, End::Cut));
    records.runs.push(run("cut", 9.05));
    records.killed_us.insert("s0".to_owned(), vec![at(9.07)]);
    assert_eq!(broken(checks::nothing_is_cut, &records), 0);
    records.killed_us.insert("s0".to_owned(), vec![at(8.9)]);
    assert_eq!(broken(checks::nothing_is_cut, &records), 1);
}

#[test]
fn service_that_does_not_recover_is_noticed_and_so_is_no_request_at_all() {
    notices(checks::service_recovers, |records| {
        for number in 0..2 {
            let id = format!("refused{number}");
            records.exchanges.push(exchange(&id, 15.0, answered(503)));
        }
    });
    let records = Records { calm_from_us: at(60.0), ..kept() };
    assert_eq!(broken(checks::service_recovers, &records), 1);
}

#[test]
fn bounds_of_the_checks_are_those_that_the_entries_are_given() {
    assert_eq!(checks::PROPAGATION, Duration::from_secs(2));
    assert_eq!(checks::KEY_BOUND, Duration::from_secs(5));
    assert_eq!(checks::EVACUATION_BOUND, Duration::from_secs(2));
}

/// Tries of one caller whose request ends servers, each of which ran.
fn tries(records: &mut Records, first: u32, count: u32, from_s: f64) {
    for number in first..first + count {
        let (id, at_s) = (format!("x0001{number:07x}"), from_s + 0.4 * f64::from(number - first));
        records.exchanges.push(exchange(&id, at_s, answered(200)));
        records.runs.push(run(&id, at_s + 0.05));
    }
}

#[test]
fn a_request_that_goes_on_to_end_servers_is_noticed() {
    notices(checks::requests_that_end_servers_are_left, |records| {
        tries(records, 0, 3, 10.0);
        tries(records, 3, 4, 20.0);
    });
}

#[test]
fn three_further_runs_and_those_while_the_store_was_disturbed_are_allowed() {
    let mut records = kept();
    tries(&mut records, 0, 3, 10.0);
    tries(&mut records, 3, 3, 20.0);
    records.store_disturbed.push(Span { from_us: at(30.0), to_us: at(31.0) });
    tries(&mut records, 6, 3, 31.0);
    assert_eq!(broken(checks::requests_that_end_servers_are_left, &records), 0);
}

#[test]
fn work_at_a_server_that_said_it_leaves_is_noticed_unless_its_entry_was_killed() {
    // The answer that says so is passed on at 12.1 s; the request at 15 s comes 2.9 s later.
    let says = |records: &mut Records| {
        records.runs.iter_mut().take(6).skip(2).for_each(|run| run.told_leaving = true);
        for run in records.runs.iter_mut().skip(6) {
            run.server = "s1".to_owned();
        }
    };
    notices(checks::servers_that_say_they_leave_are_left, says);
    let mut records = kept();
    says(&mut records);
    records.disturbed.insert(0, vec![Span { from_us: at(12.5), to_us: at(13.0) }]);
    assert_eq!(broken(checks::servers_that_say_they_leave_are_left, &records), 0);
    let mut records = kept();
    says(&mut records);
    records.killed_us.insert("s0".to_owned(), vec![at(12.5)]);
    assert_eq!(broken(checks::servers_that_say_they_leave_are_left, &records), 0, "born anew");
}

#[test]
fn three_requests_in_a_pause_are_noticed_and_two_are_allowed() {
    let asks = |records: &mut Records, pause_ms: u64| {
        records.runs[2].asked_backoff_ms = Some(pause_ms);
    };
    // It asks at 12.05 s; the next come at 13.05, 14.05 and 15.05 s.
    notices(checks::servers_that_ask_for_a_pause_get_it, |records| asks(records, 3_200));
    let mut records = kept();
    asks(&mut records, 2_900);
    assert_eq!(broken(checks::servers_that_ask_for_a_pause_get_it, &records), 0);
}

#[test]
fn more_than_a_servers_limit_is_noticed() {
    let limits = |records: &mut Records, requests: u32, limit_per_s: f64| {
        for number in 0..requests {
            let (id, time) = (format!("l{number}"), 30.0 + 0.25 * f64::from(number));
            records.exchanges.push(exchange(&id, time, answered(200)));
            let server = "s1".to_owned();
            records.runs.push(Run { server, limit_per_s: Some(limit_per_s), ..run(&id, time) });
        }
    };
    let broken_by = |requests, limit_per_s| {
        let mut records = kept();
        limits(&mut records, requests, limit_per_s);
        broken(checks::limits_of_servers_are_kept, &records)
    };
    // The entry has heard it at 30.1 s, so what runs from 30.75 s on counts; 11 are allowed.
    notices(checks::limits_of_servers_are_kept, |records| limits(records, 15, 1.0));
    assert_eq!(broken_by(14, 1.0), 0);
    assert_eq!(broken_by(60, 2.0), 0, "16 in four seconds, where 17 are allowed");
    let mut records = kept();
    limits(&mut records, 15, 1.0);
    records.disturbed.insert(0, vec![Span { from_us: at(30.2), to_us: at(30.3) }]);
    assert_eq!(broken(checks::limits_of_servers_are_kept, &records), 0, "it was disturbed");
}

#[test]
fn a_server_that_came_back_and_gave_way_to_another_later_need_not_be_used() {
    let mut records = kept();
    records.killed_us.insert("s2".to_owned(), vec![at(5.0)]);
    records.data_centre_of.insert("s2".to_owned(), "dc1".to_owned());
    for number in 0..60 {
        records.exchanges.push(exchange(&format!("w{number}"), 20.0, answered(200)));
    }
    assert_eq!(broken(checks::servers_born_anew_are_used, &records), 1);
    records.replaced.insert("s2".to_owned());
    assert_eq!(broken(checks::servers_born_anew_are_used, &records), 0);
}
