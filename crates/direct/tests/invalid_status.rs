//! Answers of backend servers whose status is none that a caller could get.

mod common;

use std::{cell::Cell, collections::BTreeMap, rc::Rc, time::Duration};

use common::{World, address, catalog, events, request, run_test, stream, with, with_body};
use pondwalk_direct::catalog::{Catalog, Limits, Route, Service, Share, Workspace};
use pondwalk_standin::backends::Behaviour;
use tokio::time::sleep;

/// Status lines behind the protocol's version: out of range, too short, too long, no number, and
/// announcements of an answer that does not come.
const INVALID: [&str; 14] = [
    "000", "000 OK", "099", "0000", "99", "-200", "+20", "0x0", "20O OK", "600 Odd", "999",
    "100 X", "101 X", "102 X",
];
/// Number of servers, two of which send no valid answer.
const SERVERS: u16 = 6;
const FAULTY: [u16; 2] = [3, 4];
/// Number of requests of one run.
const REQUESTS: usize = 60;

/// Answers with this status line, an id and a signature.
fn answer_with(status_line: &str) -> Behaviour {
    let head = format!(
        "HTTP/1.1 {status_line}\r\nx-request-id: {{id}}\r\npondwalk-signature: proof\r\n\
         content-length: 4\r\n\r\nlost"
    );
    Behaviour::Raw(head, Duration::from_millis(5))
}

async fn start_servers(world: &World, service: &str, sound: &Behaviour, status_line: &str) {
    for n in 1..=SERVERS {
        let is_faulty = FAULTY.contains(&n);
        let behaviour = if is_faulty { answer_with(status_line) } else { sound.clone() };
        world.start_server(n, service, "v1", behaviour);
    }
    world.start().await;
}

/// Sends requests of different contents, with a pause between them; returns the number of answers
/// by status.
async fn statuses(
    world: &World,
    path: &str,
    pause: Duration,
    parts: impl Fn(usize) -> String,
) -> BTreeMap<u16, usize> {
    let mut statuses = BTreeMap::new();
    for n in 0..REQUESTS {
        let sent = with_body(request(path, &format!("r{n}")), &format!("body {n}"));
        let sent = with(sent, "pondwalk-prompt-parts", &parts(n));
        let sent = with(sent, "pondwalk-token-usage", "6100,80");
        *statuses.entry(world.call(sent).await.status.as_u16()).or_default() += 1;
        sleep(pause).await;
    }
    statuses
}

/// Guards against a status such as 000 or 999 that reaches a caller as an answer.
#[test]
fn invalid_status_is_never_passed_on() {
    let made = Behaviour::Answer(200, "made".into());
    for status_line in INVALID {
        for (path, sound, may_repeat) in [
            ("/once/", made.clone(), false),
            ("/again/", made.clone(), true),
            ("/stream/", stream(3, None), true),
            ("/fixed/", stream(3, None), false),
        ] {
            run_test(|world| async move {
                world.configure(catalog(1));
                start_servers(&world, "s", &sound, status_line).await;
                let pause = Duration::from_millis(100);
                let statuses = statuses(&world, path, pause, |_| String::new()).await;
                let served = statuses.get(&200).copied().unwrap_or_default();
                let lost = statuses.get(&502).copied().unwrap_or_default();
                assert_eq!(served + lost, REQUESTS, "{status_line} {path} {statuses:?}");
                // Each faulty server is left alone after one answer.
                let max_lost = if may_repeat { 0 } else { FAULTY.len() };
                assert!(lost <= max_lost, "{status_line} {path} {statuses:?}");
            });
        }
    }
}

/// Guards against an invalid status behind informational heads, which a parser passes over.
#[test]
fn invalid_status_behind_informational_heads_is_never_passed_on() {
    for status_line in ["000", "999"] {
        let Behaviour::Raw(answer, pause) = answer_with(status_line) else { panic!("raw bytes") };
        for heads in ["HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n"] {
            let behaviour = Behaviour::Raw(format!("{heads}{heads}{answer}"), pause);
            run_test(|world| async move {
                world.configure(catalog(1));
                world.start_server(1, "s", "v1", behaviour);
                world.start().await;
                for path in ["/once/", "/again/", "/stream/", "/fixed/"] {
                    let answer = world.call(request(path, "r")).await;
                    assert_eq!(answer.status.as_u16(), 502, "{heads:?} {status_line} {path}");
                }
            });
        }
    }
}

