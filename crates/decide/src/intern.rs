//! Names as small indices, so that inner loops handle numbers only.

use std::{collections::HashMap, sync::Arc};

/// Index of a version or service.
pub type VersionIx = usize;
/// Index of a task.
pub type TaskIx = usize;
/// Index of a workspace.
pub type WorkspaceIx = usize;
/// Index of a backend server.
pub type ServerIx = usize;

/// A table of names.
#[derive(Debug, Default)]
pub struct Names {
    indices: HashMap<Arc<str>, usize>,
    names: Vec<Arc<str>>,
}

impl Names {
    /// The index of a name, new names included.
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

    /// The index of a known name.
    pub fn find(&self, name: &str) -> Option<usize> {
        self.indices.get(name).copied()
    }

    /// The name at an index.
    pub fn name(&self, index: usize) -> &str {
        &self.names[index]
    }
}
