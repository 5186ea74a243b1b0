//! Watching one attempt's silence.

use std::mem;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarfall_coordination::detector::{Detector, Phase, Subject};
use tokio::time::Instant;

use super::Order;
use crate::backend::Server;

/// Gaps that are collected before they are handed to the detector.
const BATCH: usize = 16;

/// The silence of one attempt.
#[derive(Debug)]
pub(super) struct Watch {
    subject: Subject,
    phase: Phase,
    started: Instant,
    since: Instant,
    bound: Duration,
    gaps: Vec<Duration>,
}

impl Watch {
    /// Starts watching an attempt on a server.
    pub(super) fn start(detector: &Mutex<Detector>, order: &Order, server: &Server) -> Self {
        let subject = Subject {
            service: Arc::clone(&order.service),
            version: Arc::clone(&order.version),
            server: Arc::clone(&server.name),
        };
        let now = Instant::now();
        Self {
            bound: lock(detector).bound(&subject, Phase::First),
            subject,
            phase: Phase::First,
            started: now,
            since: now,
            gaps: Vec::new(),
        }
    }

    /// Returns when the silence has lasted too long.
    pub(super) fn deadline(&self) -> Instant {
        self.since + self.bound
    }

    /// Returns whether the first token is still awaited, for less than `limit` so far.
    pub(super) fn may_extend(&self, limit: Duration) -> bool {
        self.phase == Phase::First && self.started.elapsed() < limit
    }

    /// Waits once more as long.
    pub(super) fn extend(&mut self) {
        self.since = Instant::now();
    }

    /// Notes a token of the attempt; returns how long the engine was silent before it.
    pub(super) fn token(&mut self, detector: &Mutex<Detector>) -> Duration {
        let now = Instant::now();
        let gap = now - self.since;
        match self.phase {
            Phase::First => {
                lock(detector).observe(&self.subject, Phase::First, now - self.started);
                self.phase = Phase::Between;
                self.bound = lock(detector).bound(&self.subject, Phase::Between);
            }
            Phase::Between => self.gaps.push(gap),
        }
        self.since = now;
        if self.gaps.len() >= BATCH {
            self.hand_over(detector);
        }
        gap
    }

    /// Notes that the reader, and not the engine, held up the attempt until now.
    pub(super) fn held_up(&mut self) {
        self.since = Instant::now();
    }

    /// Notes that the silence ended the attempt.
    pub(super) fn fell_silent(&self, detector: &Mutex<Detector>) {
        let silence = self.since.elapsed();
        lock(detector).fell_silent(&self.subject, self.phase, silence);
    }

    /// Hands the collected gaps to the detector and takes its bound.
    pub(super) fn hand_over(&mut self, detector: &Mutex<Detector>) {
        let mut detector = lock(detector);
        for gap in mem::take(&mut self.gaps) {
            detector.observe(&self.subject, Phase::Between, gap);
        }
        self.bound = detector.bound(&self.subject, self.phase);
    }
}

/// Locks the detector, whose state a panic cannot leave half changed.
pub(super) fn lock(detector: &Mutex<Detector>) -> MutexGuard<'_, Detector> {
    detector.lock().unwrap_or_else(PoisonError::into_inner)
}
