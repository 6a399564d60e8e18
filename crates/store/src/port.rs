//! The store as a set of calls, for code that must not know in which form they travel.

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

/// Future of one call, on the thread that made it.
pub type PortFuture<T> = Pin<Box<dyn Future<Output = Result<T, StoreError>>>>;

/// How far the answer to a call has come. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ReadProgress {
    inner: Rc<Come>,
}

#[derive(Debug, Default)]
struct Come {
    bytes: Cell<usize>,
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    moved: Notify,
}

impl ReadProgress {
    /// So many more bytes of the answer have come.
    pub fn record(&self, bytes: usize) {
        self.inner.bytes.set(self.inner.bytes.get() + bytes);
        let now = Instant::now();
        self.inner.first.set(self.inner.first.get().or(Some(now)));
        self.inner.last.set(Some(now));
        self.inner.moved.notify_one();
    }

    /// Bytes that have come so far.
    pub fn bytes(&self) -> usize {
        self.inner.bytes.get()
    }

    /// When the first of them came, if any has.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.inner.first.get()
    }

    /// When the last of them came, if any has.
    pub fn last_byte_at(&self) -> Option<Instant> {
        self.inner.last.get()
    }

    /// Waits for more of the answer, or returns at once if some came since the last wait.
    pub async fn changed(&self) {
        self.inner.moved.notified().await;
    }
}

/// A reading call under way. It has no time limit of its own: an answer may be large and come over
/// a narrow link, so whoever waits judges by its progress.
pub struct PortCall<T> {
    answer: PortFuture<T>,
    progress: ReadProgress,
}

impl<T> PortCall<T> {
    /// Makes a call, which notes the progress of its answer.
    pub fn new<F>(make: impl FnOnce(ReadProgress) -> F) -> Self
    where
        F: Future<Output = Result<T, StoreError>> + 'static,
    {
        let progress = ReadProgress::default();
        PortCall { answer: Box::pin(make(progress.clone())), progress }
    }

    /// How far its answer has come.
    pub fn progress(&self) -> ReadProgress {
        self.progress.clone()
    }
}

impl<T> Future for PortCall<T> {
    type Output = Result<T, StoreError>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        self.answer.as_mut().poll(context)
    }
}

impl<T> fmt::Debug for PortCall<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PortCall").field("progress", &self.progress).finish_non_exhaustive()
    }
}

/// Number of a history of the store: it rises by one when the store is restored from a copy. 0 where the
/// store names none.
pub type Era = u64;

/// A place in the history of the store.
///
/// NB: a restored store gives revisions out again, so they are compared within one era only; every place of
/// a later era comes after all of an earlier one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era that the revision belongs to.
    pub era: Era,
    /// Number of the last change within it.
    pub revision: u64,
}

/// All keys under a prefix, as one or more reads found them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Keys with their values.
    pub entries: Vec<StoreEntry>,
    /// Place from which a watch misses nothing: that of the first read.
    pub position: Position,
}

/// One change that a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreEvent {
    /// The key was written.
    Written(StoreEntry),
    /// The key is gone.
    Removed {
        /// The key.
        key: String,
        /// Revision of its removal.
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

/// What a watch brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchReply {
    /// The changes in order, none if the wait ran out, and the place to go on from.
    ///
    /// NB: the changes follow the revision asked for only if the place is of the era that it belongs to.
    Changes(Vec<StoreEvent>, Position),
    /// The history after the given revision is gone; read everything anew.
    HistoryGone,
}

/// Reads all keys under a prefix.
pub type ListCall = Rc<dyn Fn(String) -> PortCall<Listing>>;
/// Waits for changes under a prefix after a revision, at most for a time.
pub type WatchCall = Rc<dyn Fn(String, u64, Duration) -> PortCall<WatchReply>>;
/// Writes all changes or none, and returns their place in the history.
pub type CommitCall = Rc<dyn Fn(Vec<Change>) -> PortFuture<Position>>;

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
