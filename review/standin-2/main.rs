//! Plays a case of the review on loopback addresses and the real clock: `standin-2 CASE FOLDER`. The record
//! is written to `record.txt` in FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod big_configuration;
mod deployment;
mod entry;
mod foreign_entry;
mod http;
mod json;
mod proxy;
mod readers_cut;
mod record;
mod replica;
mod store;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Record::create(&Path::new(folder).join("record.txt"));
    record.line(&format!("case {case}, disruption {}", if trouble { "on" } else { "off" }));
    let outcome = match case.as_str() {
        "big-configuration" => big_configuration::play(trouble, &record),
        "readers-cut" => readers_cut::play(trouble, &record),
        "foreign-entry" => foreign_entry::play(trouble, &record),
        _ => Outcome::NotRun("no such case".to_owned()),
    };
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
