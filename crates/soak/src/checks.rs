//! Checks of the product's promises against the records of a run.
//!
//! Each check counts its cases, so that a check without any case is visible in the report.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use crate::{
    callers::DEADLINE,
    deployment::data_centre_of,
    part_caller::part_caller_number,
    records::{Exchange, Outcome, Records, Route, RunRecord, Span, TimeUs},
    repeater::repeater_number,
    retry_budget::check_retry_budget,
    stop_callers::SLOW_DEADLINE,
};

/// Time within which a change must be in force.
pub const PROPAGATION_BOUND: Duration = Duration::from_secs(2);
/// Time within which a removed key must be refused, whatever is disturbed.
pub const KEY_BOUND: Duration = Duration::from_secs(5);
/// Time within which a draining server must get no new requests.
pub const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// Time within which an evacuated data centre must get no new requests.
pub const EVACUATION_BOUND: Duration = Duration::from_secs(2);
/// Warm-up time of servers.
pub const WARM_UP_TIME: Duration = Duration::from_secs(6);
/// Requests per second that a cold server can take. A warm server gets about 25 in a small run.
pub const COLD_REQUESTS_PER_S: f64 = 6.0;
/// Allowed factor on the requests that a cold server can take.
pub const COLD_OVERSHOOT: f64 = 1.5;
/// Allowed requests per second on top of that.
pub const COLD_TOLERANCE: f64 = 5.0;
/// Time from the signal to stop until which an entry writes answers: .95 of its grace period.
pub const DELIVERY_TIME: Duration = Duration::from_millis(5_700);
/// Undisturbed time after which the time bounds apply.
pub const SETTLING_TIME: Duration = Duration::from_secs(4);
/// Tolerance of all time bounds: the processes share a few processors, and runs are reported by polling.
pub const TOLERANCE: Duration = Duration::from_millis(500);
/// Time by which responses of one entry may be reordered.
const REORDERING_TOLERANCE: Duration = Duration::from_secs(1);
/// Minimum share of requests that must be served after the recovery.
const MIN_RECOVERED_SHARE: f64 = 0.9;
/// Time within which service must recover.
const RECOVERY_BOUND: Duration = Duration::from_secs(6);

/// Minimum number of requests at the entries of a data centre from which each server there must get some.
/// Callers that lost their entry stay with another one, so an entry may have no requests.
const MIN_NEARBY_REQUESTS: usize = 60;

/// Time after a backoff request or a limit in which requests that are in flight already may arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Maximum number of requests in the rest of the backoff.
const MAX_REQUESTS_IN_BACKOFF: usize = 2;
/// Window in which requests at a server that announces a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Allowed factor on the limit, and allowed requests per window on top of that.
const LIMIT_OVERSHOOT: f64 = 1.5;
const LIMIT_TOLERANCE: f64 = 5.0;
/// Maximum delay with which a run is recorded; a backoff counted from the record ends as much too late.
const RUN_DETECTION_DELAY: Duration = Duration::from_millis(50);

/// Servers that a request may crash before it is quarantined.
const CRASHES_BEFORE_QUARANTINE: usize = 3;
/// Runs of the request that are allowed after that.
const MAX_FURTHER_RUNS: usize = 3;
/// Time within which the quarantine must reach all entries.
const QUARANTINE_BOUND: Duration = Duration::from_secs(3);

/// Servers that a prompt part may crash before it is quarantined.
const CRASHES_BEFORE_PART_QUARANTINE: usize = 5;
/// Time after its start within which a run with a crashing part crashes its server, and the exit of
/// the server is detected.
const CRASH_DETECTION_TIME: Duration = Duration::from_millis(500);
/// Time after these crashes from which sound requests are served, and the share that must not be
/// refused, of this many at least.
const SOUND_RECOVERY: Duration = Duration::from_secs(6);
const MIN_SOUND_SHARE: f64 = 0.5;
const MIN_SOUND_REQUESTS: usize = 20;

/// Memory that an entry may take beyond that when it became ready, in KB.
const MAX_GROWTH_KB: u64 = 64 * 1024;

/// Result of one check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the promise.
    pub promise: &'static str,
    /// Number of checked cases.
    pub checked: usize,
    /// Descriptions of the cases that broke the promise, one line each.
    pub broken: Vec<String>,
}

