//! Crashing requests whose answers end before the crash, at this server or at the one that resumes
//! them, and whose callers may have left by then.

mod common;

use std::{cell::Cell, rc::Rc, time::Duration};

use common::{
    DOWN_TIME, World, catalog,
    crashing::{
        Kind, MAX_FURTHER_RUNS, QUICK_RETRY, Size, crashing, crashing_body, further_runs,
        ok_response, repeat_request, repeatable, send_all_at_once, start_sized,
    },
    net::Net,
    prompt_parts::{
        CRASHING_PART, Callers, FIRST_PART, Outcome, PartsOf, SharedEntries, parts_header,
        send_requests,
    },
    request, run_test, stream, with, with_body,
};
use pondwalk_direct::Entry;
use pondwalk_standin::backends::{Behaviour, CrashRule};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

const SMALL: Size = Size { servers: 12, entries: 4 };
const LARGE: Size = Size { servers: 30, entries: 40 };
const TIME: Duration = Duration::from_secs(30);
/// Part of sound requests, besides the one that all share.
const SOUND_PART: u64 = 0x50;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn events(last: u32, gap_ms: u64) -> Behaviour {
    Behaviour::Stream { last, gap: ms(gap_ms), confidence: None, cut_in: None }
}

fn streams(behaviour: Behaviour) -> Kind {
    Kind { path: "/stream/x", service: "s", behaviour }
}

/// A caller that repeats a request which crashes its servers some time after it began to run there.
#[derive(Clone)]
struct Case {
    name: &'static str,
    kind: Kind,
    crash_after: Duration,
    pause: Duration,
    time: Duration,
    /// Time after which the caller leaves without the answer.
    leaves_after: Option<Duration>,
}

impl Case {
    fn new(name: &'static str, kind: Kind, crash_after_ms: u64) -> Self {
        let crash_after = ms(crash_after_ms);
        Case { name, kind, crash_after, pause: QUICK_RETRY, time: TIME, leaves_after: None }
    }

    async fn repeat(&self, world: &World, entries: &[Entry]) {
        let Some(patience) = self.leaves_after else {
            return repeat_request(world, entries, &self.kind, self.pause, self.time).await;
        };
        let end = Instant::now() + self.time;
        let mut number = 0;
        while Instant::now() < end {
            let entry = &entries[number as usize % entries.len()];
            let asked = world.call_at(entry, crashing(&self.kind, number));
            // The response is dropped with the caller's connection.
            let _ = timeout(patience, asked).await;
            number += 1;
            sleep(self.pause).await;
        }
    }

    fn further_runs(&self, size: Size) -> usize {
        let further = Rc::new(Cell::new(0));
        let recorded = Rc::clone(&further);
        let case = self.clone();
        run_test(|world| async move {
            let net = Net::default();
            let entries = start_sized(&world, &net, &case.kind, size, case.crash_after).await;
            case.repeat(&world, &entries).await;
            println!("{}: {} crashes", case.name, world.backends.crashing_runs().len());
            recorded.set(further_runs(&world));
        });
        further.get()
    }
}

fn check(cases: &[Case], sizes: &[Size]) {
    let mut results = Vec::new();
    for case in cases {
        for size in sizes {
            results.push((case.name, size.entries, case.further_runs(*size)));
        }
    }
    println!("{results:?}");
    assert!(results.iter().all(|(_, _, further)| *further <= MAX_FURTHER_RUNS), "{results:?}");
}

#[test]
fn resumed_short_stream_does_not_clear_a_crashing_content() {
    let cases = [
        Case::new("10 events of 10 ms, crash at 60", streams(events(10, 10)), 60),
        Case::new("5 events of 20 ms, crash at 60", streams(events(5, 20)), 60),
        Case::new("30 events of 10 ms, crash at 200", streams(events(30, 10)), 200),
        Case::new("50 events of 10 ms, crash at 200", streams(events(50, 10)), 200),
        Case::new("200 events of 10 ms, crash at 1500", streams(events(200, 10)), 1_500),
        Case::new("100 events of 10 ms, crash at 60", streams(events(100, 10)), 60),
    ];
    check(&cases, &[SMALL, LARGE]);
}

#[test]
fn resumed_short_stream_of_a_cascade_does_not_clear_a_crashing_content() {
    let models =
        |confidence| Kind { path: "/models/x", service: "m", behaviour: stream(10, confidence) };
    let cases = [
        Case::new("confident", models(Some(90)), 60),
        Case::new("not confident", models(Some(10)), 60),
    ];
    check(&cases, &[SMALL, LARGE]);
}

