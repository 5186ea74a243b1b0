//! Duties that this entry holds.

use std::collections::BTreeSet;
use std::sync::{Arc, PoisonError};

use medlarfall_coordination::duty::{Duties, Subject};
use medlarfall_coordination::rendezvous::rank;
use medlarfall_coordination::routing::Account;
use medlarfall_coordination::usage::Count;
use medlarfall_runtime::clock::wall_ms;

use crate::codec::Codec;
use crate::duty::Permit;

use super::Relay;

impl<C: Codec> Relay<C> {
    /// Reads or changes the state of the duties; `None` if the deployment has none.
    pub fn duties<T>(&self, act: impl FnOnce(&mut Duties) -> T) -> Option<T> {
        let duties = self.duties.as_ref()?;
        Some(act(&mut duties
            .lock()
            .unwrap_or_else(PoisonError::into_inner)))
    }

    /// Returns the permission to act for a subject, if this entry holds it now.
    #[must_use]
    pub fn permit(&self, subject: &Subject) -> Option<Permit> {
        let now = self.boot_clock.now();
        let granted = self
            .duties(|duties| duties.permit(subject, now))
            .flatten()?;
        Some(Permit {
            subject: granted.subject.clone(),
            token: granted.token,
            holder: Arc::clone(&self.settings.entry),
            clock: self.boot_clock,
            granted,
        })
    }

    /// Wakes the tasks that do duties.
    pub fn notify_duties(&self) {
        self.duties_changed
            .send_modify(|changes| *changes = changes.wrapping_add(1));
    }
}

impl<C: Codec> Relay<C> {
    /// Counts a request of an account that begins to run.
    pub fn count_run(&self, account: Option<&Account>) {
        let counts = self.settings.duties.is_some_and(|it| it.usage_reporting);
        let Some(account) = account.filter(|_| counts) else {
            return;
        };
        let now = self.clock.now();
        self.view(|view| view.node.count_request(&account.name, wall_ms(), now));
    }

    /// Returns the true time, in Unix milliseconds.
    #[must_use]
    pub fn true_ms(&self) -> u64 {
        let now = self.clock.now();
        self.view(|view| view.node.true_ms(wall_ms(), now))
    }

    /// Returns what is known of a usage window.
    #[must_use]
    pub fn usage_count(&self, window: u64) -> Count {
        let now = self.clock.now();
        self.view(|view| view.node.usage_count(window, wall_ms(), now))
    }

    /// Drops the counts of the usage windows up to one that needs no more counts.
    pub fn settle_usage(&self, window: u64) {
        let now = self.clock.now();
        self.view(|view| view.node.settle_usage(window, now));
    }

    /// Sets the entry that reports usage, to which the counts are sent.
    pub fn set_usage_holder(&self, holder: Option<Arc<str>>) {
        self.view(|view| view.node.set_usage_holder(holder));
        self.streams_changed.notify_one();
    }

    /// Returns the subjects of this deployment.
    #[must_use]
    pub fn duty_subjects(&self) -> Vec<Subject> {
        let Some(settings) = self.settings.duties else {
            return Vec::new();
        };
        let usage = settings.usage_reporting.then_some(Subject::Usage);
        let mut subjects: Vec<Subject> = usage.into_iter().collect();
        if settings.autoscaling {
            subjects.extend(self.scaling_subjects());
        }
        subjects
    }

    /// Returns the pairs of a service that is scaled and a failure domain in which it has servers.
    fn scaling_subjects(&self) -> BTreeSet<Subject> {
        self.view(|view| {
            let Some(table) = &view.table else {
                return BTreeSet::new();
            };
            let scaled = |service: &str| {
                let service = table.service(service);
                service.is_some_and(|service| service.autoscaling.is_some())
            };
            let servers = view
                .registry
                .iter()
                .filter(|server| scaled(&server.service));
            servers
                .map(|server| Subject::Scaling {
                    service: Arc::clone(&server.service),
                    failure_domain: Arc::clone(&server.failure_domain),
                })
                .collect()
        })
    }

    /// Returns this entry's position among the candidates for a subject, if it is one.
    #[must_use]
    pub fn duty_positions(&self, subjects: &[Subject]) -> Vec<Option<usize>> {
        let candidates = self.view(|view| view.node.duty_candidates());
        let own = &*self.settings.entry;
        let is_candidate = candidates.iter().any(|candidate| **candidate == *own);
        let position = |subject: &Subject| {
            let others = candidates.iter().map(|candidate| &**candidate);
            let others = others.filter(|candidate| *candidate != own);
            rank(&subject.to_string(), own, others)
        };
        let positions = subjects.iter();
        positions
            .map(|subject| is_candidate.then(|| position(subject)))
            .collect()
    }
}