/// Checks one promise against the records.
pub type Check = fn(&Records) -> Finding;

/// All checks.
pub const CHECKS: [Check; 24] = [
    check_processes,
    check_memory,
    check_at_most_once,
    check_refusals,
    check_answers,
    check_answered_by_deadline,
    check_no_cuts,
    check_slow_reads,
    check_propagation,
    check_no_reversion,
    check_key_revocation,
    check_unreadable_configurations,
    check_draining,
    check_draining_headers,
    check_backoff,
    check_limits,
    check_evacuation,
    check_warm_up,
    check_restarted_servers,
    check_crash_quarantine,
    check_part_quarantine,
    check_sound_requests,
    check_retry_budget,
    check_recovery,
];

fn us(time: Duration) -> TimeUs {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn finding<'a, T>(
    promise: &'static str,
    cases: impl IntoIterator<Item = T>,
    broken_by: impl Fn(&T) -> Option<String> + 'a,
) -> Finding {
    let mut checked = 0;
    let mut broken = Vec::new();
    for case in cases {
        checked += 1;
        broken.extend(broken_by(&case));
    }
    Finding { promise, checked, broken }
}

/// No entry ends unless it is told to.
pub fn check_processes(records: &Records) -> Finding {
    let entries: BTreeSet<usize> = records.memory.keys().map(|(entry, _)| *entry).collect();
    finding("entries end only when told to", entries, |entry| {
        let has_ended = records.ended_by_themselves.contains(entry);
        has_ended.then(|| format!("entry {entry} ended by itself"))
    })
}

/// An entry takes little more memory than when it has just become ready, whatever is sent to it.
pub fn check_memory(records: &Records) -> Finding {
    finding("memory is bounded", &records.memory, |((entry, process), memory)| {
        let calm_kb = memory.first()?.resident_kb;
        let peak_kb = memory.iter().map(|memory| memory.peak_kb).max()?;
        let is_broken = peak_kb > calm_kb + MAX_GROWTH_KB;
        is_broken.then(|| {
            format!("entry {entry}, process {process}: {peak_kb} KB after {calm_kb} KB when ready")
        })
    })
}

/// A request that may not be repeated runs at most once.
pub fn check_at_most_once(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let non_repeatable = records.exchanges.iter().filter(|exchange| exchange.route == Route::Once);
    finding("runs at most once", non_repeatable, |exchange| {
        let runs = runs.get(exchange.id.as_str()).map_or(0, Vec::len);
        (runs > 1).then(|| format!("{} ran {runs} times", exchange.id))
    })
}

/// A refused request has not run and never runs.
pub fn check_refusals(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let is_refusal = |exchange: &&Exchange| {
        matches!(exchange.outcome, Outcome::Answered { status: 408 | 421 | 429 | 503, .. })
    };
    let refused = records.exchanges.iter().filter(is_refusal);
    finding("refusals are true", refused, |exchange| {
        let ran = runs.contains_key(exchange.id.as_str());
        ran.then(|| format!("{} was refused and ran", exchange.id))
    })
}

/// A successful response is complete and was made for this request.
pub fn check_answers(records: &Records) -> Finding {
    let success =
        |exchange: &&Exchange| matches!(exchange.outcome, Outcome::Answered { status: 200, .. });
    finding("answers are whole and own", records.exchanges.iter().filter(success), |exchange| {
        let is_incomplete =
            matches!(exchange.outcome, Outcome::Answered { is_complete: false, .. });
        is_incomplete
            .then(|| format!("{} got the answer of another request or a partial one", exchange.id))
    })
}

/// Every request is answered soon after its deadline at the latest, unless its entry was killed or paused.
pub fn check_answered_by_deadline(records: &Records) -> Finding {
    let undisturbed = records.exchanges.iter().filter(|exchange| {
        !records.was_disturbed(exchange.entry, exchange.sent_us, exchange.ended_us)
    });
    finding("requests are answered by their deadlines", undisturbed, |exchange| {
        (exchange.outcome == Outcome::NoAnswer).then(|| format!("{} got no answer", exchange.id))
    })
}

