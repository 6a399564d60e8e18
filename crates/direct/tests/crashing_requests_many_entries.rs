//! Requests that end servers, where entries are many, start anew, are cut in halves or hear late, where callers are
//! slow or many at once, and where others ask the like.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    address,
    lethal::{
        ENDS_AFTER, FURTHER_RUNS, Kind, QUICK, again, all_at_once, come_again, further_runs,
        further_runs_of, lethal, lethal_body, start,
    },
    net::Net,
    play, request, stream, total, with, with_body,
};
use pondwalk_direct::Entry;
use pondwalk_standin::memory_store::Weather;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

const SLOW: Duration = Duration::from_secs(30);

#[test]
fn a_caller_that_waits_long_between_its_tries_ends_no_more() {
    for path in ["/again/x", "/once/x"] {
        let kind = Kind { path, ..again() };
        let further = further_runs_of(kind, 5, SLOW, Duration::from_secs(600));
        assert!(further <= FURTHER_RUNS, "{further} of {path}");
    }
}

#[test]
fn it_is_known_at_a_hundred_entries() {
    let further = further_runs_of(again(), 103, QUICK, Duration::from_secs(15));
    assert!(further <= FURTHER_RUNS, "{further}");
}

#[test]
fn many_copies_at_once_end_no_more_once_it_is_known() {
    play(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let entries = start(&world, &net, &again(), 5).await;
        for round in 0..40 {
            all_at_once(&world, &entries, &again(), 20, round).await;
            sleep(QUICK).await;
        }
        let further = further_runs(&world);
        assert!(further <= FURTHER_RUNS, "{further}");
    });
}

#[test]
fn several_that_end_servers_at_the_same_moment_do_not_excuse_one_another() {
    play(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let entries = start(&world, &net, &again(), 2).await;
        for n in 0..5 {
            world.make_lethal("s", &lethal_body(n), ENDS_AFTER);
        }
        let callers: Vec<_> = (0..5)
            .map(|n| {
                let (world, entries) = (Rc::clone(&world), entries.clone());
                spawn_local(async move {
                    for number in 0..40 {
                        let sent = with_body(
                            request("/again/x", &format!("l{n}-{number}")),
                            &lethal_body(n),
                        );
                        world.ask_at(&entries[number % 2], sent).await;
                        sleep(QUICK).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("a caller");
        }
        let late = Instant::now() - Duration::from_secs(8);
        let runs = world.backends.lethal_runs();
        let late = runs.iter().filter(|run| run.at > late).count();
        assert!(
            late <= 5 * FURTHER_RUNS,
            "{late} of five in the last eight seconds, {} in all",
            runs.len()
        );
    });
}

#[test]
fn it_is_known_after_a_restart_of_all_entries() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 5).await;
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(8)).await;
        let before = world.backends.lethal_runs().len();
        for n in 0..5 {
            net.end(n);
        }
        drop(entries);
        sleep(Duration::from_millis(500)).await;
        net.cut.borrow_mut().clear();
        let entries = net.start_many(&world, 5, "");
        sleep(Duration::from_secs(1)).await;
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(20)).await;
        let after = world.backends.lethal_runs().len() - before;
        assert!(after <= 2, "{after} runs after the restart");
    });
}

#[test]
fn it_is_known_in_both_halves_of_a_deployment_that_is_cut() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 8).await;
        net.split(4);
        sleep(Duration::from_secs(1)).await;
        come_again(&world, &entries[..4], &again(), QUICK, Duration::from_secs(3)).await;
        come_again(&world, &entries[4..], &again(), QUICK, Duration::from_secs(20)).await;
        let further = further_runs(&world);
        assert!(further <= FURTHER_RUNS, "{further}");
    });
}

#[test]
fn another_path_of_the_way_is_the_same_request() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 1).await;
        let until = Instant::now() + Duration::from_secs(15);
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let kind =
                Kind { path: ["/again/x", "/again/x?try=2"][number as usize % 2], ..again() };
            let sent = with(lethal(&kind, number), "pondwalk-session", &format!("s{number}"));
            world.ask_at(&entries[0], sent).await;
            sleep(QUICK).await;
        }
        let further = further_runs(&world);
        assert!(further <= FURTHER_RUNS, "{further}");
    });
}

