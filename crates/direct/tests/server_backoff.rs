//! Servers that turn requests away and ask to be sent nothing for a while.
//!
//! Users saw five of eighteen servers turn every request away for nine seconds, each time asking for three
//! seconds without any, and each entry go on to send them one to nine requests a second. A request that met
//! three of them in turn was refused while thirteen others had room. The time that the servers asked for was
//! not read: a refusal paused a server for a tenth of a second, as a cost among others, whatever it
//! asked. Logs proved it: `server_asked_backoff` with 3,000 ms, and `send_failed` at the same server 0.3 s later.

mod common;

use std::{rc::Rc, time::Duration};

use common::{Answer, World, address, catalog, play, request, stream, with, with_body};
use pondwalk_direct::facts::RollOutOrder;
use pondwalk_standin::backends::Act;
use tokio::{
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

/// Requests that may reach a server between half a second after its word and the end of it.
const MOST: usize = 2;
/// Time after a word in which requests that had left already may arrive.
const ON_THE_WAY: Duration = Duration::from_millis(500);

fn made() -> Act {
    Act::Answer(200, "made".into())
}

fn servers(world: &World, count: u16, service: &str, usual: &Act) {
    world.configure(catalog(1));
    for n in 1..=count {
        world.start_server(n, service, "v1", usual.clone());
    }
}

/// From now on a server turns requests away and asks for so many seconds.
fn turns_away(world: &World, n: u16, seconds: &str) {
    world.backends.start(address(n), &format!("s{n}"), Act::NotRun(503));
    world.backends.tell(address(n), "retry-after", seconds);
}

fn serves_again(world: &World, n: u16, usual: Act) {
    world.backends.start(address(n), &format!("s{n}"), usual);
}

/// Sends a request each so often for some time, none waiting for the one before.
async fn send_for(
    world: &Rc<World>,
    path: &str,
    gap: Duration,
    time: Duration,
) -> Vec<JoinHandle<Answer>> {
    let end = Instant::now() + time;
    let mut asked = Vec::new();
    while Instant::now() < end {
        let id = format!("r{:?}-{}", Instant::now(), asked.len());
        let (world, path) = (Rc::clone(world), path.to_owned());
        asked.push(spawn_local(async move { world.ask(request(&path, &id)).await }));
        sleep(gap).await;
    }
    asked
}

async fn answers(asked: Vec<JoinHandle<Answer>>) -> Vec<Answer> {
    let mut answers = Vec::new();
    for answer in asked {
        answers.push(answer.await.expect("an answer"));
    }
    answers
}

fn seen(world: &World, n: u16) -> usize {
    world.backends.seen(address(n)).len()
}

/// All of four servers turn requests away and ask for `seconds`; requests come every 40 ms meanwhile.
async fn all_back_off(world: World, path: &'static str, seconds: f64) {
    let world = Rc::new(world);
    let service = if path.starts_with("/models") { "m" } else { "s" };
    servers(&world, 4, service, &made());
    (1..=4).for_each(|n| turns_away(&world, n, &seconds.to_string()));
    world.start().await;
    let gap = Duration::from_millis(40);
    let first = send_for(&world, path, gap, ON_THE_WAY).await;
    let before: Vec<usize> = (1..=4).map(|n| seen(&world, n)).collect();
    assert!(before.iter().all(|count| *count > 0), "each has said its word");
    let rest = Duration::from_secs_f64(seconds) - ON_THE_WAY - Duration::from_millis(100);
    let asked = send_for(&world, path, gap, rest).await;
    for n in 1..=4 {
        let reached = seen(&world, n) - before[usize::from(n) - 1];
        assert!(reached <= MOST, "{reached} requests on {path} in {seconds} s");
    }
    for answer in answers(first).await.into_iter().chain(answers(asked).await) {
        assert_eq!(answer.status.as_u16(), 503);
        assert!(answer.body.contains("\"ran\":false"), "{}", answer.body);
    }
}

#[test]
fn nothing_reaches_servers_that_asked_for_a_pause() {
    play(|world| all_back_off(world, "/again/x", 3.0));
    play(|world| all_back_off(world, "/again/x", 9.0));
    play(|world| all_back_off(world, "/again/x", 2.5));
    play(|world| all_back_off(world, "/once/x", 4.0));
    play(|world| all_back_off(world, "/stream/x", 4.0));
    play(|world| all_back_off(world, "/models/x", 4.0));
}

#[test]
fn thirty_callers_at_once_reach_a_server_that_asked_for_a_pause_no_more_than_one() {
    play(|world| async move {
        let world = Rc::new(world);
        servers(&world, 1, "s", &made());
        turns_away(&world, 1, "6");
        world.start().await;
        world.ask(request("/again/x", "first")).await;
        let end = Instant::now() + Duration::from_millis(5_900);
        let mut callers = Vec::new();
        for caller in 0..30 {
            let world = Rc::clone(&world);
            callers.push(spawn_local(async move {
                let mut tries = 0;
                while Instant::now() < end {
                    tries += 1;
                    world.ask(request("/again/x", &format!("c{caller}-{tries}"))).await;
                    sleep(Duration::from_millis(50)).await;
                }
            }));
        }
        for caller in callers {
            caller.await.expect("it ends");
        }
        assert!(seen(&world, 1) <= 1 + MOST, "{}", seen(&world, 1));
    });
}

/// Requests that reach the only server within its pause, while something befalls what is known of it.
async fn pause_outlasts<F: Future<Output = ()>>(
    world: World,
    befalls: impl FnOnce(Rc<World>) -> F,
) {
    let world = Rc::new(world);
    servers(&world, 1, "s", &made());
    turns_away(&world, 1, "6");
    world.start().await;
    world.ask(request("/again/x", "first")).await;
    befalls(Rc::clone(&world)).await;
    let asked = send_for(&world, "/again/x", Duration::from_millis(40), Duration::from_secs(5));
    let asked = asked.await;
    assert!(seen(&world, 1) <= 1 + MOST, "{}", seen(&world, 1));
    assert!(answers(asked).await.iter().all(|answer| answer.status.as_u16() == 503));
}

#[test]
fn a_pause_outlasts_what_the_list_tells() {
    play(|world| {
        pause_outlasts(world, |world| async move {
            spawn_local(async move {
                sleep(Duration::from_secs(1)).await;
                world.store.remove("server/s1");
                sleep(Duration::from_secs(1)).await;
                world.list_server(1, "s", "v1", "ready");
                sleep(Duration::from_secs(1)).await;
                world.configure(catalog(2));
            });
        })
    });
}

#[test]
fn an_answer_under_way_does_not_end_a_pause() {
    play(|world| async move {
        let world = Rc::new(world);
        servers(&world, 1, "s", &made());
        let long = Act::Stream {
            last: 10,
            gap: Duration::from_millis(100),
            confidence: None,
            cut_in: None,
        };
        world.backends.script(address(1), [long, Act::NotRun(503)]);
        world.start().await;
        let under_way = {
            let world = Rc::clone(&world);
            spawn_local(async move { world.ask(request("/stream/x", "r1")).await })
        };
        sleep(Duration::from_millis(20)).await;
        world.backends.tell(address(1), "retry-after", "5");
        world.ask(request("/again/x", "r2")).await;
        assert_eq!(seen(&world, 1), 2);
        assert_eq!(under_way.await.expect("an answer").status.as_u16(), 200);
        let asked = send_for(&world, "/again/x", Duration::from_millis(40), Duration::from_secs(3));
        let asked = asked.await;
        assert!(seen(&world, 1) <= 2 + MOST, "{}", seen(&world, 1));
        assert!(answers(asked).await.iter().all(|answer| answer.status.as_u16() == 503));
    });
}

#[test]
fn callers_are_told_when_a_server_may_be_asked_again() {
    play(|world| async move {
        let world = Rc::new(world);
        servers(&world, 2, "s", &made());
        turns_away(&world, 1, "4");
        turns_away(&world, 2, "9");
        world.start().await;
        world.ask(request("/again/x", "first")).await;
        sleep(Duration::from_secs(1)).await;
        let before = Instant::now();
        let refused = world.ask(request("/again/x", "second")).await;
        assert_eq!(before.elapsed(), Duration::ZERO, "it is known at once");
        assert_eq!(refused.status.as_u16(), 503);
        let told: f64 = refused.headers["retry-after"].to_str().expect("text").parse().expect("s");
        assert!((3.0..=6.0).contains(&told), "the first of them is back in three seconds: {told}");
        serves_again(&world, 1, made());
        sleep(Duration::from_secs_f64(told)).await;
        let again = world.ask(request("/again/x", "third")).await;
        assert_eq!(again.status.as_u16(), 200, "who comes back when told is served");
    });
}

#[test]
fn the_callers_of_a_server_that_is_back_do_not_all_reach_it_at_once() {
    play(|world| async move {
        let world = Rc::new(world);
        servers(&world, 1, "s", &made());
        turns_away(&world, 1, "2");
        world.start().await;
        world.ask(request("/again/x", "first")).await;
        sleep(Duration::from_millis(1_700)).await;
        let slow = Act::Stream {
            last: 1,
            gap: Duration::from_millis(200),
            confidence: None,
            cut_in: None,
        };
        serves_again(&world, 1, slow);
        let mut asked = Vec::new();
        for n in 0..40 {
            let world = Rc::clone(&world);
            let sent = with(request("/open/x", &format!("w{n}")), "pondwalk-deadline-ms", "8000");
            asked.push(spawn_local(async move { world.ask(sent).await }));
        }
        // NB: the first to go shows whether the server takes requests again.
        let end = Instant::now() + Duration::from_secs(2);
        while seen(&world, 1) == 0 && Instant::now() < end {
            sleep(Duration::from_millis(1)).await;
        }
        assert_eq!(seen(&world, 1), 1);
        let answers = answers(asked).await;
        let served = answers.iter().filter(|answer| answer.status.as_u16() == 200).count();
        assert_eq!(served, 40, "all of them within a part of their objective");
    });
}

#[test]
fn a_version_whose_servers_pause_keeps_its_sessions() {
    play(|world| async move {
        let world = Rc::new(world);
        world.configure(catalog(1));
        world.start_server(1, "m", "v1", stream(2, Some(100)));
        world.start().await;
        let asks = |id: &str| {
            let asked = request("/models/x", id);
            with(asked, "pondwalk-prompt-parts", "a1:100,b2:50")
        };
        assert_eq!(world.ask(asks("r1")).await.status.as_u16(), 200);
        world.start_server(2, "m", "v2", stream(2, Some(100)));
        let order = RollOutOrder {
            service: "m".into(),
            target: "v2".into(),
            within: Duration::from_secs(60),
        };
        world.store.put("order/m", &format!("{} {}", order.target, order.within.as_secs()));
        sleep(Duration::from_millis(900)).await;
        turns_away(&world, 1, "3");
        for n in 0..5 {
            let answer = world.ask(asks(&format!("s{n}"))).await;
            assert_eq!(answer.status.as_u16(), 503, "it does not go to the new version");
            sleep(Duration::from_millis(200)).await;
        }
        assert_eq!(seen(&world, 2), 0);
    });
}

#[test]
fn a_word_of_years_does_not_shut_a_server_out_for_ever() {
    for word in ["1e300", "inf", "31536000"] {
        play(move |world| async move {
            servers(&world, 1, "s", &made());
            turns_away(&world, 1, word);
            world.start().await;
            world.ask(request("/again/x", "first")).await;
            serves_again(&world, 1, made());
            let mut waited = Duration::ZERO;
            while world.ask(request("/again/x", "again")).await.status.as_u16() != 200 {
                assert!(waited < Duration::from_secs(15 * 60), "{word}");
                let pause = Duration::from_secs(10);
                sleep(pause).await;
                waited += pause;
            }
        });
    }
}

/// A roll-out within 30 s to a version whose servers do `act` and ask for pauses of two seconds.
async fn roll_out_to(world: World, act: Act) -> String {
    let world = Rc::new(world);
    servers(&world, 3, "s", &made());
    for n in 11..=12 {
        world.start_server(n, "s", "v2", act.clone());
        world.backends.tell(address(n), "retry-after", "2");
    }
    world.start().await;
    world.store.put("order/s", "v2 30");
    let mut asked = Vec::new();
    for n in 0..800 {
        let (world, session) = (Rc::clone(&world), format!("a{n}"));
        let sent = with(request("/again/x", &format!("r{n}")), "pondwalk-session", &session);
        asked.push(spawn_local(async move { world.ask(sent).await }));
        sleep(Duration::from_millis(40)).await;
    }
    let lines = world.entry.gathered_lines();
    assert_eq!(lines.contains("version_turns_away"), matches!(act, Act::NotRun(_)));
    world.store.value("progress/s").expect("it is told")
}

#[test]
fn a_version_all_of_whose_servers_turn_everything_away_is_reverted() {
    play(|world| async move {
        assert_eq!(roll_out_to(world, Act::NotRun(503)).await, "v2 Reverted");
    });
}

#[test]
fn a_version_whose_servers_serve_is_completed() {
    play(|world| async move {
        assert_eq!(roll_out_to(world, made()).await, "v2 Completed");
    });
}

/// Requests at the only server within the pause that it asked for with such an answer.
async fn in_a_pause(world: World, path: &'static str, act: Act) -> usize {
    let world = Rc::new(world);
    servers(&world, 1, "s", &act);
    world.backends.tell(address(1), "retry-after", "6");
    world.start().await;
    world.ask(request(path, "first")).await;
    let before = seen(&world, 1);
    let asked = send_for(&world, path, Duration::from_millis(40), Duration::from_secs(5)).await;
    answers(asked).await;
    seen(&world, 1) - before
}

#[test]
fn a_pause_counts_with_whatever_answer_of_the_server_it_comes() {
    let busy = || Act::Answer(503, "busy".into());
    for (path, act) in [
        ("/once/x", Act::NotRun(429)),
        ("/once/x", busy()),
        ("/again/x", busy()),
        ("/stream/x", Act::NotRun(503)),
        ("/fixed/x", busy()),
    ] {
        play(move |world| async move {
            assert_eq!(in_a_pause(world, path, act.clone()).await, 0, "{path} {act:?}");
        });
    }
}

#[test]
fn an_answer_about_the_callers_own_rate_or_of_another_kind_asks_nothing_of_the_entry() {
    for status in [200, 404, 429] {
        play(move |world| async move {
            let act = Act::Answer(status, "for the caller".into());
            assert_eq!(in_a_pause(world, "/once/x", act).await, 125, "{status}");
        });
    }
}

#[test]
fn a_request_that_was_turned_away_does_not_count_as_aboard_of_the_server() {
    play(|world| async move {
        let world = Rc::new(world);
        servers(&world, 1, "s", &made());
        turns_away(&world, 1, "0.3");
        world.start().await;
        for n in 0..6 {
            let refused = world.ask(request("/once/x", &format!("r{n}"))).await;
            assert_eq!(refused.status.as_u16(), 503, "{}", refused.body);
            sleep(Duration::from_millis(400)).await;
            // NB: another request breaks off there soon after, as if the server had ended.
            world.backends.script(address(1), [Act::LoseAnswer]);
            let other = request("/once/x", &format!("other{n}"));
            world.ask(with_body(other, &format!("other {n}"))).await;
            sleep(Duration::from_millis(100)).await;
        }
        serves_again(&world, 1, made());
        sleep(Duration::from_secs(1)).await;
        assert_eq!(world.ask(request("/once/x", "last")).await.status.as_u16(), 200);
    });
}
