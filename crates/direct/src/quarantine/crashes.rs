//! Server crashes observed by this entry: those of one moment are evaluated together, then
//! published.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{
    ContentHash, CorrelatedCrashes, CrashId, Evidence, ServerCrash, crash_id, server_hash,
};
use pondwalk_types::{RequestId, ServerId, VersionId};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{AgedCrash, QuarantineEvent};
use crate::{
    catalog::ServiceId, core::Core, event_log::LogPriority, membership::Gossip, metrics::Counter,
    placement::Placement, request::Job, state::State,
};

/// Window in which crashes count as simultaneous. An entry notices a broken connection within
/// milliseconds, under load within tens of milliseconds.
const CORRELATION_WINDOW: Duration = Duration::from_millis(50);
/// Crashes per gossip item, about 50 bytes each.
const MAX_CRASHES_PER_MESSAGE: usize = 256;
/// Maximum number of crashes published per window: several times the requests that an entry has in
/// flight when a data centre of the planned size loses power.
const MAX_PUBLISHED_CRASHES: usize = 1_024;
/// Other servers probed after a crash under a probe. While only a few requests crash servers, it is
/// unlikely that all of the sampled ones are down by chance.
const REACHABILITY_SAMPLE: usize = 4;
/// Connect timeout of such a probe; a connection opens in a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an abandoned run is no longer related to a crash of its server: a cancelled run
/// stops within milliseconds, or finishes soon.
const ABANDONED_RUN_TTL: Duration = Duration::from_secs(1);
/// Maximum number of abandoned runs remembered.
const MAX_ABANDONED_RUNS: usize = 128;
/// Crashes under one content that count as evidence about the servers' versions. A content that
/// crashes every server yields no further evidence, and a version whose servers crash under any
/// content is detected by contents that succeed elsewhere.
const MAX_CRASHES_AS_EVIDENCE: usize = 2;

/// A crash with the data needed to evaluate it.
#[derive(Debug)]
struct ObservedCrash {
    content: ContentHash,
    id: CrashId,
    at: Duration,
    service: ServiceId,
    server: ServerId,
    version: VersionId,
    /// Kind of the request in version evidence.
    kind: String,
    /// Id of the request.
    request: RequestId,
    on_probe: bool,
    /// Crashes that counted against the content before.
    prior_crashes: usize,
    /// Whether the content has succeeded before.
    has_succeeded: bool,
}

/// A run that was abandoned before its outcome was known.
#[derive(Debug)]
struct AbandonedRun {
    content: ContentHash,
    server: ServerId,
    request: RequestId,
    at: Duration,
    on_probe: bool,
}

/// Crashes observed within [`CORRELATION_WINDOW`] and not published yet.
#[derive(Debug, Default)]
pub struct ObservedCrashes {
    crashes: RefCell<Vec<ObservedCrash>>,
    loss: RefCell<CorrelatedCrashes>,
    abandoned: RefCell<VecDeque<AbandonedRun>>,
}

impl ObservedCrashes {
    /// Removes and returns the runs abandoned at a server shortly before it crashed.
    fn drain_abandoned(&self, server: &str, now: Duration) -> VecDeque<AbandonedRun> {
        let mut abandoned = self.abandoned.borrow_mut();
        abandoned.retain(|run| now < run.at + ABANDONED_RUN_TTL);
        let (here, elsewhere) =
            abandoned.drain(..).partition::<VecDeque<AbandonedRun>, _>(|run| run.server == server);
        *abandoned = elsewhere;
        here
    }
}

impl Core {
    /// Records a run that was abandoned at a server, by its caller or in favour of another server.
    ///
    /// Otherwise a caller that always disconnects early would never be related to a crash.
    pub fn record_abandoned_run(&self, job: &Job, server: &ServerId, on_probe: bool) {
        let at = self.clock.now();
        let mut abandoned = self.observed_crashes.abandoned.borrow_mut();
        if abandoned.len() == MAX_ABANDONED_RUNS {
            abandoned.pop_front();
        }
        let (content, server, request) = (job.content(), server.clone(), job.id.clone());
        abandoned.push_back(AbandonedRun { content, server, request, at, on_probe });
    }

    /// Records that a server dropped the connection, possibly by crashing, while it ran the
    /// request.
    pub fn record_server_crash(self: &Rc<Self>, job: &Job, placement: &Placement, on_probe: bool) {
        let now = self.clock.now();
        self.record_crash(job.content(), &job.id, placement, on_probe);
        for run in self.observed_crashes.drain_abandoned(placement.server(), now) {
            self.record_crash(run.content, &run.request, placement, run.on_probe);
        }
    }

