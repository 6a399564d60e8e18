//! Backend servers as one process sees them, and the choice among those that host a version.
//!
//! Servers are indexed by version. Up to [`MAX_FULL_SCAN_SERVERS`] are all compared. Above that,
//! random samples (the power of d choices: Mitzenmacher, 2001) are compared with the server
//! preferred for the prompt's prefix, so that the cost of a choice is independent of the size of
//! the fleet.

use std::time::Duration;

use pondwalk_types::DataCentreId;
use rand::Rng;

use crate::{
    intern::{ServerIx, VersionIx},
    tuning::{
        INITIAL_FAILURE_BACKOFF, LOAD_HALF_LIFE, MAX_FAILURE_BACKOFF, MAX_FULL_SCAN_SERVERS,
        MAX_PREFIX_SAVING, REMOTE_PENALTY_MS, SAMPLED_SERVERS,
    },
};

/// The state of one server as seen by this process.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Versions that it hosts.
    pub versions: Vec<VersionIx>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new work.
    pub active: bool,
    /// Requests that this process has in flight there.
    own_requests: u32,
    /// Requests of other processes, at the time of the last load report.
    other_requests: f64,
    load_reported_at: Duration,
    failures: u32,
    backoff_until: Duration,
    hash: u64,
    is_local: bool,
}

/// All servers, indexed by the versions that they host.
#[derive(Debug, Default)]
pub struct Servers {
    servers: Vec<Option<Server>>,
    by_version: Vec<Vec<ServerIx>>,
    local_data_centre: DataCentreId,
}

/// Inputs of the choice of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerQuery<'a> {
    /// The version to run.
    pub version: VersionIx,
    /// Mean service time of the version, in milliseconds.
    pub service_ms: f64,
    /// Hash of the prompt's cacheable prefix.
    pub prefix: Option<u64>,
    /// Servers that refused or failed the request before.
    pub avoided_servers: &'a [ServerIx],
}

impl Servers {
    /// Sets the data centre of this process.
    pub fn set_local_data_centre(&mut self, local_data_centre: &str) {
        self.local_data_centre = local_data_centre.to_owned();
    }

    /// Adds or replaces a server; the count of own in-flight requests is kept.
    pub fn insert(
        &mut self,
        ix: ServerIx,
        data_centre: &str,
        versions: Vec<VersionIx>,
        slots: u32,
    ) {
        if self.servers.len() <= ix {
            self.servers.resize_with(ix + 1, || None);
        }
        let own_requests = self.servers[ix].as_ref().map_or(0, |server| server.own_requests);
        self.remove_from_hosts(ix);
        for version in &versions {
            self.hosts_mut(*version).push(ix);
        }
        self.servers[ix] = Some(Server {
            data_centre: data_centre.to_owned(),
            versions,
            slots,
            active: true,
            own_requests,
            other_requests: 0.0,
            load_reported_at: Duration::ZERO,
            failures: 0,
            backoff_until: Duration::ZERO,
            hash: mix(ix as u64 ^ 0x9e37_79b9_7f4a_7c15),
            is_local: data_centre == self.local_data_centre,
        });
    }

    /// The state of a server, if it is known.
    pub fn get(&self, ix: ServerIx) -> Option<&Server> {
        self.servers.get(ix)?.as_ref()
    }

    /// Excludes a server from further choices until it is inserted again.
    pub fn deactivate(&mut self, ix: ServerIx) {
        self.remove_from_hosts(ix);
        if let Some(server) = self.get_mut(ix) {
            server.active = false;
        }
    }

    /// Applies a load report: `load` requests running and waiting at `now`.
    pub fn record_load(&mut self, ix: ServerIx, now: Duration, load: u32) {
        if let Some(server) = self.get_mut(ix) {
            server.other_requests = f64::from(load.saturating_sub(server.own_requests));
            server.load_reported_at = now;
        }
    }

    /// Records that a request was sent to the server.
    pub fn record_start(&mut self, ix: ServerIx) {
        if let Some(server) = self.get_mut(ix) {
            server.own_requests += 1;
        }
    }

    /// Records that a request at the server ended.
    pub fn record_end(&mut self, ix: ServerIx) {
        if let Some(server) = self.get_mut(ix) {
            server.own_requests = server.own_requests.saturating_sub(1);
        }
    }

    /// Records a successful answer; resets the count of failures in a row.
    pub fn record_success(&mut self, ix: ServerIx) {
        if let Some(server) = self.get_mut(ix) {
            server.failures = 0;
        }
    }

    /// Records a failure; repeated failures start an exponential backoff.
    pub fn record_failure(&mut self, ix: ServerIx, now: Duration) {
        if let Some(server) = self.get_mut(ix) {
            let backoff = INITIAL_FAILURE_BACKOFF * 2_u32.pow(server.failures.min(8));
            server.failures += 1;
            // NB: a single failure is often caused by the request itself, so it starts no backoff.
            if server.failures > 1 {
                server.backoff_until = now + backoff.min(MAX_FAILURE_BACKOFF);
            }
        }
    }

