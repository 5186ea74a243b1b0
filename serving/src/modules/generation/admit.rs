//! Waiting for a server that can go on with a generation.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::placement::prefix_hash;
use tokio::time;

use super::Task;
use super::attempt::Outcome;
use crate::backend::prompt_tokens;
use crate::modules::admission::{Permit, Refusal, Requirements};
use crate::modules::moves;

/// How long a generation waits for a server on which it lost nothing before it takes another.
const CHOOSY_WAIT: Duration = Duration::from_millis(250);

impl Task {
    /// Waits for a server that can make an attempt, if possible one on which nothing was lost lately.
    pub(super) async fn permit(&mut self) -> Result<Permit, Outcome> {
        loop {
            let now = self.context.clock.now();
            let avoided = self.exclusion.avoided(now);
            let refusal = if avoided.is_empty() {
                self.ask(avoided, None).await?
            } else {
                match self.ask(avoided, Some(CHOOSY_WAIT)).await? {
                    Err(Refusal::Deadline) => {
                        let barred = self.exclusion.barred(self.context.clock.now());
                        self.ask(barred, Some(CHOOSY_WAIT)).await?
                    }
                    answer => answer,
                }
            };
            match refusal {
                Ok(permit) => return Ok(permit),
                Err(Refusal::Deadline) => self.take_version_in_force(),
                Err(Refusal::Full) if self.delivered() > 0 => time::sleep(CHOOSY_WAIT).await,
                Err(refusal) => return Err(Outcome::NotAdmitted(refusal)),
            }
        }
    }

    /// Asks for a server outside `excluded` and waits for `wait`, or else until the deadline, unless
    /// the caller goes or another version comes into force before anything was delivered.
    async fn ask(
        &self,
        excluded: Vec<Arc<str>>,
        wait: Option<Duration>,
    ) -> Result<Result<Permit, Refusal>, Outcome> {
        let wait = wait.unwrap_or(self.context.settings.callers.answer_timeout);
        let begun = self.delivered() > 0;
        let need = self.need(excluded, wait);
        tokio::select! {
            answer = self.context.admission.acquire(need) => Ok(answer),
            () = self.outbox.gone() => Err(Outcome::CallerGone),
            () = self.other_version(), if !begun => Ok(Err(Refusal::Deadline)),
        }
    }

    /// Returns what an attempt needs of a server outside `excluded` within `wait`.
    pub(super) fn need(&self, excluded: Vec<Arc<str>>, wait: Duration) -> Requirements {
        let order = &self.order;
        let begun = self.delivered() > 0;
        Requirements {
            service: Arc::clone(&order.service),
            version: Arc::clone(&order.version),
            account: Arc::clone(&order.account),
            weight: 1,
            // What a caller has begun to read comes before what has not begun.
            priority: if begun { i32::MAX } else { order.priority },
            tokens: prompt_tokens(&order.prompt) + order.max_tokens,
            prefix: prefix_hash(&order.prompt),
            deadline: self.context.clock.now() + wait,
            excluded,
        }
    }

    /// Waits until requests of the service no longer go to the version asked for.
    async fn other_version(&self) {
        let order = &self.order;
        moves::withdrawn(&self.context, &order.service, &order.version).await;
    }

    /// Takes the version that is proved and in force, if nothing was delivered yet.
    pub(super) fn take_version_in_force(&mut self) {
        if self.delivered() > 0 {
            return;
        }
        let declarations = Arc::clone(&self.context.declarations.borrow());
        if let Some(service) = declarations.service(&self.order.service) {
            self.order.version = moves::in_force(&self.context, service);
        }
    }
}
