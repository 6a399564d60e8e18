//! Requests that end servers: what this entry sees of them, tells the others, and lets run.
//!
//! An end counts here at once. It is told to all others after a moment, in which other servers may end
//! too: what ends several servers that it did not run on is not the request. A good end is told as well.

mod ask;
mod report;
mod stored;

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::Duration,
};

use pondwalk_decide::direct::{
    Content, EndId, Evidence, Grant, Loss, Probe, ServerEnd, Standing, end_id, server_hash,
};
use pondwalk_types::{RequestId, ServerId, VersionId};
use tokio::{
    sync::Notify,
    task::spawn_local,
    time::{sleep, timeout},
};

pub use report::QuarantineEvent;
pub use stored::{MOST_STORED, QUARANTINE_KEY, StoredQuarantine};

use crate::{
    catalog::ServiceId,
    content::content_text,
    core::Core,
    journal::Rank,
    membership::News,
    metrics::Counter,
    placement::Placement,
    request::{Job, Refusal},
    state::State,
};

/// Time in which servers count as ending at the same moment: a connection that breaks with its server's
/// process is noticed in some milliseconds, by an entry that has much to do in some tens.
const SAME_MOMENT: Duration = Duration::from_millis(50);
/// Ends in one item of news, some 50 bytes each.
const MOST_IN_ITEM: usize = 256;
/// Ends of one moment that an entry tells: what it has aboard when a data centre of the planned size
/// loses power, several times over.
const MOST_TOLD: usize = 1_024;
/// Ends that an entry tells another which has heard nothing from it before.
const MOST_IN_SUMMARY: usize = 1_024;
/// Time after the start in which no probe is granted where others could have granted one: those that
/// were under way when the process ended before are over then, or known to have ended a server.
const SETTLING: Duration = Duration::from_secs(5);
/// Other servers that are tried when one ended under a probe. That all of them are down by chance, while a
/// few requests end servers, is rare.
const ASKED_OTHERS: usize = 4;
/// Time for one of them to take a connection; one opens in a few milliseconds.
const REACH_LIMIT: Duration = Duration::from_millis(100);
/// Turns over which entries spread their word for a content that came to a good end there.
const SPEAKERS: usize = 10;
/// Time between two of them.
const SPEAK_INTERVAL: Duration = Duration::from_millis(30);
/// Time after which a request that was left says nothing of how its server ended: one that is told to
/// stop does so in some milliseconds, or is over soon.
const LEFT_TIME: Duration = Duration::from_secs(1);
/// Such requests that are remembered.
const MOST_LEFT: usize = 128;
/// Ends under one content that count as evidence about the versions of the servers. One that ends every
/// server gives no more of it than this, and a version whose servers end under everything is found by
/// the contents that go on well elsewhere.
const ENDS_AS_EVIDENCE: usize = 2;
/// Time beyond its deadline for which a probe may be under way.
const LEASE_SLACK: Duration = Duration::from_secs(1);

/// One end with the time since it was seen.
pub type AgedEnd = (ServerEnd, Duration);

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

