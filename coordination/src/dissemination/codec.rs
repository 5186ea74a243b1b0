//! Translates messages to and from their protobuf form.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_schema::peers;
use snafu::Snafu;

use crate::canary;
use crate::evidence::{Cohort, Observation};
use crate::history::Revision;
use crate::quarantine::{Loss, Part};
use crate::retry_budget::Usage;
use crate::server_limit::Named;

use super::{
    Contact, Content, Count, Crashes, Digest, Message, MoveReport, Report, Sender, ServerLimit,
    Successor, Summary, Tag,
};

mod demand;

use demand::{decode_account_demand, decode_demand, encode_account_demand, encode_demand};

/// Why a datagram is not a message.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Invalid {
    /// A required part is missing.
    #[snafu(display("the datagram lacks its {part}"))]
    Missing {
        /// Name of the part.
        part: &'static str,
    },
    /// Lists that belong together differ in length.
    #[snafu(display("the datagram's lists of {part} differ in length"))]
    Lengths {
        /// Name of the lists.
        part: &'static str,
    },
    /// An address can't be parsed.
    #[snafu(display("the datagram names a contact without a valid address"))]
    Address,
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn texts<T, U>(values: Vec<T>, convert: impl Fn(T) -> U) -> Vec<U> {
    values.into_iter().map(convert).collect()
}

impl From<Message> for peers::Datagram {
    fn from(message: Message) -> Self {
        let content = match message.content {
            Content::Report(report) => peers::datagram::Content::Report(report.into()),
            Content::Digest(digest) => peers::datagram::Content::Digest(digest.into()),
        };
        let sender = message.sender;
        Self {
            sender: Some(peers::Sender {
                entry: sender.entry.to_string(),
                failure_domain: sender.failure_domain.to_string(),
                link_mbps: sender.link_mbps,
                revision: sender.revision.number,
                reads_store: sender.reads_store,
                store_available: sender.store_available,
                leaving: sender.leaving,
                era: sender.revision.era,
                wall_ms: sender.wall_ms,
            }),
            content: Some(content),
        }
    }
}

impl TryFrom<peers::Datagram> for Message {
    type Error = Invalid;

    fn try_from(datagram: peers::Datagram) -> Result<Self, Invalid> {
        let missing = |part| Invalid::Missing { part };
        let sender = datagram.sender.ok_or(missing("sender"))?;
        if sender.entry.is_empty() || sender.failure_domain.is_empty() {
            return Err(missing("sender's name"));
        }
        let content = match datagram.content.ok_or(missing("content"))? {
            peers::datagram::Content::Report(report) => Content::Report(report.try_into()?),
            peers::datagram::Content::Digest(digest) => Content::Digest(digest.try_into()?),
        };
        Ok(Self {
            sender: Sender {
                entry: Arc::from(sender.entry),
                failure_domain: Arc::from(sender.failure_domain),
                link_mbps: sender.link_mbps,
                revision: Revision {
                    era: sender.era,
                    number: sender.revision,
                },
                reads_store: sender.reads_store,
                store_available: sender.store_available,
                leaving: sender.leaving,
                wall_ms: sender.wall_ms,
            },
            content,
        })
    }
}

impl From<Report> for peers::Report {
    fn from(report: Report) -> Self {
        Self {
            streams: encode_streams(&report.streams),
            lost: encode_lost(&report.lost),
            successors: texts(report.successors, Into::into),
            retries: encode_usage(report.usage),
            moves: texts(report.moves, Into::into),
            prompt_losses: texts(report.prompts.losses, encode_loss),
            prompt_answers: texts(report.prompts.answers, encode_answer),
            call_losses: texts(report.calls.losses, encode_loss),
            call_answers: texts(report.calls.answers, encode_answer),
            server_limits: encode_limits(&report.limits),
            demands: texts(report.demands, encode_demand),
            usage_counts: report.counts.map(Into::into),
            account_demands: texts(report.account_demand, encode_account_demand),
        }
    }
}

impl TryFrom<peers::Report> for Report {
    type Error = Invalid;

    fn try_from(report: peers::Report) -> Result<Self, Invalid> {
        Ok(Self {
            streams: decode_streams(report.streams)?,
            lost: decode_lost(report.lost)?,
            successors: texts(report.successors, Into::into),
            usage: decode_usage(report.retries),
            moves: texts(report.moves, Into::into),
            prompts: decode_crashes(report.prompt_losses, report.prompt_answers),
            calls: decode_crashes(report.call_losses, report.call_answers),
            limits: decode_limits(report.server_limits)?,
            demands: texts(report.demands, decode_demand),
            counts: report.usage_counts.map(TryInto::try_into).transpose()?,
            account_demand: decode_account_demand(report.account_demands)?,
        })
    }
}

