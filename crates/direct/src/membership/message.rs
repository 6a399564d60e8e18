//! Messages between entries, and their validation.
//!
//! A state message consists of a short head, a body and gossip. The head is read first, so a body
//! of another format, of another store, or above the size limit is never decoded.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use pondwalk_decide::direct::LoadSummaryError;
use pondwalk_store::{Position, StoreEntry, StoreEvent};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use super::GossipItem;
use crate::outage::Outage;

/// Version of the message format; messages of other versions are rejected.
pub const FORMAT: u16 = 10;
/// Maximum size of a message. The store holds some hundred keys and one large configuration, which
/// compress to a tenth of this.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of a decompressed body.
const MAX_UNPACKED_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum number of changes in a message. A change takes many times the memory of its few bytes.
const MAX_CHANGES: u64 = 131_072;
/// Maximum number of gossip items in a message, twice what an entry retains.
const MAX_GOSSIP_ITEMS: u64 = 8_192;
/// Longest time in a message. Sums of times up to this do not overflow.
const MAX_TIME: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

/// Why a message was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// Sent by a version of the program with another message format.
    #[error("unsupported message format {0}")]
    OtherFormat(u16),
    /// Sent by an entry that uses another store.
    #[error("sender uses the store at {0}")]
    OtherStore(SocketAddr),
    /// A full state at an earlier position in the store's history than the local one.
    #[error("revision {} of era {} is earlier than the local state", .0.revision, .0.era)]
    Older(Position),
    /// Truncated, too long, or not decodable.
    #[error("malformed message")]
    Unreadable,
    /// Inconsistent: for example, the state was confirmed after the message was sent.
    #[error("inconsistent message")]
    Contradictory,
    /// A load summary with impossible values.
    #[error(transparent)]
    Load(#[from] LoadSummaryError),
}

/// The last change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Its value; absent if the key was removed.
    pub value: Option<Vec<u8>>,
    /// Revision of the change.
    pub revision: u64,
}

impl KeyChange {
    /// Converts the change to the event that the store would have sent.
    pub fn into_event(self) -> StoreEvent {
        match self.value {
            Some(value) => {
                StoreEvent::Written(StoreEntry { key: self.key, value, revision: self.revision })
            }
            None => StoreEvent::Removed { key: self.key, revision: self.revision },
        }
    }
}

/// Head of a state message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateHead {
    /// Version of the message format.
    pub format: u16,
    /// Address of the store that the sender uses.
    pub store: SocketAddr,
    /// Random number of the sender's incarnation.
    pub incarnation: u64,
    /// The sender's clock when the message was sent.
    pub now: Duration,
    /// The sender's clock at the start of the store call that last confirmed the state.
    pub confirmed: Duration,
    /// The last outage of the store that the sender knows of, on its clock.
    pub outage: Option<Outage>,
    /// Latency of the last call to the store, measured by the root from which the state comes.
    pub store_takes: Duration,
    /// Number of confirmations counted by the sender. The next request repeats it, and is answered
    /// at once if the number has grown.
    pub turn: u64,
    /// Position in the store's history that the state leads to.
    pub position: Position,
    /// Whether the body is the full state rather than a difference.
    pub whole: bool,
    /// Size of the body; the rest of the message is gossip.
    pub body_bytes: u32,
    /// Index after the last gossip item.
    pub news_end: u64,
}

/// A state message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateMessage {
    /// The head.
    pub head: StateHead,
    /// The compressed changes.
    pub body: Bytes,
    /// Gossip that the requester has not received.
    pub gossip: Vec<GossipItem>,
}

impl StateMessage {
    /// Encodes the message: the length of the head, the head, the body, the gossip.
    pub fn to_bytes(&self) -> Result<Bytes, MessageError> {
        let body_bytes = u32::try_from(self.body.len()).map_err(|_| MessageError::Unreadable)?;
        let head = StateHead { body_bytes, ..self.head };
        let head = postcard::to_stdvec(&head).map_err(|_| MessageError::Unreadable)?;
        let gossip = postcard::to_stdvec(&self.gossip).map_err(|_| MessageError::Unreadable)?;
        let length = u16::try_from(head.len()).map_err(|_| MessageError::Unreadable)?;
        let mut bytes = Vec::with_capacity(2 + head.len() + self.body.len() + gossip.len());
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.extend_from_slice(&head);
        bytes.extend_from_slice(&self.body);
        bytes.extend_from_slice(&gossip);
        Ok(bytes.into())
    }

