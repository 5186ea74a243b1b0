//! When an entry sends which messages, and to whom.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::reader_election::READER_ANNOUNCE_INTERVAL;

use super::super::counts::Exchange;
use super::super::demands::{self, AccountDemand};
use super::super::roster::Contact;
use super::super::{Content, Digest, Message, Outgoing, Report, Scope, Sender};
use super::{CONTACTS, Node, Own, Sent};

/// Longest time between two reports of an entry.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time between the reports of an entry that starts, until a hub answers: its hubs may be starting too.
const FIRST_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Longest time between two digests. It is also the interval at which unchanged values are repeated.
const DIGEST_INTERVAL: Duration = READER_ANNOUNCE_INTERVAL;

/// Shortest time between two digests for numbers that changed: placement is as good with numbers
/// that are a tenth of a second old, since the prefill of a prompt takes a second.
const COUNT_INTERVAL: Duration = Duration::from_millis(100);

/// Changed reports from which a hub sends digests at [`BURST_INTERVAL`]. When callers return after all
/// entries were restarted, each entry of a failure domain places prompts within the same tenth of a
/// second, and without each other's numbers they choose the same servers.
const BURST_REPORTS: u32 = 4;

/// Shortest time between two digests during a burst of changed reports.
const BURST_INTERVAL: Duration = Duration::from_millis(10);

/// Shortest time between two messages of a scope.
const MIN_INTERVAL: Duration = Duration::from_millis(10);

/// Time for which an entry that is not a hub answers the digests of another failure domain's hub.
const VISIT: Duration = Duration::from_secs(2);

impl Node {
    /// Returns the messages to send now.
    pub fn poll(&mut self, now: Duration) -> Vec<Outgoing> {
        self.update_role(now);
        self.expire(now);
        let mut outgoing = Vec::new();
        for scope in Scope::ALL {
            if self.due_in(scope, now).is_zero() {
                outgoing.extend(self.send(scope, now));
            }
        }
        outgoing.extend(self.send_sums(now));
        outgoing
    }

    /// Returns the time until the next call of [`Self::poll`], unless something changes before.
    #[must_use]
    pub fn next_poll(&self, now: Duration) -> Duration {
        let due = Scope::ALL.map(|scope| self.due_in(scope, now));
        let due = due.into_iter().chain(self.sums_due(now));
        due.min().unwrap_or(REPORT_INTERVAL)
    }

    /// Returns the time until a message of a scope is due.
    fn due_in(&self, scope: Scope, now: Duration) -> Duration {
        let sent = &self.sent[scope.index()];
        let Some(at) = sent.at else {
            return Duration::ZERO;
        };
        let counts_changed = match scope {
            Scope::Report => self.own.streams != self.reported.streams,
            Scope::Members => self.ledger.sequence() != sent.sequence,
            Scope::Hubs => self.ledger.usage_changed(&self.identity.failure_domain) > sent.sequence,
        };
        let idle = match scope {
            Scope::Report => false,
            Scope::Members => self.members.addresses(self.hub).is_empty(),
            Scope::Hubs => !self.hub && self.visitors.is_empty(),
        };
        let interval = match scope {
            _ if idle => REPORT_INTERVAL,
            _ if self.is_urgent(scope, now) => MIN_INTERVAL,
            Scope::Report if counts_changed => MIN_INTERVAL,
            Scope::Members if self.changed_reports >= BURST_REPORTS => BURST_INTERVAL,
            _ if counts_changed => COUNT_INTERVAL,
            Scope::Report if self.moves.has_unsent(scope) => DIGEST_INTERVAL,
            Scope::Report if self.hub_words.heard_at().is_none() && self.roster().responds() => {
                FIRST_REPORT_INTERVAL
            }
            Scope::Report if !self.own.account_demand.is_empty() => demands::REPORT_INTERVAL,
            Scope::Report => REPORT_INTERVAL,
            Scope::Members | Scope::Hubs => DIGEST_INTERVAL,
        };
        let due = (at + interval).saturating_sub(now);
        let counts_due = self.counts.as_ref().filter(|_| scope == Scope::Report);
        let soonest = (at + MIN_INTERVAL).saturating_sub(now);
        let counts_due =
            counts_due.map(|counts| counts.report_due(self.own.leaving, now).max(soonest));
        counts_due.map_or(due, |counts_due| counts_due.min(due))
    }

