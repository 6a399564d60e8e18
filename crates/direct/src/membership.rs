//! What entries tell one another, so that few of them need the store.
//!
//! Each entry is listed in the store. In an order that all work out alike, the first few ask the
//! store for changes; the next ones ask one of those, and all others ask one of the next ones. An
//! answer tells when the store last confirmed what it rests on, so that however late it is read,
//! it never makes the asker's state look fresher than it is. Whoever gets no answer, or an old
//! one, goes on to the next entry in order, and at last to the store itself.
//!
//! An entry that starts hears the whole state in the same way, and reads the store only if nobody
//! can tell it. What an entry finds and all must weigh goes up and down the same tree, without the
//! store.

mod client;
mod clock_offset;
mod forward;
mod gossip;
mod listing;
mod members;
mod message;
mod replica;
mod server;
mod tree;

pub use client::{PeerClient, PeerError, StateRequest, StateRequestKind, StateUpdate, query_peer};
pub use clock_offset::ClockOffset;
pub use forward::{Outbox, forward_gossip};
pub use gossip::{Gossip, GossipItem, GossipLog, MAX_SESSIONS_PER_ITEM, WireStage};
pub use listing::{InvalidListing, Listing};
pub use members::{ChangeSource, Members};
pub use message::{
    FORMAT, KeyChange, MessageError, StateHead, StateMessage, from_message, to_message,
};
pub use replica::Replica;
pub use server::serve;
pub use tree::{FAN_OUT, TreeRole, root_count, tree_role};

/// Where entries are listed, by name.
pub const ENTRY_PREFIX: &str = "pondwalk/entries/";

/// Entries that hear all news that goes up, at least. One in eight times all of them are gone with half of the
/// entries.
pub const MIN_GOSSIP_TARGETS: usize = 3;

/// Where an entry is asked for its state.
const STATE_PATH: &str = "/state";
/// Where an entry is asked for leave to run a request under which servers have ended.
pub const PROBE_PATH: &str = "/probe";
/// Where an entry is asked for a permit to send to a backend server that names a rate limit.
pub const PERMIT_PATH: &str = "/permit";
/// Where an entry is told news.
const NEWS_PATH: &str = "/news";
