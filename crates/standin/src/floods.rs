//! Responses of backend servers that have no end.

use std::{cell::Cell, io};

use tokio::io::{AsyncWrite, AsyncWriteExt};

/// Length that a response with a declared length announces.
const DECLARED_BYTES: u64 = 900_000_000_000;
/// Bytes written at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// Which part of a response has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flood {
    /// A body with neither a length nor chunks.
    UnframedBody,
    /// A body with a length of 900 GB.
    DeclaredBody,
    /// A body in chunks.
    ChunkedBody,
    /// A body in chunks of one byte.
    TinyChunks,
    /// The size of a chunk, with leading zeros.
    ChunkSize,
    /// The extension of a chunk.
    ChunkExtension,
    /// The trailers behind the last chunk.
    Trailers,
    /// Events, which are complete.
    Events,
    /// Informational responses before the final one.
    InformationalHeads,
    /// The lines of the head.
    HeaderLines,
    /// One line of the head.
    HeaderLine,
}

impl Flood {
    /// All kinds.
    pub const ALL: [Flood; 11] = [
        Flood::UnframedBody,
        Flood::DeclaredBody,
        Flood::ChunkedBody,
        Flood::TinyChunks,
        Flood::ChunkSize,
        Flood::ChunkExtension,
        Flood::Trailers,
        Flood::Events,
        Flood::InformationalHeads,
        Flood::HeaderLines,
        Flood::HeaderLine,
    ];

    /// Whether the head of the response has an end.
    pub fn has_whole_head(self) -> bool {
        !matches!(self, Flood::InformationalHeads | Flood::HeaderLines | Flood::HeaderLine)
    }

    /// Beginning of the response with these header lines, and what follows it again and again.
    fn parts(self, header_lines: &str) -> (String, String) {
        let head = format!("HTTP/1.1 200 X\r\n{header_lines}");
        let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
        match self {
            Flood::UnframedBody => (format!("{head}\r\n"), "x".to_owned()),
            Flood::DeclaredBody => {
                (format!("{head}content-length: {DECLARED_BYTES}\r\n\r\n"), "x".to_owned())
            }
            Flood::ChunkedBody => (chunked, format!("400\r\n{}\r\n", "x".repeat(0x400))),
            Flood::TinyChunks => (chunked, "1\r\nx\r\n".to_owned()),
            Flood::ChunkSize => (chunked, "0".to_owned()),
            Flood::ChunkExtension => (format!("{chunked}1;"), "x".to_owned()),
            Flood::Trailers => (format!("{chunked}0\r\n"), "x-more: x\r\n".to_owned()),
            Flood::Events => (format!("{head}\r\n"), "data: x\n\n".to_owned()),
            Flood::InformationalHeads => {
                (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".to_owned())
            }
            Flood::HeaderLines => (head, "x-more: x\r\n".to_owned()),
            Flood::HeaderLine => (format!("{head}x-more: "), "x".to_owned()),
        }
    }

    /// Writes `offered_bytes` of the response.
    ///
    /// `accepted_bytes` counts what the connection accepts.
    ///
    /// # Errors
    ///
    /// An error if the connection was closed.
    pub async fn write<W: AsyncWrite + Unpin>(
        self,
        header_lines: &str,
        offered_bytes: usize,
        accepted_bytes: &Cell<usize>,
        io: &mut W,
    ) -> io::Result<()> {
        let (beginning, repeated) = self.parts(header_lines);
        io.write_all(beginning.as_bytes()).await?;
        let block = repeated.repeat(BLOCK_BYTES / repeated.len());
        let mut written = 0;
        while written < offered_bytes {
            io.write_all(block.as_bytes()).await?;
            written += block.len();
            accepted_bytes.set(accepted_bytes.get() + block.len());
        }
        Ok(())
    }
}
