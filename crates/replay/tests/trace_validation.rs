//! Validation of traces: each fault is reported with line and field before the replay starts.

use pondwalk_replay::{Trace, TraceError, trace::TraceProblem};

const SERVER: &str =
    r#"{"at_ms":5,"kind":"server","server":"b","data_centre":"d","versions":["m/1"],"slots":1}"#;

fn fault(text: &str) -> (usize, String, TraceProblem) {
    match Trace::parse("t.jsonl", text) {
        Err(TraceError::Line { line, field, problem, .. }) => (line, field, problem),
        other => panic!("expected a fault, got {other:?}"),
    }
}

fn request(change: (&str, &str)) -> String {
    let good = r#"{"at_ms":6,"kind":"request","request":"r","workspace":"w","task":"t","session":null,"prompt_tokens":1,"prefix":null,"deadline_ms":10,"repeatable":true,"idempotency_key":null,"outcomes":{"m/1":{"output_tokens":1,"service_ms":1,"quality":0.5,"failed":false}}}"#;
    assert!(good.contains(change.0), "{} does not occur in the line", change.0);
    format!("{SERVER}\n{}\n", good.replace(change.0, change.1))
}

#[test]
fn valid_trace_is_accepted() {
    let trace = Trace::parse("t.jsonl", &request(("\"task\"", "\"task\""))).expect("a valid trace");
    assert_eq!(trace.lines.len(), 2);
}

#[test]
fn faults_are_reported_with_line_and_field() {
    let cases = [
        (("\"task\":\"t\",", ""), "task", TraceProblem::Missing),
        (("\"at_ms\":6", "\"at_ms\":4"), "at_ms", TraceProblem::DecreasingTime),
        (("\"at_ms\":6", "\"at_ms\":-6"), "at_ms", non_negative()),
        (("\"deadline_ms\":10", "\"deadline_ms\":0"), "deadline_ms", positive()),
        (("0.5", "1.5"), "outcomes.m/1.quality", TraceProblem::Invalid("a number from 0 to 1")),
        (("\"failed\":false", "\"failed\":0"), "outcomes.m/1.failed", flag()),
        (("\"request\",\"", "\"requst\",\""), "kind", TraceProblem::UnknownKind("requst".into())),
        (("\"session\":null,", ""), "session", TraceProblem::Missing),
    ];
    for (change, field, problem) in cases {
        assert_eq!(fault(&request(change)), (2, field.to_owned(), problem), "{change:?}");
    }
}

#[test]
fn line_without_object_is_rejected() {
    assert_eq!(fault("[1]\n").0, 1);
    assert_eq!(fault(&format!("{SERVER}\nnonsense\n")).0, 2);
}

#[test]
fn service_without_outcome_is_rejected() {
    let fault =
        fault(&request(("\"idempotency_key\":null", "\"idempotency_key\":null,\"service\":\"s\"")));
    assert_eq!((fault.0, fault.1.as_str()), (2, "outcomes.s"));
}

fn non_negative() -> TraceProblem {
    TraceProblem::Invalid("a whole number of zero or more")
}

fn positive() -> TraceProblem {
    TraceProblem::Invalid("a whole number of one or more")
}

fn flag() -> TraceProblem {
    TraceProblem::Invalid("true or false")
}
