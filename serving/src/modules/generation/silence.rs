//! Timer of an engine's silence during one attempt.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_coordination::detector::{Detector, Phase, Subject};
use tokio::time::Instant;

use super::Request;
use crate::backend::Server;

/// Gaps between tokens that are collected before they are passed to the detector.
const GAP_BATCH: usize = 16;

/// Measures the silence of one attempt against the detector's bound.
#[derive(Debug)]
pub(super) struct Timer {
    subject: Subject,
    phase: Phase,
    started: Instant,
    last_activity: Instant,
    bound: Duration,
    gaps: Vec<Duration>,
}

impl Timer {
    /// Starts the timer of an attempt on a server.
    pub(super) fn start(detector: &Mutex<Detector>, request: &Request, server: &Server) -> Self {
        let subject = Subject {
            service: Arc::clone(&request.service),
            version: Arc::clone(&request.version),
            server: Arc::clone(&server.name),
        };
        let now = Instant::now();
        Self {
            bound: lock(detector).bound(&subject, Phase::FirstToken),
            subject,
            phase: Phase::FirstToken,
            started: now,
            last_activity: now,
            gaps: Vec::new(),
        }
    }

    /// Returns the time at which the silence reaches the bound.
    pub(super) fn deadline(&self) -> Instant {
        self.last_activity + self.bound
    }

    /// Returns whether the first token has not arrived and the attempt is younger than `limit`.
    pub(super) fn may_extend(&self, limit: Duration) -> bool {
        self.phase == Phase::FirstToken && self.started.elapsed() < limit
    }

    /// Restarts the wait, for a first token that is late.
    pub(super) fn extend(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Records a token of the attempt; returns how long the engine was silent before it.
    pub(super) fn record_token(&mut self, detector: &Mutex<Detector>) -> Duration {
        let now = Instant::now();
        let gap = now - self.last_activity;
        match self.phase {
            Phase::FirstToken => {
                lock(detector).observe(&self.subject, Phase::FirstToken, now - self.started);
                self.phase = Phase::InterToken;
                self.bound = lock(detector).bound(&self.subject, Phase::InterToken);
            }
            Phase::InterToken => self.gaps.push(gap),
        }
        self.last_activity = now;
        if self.gaps.len() >= GAP_BATCH {
            self.flush(detector);
        }
        gap
    }

    /// Excludes the time until now from the silence, since the reader and not the engine caused it.
    pub(super) fn exclude_reader_wait(&mut self) {
        self.last_activity = Instant::now();
    }

    /// Records that the attempt timed out.
    pub(super) fn record_timeout(&self, detector: &Mutex<Detector>) {
        let silence = self.last_activity.elapsed();
        lock(detector).record_timeout(&self.subject, self.phase, silence);
    }

    /// Passes the collected gaps to the detector and updates the bound.
    pub(super) fn flush(&mut self, detector: &Mutex<Detector>) {
        let mut detector = lock(detector);
        for gap in mem::take(&mut self.gaps) {
            detector.observe(&self.subject, Phase::InterToken, gap);
        }
        self.bound = detector.bound(&self.subject, self.phase);
    }
}

/// Locks the detector; poisoning is ignored, since a panic cannot leave its state inconsistent.
pub(super) fn lock(detector: &Mutex<Detector>) -> MutexGuard<'_, Detector> {
    detector.lock().unwrap_or_else(PoisonError::into_inner)
}