    /// Whether any active server hosts a version.
    pub fn is_hosted(&self, version: VersionIx) -> bool {
        self.by_version.get(version).is_some_and(|servers| !servers.is_empty())
    }

    /// Chooses a server; also returns the expected wait there, in milliseconds.
    ///
    /// If all servers are in backoff, the backoff is ignored.
    pub fn choose<R: Rng + ?Sized>(
        &self,
        now: Duration,
        rng: &mut R,
        query: ServerQuery<'_>,
    ) -> Option<(ServerIx, f64)> {
        let servers = self.by_version.get(query.version)?;
        let mut best = BestServer::new(BackoffFilter::Skip);
        if servers.len() > MAX_FULL_SCAN_SERVERS {
            if let Some(prefix) = query.prefix {
                best.consider(self, self.preferred_server(prefix, servers), now, query);
            }
            for _ in 0..SAMPLED_SERVERS {
                best.consider(self, servers[rng.random_range(0..servers.len())], now, query);
            }
        }
        for filter in [BackoffFilter::Skip, BackoffFilter::Include] {
            if best.candidate.is_none() {
                best = BestServer::new(filter);
                servers.iter().for_each(|ix| best.consider(self, *ix, now, query));
            }
        }
        best.candidate
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
            let backoff = server.backoff_until.saturating_sub(now).as_secs_f64() * 1e3;
            (backoff > 0.0, server.wait_ms(now, service_ms))
        });
        // NB: servers in backoff count only if there is no other; `false` sorts before `true`.
        let min_wait = waits.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        min_wait.map_or(f64::INFINITY, |(_, wait_ms)| wait_ms)
    }

    /// The server that most likely has the prefix in its cache.
    ///
    /// NB: approximates rendezvous hashing by the better of two hash probes, because full
    /// rendezvous hashing would read every server.
    fn preferred_server(&self, prefix: u64, servers: &[ServerIx]) -> ServerIx {
        let first = servers[(mix(prefix) % servers.len() as u64) as usize];
        let second = servers[(mix(prefix ^ u64::MAX) % servers.len() as u64) as usize];
        let weight = |ix: ServerIx| self.get(ix).map_or(0, |server| mix(server.hash ^ prefix));
        if weight(first) >= weight(second) { first } else { second }
    }

    fn get_mut(&mut self, ix: ServerIx) -> Option<&mut Server> {
        self.servers.get_mut(ix)?.as_mut()
    }

    fn hosts_mut(&mut self, version: VersionIx) -> &mut Vec<ServerIx> {
        if self.by_version.len() <= version {
            self.by_version.resize_with(version + 1, Vec::new);
        }
        &mut self.by_version[version]
    }

    fn remove_from_hosts(&mut self, ix: ServerIx) {
        self.by_version.iter_mut().for_each(|servers| servers.retain(|other| *other != ix));
    }
}

impl Server {
    /// Estimated number of requests: own ones exactly, others decayed by the age of the report.
    fn load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_reported_at).as_secs_f64();
        let decay = 1.0 / (1.0 + age / LOAD_HALF_LIFE.as_secs_f64());
        f64::from(self.own_requests) + self.other_requests * decay
    }

    fn wait_ms(&self, now: Duration, service_ms: f64) -> f64 {
        let excess = self.load(now) + 1.0 - f64::from(self.slots);
        excess.max(0.0) * service_ms / f64::from(self.slots.max(1))
    }
}

/// Whether servers in backoff are candidates.
#[derive(Clone, Copy, PartialEq, Eq)]
enum BackoffFilter {
    Skip,
    Include,
}

struct BestServer {
    filter: BackoffFilter,
    candidate: Option<(ServerIx, f64)>,
    score: f64,
}

impl BestServer {
    fn new(filter: BackoffFilter) -> Self {
        BestServer { filter, candidate: None, score: f64::INFINITY }
    }

    fn consider(&mut self, servers: &Servers, ix: ServerIx, now: Duration, query: ServerQuery<'_>) {
        let Some(server) = servers.get(ix) else {
            return;
        };
        let is_backing_off = server.backoff_until > now && self.filter == BackoffFilter::Skip;
        if !server.active || is_backing_off || query.avoided_servers.contains(&ix) {
            return;
        }
        let wait_ms = server.wait_ms(now, query.service_ms);
        let utilisation = server.load(now) / f64::from(server.slots.max(1));
        // NB: batches slow down as they fill, so less loaded servers are slightly preferred.
        let mut score = wait_ms + 0.05 * utilisation * query.service_ms;
        if !server.is_local {
            score += REMOTE_PENALTY_MS;
        }
        if let Some(prefix) = query.prefix {
            let rank = mix(server.hash ^ prefix) as f64 / u64::MAX as f64;
            score += (1.0 - rank) * MAX_PREFIX_SAVING * 0.5 * query.service_ms;
        }
        if self.candidate.is_none() || score < self.score {
            self.candidate = Some((ix, wait_ms));
            self.score = score;
        }
    }
}

/// Mixes the bits of a number: the splitmix64 finaliser (Steele et al., 2014).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
