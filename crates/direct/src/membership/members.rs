//! The entries that are listed, in their order, and which of them to ask.

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

/// First time for which an entry that did not answer is passed over; doubles with each in a row.
const FIRST_PASS_OVER: Duration = Duration::from_secs(4);
/// Longest such time.
const LONGEST_PASS_OVER: Duration = Duration::from_secs(60);
/// Time for which an entry that is behind the store itself is passed over. It may catch up with
/// the store's return at any moment.
const PASS_OVER_WHILE_BEHIND: Duration = Duration::from_secs(1);

/// Place of an entry in the order that all work out alike: the rank of its link, a hash of its name,
/// and the name.
///
/// NB: the first ones take large changes from the store and tell them to all others. Of 32 entries, six
/// with wide links, the wide ones come first and the narrow ones keep theirs for callers.
type OrderKey = (u32, u64, String);

fn order_key(name: &str, listing: &Listing) -> OrderKey {
    (listing.link_rank(), session_key(name), name.to_owned())
}

/// Where to learn of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeSource {
    /// From the store; others rest on this entry.
    Store,
    /// From the store; nobody rests on this entry.
    StoreStandalone,
    /// From another entry.
    Entry {
        /// Its name.
        name: String,
        /// Where it is asked.
        address: SocketAddr,
    },
}

#[derive(Debug)]
struct Listed {
    listing: Listing,
    /// Whether the store holds it; a restored one may have lost it.
    is_stored: bool,
    passed_over_until: Duration,
    failures: u32,
}

/// The entries that are listed.
#[derive(Debug)]
pub struct Members {
    own: OrderKey,
    place_among_seeds: Option<usize>,
    in_tree: bool,
    listed: RefCell<BTreeMap<OrderKey, Listed>>,
    /// Place of each entry that is listed, by name.
    places: RefCell<HashMap<String, OrderKey>>,
    own_listing: Cell<Option<Listing>>,
}

impl Members {
    /// Knows of no entry yet.
    pub fn new(settings: &DirectSettings) -> Self {
        let seeds = &settings.membership.seeds;
        let address = settings.peers.unwrap_or(settings.callers);
        let own = Listing { address, link_mbps: settings.link_mbps };
        Members {
            own: order_key(&settings.name, &own),
            place_among_seeds: seeds.iter().position(|seed| Some(*seed) == settings.peers),
            in_tree: settings.membership.tree,
            listed: RefCell::default(),
            places: RefCell::default(),
            own_listing: Cell::new(None),
        }
    }

    /// Learns of an entry, or that it is no longer listed. Returns whether that changes who is listed.
    pub fn update(&self, name: &str, listing: Option<Listing>) -> bool {
        if name == self.own.2 {
            self.own_listing.set(listing);
        }
        let mut listed = self.listed.borrow_mut();
        let mut places = self.places.borrow_mut();
        let before = places.remove(name);
        let changes = before.is_some() != listing.is_some();
        if let Some(place) = before {
            listed.remove(&place);
        }
        if let Some(listing) = listing {
            let place = order_key(name, &listing);
            places.insert(name.to_owned(), place.clone());
            let fresh =
                Listed { listing, is_stored: true, passed_over_until: Duration::ZERO, failures: 0 };
            listed.insert(place, fresh);
        }
        changes
    }

    /// The store holds the listings of these entries alone.
    ///
    /// NB: the others keep their places until they are listed again, since those below ask them.
    pub fn set_stored(&self, names: &HashSet<&str>) {
        for (key, one) in self.listed.borrow_mut().iter_mut() {
            one.is_stored = names.contains(key.2.as_str());
        }
        if !names.contains(self.own.2.as_str()) {
            self.own_listing.set(None);
        }
    }

    /// Whether the store holds this listing of an entry.
    pub fn is_stored(&self, name: &str, listing: Listing) -> bool {
        let places = self.places.borrow();
        let listed = self.listed.borrow();
        let one = places.get(name).and_then(|place| listed.get(place));
        one.is_some_and(|one| one.is_stored && one.listing == listing)
    }

    /// How this entry is listed.
    pub fn own_listing(&self) -> Option<Listing> {
        self.own_listing.get()
    }

