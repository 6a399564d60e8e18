//! Usage by workspace and window: the counts of one entry, and the totals over all entries.
//!
//! An entry always publishes its total count of a window, so that lost, late or duplicate messages
//! do no harm. If an entry crashes, only what it has not published is lost.

use std::collections::{BTreeMap, HashMap};

use super::reporter::{UsageCounts, WindowId};

/// Maximum number of windows kept, by one entry and in the totals.
const MAX_WINDOWS: usize = 32;

/// Maximum number of entries whose publishing progress is kept.
const MAX_PUBLISHERS: usize = 4_096;

/// One entry's counts of a window.
#[derive(Debug, Default, Clone)]
struct WindowUsage {
    counts: UsageCounts,
    /// Whether the current counts were published.
    is_published: bool,
}

/// One entry's counts of the windows that are not reported yet.
#[derive(Debug, Default, Clone)]
pub struct UsageMeter {
    windows: BTreeMap<WindowId, WindowUsage>,
}

impl UsageMeter {
    /// Counts a request of a workspace that began to run.
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

    /// Returns the counts that have changed since they were last published, and marks them
    /// published.
    pub fn drain_unpublished(&mut self) -> Vec<(WindowId, UsageCounts)> {
        let unpublished = self.windows.iter_mut().filter(|(_, usage)| !usage.is_published);
        let take = |(window, usage): (&WindowId, &mut WindowUsage)| {
            usage.is_published = true;
            (*window, usage.counts.clone())
        };
        unpublished.map(take).collect()
    }

    /// Schedules a window for publishing even if its counts are empty, which shows that the window
    /// before is over.
    pub fn open_window(&mut self, window: WindowId) {
        self.windows.entry(window).or_default();
    }

    /// Schedules all counts for publishing again, since their receiver may be gone.
    pub fn mark_all_unpublished(&mut self) {
        self.windows.values_mut().for_each(|usage| usage.is_published = false);
    }

    /// Removes the windows before this one.
    pub fn remove_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}

/// Entry that publishes counts, with the number of its incarnation.
pub type UsagePublisher = (String, u64);

/// Latest counts of a window from one publisher, with the number of that message.
type LastPublished = (u64, UsageCounts);

/// Published counts of all entries for the windows that are not reported yet.
#[derive(Debug, Default, Clone)]
pub struct UsageTotals {
    windows: BTreeMap<WindowId, HashMap<UsagePublisher, LastPublished>>,
    /// Unix time in milliseconds up to which each entry has published everything it counted.
    published_until_ms: HashMap<String, u64>,
}

impl UsageTotals {
    /// Records that an entry has published everything it counted up to `unix_ms`.
    pub fn record_published_until(&mut self, entry: &str, unix_ms: u64) {
        if self.published_until_ms.len() >= MAX_PUBLISHERS
            && !self.published_until_ms.contains_key(entry)
        {
            return;
        }
        let until = self.published_until_ms.entry(entry.to_owned()).or_default();
        *until = (*until).max(unix_ms);
    }

    /// Whether every entry that has published since `from_ms` has published everything up to
    /// `to_ms`. In that case reports need not wait, and what is reported cannot be lost with one
    /// entry.
    pub fn have_all_published(&self, from_ms: u64, to_ms: u64) -> bool {
        let mut recent =
            self.published_until_ms.values().filter(|until| **until >= from_ms).peekable();
        recent.peek().is_some() && recent.all(|until| *until >= to_ms)
    }

    /// Applies a publisher's total count of a window. Of several messages the one with the highest
    /// number counts, in whatever order they arrive.
    pub fn apply_counts(
        &mut self,
        publisher: UsagePublisher,
        number: u64,
        window: WindowId,
        counts: UsageCounts,
    ) {
        let publishers = self.windows.entry(window).or_default();
        let is_newer = publishers.get(&publisher).is_none_or(|(latest, _)| *latest < number);
        if is_newer {
            publishers.insert(publisher, (number, counts));
        }
        while self.windows.len() > MAX_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Number of requests of all entries that began in a window, by workspace.
    pub fn total(&self, window: WindowId) -> UsageCounts {
        let mut total = UsageCounts::new();
        let published = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (workspace, count) in published.flat_map(|(_, counts)| counts) {
            let sum = total.entry(workspace.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        total
    }

    /// Removes the windows before this one.
    pub fn remove_before(&mut self, window: WindowId) {
        self.windows = self.windows.split_off(&window);
    }
}
