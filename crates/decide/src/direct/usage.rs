//! Usage by workspace and window: what one entry counts, and what all have told.
//!
//! An entry tells the whole of its count of a window each time, so that a message that is lost, late or
//! told twice does no harm, and an entry that dies takes only what it has not told with it.

use std::collections::{BTreeMap, HashMap};

use super::reporter::{UsageCounts, WindowId};

/// Windows that are kept at most, by one entry and in the totals.
const MOST_WINDOWS: usize = 32;

/// Entries of which it is kept until when they have told.
const MOST_TELLERS: usize = 4_096;

/// What one entry has counted of a window.
#[derive(Debug, Default, Clone)]
struct Counted {
    counts: UsageCounts,
    /// Whether all of it was told.
    is_published: bool,
}

/// What one entry has counted of the windows that are not reported yet.
#[derive(Debug, Default, Clone)]
pub struct UsageMeter {
    windows: BTreeMap<WindowId, Counted>,
}

impl UsageMeter {
    /// A request of a workspace began to run.
    pub fn record_request(&mut self, window: WindowId, workspace: &str) {
        let counted = self.windows.entry(window).or_default();
        match counted.counts.get_mut(workspace) {
            Some(count) => *count += 1,
            None => {
                counted.counts.insert(workspace.to_owned(), 1);
            }
        }
        counted.is_published = false;
        while self.windows.len() > MOST_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// The counts that have changed since they were last told.
    pub fn drain_unpublished(&mut self) -> Vec<(WindowId, UsageCounts)> {
        let untold = self.windows.iter_mut().filter(|(_, counted)| !counted.is_published);
        let take = |(window, counted): (&WindowId, &mut Counted)| {
            counted.is_published = true;
            (*window, counted.counts.clone())
        };
        untold.map(take).collect()
    }

    /// The window is to be told even if nothing is counted in it: that shows that the one before is over.
    pub fn open_window(&mut self, window: WindowId) {
        self.windows.entry(window).or_default();
    }

    /// All is to be told once more, since whoever heard it may be gone.
    pub fn mark_all_unpublished(&mut self) {
        self.windows.values_mut().for_each(|counted| counted.is_published = false);
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
        if self.published_until_ms.len() >= MOST_TELLERS
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
        let mut lately =
            self.published_until_ms.values().filter(|until| **until >= from_ms).peekable();
        lately.peek().is_some() && lately.all(|until| *until >= to_ms)
    }

    /// Hears the whole count of a window by one life of an entry. Of several messages, that with the
    /// highest number holds, whenever it comes.
    pub fn apply_counts(
        &mut self,
        teller: UsagePublisher,
        number: u64,
        window: WindowId,
        counts: UsageCounts,
    ) {
        let of_window = self.windows.entry(window).or_default();
        let is_newer = of_window.get(&teller).is_none_or(|(known, _)| *known < number);
        if is_newer {
            of_window.insert(teller, (number, counts));
        }
        while self.windows.len() > MOST_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Requests of all entries that began in a window.
    pub fn total(&self, window: WindowId) -> UsageCounts {
        let mut total = UsageCounts::new();
        let told = self.windows.get(&window).into_iter().flat_map(HashMap::values);
        for (workspace, count) in told.flat_map(|(_, counts)| counts) {
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