/// A request that ran is not cut before its deadline, not even by a planned stop, unless its entry was
/// killed or paused.
///
/// A request whose server was killed may be cut, since it cannot always resume on another server. At its
/// deadline any request may be cut. Seen once in a hundred runs: the connection of a stream to its server
/// stalled after its key had been removed, so that no other server could resume the stream.
pub fn check_no_cuts(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let undisturbed = records.exchanges.iter().filter(|exchange| {
        !records.was_disturbed(exchange.entry, exchange.sent_us, exchange.ended_us)
    });
    finding("requests that ran are not cut", undisturbed, |exchange| {
        let ended_before_deadline = exchange.ended_us < exchange.sent_us + us(DEADLINE);
        let runs = runs.get(exchange.id.as_str()).into_iter().flatten();
        // The exit of a server by itself is detected shortly after its callers see it.
        let until_us = exchange.ended_us + us(TOLERANCE);
        // An answer without an end can only be cut once a part of it was passed on.
        let failed = |run: &&&RunRecord| {
            run.is_flooded || records.was_killed(&run.server, exchange.sent_us, until_us)
        };
        let ran = runs.clone().count() > 0 && runs.filter(failed).count() == 0;
        (exchange.outcome == Outcome::Cut && ended_before_deadline && ran)
            .then(|| format!("{} ran and was cut", exchange.id))
    })
}

/// An answer that its server has made is whole for a caller that reads it slowly, also while its
/// entry stops. What a caller has not read by the end of the grace period may be cut.
pub fn check_slow_reads(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let due = records.slow_reads.iter().filter(|read| {
        // The entry starts again after the stop, which disturbs the read no more.
        let stops = records.stopped.get(&read.entry).into_iter().flatten();
        let mut stops = stops.filter(|stop| (read.sent_us..read.ended_us).contains(&stop.from_us));
        let stop = stops.next();
        let until_us = stop.map_or(read.ended_us, |stop| stop.to_us.min(read.ended_us));
        let was_in_time = stop.is_none_or(|stop| read.ended_us < stop.from_us + us(DELIVERY_TIME));
        was_in_time && !records.was_disturbed(read.entry, read.sent_us, until_us)
    });
    finding("answers read slowly are whole", due, |read| {
        let until_us = read.ended_us + us(TOLERANCE);
        let failed = |run: &&&RunRecord| {
            run.is_flooded || records.was_killed(&run.server, read.sent_us, until_us)
        };
        let runs = runs.get(read.id.as_str()).into_iter().flatten();
        let is_made = runs.clone().count() > 0 && runs.filter(failed).count() == 0;
        let ended_before_deadline = read.ended_us < read.sent_us + us(SLOW_DEADLINE);
        (read.is_cut && is_made && ended_before_deadline)
            .then(|| format!("{} was cut after {} bytes", read.id, read.bytes))
    })
}

/// An entry accepts a key in time after the configuration that added it.
pub fn check_propagation(records: &Records) -> Finding {
    let due = records.exchanges.iter().filter(|exchange| {
        let Some(configured_us) = records.configured_us.get(&exchange.key) else { return false };
        let settled_us = exchange.sent_us.saturating_sub(us(SETTLING_TIME));
        exchange.sent_us > configured_us + us(PROPAGATION_BOUND + TOLERANCE)
            && !records.configured_us.contains_key(&(exchange.key + 2))
            && records.was_undisturbed(exchange.entry, settled_us, exchange.ended_us)
    });
    finding("changes are in force in time", due, |exchange| {
        let unknown = matches!(exchange.outcome, Outcome::Answered { status: 401 | 403 | 404, .. });
        unknown.then(|| format!("{}: key {} was not accepted", exchange.id, exchange.key))
    })
}

/// An entry that has accepted a key accepts none again that was removed before that key was added.
pub fn check_no_reversion(records: &Records) -> Finding {
    let runs = records.runs_by_id();
    let ran = |exchange: &Exchange| runs.contains_key(exchange.id.as_str());
    let accepted: Vec<&Exchange> =
        records.exchanges.iter().filter(|exchange| ran(exchange)).collect();
    let old = records
        .exchanges
        .iter()
        .filter(|exchange| records.configured_us.contains_key(&(exchange.key + 2)));
    finding("configurations never revert", old, |exchange| {
        let newer = accepted.iter().find(|newer| {
            newer.entry == exchange.entry
                && newer.key >= exchange.key + 2
                && newer.ended_us + us(REORDERING_TOLERANCE) < exchange.sent_us
                && !records.was_disturbed(newer.entry, newer.sent_us, exchange.ended_us)
        });
        let newer = newer.filter(|_| ran(exchange))?;
        Some(format!(
            "{} with key {} ran after key {} was accepted",
            exchange.id, exchange.key, newer.key
        ))
    })
}

