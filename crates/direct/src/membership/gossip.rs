//! Gossip that entries pass on among themselves, without the store.
//!
//! An observation that all entries need within a fraction of a second is sent towards the roots in
//! messages of its own, and reaches the children with responses to state requests. Gossip is not
//! persistent: an entry that restarts receives what its peers still retain.

use std::{
    collections::{HashSet, VecDeque},
    time::Duration,
};

use pondwalk_decide::direct::{
    FeatureHash, Observation, RateLimit, ServerCrash, ServerIncarnation, SessionKey, Stage,
    UsageCounts, WindowId,
};
use pondwalk_types::ServerId;
use serde::{Deserialize, Serialize};

use super::Listing;

/// Retention of gossip that goes only to the roots; duplicates within it are dropped. Such an item
/// reaches all roots within a fraction of a second or is lost.
const ROOT_GOSSIP_RETENTION: Duration = Duration::from_secs(10);
/// Retention of all other gossip. A roll-out takes minutes, but the gossip that it needs belongs to
/// its first seconds, or is written to the store once it matters.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of retained items. Each entry publishes a few during a roll-out.
const MAX_ITEMS: usize = 4_096;
/// Maximum size of all retained items, encoded; several times that of a roll-out at the largest
/// deployment planned.
const MAX_RETAINED_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of sessions in one item; an entry with more sessions publishes several items.
pub const MAX_SESSIONS_PER_ITEM: usize = 1_024;

/// An observation of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Gossip {
    /// Sessions of this entry that stay on the old version while `target` is on trial.
    Kept {
        /// Service that is rolled out.
        service: String,
        /// Version on trial.
        target: String,
        /// The sessions.
        sessions: Vec<SessionKey>,
    },
    /// Responses of both versions since the previous report. Goes only to the roots, which evaluate
    /// it.
    Seen {
        /// Service that is rolled out.
        service: String,
        /// Version on trial.
        target: String,
        /// The responses.
        seen: Vec<Observation>,
    },
    /// The entry has written to the store that a roll-out has reached this stage.
    Stage {
        /// Service that is rolled out.
        service: String,
        /// Version on trial.
        target: String,
        /// Stage that was reached.
        stage: WireStage,
    },
    /// A version on trial is bad.
    Bad {
        /// Service that is rolled out.
        service: String,
        /// Version on trial.
        target: String,
    },
    /// A backend server could not be reached, and may be cold when it is reachable again.
    Unreached {
        /// Service of the server.
        fleet: String,
        /// The server.
        server: ServerId,
    },
    /// A backend server reports a rate limit, or has lifted it.
    Limited {
        /// Service of the server.
        fleet: String,
        /// The server.
        server: ServerId,
        /// Incarnation of the server that reported the limit.
        life: ServerIncarnation,
        /// The limit; `None` if it was lifted.
        limit: Option<RateLimit>,
    },
    /// Servers crashed while running requests with these features. Each crash carries its age at
    /// the time of publication.
    Ended {
        /// The crashes with their ages.
        ends: Vec<(ServerCrash, Duration)>,
    },
    /// A request with this feature succeeded.
    Cleared {
        /// The feature.
        feature: FeatureHash,
    },
    /// Total number of requests that this entry has seen begin to run in a window. Goes only to the
    /// roots.
    Used {
        /// The window.
        window: WindowId,
        /// Requests by workspace.
        counts: UsageCounts,
        /// Time of publication by the entry's own clocks, in milliseconds since 1970.
        unix_ms: u64,
    },
    /// The entry has started and should be listed in the store.
    Joined {
        /// Peer address of the entry and width of its link.
        listing: Listing,
    },
}

/// Stage of a roll-out, as it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WireStage {
    /// On trial.
    Trial,
    /// The share is being widened.
    Widening,
    /// Completed.
    Completed,
    /// Reverted.
    Reverted,
}

impl From<Stage> for WireStage {
    fn from(stage: Stage) -> Self {
        match stage {
            Stage::Trial => WireStage::Trial,
            Stage::Widening => WireStage::Widening,
            Stage::Completed => WireStage::Completed,
            Stage::Reverted => WireStage::Reverted,
        }
    }
}

