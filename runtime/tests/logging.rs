//! Log lines are bounded, and what is left out is told.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use medlarfall_runtime::logging::bounded::{Appender, LINES_WAITING};
use medlarfall_runtime::logging::fold::{Fold, LINES, PERIOD, Place};

const PLACE: Place = ("relay/src/state/servers.rs", 106);

#[test]
fn lines_of_one_place_beyond_the_limit_are_folded_and_told_once() {
    let mut fold = Fold::default();
    let now = Duration::from_secs(5);
    let written = (0..1_000).filter(|_| fold.admit(PLACE, now)).count();
    assert_eq!(written, LINES as usize);
    assert!(fold.admit(("relay/src/call.rs", 80), now), "others go on");
    let later = now + PERIOD;
    assert_eq!(fold.told(later), [(PLACE, 1_000 - u64::from(LINES))]);
    assert!(fold.told(later + PERIOD).is_empty());
    assert!(fold.admit(PLACE, later));
}

#[test]
fn a_usual_rate_is_never_folded() {
    let mut fold = Fold::default();
    for line in 0..10_000_u32 {
        let now = Duration::from_millis(u64::from(line) * 10);
        assert!(fold.admit(PLACE, now), "line {line}");
    }
}

/// A reader that takes no line until it is let go.
#[derive(Debug, Default)]
struct Reader {
    open: Mutex<bool>,
    opened: Condvar,
    lines: Mutex<Vec<String>>,
}

#[derive(Debug)]
struct Held(Arc<Reader>);

impl Append for Held {
    fn append(&self, record: &Record, _: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let open = self.0.open.lock().expect("no panic");
        drop(self.0.opened.wait_while(open, |open| !*open));
        let mut lines = self.0.lines.lock().expect("no panic");
        lines.push(record.payload().to_string());
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write(appender: &Appender, text: &str) {
    let written = appender.append(
        &Record::builder().payload(format_args!("{text}")).build(),
        &[],
    );
    written.expect("a line is taken");
}

#[test]
fn a_reader_that_stops_blocks_nobody_and_hears_how_much_it_missed() {
    let reader = Arc::new(Reader::default());
    let appender = Appender::new(Held(Arc::clone(&reader)));
    for _ in 0..LINES_WAITING + 500 {
        write(&appender, "call ended");
    }
    *reader.open.lock().expect("no panic") = true;
    reader.opened.notify_all();
    appender.flush().expect("the rest is written");
    write(&appender, "stream ended");
    appender.flush().expect("the rest is written");
    drop(appender);
    let lines = reader.lines.lock().expect("no panic");
    let told = lines
        .iter()
        .position(|line| line.contains("500 lines dropped"));
    let told = told.expect("what was dropped is told");
    assert_eq!(told, LINES_WAITING);
    assert_eq!(lines.last().map(String::as_str), Some("stream ended"));
}