/// No request with a removed key runs later than the bound, whatever is disturbed.
pub fn check_key_revocation(records: &Records) -> Finding {
    let by_id = records.by_id();
    let runs_of_revoked = records.runs.iter().filter_map(|run| {
        let exchange = by_id.get(run.request.as_str())?;
        let revoked_us = records.configured_us.get(&(exchange.key + 2))?;
        Some((run, *exchange, *revoked_us))
    });
    let late_attempts = records.exchanges.iter().filter(|exchange| {
        let revoked_us = records.configured_us.get(&(exchange.key + 2));
        revoked_us.is_some_and(|revoked_us| exchange.sent_us > revoked_us + us(KEY_BOUND))
    });
    let checked = late_attempts.count();
    let found = finding("keys are dead in time", runs_of_revoked, |(run, exchange, revoked_us)| {
        let late = run.ran && run.at_us > revoked_us + us(KEY_BOUND + TOLERANCE);
        late.then(|| format!("{} with key {} ran after the bound", exchange.id, exchange.key))
    });
    Finding { checked, ..found }
}

/// No request runs later than the bound for keys while nothing of the newest configuration can be
/// read, since it may have removed any key.
pub fn check_unreadable_configurations(records: &Records) -> Finding {
    let in_span = |at_us: TimeUs, late_us: TimeUs| {
        let mut spans = records.unreadable.iter();
        spans.any(|span| at_us > span.from_us + late_us && at_us < span.to_us)
    };
    let late_attempts =
        records.exchanges.iter().filter(|exchange| in_span(exchange.sent_us, us(KEY_BOUND)));
    let checked = late_attempts.count();
    let runs = records.runs.iter().filter(|run| run.ran);
    let found = finding("unreadable configurations end keys", runs, |run| {
        in_span(run.at_us, us(KEY_BOUND + TOLERANCE))
            .then(|| format!("{} ran after the bound", run.request))
    });
    Finding { checked, ..found }
}

/// A draining server gets no new requests after the bound.
pub fn check_draining(records: &Records) -> Finding {
    let by_id = records.by_id();
    let at_draining = records.runs.iter().filter_map(|run| {
        let draining_us = records.draining_us.get(&run.server)?;
        Some((run, *draining_us, *by_id.get(run.request.as_str())?))
    });
    finding("leaving servers are left", at_draining, |(run, draining_us, exchange)| {
        let settled_us = run.at_us.saturating_sub(us(SETTLING_TIME));
        let is_late = run.ran
            && exchange.sent_us > draining_us + us(DRAIN_BOUND + TOLERANCE)
            && records.was_undisturbed(exchange.entry, settled_us, run.at_us);
        is_late.then(|| format!("{} ran at {}, which was draining", run.request, run.server))
    })
}

/// A server that has announced in a response to an entry that it drains gets no more requests from it after
/// the bound, whatever is disturbed except the entry itself.
pub fn check_draining_headers(records: &Records) -> Finding {
    let by_id = records.by_id();
    let mut received_us: BTreeMap<(&str, usize), TimeUs> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.told_leaving) {
        let Some(exchange) = by_id.get(run.request.as_str()) else { continue };
        let first_us =
            received_us.entry((&run.server, exchange.entry)).or_insert(exchange.ended_us);
        *first_us = exchange.ended_us.min(*first_us);
    }
    finding(
        "servers that say they leave are left",
        received_us,
        |((server, entry), received_us)| {
            let late = records.runs.iter().filter(|run| run.server == *server).filter(|run| {
                let exchange = by_id.get(run.request.as_str());
                exchange.is_some_and(|exchange| {
                    exchange.entry == *entry
                    && exchange.sent_us > received_us + us(DRAIN_BOUND + TOLERANCE)
                    && !records.was_disturbed(*entry, *received_us, run.at_us)
                    // The server may have restarted under the same id.
                    && !records.was_killed(server, *received_us, run.at_us)
                })
            });
            let late = late.count();
            (late > 0).then(|| format!("{server} got {late} requests from entry {entry} after announcing that it drains"))
        },
    )
}

