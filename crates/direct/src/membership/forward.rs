//! Forwards gossip: towards the roots at once, and among the roots.

use std::{
    cell::RefCell,
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    rc::Rc,
    time::Duration,
};

use serde::Serialize;
use tokio::{sync::Notify, task::spawn_local, time::sleep};

use super::{Gossip, GossipItem, PeerClient, message};
use crate::{core::Core, event_log::LogPriority, metrics::Counter};

/// Time for which gossip is gathered into one batch, so that simultaneous observations of a hundred
/// entries travel in a few messages.
const BATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Attempts to forward a batch. With the pauses between them they span three seconds, in which an
/// entry that has lost its parent finds another.
const MAX_ATTEMPTS: u32 = 6;
/// Pause after the first failed attempt; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Gossip that waits to be forwarded.
#[derive(Debug, Default)]
pub struct Outbox {
    items: RefCell<Vec<GossipItem>>,
    /// Shared with each batch that is being forwarded.
    forwarding: Rc<()>,
    filled: Notify,
}

impl Outbox {
    fn push(&self, items: Vec<GossipItem>) {
        if !items.is_empty() {
            self.items.borrow_mut().extend(items);
            self.filled.notify_one();
        }
    }

    async fn next_batch(&self) -> Vec<GossipItem> {
        self.filled.notified().await;
        sleep(BATCH_INTERVAL).await;
        self.items.take()
    }

    /// Whether all gossip so far has been forwarded, or given up.
    pub fn is_empty(&self) -> bool {
        self.items.borrow().is_empty() && Rc::strong_count(&self.forwarding) == 1
    }
}

/// Log events of gossip.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
enum GossipEvent<'a> {
    NewsHeard { from: &'a str, service: Option<&'a str>, target: Option<&'a str>, what: String },
    ServerDoubted { server: &'a str, from: &'a str },
    NewsNotPassedOn { to: String, items: usize, error: String },
}

impl Core {
    /// Publishes an observation of this entry to all entries.
    pub fn publish_gossip(&self, news: Gossip) {
        let item = self.new_gossip_item(news);
        self.receive_from_child(vec![item]);
    }

    /// Wraps an observation of this entry in a new, numbered item.
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

    /// Applies gossip received from a child or another root, and forwards what is new towards the
    /// roots.
    pub fn receive_from_child(&self, items: Vec<GossipItem>) {
        self.outbox.push(self.apply_new(items));
    }

    /// Applies gossip received from the parent; the children get it with their next response.
    pub fn receive_from_parent(&self, items: Vec<GossipItem>) {
        self.apply_new(items);
    }

    /// Applies the items that are new to this entry, and returns them.
    fn apply_new(&self, items: Vec<GossipItem>) -> Vec<GossipItem> {
        let now = self.clock.now();
        let is_new = |item: &GossipItem| {
            let log =
                if item.is_for_roots_only() { &self.gossip_for_parents } else { &self.gossip };
            log.borrow_mut().add(item.clone(), now)
        };
        let new: Vec<GossipItem> = items.into_iter().filter(is_new).collect();
        for item in &new {
            self.log_received(item);
            // A panic concerns this item alone; the panic hook reports it.
            let _ = catch_unwind(AssertUnwindSafe(|| self.apply(item)));
        }
        if new.iter().any(|item| !item.is_for_roots_only()) {
            self.state_changed.notify_waiters();
        }
        new
    }

    /// Applies all logged gossip about a service again, after a roll-out of it has been received.
    pub fn reapply_gossip_of(&self, service: &str) {
        let gossip = self.gossip.borrow();
        let items = gossip.all(self.clock.now()).map(|(_, item)| item);
        items.filter(|item| item.service() == Some(service)).for_each(|item| self.apply(item));
    }