    /// Returns whether something is unsent in a scope that other entries must know at once.
    fn is_urgent(&self, scope: Scope, now: Duration) -> bool {
        let sent = &self.sent[scope.index()];
        let retries = |own: &Own| -> u32 { own.usage.iter().map(|(_, usage)| usage.retries).sum() };
        let changed = match scope {
            Scope::Report => {
                let mut hubs = self.roster().hubs(self.rank);
                retries(&self.own) > retries(&self.reported)
                    || hubs.any(|hub| !self.reported_to.contains(&hub))
            }
            Scope::Members => self.joined || sent.revision != self.own.revision,
            Scope::Hubs => sent.revision != self.own.revision && self.own.reads_store,
        };
        changed
            || sent.leaving != self.own.leaving
            || (sent.store_available != self.vouches(now) && scope != Scope::Report)
            || (sent.reads_store != self.own.reads_store && scope != Scope::Report)
            || self.lost.has_unsent(scope)
            || self.successors.has_unsent(scope)
            || self.moves.has_unsent_verdict(scope)
            || self.prompts.has_unsent(scope)
            || self.calls.has_unsent(scope)
            || self.limits.has_unsent(scope)
    }

    fn send(&mut self, scope: Scope, now: Duration) -> Option<Outgoing> {
        let repeated_at = self.sent[scope.index()].repeated_at;
        let interval = match scope {
            Scope::Report => REPORT_INTERVAL,
            Scope::Members | Scope::Hubs => DIGEST_INTERVAL,
        };
        let periodic = repeated_at.is_none_or(|at| now.saturating_sub(at) >= interval);
        let after = self.sent[scope.index()].sequence;
        let (recipients, content) = match scope {
            Scope::Report => {
                let report = self.report(periodic, now);
                let roster = self
                    .rosters
                    .entry(Arc::clone(&self.identity.failure_domain));
                let own = (!self.own.leaving).then_some(self.rank);
                let recipients = roster.or_default().recipients(own, now);
                self.reported_to.clone_from(&recipients);
                (recipients, Content::Report(report))
            }
            Scope::Members => {
                let recipients = self.members.addresses(periodic && self.hub);
                self.joined = false;
                self.changed_reports = 0;
                let digest = if recipients.is_empty() {
                    Digest::default()
                } else {
                    self.digest(scope, after, periodic, now)
                };
                (recipients, Content::Digest(digest))
            }
            Scope::Hubs => {
                let recipients = self.remote_recipients(now);
                let digest = if self.hub && !recipients.is_empty() {
                    self.digest(scope, after, periodic, now)
                } else {
                    Digest {
                        contacts: self.contacts(),
                        ..Digest::default()
                    }
                };
                (recipients, Content::Digest(digest))
            }
        };
        let vouches = self.vouches(now);
        self.sent[scope.index()] = Sent {
            at: Some(now),
            repeated_at: if periodic { Some(now) } else { repeated_at },
            sequence: self.ledger.sequence(),
            revision: self.own.revision,
            reads_store: self.own.reads_store,
            store_available: vouches,
            leaving: self.own.leaving,
        };
        let message = Message {
            sender: self.sender(periodic, now),
            content,
        };
        (!recipients.is_empty()).then_some(Outgoing {
            scope,
            recipients,
            message,
            direct: false,
        })
    }

    /// Returns whether this entry says that the store is available. A hub that neither reads it nor hears of one
    /// that does may be cut off.
    fn vouches(&self, now: Duration) -> bool {
        let informed = !self.hub || self.own.reads_store || self.others_read(now);
        self.own.store_available && informed
    }

