//! What is promised, held against what was seen.
//!
//! Each check counts what it has looked at, so that one that has looked at nothing is noticed.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::{
    callers::DEADLINE,
    deployment::data_centre_of,
    records::{End, Exchange, Records, Route, RunRecord, Span, TimeUs},
    repeater::number_in,
};

/// Time in which a change must be in force.
pub const PROPAGATION: Duration = Duration::from_secs(2);
/// Time after which a key that was taken away must be dead, whatever is disturbed.
pub const KEY_BOUND: Duration = Duration::from_secs(5);
/// Time in which a server that leaves must be left.
pub const LEAVE_BOUND: Duration = Duration::from_secs(2);
/// Time in which an evacuated data centre must be left.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(2);
/// Time for which servers are cold.
pub const COLD_TIME: Duration = Duration::from_secs(6);
/// Requests a second that a cold server bears. A warm server gets about 25 a second in a small run.
pub const COLD_REQUESTS_PER_S: f64 = 6.0;
/// Factor on what a cold server bears.
pub const COLD_OVERSHOOT: f64 = 1.5;
/// Requests in a second on top of that.
pub const COLD_TOLERANCE: f64 = 5.0;
/// Time without disturbance from which bounds of time hold.
pub const SETTLE: Duration = Duration::from_secs(4);
/// Slack of all bounds: real processes share a few processors, and runs are told in steps.
pub const SLACK: Duration = Duration::from_millis(500);
/// Time by which one answer may be overtaken by another at the same entry.
const OVERTAKING: Duration = Duration::from_secs(1);
/// Share of requests that must be served once all is calm again.
const RECOVERED_SHARE: f64 = 0.9;
/// Time that recovery may take.
const RECOVERY: Duration = Duration::from_secs(6);

/// Requests at entries of a data centre of which each server there must have got some. Callers that lost
/// their entry stay with another one, so that an entry may have none.
const WORK: usize = 60;

/// Time after a server has asked for a pause in which requests that had left already may arrive.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// Requests that it may get in the rest of the pause.
const IN_A_PAUSE: usize = 2;
/// Time within which requests at a server that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on what it takes in that time, and requests on top of that.
const LIMIT_OVERSHOOT: f64 = 1.5;
const LIMIT_TOLERANCE: f64 = 5.0;
/// Time by which a run may be noticed late, so that the pause from then on ends as much too late.
const NOTICED_LATE: Duration = Duration::from_millis(50);

/// Servers that a request may end before it is known for that.
const ENDS: usize = 3;
/// Runs of it that are allowed later than that.
const FURTHER_RUNS: usize = 3;
/// Time in which entries must know.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

/// What one check found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The promise.
    pub promise: &'static str,
    /// Cases that were looked at.
    pub looked_at: usize,
    /// Those that broke it, each in a line.
    pub broken: Vec<String>,
}

/// A check.
pub type Check = fn(&Records) -> Finding;

/// All checks.
pub const CHECKS: [Check; 17] = [
    runs_at_most_once,
    refusals_are_true,
    answers_are_whole_and_own,
    every_request_is_answered,
    nothing_is_cut,
    changes_are_in_force,
    configurations_never_revert,
    keys_are_dead_in_time,
    leaving_servers_are_left,
    servers_that_say_they_leave_are_left,
    servers_that_ask_for_a_pause_get_it,
    limits_of_servers_are_kept,
    evacuated_data_centres_are_left,
    cold_servers_are_spared,
    servers_born_anew_are_used,
    requests_that_end_servers_are_left,
    service_recovers,
];

fn us(time: Duration) -> TimeUs {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn finding<'a, T>(
    promise: &'static str,
    cases: impl IntoIterator<Item = T>,
    broken_by: impl Fn(&T) -> Option<String> + 'a,
) -> Finding {
    let mut looked_at = 0;
    let mut broken = Vec::new();
    for case in cases {
        looked_at += 1;
        broken.extend(broken_by(&case));
    }
    Finding { promise, looked_at, broken }
}

