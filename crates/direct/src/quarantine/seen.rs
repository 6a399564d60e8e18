//! Ends of servers that this entry sees: judged together with others of the same moment, then told.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{Content, EndId, Evidence, Loss, ServerEnd, end_id, server_hash};
use pondwalk_types::{RequestId, ServerId, VersionId};
use tokio::{
    task::spawn_local,
    time::{sleep, timeout},
};

use super::{AgedEnd, QuarantineEvent};
use crate::{
    catalog::ServiceId, core::Core, event_log::LogPriority, membership::Gossip, metrics::Counter,
    placement::Placement, request::Job, state::State,
};

/// Time in which servers count as ending at the same moment: a connection that breaks with its server's
/// process is noticed in some milliseconds, by an entry that has much to do in some tens.
const SAME_MOMENT: Duration = Duration::from_millis(50);
/// Ends in one item of news, some 50 bytes each.
const MOST_IN_ITEM: usize = 256;
/// Ends of one moment that an entry tells: what it has aboard when a data centre of the planned size
/// loses power, several times over.
const MOST_TOLD: usize = 1_024;
/// Other servers that are tried when one ended under a probe. That all of them are down by chance, while a
/// few requests end servers, is rare.
const ASKED_OTHERS: usize = 4;
/// Time for one of them to take a connection; one opens in a few milliseconds.
const REACH_LIMIT: Duration = Duration::from_millis(100);
/// Time after which a request that was left says nothing of how its server ended: one that is told to
/// stop does so in some milliseconds, or is over soon.
const LEFT_TIME: Duration = Duration::from_secs(1);
/// Such requests that are remembered.
const MOST_LEFT: usize = 128;
/// Ends under one content that count as evidence about the versions of the servers. One that ends every
/// server gives no more of it than this, and a version whose servers end under everything is found by
/// the contents that go on well elsewhere.
const ENDS_AS_EVIDENCE: usize = 2;

/// An end, with what is needed to judge it.
#[derive(Debug)]
struct SeenEnd {
    content: Content,
    id: EndId,
    at: Duration,
    service: ServiceId,
    server: ServerId,
    version: VersionId,
    /// Kind of the request, as evidence about versions tells them apart.
    kind: String,
    /// The try.
    request: RequestId,
    on_probe: bool,
    /// Ends that counted against the content before.
    before: usize,
    /// Whether it is known for good ends.
    is_good: bool,
}

/// A request that was left at a server without knowing how its run ended.
#[derive(Debug)]
struct Left {
    content: Content,
    server: ServerId,
    request: RequestId,
    at: Duration,
    on_probe: bool,
}

/// Ends that this entry saw a moment ago and has not told yet.
#[derive(Debug, Default)]
pub struct SeenCrashes {
    ends: RefCell<Vec<SeenEnd>>,
    loss: RefCell<Loss>,
    left: RefCell<VecDeque<Left>>,
}

impl SeenCrashes {
    /// Takes out the requests that were left at a server shortly before it ended.
    fn take_left(&self, server: &str, now: Duration) -> VecDeque<Left> {
        let mut left = self.left.borrow_mut();
        left.retain(|one| now < one.at + LEFT_TIME);
        let (here, elsewhere) =
            left.drain(..).partition::<VecDeque<Left>, _>(|one| one.server == server);
        *left = elsewhere;
        here
    }
}

impl Core {
    /// A request was left at a server, by its caller or for another server, before its run was over.
    ///
    /// NB: whoever leaves early each time would not be there when the server ends.
    pub fn record_abandoned_run(&self, job: &Job, server: &ServerId, on_probe: bool) {
        let at = self.clock.now();
        let mut left = self.seen_crashes.left.borrow_mut();
        if left.len() == MOST_LEFT {
            left.pop_front();
        }
        let (content, server, request) = (job.content(), server.clone(), job.id.clone());
        left.push_back(Left { content, server, request, at, on_probe });
    }

    /// A server broke off all connections, or at least this one, while it had the request.
    pub fn record_server_crash(self: &Rc<Self>, job: &Job, placement: &Placement, on_probe: bool) {
        let now = self.clock.now();
        self.note_end_under(job.content(), &job.id, placement, on_probe);
        for left in self.seen_crashes.take_left(placement.server(), now) {
            self.note_end_under(left.content, &left.request, placement, left.on_probe);
        }
    }