    pub(super) fn sender(&self, periodic: bool, now: Duration) -> Sender {
        let Contact {
            entry, link_mbps, ..
        } = &self.identity.contact;
        Sender {
            entry: Arc::clone(entry),
            failure_domain: Arc::clone(&self.identity.failure_domain),
            link_mbps: *link_mbps,
            revision: self.own.revision,
            reads_store: self.own.reads_store,
            store_available: self.vouches(now),
            leaving: self.own.leaving,
            wall_ms: self.own.wall_ms.filter(|_| periodic),
        }
    }

    /// Returns this entry's report, and counts it among those that it sums if it is a hub.
    fn report(&mut self, periodic: bool, now: Duration) -> Report {
        let lost = self.lost.batch(Scope::Report, periodic, now);
        let successors = self.successors.batch(Scope::Report, periodic, now);
        let counts = self.counts.as_mut().zip(self.own.wall_ms);
        let leaving = self.own.leaving;
        let report = Report {
            streams: self.own.streams.clone(),
            lost,
            successors: successors.into_iter().map(|(found, _)| found).collect(),
            usage: self.own.usage.clone(),
            moves: self.moves.batch(Scope::Report, periodic, now),
            prompts: self.prompts.batch(Scope::Report, periodic, now),
            calls: self.calls.batch(Scope::Report, periodic, now),
            limits: self.limits.batch(Scope::Report, periodic, now),
            demands: if periodic {
                self.own.demands.clone()
            } else {
                Vec::new()
            },
            counts: counts.and_then(|(counts, wall_ms)| counts.report(leaving, wall_ms, now)),
            account_demand: self
                .account_demands
                .report(&self.own.account_demand, now)
                .unwrap_or_default(),
        };
        self.reported = self.own.clone();
        let streams = report.streams.iter().copied();
        self.ledger
            .set_reported(streams, report.usage.iter().cloned(), now);
        let entry = Arc::clone(&self.identity.contact.entry);
        self.account_demands
            .record_member(&entry, report.account_demand.clone(), now);
        let changed = self.members.record(&entry, None, &report, now);
        self.update_sums(changed, now);
        report
    }

    fn digest(&mut self, scope: Scope, after: u64, periodic: bool, now: Duration) -> Digest {
        let own = Arc::clone(&self.identity.failure_domain);
        let successors = self.successors.batch(scope, periodic, now);
        Digest {
            summaries: self.ledger.summaries(scope, &own, after, periodic),
            lost: self.lost.batch(scope, periodic, now),
            successors: successors.into_iter().map(|(found, _)| found).collect(),
            moves: self.moves.batch(scope, periodic, now),
            prompts: self.prompts.batch(scope, periodic, now),
            calls: self.calls.batch(scope, periodic, now),
            limits: self.limits.batch(scope, periodic, now),
            account_demand: match scope {
                _ if !periodic => AccountDemand::default(),
                Scope::Hubs => self.account_demands.of_domain(now),
                _ => self.account_demands.of_all(now),
            },
            contacts: if periodic {
                self.contacts()
            } else {
                Vec::new()
            },
            counts: None,
            usage_settled: self
                .counts
                .as_ref()
                .filter(|_| periodic)
                .and_then(Exchange::settled),
        }
    }

    /// Returns the first entries of this failure domain that can be its hubs.
    fn contacts(&self) -> Vec<Contact> {
        let own = (!self.own.leaving).then_some(&self.identity.contact);
        let mut contacts = self.roster().first(CONTACTS);
        contacts.extend(own.cloned());
        contacts.sort_by_key(Contact::rank);
        contacts.truncate(CONTACTS);
        contacts
    }

    /// Returns the addresses of other failure domains to send a digest to.
    fn remote_recipients(&mut self, now: Duration) -> Vec<SocketAddr> {
        self.visitors
            .retain(|_, at| now.saturating_sub(*at) < VISIT);
        let mut recipients: Vec<SocketAddr> = self.visitors.keys().copied().collect();
        if self.hub {
            let own = &self.identity.failure_domain;
            let remote = self.rosters.iter_mut().filter(|(name, _)| *name != own);
            recipients.extend(remote.flat_map(|(_, roster)| roster.recipients(None, now)));
        }
        recipients.sort_unstable();
        recipients.dedup();
        recipients
    }
}
