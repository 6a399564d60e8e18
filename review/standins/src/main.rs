//! Drivers of the cases of the review, with stand-ins of clients, servers and the platform's store.
//!
//! `review-standins CASE FOLDER`, run at the root of the repository. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left
//! out.

mod case_drain;
mod case_key;
mod case_left;
mod case_one;
mod http;
mod json;
mod lab;
mod store;

use std::path::PathBuf;

/// Result of a case.
pub struct Outcome {
    pub is_broken: bool,
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        lab::cannot_run("usage: review-standins CASE FOLDER");
    };
    let folder = PathBuf::from(folder);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let outcome = match case.as_str() {
        "drain" => case_drain::run(&folder, has_trouble),
        "key" => case_key::run(&folder, has_trouble),
        "left" => case_left::run(&folder, has_trouble),
        "one" => case_one::run(&folder, has_trouble),
        _ => lab::cannot_run("unknown case"),
    };
    std::process::exit(i32::from(outcome.is_broken));
}
