//! The platform's store as one process sees it, in memory and on tokio's clock, with its faults.
//!
//! It serves the calls of [`StorePort`]: keys with revisions, conditional writes, and watches
//! that wait. Calls can be kept from being answered, refused, slowed, or lose their answers
//! after taking effect; the history can be dropped.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use pondwalk_store::{
    Change, Expect, Fetched, Listing, StoreError, StoreEvent, StorePort, WatchReply,
};
use tokio::{
    sync::Notify,
    time::{Instant, sleep, timeout_at},
};

/// How calls fare.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Weather {
    /// They are answered at once.
    #[default]
    Fair,
    /// They are refused; nothing is done.
    Refused,
    /// They get no answer for this long, and then fail; nothing is done.
    Silent(Duration),
    /// They are answered after this long.
    Slow(Duration),
    /// Writes take effect, and their answers are lost.
    AnswersLost,
}

/// What a change did.
type Written = Option<Vec<u8>>;

#[derive(Debug, Default)]
struct State {
    weather: Weather,
    revision: u64,
    keys: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, Written)>,
    forgotten: u64,
    calls: u64,
}

/// The store.
#[derive(Debug, Clone, Default)]
pub struct MemoryStore {
    state: Rc<RefCell<State>>,
    changed: Rc<Notify>,
    /// How the calls on this way fare, if otherwise than all calls.
    own_weather: Rc<Cell<Option<Weather>>>,
}

impl MemoryStore {
    /// The store's calls.
    pub fn port(&self) -> StorePort {
        let (listing, watching, committing) = (self.clone(), self.clone(), self.clone());
        StorePort {
            list: Rc::new(move |prefix| {
                let store = listing.clone();
                Box::pin(async move { store.list(&prefix).await })
            }),
            watch: Rc::new(move |prefix, since, wait| {
                let store = watching.clone();
                Box::pin(async move { store.watch(&prefix, since, wait).await })
            }),
            commit: Rc::new(move |changes| {
                let store = committing.clone();
                Box::pin(async move { store.commit(changes).await })
            }),
        }
    }

    /// Sets how calls fare from now on.
    pub fn set_weather(&self, weather: Weather) {
        self.state.borrow_mut().weather = weather;
        self.changed.notify_waiters();
    }

    /// The same store on a way of its own, which can fare differently.
    pub fn another_way(&self) -> MemoryStore {
        MemoryStore { own_weather: Rc::default(), ..self.clone() }
    }

    /// Sets how calls on this way fare from now on.
    pub fn set_own_weather(&self, weather: Weather) {
        self.own_weather.set(Some(weather));
        self.changed.notify_waiters();
    }

    /// Writes a key, as operators and servers do, whatever the weather.
    pub fn put(&self, key: &str, value: &str) {
        self.state.borrow_mut().apply(key, Some(value.as_bytes().to_vec()));
        self.changed.notify_waiters();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.borrow_mut().apply(key, None);
        self.changed.notify_waiters();
    }

    /// A key's value as text.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.state.borrow();
        let (value, _) = state.keys.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    /// Drops the history up to now.
    pub fn forget_history(&self) {
        let mut state = self.state.borrow_mut();
        state.forgotten = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Calls made so far.
    pub fn calls(&self) -> u64 {
        self.state.borrow().calls
    }

    async fn list(&self, prefix: &str) -> Result<Listing, StoreError> {
        self.meet_weather().await?;
        let state = self.state.borrow();
        let found = state.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = found.map(|(key, (value, revision))| Fetched {
            key: key.clone(),
            value: value.clone(),
            revision: *revision,
        });
        Ok(Listing { entries: entries.collect(), revision: state.revision })
    }

    async fn watch(
        &self,
        prefix: &str,
        since: u64,
        wait: Duration,
    ) -> Result<WatchReply, StoreError> {
        self.meet_weather().await?;
        let until = Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            if let Some(reply) = self.state.borrow().changes(prefix, since) {
                return Ok(reply);
            }
            if timeout_at(until, changed).await.is_err() {
                let revision = self.state.borrow().revision;
                return Ok(WatchReply::Changes(Vec::new(), revision));
            }
            if !matches!(self.weather(), Weather::Fair | Weather::AnswersLost) {
                return self.meet_weather().await.and(Err(StoreError::AnswerLost));
            }
        }
    }

    async fn commit(&self, changes: Vec<Change>) -> Result<u64, StoreError> {
        self.meet_weather().await?;
        let mut state = self.state.borrow_mut();
        let holds = changes.iter().all(|change| {
            let current = state.keys.get(&change.key).map(|(_, revision)| *revision);
            match change.expect {
                Expect::Absent => current.is_none(),
                Expect::Revision(revision) => current == Some(revision),
            }
        });
        if !holds {
            return Err(StoreError::Conflict);
        }
        for change in changes {
            state.apply(&change.key, Some(change.value));
        }
        let lost = state.weather == Weather::AnswersLost;
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        if lost { Err(StoreError::AnswerLost) } else { Ok(revision) }
    }

    fn weather(&self) -> Weather {
        self.own_weather.get().unwrap_or(self.state.borrow().weather)
    }

    async fn meet_weather(&self) -> Result<(), StoreError> {
        self.state.borrow_mut().calls += 1;
        match self.weather() {
            Weather::Fair | Weather::AnswersLost => Ok(()),
            Weather::Refused => Err(StoreError::Unreachable),
            Weather::Silent(time) => {
                sleep(time).await;
                Err(StoreError::AnswerLost)
            }
            Weather::Slow(time) => {
                sleep(time).await;
                Ok(())
            }
        }
    }
}

impl State {
    fn apply(&mut self, key: &str, value: Written) {
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

    /// What a watch after `since` has to tell, if anything.
    fn changes(&self, prefix: &str, since: u64) -> Option<WatchReply> {
        if since < self.forgotten {
            return Some(WatchReply::HistoryGone);
        }
        let newer = self.history.iter().filter(|(revision, _, _)| *revision > since);
        let events: Vec<StoreEvent> = newer
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(revision, key, value)| match value {
                Some(value) => StoreEvent::Written(Fetched {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                }),
                None => StoreEvent::Removed(key.clone()),
            })
            .collect();
        (!events.is_empty()).then_some(WatchReply::Changes(events, self.revision))
    }
}
