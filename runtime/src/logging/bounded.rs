//! A log appender that never blocks: a bounded queue and a rate limit per call site, in front of a
//! writer thread. Lines that are not written are counted and reported in the log.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use logforth::append::Async;
use logforth::append::asynchronous::AsyncBuilder;
use logforth::record::{Level, Record};
use logforth::{Append, Diagnostic, Error};

use super::rate_limit::{CallSite, RateLimiter};
use crate::clock::Clock;

/// Lines that may wait in the queue for a slow reader; further lines are dropped.
pub const QUEUE_CAPACITY: usize = 8_192;

/// Lines beyond the rate limit of their call site since the start of the process.
static RATE_LIMITED: AtomicU64 = AtomicU64::new(0);

/// Lines dropped because the queue was full, since the start of the process.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Numbers of log lines that were not written since the start of the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Losses {
    /// Lines beyond the rate limit of their call site.
    pub rate_limited: u64,
    /// Lines that arrived while the queue was full.
    pub dropped: u64,
}

/// Returns how many lines were not written since the start of the process.
#[must_use]
pub fn losses() -> Losses {
    Losses {
        rate_limited: RATE_LIMITED.load(Ordering::Relaxed),
        dropped: DROPPED.load(Ordering::Relaxed),
    }
}

/// An appender that puts lines into a queue, from which a separate thread writes them.
#[derive(Debug)]
pub struct Appender {
    queue: Async,
    queued: Arc<AtomicUsize>,
    /// Dropped lines that the log does not yet report.
    unreported_drops: AtomicU64,
    rate_limiter: Mutex<RateLimiter>,
    clock: Clock,
}

/// Appender of the writer thread: writes a line and takes it off the count of queued lines.
#[derive(Debug)]
struct Writer<A> {
    inner: A,
    queued: Arc<AtomicUsize>,
}

impl<A: Append> Append for Writer<A> {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let written = self.inner.append(record, diagnostics);
        self.queued.fetch_sub(1, Ordering::Relaxed);
        written
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}

impl Appender {
    /// Returns an appender whose thread writes lines to `inner`.
    #[must_use]
    pub fn new<A: Append>(inner: A) -> Self {
        let queued = Arc::default();
        let writer = Writer {
            inner,
            queued: Arc::clone(&queued),
        };
        Self {
            queue: AsyncBuilder::new("log").append(writer).build(),
            queued,
            unreported_drops: AtomicU64::new(0),
            rate_limiter: Mutex::default(),
            clock: Clock::start(),
        }
    }

    /// Puts a line into the queue, or drops and counts it if the queue is full.
    fn enqueue(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.queued.load(Ordering::Relaxed) >= QUEUE_CAPACITY {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            self.unreported_drops.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        self.queue.append(record, diagnostics)
    }

    /// Writes a warning for each call site with suppressed lines, and one for dropped lines.
    fn report_losses(&self, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let now = self.clock.now();
        let take_suppressed = |limiter: &mut RateLimiter| limiter.take_suppressed(now);
        let suppressed = take_suppressed(
            &mut self
                .rate_limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        );
        for ((file, line), count) in suppressed {
            RATE_LIMITED.fetch_add(count, Ordering::Relaxed);
            let message = format_args!("{count} further lines of this call site were suppressed");
            let record = Record::builder()
                .level(Level::Warn)
                .target_static(module_path!())
                .file_static(file)
                .line(Some(line))
                .payload(message)
                .build();
            self.enqueue(&record, diagnostics)?;
        }
        let has_room = self.queued.load(Ordering::Relaxed) < QUEUE_CAPACITY;
        let dropped = if has_room {
            self.unreported_drops.swap(0, Ordering::Relaxed)
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
        self.enqueue(&record, diagnostics)
    }
}

impl Append for Appender {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        self.report_losses(diagnostics)?;
        let call_site = record.file_static().zip(record.line());
        let admitted = call_site.is_none_or(|call_site: CallSite| {
            let mut limiter = self
                .rate_limiter
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            limiter.admit(call_site, self.clock.now())
        });
        if admitted {
            self.enqueue(record, diagnostics)?;
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.queue.flush()
    }
}
