//! Complete deployments on loopback: both roles and the stand-ins in one process, connected by real HTTP.
//! Shared by the demo, the benchmark and the end-to-end tests.

pub mod bench;
pub mod caller;
pub mod day;
pub mod deployment;
pub mod faults;
pub mod load;
pub mod promises;
pub mod table;

pub use day::{DemoError, DemoReport, run_day};
pub use deployment::{Deployment, DeploymentError, Plan};
