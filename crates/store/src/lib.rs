//! A narrow client of the platform's key-value service.
//!
//! [`Store`] speaks the JSON gateway of the etcd v3 API; its transport is a closure, so that
//! tests put a fake in its place. [`StorePort`] is the same service as a set of closures, for
//! roles that run on stores of other wire forms.

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