impl From<Digest> for peers::Digest {
    fn from(digest: Digest) -> Self {
        let summary = |summary: Summary| peers::Summary {
            failure_domain: summary.failure_domain.to_string(),
            entries: summary.entries,
            streams: encode_streams(&summary.streams),
            retries: encode_usage(summary.usage),
            demands: texts(summary.demands, encode_demand),
        };
        let contact = |contact: Contact| peers::Contact {
            entry: contact.entry.to_string(),
            address: contact.address.to_string(),
            link_mbps: contact.link_mbps,
        };
        Self {
            summaries: texts(digest.summaries, summary),
            lost: encode_lost(&digest.lost),
            successors: texts(digest.successors, Into::into),
            moves: texts(digest.moves, Into::into),
            prompt_losses: texts(digest.prompts.losses, encode_loss),
            prompt_answers: texts(digest.prompts.answers, encode_answer),
            call_losses: texts(digest.calls.losses, encode_loss),
            call_answers: texts(digest.calls.answers, encode_answer),
            server_limits: encode_limits(&digest.limits),
            account_demands: texts(digest.account_demand, encode_account_demand),
            contacts: texts(digest.contacts, contact),
            updates: None,
            usage_counts: digest.counts.map(Into::into),
            usage_settled: digest.usage_settled,
        }
    }
}

impl TryFrom<peers::Digest> for Digest {
    type Error = Invalid;

    fn try_from(digest: peers::Digest) -> Result<Self, Invalid> {
        let summary = |summary: peers::Summary| {
            Ok(Summary {
                failure_domain: Arc::from(summary.failure_domain),
                entries: summary.entries,
                streams: decode_streams(summary.streams)?,
                usage: decode_usage(summary.retries),
                demands: texts(summary.demands, decode_demand),
            })
        };
        let contact = |contact: peers::Contact| {
            Ok(Contact {
                entry: Arc::from(contact.entry),
                address: contact.address.parse().map_err(|_| Invalid::Address)?,
                link_mbps: contact.link_mbps,
            })
        };
        Ok(Self {
            summaries: digest
                .summaries
                .into_iter()
                .map(summary)
                .collect::<Result<_, _>>()?,
            lost: decode_lost(digest.lost)?,
            successors: texts(digest.successors, Into::into),
            moves: texts(digest.moves, Into::into),
            prompts: decode_crashes(digest.prompt_losses, digest.prompt_answers),
            calls: decode_crashes(digest.call_losses, digest.call_answers),
            limits: decode_limits(digest.server_limits)?,
            counts: digest.usage_counts.map(TryInto::try_into).transpose()?,
            usage_settled: digest.usage_settled,
            account_demand: decode_account_demand(digest.account_demands)?,
            contacts: digest
                .contacts
                .into_iter()
                .map(contact)
                .collect::<Result<_, _>>()?,
        })
    }
}

fn encode_streams(streams: &[(Tag, Count)]) -> Option<peers::Streams> {
    (!streams.is_empty()).then(|| peers::Streams {
        servers: streams.iter().map(|(server, _)| *server).collect(),
        streams: streams.iter().map(|(_, count)| count.streams).collect(),
        prefilling: streams.iter().map(|(_, count)| count.prefilling).collect(),
        backups: if streams.iter().any(|(_, count)| count.backups > 0) {
            streams.iter().map(|(_, count)| count.backups).collect()
        } else {
            Vec::new()
        },
    })
}

fn decode_streams(streams: Option<peers::Streams>) -> Result<Vec<(Tag, Count)>, Invalid> {
    let streams = streams.unwrap_or_default();
    let length = streams.servers.len();
    if streams.streams.len() != length || streams.prefilling.len() != length {
        return Err(Invalid::Lengths { part: "streams" });
    }
    if !streams.backups.is_empty() && streams.backups.len() != length {
        return Err(Invalid::Lengths { part: "backups" });
    }
    let backups = streams.backups.into_iter().chain(std::iter::repeat(0));
    let counts = streams.streams.into_iter().zip(streams.prefilling);
    let counts = counts
        .zip(backups)
        .map(|((streams, prefilling), backups)| Count {
            streams,
            prefilling,
            backups,
        });
    Ok(streams.servers.into_iter().zip(counts).collect())
}

fn encode_lost(lost: &[(Tag, Duration)]) -> Option<peers::Lost> {
    (!lost.is_empty()).then(|| peers::Lost {
        servers: lost.iter().map(|(server, _)| *server).collect(),
        ages_ms: lost.iter().map(|(_, age)| millis(*age)).collect(),
    })
}

fn decode_lost(lost: Option<peers::Lost>) -> Result<Vec<(Tag, Duration)>, Invalid> {
    let lost = lost.unwrap_or_default();
    if lost.servers.len() != lost.ages_ms.len() {
        return Err(Invalid::Lengths {
            part: "lost servers",
        });
    }
    let ages = lost.ages_ms.into_iter();
    let ages = ages.map(|age| Duration::from_millis(u64::from(age)));
    Ok(lost.servers.into_iter().zip(ages).collect())
}

fn encode_loss((loss, age): (Loss, Duration)) -> peers::PromptLoss {
    peers::PromptLoss {
        server: loss.server,
        parts: loss.parts.to_vec(),
        age_ms: millis(age),
    }
}

fn encode_answer((parts, age): (Arc<[Part]>, Duration)) -> peers::PromptAnswer {
    peers::PromptAnswer {
        parts: parts.to_vec(),
        age_ms: millis(age),
    }
}