impl From<WireStage> for Stage {
    fn from(stage: WireStage) -> Self {
        match stage {
            WireStage::Trial => Stage::Trial,
            WireStage::Widening => Stage::Widening,
            WireStage::Completed => Stage::Completed,
            WireStage::Reverted => Stage::Reverted,
        }
    }
}

/// Identifies an item: its origin, the origin's incarnation, and its number.
type ItemId = (String, u64, u64);

/// One item of gossip.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipItem {
    /// Name of the entry that published it.
    pub origin: String,
    /// Random number of that entry's incarnation.
    pub incarnation: u64,
    /// Sequence number within the incarnation.
    pub number: u64,
    /// Time since publication.
    pub age: Duration,
    /// The observation.
    pub news: Gossip,
}

impl GossipItem {
    /// Whether it is sent only towards the roots.
    pub fn is_for_roots_only(&self) -> bool {
        matches!(self.news, Gossip::Seen { .. } | Gossip::Used { .. })
    }

    /// Size of the item when it is encoded.
    fn encoded_bytes(&self) -> usize {
        // An item that can't be encoded can't be sent.
        postcard::serialize_with_flavor(self, postcard::ser_flavors::Size::default())
            .unwrap_or(MAX_RETAINED_BYTES)
    }

    fn id(&self) -> ItemId {
        (self.origin.clone(), self.incarnation, self.number)
    }
}

/// Gossip retained by this entry, in the order of arrival.
#[derive(Debug)]
pub struct GossipLog {
    retention: Duration,
    /// Index of the first retained item.
    start: u64,
    /// Items with their time of publication by the local clock.
    items: VecDeque<(Duration, GossipItem)>,
    /// Size of all items.
    retained_bytes: usize,
    known_ids: HashSet<ItemId>,
}

impl GossipLog {
    /// Creates a log of gossip for all entries.
    pub fn for_all() -> Self {
        Self::with_retention(RETENTION)
    }

    /// Creates a log of gossip that goes only to the roots.
    pub fn for_roots() -> Self {
        Self::with_retention(ROOT_GOSSIP_RETENTION)
    }

    fn with_retention(retention: Duration) -> Self {
        GossipLog {
            retention,
            start: 0,
            items: VecDeque::new(),
            retained_bytes: 0,
            known_ids: HashSet::new(),
        }
    }

    /// Adds an item; `false` if it is known already or too old.
    pub fn add(&mut self, item: GossipItem, now: Duration) -> bool {
        self.drop_expired(now);
        if item.age >= self.retention || !self.known_ids.insert(item.id()) {
            return false;
        }
        self.retained_bytes += item.encoded_bytes();
        self.items.push_back((now.saturating_sub(item.age), item));
        true
    }

    /// Index after the last item.
    pub fn end(&self) -> u64 {
        self.start + self.items.len() as u64
    }

    /// Items from index `index` on, with their current ages.
    pub fn items_from(&self, index: u64, now: Duration) -> Vec<GossipItem> {
        let skipped = index.saturating_sub(self.start) as usize;
        let items = self.items.iter().skip(skipped);
        let aged = |(published_at, item): &(Duration, GossipItem)| GossipItem {
            age: now.saturating_sub(*published_at),
            ..item.clone()
        };
        items.map(aged).collect()
    }

    /// All retained items with their ages.
    pub fn all(&self, now: Duration) -> impl Iterator<Item = (Duration, &GossipItem)> {
        self.items.iter().map(move |(published_at, item)| (now.saturating_sub(*published_at), item))
    }

    fn drop_expired(&mut self, now: Duration) {
        // Items that arrived late lie behind younger ones, and are dropped together with those.
        while let Some((published_at, _)) = self.items.front() {
            let is_expired = now.saturating_sub(*published_at) >= self.retention;
            let is_full =
                self.items.len() >= MAX_ITEMS || self.retained_bytes >= MAX_RETAINED_BYTES;
            if !is_expired && !is_full {
                return;
            }
            if let Some((_, item)) = self.items.pop_front() {
                self.known_ids.remove(&item.id());
                self.retained_bytes = self.retained_bytes.saturating_sub(item.encoded_bytes());
                self.start += 1;
            }
        }
    }
}
