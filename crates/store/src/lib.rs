//! Client of the platform's key-value store.
//!
//! [`Store`] uses the JSON gateway of the etcd v3 API; its transport is a closure that tests can
//! replace. [`StorePort`] is an interface to the same operations as a set of closures, for
//! roles that run on stores with other protocols.

mod client;
#[cfg(feature = "gateway")]
pub mod gateway;
#[cfg(not(feature = "gateway"))]
mod gateway;
#[cfg(feature = "gateway")]
mod http;
mod port;

pub use client::{Change, Expect, Store, StoreEntry, StoreError, Transport, WatchOutcome};
#[cfg(feature = "gateway")]
pub use http::http_transport;
pub use port::{
    CommitCall, Era, ListCall, Listing, PortCall, PortFuture, Position, ReadProgress, StoreEvent,
    StorePort, WatchCall, WatchReply,
};
