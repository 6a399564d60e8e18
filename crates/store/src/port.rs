//! Protocol-independent interface to the store, as a set of closures.

use std::{
    cell::Cell,
    fmt,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::Notify, time::Instant};

use crate::client::{Change, StoreEntry, StoreError};

/// Future of a call; not `Send`, since it runs on the thread that made the call.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// Progress of receiving a response. Clones share their state.
#[derive(Debug, Clone, Default)]
pub struct ReadProgress {
    inner: Rc<Received>,
}

#[derive(Debug, Default)]
struct Received {
    bytes: Cell<usize>,
    first_byte_at: Cell<Option<Instant>>,
    last_byte_at: Cell<Option<Instant>>,
    changed: Notify,
}

impl ReadProgress {
    /// Records that `bytes` more bytes of the response were received.
    pub fn record(&self, bytes: usize) {
        self.inner.bytes.set(self.inner.bytes.get() + bytes);
        let now = Instant::now();
        self.inner.first_byte_at.set(self.inner.first_byte_at.get().or(Some(now)));
        self.inner.last_byte_at.set(Some(now));
        self.inner.changed.notify_one();
    }

    /// Number of bytes received so far.
    pub fn bytes(&self) -> usize {
        self.inner.bytes.get()
    }

    /// Time at which the first byte was received, if any.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.inner.first_byte_at.get()
    }

    /// Time at which the last byte so far was received, if any.
    pub fn last_byte_at(&self) -> Option<Instant> {
        self.inner.last_byte_at.get()
    }

    /// Waits for more bytes; returns at once if some were received since the last wait.
    pub async fn changed(&self) {
        self.inner.changed.notified().await;
    }
}

/// A read call in flight. It has no timeout of its own: a response may be large and the link slow,
/// so the caller decides by the progress when to abort.
pub struct PortCall<T> {
    response: PortFuture<T>,
    progress: ReadProgress,
}

impl<T> PortCall<T> {
    /// Wraps the future that `make` returns; that future records its progress in the value passed to `make`.
    pub fn new<F>(make: impl FnOnce(ReadProgress) -> F) -> Self
    where
        F: Future<Output = Result<T, StoreError>> + 'static,
    {
        let progress = ReadProgress::default();
        PortCall { response: Box::pin(make(progress.clone())), progress }
    }

    /// Progress of the response.
    pub fn progress(&self) -> ReadProgress {
        self.progress.clone()
    }
}

impl<T> Future for PortCall<T> {
    type Output = Result<T, StoreError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.response.as_mut().poll(context)
    }
}

impl<T> fmt::Debug for PortCall<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PortCall").field("progress", &self.progress).finish_non_exhaustive()
    }
}

/// Counts how often the store was restored from a backup; 0 if the store does not report it.
pub type Era = u64;

/// A position in the history of the store, ordered by era and then by revision.
///
/// NB: a restored store reuses revisions, so revisions are comparable only within an era.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the revision.
    pub era: Era,
    /// Number of the last change within the era.
    pub revision: u64,
}

/// All keys with a prefix, collected by one or more reads.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Keys with their values, in key order.
    pub entries: Vec<StoreEntry>,
    /// Position of the first read, from which a watch misses no change.
    pub position: Position,
}

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The key was written.
    Written(StoreEntry),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

impl StoreEvent {
    /// Revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            StoreEvent::Written(entry) => entry.revision,
            StoreEvent::Removed { revision, .. } => *revision,
        }
    }
}

/// Reply to a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// The changes, oldest first and none after a timeout, and the position to continue from.
    ///
    /// NB: the changes directly follow the requested revision only if the position has the same era.
    Changes(Vec<StoreEvent>, Position),
    /// The history after the requested revision was compacted; all keys must be read again.
    HistoryGone,
}

/// Reads all keys with a prefix.
pub type ListCall = Rc<dyn Fn(String) -> PortCall<Listing>>;
/// Waits for changes of keys with a prefix after a revision, at most for a time.
pub type WatchCall = Rc<dyn Fn(String, u64, Duration) -> PortCall<WatchReply>>;
/// Writes all changes atomically; returns the position of the write.
pub type CommitCall = Rc<dyn Fn(Vec<Change>) -> PortFuture<Position>>;

/// Calls to a key-value store, for use on one thread.
#[derive(Clone)]
pub struct StorePort {
    /// Reads all keys with a prefix.
    pub list: ListCall,
    /// Waits for changes.
    pub watch: WatchCall,
    /// Writes conditionally.
    pub commit: CommitCall,
}

impl fmt::Debug for StorePort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("StorePort")
    }
}
