//! Connections between entries and agents.

use std::{io, net::SocketAddr, time::Duration};

use tarpc::{
    ClientMessage, Response, client, serde_transport::Transport, server::BaseChannel,
    tokio_serde::formats::Bincode,
};
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use crate::{AgentClient, AgentRequest, AgentResponse};

/// Largest message, in bytes; the limits on request bodies are much lower.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of calls in flight per connection.
const MAX_CALLS_IN_FLIGHT: usize = 10_000;

type Received = ClientMessage<AgentRequest>;
type Sent = Response<AgentResponse>;
/// The agent's end of a connection.
pub type AgentChannel = BaseChannel<
    AgentRequest,
    AgentResponse,
    Transport<TcpStream, Received, Sent, Bincode<Received, Sent>>,
>;

/// Opens a connection to an agent.
///
/// # Errors
///
/// Returns an error if the connection cannot be opened within one second.
pub async fn connect(address: SocketAddr) -> io::Result<AgentClient> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let mut config = client::Config::default();
    config.max_in_flight_requests = MAX_CALLS_IN_FLIGHT;
    config.pending_request_buffer = MAX_CALLS_IN_FLIGHT;
    Ok(AgentClient::new(config, transport).spawn())
}

/// Wraps an accepted connection in a channel that can execute calls.
///
/// # Errors
///
/// Returns an error if `TCP_NODELAY` cannot be set.
pub fn channel(stream: TcpStream) -> io::Result<AgentChannel> {
    stream.set_nodelay(true)?;
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    Ok(BaseChannel::with_defaults(transport))
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MAX_MESSAGE_BYTES);
    builder
}
