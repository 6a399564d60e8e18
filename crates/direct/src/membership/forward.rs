//! Passes news on: up the tree at once, and among the roots.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use serde::Serialize;
use tokio::{sync::Notify, task::spawn_local, time::sleep};

use super::{Gossip, GossipItem, PeerClient, message};
use crate::{core::Core, event_log::LogPriority, metrics::Counter};

/// Time for which news is gathered before it is passed on, so that what a hundred entries find at
/// the same moment goes in a few messages.
const GATHER_TIME: Duration = Duration::from_millis(25);
/// Tries to pass a piece of news on. With the pauses between them they take three seconds, in which
/// an entry that has lost its way finds another.
const TRIES: u32 = 6;
/// First pause between two tries; doubles with each.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// News that is to be passed on.
#[derive(Debug, Default)]
pub struct Outbox {
    items: RefCell<Vec<GossipItem>>,
    filled: Notify,
}

impl Outbox {
    fn put(&self, items: Vec<GossipItem>) {
        if !items.is_empty() {
            self.items.borrow_mut().extend(items);
            self.filled.notify_one();
        }
    }

    async fn take(&self) -> Vec<GossipItem> {
        self.filled.notified().await;
        sleep(GATHER_TIME).await;
        self.items.take()
    }
}

/// What became of news.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum SpreadEvent<'a> {
    NewsHeard { from: &'a str, service: Option<&'a str>, target: Option<&'a str>, what: String },
    ServerDoubted { server: &'a str, from: &'a str },
    NewsNotPassedOn { to: String, items: usize, error: String },
}

impl Core {
    /// Tells what this entry has found, to be heard by all.
    pub fn publish_gossip(&self, news: Gossip) {
        let item = self.new_gossip_item(news);
        self.receive_from_child(vec![item]);
    }

    /// A piece of news as this entry tells it now.
    pub fn new_gossip_item(&self, news: Gossip) -> GossipItem {
        let number = self.gossip_sent.get();
        self.gossip_sent.set(number + 1);
        GossipItem {
            origin: self.settings.name.clone(),
            incarnation: self.incarnation,
            number,
            age: Duration::ZERO,
            news,
        }
    }

    /// Hears news that comes up the tree, which is passed on upwards too.
    pub fn receive_from_child(&self, items: Vec<GossipItem>) {
        self.outbox.put(self.hear(items));
    }

    /// Hears news that comes down the tree, which those that ask this entry hear too.
    pub fn receive_from_parent(&self, items: Vec<GossipItem>) {
        self.hear(items);
    }

    /// Takes news in and returns what was not known yet.
    fn hear(&self, items: Vec<GossipItem>) -> Vec<GossipItem> {
        let now = self.clock.now();
        let is_new = |item: &GossipItem| {
            let log =
                if item.is_for_roots_only() { &self.gossip_for_parents } else { &self.gossip };
            log.borrow_mut().add(item.clone(), now)
        };
        let new: Vec<GossipItem> = items.into_iter().filter(is_new).collect();
        for item in &new {
            self.note_heard(item);
            self.apply(item);
        }
        if new.iter().any(|item| !item.is_for_roots_only()) {
            self.state_changed.notify_waiters();
        }
        new
    }

    /// Weighs all news about a service again, since a roll-out of it was learned of only now.
    pub fn reapply_gossip_of(&self, service: &str) {
        let news = self.gossip.borrow();
        let items = news.all(self.clock.now()).map(|(_, item)| item);
        items.filter(|item| item.service() == Some(service)).for_each(|item| self.apply(item));
    }

    /// Logs what changes where requests go.
    fn note_heard(&self, item: &GossipItem) {
        let what = match &item.news {
            Gossip::Stage { stage, .. } => format!("stage, {stage:?}"),
            Gossip::Bad { .. } => "bad".to_owned(),
            Gossip::Kept { .. }
            | Gossip::Seen { .. }
            | Gossip::Unreached { .. }
            | Gossip::Limited { .. }
            | Gossip::Ended { .. }
            | Gossip::Cleared { .. }
            | Gossip::Used { .. }
            | Gossip::Joined { .. } => return,
        };
        let (service, target) = (item.service(), item.target());
        let event = SpreadEvent::NewsHeard { from: &item.origin, service, target, what };
        self.event_log.record(LogPriority::State, &event);
    }