/// A request that may not be repeated runs once at most.
pub fn runs_at_most_once(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let once = records.exchanges.iter().filter(|exchange| exchange.route == Route::Once);
    finding("runs at most once", once, |exchange| {
        let runs = runs.get(exchange.id.as_str()).map_or(0, Vec::len);
        (runs > 1).then(|| format!("{} ran {runs} times", exchange.id))
    })
}

/// A refusal says that the request has not run, and never will.
pub fn refusals_are_true(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let is_refusal = |exchange: &&Exchange| {
        matches!(exchange.end, End::Answered { status: 408 | 421 | 429 | 503, .. })
    };
    let refused = records.exchanges.iter().filter(is_refusal);
    finding("refusals are true", refused, |exchange| {
        let ran = runs.contains_key(exchange.id.as_str());
        ran.then(|| format!("{} was refused and ran", exchange.id))
    })
}

/// An answer of success is all of what a server made for this request.
pub fn answers_are_whole_and_own(records: &Records) -> Finding {
    let success = |exchange: &&Exchange| matches!(exchange.end, End::Answered { status: 200, .. });
    finding("answers are whole and own", records.exchanges.iter().filter(success), |exchange| {
        let spoiled = matches!(exchange.end, End::Answered { is_whole: false, .. });
        spoiled.then(|| format!("{} got another's answer, or a part", exchange.id))
    })
}

/// Every request is answered by its deadline, unless its entry was killed or paused.
pub fn every_request_is_answered(records: &Records) -> Finding {
    let undisturbed = records.exchanges.iter().filter(|exchange| {
        !records.was_disturbed(exchange.entry, exchange.sent_us, exchange.ended_us)
    });
    finding("requests are answered by their deadlines", undisturbed, |exchange| {
        (exchange.end == End::Never).then(|| format!("{} got no answer", exchange.id))
    })
}

/// A request that ran is not cut before its time is over, also by a planned stop, unless its entry was
/// killed or paused.
///
/// NB: one whose server was killed may be, since it cannot always go on elsewhere. At its deadline any
/// may be. Seen once in a hundred runs: the connection of a stream to its server
/// went silent after its key had been taken away, so that no other server could go on with it.
pub fn nothing_is_cut(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let undisturbed = records.exchanges.iter().filter(|exchange| {
        !records.was_disturbed(exchange.entry, exchange.sent_us, exchange.ended_us)
    });
    finding("requests that ran are not cut", undisturbed, |exchange| {
        let had_time = exchange.ended_us < exchange.sent_us + us(DEADLINE);
        let runs = runs.get(exchange.id.as_str()).into_iter().flatten();
        // NB: that a server's process has ended by itself is noticed a moment after its callers do.
        let until_us = exchange.ended_us + us(SLACK);
        let killed =
            |run: &&&RunRecord| records.was_killed(&run.server, exchange.sent_us, until_us);
        let ran = runs.clone().count() > 0 && runs.filter(killed).count() == 0;
        (exchange.end == End::Cut && had_time && ran)
            .then(|| format!("{} ran and was cut", exchange.id))
    })
}

/// A key is known to an entry in time after the configuration that brought it.
pub fn changes_are_in_force(records: &Records) -> Finding {
    let due = records.exchanges.iter().filter(|exchange| {
        let Some(configured_us) = records.configured_us.get(&exchange.key) else { return false };
        let settled_us = exchange.sent_us.saturating_sub(us(SETTLE));
        exchange.sent_us > configured_us + us(PROPAGATION + SLACK)
            && !records.configured_us.contains_key(&(exchange.key + 2))
            && records.was_calm(exchange.entry, settled_us, exchange.ended_us)
    });
    finding("changes are in force in time", due, |exchange| {
        let unknown = matches!(exchange.end, End::Answered { status: 401 | 403 | 404, .. });
        unknown.then(|| format!("{} of key {} was not known", exchange.id, exchange.key))
    })
}

