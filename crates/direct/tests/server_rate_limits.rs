//! Servers that name a rate limit in their answers: what they get from four entries together, and what callers get.

mod common;

use std::{rc::Rc, time::Duration};

use common::{
    World, address,
    limits::{
        Load, allowed, answers, check, count_from, load_at, load_evenly, most_in_window,
        name_limit, start,
    },
    net::Net,
    play, request, stream,
};
use pondwalk_direct::Entry;
use pondwalk_standin::{backends::Act, memory_store::Weather};
use tokio::{
    task::spawn_local,
    time::{Instant, sleep},
};

const ENTRIES: u16 = 4;

fn made() -> Act {
    Act::Answer(200, "made".into())
}

fn load(path: &'static str, seconds: u64) -> Load {
    Load { path, gap: Duration::from_millis(25), time: Duration::from_secs(seconds) }
}

/// A world of four servers and four entries, the first server of which names a limit.
async fn one_limits(
    world: World,
    (service, usual): (&str, Act),
    limit: &str,
) -> (Rc<World>, Net, Vec<Entry>) {
    let net = Net::default();
    let entries = start(&world, &net, (4, service, usual), ENTRIES).await;
    name_limit(&world, 1, limit);
    (Rc::new(world), net, entries)
}

/// One of four servers names 1.7 a second, while requests of a kind come.
fn keeps_to_limit(path: &'static str, service: &'static str, usual: Act) {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, (service, usual), "1.7").await;
        let named = Instant::now();
        let asked = load_evenly(&world, &entries, load(path, 15)).await;
        let answers = answers(asked).await;
        check(&world, 1, 1.7, named);
        assert!(count_from(&world, 1, named + Duration::from_secs(2)) >= 10, "it is used");
        let served = answers.iter().filter(|answer| answer.status.is_success()).count();
        assert_eq!(served, answers.len(), "the other three serve all that it does not take");
    });
}

#[test]
fn a_server_that_named_a_limit_gets_no_more_from_four_entries_together() {
    keeps_to_limit("/again/x", "s", made());
}

#[test]
fn requests_that_run_once_keep_to_a_servers_limit() {
    keeps_to_limit("/once/x", "s", made());
}

#[test]
fn streams_keep_to_a_servers_limit() {
    keeps_to_limit("/stream/x", "s", stream(3, None));
    keeps_to_limit("/fixed/x", "s", stream(3, None));
}

#[test]
fn escalations_to_a_larger_model_keep_to_a_servers_limit() {
    keeps_to_limit("/models/x", "m", stream(3, Some(10)));
}

#[test]
fn resumed_streams_keep_to_a_servers_limit() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", stream(3, None)), "0.5").await;
        let cut = Act::Stream {
            last: 9,
            gap: Duration::from_millis(10),
            confidence: None,
            cut_in: Some(2),
        };
        (2..=4).for_each(|n| world.backends.does(address(n), cut.clone()));
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load("/stream/x", 10)).await).await;
        check(&world, 1, 0.5, named);
    });
}

#[test]
fn retries_after_failures_keep_to_a_servers_limit() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "1.4").await;
        (2..=4).for_each(|n| world.backends.does(address(n), Act::Answer(500, "failed".into())));
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
        check(&world, 1, 1.4, named);
    });
}

#[test]
fn a_limit_below_one_a_second_is_kept() {
    for limit in ["0.4", "0.05", "0"] {
        play(move |world| async move {
            let (world, _net, entries) = one_limits(world, ("s", made()), limit).await;
            let named = Instant::now();
            answers(load_evenly(&world, &entries, load("/again/x", 40)).await).await;
            check(&world, 1, limit.parse().expect("a number"), named);
            let from = named + Duration::from_secs(2);
            let count = count_from(&world, 1, from);
            assert!(count >= 1, "it is asked now and then whether it still limits");
            let most = limit.parse::<f64>().expect("a number").max(0.05) * 40.0 + 2.0;
            assert!(count <= most as usize, "{count} in 40 s");
        });
    }
}

