//! Soak test: the program as separate processes, with real sockets and signals.
//!
//! Starts entries, a stand-in of the platform's store and stand-in backend servers, sends requests from
//! callers with persistent connections, and injects overlapping series of faults. The requests that
//! callers and backend servers recorded are then checked against the product's promises.

pub mod callers;
pub mod checks;
pub mod child;
pub mod deployment;
pub mod options;
mod part_caller;
pub mod proxy;
pub mod records;
pub mod repeater;
pub mod retry_budget;
pub mod roles;
pub mod schedule;
pub mod soak;
mod stop_callers;
