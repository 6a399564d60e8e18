//! Connections between entry and agent.

use std::{io, net::SocketAddr, time::Duration};

use tarpc::{
    ClientMessage, Response, client, serde_transport::Transport, server::BaseChannel,
    tokio_serde::formats::Bincode,
};
use tokio::net::TcpStream;
use tokio_util::codec::LengthDelimitedCodec;

use crate::{AgentClient, AgentRequest, AgentResponse};

/// Largest message, in bytes; bodies are limited well below it.
const MESSAGE_LIMIT_BYTES: usize = 64 << 20;
/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls under way on one connection.
const CALLS_IN_FLIGHT: usize = 10_000;

/// What an agent receives and sends on one connection.
type Received = ClientMessage<AgentRequest>;
type Sent = Response<AgentResponse>;
/// The agent's end of a connection.
pub type AgentChannel = BaseChannel<
    AgentRequest,
    AgentResponse,
    Transport<TcpStream, Received, Sent, Bincode<Received, Sent>>,
>;

/// Opens a connection to an agent.
pub async fn connect(address: SocketAddr) -> io::Result<AgentClient> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    let mut config = client::Config::default();
    config.max_in_flight_requests = CALLS_IN_FLIGHT;
    config.pending_request_buffer = CALLS_IN_FLIGHT;
    Ok(AgentClient::new(config, transport).spawn())
}

/// The agent's end of an accepted connection, ready to execute calls.
pub fn channel(stream: TcpStream) -> io::Result<AgentChannel> {
    stream.set_nodelay(true)?;
    let framed = codec().new_framed(stream);
    let transport = tarpc::serde_transport::new(framed, Bincode::default());
    Ok(BaseChannel::with_defaults(transport))
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut builder = LengthDelimitedCodec::builder();
    builder.max_frame_length(MESSAGE_LIMIT_BYTES);
    builder
}
