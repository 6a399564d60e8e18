//! The rating service: reads the quality that the engine's stand-in wrote into its answer.

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
    rated: AtomicU64,
}

/// A listening rating service.
#[derive(Debug)]
pub struct RatingService {
    shared: Arc<Shared>,
    listening: Listening,
}

impl RatingService {
    /// Starts a service at an address that takes `delay` for each rating.
    pub async fn start(address: SocketAddr, delay: Duration) -> io::Result<Self> {
        let available = AtomicBool::new(true);
        let shared = Arc::new(Shared { delay, available, rated: AtomicU64::new(0) });
        let route = Route::new().at("/v1/rate", post(rate)).data(shared.clone());
        Ok(RatingService { shared, listening: listen(address, route).await? })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listening.address
    }

    /// Takes it down or brings it available.
    pub fn set_available(&self, available: bool) {
        self.shared.available.store(available, Ordering::Relaxed);
    }

    /// Ratings given.
    pub fn rating_count(&self) -> u64 {
        self.shared.rated.load(Ordering::Relaxed)
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
    shared.rated.fetch_add(1, Ordering::Relaxed);
    Response::builder().body(json!({ "quality": quality }).to_string())
}

/// Reads the quality at the start of an answer.
pub fn parse_quality(answer: &str) -> Option<f64> {
    let (quality, _) = answer.strip_prefix('[')?.split_once(']')?;
    quality.parse().ok()
}
