//! Usage by workspace and window: what one entry counts, and what all have told.
//!
//! An entry tells the whole of its count of a window each time, so that a message that is lost, late or
//! told twice does no harm, and an entry that dies takes only what it has not told with it.

use std::collections::{BTreeMap, HashMap};

use super::reporter::{UsageCounts, WindowId};

/// Windows that are kept at most, by one entry and in the totals.
const MAX_WINDOWS: usize = 32;

/// Entries of which it is kept until when they have told.
const MAX_PUBLISHERS: usize = 4_096;

/// What one entry has counted of a window.
#[derive(Debug, Default, Clone)]
struct WindowUsage {
    counts: UsageCounts,
    /// Whether all of it was told.
    is_published: bool,
}

/// What one entry has counted of the windows that are not reported yet.
#[derive(Debug, Default, Clone)]
pub struct UsageMeter {
    windows: BTreeMap<WindowId, WindowUsage>,
}

impl UsageMeter {
    /// A request of a workspace began to run.
    pub fn record_request(&mut self, window: WindowId, workspace: &str) {
        let usage = self.windows.entry(window).or_default();
        match usage.counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                usage.counts.insert(workspace.to_owned(), 1);
            }
        }
        usage.is_published = false;
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// The counts that have changed since they were last told.
    pub fn drain_unpublished(&mut self) -> Vec<(WindowId, UsageCounts)> {
        let unpublished = self.windows.iter_mut().filter(|(_, usage)| !usage.is_published);
        let take = |(window, usage): (&WindowId, &mut WindowUsage)| {
            usage.is_published = true;
            (*window, usage.counts.clone())
        };
        unpublished.map(take).collect()
    }

    /// The window is to be told even if nothing is counted in it: that shows that the one before is over.
    pub fn open_window(&mut self, window: WindowId) {
        self.windows.entry(window).or_default();
    }

    /// All is to be told once more, since whoever heard it may be gone.
    pub fn mark_all_unpublished(&mut self) {
        self.windows.values_mut().for_each(|usage| usage.is_published = false);
    }

    /// Forgets the windows before this one.
    pub fn remove_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}

/// A life of an entry that tells its counts.
pub type UsagePublisher = (String, u64);

/// What one life of an entry told last of a window, with the number of that message.
type LastPublished = (u64, UsageCounts);

/// What all entries have told of the windows that are not reported yet.
#[derive(Debug, Default, Clone)]
pub struct UsageTotals {
    windows: BTreeMap<WindowId, HashMap<UsagePublisher, LastPublished>>,
    /// Until when, in milliseconds since 1970, each entry has told all that it counted.
    published_until_ms: HashMap<String, u64>,
}

impl UsageTotals {
    /// Hears that an entry has told all that it counted until then.
    pub fn record_published_until(&mut self, entry: &str, unix_ms: u64) {
        if self.published_until_ms.len() >= MAX_PUBLISHERS
            && !self.published_until_ms.contains_key(entry)
        {
            return;
        }
        let until = self.published_until_ms.entry(entry.to_owned()).or_default();
        *until = (*until).max(unix_ms);
    }

    /// Whether every entry that told anything since `from_ms` has told all up to `to_ms`. Reports need not
    /// wait then, and what is reported cannot be lost with its holder.
    pub fn have_all_published(&self, from_ms: u64, to_ms: u64) -> bool {
        let mut recent =
            self.published_until_ms.values().filter(|until| **until >= from_ms).peekable();
        recent.peek().is_some() && recent.all(|until| *until >= to_ms)
    }

    /// Hears the whole count of a window by one life of an entry. Of several messages, that with the
    /// highest number holds, whenever it comes.
    pub fn apply_counts(
        &mut self,
        publisher: UsagePublisher,
        number: u64,
        window: WindowId,
        counts: UsageCounts,
    ) {
        let publishers = self.windows.entry(window).or_default();
        let is_newer = publishers.get(&publisher).is_none_or(|(known, _)| *known < number);
        if is_newer {
            publishers.insert(publisher, (number, counts));
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Requests of all entries that began in a window.
    pub fn total(&self, window: WindowId) -> UsageCounts {
        let mut total = UsageCounts::new();
        let published = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (workspace, count) in published.flat_map(|(_, counts)| counts) {
            let sum = total.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        total
    }

    /// Forgets the windows before this one.
    pub fn remove_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}