#[test]
fn a_caller_is_told_that_it_is_not_worth_repeating_and_whether_it_ran() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 1).await;
        let ran = world.ask_at(&entries[0], lethal(&again(), 1)).await;
        assert_eq!(ran.status.as_u16(), 502);
        assert!(
            ran.body.contains("ended_servers") && ran.body.contains("\"ran\":\"unknown\""),
            "{}",
            ran.body
        );
        assert!(!ran.headers.contains_key("retry-after"));
        let before = Instant::now();
        let held = world.ask_at(&entries[0], lethal(&again(), 2)).await;
        assert!(before.elapsed() < Duration::from_millis(50), "it is rejected at once");
        assert_eq!(held.status.as_u16(), 429);
        assert!(
            held.body.contains("ends_servers") && held.body.contains("\"ran\":false"),
            "{}",
            held.body
        );
        assert!(held.headers.contains_key("retry-after"));
        let runs = world.backends.lethal_runs().len();
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(45)).await;
        let last = world.ask_at(&entries[0], lethal(&again(), 3)).await;
        let pause: f64 =
            last.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
        assert!(
            pause > 500.0,
            "{pause} s after {} runs",
            world.backends.lethal_runs().len() - runs
        );
    });
}

#[test]
fn callers_who_ask_otherwise_are_served_and_nothing_is_told_in_calm() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 3).await;
        let news = |entries: &[Entry]| -> Vec<String> {
            let line = |text: String| {
                text.lines().find(|line| line.contains("news_remembered")).map(str::to_owned)
            };
            entries.iter().filter_map(|entry| line(entry.metrics_text())).collect()
        };
        let calm = news(&entries);
        for n in 0..20 {
            let sent = with_body(request("/again/x", &format!("c{n}")), "asked in calm");
            assert_eq!(world.ask_at(&entries[n % 3], sent).await.status.as_u16(), 200);
        }
        assert_eq!(news(&entries), calm, "requests that come to a good end cost no message");
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(5)).await;
        sleep(Duration::from_secs(2)).await;
        for n in 0..20 {
            let sent = with_body(request("/again/x", &format!("o{n}")), "asked otherwise");
            assert_eq!(world.ask_at(&entries[n % 3], sent).await.status.as_u16(), 200);
        }
    });
}

#[test]
fn a_store_that_refuses_writes_is_not_asked_again_and_again() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 5).await;
        world.store.set_weather(Weather::AnswersLost);
        let before = world.store.calls();
        come_again(&world, &entries, &again(), QUICK, Duration::from_secs(10)).await;
        let calls = world.store.calls() - before;
        assert!(calls < 120, "{calls} calls in ten seconds");
    });
}
#[test]
fn dbg_slow() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 5).await;
        let t0 = Instant::now();
        come_again(&world, &entries, &again(), SLOW, Duration::from_secs(200)).await;
        for r in world.backends.lethal_runs() {
            println!("run {:?} ended {:?}", r.at - t0, r.ended.map(|e| e - t0));
        }
        for e in &entries {
            for l in e
                .gathered_lines()
                .lines()
                .filter(|l| l.contains("content") || l.contains("news_not"))
            {
                println!("{} {l}", e.name());
            }
        }
    });
}

#[test]
fn a_good_version_on_trial_is_not_called_bad_by_one_request_that_ends_servers() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &again(), 3).await;
        for n in 31..=36 {
            world.start_server(n, "s", "v2", again().usual);
        }
        sleep(Duration::from_secs(1)).await;
        world.store.put("order/s", "v2 20");
        let innocent = async {
            for n in 0..200 {
                let sent = with_body(request("/again/x", &format!("c{n}")), &format!("asked {n}"));
                let sent = with(sent, "pondwalk-session", &format!("s{n}"));
                world.ask_at(&entries[n % 3], sent).await;
                sleep(Duration::from_millis(50)).await;
            }
        };
        let kind = again();
        let lethal = come_again(&world, &entries, &kind, QUICK, Duration::from_secs(10));
        tokio::join!(innocent, lethal);
        sleep(Duration::from_secs(20)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Completed"));
    });
}

