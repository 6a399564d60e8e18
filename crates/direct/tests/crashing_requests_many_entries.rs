//! Requests that crash servers, with many entries, restarts, partitions, slow or leaving callers,
//! simultaneous copies, and innocent requests beside them.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    address,
    crashing::{
        CRASH_AFTER, Kind, MAX_FURTHER_RUNS, QUICK_RETRY, crashing, crashing_body, further_runs,
        further_runs_of, repeat_request, repeatable, send_all_at_once, start,
    },
    net::Net,
    request, run_test, stream, total, with, with_body,
};
use pondwalk_direct::Entry;
use pondwalk_standin::memory_store::FaultMode;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

const SLOW: Duration = Duration::from_secs(30);

#[test]
fn slow_retries_crash_no_further_servers() {
    for path in ["/again/x", "/once/x"] {
        let kind = Kind { path, ..repeatable() };
        let further = further_runs_of(kind, 5, SLOW, Duration::from_secs(600));
        assert!(further <= MAX_FURTHER_RUNS, "{further} of {path}");
    }
}

#[test]
fn crashing_request_is_quarantined_at_a_hundred_entries() {
    let further = further_runs_of(repeatable(), 103, QUICK_RETRY, Duration::from_secs(15));
    assert!(further <= MAX_FURTHER_RUNS, "{further}");
}

#[test]
fn simultaneous_copies_crash_no_further_servers_after_detection() {
    run_test(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let entries = start(&world, &net, &repeatable(), 5).await;
        for round in 0..40 {
            send_all_at_once(&world, &entries, &repeatable(), 20, round).await;
            sleep(QUICK_RETRY).await;
        }
        let further = further_runs(&world);
        assert!(further <= MAX_FURTHER_RUNS, "{further}");
    });
}

#[test]
fn simultaneous_crashing_contents_are_all_quarantined() {
    run_test(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let entries = start(&world, &net, &repeatable(), 2).await;
        for n in 0..5 {
            world.make_crashing("s", &crashing_body(n), CRASH_AFTER);
        }
        let callers: Vec<_> = (0..5)
            .map(|n| {
                let (world, entries) = (Rc::clone(&world), entries.clone());
                spawn_local(async move {
                    for number in 0..40 {
                        let sent = with_body(
                            request("/again/x", &format!("l{n}-{number}")),
                            &crashing_body(n),
                        );
                        world.call_at(&entries[number % 2], sent).await;
                        sleep(QUICK_RETRY).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("a caller");
        }
        let late = Instant::now() - Duration::from_secs(8);
        let runs = world.backends.crashing_runs();
        let late = runs.iter().filter(|run| run.at > late).count();
        assert!(
            late <= 5 * MAX_FURTHER_RUNS,
            "{late} of five in the last eight seconds, {} in all",
            runs.len()
        );
    });
}

#[test]
fn quarantine_survives_restart_of_all_entries() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 5).await;
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(8)).await;
        let before = world.backends.crashing_runs().len();
        for n in 0..5 {
            net.stop(n);
        }
        drop(entries);
        sleep(Duration::from_millis(500)).await;
        net.cut.borrow_mut().clear();
        let entries = net.start_many(&world, 5, "");
        sleep(Duration::from_secs(1)).await;
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(20)).await;
        let after = world.backends.crashing_runs().len() - before;
        assert!(after <= 2, "{after} runs after the restart");
    });
}

#[test]
fn quarantine_holds_in_both_partitions() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 8).await;
        net.split(4);
        sleep(Duration::from_secs(1)).await;
        repeat_request(&world, &entries[..4], &repeatable(), QUICK_RETRY, Duration::from_secs(3))
            .await;
        repeat_request(&world, &entries[4..], &repeatable(), QUICK_RETRY, Duration::from_secs(20))
            .await;
        let further = further_runs(&world);
        assert!(further <= MAX_FURTHER_RUNS, "{further}");
    });
}

#[test]
fn same_request_under_another_path_is_quarantined() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 1).await;
        let until = Instant::now() + Duration::from_secs(15);
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            let kind =
                Kind { path: ["/again/x", "/again/x?try=2"][number as usize % 2], ..repeatable() };
            let sent = with(crashing(&kind, number), "pondwalk-session", &format!("s{number}"));
            world.call_at(&entries[0], sent).await;
            sleep(QUICK_RETRY).await;
        }
        let further = further_runs(&world);
        assert!(further <= MAX_FURTHER_RUNS, "{further}");
    });
}

