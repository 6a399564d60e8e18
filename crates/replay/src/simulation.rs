//! Discrete-event simulation of a trace: events in virtual time, servers with slots, and requests
//! from arrival to answer.

mod accounting;
mod changes;
mod fleet;
mod requests;
mod runs;
mod setup;

use std::{collections::HashMap, time::Duration};

use pondwalk_config::ReplaySettings;
use pondwalk_decide::ServerReport;
use pondwalk_types::{Generation, Policy};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::{
    driver::{Driver, PolicyName},
    events::{Event, EventQueue, RequestIx},
    report::Report,
    trace::{Trace, TraceError, TraceEvent},
};
use accounting::{RequestState, Run, Sessions};
use fleet::Fleet;

/// Replays a trace under a policy.
///
/// `file` names the trace in errors. Returns [`TraceError::Line`] if the trace names a version
/// without a price.
pub fn replay(
    file: &str,
    trace: &Trace,
    settings: &ReplaySettings,
    policy: PolicyName,
    seed: u64,
) -> Result<Report, TraceError> {
    let start = setup::starting_policy(file, trace, settings)?;
    let mut simulation = Simulation::new(trace, settings, start, policy, seed);
    simulation.run();
    Ok(simulation.into_report())
}

struct Simulation<'a> {
    trace: &'a Trace,
    settings: &'a ReplaySettings,
    policy: Policy,
    generation: Generation,
    driver: Driver,
    /// Random source that selects the answers to be rated; separate from the policy's, so that both
    /// sequences are independent.
    sampling: Pcg64Mcg,
    events: EventQueue,
    fleet: Fleet,
    requests: Vec<RequestState<'a>>,
    runs: Vec<Run>,
    sessions: Sessions<'a>,
    claims: HashMap<(&'a str, &'a str), RequestIx>,
    rating_available: bool,
    store_available: bool,
    report: Report,
}

impl<'a> Simulation<'a> {
    fn new(
        trace: &'a Trace,
        settings: &'a ReplaySettings,
        policy: Policy,
        name: PolicyName,
        seed: u64,
    ) -> Self {
        let mut driver = Driver::new(name, seed);
        driver.install(1, &policy);
        driver.prepare_oracle(trace, &policy);
        let mut events = EventQueue::default();
        for (index, line) in trace.lines.iter().enumerate() {
            events.push(line.at, Event::Line(index));
        }
        let report = Report { policy: name.name(), seed, ..Report::default() };
        Simulation {
            trace,
            settings,
            policy,
            generation: 1,
            driver,
            sampling: Pcg64Mcg::seed_from_u64(seed),
            events,
            fleet: Fleet::new(settings.queue),
            requests: Vec::new(),
            runs: Vec::new(),
            sessions: Sessions::default(),
            claims: HashMap::new(),
            rating_available: true,
            store_available: true,
            report,
        }
    }

    fn run(&mut self) {
        while let Some((now, event)) = self.events.pop() {
            match event {
                Event::Line(index) => self.apply_line(now, index),
                Event::LeavingListed(server) => self.on_leaving_listed(now, server),
                Event::RunEnded(run) => self.on_run_ended(now, run),
                Event::Rating(run) => self.on_rating(now, run),
                Event::RatingTimeout(run) => self.on_rating_timeout(now, run),
                Event::DeliverFallback(run) => self.deliver_fallback(now, run),
            }
        }
    }

    fn into_report(mut self) -> Report {
        for version in self.report.exposed_requests.keys() {
            let tripped = self.driver.tripped(version);
            self.report.tripped_at.insert(version.clone(), tripped);
        }
        let escalations = self.driver.router().map(|router| router.counters().escalations);
        if let Some(escalations) = escalations {
            debug_assert_eq!(escalations, self.report.total.escalations);
        }
        self.report
    }

    fn apply_line(&mut self, now: Duration, index: usize) {
        let trace = self.trace;
        match &trace.lines[index].event {
            TraceEvent::Request(request) => self.on_request(now, request),
            TraceEvent::Server { server, data_centre, versions, slots } => {
                self.fleet.add_or_update(server, *slots);
                let report = ServerReport {
                    server: server.clone(),
                    data_centre: data_centre.clone(),
                    versions: versions.clone(),
                    slots: *slots,
                    load: None,
                };
                self.driver.update_server(now, &report);
            }
            TraceEvent::Leaving(server) => {
                if let Some(server) = self.fleet.find(server) {
                    self.fleet.get_mut(server).leaving_since = Some(now);
                    let listed_at = now + self.settings.instance_list_lag;
                    self.events.push(listed_at, Event::LeavingListed(server));
                }
            }
            TraceEvent::Gone(server) => self.remove_server(now, server),
            TraceEvent::RollOut { version, replaces } => self.roll_out(version, replaces),
            TraceEvent::Withdraw(version) => self.withdraw(now, version),
            TraceEvent::Allow { workspace, versions } => {
                if let Some(workspace) = self.policy.workspaces.get_mut(workspace) {
                    workspace.allowed_versions = versions.iter().cloned().collect();
                }
                self.install();
            }
            TraceEvent::Rating(up) => self.rating_available = *up,
            TraceEvent::Store(up) => self.store_available = *up,
        }
    }
}