    fn record_crash(
        self: &Rc<Self>,
        content: ContentHash,
        request: &RequestId,
        placement: &Placement,
        on_probe: bool,
    ) {
        let now = self.clock.now();
        let server = placement.server();
        let numbers = [self.incarnation, now.as_nanos() as u64];
        let id = crash_id(&[&self.settings.name, server, request], &numbers);
        let crash = ServerCrash {
            content,
            id,
            server: server_hash(server),
            in_common_loss: false,
            on_probe,
        };
        let mut state = self.state.borrow_mut();
        let prior_crashes = state.quarantine.crash_count(content);
        if state.quarantine.record_crash(crash, now, now) {
            state.successful_contents.record_crash(content);
        }
        let has_succeeded = state.successful_contents.is_exempt(content);
        drop(state);
        self.log_if_quarantined(content);
        self.queue_clearance(content);
        self.observed_crashes.loss.borrow_mut().record(content, server);
        let observed = ObservedCrash {
            content,
            id,
            at: now,
            service: placement.service().clone(),
            server: server.clone(),
            version: placement.version.clone(),
            kind: placement.kind(),
            request: request.clone(),
            on_probe,
            prior_crashes,
            has_succeeded,
        };
        let mut crashes = self.observed_crashes.crashes.borrow_mut();
        crashes.push(observed);
        if crashes.len() == 1 {
            let core = Rc::clone(self);
            spawn_local(async move {
                sleep(CORRELATION_WINDOW).await;
                core.publish_crashes().await;
            });
        }
    }

    /// Evaluates the crashes of one window together and publishes them.
    async fn publish_crashes(&self) {
        let observed = self.observed_crashes.crashes.take();
        let loss = self.observed_crashes.loss.take();
        let mut published: Vec<AgedCrash> =
            Vec::with_capacity(observed.len().min(MAX_PUBLISHED_CRASHES));
        self.record_version_evidence(&observed, &loss);
        for crash in observed {
            let in_common_loss = self.is_common_loss(&loss, &crash).await;
            let now = self.clock.now();
            let ObservedCrash { content, id, at, on_probe, ref server, .. } = crash;
            let server = server_hash(server);
            let crash = ServerCrash { content, id, server, in_common_loss, on_probe };
            if in_common_loss {
                self.state.borrow_mut().quarantine.record_crash(crash, at, now);
            }
            published.push((crash, now.saturating_sub(at)));
        }
        let omitted = published.len().saturating_sub(MAX_PUBLISHED_CRASHES);
        self.metrics.count_many(Counter::CrashesNotReported, omitted);
        published.truncate(MAX_PUBLISHED_CRASHES);
        for batch in published.chunks(MAX_CRASHES_PER_MESSAGE) {
            self.publish_gossip(Gossip::Ended { ends: batch.to_vec() });
        }
    }

    /// Records the crashes as evidence about the servers' versions, one per server.
    ///
    /// Excluded are servers that ran a request which has crashed others too: that request is the
    /// likely cause and must not make a good version look bad. Common losses are excluded as well,
    /// since they have another cause.
    fn record_version_evidence(&self, observed: &[ObservedCrash], loss: &CorrelatedCrashes) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { roll_outs, fleets, .. } = &mut *state;
        let mut servers: HashMap<&ServerId, Option<&ObservedCrash>> = HashMap::new();
        for crash in observed {
            let known = fleets.get(&crash.service).map_or(0, |fleet| fleet.count());
            let has_cause = !crash.has_succeeded && crash.prior_crashes >= MAX_CRASHES_AS_EVIDENCE
                || loss.exonerates(crash.content, known);
            let evidence = servers.entry(&crash.server).or_insert(Some(crash));
            if has_cause {
                *evidence = None;
            }
        }
        let mut tripped = Vec::new();
        for crash in servers.into_values().flatten() {
            let Some(roll_out) = roll_outs.get_mut(&crash.service) else { continue };
            let (kind, server) = (crash.kind.as_str(), crash.server.as_str());
            let evidence = Evidence { kind, server, failed: true, slowness: 0.0 };
            if roll_out.record_answer(&crash.version, &evidence, now) {
                tripped.push(crash);
            }
        }
        drop(state);
        for ObservedCrash { request, service, version, .. } in tripped {
            let event = QuarantineEvent::VersionTripped { request, service, version };
            self.event_log.record(LogPriority::State, &event);
        }
    }

    /// Whether other servers were lost at the same moment, so that the request need not be the
    /// cause.
    async fn is_common_loss(&self, loss: &CorrelatedCrashes, crash: &ObservedCrash) -> bool {
        let servers =
            self.state.borrow().fleets.get(&crash.service).map_or(0, |fleet| fleet.count());
        if loss.exonerates(crash.content, servers) {
            return true;
        }
        // A probe runs alone, so this entry may have had no requests at the other servers.
        crash.on_probe && self.are_others_unreachable(crash).await
    }

    /// Whether none of a sample of other servers can be reached.
    async fn are_others_unreachable(&self, crash: &ObservedCrash) -> bool {
        let others = {
            let mut state = self.state.borrow_mut();
            let State { fleets, rng, .. } = &mut *state;
            let fleet = fleets.get(&crash.service);
            fleet.map_or(Vec::new(), |fleet| {
                fleet.sample_other_addresses(&crash.server, REACHABILITY_SAMPLE, rng)
            })
        };
        for address in &others {
            if timeout(CONNECT_TIMEOUT, (self.connect)(*address))
                .await
                .is_ok_and(|open| open.is_ok())
            {
                return false;
            }
        }
        !others.is_empty()
    }
}