/// A server that has asked an entry for backoff gets at most two requests from it during the backoff.
pub fn check_backoff(records: &Records) -> Finding {
    let by_id = records.by_id();
    let backoffs = records.runs.iter().filter_map(|run| {
        let pause = Duration::from_millis(run.asked_backoff_ms?);
        let entry = by_id.get(run.request.as_str())?.entry;
        let from_us = run.at_us + us(IN_FLIGHT_GRACE);
        let to_us = (run.at_us + us(pause)).saturating_sub(us(RUN_DETECTION_DELAY));
        let is_disturbed = records.was_disturbed(entry, run.at_us, to_us)
            || records.was_killed(&run.server, run.at_us, to_us);
        (!is_disturbed).then_some((run.server.as_str(), entry, from_us..to_us))
    });
    finding("servers that ask for a pause get it", backoffs, |(server, entry, pause)| {
        let within = records.runs.iter().filter(|run| {
            run.server == *server
                && pause.contains(&run.at_us)
                && by_id.get(run.request.as_str()).is_some_and(|exchange| exchange.entry == *entry)
        });
        let received = within.count();
        (received > MAX_REQUESTS_IN_BACKOFF).then(|| {
            format!("{server} got {received} requests from entry {entry} during a backoff")
        })
    })
}

/// A server that announces a limit gets no more requests than allowed from all entries that received it together.
pub fn check_limits(records: &Records) -> Finding {
    let by_id = records.by_id();
    let mut runs: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in &records.runs {
        runs.entry(&run.server).or_default().push(run);
    }
    let windows = runs.values().flat_map(|runs| limited_windows(records, &by_id, runs));
    finding("limits of servers are kept", windows, |(server, limit_per_s, received)| {
        let capacity = limit_per_s * LIMIT_WINDOW.as_secs_f64();
        let allowed = capacity * LIMIT_OVERSHOOT + LIMIT_TOLERANCE;
        let is_broken = *received as f64 > allowed;
        is_broken.then(|| {
            format!(
                "{server} got {received} requests in 4 s; its limit is {limit_per_s} per second"
            )
        })
    })
}

/// Returns, for each run at a server that announces a limit, the server, the limit per second and the number
/// of runs within the window up to then, counting only entries that had received the limit.
fn limited_windows<'a>(
    records: &Records,
    by_id: &HashMap<&str, &Exchange>,
    runs: &[&'a RunRecord],
) -> Vec<(&'a str, f64, usize)> {
    let mut received_us: BTreeMap<usize, TimeUs> = BTreeMap::new();
    let mut counted: Vec<TimeUs> = Vec::new();
    let mut windows = Vec::new();
    for run in runs {
        let Some(limit_per_s) = run.limit_per_s else {
            // The server no longer announces a limit, or is a later incarnation without one.
            received_us.clear();
            counted.clear();
            continue;
        };
        let Some(exchange) = by_id.get(run.request.as_str()) else { continue };
        let entry = exchange.entry;
        let first_us = *received_us.entry(entry).or_insert(exchange.ended_us);
        let has_received = first_us + us(IN_FLIGHT_GRACE) <= run.at_us;
        if !has_received || records.was_disturbed(entry, first_us, run.at_us) {
            continue;
        }
        counted.push(run.at_us);
        let from_us = run.at_us.saturating_sub(us(LIMIT_WINDOW));
        let received = counted.iter().filter(|at_us| **at_us > from_us).count();
        windows.push((run.server.as_str(), limit_per_s, received));
    }
    windows
}

/// No new request reaches the servers of an evacuated data centre after the bound.
pub fn check_evacuation(records: &Records) -> Finding {
    let by_id = records.by_id();
    let none = Vec::new();
    let within = records.runs.iter().filter_map(|run| {
        let data_centre = records.data_centre_of.get(&run.server)?;
        let spans = records.evacuated.get(data_centre).unwrap_or(&none);
        let span = spans.iter().find(|span| (span.from_us..span.to_us).contains(&run.at_us))?;
        Some((run, *span, *by_id.get(run.request.as_str())?))
    });
    finding("evacuated data centres are left", within, |(run, span, exchange)| {
        let settled_us = run.at_us.saturating_sub(us(SETTLING_TIME));
        let is_late = exchange.sent_us > span.from_us + us(EVACUATION_BOUND + TOLERANCE)
            && records.was_undisturbed(exchange.entry, settled_us, run.at_us);
        is_late.then(|| format!("{} ran at {}, which was evacuated", run.request, run.server))
    })
}

