//! Servers that say in their answers that they leave.
//!
//! Users saw requests reach a server twelve seconds after its answers had told the entry that it
//! leaves. The store was away just then, so its list still said `ready`; the answers said otherwise, in a
//! header that nobody read. While the store was away each entry went on to send requests there; once
//! keys were honoured again after its return, the server was the first to be asked. Logs
//! proved it: `server_told_leaving` at 8.0 s, and `request_answered` by the same server at 10.3 and 19.8 s.

mod common;

use std::{collections::HashMap, rc::Rc, time::Duration};

use common::{Answer, World, address, catalog, net::Net, play, request, stream};
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

/// Time for which requests may still reach a server after it has said that it leaves.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time between two requests.
const GAP: Duration = Duration::from_millis(40);

fn made() -> Act {
    Act::Answer(200, "made".into())
}

/// Four servers of the service, alike.
fn four_servers(world: &World, service: &str, usual: &Act) {
    world.configure(catalog(1));
    for n in 1..=4 {
        world.start_server(n, service, "v1", usual.clone());
    }
}

fn says_it_leaves(world: &World, n: u16) {
    world.backends.tell(address(n), "server-leaving", "1");
}

/// Requests that were sent one after the other, by their ids.
#[derive(Default)]
struct Sent {
    at: HashMap<String, Instant>,
    answers: Vec<Answer>,
}

impl Sent {
    /// Sends requests for some time, each without waiting for the one before.
    async fn send(&mut self, world: &Rc<World>, path: &str, time: Duration) {
        let end = Instant::now() + time;
        let mut asked = Vec::new();
        while Instant::now() < end {
            let id = format!("r{}", self.at.len());
            self.at.insert(id.clone(), Instant::now());
            let (world, path) = (Rc::clone(world), path.to_owned());
            asked.push(spawn_local(async move { world.ask(request(&path, &id)).await }));
            sleep(GAP).await;
        }
        for answer in asked {
            self.answers.push(answer.await.expect("an answer"));
        }
    }

    /// Requests at a server that were sent too long after its word.
    fn late_at(&self, world: &World, n: u16, word: Instant) -> usize {
        let seen = world.backends.seen(address(n));
        let sent = seen.iter().filter_map(|seen| self.at.get(&seen.headers["x-request-id"]));
        sent.filter(|at| **at > word + DRAIN_TIME).count()
    }
}

/// Sends requests while the first of four servers says that it leaves, and something befalls the store.
async fn leave_meanwhile<F: Future<Output = ()>>(
    world: World,
    path: &str,
    usual: Act,
    befalls: impl FnOnce(Rc<World>) -> F,
) {
    let world = Rc::new(world);
    four_servers(&world, if path.starts_with("/models") { "m" } else { "s" }, &usual);
    world.start().await;
    let mut sent = Sent::default();
    sent.send(&world, path, Duration::from_secs(1)).await;
    assert!(!world.backends.seen(address(1)).is_empty(), "it takes part before");
    says_it_leaves(&world, 1);
    let word = Instant::now();
    befalls(Rc::clone(&world)).await;
    sent.send(&world, path, Duration::from_secs(12)).await;
    assert_eq!(sent.late_at(&world, 1, word), 0, "{path}");
    let served = sent.answers.iter().filter(|answer| answer.status == 200 && answer.whole);
    assert_eq!(served.count(), sent.answers.len(), "the others serve all");
}

async fn nothing(_: Rc<World>) {}

#[test]
fn nothing_reaches_a_server_that_says_it_leaves() {
    for path in ["/again/x", "/once/x", "/open/x"] {
        play(move |world| leave_meanwhile(world, path, made(), nothing));
    }
    for path in ["/stream/x", "/fixed/x"] {
        play(move |world| leave_meanwhile(world, path, stream(3, None), nothing));
    }
}

#[test]
fn the_word_of_a_smaller_model_whose_answer_is_dropped_counts() {
    play(|world| leave_meanwhile(world, "/models/x", stream(3, Some(5)), nothing));
}

#[test]
fn a_store_that_is_away_takes_nothing_back() {
    play(|world| {
        leave_meanwhile(world, "/open/x", made(), |world| async move {
            world.store.set_weather(Weather::Refused);
        })
    });
}

#[test]
fn a_list_that_says_ready_again_takes_nothing_back() {
    play(|world| {
        leave_meanwhile(world, "/again/x", made(), |world| async move {
            spawn_local(async move {
                for _ in 0..20 {
                    sleep(Duration::from_millis(500)).await;
                    world.list_server(1, "s", "v1", "ready");
                }
            });
        })
    });
}

