//! The platform's list of live and leaving instances, which lags.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use poem::{EndpointExt, Response, Route, get, handler, web::Data};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::listen::{Listening, listen};

/// One line of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: String,
    /// `agent` or `entry`.
    pub role: String,
    /// Where it is.
    pub data_centre: String,
    /// Where its pondwalk process listens.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Debug)]
struct Shared {
    lag: Duration,
    /// Each list with the time from which it was true.
    versions: Mutex<Vec<(Instant, Vec<ListedInstance>)>>,
}

/// A listening instance list.
#[derive(Debug)]
pub struct InstanceList {
    shared: Arc<Shared>,
    listening: Listening,
}

impl InstanceList {
    /// Starts a list at an address that shows changes after `lag`.
    pub async fn start(
        address: SocketAddr,
        lag: Duration,
        instances: Vec<ListedInstance>,
    ) -> io::Result<Self> {
        let long_ago = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let shared = Shared { lag, versions: Mutex::new(vec![(long_ago, instances)]) };
        let shared = Arc::new(shared);
        let route = Route::new().at("/v1/instances", get(show_list)).data(shared.clone());
        Ok(InstanceList { shared, listening: listen(address, route).await? })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Changes the list; readers see it after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut versions = self.shared.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let mut newest = versions.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut newest);
        versions.push((Instant::now(), newest));
    }
}

#[handler]
fn show_list(shared: Data<&Arc<Shared>>) -> Response {
    let versions = shared.versions.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let visible = versions.iter().rev().find(|(since, _)| *since + shared.lag <= now);
    let list = visible.map(|(_, list)| list.as_slice()).unwrap_or_default();
    Response::builder()
        .content_type("application/json")
        .body(serde_json::to_string(list).unwrap_or_default())
}