    fn apply(&self, item: &GossipItem) {
        match &item.news {
            Gossip::Used { window, counts, unix_ms } => {
                return self.receive_usage_counts(item, *window, counts, *unix_ms);
            }
            Gossip::Unreached { fleet, server } => return self.hear_unreached(fleet, server, item),
            Gossip::Limited { .. } => return self.receive_limit(item),
            Gossip::Ended { ends } => return self.receive_crashes(ends, item.age),
            Gossip::Cleared { content } => {
                return self.receive_clearance(*content, &item.origin, item.age);
            }
            _ => {}
        }
        let mut state = self.state.borrow_mut();
        let (Some(service), Some(target)) = (item.service(), item.target()) else { return };
        let roll_out = state.roll_outs.get_mut(service);
        let Some(roll_out) = roll_out.filter(|one| one.target() == target) else { return };
        let is_own = item.origin == self.settings.name && item.incarnation == self.incarnation;
        match &item.news {
            Gossip::Kept { sessions, .. } => roll_out.add_kept_sessions(sessions.iter().copied()),
            // NB: what this entry has seen itself it weighs already.
            Gossip::Seen { .. } if is_own => {}
            Gossip::Seen { seen, .. } => {
                roll_out.apply_observations(seen.clone(), item.age, self.clock.now());
            }
            Gossip::Stage { stage, .. } => roll_out.apply_stage((*stage).into(), self.clock.now()),
            Gossip::Bad { .. } => roll_out.trip_from_peer(),
            Gossip::Unreached { .. }
            | Gossip::Limited { .. }
            | Gossip::Ended { .. }
            | Gossip::Cleared { .. }
            | Gossip::Used { .. }
            | Gossip::Joined { .. } => {}
        }
    }

    /// Another entry could not reach a server.
    fn hear_unreached(&self, fleet: &str, server: &str, item: &GossipItem) {
        let now = self.clock.now();
        let at = now.saturating_sub(item.age);
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(fleet);
        let is_new = fleet.is_some_and(|fleet| fleet.apply_peer_unreachable(server, at, now));
        drop(state);
        if is_new {
            let event = SpreadEvent::ServerDoubted { server, from: &item.origin };
            self.event_log.record(LogPriority::State, &event);
        }
    }
}

impl GossipItem {
    /// Service whose roll-out it concerns, if any.
    fn service(&self) -> Option<&str> {
        match &self.news {
            Gossip::Kept { service, .. }
            | Gossip::Seen { service, .. }
            | Gossip::Stage { service, .. }
            | Gossip::Bad { service, .. } => Some(service),
            Gossip::Unreached { .. }
            | Gossip::Limited { .. }
            | Gossip::Ended { .. }
            | Gossip::Cleared { .. }
            | Gossip::Used { .. }
            | Gossip::Joined { .. } => None,
        }
    }

    /// Version on trial that it concerns, if any.
    fn target(&self) -> Option<&str> {
        match &self.news {
            Gossip::Kept { target, .. }
            | Gossip::Seen { target, .. }
            | Gossip::Stage { target, .. }
            | Gossip::Bad { target, .. } => Some(target),
            Gossip::Unreached { .. }
            | Gossip::Limited { .. }
            | Gossip::Ended { .. }
            | Gossip::Cleared { .. }
            | Gossip::Used { .. }
            | Gossip::Joined { .. } => None,
        }
    }
}

/// Passes news on for as long as the process runs.
pub async fn forward_gossip(core: Rc<Core>) {
    loop {
        let items = core.outbox.take().await;
        if items.is_empty() {
            continue;
        }
        // NB: one that is slow or gone must not keep the news from the others.
        spawn_local(pass_on_items(Rc::clone(&core), items));
    }
}

async fn pass_on_items(core: Rc<Core>, items: Vec<GossipItem>) {
    let mut told: Vec<SocketAddr> = Vec::new();
    let mut pause = FIRST_PAUSE;
    let mut failed = None;
    for _ in 0..TRIES {
        failed = None;
        // NB: where it goes is asked anew each time; whoever was to take it may be gone.
        for address in core.parents() {
            if told.contains(&address) {
                continue;
            }
            match pass_on_to(&core, address, &items).await {
                Ok(()) => told.push(address),
                Err(error) => failed = Some((address, error)),
            }
        }
        if failed.is_none() {
            return;
        }
        sleep(pause).await;
        pause *= 2;
    }
    if let Some((to, error)) = failed {
        let to = to.to_string();
        let event = SpreadEvent::NewsNotPassedOn { to, items: items.len(), error };
        core.event_log.record(LogPriority::State, &event);
    }
}

async fn pass_on_to(core: &Core, address: SocketAddr, items: &[GossipItem]) -> Result<(), String> {
    let store = core.settings.store.address;
    let bytes = message::to_message(store, &items).map_err(|error| error.to_string())?;
    core.metrics.count_many(Counter::PeerBytesSent, bytes.len());
    let told = PeerClient::send_gossip(&core.connect, address, bytes).await;
    told.map_err(|error| error.to_string())
}
