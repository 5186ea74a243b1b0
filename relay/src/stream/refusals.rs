//! Refusals of streams that no server can take, and what servers do with prompts.

use crate::admission;
use crate::answer::{Reason, Refusal};
use crate::codec::Codec;
use crate::state::{Backend, Criteria};

use super::{NO_SERVER_PAUSE, REFUSAL_LIMIT, Stream};

impl<C: Codec> Stream<C> {
    /// Returns the refusal of a stream that no server accepted, or takes within its limit.
    pub(super) fn refusal(&self) -> Refusal {
        let criteria = Criteria {
            excluded: &[],
            ..self.criteria(&[])
        };
        let limit_wait = self.relay.limit_wait(criteria);
        if let Some(wait) = limit_wait.filter(|_| self.ran == 0) {
            let pause = self.relay.limit_pause(&self.job.service, wait);
            return Refusal::with_retry(Reason::Limited, pause);
        }
        match (self.ran, admission::next_return(&self.relay, &self.job)) {
            (0, Some(pause)) => Refusal::with_retry(Reason::Full, pause),
            (0, None) => Refusal::with_retry(Reason::NoServer, NO_SERVER_PAUSE),
            _ => Refusal::new(Reason::Lost),
        }
    }

    /// Returns the attempts in a row that may reach no server, or be refused by one, until the search ends. A
    /// stream whose caller has events is not given up for a full service.
    pub(super) fn refusal_limit(&self) -> u32 {
        match self.last_event {
            Some(_) => REFUSAL_LIMIT,
            None => admission::attempts(&self.relay, &self.job).unwrap_or(REFUSAL_LIMIT),
        }
    }

    /// Returns the refusal of a stream that crashes servers.
    pub(super) fn quarantine_refusal(&self) -> Option<Refusal> {
        let fingerprint = &self.job.fingerprint;
        let pause = self.relay.refused_for(fingerprint)?;
        Some(match self.ran {
            0 => Refusal::with_retry(Reason::blocked(fingerprint.kind), pause),
            _ => Refusal::new(Reason::Lost),
        })
    }

    /// Records that a run was lost with its server, unless a server has begun to answer.
    pub(super) fn record_unanswered(&self, backend: &Backend) {
        if !self.answered && self.last_event.is_none() {
            self.relay.record_unanswered(backend, &self.job.fingerprint);
        }
    }

    /// Records that a server has begun to answer.
    pub(super) fn record_answered(&mut self) {
        if !std::mem::replace(&mut self.answered, true) {
            self.relay.record_answered(&self.job.fingerprint);
        }
    }
}
