//! An entry that reaches backend servers directly, without agents beside them.
//!
//! Callers speak HTTP to the entry. It chooses model, version and backend server, forwards the
//! request with its body unchanged, and relays the answer. Configuration, backend servers and
//! roll-out orders come from the platform's store, accessed through a [`Port`]; header names come
//! from a [`Dialect`].

pub mod catalog;
mod clock;
mod configuration_status;
pub mod content;
mod coordinator;
mod core;
mod credentials;
mod deliveries;
pub mod dialect;
mod draining_servers;
mod entry;
pub mod event_log;
mod follow;
mod forecasts;
mod http;
mod latch;
pub mod load;
mod loans;
pub mod membership;
mod metrics;
mod outage;
pub mod panics;
mod permits;
mod placement;
pub mod port;
mod quarantine;
mod request;
mod resident;
mod run;
mod server_signals;
pub mod signals;
pub mod sse;
mod state;
mod tasks;
pub mod upstream;
mod usage;

pub use dialect::Dialect;
pub use entry::Entry;
pub use outage::Outage;
pub use port::{Port, ReportError, StoreRecord, UsageReport};
pub use run::{RunError, run};