/// A cold server gets no more requests in any second than allowed, once its state has propagated.
pub fn check_warm_up(records: &Records) -> Finding {
    let max_requests = COLD_REQUESTS_PER_S * COLD_OVERSHOOT + COLD_TOLERANCE;
    let spans = records.cold.iter().flat_map(|(server, spans)| {
        let known = spans.iter().map(|span| Span {
            from_us: span.from_us + us(PROPAGATION_BOUND + TOLERANCE),
            to_us: span.to_us,
        });
        known.map(move |span| (server, span))
    });
    let known = spans.filter(|(_, span)| {
        let settled_us = span.from_us.saturating_sub(us(SETTLING_TIME));
        !records.was_store_disturbed(settled_us, span.to_us)
    });
    finding("cold servers are spared", known, |(server, span)| {
        let received = max_requests_per_second(records, server, *span);
        (received as f64 > max_requests)
            .then(|| format!("{server} got {received} requests in one second while cold"))
    })
}

/// Returns the maximum number of requests that a server read within one second of a span.
fn max_requests_per_second(records: &Records, server: &str, span: Span) -> usize {
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

/// A server that restarted under the same id gets requests again, if the entries of its data centre do.
pub fn check_restarted_servers(records: &Records) -> Finding {
    let from_us = records.fault_free_from_us + us(RECOVERY_BOUND);
    let has_nearby_traffic = |server: &&String| {
        let nearby = records.exchanges.iter().filter(|exchange| {
            exchange.sent_us > from_us
                && records.data_centre_of.get(*server) == Some(&data_centre_of(exchange.entry))
        });
        nearby.count() >= MIN_NEARBY_REQUESTS
    };
    let restarted = records.killed_us.keys().filter(|server| !records.replaced.contains(*server));
    let restarted = restarted.filter(has_nearby_traffic);
    finding("servers born anew are used", restarted, |server| {
        let is_used =
            records.runs.iter().any(|run| run.server == **server && run.ran && run.at_us > from_us);
        (!is_used).then(|| format!("{server} got no requests after its restart"))
    })
}

/// Number of runs after `from_us` of requests at entries that were undisturbed.
fn count_further_runs(
    records: &Records,
    by_id: &HashMap<&str, &Exchange>,
    runs: &[&RunRecord],
    from_us: TimeUs,
) -> usize {
    let is_further = |run: &&&RunRecord| {
        let Some(exchange) = by_id.get(run.request.as_str()) else { return false };
        let settled_us = exchange.sent_us.saturating_sub(us(SETTLING_TIME));
        run.at_us > from_us && records.was_undisturbed(exchange.entry, settled_us, run.at_us)
    };
    runs.iter().filter(is_further).count()
}

/// A request that has crashed three servers runs at most three more times after the bound, counting
/// only undisturbed entries.
pub fn check_crash_quarantine(records: &Records) -> Finding {
    let by_id = records.by_id();
    let mut runs_of: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.ran) {
        if let Some(number) = repeater_number(&run.request) {
            runs_of.entry(number).or_default().push(run);
        }
    }
    let known = runs_of.iter().filter(|(_, runs)| runs.len() >= CRASHES_BEFORE_QUARANTINE);
    finding("requests that end servers are left", known, |(number, runs)| {
        let quarantined_us =
            runs[CRASHES_BEFORE_QUARANTINE - 1].at_us + us(QUARANTINE_BOUND + TOLERANCE);
        let further = count_further_runs(records, &by_id, runs, quarantined_us);
        (further > MAX_FURTHER_RUNS)
            .then(|| format!("request of caller {number}: {further} further runs"))
    })
}

