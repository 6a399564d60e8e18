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
mod clocks;
mod listing;
mod message;
mod news;
mod replica;
mod roster;
mod server;
mod spread;
mod tree;

pub use client::{AskError, Need, PeerClient, Question, Told, ask_question};
pub use clocks::ClockOffset;
pub use listing::{Listing, UnreadableListing};
pub use message::{FORMAT, KeyChange, MessageError, State, StateHead, from_message, to_message};
pub use news::{Item, MOST_SESSIONS, News, NewsLog, StageWord};
pub use replica::Replica;
pub use roster::{Roster, Source};
pub use server::serve;
pub use spread::{Outbox, pass_on};
pub use tree::{FAN_OUT, Place, place, roots};

/// Where entries are listed, by name.
pub const ENTRY_PREFIX: &str = "pondwalk/entries/";

/// Entries that hear all news that goes up, at least. One in eight times all of them are gone with half of the
/// entries.
pub const LEAST_INFORMED: usize = 3;

/// Where an entry is asked for its state.
const STATE_PATH: &str = "/state";
/// Where an entry is asked for leave to run a request under which servers have ended.
pub const PROBE_PATH: &str = "/probe";
/// Where an entry is asked for a permit to send to a backend server that names a rate limit.
pub const PERMIT_PATH: &str = "/permit";
/// Where an entry is told news.
const NEWS_PATH: &str = "/news";
