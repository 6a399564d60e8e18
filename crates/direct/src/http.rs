//! Listeners for callers, the load balancer, operators and other entries.

mod admission;
mod body;
mod body_channel;
mod events;
mod further_send;
mod head_wait;
mod in_flight;
mod lingering_close;
mod listen;
mod long_answer;
mod placement_wait;
mod refusals;
mod relay;
mod reporting;
mod request_reader;
mod serve;
mod side_listeners;
mod stream_progress;

pub use listen::{accept, serve_connection};
pub use side_listeners::{serve_metrics, serve_peers, serve_readiness};
