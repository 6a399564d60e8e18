//! Splitting of event streams into what can be relayed.

use pondwalk_direct::sse::{EventSplitter, RelayableBytes};
use pondwalk_inbound::BufferPool;
use quickcheck::QuickCheck;

const POOL_BYTES: usize = 1024 * 1024;

fn pop_all(splitter: &mut EventSplitter) -> Vec<RelayableBytes> {
    std::iter::from_fn(|| splitter.pop()).collect()
}

fn bytes_of(relayed: &[RelayableBytes]) -> Vec<u8> {
    let bytes = relayed.iter().map(|relayable| match relayable {
        RelayableBytes::Events(events) => events.bytes.clone(),
        RelayableBytes::Piece(piece) => piece.clone(),
    });
    bytes.flatten().collect()
}

fn last_ids(relayed: &[RelayableBytes]) -> Vec<Option<&str>> {
    let ids = relayed.iter().filter_map(|relayable| match relayable {
        RelayableBytes::Events(events) => Some(events.last_id.as_deref()),
        RelayableBytes::Piece(_) => None,
    });
    ids.collect()
}

#[test]
fn events_are_relayed_once_they_are_complete() {
    let mut splitter = EventSplitter::new(&BufferPool::new(POOL_BYTES));
    splitter.push(b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata");
    let relayed = pop_all(&mut splitter);
    assert_eq!(last_ids(&relayed), [Some("2")]);
    assert!(splitter.has_partial_event() && !splitter.is_within_split_event());
    splitter.push(b": c\n");
    assert_eq!(pop_all(&mut splitter), []);
    splitter.push(b"\n");
    assert_eq!(last_ids(&pop_all(&mut splitter)), [Some("3")]);
    assert!(!splitter.has_partial_event());
}

#[test]
fn long_event_is_relayed_in_pieces_and_its_end_has_no_id() {
    let pool = BufferPool::new(POOL_BYTES);
    let mut splitter = EventSplitter::new(&pool);
    splitter.push(b"id: 1\ndata: a\n\n");
    pop_all(&mut splitter);
    let mut sent = b"id: 2\ndata: ".to_vec();
    sent.extend(vec![b'x'; 300_000]);
    let mut relayed = Vec::new();
    for block in sent.chunks(10_000) {
        splitter.push(block);
        relayed.extend(pop_all(&mut splitter));
        assert!(pool.used_bytes() <= 128 * 1024);
    }
    assert!(splitter.is_within_split_event());
    // The first line may continue one that was relayed before.
    splitter.push(b"id: 9\n\nid: 3\ndata: c\n\n");
    let rest = pop_all(&mut splitter);
    assert_eq!(last_ids(&rest), [None, Some("3")]);
    assert!(!splitter.is_within_split_event());
    relayed.extend(rest);
    sent.extend(b"id: 9\n\nid: 3\ndata: c\n\n");
    assert_eq!(bytes_of(&relayed), sent);
    drop(splitter);
    assert_eq!(pool.used_bytes(), 0);
}

#[test]
fn no_byte_is_lost_or_added_whatever_the_reads() {
    fn relays_all(blocks: Vec<Vec<u8>>, pool_bytes: u16) -> bool {
        let pool = BufferPool::new(usize::from(pool_bytes) % 64);
        let mut splitter = EventSplitter::new(&pool);
        let alphabet = b"\n\r:idx";
        let mut sent = Vec::new();
        let mut relayed = Vec::new();
        for block in blocks {
            let block: Vec<u8> =
                block.iter().map(|byte| alphabet[usize::from(*byte) % alphabet.len()]).collect();
            splitter.push(&block);
            sent.extend(block);
            relayed.extend(pop_all(&mut splitter));
        }
        splitter.push(b"\n\n");
        relayed.extend(pop_all(&mut splitter));
        sent.extend(b"\n\n");
        // One line feed may begin another event.
        let relayed = bytes_of(&relayed);
        sent.starts_with(&relayed) && sent[relayed.len()..].iter().all(|byte| *byte == b'\n')
    }
    QuickCheck::new().tests(2_000).quickcheck(relays_all as fn(Vec<Vec<u8>>, u16) -> bool);
}

#[test]
fn data_behind_the_last_id_is_found() {
    let cases: [(&[u8], bool); 6] = [
        (b"id: 1\ndata: a\n\n", false),
        (b"data: a\nid: 1\n\n", false),
        (b"id: 1\ndata: a\n\ndata: b\n\n", true),
        (b"id: 1\ndata: a\n\n: still here\n\n", false),
        (b"data: a\n\n", true),
        (b": still here\n\n", false),
    ];
    for (bytes, expected) in cases {
        let mut splitter = EventSplitter::new(&BufferPool::new(POOL_BYTES));
        splitter.push(bytes);
        let Some(RelayableBytes::Events(events)) = splitter.pop() else { panic!("events") };
        assert_eq!(events.has_unidentified_data, expected, "{events:?}");
    }
}
