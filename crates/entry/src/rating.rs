//! Client of the rating service.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{TaskId, VersionId};
use serde::{Deserialize, Serialize};

/// Timeout of ratings of delivered answers.
pub const RATING_TIMEOUT: Duration = Duration::from_secs(10);
const RATE_PATH: &str = "/v1/rate";

/// A request to rate an answer.
#[derive(Debug, Clone, Serialize)]
pub struct RatingRequest {
    /// Kind of work.
    pub task: TaskId,
    /// The version that produced the answer.
    pub version: VersionId,
    /// The caller's request body.
    pub prompt: String,
    /// The text of the answer.
    pub answer: String,
}

#[derive(Debug, Deserialize)]
struct RatingReply {
    quality: f64,
}

/// A client of the rating service.
#[derive(Debug, Clone)]
pub struct RatingClient {
    url: String,
    client: reqwest::Client,
}

impl RatingClient {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        let url = format!("http://{address}{RATE_PATH}");
        RatingClient { url, client: reqwest::Client::new() }
    }

    /// Rates an answer from 0 to 1; `None` if the service fails or takes longer than `wait`.
    pub async fn rate(&self, request: &RatingRequest, wait: Duration) -> Option<f64> {
        let call = async {
            let reply = self.client.post(&self.url).json(request).send().await.ok()?;
            let reply: RatingReply = reply.error_for_status().ok()?.json().await.ok()?;
            Some(reply.quality)
        };
        let quality = tokio::time::timeout(wait, call).await.ok()??;
        (0.0..=1.0).contains(&quality).then_some(quality)
    }
}
