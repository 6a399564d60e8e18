//! `POST /v1/services/NAME/PATH`: calls passed through to plain services.

use std::{io, sync::Arc};

use futures::stream;
use poem::{
    Body, Request, Response, handler,
    http::StatusCode,
    web::{Data, Path},
};
use tokio::sync::mpsc;

use super::{
    chat::{answer_head, cut, with_id},
    errors, intake,
};
use crate::{answer::Piece, core::Core};

/// Passes a call through.
#[handler]
pub async fn call(
    request: &Request,
    Path((service, path)): Path<(String, String)>,
    body: Body,
    core: Data<&Arc<Core>>,
) -> Response {
    let query = request.uri().query().map(|query| format!("?{query}")).unwrap_or_default();
    let target = (service, format!("/{path}{query}"));
    let mut taken = match intake::take(&core, request, body, Some(target)).await {
        Ok(taken) => taken,
        Err(failure) => return errors::response(&failure),
    };
    match taken.pieces.recv().await {
        Some(Piece::Open(opening)) => {
            let (status, content_type) = opening.head.clone().unwrap_or((200, String::new()));
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            answer_head(status, &taken.request, &opening)
                .content_type(content_type)
                .body(Body::from_bytes_stream(parts(taken.pieces)))
        }
        Some(Piece::Fail(failure)) => with_id(errors::response(&failure), &taken.request),
        _ => with_id(errors::response(&cut()), &taken.request),
    }
}

/// The parts of the body; a broken answer breaks the connection, so that the caller can tell.
fn parts(
    pieces: mpsc::Receiver<Piece>,
) -> impl futures::Stream<Item = Result<bytes::Bytes, io::Error>> + Send + 'static {
    stream::unfold(Some(pieces), |pieces| async move {
        let mut pieces = pieces?;
        loop {
            match pieces.recv().await {
                Some(Piece::Data(data)) => return Some((Ok(data), Some(pieces))),
                Some(Piece::Open(_)) => {}
                Some(Piece::End) => return None,
                Some(Piece::Fail(_)) | None => {
                    return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
                }
            }
        }
    })
}
