//! An entry that reaches backend servers directly, without an agent beside them.
//!
//! Callers speak HTTP to it; it chooses model, version and backend server, sends the request
//! with its body untouched, and passes the answer back. Configuration, backend servers and
//! roll-out orders come from the platform's store, whose form a [`Port`] hides; the names of
//! headers come as a [`Dialect`].

pub mod catalog;
mod clock;
mod conductor;
pub mod content;
mod core;
pub mod dialect;
mod entry;
pub mod events;
pub mod facts;
mod follow;
mod foresight;
mod http;
pub mod journal;
mod leavers;
pub mod membership;
mod metrics;
mod notice;
mod permits;
mod placement;
mod quarantine;
mod request;
mod run;
mod state;
pub mod upstream;
mod usage;

pub use dialect::Dialect;
pub use entry::Entry;
pub use facts::{Fact, Port, ReportError, UsageReport};
pub use run::{RunError, run};
