//! The decision: which model version and backend server answer each request.
//!
//! The crate is pure. It has no clock, no I/O, no async code and no source of random numbers of
//! its own: times come in as a [`std::time::Duration`] since any fixed origin, random numbers
//! from a generator that the caller passes, and decisions go out as typed values. The entry, the
//! agent and the replay call the same code.
//!
//! * [`Router`] is the entry's side: it plans a request, follows it from step to step and learns
//!   from what comes back.
//! * [`AdmissionQueue`] is the agent's side: fair shares, deadlines and displacement.
//! * [`direct`] is the entry's side where it reaches backend servers without agents.
//! * [`Trial`] is the sequential test of a new version, used on both sides.

mod account;
mod admission;
mod budget;
pub mod direct;
mod estimate;
mod flight;
mod histogram;
mod intern;
mod plan;
mod request;
mod router;
mod servers;
mod session;
mod trial;
pub mod tuning;

pub use admission::{Admission, AdmissionQueue, Dispatch, QueuedWork};
pub use budget::{RetryBudget, SpendBudget};
pub use flight::{DeliveredAnswer, InFlightRequest};
pub use request::{FinishedRun, NextAction, PlannedRun, Request, ServerReport};
pub use router::{Router, RouterCounters};
pub use trial::{Baseline, Reference, Trial, TrialStage, TripCause};
