//! The platform's store in memory, on tokio's clock, with injected faults.
//!
//! It serves the calls of [`StorePort`]: keys with revisions, conditional writes, and long-polling
//! watches. Calls can be refused, delayed, left without a response, or lose their responses after
//! they took effect; the history can be dropped, and the store restored from a snapshot.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use pondwalk_store::{
    Change, Era, Expect, Listing, PortCall, Position, ReadProgress, StoreEntry, StoreError,
    StoreEvent, StorePort, WatchReply,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, sleep_until, timeout_at},
};

/// Fault injected into the calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum FaultMode {
    /// No fault: calls are answered at once.
    #[default]
    Normal,
    /// Calls are refused and take no effect.
    Refused,
    /// Calls fail after this time without a response and take no effect.
    Silent(Duration),
    /// Calls take effect, and are answered, after this time.
    Slow(Duration),
    /// Calls take effect at once and are answered after this time.
    Late(Duration),
    /// Responses share a link with this bandwidth, in bytes a second.
    LimitedBandwidth(u64),
    /// Writes take effect, but their responses are lost.
    AnswersLost,
}

/// Time after which a write whose response is late fails with [`StoreError::ResponseLost`].
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of one response that a link with limited bandwidth transfers at a time; chunks of
/// concurrent responses alternate.
const CHUNK_BYTES: usize = 16 * 1024;

/// The value that a change wrote, or `None` if it removed the key.
type NewValue = Option<Vec<u8>>;

#[derive(Debug, Default)]
struct State {
    fault_mode: FaultMode,
    era: Era,
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, NewValue)>,
    dropped_up_to: u64,
    calls: u64,
}

/// The store's keys and history at one revision.
#[derive(Debug, Clone)]
pub struct StoreSnapshot {
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, NewValue)>,
}

/// Handle on the store; clones share its state and its connection.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// Fault mode of this connection, if it differs from that of the store.
    connection_fault_mode: Rc<Cell<Option<FaultMode>>>,
    /// Time at which this connection's link has transferred all responses so far.
    link_free_at: Rc<Cell<Option<Instant>>>,
}

impl MemoryStore {
    /// Returns the store's calls over this connection.
    pub fn port(&self) -> StorePort {
        let (list_store, watch_store, commit_store) = (self.clone(), self.clone(), self.clone());
        StorePort {
            list: Rc::new(move |prefix| {
                let store = list_store.clone();
                PortCall::new(|progress| async move { store.list(&prefix, &progress).await })
            }),
            watch: Rc::new(move |prefix, since, wait| {
                let store = watch_store.clone();
                PortCall::new(|progress| async move {
                    store.watch(&prefix, since, wait, &progress).await
                })
            }),
            commit: Rc::new(move |changes| {
                let store = commit_store.clone();
                Box::pin(async move { store.commit(changes).await })
            }),
        }
    }

    /// Sets the fault mode of all connections that have none of their own.
    pub fn set_fault_mode(&self, fault_mode: FaultMode) {
        self.state.borrow_mut().fault_mode = fault_mode;
        self.changed.notify_waiters();
    }

    /// Returns a handle on the same store with a connection of its own, which can have another
    /// fault mode.
    pub fn new_connection(&self) -> MemoryStore {
        MemoryStore {
            connection_fault_mode: Rc::default(),
            link_free_at: Rc::default(),
            ..self.clone()
        }
    }

    /// Sets the fault mode of this connection.
    pub fn set_connection_fault_mode(&self, fault_mode: FaultMode) {
        self.connection_fault_mode.set(Some(fault_mode));
        self.changed.notify_waiters();
    }

    /// Writes a key, as operators and servers do, regardless of the fault mode.
    pub fn put(&self, key: &str, value: &str) {
        self.state.borrow_mut().apply(key, Some(value.as_bytes().to_vec()));
        self.changed.notify_waiters();
    }

    /// Removes a key, regardless of the fault mode.
    pub fn remove(&self, key: &str) {
        self.state.borrow_mut().apply(key, None);
        self.changed.notify_waiters();
    }

