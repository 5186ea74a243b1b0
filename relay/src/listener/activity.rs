//! Use of a caller's connection over time: when it has been idle, or has taken for the head of a
//! request, longer than the limits in force allow.

use std::time::Duration;

use medlarfall_coordination::routing::Limits;

/// Factor on the configured times. Callers may use them up to shortly before their end, and the entry
/// notices bytes later than they were sent.
const MARGIN: u32 = 2;

/// The limit that a connection has exceeded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Excess {
    /// The head of a request has begun and is not complete in time.
    Head,
    /// No request has come in time.
    Idle,
}

/// The use of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Activity {
    /// Whether the caller has sent nothing yet.
    unused: bool,
    /// Requests that are being handled, until the end of their responses.
    requests: usize,
    /// When the first bytes of a head arrived that is not complete.
    head_since: Option<Duration>,
    idle_since: Duration,
}

impl Activity {
    /// Returns the activity of a connection that was opened at `now`.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            unused: true,
            requests: 0,
            head_since: None,
            idle_since: now,
        }
    }

    /// Records bytes from the caller.
    pub fn receive(&mut self, now: Duration) {
        self.unused = false;
        if self.requests == 0 {
            self.head_since.get_or_insert(now);
        }
    }

    /// Records bytes to the caller. Until a response has been sent, the next request is not read.
    pub fn send(&mut self, now: Duration) {
        self.idle_since = now;
        self.head_since = self.head_since.map(|_| now);
    }

    /// Records that the head of a request is complete.
    pub fn begin(&mut self) {
        self.requests += 1;
        self.head_since = None;
    }

    /// Records the end of a response.
    pub fn end(&mut self, now: Duration) {
        self.requests = self.requests.saturating_sub(1);
        self.idle_since = now;
    }

    /// Records that other limits are in force. A shorter time counts from now on, because a caller may
    /// have sent a request under the limits before.
    pub fn change_limits(&mut self, now: Duration) {
        self.idle_since = now;
        self.head_since = self.head_since.map(|_| now);
    }

    /// Returns whether the caller has sent nothing yet.
    #[must_use]
    pub fn is_unused(&self) -> bool {
        self.unused
    }

    /// Returns whether the head of a request has begun to arrive and is not complete.
    #[must_use]
    pub fn is_receiving_head(&self) -> bool {
        self.requests == 0 && self.head_since.is_some()
    }

    /// Returns when the connection exceeds a limit, and which one; `None` while a request is being
    /// handled.
    #[must_use]
    pub fn deadline(&self, limits: &Limits) -> Option<(Duration, Excess)> {
        match self.head_since {
            _ if self.requests > 0 => None,
            Some(since) => Some((since + limits.header_time * MARGIN, Excess::Head)),
            None => Some((self.idle_since + limits.idle_time * MARGIN, Excess::Idle)),
        }
    }
}
