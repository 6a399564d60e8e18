//! A caller of different requests that share a prompt part which crashes servers.

use std::{rc::Rc, time::Duration};

use pondwalk_standin::platform_server::crashing_part;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::spawn_local,
    time::{Instant, sleep, timeout},
};

use crate::{
    callers::{DEADLINE, SHARED_PART, connect, exchange, request},
    deployment::Deployment,
    records::{Exchange, Outcome, Route, now_us},
};

/// Prefix of the ids of such requests.
const ID_PREFIX: char = 'p';
/// Digits of the caller's number after the prefix.
const NUMBER_DIGITS: usize = 4;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the caller's number in the id of a request with a crashing part; `None` for other
/// requests.
pub fn part_caller_number(id: &str) -> Option<&str> {
    id.strip_prefix(ID_PREFIX)?.get(..NUMBER_DIGITS)
}

/// A caller with a crashing part of its own.
pub struct PartCaller {
    number: usize,
    until: Instant,
}

impl PartCaller {
    /// Creates a caller with a new number.
    pub fn new(deployment: &Deployment, until: Instant) -> Self {
        PartCaller { number: deployment.next_repeater_number(), until }
    }

    /// Sends requests until the time is over, each on a new connection to a random entry.
    pub async fn run(self, deployment: Rc<Deployment>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ self.number as u64);
        let mut requests = Vec::new();
        for sent in 0.. {
            if Instant::now() >= self.until {
                break;
            }
            let entry = rng.random_range(0..deployment.entries());
            let deployment = Rc::clone(&deployment);
            requests.push(spawn_local(send(deployment, self.number, entry, sent)));
            sleep(REQUEST_INTERVAL).await;
        }
        for request in requests {
            // A request that panics fails the run by its missing record.
            let _ = request.await;
        }
    }
}

async fn send(deployment: Rc<Deployment>, caller: usize, entry: usize, sent: u64) {
    let Some(address) = deployment.ready_address(entry) else { return };
    let Ok(Some(mut sender)) = timeout(CONNECT_TIMEOUT, connect(address)).await else { return };
    let id = format!("{ID_PREFIX}{caller:04x}{sent:07x}");
    let (route, key) = (Route::Stream, deployment.config_version());
    let dialect = pondwalk_platform::dialect();
    let parts = [SHARED_PART, crashing_part(caller as u16), sent << 32];
    let Ok(request) = request(&dialect, &id, route, key, id.clone(), &parts) else { return };
    let sent_us = now_us();
    let exchanged = exchange(&mut sender, request, &id, route, &dialect);
    let ended = timeout(DEADLINE + CONNECT_TIMEOUT, exchanged).await;
    let (outcome, _) = ended.unwrap_or((Outcome::NoAnswer, false));
    let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), outcome };
    deployment.records.borrow_mut().exchanges.push(exchange);
}