#[test]
fn resumed_unframed_stream_does_not_clear_a_crashing_content() {
    let behaviour = Behaviour::UnframedStream { last: 10, gap: ms(10), cut_in: None };
    check(&[Case::new("unframed", streams(behaviour), 60)], &[SMALL, LARGE]);
}

#[test]
fn content_whose_answers_end_before_the_crash_is_quarantined() {
    let slow = Case {
        pause: Duration::from_secs(30),
        time: Duration::from_secs(600),
        ..Case::new("30 ms before, each half minute", streams(events(3, 10)), 60)
    };
    let cases = [
        Case::new("30 ms before", streams(events(3, 10)), 60),
        Case::new("300 ms before", streams(events(3, 10)), 330),
        slow,
    ];
    check(&cases, &[SMALL, LARGE]);
}

#[test]
fn content_of_a_caller_that_leaves_alone_is_quarantined() {
    let leaving = |name, kind| Case { leaves_after: Some(ms(30)), ..Case::new(name, kind, 60) };
    let cases = [
        leaving("stream", streams(events(100, 10))),
        leaving("answer", Kind { behaviour: ok_response(), ..repeatable() }),
        Case {
            pause: Duration::from_secs(30),
            time: Duration::from_secs(600),
            ..leaving("each half minute", streams(events(100, 10)))
        },
    ];
    check(&cases, &[SMALL, LARGE]);
}

#[test]
fn simultaneous_copies_whose_answers_end_before_the_crash_are_quarantined() {
    for entries in [1, 4] {
        run_test(|world| async move {
            let world = Rc::new(world);
            let net = Net::default();
            let kind = streams(events(3, 10));
            let size = Size { servers: 12, entries };
            let entries = start_sized(&world, &net, &kind, size, ms(60)).await;
            for round in 0..6 {
                send_all_at_once(&world, &entries, &kind, 20, round).await;
                sleep(Duration::from_secs(30)).await;
            }
            let further = further_runs(&world);
            assert!(further <= MAX_FURTHER_RUNS, "{further} at {size:?}");
        });
    }
}

#[test]
fn resuming_caller_does_not_clear_a_crashing_content() {
    for size in [SMALL, LARGE] {
        run_test(|world| async move {
            let net = Net::default();
            let kind = streams(events(10, 10));
            let entries = start_sized(&world, &net, &kind, size, ms(60)).await;
            let end = Instant::now() + TIME;
            let mut number = 0;
            while Instant::now() < end {
                let asked = with(crashing(&kind, number), "last-event-id", "6");
                world.call_at(&entries[number as usize % entries.len()], asked).await;
                number += 1;
                sleep(QUICK_RETRY).await;
            }
            let further = further_runs(&world);
            assert!(further <= MAX_FURTHER_RUNS, "{further} at {size:?}");
        });
    }
}

fn callers(per_s: f64, parts: PartsOf) -> Callers {
    let interval = Duration::from_secs_f64(1.0 / per_s);
    Callers { interval, parts, from: Duration::ZERO, until: TIME, retries: true }
}

fn sound() -> Callers {
    callers(20.0, |number| vec![FIRST_PART, SOUND_PART + u64::from(number % 4)])
}

#[test]
fn part_whose_short_answers_end_before_the_crash_is_quarantined() {
    for size in [SMALL, LARGE] {
        run_test(|world| async move {
            let world = Rc::new(world);
            let net = Net::default();
            let kind = streams(events(3, 10));
            let entries = start_sized(&world, &net, &kind, size, ms(60)).await;
            world.make_part_crashing("s", CRASHING_PART, ms(60));
            let entries = SharedEntries::new(entries.into());
            let bad = callers(2.5, |_| vec![FIRST_PART, CRASHING_PART]);
            let bad = send_requests(&world, &entries, &kind, "bad", bad);
            let sound = send_requests(&world, &entries, &kind, "sound", sound());
            let (_, attempts) = tokio::join!(bad, sound);
            Outcome::of(&world, &attempts).check(&format!("{size:?}"));
        });
    }
}

/// Repeats the n-th crashing content, with the prompt parts of sound requests, until `end`.
async fn repeat_content(world: &World, entries: &[Entry], kind: &Kind, n: u32, end: Instant) {
    let mut number = 0;
    while Instant::now() < end {
        let asked = with(request(kind.path, &format!("c{n}-{number}")), "pondwalk-model", "auto");
        let parts = parts_header(&[FIRST_PART, SOUND_PART + u64::from(n % 4)], 1 << 40 | n as u64);
        let asked = with(asked, "pondwalk-prompt-parts", &parts);
        let asked = with_body(asked, &crashing_body(n));
        world.call_at(&entries[(n + number) as usize % entries.len()], asked).await;
        number += 1;
        sleep(QUICK_RETRY).await;
    }
}

