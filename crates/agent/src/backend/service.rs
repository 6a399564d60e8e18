//! Calls forwarded to a plain service.

use futures::StreamExt;
use pondwalk_types::{Refusal, TokenUsage};
use pondwalk_wire::{FrameKind, StartRequest};
use reqwest::header::CONTENT_TYPE;
use tokio::time::Instant;

use super::{Backend, BackendEnd, REQUEST_ID_HEADER};

impl Backend {
    /// Calls the service and emits the head and body of its response as frames.
    pub(super) async fn call_service(
        &self,
        request: &StartRequest,
        path: &str,
        emit: impl Fn(FrameKind),
    ) -> BackendEnd {
        let started = Instant::now();
        let post = self
            .client
            .post(self.url(path))
            .header(CONTENT_TYPE, &request.content_type)
            .header(REQUEST_ID_HEADER, &request.request)
            .body(request.body.clone());
        let response = match self.send(post).await {
            Ok(response) => response,
            Err(end) => return end,
        };
        let content_type = response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let status = response.status().as_u16();
        emit(FrameKind::Head { status, content_type: content_type.to_owned() });
        let mut body = response.bytes_stream();
        loop {
            match tokio::time::timeout(self.idle_timeout, body.next()).await {
                Ok(Some(Ok(chunk))) => emit(FrameKind::Data(chunk.to_vec())),
                Ok(None) => break,
                _ => return BackendEnd::Failed(Refusal::Cut),
            }
        }
        BackendEnd::Finished { usage: TokenUsage::default(), service_time: started.elapsed() }
    }
}
