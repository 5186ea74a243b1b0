//! One server, with what this entry knows of it.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use medlarfall_coordination::balance::{Candidate, Load};
use medlarfall_coordination::placement::{Proximity, name_hash};
use medlarfall_coordination::registry::Server;
use medlarfall_coordination::shared_load::Count;

use crate::monitor::Monitor;

use super::Settings;
use super::beliefs::Group;
use super::placing::{Measure, Wanted};

/// A server, with what this entry knows of it.
#[derive(Debug)]
pub struct Backend {
    /// As it announces itself.
    pub server: Arc<Server>,
    /// Watches it while it runs streams.
    pub monitor: Monitor,
    hash: u64,
    pub(super) proximity: Proximity,
    load: Mutex<Load>,
    searched: AtomicBool,
    doubted: AtomicBool,
    /// Streams of this entry that are at the server.
    pub streams: AtomicUsize,
}

impl Backend {
    /// Returns whether a search for the server's next start has begun before, and begins it.
    pub fn searched(&self) -> bool {
        self.searched.swap(true, Ordering::Relaxed)
    }

    /// Notes that a search has ended; the next loss begins another.
    pub fn search_ended(&self) {
        self.searched.store(false, Ordering::Relaxed);
    }

    /// Returns whether the server, or its group, was lost and has not answered since.
    #[must_use]
    pub fn doubted(&self) -> bool {
        self.doubted.load(Ordering::Relaxed)
    }

    /// Notes that the server may have gone, or that it answered.
    pub(super) fn set_doubted(&self, doubted: bool) {
        self.doubted.store(doubted, Ordering::Relaxed);
    }

    /// Reads or changes the server's load.
    pub fn load<T>(&self, act: impl FnOnce(&mut Load) -> T) -> T {
        act(&mut self.load.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Backend {
    pub(super) fn new(server: Arc<Server>, settings: &Settings) -> Self {
        let region = |domain: &str| settings.regions.get(domain);
        let own = &settings.failure_domain;
        let proximity = match &server.failure_domain {
            domain if domain == own => Proximity::FailureDomain,
            domain if region(domain) == region(own) => Proximity::Region,
            _ => Proximity::Anywhere,
        };
        Self {
            hash: name_hash(&server.id),
            proximity,
            server,
            monitor: Monitor::default(),
            load: Mutex::default(),
            searched: AtomicBool::new(false),
            doubted: AtomicBool::new(false),
            streams: AtomicUsize::new(0),
        }
    }

    /// Returns the hash of the server's name, and how near it is.
    pub(super) fn place(&self) -> (u64, Proximity) {
        (self.hash, self.proximity)
    }

    pub(super) fn group(&self) -> Group {
        Group {
            service: Arc::clone(&self.server.service),
            failure_domain: Arc::clone(&self.server.failure_domain),
        }
    }

    pub(super) fn candidate(&self, now: Duration, wanted: Wanted, peers: Count) -> Candidate {
        let requests = |load: &mut Load| match wanted.measure {
            Measure::Calls { horizon } => load.estimate(now, horizon),
            Measure::Streams => load.stream_load(peers),
        };
        self.load(|load| Candidate {
            hash: self.hash,
            proximity: self.proximity,
            requests: requests(load),
            slots: self.server.slots,
            failure_rate: load.failure_rate(),
            suspect: load.suspect(now),
        })
    }
}