/// Several crashing contents with the prompt parts of sound requests: none may run more often than
/// allowed, and the sound ones must be served.
fn check_contents(contents: u32, size: Size, time: Duration) {
    run_test(|world| async move {
        let world = Rc::new(world);
        let net = Net::default();
        let kind = streams(events(100, 10));
        let entries = start_sized(&world, &net, &kind, size, ms(60)).await;
        let end = Instant::now() + time;
        let callers: Vec<_> = (0..contents)
            .map(|n| {
                let (world, entries, kind) = (Rc::clone(&world), entries.clone(), kind.clone());
                spawn_local(async move { repeat_content(&world, &entries, &kind, n, end).await })
            })
            .collect();
        let shared = SharedEntries::new(entries.into());
        let sound = Callers { until: time, ..sound() };
        let attempts = send_requests(&world, &shared, &kind, "sound", sound).await;
        for caller in callers {
            caller.await.expect("a caller");
        }
        let worst = (0..contents).map(|n| further_runs_of_body(&world, &crashing_body(n))).max();
        let begin = end - time;
        let late: Vec<_> =
            attempts.iter().filter(|one| one.sent > begin + Duration::from_secs(10)).collect();
        let served = late.iter().filter(|attempt| attempt.is_served).count();
        println!(
            "{contents} contents, {size:?}: {} crashes, {worst:?} late at worst, {served} of {}",
            world.backends.crashing_runs().len(),
            late.len()
        );
        assert!(worst <= Some(MAX_FURTHER_RUNS), "{worst:?} late runs");
        assert!(served as f64 >= 0.9 * late.len() as f64, "{served} of {}", late.len());
    });
}

/// Runs of a content later than allowed.
fn further_runs_of_body(world: &World, body: &str) -> usize {
    let runs = world.backends.crashing_runs();
    let runs: Vec<_> = runs.iter().filter(|run| run.body == body.as_bytes()).collect();
    let mut ends: Vec<Instant> = runs.iter().filter_map(|run| run.crashed_at).collect();
    ends.sort();
    let Some(third) = ends.get(2) else { return 0 };
    runs.iter().filter(|run| run.at > *third + Duration::from_secs(3)).count()
}

#[test]
fn crashing_contents_do_not_quarantine_the_parts_of_sound_requests() {
    check_contents(10, SMALL, TIME);
}

#[test]
fn crashing_contents_do_not_quarantine_the_parts_of_sound_requests_for_longer() {
    check_contents(10, SMALL, Duration::from_secs(90));
}

#[test]
fn few_crashing_contents_do_not_quarantine_the_parts_of_sound_requests() {
    check_contents(5, SMALL, TIME);
    check_contents(10, LARGE, TIME);
}

/// Crashes the servers of version `v2` shortly after each of their answers; their ids begin with
/// `s3`.
fn crash_after_answers(world: &World) {
    let store = world.store.clone();
    world.backends.add_crash_rule(CrashRule {
        applies: Rc::new(|request| {
            let server = request.headers.get("pondwalk-expected-server");
            server.is_some_and(|server| server.starts_with("s3") && !server.starts_with("s3-"))
        }),
        after: Duration::from_millis(30),
        is_answered: true,
        restart_delay: DOWN_TIME,
        on_restart: Rc::new(move |address, id| {
            let next = format!("{id}+");
            store.remove(&format!("server/{id}"));
            store.put(&format!("server/{next}"), &format!("s {address} dc1 v2 ready"));
            next
        }),
    });
}

#[test]
fn version_whose_servers_crash_after_their_answers_is_reverted() {
    run_test(|world| async move {
        let net = Net::default();
        world.configure(catalog(1));
        for n in 1..=12 {
            world.start_server(n, "s", "v1", ok_response());
        }
        let entries = net.start_many(&world, 4, "");
        sleep(Duration::from_secs(5)).await;
        for n in 31..=36 {
            world.start_server(n, "s", "v2", ok_response());
        }
        crash_after_answers(&world);
        sleep(Duration::from_secs(1)).await;
        world.store.put("order/s", "v2 20");
        for n in 0..300 {
            let sent = with_body(request("/again/x", &format!("c{n}")), &format!("asked {n}"));
            let sent = with(sent, "pondwalk-session", &format!("s{n}"));
            world.call_at(&entries[n % 4], sent).await;
            sleep(Duration::from_millis(50)).await;
        }
        sleep(Duration::from_secs(20)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Reverted"));
    });
}