fn decode_crashes(losses: Vec<peers::PromptLoss>, answers: Vec<peers::PromptAnswer>) -> Crashes {
    let age = |milliseconds| Duration::from_millis(u64::from(milliseconds));
    let loss = |loss: peers::PromptLoss| {
        let parts = Arc::from(loss.parts);
        let server = loss.server;
        (Loss { server, parts }, age(loss.age_ms))
    };
    Crashes {
        losses: texts(losses, loss),
        answers: texts(answers, |answer| {
            (Arc::from(answer.parts), age(answer.age_ms))
        }),
    }
}

fn encode_limits(limits: &[(ServerLimit, Duration)]) -> Option<peers::ServerLimits> {
    let encode = |named: Named| {
        named
            .0
            .map_or(0, |thousandths| thousandths.saturating_add(1))
    };
    (!limits.is_empty()).then(|| peers::ServerLimits {
        servers: limits.iter().map(|(limit, _)| limit.server).collect(),
        limits: limits
            .iter()
            .map(|(limit, _)| encode(limit.named))
            .collect(),
        ages_ms: limits.iter().map(|(_, age)| millis(*age)).collect(),
    })
}

fn decode_limits(
    limits: Option<peers::ServerLimits>,
) -> Result<Vec<(ServerLimit, Duration)>, Invalid> {
    let limits = limits.unwrap_or_default();
    let length = limits.servers.len();
    if limits.limits.len() != length || limits.ages_ms.len() != length {
        return Err(Invalid::Lengths {
            part: "server limits",
        });
    }
    let named = limits
        .limits
        .into_iter()
        .map(|limit| Named(limit.checked_sub(1)));
    let ages = limits.ages_ms.into_iter();
    let ages = ages.map(|age| Duration::from_millis(u64::from(age)));
    let servers = limits.servers.into_iter().zip(named);
    let limits = servers.map(|(server, named)| ServerLimit { server, named });
    Ok(limits.zip(ages).collect())
}

fn encode_usage(usage: Vec<(Arc<str>, Usage)>) -> Vec<peers::RetryUsage> {
    texts(usage, |(service, usage)| peers::RetryUsage {
        service: service.to_string(),
        requests: usage.requests,
        retries: usage.retries,
    })
}

fn decode_usage(usage: Vec<peers::RetryUsage>) -> Vec<(Arc<str>, Usage)> {
    texts(usage, |usage| {
        let value = Usage {
            requests: usage.requests,
            retries: usage.retries,
        };
        (Arc::from(usage.service), value)
    })
}

impl From<Successor> for peers::Successor {
    fn from(successor: Successor) -> Self {
        Self {
            predecessor: successor.predecessor.to_string(),
            id: successor.id.to_string(),
            started_ms: successor.started_ms,
        }
    }
}

impl From<peers::Successor> for Successor {
    fn from(successor: peers::Successor) -> Self {
        Self {
            predecessor: Arc::from(successor.predecessor),
            id: Arc::from(successor.id),
            started_ms: successor.started_ms,
        }
    }
}

impl From<MoveReport> for peers::MoveReport {
    fn from(report: MoveReport) -> Self {
        let verdict = report.report.verdict.map(|verdict| match verdict {
            canary::Verdict::Good => peers::Verdict {
                good: true,
                reason: String::new(),
            },
            canary::Verdict::Bad { reason } => peers::Verdict {
                good: false,
                reason: reason.to_string(),
            },
        });
        let observation = |observation: Observation| peers::Observation {
            canary: observation.cohort == Cohort::Canary,
            route: observation.route.to_string(),
            failed: observation.failed,
            first_us: observation.first.map(micros),
            gap_us: observation.gap.map(micros),
            call_us: observation.call.map(micros),
        };
        Self {
            service: report.service.to_string(),
            entry: report.entry.to_string(),
            revision: report.report.revision.number,
            era: report.report.revision.era,
            age_ms: report.report.age_ms,
            verdict,
            first: report.report.first,
            observations: texts(report.report.observations, observation),
        }
    }
}

impl From<peers::MoveReport> for MoveReport {
    fn from(report: peers::MoveReport) -> Self {
        let verdict = report.verdict.map(|verdict| {
            if verdict.good {
                canary::Verdict::Good
            } else {
                let reason = Arc::from(verdict.reason);
                canary::Verdict::Bad { reason }
            }
        });
        let observation = |observation: peers::Observation| Observation {
            cohort: if observation.canary {
                Cohort::Canary
            } else {
                Cohort::Baseline
            },
            route: Arc::from(observation.route),
            failed: observation.failed,
            first: observation.first_us.map(Duration::from_micros),
            gap: observation.gap_us.map(Duration::from_micros),
            call: observation.call_us.map(Duration::from_micros),
        };
        Self {
            service: Arc::from(report.service),
            entry: Arc::from(report.entry),
            report: canary::Report {
                revision: Revision {
                    era: report.era,
                    number: report.revision,
                },
                age_ms: report.age_ms,
                verdict,
                first: report.first,
                observations: texts(report.observations, observation),
            },
        }
    }
}