    /// Where this entry learns of changes.
    ///
    /// An entry that is not listed yet asks as if it came last, since nobody asks it.
    pub fn source(&self, now: Duration) -> ChangeSource {
        let listed = self.listed.borrow();
        let able: Vec<_> = listed
            .iter()
            .filter(|(key, one)| **key == self.own || one.passed_over_until <= now)
            .collect();
        let position = able.iter().position(|(key, _)| **key == self.own);
        let entries = able.len() + usize::from(position.is_none());
        let position = position.unwrap_or(able.len());
        match tree::tree_role(position, entries, self.in_tree) {
            TreeRole::Root if entries > 1 => ChangeSource::Store,
            TreeRole::Root => ChangeSource::StoreStandalone,
            TreeRole::ChildOf(above) => {
                let (key, one) = able[above];
                ChangeSource::Entry { name: key.2.clone(), address: one.listing.address }
            }
        }
    }

    /// Names of the entries that are listed.
    pub fn names(&self) -> Vec<String> {
        self.places.borrow().keys().cloned().collect()
    }

    /// Entries that are listed.
    pub fn count(&self) -> usize {
        self.listed.borrow().len()
    }

    /// This entry's place in the order of all that are listed, from 0; while none is, its place among
    /// the seeds, which are the first to know of the others.
    pub fn rank(&self) -> usize {
        let listed = self.listed.borrow();
        match self.place_among_seeds {
            Some(place) if listed.is_empty() => place,
            _ => listed.keys().take_while(|key| **key < self.own).count(),
        }
    }

    /// A number below `among` that differs from entry to entry.
    pub fn hash_slot(&self, among: usize) -> usize {
        (self.own.1 % among.max(1) as u64) as usize
    }

    /// Entries in order other than this one that answered when last asked.
    pub fn reachable_peers(&self, now: Duration) -> Vec<(String, SocketAddr)> {
        let listed = self.listed.borrow();
        let able =
            listed.iter().filter(|(key, one)| **key != self.own && one.passed_over_until <= now);
        able.map(|(key, one)| (key.2.clone(), one.listing.address)).collect()
    }

    /// The other entries that ask the store, as far as this one can tell, and those next in order, so that
    /// what this one finds is not lost with it.
    pub fn other_roots(&self, now: Duration) -> Vec<SocketAddr> {
        let listed = self.listed.borrow();
        let able =
            listed.iter().filter(|(key, one)| **key == self.own || one.passed_over_until <= now);
        let roots = tree::root_count(able.clone().count()).max(MIN_GOSSIP_TARGETS);
        let others = able.take(roots).filter(|(key, _)| **key != self.own);
        others.map(|(_, one)| one.listing.address).collect()
    }

    /// Entries in the order in which they may grant what is asked for by a key, each with where it is asked;
    /// this entry, which is not asked, has none.
    ///
    /// NB: those that are passed over keep their places, so that an entry knows whether it is first
    /// whoever can be reached.
    pub fn granting_order(&self, key: u128) -> Vec<(String, Option<SocketAddr>)> {
        let mut names = self.names();
        if names.is_empty() {
            names.push(self.own.2.clone());
        }
        granter_order(key, &mut names);
        let address = |name: &String| self.listing_of(name).map(|listing| listing.address);
        let asked = |name: String| match name == self.own.2 {
            true => Some((name, None)),
            false => Some((address(&name)?, name)).map(|(address, name)| (name, Some(address))),
        };
        names.into_iter().filter_map(asked).collect()
    }

    /// How an entry is listed.
    pub fn listing_of(&self, name: &str) -> Option<Listing> {
        let places = self.places.borrow();
        self.listed.borrow().get(places.get(name)?).map(|one| one.listing)
    }

    /// Position of the name that comes first in the order of entries on like links.
    pub fn first_in_order(names: &[&str]) -> usize {
        let order = |(_, name): &(usize, &&str)| (session_key(name), name.to_string());
        names.iter().enumerate().min_by_key(order).map_or(0, |(position, _)| position)
    }

    /// An entry answered, or failed to; one that failed is passed over for a while.
    pub fn record_result(&self, name: &str, error: Option<&PeerError>, now: Duration) {
        let mut listed = self.listed.borrow_mut();
        let places = self.places.borrow();
        let place = places.get(name);
        let Some(one) = place.and_then(|place| listed.get_mut(place)) else { return };
        match error {
            None => one.failures = 0,
            Some(PeerError::Stale) => one.passed_over_until = now + PASS_OVER_WHILE_BEHIND,
            Some(_) => {
                let time = FIRST_PASS_OVER * 2u32.pow(one.failures.min(6));
                one.passed_over_until = now + time.min(LONGEST_PASS_OVER);
                one.failures += 1;
            }
        }
    }
}
