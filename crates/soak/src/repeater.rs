//! A caller that repeats a request which crashes every server that runs it.

use std::{rc::Rc, time::Duration};

use pondwalk_standin::platform_server::CRASHING_BODY;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout};

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

/// Returns the caller's number in the id of a repeated request; `None` for other requests.
pub fn repeater_number(id: &str) -> Option<&str> {
    id.strip_prefix(ID_PREFIX)?.get(..NUMBER_DIGITS)
}

/// A caller with a crashing request of its own.
pub struct Repeater {
    number: usize,
    route: Route,
    until: Instant,
}

impl Repeater {
    /// Creates a repeater with a new number.
    pub fn new(deployment: &Deployment, route: Route, until: Instant) -> Self {
        Repeater { number: deployment.next_repeater_number(), route, until }
    }

    /// Repeats the request until the time is over, each time on a new connection to a random entry.
    pub async fn run(self, deployment: Rc<Deployment>, seed: u64) {
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
        let body = format!("{CRASHING_BODY}, {number}");
        let Ok(request) = request(&dialect, &id, route, key, body, &[]) else { return };
        let sent_us = now_us();
        let exchanged = exchange(&mut sender, request, &id, route, &dialect);
        let ended = timeout(DEADLINE + CONNECT_TIMEOUT, exchanged).await;
        let (outcome, _) = ended.unwrap_or((Outcome::NoAnswer, false));
        let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), outcome };
        deployment.records.borrow_mut().exchanges.push(exchange);
    }
}
