//! Replays recorded traces through the pure decision code, in virtual time.
//!
//! A backend server is simulated by its number of slots and the recorded service times. The same
//! trace, settings, policy name and seed yield the same report, byte for byte.

mod baseline;
mod driver;
mod events;
mod report;
mod simulation;
pub mod trace;

pub use driver::PolicyName;
pub use report::{Report, UnmetOutcome};
pub use simulation::replay;
pub use trace::{Trace, TraceError};
