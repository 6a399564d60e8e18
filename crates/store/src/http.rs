//! HTTP transport.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use futures::StreamExt;

use crate::{
    client::{StoreError, Transport},
    gateway::WATCH_PATH,
};

/// Creates a transport that posts requests to the gateway at `address`.
pub fn http_transport(address: SocketAddr) -> Transport {
    let client = reqwest::Client::new();
    Arc::new(move |path, body, wait| {
        let url = format!("http://{address}{path}");
        let client = client.clone();
        Box::pin(async move { post(client, url, path, body, wait).await })
    })
}

async fn post(
    client: reqwest::Client,
    url: String,
    path: &'static str,
    body: String,
    wait: Duration,
) -> Result<String, StoreError> {
    let request = client.post(url).body(body);
    let exchange = async {
        let reply = request.send().await.map_err(classify)?;
        let reply = reply.error_for_status().map_err(classify)?;
        if path == WATCH_PATH {
            return first_events(reply).await;
        }
        reply.text().await.map_err(|_| StoreError::ResponseLost)
    };
    tokio::time::timeout(wait, exchange).await.unwrap_or(Err(StoreError::ResponseLost))
}

/// Reads the response stream of a watch up to the first line with a change.
async fn first_events(reply: reqwest::Response) -> Result<String, StoreError> {
    let mut stream = reply.bytes_stream();
    let mut pending = Vec::new();
    while let Some(chunk) = stream.next().await {
        pending.extend_from_slice(&chunk.map_err(|_| StoreError::ResponseLost)?);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let line = String::from_utf8(line).map_err(|_| StoreError::Malformed)?;
            if line.contains("\"kv\"") {
                return Ok(line);
            }
        }
    }
    Err(StoreError::ResponseLost)
}

fn classify(error: reqwest::Error) -> StoreError {
    // NB: every other status may be sent after the write took effect.
    let unavailable = error.status() == Some(reqwest::StatusCode::SERVICE_UNAVAILABLE);
    if error.is_connect() || unavailable {
        return StoreError::Unreachable;
    }
    StoreError::ResponseLost
}
