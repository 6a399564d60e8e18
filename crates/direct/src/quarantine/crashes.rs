//! Server crashes observed by this entry: those of one moment are evaluated together, then
//! published.

use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

use pondwalk_decide::direct::{
    CorrelatedCrashes, CrashAfterRun, CrashedRequest, Evidence, FeatureHash, InFlight, ServerCrash,
    crash_id, server_hash,
};
use pondwalk_types::{RequestId, ServerId, VersionId};
use tokio::{sync::Notify, task::spawn_local, time::sleep};

use super::{AgedCrash, QuarantineEvent};
use crate::{
    catalog::ServiceId,
    core::Core,
    event_log::LogPriority,
    membership::Gossip,
    metrics::Counter,
    placement::Placement,
    request::Job,
    state::State,
    upstream::{ListenerState, check_listener},
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
/// Crashes under one feature that count as evidence about the servers' versions. A feature that
/// crashes every server yields no further evidence, and a version whose servers crash under any
/// request is detected by features that succeed elsewhere.
const MAX_CRASHES_AS_EVIDENCE: usize = 2;

/// A crash with the data needed to evaluate it.
#[derive(Debug)]
struct ObservedCrash {
    /// The crash under each feature that may be the cause.
    crashes: Vec<ServerCrash>,
    at: Duration,
    service: ServiceId,
    server: ServerId,
    /// Id of the request.
    request: RequestId,
    /// What it says about the server's version; `None` if nothing.
    evidence: Option<VersionEvidence>,
    /// Whether a feature that has crashed other servers explains it.
    is_explained: bool,
}

/// Evidence of a crash about a version.
#[derive(Debug)]
struct VersionEvidence {
    version: VersionId,
    /// Kind of the request.
    kind: String,
}

impl ObservedCrash {
    fn on_probe(&self) -> bool {
        self.crashes.iter().any(|crash| crash.on_probe)
    }

    /// Whether most of the simultaneous crashes have another cause.
    fn is_exonerated(&self, loss: &CorrelatedCrashes, servers: usize) -> bool {
        self.crashes.iter().any(|crash| loss.exonerates(crash.feature, servers))
    }
}

/// Crashes observed within [`CORRELATION_WINDOW`] and not published yet.
#[derive(Debug, Default)]
pub struct ObservedCrashes {
    crashes: RefCell<Vec<ObservedCrash>>,
    loss: RefCell<CorrelatedCrashes>,
    changed: Notify,
}

/// Publishes observed crashes for as long as the process runs.
pub async fn publish_crashes(core: Rc<Core>) {
    loop {
        core.observed_crashes.changed.notified().await;
        if core.observed_crashes.crashes.borrow().is_empty() {
            continue;
        }
        sleep(CORRELATION_WINDOW).await;
        let observed = core.observed_crashes.crashes.take();
        let loss = core.observed_crashes.loss.take();
        let core = Rc::clone(&core);
        spawn_local(async move { core.publish_crashes_of(observed, loss).await });
    }
}

impl Core {
    /// Records that a server dropped the connection, possibly by crashing, while it ran the
    /// request.
    pub fn record_server_crash(&self, job: &Job, placement: &Placement, probed: &[FeatureHash]) {
        let now = self.clock.now();
        let server = placement.server();
        let numbers = [self.incarnation, now.as_nanos() as u64];
        let id = crash_id(&[&self.settings.name, server, &job.id], &numbers);
        let (features, server_hash) = (job.features(), server_hash(server));
        let elapsed = placement.elapsed();
        let crashed = CrashedRequest { features, probed, elapsed, id, server: server_hash };
        let mut state = self.state.borrow_mut();
        let is_explained = state.quarantine.max_crash_count(features) >= MAX_CRASHES_AS_EVIDENCE;
        let crashes = state.quarantine.observe_crash(crashed, now);
        let named: Vec<FeatureHash> = crashes.iter().map(|crash| crash.feature).collect();
        let is_explained =
            is_explained || state.quarantine.max_crash_count(&named) > MAX_CRASHES_AS_EVIDENCE;
        drop(state);
        let evidence =
            VersionEvidence { version: placement.version.clone(), kind: placement.kind() };
        self.collect_crash(ObservedCrash {
            crashes,
            at: now,
            service: placement.service().clone(),
            server: server.clone(),
            request: job.id.clone(),
            evidence: Some(evidence),
            is_explained,
        });
    }

    /// Records that a server was found to have crashed after runs of this entry had ended there.
    /// Returns whether any of these may be the cause.
    pub(super) fn record_unnoticed_crash(&self, server_hash: u64) -> bool {
        let now = self.clock.now();
        let after_runs = self.observe_crash_after_runs(server_hash, InFlight::NOTHING, now);
        let is_new = !after_runs.is_empty();
        for after_run in after_runs {
            let CrashAfterRun { run, .. } = &after_run;
            let evidence = VersionEvidence { version: run.version.clone(), kind: run.kind.clone() };
            self.collect_crash_after_run(after_run, now, Some(evidence));
        }
        is_new
    }

    /// Records that a server crashed at `at`, as another entry reports, shortly after runs of this
    /// entry had ended there. The other entry records the evidence about the version.
    pub(super) fn record_crash_after_runs(
        &self,
        server_hash: u64,
        in_flight: InFlight<'_>,
        at: Duration,
    ) {
        for after_run in self.observe_crash_after_runs(server_hash, in_flight, at) {
            self.collect_crash_after_run(after_run, at, None);
        }
    }

    fn observe_crash_after_runs(
        &self,
        server_hash: u64,
        in_flight: InFlight<'_>,
        at: Duration,
    ) -> Vec<CrashAfterRun> {
        let now = self.clock.now();
        let numbers = [self.incarnation, now.as_nanos() as u64, server_hash];
        let id = crash_id(&[&self.settings.name], &numbers);
        let mut state = self.state.borrow_mut();
        state.quarantine.observe_crash_after_runs(server_hash, in_flight, id, at, now)
    }

    fn collect_crash_after_run(
        &self,
        CrashAfterRun { run, crashes }: CrashAfterRun,
        at: Duration,
        evidence: Option<VersionEvidence>,
    ) {
        let crash_count = self.state.borrow().quarantine.max_crash_count(&run.features);
        self.collect_crash(ObservedCrash {
            crashes,
            at,
            service: Rc::clone(&run.service),
            server: run.server.clone(),
            request: run.request.clone(),
            evidence,
            is_explained: crash_count > MAX_CRASHES_AS_EVIDENCE,
        });
    }

    /// Adds a crash to those of the current window.
    fn collect_crash(&self, observed: ObservedCrash) {
        for crash in &observed.crashes {
            self.log_if_quarantined(crash.feature);
            self.queue_clearance(crash.feature);
            self.observed_crashes.loss.borrow_mut().record(crash.feature, &observed.server);
        }
        self.observed_crashes.crashes.borrow_mut().push(observed);
        self.observed_crashes.changed.notify_one();
    }

    /// Evaluates the crashes of one window together and publishes them.
    async fn publish_crashes_of(&self, observed: Vec<ObservedCrash>, loss: CorrelatedCrashes) {
        let mut published: Vec<Vec<AgedCrash>> = Vec::with_capacity(observed.len());
        self.record_version_evidence(&observed, &loss);
        for observed in observed {
            let reported = self.evaluate_crash(&loss, &observed).await;
            let age = self.clock.now().saturating_sub(observed.at);
            published.push(reported.into_iter().map(|crash| (crash, age)).collect());
        }
        // The crashes of one request stay together, so that receivers can compare its features.
        let mut batch: Vec<AgedCrash> = Vec::new();
        let mut sent = 0;
        for crashes in published {
            if sent + crashes.len() > MAX_PUBLISHED_CRASHES {
                self.metrics.count_many(Counter::CrashesNotReported, crashes.len());
                continue;
            }
            if batch.len() + crashes.len() > MAX_CRASHES_PER_MESSAGE {
                self.publish_gossip(Gossip::Ended { ends: std::mem::take(&mut batch) });
            }
            sent += crashes.len();
            batch.extend(crashes);
        }
        if !batch.is_empty() {
            self.publish_gossip(Gossip::Ended { ends: batch });
        }
    }

    /// Marks the crashes of one request that are part of a common loss.
    async fn evaluate_crash(
        &self,
        loss: &CorrelatedCrashes,
        observed: &ObservedCrash,
    ) -> Vec<ServerCrash> {
        let servers = self.server_count(&observed.service);
        // A probe runs alone, so this entry may have had no requests at the other servers.
        let are_others_lost = !observed.is_exonerated(loss, servers)
            && observed.on_probe()
            && self.are_others_unreachable(observed).await;
        let mut crashes = observed.crashes.clone();
        let now = self.clock.now();
        for crash in &mut crashes {
            crash.in_common_loss =
                are_others_lost && crash.on_probe || loss.exonerates(crash.feature, servers);
            if crash.in_common_loss {
                self.state.borrow_mut().quarantine.record_crash(*crash, observed.at, now);
            }
        }
        crashes
    }

    fn server_count(&self, service: &ServiceId) -> usize {
        self.state.borrow().fleets.get(service).map_or(0, |fleet| fleet.count())
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
        for crash in observed.iter().filter(|crash| crash.evidence.is_some()) {
            let known = fleets.get(&crash.service).map_or(0, |fleet| fleet.count());
            let has_cause = crash.is_explained || crash.is_exonerated(loss, known);
            let evidence = servers.entry(&crash.server).or_insert(Some(crash));
            if has_cause {
                *evidence = None;
            }
        }
        let mut tripped = Vec::new();
        for crash in servers.into_values().flatten() {
            let Some(VersionEvidence { version, kind }) = &crash.evidence else { continue };
            let Some(roll_out) = roll_outs.get_mut(&crash.service) else { continue };
            let evidence = Evidence {
                kind,
                server: &crash.server,
                failed: true,
                is_cached: false,
                slowness: 0.0,
            };
            if roll_out.record_answer(version, &evidence, now) {
                tripped.push((crash, version));
            }
        }
        drop(state);
        for (ObservedCrash { request, service, .. }, version) in tripped {
            let event = QuarantineEvent::VersionTripped { request, service, version };
            self.event_log.record(LogPriority::State, &event);
        }
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
            if check_listener(&self.connect, *address).await == ListenerState::Accepts {
                return false;
            }
        }
        !others.is_empty()
    }
}