#[test]
fn callers_are_refused_at_once_and_told_when_to_come_back_where_all_servers_limit() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (4, "s", made()), ENTRIES).await;
        (1..=4).for_each(|n| name_limit(&world, n, "1.5"));
        let world = Rc::new(world);
        let named = Instant::now();
        let asked = load_evenly(&world, &entries, load("/again/x", 20)).await;
        let answers = answers(asked).await;
        (1..=4).for_each(|n| check(&world, n, 1.5, named));
        let served = answers.iter().filter(|answer| answer.status.is_success()).count();
        assert!((100..=140).contains(&served), "{served} of 120 that the servers take in 20 s");
        for refused in answers.iter().filter(|answer| !answer.status.is_success()) {
            assert_eq!(refused.status.as_u16(), 503);
            assert!(refused.body.contains("\"ran\":false"), "{}", refused.body);
            assert!(refused.headers.contains_key("retry-after"));
        }
        let asked = Instant::now();
        let refused = world.ask_at(&entries[0], request("/again/x", "last")).await;
        let longest = Duration::from_millis(500);
        assert!(refused.status.is_success() || asked.elapsed() <= longest);
    });
}

#[test]
fn what_a_server_takes_is_used_however_callers_are_spread_over_entries() {
    let one_of_ten: fn(usize) -> usize = |number| if number % 10 == 0 { 1 } else { 2 };
    for at in [|_| 0, |_| 3, one_of_ten] {
        play(move |world| async move {
            let net = Net::default();
            let entries = start(&world, &net, (1, "s", made()), ENTRIES).await;
            name_limit(&world, 1, "1.7");
            let world = Rc::new(world);
            let named = Instant::now();
            let asked = load_at(&world, &entries, load("/again/x", 30), at).await;
            answers(asked).await;
            check(&world, 1, 1.7, named);
            let count = count_from(&world, 1, named + Duration::from_secs(2));
            assert!(count >= 38, "{count} of the 48 that it takes in 28 s");
        });
    }
}

#[test]
fn a_limit_that_is_lowered_is_kept_and_one_that_is_lifted_is_forgotten() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "6").await;
        answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        name_limit(&world, 1, "1.2");
        let lowered = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 12)).await).await;
        check(&world, 1, 1.2, lowered);
        world.backends.tell_no_more(address(1), "server-limit");
        answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        let lifted = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
        let count = count_from(&world, 1, lifted);
        assert!((60..=140).contains(&count), "{count}, where a quarter of 400 is usual");
    });
}

#[test]
fn a_word_that_is_no_number_neither_limits_nor_lifts() {
    for word in ["-1", "inf", "NaN", "1e3", "soon", "", "1,5", "1.2.3"] {
        play(move |world| async move {
            let (world, _net, entries) = one_limits(world, ("s", made()), word).await;
            let from = Instant::now();
            answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            let count = count_from(&world, 1, from);
            assert!((60..=140).contains(&count), "{count} of 400 for {word}");
            name_limit(&world, 1, "1.1");
            answers(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
            name_limit(&world, 1, word);
            let named = Instant::now();
            answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            check(&world, 1, 1.1, named);
        });
    }
}

#[test]
fn a_limit_that_does_not_bind_changes_nothing() {
    for word in ["1000000", "99999999999999999999999"] {
        play(move |world| async move {
            let (world, _net, entries) = one_limits(world, ("s", made()), word).await;
            let from = Instant::now();
            let answers = answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            assert!(answers.iter().all(|answer| answer.status.is_success()));
            let count = count_from(&world, 1, from);
            assert!((60..=140).contains(&count), "{count} of 400 for {word}");
        });
    }
}

#[test]
fn a_limit_is_kept_while_the_store_is_away() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "1.7").await;
        world.store.set_weather(Weather::Silent(Duration::from_secs(1)));
        sleep(Duration::from_millis(500)).await;
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load("/open/x", 15)).await).await;
        check(&world, 1, 1.7, named);
        assert!(count_from(&world, 1, named + Duration::from_secs(2)) >= 10, "it is used");
    });
}

#[test]
fn a_limit_belongs_to_one_life_of_a_server() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "0").await;
        answers(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
        world.store.remove("server/s1");
        world.backends.start(address(1), "s1b", made());
        world.store.put("server/s1b", &format!("s {} dc1 v1 ready", address(1)));
        sleep(Duration::from_secs(1)).await;
        let from = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        assert!(count_from(&world, 1, from) >= 20, "the next one is used like any other");
    });
}