#[test]
fn refusal_reports_quarantine_and_whether_the_request_ran() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 1).await;
        let ran = world.call_at(&entries[0], crashing(&repeatable(), 1)).await;
        assert_eq!(ran.status.as_u16(), 502);
        assert!(
            ran.body.contains("ended_servers") && ran.body.contains("\"ran\":\"unknown\""),
            "{}",
            ran.body
        );
        assert!(!ran.headers.contains_key("retry-after"));
        let before = Instant::now();
        let refused = world.call_at(&entries[0], crashing(&repeatable(), 2)).await;
        assert!(before.elapsed() < Duration::from_millis(50), "it is refused at once");
        assert_eq!(refused.status.as_u16(), 429);
        assert!(
            refused.body.contains("ends_servers") && refused.body.contains("\"ran\":false"),
            "{}",
            refused.body
        );
        assert!(refused.headers.contains_key("retry-after"));
        let runs = world.backends.crashing_runs().len();
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(45)).await;
        let last = world.call_at(&entries[0], crashing(&repeatable(), 3)).await;
        let pause: f64 =
            last.headers["retry-after"].to_str().expect("text").parse().expect("seconds");
        assert!(
            pause > 500.0,
            "{pause} s after {} runs",
            world.backends.crashing_runs().len() - runs
        );
    });
}

#[test]
fn other_contents_are_served_without_gossip() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 3).await;
        let gossip_counts = |entries: &[Entry]| -> Vec<String> {
            let line = |text: String| {
                text.lines().find(|line| line.contains("news_remembered")).map(str::to_owned)
            };
            entries.iter().filter_map(|entry| line(entry.metrics_text())).collect()
        };
        let before = gossip_counts(&entries);
        for n in 0..20 {
            let sent = with_body(request("/again/x", &format!("c{n}")), "asked in calm");
            assert_eq!(world.call_at(&entries[n % 3], sent).await.status.as_u16(), 200);
        }
        assert_eq!(gossip_counts(&entries), before, "successful requests cause no messages");
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(5)).await;
        sleep(Duration::from_secs(2)).await;
        for n in 0..20 {
            let sent = with_body(request("/again/x", &format!("o{n}")), "asked otherwise");
            assert_eq!(world.call_at(&entries[n % 3], sent).await.status.as_u16(), 200);
        }
    });
}

#[test]
fn rejected_store_writes_are_not_repeated_often() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 5).await;
        world.store.set_fault_mode(FaultMode::AnswersLost);
        let before = world.store.calls();
        repeat_request(&world, &entries, &repeatable(), QUICK_RETRY, Duration::from_secs(10)).await;
        let calls = world.store.calls() - before;
        assert!(calls < 120, "{calls} calls in ten seconds");
    });
}
#[test]
fn print_runs_with_slow_retries() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 5).await;
        let t0 = Instant::now();
        repeat_request(&world, &entries, &repeatable(), SLOW, Duration::from_secs(200)).await;
        for r in world.backends.crashing_runs() {
            println!("run {:?} ended {:?}", r.at - t0, r.crashed_at.map(|e| e - t0));
        }
        for e in &entries {
            for l in e
                .buffered_log_lines()
                .lines()
                .filter(|l| l.contains("content") || l.contains("news_not"))
            {
                println!("{} {l}", e.name());
            }
        }
    });
}

#[test]
fn crashing_request_does_not_trip_a_good_version_on_trial() {
    run_test(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, &repeatable(), 3).await;
        for n in 31..=36 {
            world.start_server(n, "s", "v2", repeatable().behaviour);
        }
        sleep(Duration::from_secs(1)).await;
        world.store.put("order/s", "v2 20");
        let innocent = async {
            for n in 0..200 {
                let sent = with_body(request("/again/x", &format!("c{n}")), &format!("asked {n}"));
                let sent = with(sent, "pondwalk-session", &format!("s{n}"));
                world.call_at(&entries[n % 3], sent).await;
                sleep(Duration::from_millis(50)).await;
            }
        };
        let kind = repeatable();
        let crashing =
            repeat_request(&world, &entries, &kind, QUICK_RETRY, Duration::from_secs(10));
        tokio::join!(innocent, crashing);
        sleep(Duration::from_secs(20)).await;
        assert_eq!(world.store.value("progress/s").as_deref(), Some("v2 Completed"));
    });
}