#[test]
fn an_entry_that_is_gone_and_back_takes_nothing_back() {
    play(|world| {
        leave_meanwhile(world, "/again/x", made(), |world| async move {
            spawn_local(async move {
                sleep(Duration::from_secs(2)).await;
                world.store.remove("server/s1");
                sleep(Duration::from_secs(1)).await;
                world.list_server(1, "s", "v1", "ready");
            });
        })
    });
}

#[test]
fn an_outage_with_its_history_forgotten_takes_nothing_back() {
    play(|world| {
        leave_meanwhile(world, "/open/x", made(), |world| async move {
            spawn_local(async move {
                world.store.set_weather(Weather::Refused);
                sleep(Duration::from_secs(4)).await;
                world.store.forget_history();
                world.store.set_weather(Weather::Fair);
                world.list_server(1, "s", "v1", "ready");
            });
        })
    });
}

/// One request finds the word in an answer of the given kind; none of those that follow goes there.
fn word_in(path: &'static str, act: Act) {
    play(move |world| async move {
        four_servers(&world, "s", &act);
        (1..=4).for_each(|n| says_it_leaves(&world, n));
        world.start().await;
        for n in 0..8 {
            world.ask(request(path, &format!("r{n}"))).await;
        }
        for n in 1..=4 {
            assert!(world.backends.seen(address(n)).len() <= 1, "{path} {act:?}");
        }
    });
}

#[test]
fn the_word_counts_in_answers_of_every_kind() {
    word_in("/once/x", Act::Answer(200, "made".into()));
    word_in("/once/x", Act::Answer(500, "failed".into()));
    word_in("/again/x", Act::Answer(500, "failed".into()));
    word_in("/again/x", Act::NotRun(503));
    word_in("/once/x", Act::NotRun(429));
    let cut = || Act::Stream {
        last: 9,
        gap: Duration::from_millis(10),
        confidence: None,
        cut_in: Some(2),
    };
    word_in("/stream/x", cut());
    word_in("/fixed/x", cut());
}

#[test]
fn with_all_servers_leaving_callers_hear_no_at_once_and_when_to_come_back() {
    play(|world| async move {
        let world = Rc::new(world);
        four_servers(&world, "s", &made());
        (1..=4).for_each(|n| says_it_leaves(&world, n));
        world.start().await;
        let mut sent = Sent::default();
        let word = Instant::now();
        sent.send(&world, "/again/x", Duration::from_secs(1)).await;
        let before = Instant::now();
        let refused = world.ask(request("/again/x", "late")).await;
        assert_eq!(before.elapsed(), Duration::ZERO);
        assert_eq!(refused.status.as_u16(), 503);
        assert!(refused.body.contains("\"ran\":false"), "{}", refused.body);
        let told: f64 = refused.headers["retry-after"].to_str().expect("text").parse().expect("s");
        // NB: a server that starts has told so by then, and not sooner.
        assert!((0.5..=5.0).contains(&told), "{told}");
        sent.send(&world, "/again/x", Duration::from_secs(6)).await;
        let late: usize = (1..=4).map(|n| sent.late_at(&world, n, word)).sum();
        assert_eq!(late, 0);
    });
}

#[test]
fn the_next_life_of_a_server_is_served_at_once() {
    play(|world| async move {
        world.configure(catalog(1));
        let list = |born: u64| {
            let value = format!("s {} dc1 v1 ready 0 {born}", address(1));
            world.store.put("server/s1", &value);
        };
        world.backends.start(address(1), "s1", made());
        list(1);
        says_it_leaves(&world, 1);
        world.start().await;
        assert_eq!(world.ask(request("/again/x", "r1")).await.status.as_u16(), 200);
        assert_eq!(world.ask(request("/again/x", "r2")).await.status.as_u16(), 503);
        world.backends.start(address(1), "s1", made());
        list(2);
        sleep(Duration::from_millis(900)).await;
        assert_eq!(world.ask(request("/again/x", "r3")).await.status.as_u16(), 200);
    });
}

#[test]
fn another_server_at_its_address_is_served_at_once() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", made());
        says_it_leaves(&world, 1);
        world.start().await;
        world.ask(request("/again/x", "r1")).await;
        world.backends.start(address(1), "s9", made());
        let value = format!("s {} dc1 v1 ready", address(1));
        world.store.put("server/s9", &value);
        sleep(Duration::from_millis(900)).await;
        assert_eq!(world.ask(request("/again/x", "r2")).await.status.as_u16(), 200);
    });
}

