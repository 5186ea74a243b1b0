//! Demand and counts of requests in their protobuf form.

use std::sync::Arc;

use medlarfall_schema::peers;

use crate::autoscaling::Demand;
use crate::{room, usage};

use super::super::demands::{self, AccountDemand};
use super::{Invalid, texts};

pub(super) fn encode_demand((service, demand): (Arc<str>, Demand)) -> peers::Demand {
    peers::Demand {
        service: service.to_string(),
        entries: demand.entries,
        requests: demand.requests,
        prompt_tokens: demand.prompt_tokens,
        running: demand.running,
        waiting: demand.waiting,
        measured: demand.measured,
        prefill_ns: demand.prefill_ns,
    }
}

pub(super) fn decode_demand(demand: peers::Demand) -> (Arc<str>, Demand) {
    let value = Demand {
        entries: demand.entries,
        requests: demand.requests,
        prompt_tokens: demand.prompt_tokens,
        running: demand.running,
        waiting: demand.waiting,
        measured: demand.measured,
        prefill_ns: demand.prefill_ns,
    };
    (Arc::from(demand.service), value)
}

impl From<usage::Report> for peers::UsageCounts {
    fn from(report: usage::Report) -> Self {
        let window = |window: usage::Window| {
            let rows = window.counts.into_iter();
            let (accounts, counts) = rows
                .map(|(account, count)| (account.to_string(), count))
                .unzip();
            peers::UsageWindow {
                index: window.index,
                total: window.total,
                at_risk: window.at_risk,
                open: window.open,
                accounts,
                counts,
            }
        };
        Self {
            incarnation: report.incarnation,
            since_ms: report.since_ms,
            until_ms: report.until_ms,
            windows: texts(report.windows, window),
        }
    }
}

impl TryFrom<peers::UsageCounts> for usage::Report {
    type Error = Invalid;

    fn try_from(report: peers::UsageCounts) -> Result<Self, Invalid> {
        let window = |window: peers::UsageWindow| {
            if window.accounts.len() != window.counts.len() {
                return Err(Invalid::Lengths { part: "accounts" });
            }
            let accounts = window.accounts.into_iter().map(Arc::from);
            Ok(usage::Window {
                index: window.index,
                total: window.total,
                at_risk: window.at_risk,
                open: window.open,
                counts: accounts.zip(window.counts).collect(),
            })
        };
        Ok(Self {
            incarnation: report.incarnation,
            since_ms: report.since_ms,
            until_ms: report.until_ms,
            windows: report
                .windows
                .into_iter()
                .map(window)
                .collect::<Result<_, _>>()?,
        })
    }
}

pub(super) fn encode_account_demand(
    (service, demands): (Arc<str>, Vec<room::Demand>),
) -> peers::ServiceDemand {
    let keys = demands.iter().map(|demand| demand.key);
    peers::ServiceDemand {
        service: service.to_string(),
        accounts: keys.clone().map(|key| key.account).collect(),
        priorities: keys.map(|key| u32::from(key.priority)).collect(),
        rates: demands.iter().map(|demand| demand.rate).collect(),
    }
}

pub(super) fn decode_account_demand(
    services: Vec<peers::ServiceDemand>,
) -> Result<AccountDemand, Invalid> {
    let decode = |service: peers::ServiceDemand| {
        let length = service.accounts.len();
        if service.priorities.len() != length || service.rates.len() != length {
            return Err(Invalid::Lengths { part: "demands" });
        }
        let keys = service.accounts.into_iter().zip(service.priorities);
        let demands = keys.zip(service.rates).take(demands::KEYS);
        let demands = demands.map(|((account, priority), rate)| room::Demand {
            key: room::Key {
                priority: u8::try_from(priority).unwrap_or(u8::MAX),
                account,
            },
            rate,
        });
        Ok((Arc::from(service.service), demands.collect()))
    };
    let services = services.into_iter().take(demands::SERVICES);
    services.map(decode).collect()
}