#[test]
fn content_of_disconnected_caller_is_detected() {
    run_test(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let kind = Kind { path: "/stream/x", behaviour: stream(100, None), ..repeatable() };
        let entries = start(&world, &net, &kind, 2).await;
        for number in 0..60 {
            // Other callers are at all servers, each with a content of its own.
            for n in 0..30 {
                let (world, entry) = (Rc::clone(&world), entries[n % 2].clone());
                let body = format!("beside {number} {n}");
                spawn_local(async move {
                    let sent = with_body(request("/stream/x", &format!("b{number}-{n}")), &body);
                    world.call_at(&entry, sent).await;
                });
            }
            sleep(Duration::from_millis(30)).await;
            let asking = world.call_at(&entries[number % 2], crashing(&kind, number as u32));
            // The response is dropped with the caller's connection.
            let _ = timeout(CRASH_AFTER / 2, asking).await;
            sleep(QUICK_RETRY).await;
        }
        let further = further_runs(&world);
        assert!(
            further <= MAX_FURTHER_RUNS,
            "{further} of {}",
            world.backends.crashing_runs().len()
        );
    });
}

#[test]
fn crash_of_all_servers_under_load_quarantines_no_content() {
    run_test(|world| async move {
        let net = Net::default();
        let world = Rc::new(world);
        let kind = Kind { path: "/stream/x", behaviour: stream(500, None), ..repeatable() };
        let entries = start(&world, &net, &kind, 20).await;
        for n in 0..2_000_usize {
            let (world, entry) = (Rc::clone(&world), entries[n % 20].clone());
            spawn_local(async move {
                let sent =
                    with_body(request("/stream/x", &format!("a{n}")), &format!("aboard {n}"));
                world.call_at(&entry, sent).await;
            });
        }
        sleep(Duration::from_millis(500)).await;
        let sent_bytes_name = "pondwalk_peer_bytes_told_total";
        let (bytes, calls) = (total(&entries, sent_bytes_name), world.store.calls());
        for n in 1..=30 {
            world.backends.crash(address(n));
        }
        sleep(Duration::from_secs(2)).await;
        let bytes = total(&entries, sent_bytes_name) - bytes;
        assert_eq!(total(&entries, "pondwalk_contents_held"), 0);
        let remembered = total(&entries, "pondwalk_contents_remembered") / 20;
        assert_eq!(remembered, 2_000, "every entry has counted all contents that were running");
        // Each crash is sent to each entry once, and towards the roots: some 40 bytes.
        assert!(bytes < 2_000 * 20 * 60, "{bytes} bytes");
        let stored = "pondwalk_store_calls_total{cause=\"quarantine\"}";
        assert_eq!(total(&entries, stored), 0);
        let calls = world.store.calls() - calls;
        assert!(calls < 40, "{calls} calls in two seconds");
    });
}

/// Callers that all send the same content are affected by every crash. In a run with real processes
/// their content stayed quarantined for minutes, because its probes ran on servers that another
/// content crashed.
#[test]
fn successful_contents_are_not_quarantined_by_unrelated_crashes() {
    for entries in [1, 5] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, &repeatable(), entries).await;
            let call = async |n: usize| {
                let sent = with_body(request("/again/x", &format!("a{n}")), "the same");
                world.call_at(&entries[n % entries.len()], sent).await.status.as_u16()
            };
            assert_eq!(call(0).await, 200);
            world.make_crashing("s", "the same", CRASH_AFTER);
            assert_eq!(call(1).await, 502);
            assert_eq!(call(2).await, 502);
            world.backends.clear_crash_rules();
            // The first entry knows of the success, and publishes it.
            sleep(Duration::from_millis(if entries.len() > 1 { 800 } else { 0 })).await;
            for n in 3..8 {
                assert_eq!(call(n).await, 200, "at {} entries", entries.len());
            }
        });
    }
}

#[test]
fn probe_that_reaches_no_server_is_released() {
    for entries in [1, 5] {
        run_test(|world| async move {
            let net = Net::default();
            let entries = start(&world, &net, &repeatable(), entries).await;
            let call = async |n: usize| {
                let sent =
                    with_body(request("/again/x", &format!("a{n}")), "lost with all servers");
                world.call_at(&entries[n % entries.len()], sent).await.status.as_u16()
            };
            world.make_crashing("s", "lost with all servers", CRASH_AFTER);
            assert_eq!(call(0).await, 502);
            world.backends.clear_crash_rules();
            sleep(Duration::from_secs(2)).await;
            for n in 1..=30 {
                world.backends.stop(address(n));
            }
            // It is repeated while there is no server at all.
            for n in 0..20 {
                assert!([429, 503].contains(&call(n).await));
                sleep(QUICK_RETRY).await;
            }
            for n in 1..=30 {
                world.start_server(n, "s", "v1", repeatable().behaviour);
            }
            sleep(Duration::from_secs(3)).await;
            assert_eq!(call(0).await, 200, "at {} entries", entries.len());
        });
    }
}
