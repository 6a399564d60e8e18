//! Whole deployments on loopback: both roles and the stand-ins in one process, with real HTTP
//! between them. The demo, the bench and the end-to-end tests share it.

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
