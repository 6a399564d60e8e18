//! Distribution tree, derived from the order of the entries.
//!
//! The first entries are roots and watch the store. If the others are too many to poll the roots
//! themselves, the next ones are branches, which poll a root, and the rest are leaves, which poll a
//! branch. The number of roots is bounded, and so is the number of children of each entry.

/// Maximum number of roots. With three, if a third of the entries lose the store, at least one root
/// keeps it in 27 of 28 cases; more roots would only cost calls.
const MAX_ROOTS: usize = 3;
/// Entries for each root beyond the first, up to [`MAX_ROOTS`].
const ENTRIES_PER_ROOT: usize = 16;
/// Maximum number of children of an entry. A response takes some 0.1 ms of processor time, and two
/// a second for each child add up to a third of a percent of one core.
pub const FAN_OUT: usize = 16;

/// Role of an entry in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TreeRole {
    /// Watches the store.
    Root,
    /// Polls the entry at this index of the order.
    ChildOf(usize),
}

/// Number of roots among `entries` entries.
pub fn root_count(entries: usize) -> usize {
    (1 + entries / ENTRIES_PER_ROOT).min(MAX_ROOTS)
}

/// Number of branches; 0 while all other entries can poll the roots directly.
fn branch_count(entries: usize, roots: usize) -> usize {
    let others = entries.saturating_sub(roots);
    if others <= roots * FAN_OUT { 0 } else { others.div_ceil(FAN_OUT + 1) }
}

/// Role of the entry at index `position` of `entries`. Without a tree there is one root per 16
/// entries, and all others poll a root.
pub fn tree_role(position: usize, entries: usize, in_tree: bool) -> TreeRole {
    let roots = if in_tree { root_count(entries) } else { 1 + entries / ENTRIES_PER_ROOT };
    let branches = if in_tree { branch_count(entries, roots) } else { 0 };
    if position < roots {
        TreeRole::Root
    } else if branches == 0 || position < roots + branches {
        TreeRole::ChildOf((position - roots) % roots)
    } else {
        TreeRole::ChildOf(roots + (position - roots - branches) % branches)
    }
}
