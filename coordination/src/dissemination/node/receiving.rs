//! What an entry learns from a message, and what it passes on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::reader_election::rank;

use super::super::news::Origin;
use super::super::roster::Contact;
use super::super::{Content, Digest, Message, Received, Report, Sender};
use super::Node;

impl Node {
    /// Applies a message that arrived from `from`, and returns what the entry acts on.
    pub fn receive(&mut self, from: SocketAddr, message: Message, now: Duration) -> Received {
        let sender = message.sender;
        if sender.entry == self.identity.contact.entry {
            return Received::default();
        }
        if let Some((counts, wall_ms)) = self.counts.as_mut().zip(sender.wall_ms) {
            counts.record_clock(&sender.entry, wall_ms, now);
        }
        let contact = Contact {
            entry: Arc::clone(&sender.entry),
            address: from,
            link_mbps: sender.link_mbps,
        };
        let roster = self.rosters.entry(Arc::clone(&sender.failure_domain));
        let roster = roster.or_default();
        if sender.leaving {
            roster.remove(&sender.entry);
        } else {
            roster.insert(contact);
        }
        match message.content {
            Content::Report(report) => self.receive_report(&sender, from, report, now),
            Content::Digest(digest) => self.receive_digest(&sender, from, digest, now),
        }
    }

    fn receive_report(
        &mut self,
        sender: &Sender,
        from: SocketAddr,
        report: Report,
        now: Duration,
    ) -> Received {
        if sender.failure_domain != self.identity.failure_domain {
            return Received::default();
        }
        let changed = self.members.record(&sender.entry, Some(from), &report, now);
        if let Some((counts, report)) = self.counts.as_mut().zip(report.counts) {
            counts.record_report(&sender.entry, sender.leaving, report, now);
        }
        self.joined |= changed.joined;
        self.changed_reports += u32::from(changed.streams);
        self.update_sums(changed, now);
        self.account_demands
            .record_member(&sender.entry, report.account_demand, now);
        let received = Received {
            lost: report.lost,
            successors: report.successors,
            moves: report.moves,
            prompts: report.prompts,
            calls: report.calls,
            limits: report.limits,
        };
        self.pass_on(Origin::Domain, received, now)
    }

    fn receive_digest(
        &mut self,
        sender: &Sender,
        from: SocketAddr,
        digest: Digest,
        now: Duration,
    ) -> Received {
        let rank = rank(&sender.entry, sender.link_mbps);
        let own = &self.identity.contact.entry;
        if let Some(roster) = self.rosters.get_mut(&sender.failure_domain) {
            roster.record_response(&sender.entry);
            let others = digest.contacts.into_iter();
            others
                .filter(|contact| contact.entry != *own)
                .for_each(|contact| roster.insert(contact));
        }
        self.election
            .record(&sender.entry, sender.link_mbps, sender.reads_store, now);
        let local = sender.failure_domain == self.identity.failure_domain;
        if local {
            let available = sender.store_available;
            self.hub_words.record(&sender.entry, available, now);
        } else if !self.hub {
            self.visitors.insert(from, now);
        }
        // A hub has its own sums of its failure domain, and those of the others from their hubs.
        let usable = local != self.hub && self.ledger.accepts(&sender.failure_domain, rank, now);
        for summary in digest.summaries.into_iter().filter(|_| usable) {
            if local || summary.failure_domain == sender.failure_domain {
                self.ledger.apply(summary, now);
            }
        }
        if usable && local {
            self.account_demands
                .record_total(digest.account_demand, now);
        } else if usable {
            self.account_demands
                .record_domain(&sender.failure_domain, digest.account_demand, now);
        }
        let Digest {
            lost,
            successors,
            moves,
            prompts,
            calls,
            limits,
            counts,
            usage_settled,
            ..
        } = digest;
        if let Some(exchange) = &mut self.counts {
            if let Some(sums) = counts {
                exchange.record_sums(&sender.failure_domain, &sender.entry, sums, now);
            }
            if let Some(settled) = usage_settled {
                exchange.settle(settled, now);
            }
        }
        let received = Received {
            lost,
            successors,
            moves,
            prompts,
            calls,
            limits,
        };
        if local {
            return received;
        }
        self.pass_on(Origin::Remote, received, now)
    }

    /// Returns received events, and keeps them to be passed on if this entry is a hub.
    fn pass_on(&mut self, origin: Origin, received: Received, now: Duration) -> Received {
        if self.hub {
            for (server, age) in &received.lost {
                self.lost.insert(*server, *age, origin, now);
            }
            for successor in &received.successors {
                self.successors
                    .insert(successor.clone(), Duration::ZERO, origin, now);
            }
            for report in &received.moves {
                self.moves.insert(report.clone(), origin, now);
            }
            self.prompts.extend(&received.prompts, origin, now);
            self.calls.extend(&received.calls, origin, now);
            for (limit, age) in &received.limits {
                self.limits.insert(*limit, *age, origin, now);
            }
        }
        received
    }
}