#[test]
fn the_next_life_of_a_server_is_served_though_the_store_is_away() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", made());
        says_it_leaves(&world, 1);
        world.start().await;
        assert_eq!(world.ask(request("/open/x", "r1")).await.status.as_u16(), 200);
        world.store.set_weather(Weather::Refused);
        // NB: it serves on for a while, and nobody can tell when it goes.
        sleep(Duration::from_secs(6)).await;
        assert_eq!(world.ask(request("/open/x", "r2")).await.status.as_u16(), 503);
        world.backends.stop(address(1));
        sleep(Duration::from_secs(4)).await;
        world.backends.start(address(1), "s1", made());
        sleep(Duration::from_secs(2)).await;
        assert_eq!(world.ask(request("/open/x", "r3")).await.status.as_u16(), 200);
    });
}

#[test]
fn a_leaving_server_that_resets_a_connection_now_and_then_is_not_taken_for_its_next_life() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", made());
        says_it_leaves(&world, 1);
        world.start().await;
        world.ask(request("/open/x", "r1")).await;
        world.store.set_weather(Weather::Refused);
        sleep(Duration::from_secs(4)).await;
        for n in 0..20 {
            world.backends.stop(address(1));
            sleep(Duration::from_millis(600)).await;
            world.backends.start(address(1), "s1", made());
            sleep(Duration::from_millis(1_400)).await;
            let answer = world.ask(request("/open/x", &format!("r2-{n}"))).await;
            assert_eq!(answer.status.as_u16(), 503);
        }
    });
}

#[test]
fn a_suspended_machine_takes_nothing_back() {
    play(|world| {
        leave_meanwhile(world, "/open/x", made(), |world| async move {
            spawn_local(async move {
                sleep(Duration::from_secs(3)).await;
                world.entry.pretend_suspended(Duration::from_secs(60));
            });
        })
    });
}

#[test]
fn callers_hear_that_all_leave_only_if_all_do() {
    play(|world| async move {
        world.configure(catalog(1));
        world.start_server(1, "s", "v1", Act::NotRun(503));
        world.start_server(2, "s", "v1", Act::NotRun(503));
        world.start().await;
        says_it_leaves(&world, 1);
        let refused = world.ask(request("/again/x", "r1")).await;
        assert!(refused.body.contains("turned_away"), "{}", refused.body);
        says_it_leaves(&world, 2);
        let refused = world.ask(request("/again/x", "r2")).await;
        assert!(refused.body.contains("all_leaving"), "{}", refused.body);
    });
}

#[test]
fn each_entry_learns_from_its_own_first_answer_while_the_store_is_away() {
    play(|world| async move {
        let net = Net::default();
        four_servers(&world, "s", &made());
        let entries = net.start_many(&world, 20, "");
        sleep(Duration::from_secs(5)).await;
        world.store.set_weather(Weather::Refused);
        says_it_leaves(&world, 1);
        for n in 0..12 {
            for (entry, number) in entries.iter().zip(0..) {
                let asked = request("/open/x", &format!("r{n}-{number}"));
                assert_eq!(world.ask_at(entry, asked).await.status.as_u16(), 200);
            }
            sleep(GAP).await;
        }
        let mut from = HashMap::<String, usize>::new();
        for seen in world.backends.seen(address(1)) {
            let id = &seen.headers["x-request-id"];
            *from.entry(id[id.find('-').expect("one")..].to_owned()).or_default() += 1;
        }
        assert!(from.values().all(|count| *count == 1), "{from:?}");
        assert!(from.len() >= 15, "most entries have met it: {from:?}");
    });
}

#[test]
fn an_answer_at_hand_is_passed_on_where_its_server_was_the_last_that_stays() {
    for (path, service, act, status) in [
        ("/models/x", "m", stream(3, Some(5)), 200),
        ("/again/x", "s", Act::Answer(500, "failed".into()), 500),
    ] {
        play(move |world| async move {
            world.configure(catalog(1));
            world.start_server(1, service, "v1", act);
            says_it_leaves(&world, 1);
            world.start().await;
            let answer = world.ask(request(path, "r1")).await;
            assert_eq!((answer.status.as_u16(), answer.whole), (status, true), "{path}");
        });
    }
}
