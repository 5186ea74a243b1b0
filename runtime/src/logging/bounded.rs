//! Writes log lines on a thread of its own, within bounds, and tells what was left out.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use logforth::append::Async;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error};

use super::fold::{Fold, Place};
use crate::clock::Clock;

/// Lines that may wait for a slow reader; further ones are dropped.
pub const LINES_WAITING: usize = 8_192;

/// Lines that were folded since the start of the process.
static FOLDED: AtomicU64 = AtomicU64::new(0);

/// Lines that were dropped since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Lines that were not written since the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Losses {
    /// Lines beyond what one place may write in a second.
    pub rate_limited: u64,
    /// Lines that found the buffer full.
    pub dropped: u64,
}

/// Returns how many lines were not written.
#[must_use]
pub fn losses() -> Losses {
    Losses {
        rate_limited: FOLDED.load(Ordering::Relaxed),
        dropped: DROPPED.load(Ordering::Relaxed),
    }
}

/// An appender that never blocks: lines wait for a thread that writes them.
#[derive(Debug)]
pub struct Appender {
    lines: Async,
    waiting: Arc<AtomicUsize>,
    untold: AtomicU64,
    fold: Mutex<Fold>,
    clock: Clock,
}

/// Counts the lines that have been written.
#[derive(Debug)]
struct Counted<A> {
    inner: A,
    waiting: Arc<AtomicUsize>,
}

impl<A: Append> Append for Counted<A> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let written = self.inner.append(record, diagnostics);
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        written
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

impl Appender {
    /// Returns an appender that hands lines to `inner`.
    #[must_use]
    pub fn new<A: Append>(inner: A) -> Self {
        let waiting = Arc::default();
        let counted = Counted {
            inner,
            waiting: Arc::clone(&waiting),
        };
        Self {
            lines: AsyncBuilder::new("log").append(counted).build(),
            waiting,
            untold: AtomicU64::new(0),
            fold: Mutex::default(),
            clock: Clock::start(),
        }
    }

    /// Hands on a line, unless too many wait.
    fn hand_on(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.waiting.load(Ordering::Relaxed) >= LINES_WAITING {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            self.untold.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        self.lines.append(record, diagnostics)
    }

    /// Tells of lines that were left out before.
    fn tell(&self, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = self.clock.now();
        let told = |fold: &mut Fold| fold.told(now);
        let folded = told(&mut self.fold.lock().unwrap_or_else(PoisonError::into_inner));
        for ((file, line), count) in folded {
            FOLDED.fetch_add(count, Ordering::Relaxed);
            let message = format_args!("{count} more lines of this place left out in a second");
            let record = Record::builder()
                .level(Level::Warn)
                .target_static(module_path!())
                .file_static(file)
                .line(Some(line))
                .payload(message)
                .build();
            self.hand_on(&record, diagnostics)?;
        }
        let room = self.waiting.load(Ordering::Relaxed) < LINES_WAITING;
        let dropped = if room {
            self.untold.swap(0, Ordering::Relaxed)
        } else {
            0
        };
        if dropped == 0 {
            return Ok(());
        }
        let message = format_args!("{dropped} lines dropped: the reader of the log is too slow");
        let record = Record::builder()
            .level(Level::Warn)
            .target_static(module_path!())
            .payload(message)
            .build();
        self.hand_on(&record, diagnostics)
    }
}

impl Append for Appender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.tell(diagnostics)?;
        let place = record.file_static().zip(record.line());
        let admitted = place.is_none_or(|place: Place| {
            let mut fold = self.fold.lock().unwrap_or_else(PoisonError::into_inner);
            fold.admit(place, self.clock.now())
        });
        if admitted {
            self.hand_on(record, diagnostics)?;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.lines.flush()
    }
}
