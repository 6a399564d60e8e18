//! The listed entries in their order, and the choice of the peers to poll.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    time::Duration,
};

use pondwalk_config::DirectSettings;
use pondwalk_decide::direct::{granter_order, session_key};

use super::{
    MIN_GOSSIP_TARGETS,
    client::PeerError,
    listing::Listing,
    tree::{self, TreeRole},
};

/// Time for which an entry is skipped after a failed request; doubles with each consecutive
/// failure.
const INITIAL_SKIP_TIME: Duration = Duration::from_secs(4);
/// Maximum of that time.
const MAX_SKIP_TIME: Duration = Duration::from_secs(60);
/// Time for which an entry with a stale state is skipped. It may catch up as soon as the store
/// returns.
const STALE_SKIP_TIME: Duration = Duration::from_secs(1);

/// Sort key that all entries compute alike: the rank of the link, a hash of the name, and the name.
///
/// The first entries fetch large changes from the store and distribute them. If six of 32 entries
/// have wide links, those come first, and the others keep their narrow links for callers.
type OrderKey = (u32, u64, String);

fn order_key(name: &str, listing: &Listing) -> OrderKey {
    (listing.link_rank(), session_key(name), name.to_owned())
}

/// Where an entry gets changes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeSource {
    /// The store; other entries depend on this one.
    Store,
    /// The store; no other entry depends on this one.
    StoreStandalone,
    /// Another entry.
    Entry {
        /// Name of that entry.
        name: String,
        /// Peer address of that entry.
        address: SocketAddr,
    },
}

#[derive(Debug)]
struct Member {
    listing: Listing,
    /// Whether the store holds the listing; a store restored from a backup may have lost it.
    is_stored: bool,
    skipped_until: Duration,
    /// End of the part of that time for which the entry did not respond at all, rather than with a
    /// stale state.
    unreachable_until: Duration,
    failures: u32,
}

/// The listed entries.
#[derive(Debug)]
pub struct Members {
    own: OrderKey,
    seed_index: Option<usize>,
    in_tree: bool,
    members: RefCell<BTreeMap<OrderKey, Member>>,
    /// Sort key of each listed entry, by name.
    keys: RefCell<HashMap<String, OrderKey>>,
    own_listing: Cell<Option<Listing>>,
}

impl Members {
    /// Creates an empty list.
    pub fn new(settings: &DirectSettings) -> Self {
        let seeds = &settings.membership.seeds;
        let address = settings.peers.unwrap_or(settings.callers);
        let own = Listing { address, link_mbps: settings.link_mbps };
        Members {
            own: order_key(&settings.name, &own),
            seed_index: seeds.iter().position(|seed| Some(*seed) == settings.peers),
            in_tree: settings.membership.tree,
            members: RefCell::default(),
            keys: RefCell::default(),
            own_listing: Cell::new(None),
        }
    }

    /// Adds, changes or removes the listing of an entry. Returns whether the set of names has
    /// changed.
    pub fn update(&self, name: &str, listing: Option<Listing>) -> bool {
        if name == self.own.2 {
            self.own_listing.set(listing);
        }
        let mut members = self.members.borrow_mut();
        let mut keys = self.keys.borrow_mut();
        let before = keys.remove(name);
        let changes = before.is_some() != listing.is_some();
        if let Some(key) = before {
            members.remove(&key);
        }
        if let Some(listing) = listing {
            let key = order_key(name, &listing);
            keys.insert(name.to_owned(), key.clone());
            let new_member = Member {
                listing,
                is_stored: true,
                skipped_until: Duration::ZERO,
                unreachable_until: Duration::ZERO,
                failures: 0,
            };
            members.insert(key, new_member);
        }
        changes
    }

    /// Sets which entries the store lists, after it was restored.
    ///
    /// Other entries keep their listings until they are listed again, since their children still
    /// poll them.
    pub fn set_stored(&self, names: &HashSet<&str>) {
        for (key, member) in self.members.borrow_mut().iter_mut() {
            member.is_stored = names.contains(key.2.as_str());
        }
        if !names.contains(self.own.2.as_str()) {
            self.own_listing.set(None);
        }
    }

    /// Whether the store holds this listing of an entry.
    pub fn is_stored(&self, name: &str, listing: Listing) -> bool {
        let keys = self.keys.borrow();
        let members = self.members.borrow();
        let member = keys.get(name).and_then(|key| members.get(key));
        member.is_some_and(|member| member.is_stored && member.listing == listing)
    }

    /// Listing of this entry, if the store holds one.
    pub fn own_listing(&self) -> Option<Listing> {
        self.own_listing.get()
    }

    /// The source of changes of this entry.
    ///
    /// An unlisted entry behaves as the last in order, since no other entry polls it.
    pub fn source(&self, now: Duration) -> ChangeSource {
        self.source_among(|member| member.skipped_until <= now)
    }

    /// The parent of this entry for messages that need no state of the store, if it is not a root.
    /// Entries whose state is stale keep their places, so the tree stays as it is while the store
    /// is unavailable.
    pub fn parent_without_store(&self, now: Duration) -> ChangeSource {
        self.source_among(|member| member.unreachable_until <= now)
    }

