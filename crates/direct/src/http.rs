//! The side that callers, the balancer and operators connect to.

mod body;
mod intake;
mod listen;
mod notes;
mod placing;
mod refuse;
mod relay;
mod report;
mod run;
mod serve;
mod sides;
mod waiting;

pub use listen::{Gate, accept, connection};
pub use sides::{serve_metrics, serve_peers, serve_readiness};
