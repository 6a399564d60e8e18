//! Backend servers as one process sees them, and the choice among those that host a version.
//!
//! Servers are indexed by version. Up to [`FULL_SCAN_SERVERS`] are all compared; above that a few
//! are drawn at random (the power of d choices: Mitzenmacher, 2001) and compared with the one that
//! rendezvous hashing names for the prompt's prefix, so that the cost of a choice does not grow
//! with the fleet.

use std::time::Duration;

use pondwalk_types::DataCentreId;
use rand::Rng;

use crate::{
    intern::{ServerIx, VersionIx},
    tuning::{
        FULL_SCAN_SERVERS, LOAD_HALF_LIFE, PREFIX_SAVING, REMOTE_PENALTY_MS, SAMPLED_SERVERS,
        SERVER_BACKOFF, SERVER_BACKOFF_LIMIT,
    },
};

/// What one process knows of one server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Where it is.
    pub data_centre: DataCentreId,
    /// What it hosts.
    pub versions: Vec<VersionIx>,
    /// Requests it runs at a time.
    pub slots: u32,
    /// Whether it may get new work.
    pub open: bool,
    /// Requests this process has under way there.
    own: u32,
    /// Load reported by others' requests, at the time of the report.
    others: f64,
    reported: Duration,
    failures: u32,
    closed_until: Duration,
    hash: u64,
    local: bool,
}

/// All servers, indexed by the versions that they host.
#[derive(Debug, Default)]
pub struct Servers {
    servers: Vec<Option<Server>>,
    by_version: Vec<Vec<ServerIx>>,
    home: DataCentreId,
}

/// What the choice of a server takes into account.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// What has to run.
    pub version: VersionIx,
    /// Mean service time of the version, in milliseconds.
    pub service_ms: f64,
    /// Fingerprint of the prompt's cacheable prefix.
    pub prefix: Option<u64>,
    /// Servers that have already refused or failed the request.
    pub avoid: &'a [ServerIx],
}

impl Servers {
    /// Names the data centre that is near.
    pub fn set_home(&mut self, home: &str) {
        self.home = home.to_owned();
    }

    /// Adds a server, or replaces what is known of it; own counts stay.
    pub fn put(&mut self, ix: ServerIx, data_centre: &str, versions: Vec<VersionIx>, slots: u32) {
        if self.servers.len() <= ix {
            self.servers.resize_with(ix + 1, || None);
        }
        let own = self.servers[ix].as_ref().map_or(0, |server| server.own);
        self.unlist(ix);
        for version in &versions {
            self.list_mut(*version).push(ix);
        }
        self.servers[ix] = Some(Server {
            data_centre: data_centre.to_owned(),
            versions,
            slots,
            open: true,
            own,
            others: 0.0,
            reported: Duration::ZERO,
            failures: 0,
            closed_until: Duration::ZERO,
            hash: mix(ix as u64 ^ 0x9e37_79b9_7f4a_7c15),
            local: data_centre == self.home,
        });
    }

    /// What is known of a server.
    pub fn get(&self, ix: ServerIx) -> Option<&Server> {
        self.servers.get(ix)?.as_ref()
    }

    /// Gives a server no new work from now on.
    pub fn close(&mut self, ix: ServerIx) {
        self.unlist(ix);
        if let Some(server) = self.get_mut(ix) {
            server.open = false;
        }
    }

    /// Takes in a load report: `load` requests running and waiting at `now`.
    pub fn report(&mut self, ix: ServerIx, now: Duration, load: u32) {
        if let Some(server) = self.get_mut(ix) {
            server.others = f64::from(load.saturating_sub(server.own));
            server.reported = now;
        }
    }

    /// Notes that a request went there.
    pub fn start(&mut self, ix: ServerIx) {
        if let Some(server) = self.get_mut(ix) {
            server.own += 1;
        }
    }

    /// Notes that a request came back.
    pub fn end(&mut self, ix: ServerIx) {
        if let Some(server) = self.get_mut(ix) {
            server.own = server.own.saturating_sub(1);
        }
    }

    /// Notes that a server answered well.
    pub fn succeeded(&mut self, ix: ServerIx) {
        if let Some(server) = self.get_mut(ix) {
            server.failures = 0;
        }
    }

    /// Leaves a server alone for a while after it failed or could not be reached.
    pub fn failed(&mut self, ix: ServerIx, now: Duration) {
        if let Some(server) = self.get_mut(ix) {
            let pause = SERVER_BACKOFF * 2_u32.pow(server.failures.min(8));
            server.failures += 1;
            // NB: one failure is often the request's own fault; only a second one closes.
            if server.failures > 1 {
                server.closed_until = now + pause.min(SERVER_BACKOFF_LIMIT);
            }
        }
    }

    /// Whether any open server hosts a version.
    pub fn hosts(&self, version: VersionIx) -> bool {
        self.by_version.get(version).is_some_and(|servers| !servers.is_empty())
    }

