//! A soak: the real program as separate processes, on real sockets and under real signals.
//!
//! It starts entries, a stand-in of the platform's store and stand-in backend servers, lets callers
//! keep connections to the entries, and brings series of faults about that overlap. What callers and
//! backend servers have seen is then held against what the product promises.

pub mod callers;
pub mod checks;
pub mod child;
pub mod deployment;
pub mod options;
pub mod proxy;
pub mod records;
pub mod repeater;
pub mod roles;
pub mod schedule;
pub mod soak;
