//! A caller that repeats a request which crashes every server that runs it.

use std::{rc::Rc, time::Duration};

use pondwalk_standin::platform_server::{CRASHING_BODY, LATE_CRASHING_BODY};
use rand::{Rng, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    callers::{DEADLINE, connect, exchange, request},
    deployment::Deployment,
    records::{Exchange, Outcome, Route, now_us},
};

/// Prefix of the ids of such requests.
const ID_PREFIX: char = 'x';
/// Digits of the caller's number after the prefix.
const NUMBER_DIGITS: usize = 4;
/// Pause between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a caller leaves that does not wait for the answer.
const LEAVES_AFTER: Duration = Duration::from_millis(30);
/// Number of callers that start together in some series, each with a request of its own.
const GROUP_SIZE: usize = 4;
/// Share of the series with such a group.
const GROUP_SHARE: f64 = 0.25;

/// Returns the caller's number in the id of a repeated request; `None` for other requests.
pub fn repeater_number(id: &str) -> Option<&str> {
    id.strip_prefix(ID_PREFIX)?.get(..NUMBER_DIGITS)
}

/// How a request crashes servers, and whether its caller waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Manner {
    /// Servers crash before the answer.
    CrashesBefore,
    /// Servers crash after the answer, or after the part of a stream that another one has left.
    CrashesAfter,
    /// The caller leaves before the answer and the crash.
    CallerLeaves,
}

impl Manner {
    const ALL: [Manner; 3] = [Manner::CrashesBefore, Manner::CrashesAfter, Manner::CallerLeaves];

    fn body(self) -> &'static str {
        match self {
            Manner::CrashesBefore | Manner::CallerLeaves => CRASHING_BODY,
            Manner::CrashesAfter => LATE_CRASHING_BODY,
        }
    }
}

/// A caller with a crashing request of its own.
struct Repeater {
    number: usize,
    route: Route,
    manner: Manner,
    until: Instant,
}

/// Runs one caller, or a group of them, until the time is over.
pub async fn run_repeaters(deployment: Rc<Deployment>, route: Route, until: Instant, seed: u64) {
    let first = deployment.next_repeater_number();
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ first as u64);
    let manner = *Manner::ALL.choose(&mut rng).unwrap_or(&Manner::CrashesBefore);
    let others = if rng.random_bool(GROUP_SHARE) { GROUP_SIZE - 1 } else { 0 };
    let numbers: Vec<usize> = std::iter::once(first)
        .chain((0..others).map(|_| deployment.next_repeater_number()))
        .collect();
    let run = |number| {
        let repeater = Repeater { number, route, manner, until };
        spawn_local(repeater.run(Rc::clone(&deployment), seed))
    };
    let repeaters: Vec<_> = numbers.into_iter().map(run).collect();
    for repeater in repeaters {
        // A repeater that panics fails the run by its missing records.
        let _ = repeater.await;
    }
}

impl Repeater {
    /// Repeats the request until the time is over, each time on a new connection to a random entry.
    async fn run(self, deployment: Rc<Deployment>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ self.number as u64);
        let mut attempts = 0;
        while Instant::now() < self.until {
            attempts += 1;
            let entry = rng.random_range(0..deployment.entries());
            self.send_to(&deployment, entry, attempts).await;
            sleep(RETRY_INTERVAL).await;
        }
    }

    async fn send_to(&self, deployment: &Deployment, entry: usize, attempts: u32) {
        let Some(address) = deployment.ready_address(entry) else { return };
        let Ok(Some(mut sender)) = timeout(CONNECT_TIMEOUT, connect(address)).await else { return };
        let (route, number) = (self.route, self.number);
        let (id, key) =
            (format!("{ID_PREFIX}{number:04x}{attempts:07x}"), deployment.config_version());
        let dialect = pondwalk_platform::dialect();
        let body = format!("{}, {number}", self.manner.body());
        let Ok(request) = request(&dialect, &id, route, key, body, &[]) else { return };
        let sent_us = now_us();
        let exchanged = exchange(&mut sender, request, &id, route, &dialect);
        let outcome = if self.manner == Manner::CallerLeaves {
            let ended = timeout(LEAVES_AFTER, exchanged).await;
            ended.map_or(Outcome::Left, |(outcome, _)| outcome)
        } else {
            let ended = timeout(DEADLINE + CONNECT_TIMEOUT, exchanged).await;
            ended.map_or(Outcome::NoAnswer, |(outcome, _)| outcome)
        };
        let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), outcome };
        deployment.records.borrow_mut().exchanges.push(exchange);
    }
}
