//! A caller that brings a request again and again which ends every server that runs it.

use std::{rc::Rc, time::Duration};

use pondwalk_standin::platform_server::CRASHING_BODY;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    callers::{DEADLINE, exchange, open, request},
    deployment::Deployment,
    records::{End, Exchange, Route, now_us},
};

/// Letter with which the ids of such requests begin.
const MARK: char = 'x';
/// Digits of the caller's number behind it.
const NUMBER_DIGITS: usize = 4;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(400);
/// Time for a connection to open.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// The caller's number in the id of one of its tries; none for other requests.
pub fn number_in(id: &str) -> Option<&str> {
    id.strip_prefix(MARK)?.get(..NUMBER_DIGITS)
}

/// One such caller. Its request is another one than that of any other.
pub struct Repeater {
    number: usize,
    route: Route,
    until: Instant,
}

impl Repeater {
    /// Another one.
    pub fn new(deployment: &Deployment, route: Route, until: Instant) -> Self {
        Repeater { number: deployment.next_repeater(), route, until }
    }

    /// Comes again until its time is over, at any entry that is open, each time on a connection of its own.
    pub async fn run(self, deployment: Rc<Deployment>, seed: u64) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ self.number as u64);
        let mut tries = 0;
        while Instant::now() < self.until {
            tries += 1;
            let entry = rng.random_range(0..deployment.entries());
            self.try_at(&deployment, entry, tries).await;
            sleep(PAUSE).await;
        }
    }

    async fn try_at(&self, deployment: &Deployment, entry: usize, tries: u32) {
        let Some(address) = deployment.open_at(entry) else { return };
        let Ok(Some(mut sender)) = timeout(CONNECT_LIMIT, open(address)).await else { return };
        let (route, number) = (self.route, self.number);
        let (id, key) = (format!("{MARK}{number:04x}{tries:07x}"), deployment.version());
        let dialect = pondwalk_platform::dialect();
        let body = format!("{CRASHING_BODY}, {number}");
        let Ok(request) = request(&dialect, &id, route, key, body) else { return };
        let sent_us = now_us();
        let exchanged = exchange(&mut sender, request, &id, route, &dialect);
        let ended = timeout(DEADLINE + CONNECT_LIMIT, exchanged).await;
        let (end, _) = ended.unwrap_or((End::Never, false));
        let exchange = Exchange { id, entry, route, key, sent_us, ended_us: now_us(), end };
        deployment.records.borrow_mut().exchanges.push(exchange);
    }
}