/// An entry that has honoured a key does not honour one again that was taken away before.
pub fn configurations_never_revert(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let ran = |exchange: &Exchange| runs.contains_key(exchange.id.as_str());
    let honoured: Vec<&Exchange> =
        records.exchanges.iter().filter(|exchange| ran(exchange)).collect();
    let old = records
        .exchanges
        .iter()
        .filter(|exchange| records.configured_us.contains_key(&(exchange.key + 2)));
    finding("configurations never revert", old, |exchange| {
        let newer = honoured.iter().find(|newer| {
            newer.entry == exchange.entry
                && newer.key >= exchange.key + 2
                && newer.ended_us + us(OVERTAKING) < exchange.sent_us
                && !records.was_disturbed(newer.entry, newer.sent_us, exchange.ended_us)
        });
        let newer = newer.filter(|_| ran(exchange))?;
        Some(format!("{} of key {} ran after key {}", exchange.id, exchange.key, newer.key))
    })
}

/// No request of a key that was taken away runs later than the bound, whatever is disturbed.
pub fn keys_are_dead_in_time(records: &Records) -> Finding {
    let by_id = records.by_id();
    let of_dead = records.runs.iter().filter_map(|run| {
        let exchange = by_id.get(run.request.as_str())?;
        let taken_us = records.configured_us.get(&(exchange.key + 2))?;
        Some((run, *exchange, *taken_us))
    });
    let asked = records.exchanges.iter().filter(|exchange| {
        let taken_us = records.configured_us.get(&(exchange.key + 2));
        taken_us.is_some_and(|taken_us| exchange.sent_us > taken_us + us(KEY_BOUND))
    });
    let looked_at = asked.count();
    let found = finding("keys are dead in time", of_dead, |(run, exchange, taken_us)| {
        let late = run.ran && run.at_us > taken_us + us(KEY_BOUND + SLACK);
        late.then(|| format!("{} of key {} ran late", exchange.id, exchange.key))
    });
    Finding { looked_at, ..found }
}

/// A server that leaves gets no new work, once that must be known.
pub fn leaving_servers_are_left(records: &Records) -> Finding {
    let by_id = records.by_id();
    let at_leaving = records.runs.iter().filter_map(|run| {
        let left_us = records.left_us.get(&run.server)?;
        Some((run, *left_us, *by_id.get(run.request.as_str())?))
    });
    finding("leaving servers are left", at_leaving, |(run, left_us, exchange)| {
        let settled_us = run.at_us.saturating_sub(us(SETTLE));
        let is_late = run.ran
            && exchange.sent_us > left_us + us(LEAVE_BOUND + SLACK)
            && records.was_calm(exchange.entry, settled_us, run.at_us);
        is_late.then(|| format!("{} ran at {}, which had left", run.request, run.server))
    })
}

/// A server that has told an entry in an answer that it leaves gets nothing more from it, whatever is disturbed
/// but the entry itself.
pub fn servers_that_say_they_leave_are_left(records: &Records) -> Finding {
    let by_id = records.by_id();
    let mut heard_us: BTreeMap<(&str, usize), TimeUs> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.told_leaving) {
        let Some(exchange) = by_id.get(run.request.as_str()) else { continue };
        let heard = heard_us.entry((&run.server, exchange.entry)).or_insert(exchange.ended_us);
        *heard = exchange.ended_us.min(*heard);
    }
    finding("servers that say they leave are left", heard_us, |((server, entry), heard_us)| {
        let late = records.runs.iter().filter(|run| run.server == *server).filter(|run| {
            let exchange = by_id.get(run.request.as_str());
            exchange.is_some_and(|exchange| {
                exchange.entry == *entry
                    && exchange.sent_us > heard_us + us(LEAVE_BOUND + SLACK)
                    && !records.was_disturbed(*entry, *heard_us, run.at_us)
                    // NB: it may have started again under its identity.
                    && !records.was_killed(server, *heard_us, run.at_us)
            })
        });
        let late = late.count();
        (late > 0).then(|| format!("{server} got {late} from entry {entry} after its word"))
    })
}