    /// Decodes a message of this format and of the store at `store`.
    pub fn from_bytes(bytes: &Bytes, store: SocketAddr) -> Result<Self, MessageError> {
        let (length, rest) = bytes.split_first_chunk::<2>().ok_or(MessageError::Unreadable)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let head = rest.get(..length).ok_or(MessageError::Unreadable)?;
        check_format(head)?;
        let head: StateHead = read_all(head)?;
        if head.store != store {
            return Err(MessageError::OtherStore(head.store));
        }
        let is_outage_odd =
            head.outage.is_some_and(|outage| outage.from > outage.until || outage.until > head.now);
        if head.confirmed > head.now
            || is_outage_odd
            || [head.now, head.store_takes].iter().any(|time| *time > MAX_TIME)
        {
            return Err(MessageError::Contradictory);
        }
        let after_head = bytes.slice(2 + length..);
        let body_bytes = head.body_bytes as usize;
        let gossip = after_head.get(body_bytes..).ok_or(MessageError::Unreadable)?;
        let gossip = read_list(gossip, MAX_GOSSIP_ITEMS)?;
        Ok(StateMessage { head, body: after_head.slice(..body_bytes), gossip })
    }

    /// Decodes the changes in the body.
    pub fn changes(&self) -> Result<Vec<KeyChange>, MessageError> {
        if self.body.is_empty() { Ok(Vec::new()) } else { unpack(&self.body) }
    }
}

/// Serializes and compresses changes, with a checksum.
pub fn pack(changes: &[KeyChange]) -> Result<Bytes, MessageError> {
    if changes.is_empty() {
        return Ok(Bytes::new());
    }
    let plain = postcard::to_stdvec(changes).map_err(|_| MessageError::Unreadable)?;
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain).map_err(|_| MessageError::Unreadable)?;
    let packed = encoder.finish().map_err(|_| MessageError::Unreadable)?;
    Ok(packed.into())
}

/// Decompresses changes, and rejects trailing bytes.
fn unpack(packed: &[u8]) -> Result<Vec<KeyChange>, MessageError> {
    let mut plain = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut plain).map_err(|_| MessageError::Unreadable)?;
    read_list(&plain, MAX_CHANGES)
}

/// Envelope of all other messages: the format and the store, then the content.
#[derive(Debug, Serialize, Deserialize)]
struct Message<T> {
    format: u16,
    store: SocketAddr,
    about: T,
}

/// Encodes a message to an entry that uses the store at `store`.
pub fn to_message<T: Serialize>(store: SocketAddr, about: &T) -> Result<Bytes, MessageError> {
    let message = Message { format: FORMAT, store, about };
    let bytes = postcard::to_stdvec(&message).map_err(|_| MessageError::Unreadable)?;
    Ok(bytes.into())
}

/// Decodes a message of this format and of the store at `store`.
pub fn from_message<T: DeserializeOwned>(
    bytes: &[u8],
    store: SocketAddr,
) -> Result<T, MessageError> {
    check_format(bytes)?;
    let message: Message<T> = read_all(bytes)?;
    if message.store != store {
        return Err(MessageError::OtherStore(message.store));
    }
    Ok(message.about)
}

/// Decodes a message with gossip, as [`from_message`].
pub fn from_gossip_message(
    bytes: &[u8],
    store: SocketAddr,
) -> Result<Vec<GossipItem>, MessageError> {
    check_format(bytes)?;
    // The list follows the envelope's other fields.
    let (_, list): ((u16, SocketAddr), _) =
        postcard::take_from_bytes(bytes).map_err(|_| MessageError::Unreadable)?;
    check_length(list, MAX_GOSSIP_ITEMS)?;
    from_message(bytes, store)
}

/// Decodes an item from the beginning of `bytes`, and returns the rest.
pub fn take_gossip_item(bytes: &[u8]) -> Result<(GossipItem, &[u8]), MessageError> {
    postcard::take_from_bytes(bytes).map_err(|_| MessageError::Unreadable)
}

/// Decodes a list that takes up all of `bytes` and has at most `max_length` items.
fn read_list<T: DeserializeOwned>(bytes: &[u8], max_length: u64) -> Result<Vec<T>, MessageError> {
    check_length(bytes, max_length)?;
    read_all(bytes)
}

/// Checks the length of a list, which is encoded before its items.
fn check_length(list: &[u8], max_length: u64) -> Result<(), MessageError> {
    match postcard::take_from_bytes::<u64>(list) {
        Ok((length, _)) if length <= max_length => Ok(()),
        _ => Err(MessageError::Unreadable),
    }
}

/// Checks the format, which is the first field; the rest of a message of another format may have
/// another layout.
fn check_format(bytes: &[u8]) -> Result<(), MessageError> {
    match postcard::take_from_bytes::<u16>(bytes) {
        Ok((FORMAT, _)) => Ok(()),
        Ok((format, _)) => Err(MessageError::OtherFormat(format)),
        Err(_) => Err(MessageError::Unreadable),
    }
}

/// Decodes a value that takes up all of `bytes`.
fn read_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(MessageError::Unreadable),
    }
}
