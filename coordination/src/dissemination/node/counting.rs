//! Counts of requests at one entry, and the messages that carry their sums.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use crate::usage::Count;

use super::super::counts::Exchange;
use super::super::roster::Contact;
use super::super::{Content, Digest, Message, Outgoing, Scope};
use super::Node;

impl Node {
    /// Starts counting requests; `incarnation` distinguishes the processes of an entry, and `wall_ms` is what
    /// the wall clock shows, in Unix milliseconds.
    pub fn enable_counts(&mut self, incarnation: u64, window: Duration, wall_ms: u64) {
        self.counts = Some(Exchange::new(incarnation, window, wall_ms));
        self.own.wall_ms = Some(wall_ms);
    }

    /// Counts a request of an account that begins to run.
    pub fn count_request(&mut self, account: &Arc<str>, wall_ms: u64, now: Duration) {
        if let Some(counts) = &mut self.counts {
            counts.count_request(account, wall_ms, now);
        }
    }

    /// Returns the true time in Unix milliseconds.
    #[must_use]
    pub fn true_ms(&self, wall_ms: u64, now: Duration) -> u64 {
        let counts = self.counts.as_ref();
        counts.map_or(wall_ms, |counts| counts.true_ms(wall_ms, now))
    }

    /// Sets the entry that reports usage.
    pub fn set_usage_holder(&mut self, holder: Option<Arc<str>>) {
        if let Some(counts) = &mut self.counts {
            counts.set_holder(holder);
        }
    }

    /// Drops the counts of the usage windows up to `index`.
    pub fn settle_usage(&mut self, index: u64, now: Duration) {
        if let Some(counts) = &mut self.counts {
            counts.settle(index, now);
        }
    }

    /// Returns what is known of a usage window.
    pub fn usage_count(&mut self, index: u64, wall_ms: u64, now: Duration) -> Count {
        let expected = self.registered.values();
        let mut expected: BTreeSet<Arc<str>> =
            expected.map(|(domain, _)| Arc::clone(domain)).collect();
        expected.insert(Arc::clone(&self.identity.failure_domain));
        let own = Arc::clone(&self.identity.contact.entry);
        let Some(counts) = &mut self.counts else {
            return Count::default();
        };
        if let Some(sums) = counts.sums(&own, wall_ms, now) {
            counts.record_sums(&self.identity.failure_domain, &own, sums, now);
        }
        counts.count(index, &expected, now)
    }

    /// Returns the entries that can hold duties: the hubs of all failure domains, as far as they are known.
    /// Without other entries this is the own one.
    #[must_use]
    pub fn duty_candidates(&self) -> Vec<Arc<str>> {
        let own = &self.identity.contact;
        let mut candidates = Vec::new();
        for (failure_domain, roster) in &self.rosters {
            let mut contacts = roster.first(super::super::roster::HUBS);
            if *failure_domain == self.identity.failure_domain && !self.own.leaving {
                contacts.push(own.clone());
            }
            contacts.sort_by_key(Contact::rank);
            contacts.truncate(super::super::roster::HUBS);
            candidates.extend(contacts.into_iter().map(|contact| contact.entry));
        }
        candidates
    }

    /// Returns the time until the sums of counts are due to be sent to the entry that reports usage.
    pub(super) fn sums_due(&self, now: Duration) -> Option<Duration> {
        let counts = self.counts.as_ref()?;
        counts
            .holder()
            .filter(|holder| **holder != self.identity.contact.entry)?;
        counts.sums_due(self.own.wall_ms?, now)
    }

    /// Returns the message with the sums of counts, if it is due.
    pub(super) fn send_sums(&mut self, now: Duration) -> Option<Outgoing> {
        self.sums_due(now).filter(Duration::is_zero)?;
        let counts = self.counts.as_mut()?;
        let own = Arc::clone(&self.identity.contact.entry);
        let sums = counts.sums(&own, self.own.wall_ms?, now);
        let holder = counts.holder()?;
        let mut rosters = self.rosters.values();
        let address = rosters.find_map(|roster| roster.address(holder))?;
        let digest = Digest {
            counts: sums,
            ..Digest::default()
        };
        Some(Outgoing {
            scope: Scope::Hubs,
            recipients: vec![address],
            message: Message {
                sender: self.sender(false, now),
                content: Content::Digest(digest),
            },
            direct: true,
        })
    }

    /// Starts or stops adding up counts, as this entry becomes a hub or ceases to be one.
    pub(super) fn update_summing(&mut self, now: Duration) {
        if let Some(counts) = &mut self.counts {
            counts.set_hub(self.hub, now);
        }
    }
}
