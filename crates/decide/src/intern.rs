//! Interning of names as indices, so that inner loops handle integers only.

use std::{collections::HashMap, sync::Arc};

/// Index of a version or service.
pub type VersionIx = usize;
/// Index of a task.
pub type TaskIx = usize;
/// Index of a workspace.
pub type WorkspaceIx = usize;
/// Index of a backend server.
pub type ServerIx = usize;

/// A bidirectional table of names and indices.
#[derive(Debug, Default)]
pub struct Interner {
    indices: HashMap<Arc<str>, usize>,
    names: Vec<Arc<str>>,
}

impl Interner {
    /// Returns the index of a name, adding the name if it is new.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(index) = self.indices.get(name) {
            return *index;
        }
        let name: Arc<str> = name.into();
        let index = self.names.len();
        self.names.push(name.clone());
        self.indices.insert(name, index);
        index
    }

    /// The index of a name, if it has been interned.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The name at an index that [`Self::intern`] returned.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}
