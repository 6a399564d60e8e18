//! Who asks whom, by place in the order of the entries.
//!
//! The first entries are roots and ask the store. If the others are too many to ask the roots
//! themselves, the next ones are branches, which ask a root, and the rest are leaves, which ask a
//! branch. The number of roots does not grow with the entries, and nobody is asked by many.

/// Most roots. With three, a third of the entries may be cut off from the store and 27 in 28 times
/// a root is left; more would only cost calls.
const MOST_ROOTS: usize = 3;
/// Entries for each root beyond the first, up to the most.
const ENTRIES_PER_ROOT: usize = 16;
/// Entries that may ask one other. An answer costs some 0.1 ms of a processor, and twice a second
/// for each asker that is a third of a hundredth of one core.
pub const FAN_OUT: usize = 16;

/// Where an entry stands in the tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TreeRole {
    /// It asks the store.
    Root,
    /// It asks the entry at this place of the order.
    ChildOf(usize),
}

/// Roots among so many entries.
pub fn root_count(entries: usize) -> usize {
    (1 + entries / ENTRIES_PER_ROOT).min(MOST_ROOTS)
}

/// Branches among so many entries; none while the roots can be asked by all.
fn branches(entries: usize, roots: usize) -> usize {
    let others = entries.saturating_sub(roots);
    if others <= roots * FAN_OUT { 0 } else { others.div_ceil(FAN_OUT + 1) }
}

/// The place of an entry that is `position`th of `entries`, in a tree, or without one below as
/// many roots as there are sixteenths of the entries.
pub fn tree_role(position: usize, entries: usize, in_tree: bool) -> TreeRole {
    let roots = if in_tree { root_count(entries) } else { 1 + entries / ENTRIES_PER_ROOT };
    let branches = if in_tree { branches(entries, roots) } else { 0 };
    if position < roots {
        TreeRole::Root
    } else if branches == 0 || position < roots + branches {
        TreeRole::ChildOf((position - roots) % roots)
    } else {
        TreeRole::ChildOf(roots + (position - roots - branches) % branches)
    }
}