/// Guards against a stream that ends since the server that should resume it sends no answer.
#[test]
fn stream_is_resumed_elsewhere_after_an_invalid_status() {
    for status_line in ["000", "101 X", "999"] {
        let asked_to_resume = Rc::new(Cell::new(0));
        // Which server is asked first, and which next, is not known.
        for roles in [[1, 2, 3], [1, 3, 2], [2, 1, 3], [2, 3, 1], [3, 1, 2], [3, 2, 1]] {
            let asked_to_resume = Rc::clone(&asked_to_resume);
            run_test(|world| async move {
                let [cutting, faulty, sound] = roles;
                let gap = Duration::from_millis(10);
                let cut = Behaviour::Stream { last: 6, gap, confidence: None, cut_in: Some(4) };
                world.configure(catalog(1));
                world.start_server(cutting, "s", "v1", cut);
                world.start_server(faulty, "s", "v1", answer_with(status_line));
                world.start_server(sound, "s", "v1", stream(6, None));
                world.start().await;
                let answer = world.call(request("/stream/", "r")).await;
                assert_eq!((answer.body, answer.is_complete), (events(1..=6), true), "{roles:?}");
                let seen = world.backends.requests(address(faulty));
                let resumes = seen.iter().filter(|seen| seen.headers.contains_key("last-event-id"));
                asked_to_resume.set(asked_to_resume.get() + resumes.count());
            });
        }
        assert!(asked_to_resume.get() > 0, "{status_line}");
    }
}

/// A model service with a stream that can't be resumed.
fn catalog_with_fixed_stream() -> Catalog {
    let like = catalog(1);
    let fixed = like.route("h.example", "/fixed/").expect("a route");
    let shares = vec![Share { service: "m".into(), weight: 1.0 }];
    let route = Route { shares, ..Route::clone(fixed) };
    let services = like.services().map(|service| Service::clone(service)).collect();
    let workspace = Workspace {
        name: "w1".into(),
        keys: vec!["k1".to_owned()],
        priority: None,
        allowed_regions: Vec::new(),
    };
    Catalog::new(1, Limits::default(), vec![route], services, vec![workspace])
}

/// Guards against a server that goes on getting the requests whose prompts it is preferred for,
/// though none of its answers is one.
#[test]
fn server_that_prompts_prefer_is_left_alone_after_an_invalid_status() {
    for status_line in ["000", "101 X", "999"] {
        for prompts in [1, 5] {
            run_test(|world| async move {
                world.configure(catalog_with_fixed_stream());
                start_servers(&world, "m", &stream(3, None), status_line).await;
                let parts = |n: usize| format!("a{}:6000,{n:x}:100", n % prompts);
                let statuses = statuses(&world, "/fixed/", Duration::from_secs(1), parts).await;
                // Requests are not blamed: none is quarantined.
                assert_eq!(statuses.get(&429), None, "{status_line} {statuses:?}");
                for n in FAULTY {
                    // Within a minute, at once and after half a minute.
                    let count = world.backends.requests(address(n)).len();
                    assert!(count <= 2, "{status_line} {n}: {count} requests, {statuses:?}");
                }
            });
        }
    }
}

/// Guards against a new version that is completed though none of its answers is one.
#[test]
fn version_that_answers_with_an_invalid_status_is_reverted() {
    for status_line in ["000", "999"] {
        run_test(|world| async move {
            world.configure(catalog(1));
            for n in 1..=4 {
                world.start_server(n, "s", "v1", Behaviour::Answer(200, "made".into()));
            }
            world.start().await;
            for n in 5..=8 {
                world.start_server(n, "s", "v2", answer_with(status_line));
            }
            world.store.put("order/s", "v2 20");
            for n in 0..400 {
                let sent = with_body(request("/again/", &format!("r{n}")), &format!("body {n}"));
                assert_eq!(world.call(sent).await.status.as_u16(), 200, "{status_line}");
                sleep(Duration::from_millis(60)).await;
            }
            sleep(Duration::from_secs(5)).await;
            let progress = world.store.value("progress/s");
            assert_eq!(progress.as_deref(), Some("v2 Reverted"), "{status_line}");
        });
    }
}
