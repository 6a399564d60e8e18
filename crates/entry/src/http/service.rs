//! `POST /v1/services/NAME/PATH`: calls forwarded to plain services.

use std::{io, sync::Arc};

use futures::stream;
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};
use tokio::sync::mpsc;

use super::{
    chat::{interrupted, response_builder, with_request_id},
    errors, intake,
};
use crate::{answer::AnswerEvent, core::Core};

/// Forwards a call to a service.
#[handler]
pub async fn call(
    request: &Request,
    Path((service, path)): Path<(String, String)>,
    body: Body,
    core: Data<&Arc<Core>>,
) -> Response {
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let target = (service, format!("/{path}{query}"));
    let mut accepted = match intake::accept(&core, request, body, Some(target)).await {
        Ok(accepted) => accepted,
        Err(failure) => return errors::response(&failure),
    };
    match accepted.events.recv().await {
        Some(AnswerEvent::Start(answer_head)) => {
            let (status, content_type) = answer_head.head.clone().unwrap_or((200, String::new()));
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            response_builder(status, &accepted.request_id, &answer_head)
                .content_type(content_type)
                .body(Body::from_bytes_stream(body_stream(accepted.events)))
        }
        Some(AnswerEvent::Fail(failure)) => {
            with_request_id(errors::response(&failure), &accepted.request_id)
        }
        _ => with_request_id(errors::response(&interrupted()), &accepted.request_id),
    }
}

/// The body of the response; an interrupted answer aborts the connection, so that the caller
/// detects it.
fn body_stream(
    events: mpsc::Receiver<AnswerEvent>,
) -> impl futures::Stream<Item = Result<bytes::Bytes, io::Error>> + Send + 'static {
    stream::unfold(Some(events), |events| async move {
        let mut events = events?;
        loop {
            match events.recv().await {
                Some(AnswerEvent::Data(data)) => return Some((Ok(data), Some(events))),
                Some(AnswerEvent::Start(_)) => {}
                Some(AnswerEvent::End) => return None,
                Some(AnswerEvent::Fail(_)) | None => {
                    return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
                }
            }
        }
    })
}