/// Runs of requests with each crashing part, by the number of their caller.
fn runs_by_part(records: &Records) -> BTreeMap<&str, Vec<&RunRecord>> {
    let mut runs_of: BTreeMap<&str, Vec<&RunRecord>> = BTreeMap::new();
    for run in records.runs.iter().filter(|run| run.ran) {
        if let Some(number) = part_caller_number(&run.request) {
            runs_of.entry(number).or_default().push(run);
        }
    }
    runs_of
}

/// Times of the crashes under these runs, in order.
fn crash_times(records: &Records, runs: &[&RunRecord]) -> Vec<TimeUs> {
    let crash_of = |run: &&RunRecord| {
        let killed = records.killed_us.get(&run.server)?;
        let within = run.at_us..run.at_us + us(CRASH_DETECTION_TIME);
        killed.iter().copied().find(|at_us| within.contains(at_us))
    };
    let crashes: BTreeSet<TimeUs> = runs.iter().filter_map(crash_of).collect();
    crashes.into_iter().collect()
}

/// A prompt part that has crashed five servers runs at most three more times after the bound,
/// counting only undisturbed entries.
pub fn check_part_quarantine(records: &Records) -> Finding {
    let by_id = records.by_id();
    let runs_of = runs_by_part(records);
    finding("prompt parts that crash servers are left", &runs_of, |(number, runs)| {
        let crashes = crash_times(records, runs);
        let fifth_us = *crashes.get(CRASHES_BEFORE_PART_QUARANTINE - 1)?;
        let quarantined_us = fifth_us + us(QUARANTINE_BOUND + TOLERANCE);
        let further = count_further_runs(records, &by_id, runs, quarantined_us);
        (further > MAX_FURTHER_RUNS)
            .then(|| format!("part of caller {number}: {further} further runs"))
    })
}

/// While a prompt part crashes servers, requests that share only its other parts are not refused for
/// it, counting only undisturbed entries.
pub fn check_sound_requests(records: &Records) -> Finding {
    let runs_of = runs_by_part(records);
    finding("sound requests are served beside them", &runs_of, |(number, runs)| {
        let crashes = crash_times(records, runs);
        let last = crashes.get(CRASHES_BEFORE_PART_QUARANTINE - 1).or(crashes.last())?;
        let from_us = last + us(SOUND_RECOVERY + TOLERANCE);
        let asked = records.exchanges.iter();
        let until_us = asked
            .filter(|exchange| part_caller_number(&exchange.id) == Some(**number))
            .map(|exchange| exchange.sent_us)
            .max()?;
        let sound: Vec<&Exchange> = records
            .exchanges
            .iter()
            .filter(|exchange| {
                let settled_us = exchange.sent_us.saturating_sub(us(SETTLING_TIME));
                exchange.route == Route::Stream
                    && (from_us..until_us).contains(&exchange.sent_us)
                    && part_caller_number(&exchange.id).is_none()
                    && repeater_number(&exchange.id).is_none()
                    && records.was_undisturbed(exchange.entry, settled_us, exchange.ended_us)
            })
            .collect();
        let is_quarantined = |exchange: &&&Exchange| {
            matches!(exchange.outcome, Outcome::Answered { status: 429, .. })
        };
        let refused = sound.iter().filter(is_quarantined).count();
        let max_refused = (1.0 - MIN_SOUND_SHARE) * sound.len() as f64;
        (sound.len() >= MIN_SOUND_REQUESTS && refused as f64 > max_refused)
            .then(|| format!("beside caller {number}: {refused} of {} are refused", sound.len()))
    })
}

/// Callers are served again in the fault-free time at the end.
pub fn check_recovery(records: &Records) -> Finding {
    let from_us = records.fault_free_from_us + us(RECOVERY_BOUND);
    let newest = records.configured_us.keys().max().copied().unwrap_or(0);
    let current = |exchange: &&Exchange| exchange.sent_us > from_us && exchange.key == newest;
    let late: Vec<&Exchange> = records.exchanges.iter().filter(current).collect();
    let is_served =
        |exchange: &&&Exchange| matches!(exchange.outcome, Outcome::Answered { status: 200, .. });
    let served = late.iter().filter(is_served).count();
    let share = served as f64 / late.len().max(1) as f64;
    let broken = (share < MIN_RECOVERED_SHARE)
        .then(|| format!("{served} of {} requests were served", late.len()));
    Finding {
        promise: "service recovers",
        checked: late.len(),
        broken: broken.into_iter().collect(),
    }
}