    fn note_end_under(
        self: &Rc<Self>,
        content: Content,
        request: &RequestId,
        placement: &Placement,
        on_probe: bool,
    ) {
        let now = self.clock.now();
        let server = placement.server();
        let numbers = [self.incarnation, now.as_nanos() as u64];
        let id = end_id(&[&self.settings.name, server, request], &numbers);
        let end =
            ServerEnd { content, id, server: server_hash(server), in_common_loss: false, on_probe };
        let mut state = self.state.borrow_mut();
        let before = state.quarantine.ends(content);
        if state.quarantine.note_end(end, now, now) {
            state.good_contents.note_end(content);
        }
        let is_good = state.good_contents.holds(content);
        drop(state);
        self.note_if_held(content);
        self.speak_for(content);
        self.seen_crashes.loss.borrow_mut().note(content, server);
        let seen = SeenEnd {
            content,
            id,
            at: now,
            service: placement.service().clone(),
            server: server.clone(),
            version: placement.version.clone(),
            kind: placement.kind(),
            request: request.clone(),
            on_probe,
            before,
            is_good,
        };
        let mut ends = self.seen_crashes.ends.borrow_mut();
        ends.push(seen);
        if ends.len() == 1 {
            let core = Rc::clone(self);
            spawn_local(async move {
                sleep(SAME_MOMENT).await;
                core.tell_ends().await;
            });
        }
    }

    /// Judges the ends of one moment together, and tells them.
    async fn tell_ends(&self) {
        let seen = self.seen_crashes.ends.take();
        let loss = self.seen_crashes.loss.take();
        let mut told: Vec<AgedEnd> = Vec::with_capacity(seen.len().min(MOST_TOLD));
        self.note_ends_as_evidence(&seen, &loss);
        for end in seen {
            let in_common_loss = self.is_excused(&loss, &end).await;
            let now = self.clock.now();
            let SeenEnd { content, id, at, on_probe, ref server, .. } = end;
            let server = server_hash(server);
            let end = ServerEnd { content, id, server, in_common_loss, on_probe };
            if in_common_loss {
                self.state.borrow_mut().quarantine.note_end(end, at, now);
            }
            told.push((end, now.saturating_sub(at)));
        }
        let untold = told.len().saturating_sub(MOST_TOLD);
        self.metrics.count_many(Counter::CrashesNotReported, untold);
        told.truncate(MOST_TOLD);
        for ends in told.chunks(MOST_IN_ITEM) {
            self.publish_gossip(Gossip::Ended { ends: ends.to_vec() });
        }
    }

    /// Takes the ends as evidence about the servers' versions: one for each server.
    ///
    /// NB: not where a request was aboard that has ended others too; it is the cause then, and must not
    /// make a good version look bad. Nor in a common loss, which has a cause of its own.
    fn note_ends_as_evidence(&self, seen: &[SeenEnd], loss: &Loss) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State { roll_outs, fleets, .. } = &mut *state;
        let mut servers: HashMap<&ServerId, Option<&SeenEnd>> = HashMap::new();
        for end in seen {
            let known = fleets.get(&end.service).map_or(0, |fleet| fleet.count());
            let has_cause =
                !end.is_good && end.before >= ENDS_AS_EVIDENCE || loss.excuses(end.content, known);
            let evidence = servers.entry(&end.server).or_insert(Some(end));
            if has_cause {
                *evidence = None;
            }
        }
        let mut tripped = Vec::new();
        for end in servers.into_values().flatten() {
            let Some(roll_out) = roll_outs.get_mut(&end.service) else { continue };
            let (kind, server) = (end.kind.as_str(), end.server.as_str());
            let evidence = Evidence { kind, server, failed: true, slowness: 0.0 };
            if roll_out.note(&end.version, &evidence, now) {
                tripped.push(end);
            }
        }
        drop(state);
        for SeenEnd { request, service, version, .. } in tripped {
            let event = QuarantineEvent::VersionTripped { request, service, version };
            self.event_log.record(LogPriority::State, &event);
        }
    }

    /// Whether other servers ended at the same moment, so that the request need not be the cause.
    async fn is_excused(&self, loss: &Loss, end: &SeenEnd) -> bool {
        let servers = self.state.borrow().fleets.get(&end.service).map_or(0, |fleet| fleet.count());
        if loss.excuses(end.content, servers) {
            return true;
        }
        // NB: a probe runs alone, so this entry may have had nothing aboard of the others.
        end.on_probe && self.others_are_lost(end).await
    }

    /// Whether none of a few other servers can be reached.
    async fn others_are_lost(&self, end: &SeenEnd) -> bool {
        let others = {
            let mut state = self.state.borrow_mut();
            let State { fleets, rng, .. } = &mut *state;
            let fleet = fleets.get(&end.service);
            fleet.map_or(Vec::new(), |fleet| fleet.some_others(&end.server, ASKED_OTHERS, rng))
        };
        for address in &others {
            if timeout(REACH_LIMIT, (self.connect)(*address)).await.is_ok_and(|open| open.is_ok()) {
                return false;
            }
        }
        !others.is_empty()
    }
}
