//! Client of the platform's list of live and leaving instances.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{DataCentreId, InstanceId};
use serde::Deserialize;
use thiserror::Error;

const LIST_PATH: &str = "/v1/instances";
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Which role runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry.
    Entry,
    /// An agent beside a backend server.
    Agent,
}

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is up.
    Live,
    /// It will be gone soon.
    Leaving,
}

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Its name; for an agent that of its backend server.
    pub instance: InstanceId,
    /// What runs there.
    pub role: Role,
    /// Where it is.
    pub data_centre: DataCentreId,
    /// Where its pondwalk process listens.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: InstanceState,
}

/// Why the list could not be read.
#[derive(Debug, Error)]
pub enum ListError {
    /// The call failed.
    #[error("the instance list cannot be read: {0}")]
    Call(#[from] reqwest::Error),
}

/// Reads the list.
pub async fn read_list(
    client: &reqwest::Client,
    address: SocketAddr,
) -> Result<Vec<Instance>, ListError> {
    let call = client.get(format!("http://{address}{LIST_PATH}")).timeout(LIST_TIMEOUT);
    Ok(call.send().await?.error_for_status()?.json().await?)
}