    fn source_among(&self, is_candidate: impl Fn(&Member) -> bool) -> ChangeSource {
        let members = self.members.borrow();
        let candidates: Vec<_> = members
            .iter()
            .filter(|(key, member)| **key == self.own || is_candidate(member))
            .collect();
        let position = candidates.iter().position(|(key, _)| **key == self.own);
        let entries = candidates.len() + usize::from(position.is_none());
        let position = position.unwrap_or(candidates.len());
        match tree::tree_role(position, entries, self.in_tree) {
            TreeRole::Root if entries > 1 => ChangeSource::Store,
            TreeRole::Root => ChangeSource::StoreStandalone,
            TreeRole::ChildOf(parent) => {
                let (key, member) = candidates[parent];
                ChangeSource::Entry { name: key.2.clone(), address: member.listing.address }
            }
        }
    }

    /// Names of the listed entries.
    pub fn names(&self) -> Vec<String> {
        self.keys.borrow().keys().cloned().collect()
    }

    /// Number of listed entries.
    pub fn count(&self) -> usize {
        self.members.borrow().len()
    }

    /// Index of this entry in the order of all listed entries, from 0; while none is listed, its
    /// index among the seeds, which find the others first.
    pub fn rank(&self) -> usize {
        let members = self.members.borrow();
        match self.seed_index {
            Some(index) if members.is_empty() => index,
            _ => members.keys().take_while(|key| **key < self.own).count(),
        }
    }

    /// A number below `count` that is derived from the entry's name.
    pub fn hash_slot(&self, count: usize) -> usize {
        (self.own.1 % count.max(1) as u64) as usize
    }

    /// Name and address of each other entry that is not skipped, in order.
    pub fn reachable_peers(&self, now: Duration) -> Vec<(String, SocketAddr)> {
        let members = self.members.borrow();
        let candidates =
            members.iter().filter(|(key, member)| **key != self.own && member.skipped_until <= now);
        candidates.map(|(key, member)| (key.2.clone(), member.listing.address)).collect()
    }

    /// Addresses of the other roots as this entry sees them, and of the next entries in order up to
    /// [`MIN_GOSSIP_TARGETS`], so that gossip survives the loss of this entry.
    pub fn other_roots(&self, now: Duration) -> Vec<SocketAddr> {
        let members = self.members.borrow();
        let candidates =
            members.iter().filter(|(key, member)| **key == self.own || member.skipped_until <= now);
        let roots = tree::root_count(candidates.clone().count()).max(MIN_GOSSIP_TARGETS);
        let others = candidates.take(roots).filter(|(key, _)| **key != self.own);
        others.map(|(_, member)| member.listing.address).collect()
    }

    /// Names and addresses of the other roots of the tree of [`Members::parent_without_store`].
    pub fn roots_without_store(&self, now: Duration) -> Vec<(String, SocketAddr)> {
        let members = self.members.borrow();
        let candidates: Vec<_> = members
            .iter()
            .filter(|(key, member)| **key == self.own || member.unreachable_until <= now)
            .collect();
        let is_root =
            |position| tree::tree_role(position, candidates.len(), self.in_tree) == TreeRole::Root;
        let roots = candidates.iter().enumerate().filter(|(position, _)| is_root(*position));
        let others = roots.filter(|(_, (key, _))| **key != self.own);
        others.map(|(_, (key, member))| (key.2.clone(), member.listing.address)).collect()
    }

    /// The entries in the order in which they may grant permits and probes for `key`, each with its
    /// address; the address of this entry is `None`.
    ///
    /// Skipped entries are included, so that whether an entry is first does not depend on
    /// reachability.
    pub fn granting_order(&self, key: u128) -> Vec<(String, Option<SocketAddr>)> {
        let mut names = self.names();
        if names.is_empty() {
            names.push(self.own.2.clone());
        }
        granter_order(key, &mut names);
        let address = |name: &String| self.listing_of(name).map(|listing| listing.address);
        let with_address = |name: String| match name == self.own.2 {
            true => Some((name, None)),
            false => Some((address(&name)?, name)).map(|(address, name)| (name, Some(address))),
        };
        names.into_iter().filter_map(with_address).collect()
    }

    /// Listing of an entry, if it has one.
    pub fn listing_of(&self, name: &str) -> Option<Listing> {
        let keys = self.keys.borrow();
        self.members.borrow().get(keys.get(name)?).map(|member| member.listing)
    }

    /// Index of the name that comes first in the order of entries with equal links.
    pub fn first_in_order(names: &[&str]) -> usize {
        let order = |(_, name): &(usize, &&str)| (session_key(name), name.to_string());
        names.iter().enumerate().min_by_key(order).map_or(0, |(position, _)| position)
    }

    /// Records the result of a request; an entry that failed is skipped for a while.
    pub fn record_result(&self, name: &str, error: Option<&PeerError>, now: Duration) {
        let mut members = self.members.borrow_mut();
        let keys = self.keys.borrow();
        let key = keys.get(name);
        let Some(member) = key.and_then(|key| members.get_mut(key)) else { return };
        match error {
            None => member.failures = 0,
            Some(PeerError::Stale) => member.skipped_until = now + STALE_SKIP_TIME,
            Some(_) => {
                let skip_time = INITIAL_SKIP_TIME * 2u32.pow(member.failures.min(6));
                member.skipped_until = now + skip_time.min(MAX_SKIP_TIME);
                member.unreachable_until = member.skipped_until;
                member.failures += 1;
            }
        }
    }
}