    /// Chooses a server; also returns the wait expected there, in milliseconds.
    ///
    /// Where every server is being left alone after failures, one of them is tried all the same.
    pub fn choose<R: Rng + ?Sized>(
        &self,
        now: Duration,
        rng: &mut R,
        wanted: Wanted<'_>,
    ) -> Option<(ServerIx, f64)> {
        let servers = self.by_version.get(wanted.version)?;
        let mut best = Best::new(Pauses::Respect);
        if servers.len() > FULL_SCAN_SERVERS {
            if let Some(prefix) = wanted.prefix {
                best.consider(self, self.home_of(prefix, servers), now, wanted);
            }
            for _ in 0..SAMPLED_SERVERS {
                best.consider(self, servers[rng.random_range(0..servers.len())], now, wanted);
            }
        }
        for pauses in [Pauses::Respect, Pauses::Ignore] {
            if best.found.is_none() {
                best = Best::new(pauses);
                servers.iter().for_each(|ix| best.consider(self, *ix, now, wanted));
            }
        }
        best.found
    }

    /// Expected wait for a version, from a small sample, in milliseconds.
    pub fn expected_wait_ms(&self, now: Duration, version: VersionIx, service_ms: f64) -> f64 {
        let Some(servers) = self.by_version.get(version) else {
            return f64::INFINITY;
        };
        let step = (servers.len() / SAMPLED_SERVERS).max(1);
        let sample = servers.iter().step_by(step).take(SAMPLED_SERVERS);
        let sample = sample.filter_map(|ix| self.get(*ix));
        let waits = sample.map(|server| {
            let pause = server.closed_until.saturating_sub(now).as_secs_f64() * 1e3;
            (pause > 0.0, server.wait_ms(now, service_ms))
        });
        // NB: a server left alone counts only if there is no other; `false` sorts before `true`.
        let least = waits.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        least.map_or(f64::INFINITY, |(_, wait_ms)| wait_ms)
    }

    /// The server that a prefix's cache is most likely on.
    ///
    /// NB: two hash probes and the better of them stand in for a full rendezvous hash, which
    /// would read every server.
    fn home_of(&self, prefix: u64, servers: &[ServerIx]) -> ServerIx {
        let first = servers[(mix(prefix) % servers.len() as u64) as usize];
        let second = servers[(mix(prefix ^ u64::MAX) % servers.len() as u64) as usize];
        let weight = |ix: ServerIx| self.get(ix).map_or(0, |server| mix(server.hash ^ prefix));
        if weight(first) >= weight(second) { first } else { second }
    }

    fn get_mut(&mut self, ix: ServerIx) -> Option<&mut Server> {
        self.servers.get_mut(ix)?.as_mut()
    }

    fn list_mut(&mut self, version: VersionIx) -> &mut Vec<ServerIx> {
        if self.by_version.len() <= version {
            self.by_version.resize_with(version + 1, Vec::new);
        }
        &mut self.by_version[version]
    }

    fn unlist(&mut self, ix: ServerIx) {
        self.by_version.iter_mut().for_each(|servers| servers.retain(|other| *other != ix));
    }
}

impl Server {
    /// Requests expected there now: own ones exactly, others' fading with the report's age.
    fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.reported).as_secs_f64();
        let fade = 1.0 / (1.0 + age / LOAD_HALF_LIFE.as_secs_f64());
        f64::from(self.own) + self.others * fade
    }

    fn wait_ms(&self, now: Duration, service_ms: f64) -> f64 {
        let excess = self.load(now) + 1.0 - f64::from(self.slots);
        excess.max(0.0) * service_ms / f64::from(self.slots.max(1))
    }
}

/// Whether servers are passed over that are being left alone after failures.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pauses {
    Respect,
    Ignore,
}

struct Best {
    pauses: Pauses,
    found: Option<(ServerIx, f64)>,
    score: f64,
}

impl Best {
    fn new(pauses: Pauses) -> Self {
        Best { pauses, found: None, score: f64::INFINITY }
    }

    fn consider(&mut self, servers: &Servers, ix: ServerIx, now: Duration, wanted: Wanted<'_>) {
        let Some(server) = servers.get(ix) else {
            return;
        };
        let paused = server.closed_until > now && self.pauses == Pauses::Respect;
        if !server.open || paused || wanted.avoid.contains(&ix) {
            return;
        }
        let wait_ms = server.wait_ms(now, wanted.service_ms);
        let busy = server.load(now) / f64::from(server.slots.max(1));
        // NB: batches slow down as they fill, so emptier servers are a little better.
        let mut score = wait_ms + 0.05 * busy * wanted.service_ms;
        if !server.local {
            score += REMOTE_PENALTY_MS;
        }
        if let Some(prefix) = wanted.prefix {
            let rank = mix(server.hash ^ prefix) as f64 / u64::MAX as f64;
            score += (1.0 - rank) * PREFIX_SAVING * 0.5 * wanted.service_ms;
        }
        if self.found.is_none() || score < self.score {
            self.found = Some((ix, wait_ms));
            self.score = score;
        }
    }
}

/// A finaliser that spreads the bits of a number (splitmix64: Steele et al., 2014).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