/// A server that has asked an entry for a pause gets two requests from it within that at most.
pub fn servers_that_ask_for_a_pause_get_it(records: &Records) -> Finding {
    let by_id = records.by_id();
    let asked = records.runs.iter().filter_map(|run| {
        let pause = Duration::from_millis(run.asked_backoff_ms?);
        let entry = by_id.get(run.request.as_str())?.entry;
        let from_us = run.at_us + us(ON_THE_WAY);
        let to_us = (run.at_us + us(pause)).saturating_sub(us(NOTICED_LATE));
        let is_disturbed = records.was_disturbed(entry, run.at_us, to_us)
            || records.was_killed(&run.server, run.at_us, to_us);
        (!is_disturbed).then_some((run.server.as_str(), entry, from_us..to_us))
    });
    finding("servers that ask for a pause get it", asked, |(server, entry, pause)| {
        let within = records.runs.iter().filter(|run| {
            run.server == *server
                && pause.contains(&run.at_us)
                && by_id.get(run.request.as_str()).is_some_and(|one| one.entry == *entry)
        });
        let got = within.count();
        (got > IN_A_PAUSE).then(|| format!("{server} got {got} from entry {entry} in a pause"))
    })
}

/// A server that names a limit gets no more than that allows from the entries that have heard it, all together.
pub fn limits_of_servers_are_kept(records: &Records) -> Finding {
    let by_id = records.by_id();
    let mut runs: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in &records.runs {
        runs.entry(&run.server).or_default().push(run);
    }
    let windows = runs.values().flat_map(|runs| limited_windows(records, &by_id, runs));
    finding("limits of servers are kept", windows, |(server, limit_per_s, got)| {
        let takes = limit_per_s * LIMIT_WINDOW.as_secs_f64();
        let allowed = takes * LIMIT_OVERSHOOT + LIMIT_TOLERANCE;
        let is_broken = *got as f64 > allowed;
        is_broken.then(|| format!("{server} got {got} in 4 s, and takes {limit_per_s} a second"))
    })
}

/// For each run at a server that names a limit: the limit, and the runs of entries that had heard it in the four
/// seconds up to then.
fn limited_windows<'a>(
    records: &Records,
    by_id: &HashMap<&str, &Exchange>,
    runs: &[&'a RunRecord],
) -> Vec<(&'a str, f64, usize)> {
    let mut heard_us: BTreeMap<usize, TimeUs> = BTreeMap::new();
    let mut counted: Vec<TimeUs> = Vec::new();
    let mut windows = Vec::new();
    for run in runs {
        let Some(limit_per_s) = run.limit_per_s else {
            // NB: it names none any more, or is another life that does not know of it.
            heard_us.clear();
            counted.clear();
            continue;
        };
        let Some(exchange) = by_id.get(run.request.as_str()) else { continue };
        let entry = exchange.entry;
        let heard = *heard_us.entry(entry).or_insert(exchange.ended_us);
        let has_heard = heard + us(ON_THE_WAY) <= run.at_us;
        if !has_heard || records.was_disturbed(entry, heard, run.at_us) {
            continue;
        }
        counted.push(run.at_us);
        let from_us = run.at_us.saturating_sub(us(LIMIT_WINDOW));
        let got = counted.iter().filter(|at_us| **at_us > from_us).count();
        windows.push((run.server.as_str(), limit_per_s, got));
    }
    windows
}

/// Nothing reaches the servers of a data centre that is evacuated, once that must be known.
pub fn evacuated_data_centres_are_left(records: &Records) -> Finding {
    let by_id = records.by_id();
    let none = Vec::new();
    let within = records.runs.iter().filter_map(|run| {
        let data_centre = records.data_centre_of.get(&run.server)?;
        let spans = records.evacuated.get(data_centre).unwrap_or(&none);
        let span = spans.iter().find(|span| (span.from_us..span.to_us).contains(&run.at_us))?;
        Some((run, *span, *by_id.get(run.request.as_str())?))
    });
    finding("evacuated data centres are left", within, |(run, span, exchange)| {
        let settled_us = run.at_us.saturating_sub(us(SETTLE));
        let is_late = exchange.sent_us > span.from_us + us(EVACUATION_BOUND + SLACK)
            && records.was_calm(exchange.entry, settled_us, run.at_us);
        is_late.then(|| format!("{} ran at {}, which was evacuated", run.request, run.server))
    })
}

