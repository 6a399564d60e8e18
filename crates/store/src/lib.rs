//! A narrow client of the platform's key-value service.
//!
//! The wire form is the JSON gateway of the etcd v3 API; the transport is a closure, so that
//! tests put a fake in its place.

mod client;
pub mod gateway;
mod http;

pub use client::{Change, Expect, Fetched, Store, StoreError, Transport, Watched};
pub use http::http_transport;
