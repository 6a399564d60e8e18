//! The store as a set of calls, for code that must not know in which form they travel.

use std::{fmt, future::Future, pin::Pin, rc::Rc, time::Duration};

use crate::client::{Change, Fetched, StoreError};

/// Future of one call, on the thread that made it.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// All keys under a prefix, as one or more reads found them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Keys with their values.
    pub entries: Vec<Fetched>,
    /// Revision from which a watch misses nothing: that of the first read.
    pub revision: u64,
}

/// One change that a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The key was written.
    Written(Fetched),
    /// The key is gone.
    Removed(String),
}

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// The changes in order, none if the wait ran out, and the revision to go on from.
    Changes(Vec<StoreEvent>, u64),
    /// The history after the given revision is gone; read everything anew.
    HistoryGone,
}

/// Reads all keys under a prefix.
pub type ListCall = Rc<dyn Fn(String) -> PortFuture<Listing>>;
/// Waits for changes under a prefix after a revision, at most for a time.
pub type WatchCall = Rc<dyn Fn(String, u64, Duration) -> PortFuture<WatchReply>>;
/// Writes all changes or none, and returns their revision.
pub type CommitCall = Rc<dyn Fn(Vec<Change>) -> PortFuture<u64>>;

/// The calls to a key-value service that a process on one thread makes.
#[derive(Clone)]
pub struct StorePort {
    /// Reads all keys under a prefix.
    pub list: ListCall,
    /// Waits for changes.
    pub watch: WatchCall,
    /// Writes under conditions.
    pub commit: CommitCall,
}

impl fmt::Debug for StorePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StorePort")
    }
}
