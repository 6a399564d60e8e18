//! Client of the service that rates answers.

use std::{net::SocketAddr, time::Duration};

use pondwalk_types::{TaskId, VersionId};
use serde::{Deserialize, Serialize};

/// Longest wait for a rating that nobody holds an answer for.
pub const RATING_TIMEOUT: Duration = Duration::from_secs(10);
const RATE_PATH: &str = "/v1/rate";

/// What is to be rated.
#[derive(Debug, Clone, Serialize)]
pub struct RatingRequest {
    /// Kind of work.
    pub task: TaskId,
    /// The version that answered.
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

    /// The rating of an answer from 0 to 1, or `None` if the service gives none within `wait`.
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
