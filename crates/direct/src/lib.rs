//! An entry that reaches backend servers directly, without an agent beside them.
//!
//! Callers speak HTTP to it; it chooses model, version and backend server, sends the request
//! with its body untouched, and passes the answer back. Configuration, backend servers and
//! roll-out orders come from the platform's store, whose form a [`Port`] hides; the names of
//! headers come as a [`Dialect`].

pub mod catalog;
mod conductor;
mod clock;
mod core;
pub mod dialect;
pub mod events;
pub mod facts;
mod follow;
mod http;
pub mod journal;
mod metrics;
mod placement;
mod request;
mod run;
mod upstream;

pub use dialect::Dialect;
pub use facts::{Fact, Port};
pub use run::{RunError, run};
