//! Content ids, by which a repeated request is recognised.

use pondwalk_direct::content::{Parts, content_of, content_text};

const ASKED: Parts<'_> =
    Parts { caller: "w1", host: "h.example", target: "/again/x", body: b"asked" };

#[test]
fn content_depends_on_caller_path_and_body() {
    let content = content_of(ASKED);
    assert_eq!(content_of(ASKED), content);
    assert_ne!(content_of(Parts { caller: "w2", ..ASKED }), content);
    assert_ne!(content_of(Parts { target: "/again/y", ..ASKED }), content);
    assert_ne!(content_of(Parts { body: b"asked otherwise", ..ASKED }), content);
    assert_ne!(content_of(Parts { caller: "", ..ASKED }), content);
}

#[test]
fn host_and_query_count_only_without_body() {
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
fn concatenation_of_parts_is_unambiguous() {
    let one = Parts { target: "/a", body: b"bc", ..ASKED };
    let other = Parts { target: "/ab", body: b"c", ..ASKED };
    assert_ne!(content_of(one), content_of(other));
}

#[test]
fn content_id_is_stable_across_builds() {
    // Entries of two builds that run side by side must compute the same id.
    assert_eq!(content_text(content_of(ASKED)), "536ecc09e84a56bf5e7ad1cd1ab58a00");
}