#[test]
fn an_answer_at_hand_is_passed_on_where_only_servers_that_limit_could_take_the_next_send() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (2, "m", stream(3, Some(10))), ENTRIES).await;
        (1..=2).for_each(|n| name_limit(&world, n, "2"));
        let world = Rc::new(world);
        let asked = load_evenly(&world, &entries, load("/models/x", 20)).await;
        for answer in answers(asked).await {
            let status = answer.status.as_u16();
            assert!(status == 200 || status == 503, "{status} {}", answer.body);
        }
    });
}

#[test]
fn a_failure_at_hand_is_passed_on_where_only_servers_that_limit_could_take_the_next_send() {
    play(|world| async move {
        let net = Net::default();
        let failed = Act::Answer(500, "failed".into());
        let entries = start(&world, &net, (2, "s", failed), ENTRIES).await;
        (1..=2).for_each(|n| name_limit(&world, n, "2"));
        let world = Rc::new(world);
        let asked = load_evenly(&world, &entries, load("/again/x", 20)).await;
        for answer in answers(asked).await {
            let status = answer.status.as_u16();
            assert!(status == 500 || status == 503, "{status} {}", answer.body);
        }
        assert!(
            most_in_window(&world, 1, Instant::now() - Duration::from_secs(18)) <= allowed(2.0)
        );
    });
}

#[test]
fn callers_beyond_what_servers_take_soon_are_refused_without_a_wait() {
    play(|world| async move {
        let net = Net::default();
        let entries = start(&world, &net, (2, "s", made()), ENTRIES).await;
        (1..=2).for_each(|n| name_limit(&world, n, "1"));
        let world = Rc::new(world);
        answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        let asked = Instant::now();
        let callers = (0..20).map(|n| {
            let (world, entry) = (Rc::clone(&world), entries[0].clone());
            spawn_local(async move {
                let answer = world.ask_at(&entry, request("/again/x", &format!("c{n}"))).await;
                (answer, asked.elapsed())
            })
        });
        let mut at_once = 0;
        for caller in callers.collect::<Vec<_>>() {
            let (answer, took) = caller.await.expect("an answer");
            let is_refused = answer.status.as_u16() == 503;
            at_once += usize::from(is_refused && took <= Duration::from_millis(50));
        }
        assert!(at_once >= 16, "{at_once} of 20, where two servers take one a second each");
    });
}

#[test]
fn an_answer_that_is_not_the_servers_own_lifts_no_limit() {
    for act in
        [Act::Unsigned, Act::AnswerAnother, Act::NotRun(503), Act::Answer(500, "failed".into())]
    {
        play(move |world| async move {
            let (world, _net, entries) = one_limits(world, ("s", made()), "1").await;
            answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
            let named = Instant::now();
            world.backends.tell_no_more(address(1), "server-limit");
            world.backends.does(address(1), act.clone());
            answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
            check(&world, 1, 1.0, named);
        });
    }
}

#[test]
fn a_server_born_anew_under_its_identity_has_no_limit() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "0").await;
        let list = |born: u32| {
            world.store.put("server/s1", &format!("s {} dc1 v1 ready 0 {born}", address(1)));
        };
        list(1);
        answers(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
        world.backends.start(address(1), "s1", made());
        list(2);
        sleep(Duration::from_secs(1)).await;
        let from = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        assert!(count_from(&world, 1, from) >= 20, "{}", count_from(&world, 1, from));
    });
}

#[test]
fn a_server_with_a_limit_whose_entry_lapses_and_is_back_is_used_again() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "1.7").await;
        answers(load_evenly(&world, &entries, load("/again/x", 5)).await).await;
        world.store.remove("server/s1");
        sleep(Duration::from_secs(3)).await;
        answers(load_evenly(&world, &entries, load("/again/x", 3)).await).await;
        world.list_server(1, "s", "v1", "ready");
        sleep(Duration::from_secs(1)).await;
        let back = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 15)).await).await;
        check(&world, 1, 1.7, back);
        assert!(count_from(&world, 1, back) >= 12, "{}", count_from(&world, 1, back));
    });
}

#[test]
fn requests_tried_elsewhere_after_silence_keep_to_a_servers_limit() {
    play(|world| async move {
        let (world, _net, entries) = one_limits(world, ("s", made()), "1.4").await;
        (2..=4).for_each(|n| world.backends.does(address(n), Act::Silent));
        let named = Instant::now();
        answers(load_evenly(&world, &entries, load("/again/x", 10)).await).await;
        check(&world, 1, 1.4, named);
        assert!(count_from(&world, 1, named) >= 10, "it is used");
    });
}
