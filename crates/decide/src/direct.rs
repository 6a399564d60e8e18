//! Decisions of an entry that reaches backend servers directly.
//!
//! Pure like the rest of the crate: times are a [`std::time::Duration`] since the start of the
//! process, and nothing here reads a clock or sends a byte.

mod cascade;
mod engine;
mod fleet;
mod freshness;
mod hash;
mod rank;
mod roll_out;
mod sessions;
mod window_budget;

pub use cascade::{Cascade, ModelNumber, Terms};
pub use engine::{Engine, Estimate, ServiceModel};
pub use fleet::{
    Ask, Fleet, Forecast, LoadError, PromptPart, ServerFacts, ServerIndex, ServerLoad, Ticket,
    VersionRule, Weighed,
};
pub use freshness::Freshness;
pub use rank::{RESUMED, Rank, rank_of};
pub use roll_out::{Doubt, Evidence, Move, RollOut, Stage};
pub use sessions::{SessionKey, Sessions, session_key};
pub use window_budget::{WindowBudget, WindowLimits};
