//! Rating service: returns the quality that the stand-in of the engine wrote into its answer.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use poem::{
    EndpointExt, Response, Route, handler,
    http::StatusCode,
    post,
    web::{Data, Json},
};
use serde_json::{Value, json};

use crate::listen::{Listening, listen};

#[derive(Debug)]
struct Shared {
    delay: Duration,
    available: AtomicBool,
    rating_count: AtomicU64,
}

/// A listening rating service.
#[derive(Debug)]
pub struct RatingService {
    shared: Arc<Shared>,
    listening: Listening,
}

impl RatingService {
    /// Starts a service at `address` that takes `delay` for each rating.
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr, delay: Duration) -> io::Result<Self> {
        let available = AtomicBool::new(true);
        let shared = Arc::new(Shared { delay, available, rating_count: AtomicU64::new(0) });
        let route = Route::new().at("/v1/rate", post(rate)).data(shared.clone());
        Ok(RatingService { shared, listening: listen(address, route).await? })
    }

    /// Address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Sets whether the service rates answers; an unavailable service responds with 503.
    pub fn set_available(&self, available: bool) {
        self.shared.available.store(available, Ordering::Relaxed);
    }

    /// Number of answers rated so far.
    pub fn rating_count(&self) -> u64 {
        self.shared.rating_count.load(Ordering::Relaxed)
    }
}

#[handler]
async fn rate(body: Json<Value>, shared: Data<&Arc<Shared>>) -> Response {
    if !shared.available.load(Ordering::Relaxed) {
        return Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).finish();
    }
    tokio::time::sleep(shared.delay).await;
    let Some(quality) = parse_quality(body["answer"].as_str().unwrap_or_default()) else {
        return Response::builder().status(StatusCode::UNPROCESSABLE_ENTITY).finish();
    };
    shared.rating_count.fetch_add(1, Ordering::Relaxed);
    Response::builder().body(json!({ "quality": quality }).to_string())
}

/// Parses the quality in square brackets at the start of an answer, such as `[0.83]`.
pub fn parse_quality(answer: &str) -> Option<f64> {
    let (quality, _) = answer.strip_prefix('[')?.split_once(']')?;
    quality.parse().ok()
}
