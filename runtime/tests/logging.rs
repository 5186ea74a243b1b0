//! The rate and the number of queued log lines are bounded, and lines that are not written are
//! reported.

use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};
use medlarfall_runtime::logging::bounded::{Appender, QUEUE_CAPACITY};
use medlarfall_runtime::logging::rate_limit::{CallSite, LINES_PER_PERIOD, PERIOD, RateLimiter};

const CALL_SITE: CallSite = ("relay/src/state/servers.rs", 106);

#[test]
fn lines_of_a_call_site_beyond_the_limit_are_suppressed_and_reported_once() {
    let mut limiter = RateLimiter::default();
    let now = Duration::from_secs(5);
    let admitted = (0..1_000).filter(|_| limiter.admit(CALL_SITE, now)).count();
    assert_eq!(admitted, LINES_PER_PERIOD as usize);
    assert!(
        limiter.admit(("relay/src/call.rs", 80), now),
        "other call sites are not limited"
    );
    let later = now + PERIOD;
    assert_eq!(
        limiter.take_suppressed(later),
        [(CALL_SITE, 1_000 - u64::from(LINES_PER_PERIOD))]
    );
    assert!(limiter.take_suppressed(later + PERIOD).is_empty());
    assert!(limiter.admit(CALL_SITE, later));
}

#[test]
fn lines_below_the_rate_limit_are_all_admitted() {
    let mut limiter = RateLimiter::default();
    for line in 0..10_000_u32 {
        let now = Duration::from_millis(u64::from(line) * 10);
        assert!(limiter.admit(CALL_SITE, now), "line {line}");
    }
}

/// A reader of the log that blocks until it is opened.
#[derive(Debug, Default)]
struct Reader {
    open: Mutex<bool>,
    opened: Condvar,
    lines: Mutex<Vec<String>>,
}

/// Appender that writes to a [`Reader`].
#[derive(Debug)]
struct ReaderAppender(Arc<Reader>);

impl Append for ReaderAppender {
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
    written.expect("the appender accepts a line");
}

#[test]
fn a_blocked_reader_blocks_no_logging_and_gets_the_number_of_dropped_lines() {
    let reader = Arc::new(Reader::default());
    let appender = Appender::new(ReaderAppender(Arc::clone(&reader)));
    for _ in 0..QUEUE_CAPACITY + 500 {
        write(&appender, "call ended");
    }
    *reader.open.lock().expect("no panic") = true;
    reader.opened.notify_all();
    appender.flush().expect("the rest is written");
    write(&appender, "stream ended");
    appender.flush().expect("the rest is written");
    drop(appender);
    let lines = reader.lines.lock().expect("no panic");
    let report = lines
        .iter()
        .position(|line| line.contains("500 lines dropped"));
    let report = report.expect("dropped lines are reported");
    assert_eq!(report, QUEUE_CAPACITY);
    assert_eq!(lines.last().map(String::as_str), Some("stream ended"));
}
