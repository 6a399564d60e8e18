//! Client of the platform's list of instances.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, InstanceId};
use serde::Deserialize;
use thiserror::Error;

const LIST_PATH: &str = "/v1/instances";
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// The role of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside a backend server.
    Agent,
}

/// The state of an instance, as reported by the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is draining and will stop soon.
    Leaving,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name of the instance; for an agent, the name of its backend server.
    pub instance: InstanceId,
    /// Its role.
    pub role: Role,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Address on which its pondwalk process listens.
    pub address: SocketAddr,
    /// Whether it is live or draining.
    pub state: InstanceState,
}

/// An error while reading the list of instances.
#[derive(Debug, Error)]
pub enum ListError {
    /// The HTTP call failed or returned an invalid list.
    #[error("the instance list cannot be read: {0}")]
    Call(#[from] reqwest::Error),
}

/// Reads the list of instances from the platform service at `address`.
pub async fn read_list(
    client: &reqwest::Client,
    address: SocketAddr,
) -> Result<Vec<Instance>, ListError> {
    let call = client.get(format!("http://{address}{LIST_PATH}")).timeout(LIST_TIMEOUT);
    Ok(call.send().await?.error_for_status()?.json().await?)
}
