//! Plain HTTP service that answers every call after a fixed delay.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use poem::{EndpointExt, Request, Response, Route, handler, http::header, web::Data};
use serde_json::json;

use crate::{
    engine::REQUEST_ID_HEADER,
    listen::{Listening, listen},
};

#[derive(Debug)]
struct Shared {
    delay: Duration,
    log: Mutex<Vec<String>>,
}

/// A listening plain service.
#[derive(Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    listening: Listening,
}

impl PlainService {
    /// Starts a service at `address` that takes `delay` for each call.
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, delay: Duration) -> io::Result<Self> {
        let shared = Arc::new(Shared { delay, log: Mutex::default() });
        let route = Route::new().at("/*path", answer).data(shared.clone());
        Ok(PlainService { shared, listening: listen(address, route).await? })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Ids of the requests received, in order of arrival.
    pub fn log(&self) -> Vec<String> {
        self.shared.log.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

#[handler]
async fn answer(request: &Request, shared: Data<&Arc<Shared>>) -> Response {
    let id = request.header(REQUEST_ID_HEADER).unwrap_or_default().to_owned();
    shared.log.lock().unwrap_or_else(PoisonError::into_inner).push(id);
    tokio::time::sleep(shared.delay).await;
    let body = json!({ "path": request.uri().path(), "value": 42 });
    Response::builder().header(header::CONTENT_TYPE, "application/json").body(body.to_string())
}