/// Clears contents that others hold and that came to a good end here, for as long as the process runs.
pub async fn speak_for_good_contents(core: Rc<Core>) {
    // NB: many entries may know; the first one's word reaches the others while they wait.
    loop {
        core.seen_ends.has_held.notified().await;
        sleep(SPEAK_INTERVAL * core.roster.spread(SPEAKERS) as u32).await;
        for content in core.seen_ends.held_though_good.take() {
            if core.is_held_though_good(content) {
                core.clear(content);
            }
        }
    }
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
pub struct SeenEnds {
    ends: RefCell<Vec<SeenEnd>>,
    loss: RefCell<Loss>,
    left: RefCell<VecDeque<Left>>,
    /// Contents that others hold and that came to a good end here.
    held_though_good: RefCell<Vec<Content>>,
    has_held: Notify,
}

impl SeenEnds {
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
    /// Whether a request may run.
    pub fn standing(&self, job: &Job) -> Standing {
        let state = self.state.borrow();
        if state.quarantine.is_empty() || state.good_contents.holds(job.content()) {
            return Standing::Free;
        }
        state.quarantine.standing(job.content(), self.clock.now())
    }

    /// Ends of servers that count against a request.
    pub fn ends_under(&self, job: &Job) -> usize {
        let state = self.state.borrow();
        if state.quarantine.is_empty() { 0 } else { state.quarantine.ends(job.content()) }
    }

    /// A request was left at a server, by its caller or for another server, before its run was over.
    ///
    /// NB: whoever leaves early each time would not be there when the server ends.
    pub fn note_left(&self, job: &Job, server: &ServerId, on_probe: bool) {
        let at = self.clock.now();
        let mut left = self.seen_ends.left.borrow_mut();
        if left.len() == MOST_LEFT {
            left.pop_front();
        }
        let (content, server, request) = (job.content(), server.clone(), job.id.clone());
        left.push_back(Left { content, server, request, at, on_probe });
    }

    /// A server broke off all connections, or at least this one, while it had the request.
    pub fn note_server_end(self: &Rc<Self>, job: &Job, placement: &Placement, on_probe: bool) {
        let now = self.clock.now();
        self.note_end_under(job.content(), &job.id, placement, on_probe);
        for left in self.seen_ends.take_left(placement.server(), now) {
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
        self.seen_ends.loss.borrow_mut().note(content, server);
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
        let mut ends = self.seen_ends.ends.borrow_mut();
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
        let seen = self.seen_ends.ends.take();
        let loss = self.seen_ends.loss.take();
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
        self.metrics.count_many(Counter::EndsNotTold, untold);
        told.truncate(MOST_TOLD);
        for ends in told.chunks(MOST_IN_ITEM) {
            self.tell_news(News::Ended { ends: ends.to_vec() });
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
            self.journal.note(Rank::State, &event);
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

    /// A run came to a good end, which speaks for what it carries.
    pub fn note_good_end(&self, job: &Job) {
        let now = self.clock.now();
        let content = job.content();
        let mut state = self.state.borrow_mut();
        state.good_contents.note_whole(content, now);
        drop(state);
        self.clear(content);
    }

    /// Hears of ends that another entry saw.
    pub fn hear_ends(&self, ends: &[AgedEnd], age: Duration) {
        let now = self.clock.now();
        for (end, more) in ends {
            let at = now.saturating_sub(age + *more);
            let mut state = self.state.borrow_mut();
            let is_new = state.quarantine.note_end(*end, at, now);
            if is_new {
                state.good_contents.note_end(end.content);
            }
            drop(state);
            if is_new {
                self.note_if_held(end.content);
                self.speak_for(end.content);
            }
        }
    }

    /// Has a content cleared that others hold and that came to a good end here.
    fn speak_for(&self, content: Content) {
        if self.is_held_though_good(content) {
            self.seen_ends.held_though_good.borrow_mut().push(content);
            self.seen_ends.has_held.notify_one();
        }
    }

    fn is_held_though_good(&self, content: Content) -> bool {
        let state = self.state.borrow();
        let is_held = state.quarantine.standing(content, self.clock.now()) != Standing::Free;
        is_held && state.good_contents.holds(content)
    }

    fn clear(&self, content: Content) {
        if self.state.borrow_mut().quarantine.note_whole(content, self.clock.now()) {
            self.note_cleared(content, &self.settings.name);
            self.tell_news(News::Cleared { content });
        }
    }

    /// Hears of a good end at another entry.
    pub fn hear_cleared(&self, content: Content, from: &str, age: Duration) {
        let at = self.clock.now().saturating_sub(age);
        if self.state.borrow_mut().quarantine.note_whole(content, at) {
            self.note_cleared(content, from);
        }
    }

    /// What an entry that has heard nothing from this one is to know.
    pub fn summary_of_ends(&self) -> Option<News> {
        let ends = self.state.borrow().quarantine.weightiest(MOST_IN_SUMMARY, self.clock.now());
        (!ends.is_empty()).then_some(News::Ended { ends })
    }

    /// The ends of contents that may not run freely, with the time since each.
    pub fn held_ends(&self) -> Vec<AgedEnd> {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            Vec::new()
        } else {
            state.quarantine.held(self.clock.now())
        }
    }

    /// Grants a probe that this entry or another asks for.
    pub fn grant_probe(&self, content: Content, lease: Duration) -> Grant {
        let now = self.clock.now();
        let order = self.roster.granting_order(content);
        let place = order.iter().position(|(name, _)| *name == self.settings.name);
        let settled_at = SETTLING.saturating_sub(self.clock.uptime());
        if order.len() > 1 && !settled_at.is_zero() {
            return Grant::Refused { until: now + settled_at };
        }
        let probe = Probe { content, lease: lease + LEASE_SLACK, is_first: place == Some(0) };
        self.state.borrow_mut().quarantine.grant(probe, now)
    }

    /// Forgets contents that nothing has been seen of for long.
    pub fn forget_old_ends(&self) {
        let now = self.clock.now();
        self.state.borrow_mut().quarantine.forget_old(now);
    }

    /// Logs that a content is held from now on.
    fn note_if_held(&self, content: Content) {
        let now = self.clock.now();
        let state = self.state.borrow();
        if state.good_contents.holds(content) {
            return;
        }
        let Standing::Held { until } = state.quarantine.standing(content, now) else { return };
        let ends = state.quarantine.ends(content);
        drop(state);
        self.metrics.count(Counter::ContentsHeld);
        let event = QuarantineEvent::ContentHeld {
            content: &content_text(content),
            servers_ended: ends,
            for_ms: until.saturating_sub(now).as_millis() as u64,
        };
        self.journal.note(Rank::Failure, &event);
    }

    fn note_cleared(&self, content: Content, from: &str) {
        let event = QuarantineEvent::ContentCleared { content: &content_text(content), from };
        self.journal.note(Rank::Failure, &event);
    }

    /// Why a request that may not run before `until` is refused.
    pub fn refusal_until(&self, until: Duration) -> Refusal {
        let opens_in = until.saturating_sub(self.clock.now());
        Refusal::EndsServers { opens_in }
    }
}