    /// Logs gossip that changes the routing of requests.
    fn log_received(&self, item: &GossipItem) {
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
        let event = GossipEvent::NewsHeard { from: &item.origin, service, target, what };
        self.event_log.record(LogPriority::State, &event);
    }

    fn apply(&self, item: &GossipItem) {
        match &item.news {
            Gossip::Used { window, counts, unix_ms } => {
                return self.receive_usage_counts(item, *window, counts, *unix_ms);
            }
            Gossip::Unreached { fleet, server } => {
                return self.apply_unreached(fleet, server, item);
            }
            Gossip::Limited { .. } => return self.receive_limit(item),
            Gossip::Ended { ends } => return self.receive_crashes(ends, item.age),
            Gossip::Cleared { feature } => {
                return self.receive_clearance(*feature, &item.origin, item.age);
            }
            _ => {}
        }
        let mut state = self.state.borrow_mut();
        let (Some(service), Some(target)) = (item.service(), item.target()) else { return };
        let roll_out = state.roll_outs.get_mut(service);
        let Some(roll_out) = roll_out.filter(|trial| trial.target() == target) else {
            return;
        };
        let is_own = item.origin == self.settings.name && item.incarnation == self.incarnation;
        match &item.news {
            Gossip::Kept { sessions, .. } => roll_out.add_kept_sessions(sessions.iter().copied()),
            // The entry's own observations are counted already.
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

    /// Presumes a server cold that another entry could not reach.
    fn apply_unreached(&self, fleet: &str, server: &str, item: &GossipItem) {
        let now = self.clock.now();
        let at = now.saturating_sub(item.age);
        let mut state = self.state.borrow_mut();
        let fleet = state.fleets.get_mut(fleet);
        let is_new = fleet.is_some_and(|fleet| fleet.apply_peer_unreachable(server, at, now));
        drop(state);
        if is_new {
            let event = GossipEvent::ServerDoubted { server, from: &item.origin };
            self.event_log.record(LogPriority::State, &event);
        }
    }
}

impl GossipItem {
    /// Service whose roll-out the item concerns, if any.
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

    /// Version on trial that the item concerns, if any.
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

/// Forwards gossip until the process ends.
pub async fn forward_gossip(core: Rc<Core>) {
    loop {
        let items = core.outbox.next_batch().await;
        if items.is_empty() {
            continue;
        }
        // In a task of its own, so that a slow or failed peer does not delay later batches.
        let (core, forwarding) = (Rc::clone(&core), Rc::clone(&core.outbox.forwarding));
        spawn_local(async move {
            forward_batch(core, items).await;
            drop(forwarding);
        });
    }
}

async fn forward_batch(core: Rc<Core>, items: Vec<GossipItem>) {
    let mut sent: Vec<SocketAddr> = Vec::new();
    let mut backoff = INITIAL_BACKOFF;
    let mut failed = None;
    for _ in 0..MAX_ATTEMPTS {
        failed = None;
        // The targets are evaluated at each attempt, since a peer may have gone meanwhile.
        for address in core.parents() {
            if sent.contains(&address) {
                continue;
            }
            match send_to(&core, address, &items).await {
                Ok(()) => sent.push(address),
                Err(error) => failed = Some((address, error)),
            }
        }
        if failed.is_none() {
            return;
        }
        sleep(backoff).await;
        backoff *= 2;
    }
    if let Some((to, error)) = failed {
        let to = to.to_string();
        let event = GossipEvent::NewsNotPassedOn { to, items: items.len(), error };
        core.event_log.record(LogPriority::State, &event);
    }
}

async fn send_to(core: &Core, address: SocketAddr, items: &[GossipItem]) -> Result<(), String> {
    let store = core.settings.store.address;
    let bytes = message::to_message(store, &items).map_err(|error| error.to_string())?;
    core.metrics.count_many(Counter::PeerBytesSent, bytes.len());
    let sent = PeerClient::send_gossip(core, address, bytes).await;
    sent.map_err(|error| error.to_string())
}
