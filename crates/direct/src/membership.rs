//! Exchange of state between entries, so that few of them call the store.
//!
//! Every entry is listed in the store. All entries derive the same order from that list: the first
//! few are roots and watch the store, the next ones poll a root, and all others poll one of those.
//! Each response carries the time at which the store last confirmed the state, so a response that
//! is read late never makes the requester's state look fresher than it is. A requester that gets no
//! response, or a stale one, turns to the next entry in order and finally to the store itself. A
//! root that the store does not respond to asks other entries to call it.
//!
//! An entry that starts fetches the full state in the same way, and reads the store only if no peer
//! can send it. Observations that all entries need (gossip) travel along the same tree in both
//! directions, without the store.

mod client;
mod clock_offset;
mod forward;
mod gossip;
mod listing;
mod load_exchange;
mod members;
mod message;
mod relay;
mod replica;
mod server;
mod tree;

pub use client::{PeerClient, PeerError, StateRequest, StateRequestKind, StateUpdate, query_peer};
pub use clock_offset::ClockOffset;
pub use forward::{Outbox, forward_gossip};
pub use gossip::{Gossip, GossipItem, GossipLog, MAX_SESSIONS_PER_ITEM, WireStage};
pub use listing::{InvalidListing, Listing};
pub use load_exchange::{LoadExchange, LoadMessage, exchange_load};
pub use members::{ChangeSource, Members};
pub use message::{
    FORMAT, KeyChange, MessageError, StateHead, StateMessage, from_message, take_gossip_item,
    to_message,
};
pub use relay::RelayRequests;
pub use replica::Replica;
pub use server::serve;
pub use tree::{FAN_OUT, TreeRole, root_count, tree_role};

/// Prefix of the store keys under which entries are listed, by name.
pub const ENTRY_PREFIX: &str = "pondwalk/entries/";

/// Minimum number of entries that receive gossip sent towards the roots. If half of all entries
/// fail at once, the chance that all three are among them is one in eight.
pub const MIN_GOSSIP_TARGETS: usize = 3;

/// Path of the request for an entry's state.
const STATE_PATH: &str = "/state";
/// Path of the request for a probe: permission to send a request whose content has crashed servers.
pub const PROBE_PATH: &str = "/probe";
/// Path of the request for a permit to send to a rate-limited backend server.
pub const PERMIT_PATH: &str = "/permit";
/// Path of the request for a part of an entry's share of a cold backend server.
pub const LOAN_PATH: &str = "/loan";
/// Path on which an entry accepts summaries of work.
pub const LOAD_PATH: &str = "/load";
/// Path on which an entry accepts gossip.
const NEWS_PATH: &str = "/news";
