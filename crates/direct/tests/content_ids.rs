//! By what a request is known again.

use pondwalk_direct::content::{Parts, content_of, content_text};

const ASKED: Parts<'_> =
    Parts { caller: "w1", host: "h.example", target: "/again/x", body: b"asked" };

#[test]
fn caller_path_and_body_tell_requests_apart() {
    let content = content_of(ASKED);
    assert_eq!(content_of(ASKED), content);
    assert_ne!(content_of(Parts { caller: "w2", ..ASKED }), content);
    assert_ne!(content_of(Parts { target: "/again/y", ..ASKED }), content);
    assert_ne!(content_of(Parts { body: b"asked otherwise", ..ASKED }), content);
    assert_ne!(content_of(Parts { caller: "", ..ASKED }), content);
}

#[test]
fn host_and_query_count_only_without_a_body() {
    let content = content_of(ASKED);
    assert_eq!(
        content_of(Parts { target: "/again/x?try=2", host: "other.example", ..ASKED }),
        content
    );
    let empty = Parts { body: b"", ..ASKED };
    let content = content_of(empty);
    assert_ne!(content_of(Parts { target: "/again/x?of=2", ..empty }), content);
    assert_ne!(content_of(Parts { host: "other.example", ..empty }), content);
}

#[test]
fn parts_that_join_to_the_same_bytes_differ() {
    let one = Parts { target: "/a", body: b"bc", ..ASKED };
    let other = Parts { target: "/ab", body: b"c", ..ASKED };
    assert_ne!(content_of(one), content_of(other));
}

#[test]
fn a_content_is_the_same_in_every_build() {
    // NB: entries of two builds that run side by side must know it again.
    assert_eq!(content_text(content_of(ASKED)), "536ecc09e84a56bf5e7ad1cd1ab58a00");
}
