//! The platform's list of live and leaving instances, which shows changes with a delay.

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

/// One instance on the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name of the instance.
    pub instance: String,
    /// `agent` or `entry`.
    pub role: String,
    /// Data centre that the instance runs in.
    pub data_centre: String,
    /// Address on which the instance's pondwalk process listens.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Debug)]
struct Shared {
    lag: Duration,
    /// Versions of the list with the times at which they were set, oldest first.
    history: Mutex<Vec<(Instant, Vec<ListedInstance>)>>,
}

/// A listening instance-list service.
#[derive(Debug)]
pub struct InstanceList {
    shared: Arc<Shared>,
    listening: Listening,
}

impl InstanceList {
    /// Starts the service at `address`; readers see changes after `lag`.
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(
        address: SocketAddr,
        lag: Duration,
        instances: Vec<ListedInstance>,
    ) -> io::Result<Self> {
        let long_ago = Instant::now().checked_sub(lag).unwrap_or_else(Instant::now);
        let shared = Shared { lag, history: Mutex::new(vec![(long_ago, instances)]) };
        let shared = Arc::new(shared);
        let route = Route::new().at("/v1/instances", get(show_list)).data(shared.clone());
        Ok(InstanceList { shared, listening: listen(address, route).await? })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Changes the list; readers see the change after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut history = self.shared.history.lock().unwrap_or_else(PoisonError::into_inner);
        let mut newest = history.last().map(|(_, list)| list.clone()).unwrap_or_default();
        change(&mut newest);
        history.push((Instant::now(), newest));
    }
}

#[handler]
fn show_list(shared: Data<&Arc<Shared>>) -> Response {
    let history = shared.history.lock().unwrap_or_else(PoisonError::into_inner);
    let now = Instant::now();
    let visible = history.iter().rev().find(|(since, _)| *since + shared.lag <= now);
    let list = visible.map(|(_, list)| list.as_slice()).unwrap_or_default();
    Response::builder()
        .content_type("application/json")
        .body(serde_json::to_string(list).unwrap_or_default())
}