/// A cold server gets no more in any second than it may, once all must know that it is cold.
pub fn cold_servers_are_spared(records: &Records) -> Finding {
    let most = COLD_REQUESTS_PER_S * COLD_OVERSHOOT + COLD_TOLERANCE;
    let spans = records.cold.iter().flat_map(|(server, spans)| {
        let known = spans.iter().map(|span| Span {
            from_us: span.from_us + us(PROPAGATION + SLACK),
            to_us: span.to_us,
        });
        known.map(move |span| (server, span))
    });
    let known = spans.filter(|(_, span)| {
        let settled_us = span.from_us.saturating_sub(us(SETTLE));
        !records.was_store_disturbed(settled_us, span.to_us)
    });
    finding("cold servers are spared", known, |(server, span)| {
        let got = most_in_a_second(records, server, *span);
        (got as f64 > most).then(|| format!("{server} got {got} in a second while cold"))
    })
}

/// Most requests that a server read within one second of a span.
fn most_in_a_second(records: &Records, server: &str, span: Span) -> usize {
    let of_server = records.runs.iter().filter(|run| run.server == server);
    let within = of_server.filter(|run| (span.from_us..span.to_us).contains(&run.at_us));
    let mut times: Vec<TimeUs> = within.map(|run| run.at_us).collect();
    times.sort_unstable();
    let from = |first: usize| {
        let end_us = times[first] + us(Duration::from_secs(1));
        times[first..].iter().take_while(|at_us| **at_us < end_us).count()
    };
    (0..times.len()).map(from).max().unwrap_or_default()
}

/// A server that has started again under its identity gets work again, if entries near it have some.
pub fn servers_born_anew_are_used(records: &Records) -> Finding {
    let from_us = records.calm_from_us + us(RECOVERY);
    let has_work = |server: &&String| {
        let near = records.exchanges.iter().filter(|exchange| {
            exchange.sent_us > from_us
                && records.data_centre_of.get(*server) == Some(&data_centre_of(exchange.entry))
        });
        near.count() >= WORK
    };
    let back = records.killed_us.keys().filter(|server| !records.replaced.contains(*server));
    let back = back.filter(has_work);
    finding("servers born anew are used", back, |server| {
        let is_used =
            records.runs.iter().any(|run| run.server == **server && run.ran && run.at_us > from_us);
        (!is_used).then(|| format!("{server} got nothing after it came back"))
    })
}

/// A request under which three servers have ended reaches servers three times more at most, from entries
/// that have been undisturbed, once that must be known.
pub fn requests_that_end_servers_are_left(records: &Records) -> Finding {
    let by_id = records.by_id();
    let mut runs_of: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.ran) {
        if let Some(number) = number_in(&run.request) {
            runs_of.entry(number).or_default().push(run);
        }
    }
    let known = runs_of.iter().filter(|(_, runs)| runs.len() >= ENDS);
    finding("requests that end servers are left", known, |(number, runs)| {
        let known_us = runs[ENDS - 1].at_us + us(KNOWN_AFTER + SLACK);
        let is_further = |run: &&&RunRecord| {
            let Some(exchange) = by_id.get(run.request.as_str()) else { return false };
            let settled_us = exchange.sent_us.saturating_sub(us(SETTLE));
            run.at_us > known_us && records.was_calm(exchange.entry, settled_us, run.at_us)
        };
        let further = runs.iter().filter(is_further).count();
        (further > FURTHER_RUNS).then(|| format!("caller {number}: {further} further runs"))
    })
}

/// Once all is calm again, callers are served.
pub fn service_recovers(records: &Records) -> Finding {
    let from_us = records.calm_from_us + us(RECOVERY);
    let newest = records.configured_us.keys().max().copied().unwrap_or(0);
    let current = |exchange: &&Exchange| exchange.sent_us > from_us && exchange.key == newest;
    let late: Vec<&Exchange> = records.exchanges.iter().filter(current).collect();
    let is_served =
        |exchange: &&&Exchange| matches!(exchange.end, End::Answered { status: 200, .. });
    let served = late.iter().filter(is_served).count();
    let share = served as f64 / late.len().max(1) as f64;
    let broken =
        (share < RECOVERED_SHARE).then(|| format!("{served} of {} are served", late.len()));
    Finding {
        promise: "service recovers",
        looked_at: late.len(),
        broken: broken.into_iter().collect(),
    }
}