    /// Returns a key's value as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.borrow();
        let (value, _) = state.keys.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Drops the history up to the current revision; older watches receive
    /// [`WatchReply::HistoryGone`].
    pub fn drop_history(&self) {
        let mut state = self.state.borrow_mut();
        state.dropped_up_to = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a snapshot of the store for [`MemoryStore::restore`].
    pub fn snapshot(&self) -> StoreSnapshot {
        let state = self.state.borrow();
        StoreSnapshot {
            revision: state.revision,
            keys: state.keys.clone(),
            history: state.history.clone(),
        }
    }

    /// Restores a snapshot and begins a new era. Later writes are lost, and their revisions are
    /// assigned again.
    pub fn restore(&self, snapshot: StoreSnapshot) {
        let mut state = self.state.borrow_mut();
        state.era += 1;
        state.revision = snapshot.revision;
        state.keys = snapshot.keys;
        state.history = snapshot.history;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Restores a snapshot, then brings the keys for which `is_rewritten` returns true back to
    /// their state before the restoration.
    pub fn restore_and_rewrite(
        &self,
        snapshot: StoreSnapshot,
        is_rewritten: impl Fn(&str) -> bool,
    ) {
        let rewritten = |keys: &BTreeMap<String, (Vec<u8>, u64)>| -> BTreeMap<String, Vec<u8>> {
            let matching = keys.iter().filter(|(key, _)| is_rewritten(key));
            matching.map(|(key, (value, _))| (key.clone(), value.clone())).collect()
        };
        let before = rewritten(&self.state.borrow().keys);
        let restored = rewritten(&snapshot.keys);
        self.restore(snapshot);
        let mut state = self.state.borrow_mut();
        for key in restored.keys().filter(|key| !before.contains_key(*key)) {
            state.apply(key, None);
        }
        for (key, value) in before {
            if restored.get(&key) != Some(&value) {
                state.apply(&key, Some(value));
            }
        }
        drop(state);
        self.changed.notify_waiters();
    }

    /// Current era of the store.
    pub fn era(&self) -> Era {
        self.state.borrow().era
    }

    /// Number of calls received so far.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    async fn list(&self, prefix: &str, progress: &ReadProgress) -> Result<Listing, StoreError> {
        self.apply_fault_mode().await?;
        let listing = self.state.borrow().listing(prefix);
        self.transfer(listing.entries.iter().map(|entry| entry.value.len()).sum(), progress).await;
        Ok(listing)
    }

    async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
        progress: &ReadProgress,
    ) -> Result<WatchReply, StoreError> {
        self.apply_fault_mode().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let reply = self.state.borrow().changes(prefix, since);
            if let Some(reply) = reply {
                self.transfer(reply_bytes(&reply), progress).await;
                return Ok(reply);
            }
            if timeout_at(until, changed).await.is_err() {
                let position = self.state.borrow().position();
                self.transfer(0, progress).await;
                return Ok(WatchReply::Changes(Vec::new(), position));
            }
            if !self.fault_mode().allows_watches_to_wait() {
                return self.apply_fault_mode().await.and(Err(StoreError::ResponseLost));
            }
        }
    }

    async fn commit(&self, changes: Vec<Change>) -> Result<Position, StoreError> {
        self.apply_fault_mode().await?;
        let result = self.state.borrow_mut().commit(changes);
        if result.is_ok() {
            self.changed.notify_waiters();
        }
        match self.fault_mode() {
            FaultMode::AnswersLost if result.is_ok() => return Err(StoreError::ResponseLost),
            FaultMode::Late(time) => {
                sleep(time.min(WRITE_TIMEOUT)).await;
                if time > WRITE_TIMEOUT {
                    return Err(StoreError::ResponseLost);
                }
            }
            _ => {}
        }
        result
    }

    fn fault_mode(&self) -> FaultMode {
        self.connection_fault_mode.get().unwrap_or(self.state.borrow().fault_mode)
    }

    async fn apply_fault_mode(&self) -> Result<(), StoreError> {
        self.state.borrow_mut().calls += 1;
        match self.fault_mode() {
            fault_mode if fault_mode.allows_watches_to_wait() => Ok(()),
            FaultMode::Refused => Err(StoreError::Unreachable),
            FaultMode::Silent(time) => {
                sleep(time).await;
                Err(StoreError::ResponseLost)
            }
            FaultMode::Slow(time) => {
                sleep(time).await;
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Waits for the transfer of a response of `bytes` under the fault mode.
    async fn transfer(&self, bytes: usize, progress: &ReadProgress) {
        match self.fault_mode() {
            FaultMode::Late(time) => sleep(time).await,
            FaultMode::LimitedBandwidth(bytes_per_s) => {
                self.transfer_at_rate(bytes, bytes_per_s, progress).await
            }
            _ => {}
        }
    }

    /// Transfers a response in chunks, which alternate with those of concurrent responses.
    async fn transfer_at_rate(&self, bytes: usize, bytes_per_s: u64, progress: &ReadProgress) {
        let mut remaining = bytes;
        while remaining > 0 {
            let chunk = remaining.min(CHUNK_BYTES);
            let time = Duration::from_secs_f64(chunk as f64 / bytes_per_s as f64);
            let now = Instant::now();
            let done_at = self.link_free_at.get().map_or(now, |free_at| free_at.max(now)) + time;
            self.link_free_at.set(Some(done_at));
            sleep_until(done_at).await;
            progress.record(chunk);
            remaining -= chunk;
        }
    }
}

impl FaultMode {
    /// Whether a watch without changes so far continues to wait in this fault mode.
    fn allows_watches_to_wait(self) -> bool {
        let is_undelayed = matches!(self, FaultMode::Normal | FaultMode::AnswersLost);
        is_undelayed || matches!(self, FaultMode::Late(_) | FaultMode::LimitedBandwidth(_))
    }
}

/// Total size of the values in a watch's reply, in bytes.
fn reply_bytes(reply: &WatchReply) -> usize {
    let WatchReply::Changes(events, _) = reply else { return 0 };
    let bytes = |event: &StoreEvent| match event {
        StoreEvent::Written(entry) => entry.value.len(),
        StoreEvent::Removed { .. } => 0,
    };
    events.iter().map(bytes).sum()
}

impl State {
    fn position(&self) -> Position {
        Position { era: self.era, revision: self.revision }
    }

    fn listing(&self, prefix: &str) -> Listing {
        let found = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(key, (value, revision))| StoreEntry {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        Listing { entries: entries.collect(), position: self.position() }
    }

    /// Applies all changes if all their conditions hold, or none.
    fn commit(&mut self, changes: Vec<Change>) -> Result<Position, StoreError> {
        let conditions_hold = changes.iter().all(|change| {
            let current = self.keys.get(&change.key).map(|(_, revision)| *revision);
            match change.expect {
                Expect::Absent => current.is_none(),
                Expect::Revision(revision) => current == Some(revision),
            }
        });
        if !conditions_hold {
            return Err(StoreError::Conflict);
        }
        for change in changes {
            self.apply(&change.key, Some(change.value));
        }
        Ok(self.position())
    }

    fn apply(&mut self, key: &str, value: NewValue) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push((revision, key.to_owned(), value.clone()));
        match value {
            Some(value) => {
                self.keys.insert(key.to_owned(), (value, revision));
            }
            None => {
                self.keys.remove(key);
            }
        }
    }

    /// Returns the reply to a watch from `since`, or `None` if there is no change yet.
    fn changes(&self, prefix: &str, since: u64) -> Option<WatchReply> {
        if since < self.dropped_up_to || since > self.revision {
            return Some(WatchReply::HistoryGone);
        }
        let newer = self.history.iter().filter(|(revision, _, _)| *revision > since);
        let events: Vec<StoreEvent> = newer
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => StoreEvent::Written(StoreEntry {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                }),
                None => StoreEvent::Removed { key: key.clone(), revision: *revision },
            })
            .collect();
        (!events.is_empty()).then_some(WatchReply::Changes(events, self.position()))
    }
}