#[test]
fn a_caller_that_leaves_before_the_server_ends_is_found_by_those_beside_it() {
    play(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let kind = Kind { path: "/stream/x", usual: stream(100, None), ..again() };
        let entries = start(&world, &net, &kind, 2).await;
        for number in 0..60 {
            // NB: others are at all servers, each with a request of its own.
            for n in 0..30 {
                let (world, entry) = (Rc::clone(&world), entries[n % 2].clone());
                let body = format!("beside {number} {n}");
                spawn_local(async move {
                    let sent = with_body(request("/stream/x", &format!("b{number}-{n}")), &body);
                    world.ask_at(&entry, sent).await;
                });
            }
            sleep(Duration::from_millis(30)).await;
            let asking = world.ask_at(&entries[number % 2], lethal(&kind, number as u32));
            // NB: the answer that the caller does not wait for is dropped with its connection.
            let _ = timeout(ENDS_AFTER / 2, asking).await;
            sleep(QUICK).await;
        }
        let further = further_runs(&world);
        assert!(further <= FURTHER_RUNS, "{further} of {}", world.backends.lethal_runs().len());
    });
}

#[test]
fn a_loss_of_all_servers_with_thousands_aboard_costs_little_and_holds_nobody() {
    play(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let kind = Kind { path: "/stream/x", usual: stream(500, None), ..again() };
        let entries = start(&world, &net, &kind, 20).await;
        for n in 0..2_000_usize {
            let (world, entry) = (Rc::clone(&world), entries[n % 20].clone());
            spawn_local(async move {
                let sent =
                    with_body(request("/stream/x", &format!("a{n}")), &format!("aboard {n}"));
                world.ask_at(&entry, sent).await;
            });
        }
        sleep(Duration::from_millis(500)).await;
        let told = "pondwalk_peer_bytes_told_total";
        let (bytes, calls) = (total(&entries, told), world.store.calls());
        for n in 1..=30 {
            world.backends.crash(address(n));
        }
        sleep(Duration::from_secs(2)).await;
        let bytes = total(&entries, told) - bytes;
        assert_eq!(total(&entries, "pondwalk_contents_held"), 0);
        let remembered = total(&entries, "pondwalk_contents_remembered") / 20;
        assert_eq!(remembered, 2_000, "each entry knows of all that were aboard");
        // NB: each end is told to each entry once, and up the tree: some 40 bytes.
        assert!(bytes < 2_000 * 20 * 60, "{bytes} bytes");
        let stored = "pondwalk_store_calls_total{cause=\"quarantine\"}";
        assert_eq!(total(&entries, stored), 0);
        let calls = world.store.calls() - calls;
        assert!(calls < 40, "{calls} calls in two seconds");
    });
}

/// Callers who all ask the same are aboard wherever a server ends. In a run with real processes their content
/// was held for minutes: its probes had run at servers that another request ended.
#[test]
fn what_came_to_good_ends_before_is_not_held_when_servers_end_by_chance() {
    for entries in [1, 5] {
        play(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, &again(), entries).await;
            let ask = async |n: usize| {
                let sent = with_body(request("/again/x", &format!("a{n}")), "the same");
                world.ask_at(&entries[n % entries.len()], sent).await.status.as_u16()
            };
            assert_eq!(ask(0).await, 200);
            world.make_lethal("s", "the same", ENDS_AFTER);
            assert_eq!(ask(1).await, 502);
            assert_eq!(ask(2).await, 502);
            world.backends.clear_lethal();
            // NB: that it went well is known to the first entry, which tells the others.
            sleep(Duration::from_millis(if entries.len() > 1 { 800 } else { 0 })).await;
            for n in 3..8 {
                assert_eq!(ask(n).await, 200, "at {} entries", entries.len());
            }
        });
    }
}

#[test]
fn a_probe_that_reaches_no_server_is_not_used_up() {
    for entries in [1, 5] {
        play(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, &again(), entries).await;
            let ask = async |n: usize| {
                let sent =
                    with_body(request("/again/x", &format!("a{n}")), "lost with all servers");
                world.ask_at(&entries[n % entries.len()], sent).await.status.as_u16()
            };
            world.make_lethal("s", "lost with all servers", ENDS_AFTER);
            assert_eq!(ask(0).await, 502);
            world.backends.clear_lethal();
            sleep(Duration::from_secs(2)).await;
            for n in 1..=30 {
                world.backends.stop(address(n));
            }
            // NB: it comes again and again while there is no server at all.
            for n in 0..20 {
                assert!([429, 503].contains(&ask(n).await));
                sleep(QUICK).await;
            }
            for n in 1..=30 {
                world.start_server(n, "s", "v1", again().usual);
            }
            sleep(Duration::from_secs(3)).await;
            assert_eq!(ask(0).await, 200, "at {} entries", entries.len());
        });
    }
}
