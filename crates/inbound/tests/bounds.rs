//! Bounds on bodies, connections and the memory of a process.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use pondwalk_inbound::{
    BodyStart, BufferPool, MessageBuffer, MessageLimits, MessagePart, Meter, MeteredStream,
    PacedBody, Pacer, ReadError, read_start, read_whole,
};
use quickcheck::QuickCheck;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, duplex},
    time::Instant,
};

const LIMITS: MessageLimits = MessageLimits { head_bytes: 100, message_bytes: 1_000, pace: None };

fn run<F: Future<Output = ()>>(test: F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn reservations_never_exceed_the_pool_and_are_released() {
    fn stays_within(sizes: Vec<u32>) -> bool {
        let pool = BufferPool::new(1_000_000);
        let mut held = Vec::new();
        for size in sizes {
            let mut reservation = pool.reservation();
            let size = size as usize % 400_000;
            let is_allowed = reservation.try_resize(size);
            let shrinks = !is_allowed || reservation.try_resize(size / 2);
            if !shrinks || pool.used_bytes() > 1_000_000 {
                return false;
            }
            held.push(reservation);
        }
        drop(held);
        pool.used_bytes() == 0
    }
    QuickCheck::new().quickcheck(stays_within as fn(Vec<u32>) -> bool);
}

#[test]
fn large_messages_leave_memory_to_small_ones() {
    let pool = BufferPool::new(1024 * 1024);
    let mut large = MessageBuffer::new(&pool, 4 * 1024 * 1024);
    while large.push(&[0; 10_000]).is_ok() {}
    let mut small = MessageBuffer::new(&pool, 64 * 1024);
    assert_eq!(small.push(&[0; 60_000]), Ok(()));
}

#[test]
fn bytes_hold_their_memory_until_the_last_clone_is_dropped() {
    let pool = BufferPool::new(1024 * 1024);
    let mut buffer = MessageBuffer::new(&pool, 10_000);
    buffer.push(b"some").expect("it fits");
    let bytes = buffer.into_bytes();
    let clone = bytes.slice(1..3);
    drop(bytes);
    assert!(pool.used_bytes() > 0);
    drop(clone);
    assert_eq!(pool.used_bytes(), 0);
}

#[test]
fn body_is_read_whole_within_its_limit_only() {
    run(async {
        let pool = BufferPool::new(10_000);
        let body = || Full::new(Bytes::from_static(b"0123456789"));
        let read = read_whole(body(), 10, &pool, |_| {}).await;
        assert_eq!(read.expect("it fits"), "0123456789");
        let read = read_whole(body(), 9, &pool, |_| {}).await;
        assert_eq!(read, Err(ReadError::TooLong { max_bytes: 9 }));
        let read = read_whole(body(), 10, &BufferPool::new(4), |_| {}).await;
        assert_eq!(read, Err(ReadError::PoolExhausted { bytes: 0 }));
        assert_eq!(pool.used_bytes(), 0);
    });
}

#[test]
fn start_of_a_long_body_is_returned_with_the_frame_that_did_not_fit() {
    run(async {
        let pool = BufferPool::new(1024 * 1024);
        let frames = ["0123", "4567", "89"].map(|text| Ok::<_, String>(Frame::data(text.into())));
        let mut body = StreamBody::new(futures::stream::iter(frames));
        let Ok(BodyStart::Partial(start)) = read_start(&mut body, 6, &pool).await else {
            panic!("the body does not fit")
        };
        assert_eq!(start, ["0123", "4567"]);
        assert_eq!(body.collect().await.expect("the rest").to_bytes(), "89");
    });
}

#[test]
fn connection_fails_beyond_the_limit_of_the_present_message() {
    run(async {
        let (mut far, near) = duplex(100_000);
        let meter = Meter::new(LIMITS);
        let mut near = MeteredStream::new(near, &meter);
        let mut buffer = [0; 100];
        for _ in 0..20 {
            far.write_all(&[0; 100]).await.expect("it is open");
            meter.begin_message();
            near.read_exact(&mut buffer).await.expect("within the limit");
        }
        far.write_all(&[0; 300]).await.expect("it is open");
        near.read_exact(&mut buffer).await.expect("read before the limit is seen");
        assert!(near.read_exact(&mut buffer).await.is_err());
        assert_eq!(meter.exceeded_in(), Some(MessagePart::Head));
    });
}

#[test]
fn framing_without_data_fails_and_data_does_not() {
    run(async {
        for delivers in [false, true] {
            let (mut far, near) = duplex(64 * 1024);
            let limits = MessageLimits { message_bytes: u64::MAX, ..LIMITS };
            let meter = Meter::new(limits);
            meter.on_head();
            let mut near = MeteredStream::new(near, &meter);
            let mut buffer = vec![0; 32 * 1024];
            let mut failed = false;
            for _ in 0..100 {
                far.write_all(&buffer).await.expect("it is open");
                failed |= near.read_exact(&mut buffer).await.is_err();
                if delivers {
                    meter.on_data(buffer.len() / 4);
                }
                if failed {
                    break;
                }
            }
            assert_eq!(failed, !delivers);
        }
    });
}

#[test]
fn long_bodies_share_the_rate_of_a_pacer() {
    run(async {
        let pacer = Rc::new(Pacer::new(1_000_000));
        let read = async || {
            let frames = (0..100).map(|_| Ok::<_, String>(Frame::data(vec![0; 40_000].into())));
            let body = StreamBody::new(futures::stream::iter(frames));
            let meter = Meter::new(LIMITS);
            let body = PacedBody::new(body, 1_000_000, &pacer, &meter);
            body.collect().await.expect("it is whole").to_bytes().len()
        };
        let started = Instant::now();
        assert_eq!(read().await, 4_000_000);
        let alone = started.elapsed();
        assert!(alone > Duration::from_millis(2_900) && alone < Duration::from_millis(3_200));
        let started = Instant::now();
        tokio::join!(read(), read());
        let together = started.elapsed();
        assert!(together > Duration::from_millis(5_900), "{together:?}");
    });
}
