//! Messages between entries, and what makes one be refused.
//!
//! A state is a short head, a body and news. The head is read first: a body of another format, of
//! another store or larger than is borne is not looked at.

use std::{
    io::{Read, Write},
    net::SocketAddr,
    time::Duration,
};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};
use pondwalk_store::{Position, StoreEntry, StoreEvent};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use thiserror::Error;

use super::GossipItem;

/// Number of this form of the messages; an entry of another one is not listened to.
pub const FORMAT: u16 = 7;
/// Bytes of a message that are read at most. The store holds some hundred keys and one large
/// configuration, which pack to a tenth of this.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Bytes that a message may unpack to.
const MAX_UNPACKED_BYTES: u64 = 16 * 1024 * 1024;

/// Why a message is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MessageError {
    /// It was made by another version of the program.
    #[error("it has format {0}")]
    OtherFormat(u16),
    /// It speaks of another store.
    #[error("it speaks of the store at {0}")]
    OtherStore(SocketAddr),
    /// It is a whole state of an earlier place in the store's history than the one held.
    #[error("it is of revision {} of era {}, which is earlier than what is held", .0.revision, .0.era)]
    Older(Position),
    /// It is cut, too long or made up.
    #[error("it cannot be read")]
    Unreadable,
    /// It contradicts itself: its state was confirmed after it was told.
    #[error("it contradicts itself")]
    Contradictory,
}

/// One change of a key.
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
    /// The change as the store would have told it.
    pub fn into_event(self) -> StoreEvent {
        match self.value {
            Some(value) => {
                StoreEvent::Written(StoreEntry { key: self.key, value, revision: self.revision })
            }
            None => StoreEvent::Removed { key: self.key, revision: self.revision },
        }
    }
}

/// The head of a state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateHead {
    /// Form of the message.
    pub format: u16,
    /// Store that it speaks of.
    pub store: SocketAddr,
    /// Random number of this life of the process that tells.
    pub incarnation: u64,
    /// Its clock when it told.
    pub now: Duration,
    /// Its clock when the call that last confirmed the state was sent.
    pub confirmed: Duration,
    /// Its clock when the store last came back, if it has been lost.
    pub store_returned: Option<Duration>,
    /// How long the store's last answer took at the entry where the state comes from.
    pub store_takes: Duration,
    /// Confirmations that it had counted; the next question names it, and is answered at once only
    /// if there are more.
    pub turn: u64,
    /// Place in the store's history that the state leads to.
    pub position: Position,
    /// Whether the body is the whole state, and not only what changed.
    pub whole: bool,
    /// Bytes of the body; what follows is news.
    pub body_bytes: u32,
    /// Place behind the latest of the news.
    pub news_end: u64,
}

/// A state as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateMessage {
    /// Its head.
    pub head: StateHead,
    /// Its packed body.
    pub body: Bytes,
    /// News that the asker has not heard.
    pub gossip: Vec<GossipItem>,
}

impl StateMessage {
    /// The bytes to send: the length of the head, the head, the body, the news.
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

    /// Reads what was sent, if it is of this format and of the store at `store`.
    pub fn from_bytes(bytes: &Bytes, store: SocketAddr) -> Result<Self, MessageError> {
        let (length, rest) = bytes.split_first_chunk::<2>().ok_or(MessageError::Unreadable)?;
        let length = usize::from(u16::from_be_bytes(*length));
        let head = rest.get(..length).ok_or(MessageError::Unreadable)?;
        check_format(head)?;
        let head: StateHead = read_all(head)?;
        if head.store != store {
            return Err(MessageError::OtherStore(head.store));
        }
        if head.confirmed > head.now {
            return Err(MessageError::Contradictory);
        }
        let after_head = bytes.slice(2 + length..);
        let body_bytes = head.body_bytes as usize;
        let gossip = after_head.get(body_bytes..).ok_or(MessageError::Unreadable)?;
        let gossip = read_all(gossip)?;
        Ok(StateMessage { head, body: after_head.slice(..body_bytes), gossip })
    }

    /// The changes in its body.
    pub fn changes(&self) -> Result<Vec<KeyChange>, MessageError> {
        if self.body.is_empty() { Ok(Vec::new()) } else { unpack(&self.body) }
    }
}

/// Packs changes: serialized, then deflated with a checksum.
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

/// Unpacks changes; what does not end where it should is refused.
fn unpack(packed: &[u8]) -> Result<Vec<KeyChange>, MessageError> {
    let mut plain = Vec::new();
    let mut decoder = ZlibDecoder::new(packed).take(MAX_UNPACKED_BYTES);
    decoder.read_to_end(&mut plain).map_err(|_| MessageError::Unreadable)?;
    read_all(&plain)
}

/// A message of its own: the format and the store first, then what it is about.
#[derive(Debug, Serialize, Deserialize)]
struct Message<T> {
    format: u16,
    store: SocketAddr,
    about: T,
}

/// The bytes of a message to an entry of the deployment with the store at `store`.
pub fn to_message<T: Serialize>(store: SocketAddr, about: &T) -> Result<Bytes, MessageError> {
    let message = Message { format: FORMAT, store, about };
    let bytes = postcard::to_stdvec(&message).map_err(|_| MessageError::Unreadable)?;
    Ok(bytes.into())
}

/// Reads a message, if it is of this format and of the store at `store`.
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

/// Checks the format, which comes first and is read alone: the rest may have another form.
fn check_format(bytes: &[u8]) -> Result<(), MessageError> {
    match postcard::take_from_bytes::<u16>(bytes) {
        Ok((FORMAT, _)) => Ok(()),
        Ok((format, _)) => Err(MessageError::OtherFormat(format)),
        Err(_) => Err(MessageError::Unreadable),
    }
}

/// Reads a value that ends where the bytes do.
fn read_all<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MessageError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        _ => Err(MessageError::Unreadable),
    }
}
