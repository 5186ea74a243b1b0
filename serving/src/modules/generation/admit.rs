//! Admission of a generation's next attempt.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::placement::prefix_hash;
use tokio::time;

use super::Task;
use super::attempt::Outcome;
use crate::backend::prompt_tokens;
use crate::modules::admission::{Permit, Refusal, Requirements};
use crate::modules::moves;

/// How long a generation waits for a server on which it has not recently lost an attempt before it
/// accepts another; also the pause before it retries when the queue is full.
const PREFERRED_WAIT: Duration = Duration::from_millis(250);

impl Task {
    /// Waits for a server for the next attempt, preferably one without a recent loss.
    pub(super) async fn acquire_permit(&mut self) -> Result<Permit, Outcome> {
        loop {
            let now = self.context.clock.now();
            let avoided = self.exclusion.avoided(now);
            let result = if avoided.is_empty() {
                self.request_permit(avoided, None).await?
            } else {
                match self.request_permit(avoided, Some(PREFERRED_WAIT)).await? {
                    Err(Refusal::Deadline) => {
                        let excluded = self.exclusion.excluded(self.context.clock.now());
                        self.request_permit(excluded, Some(PREFERRED_WAIT)).await?
                    }
                    result => result,
                }
            };
            match result {
                Ok(permit) => return Ok(permit),
                Err(Refusal::Deadline) => self.use_version_in_force(),
                Err(Refusal::Full) if self.delivered() > 0 => time::sleep(PREFERRED_WAIT).await,
                Err(refusal) => return Err(Outcome::NotAdmitted(refusal)),
            }
        }
    }

    /// Requests a permit for a server outside `excluded` and waits at most `wait` for it, or at
    /// most the answer timeout if `wait` is `None`.
    ///
    /// The wait ends early if the caller disconnects, or if the version is withdrawn before any
    /// token was delivered.
    async fn request_permit(
        &self,
        excluded: Vec<Arc<str>>,
        wait: Option<Duration>,
    ) -> Result<Result<Permit, Refusal>, Outcome> {
        let wait = wait.unwrap_or(self.context.settings.callers.answer_timeout);
        let begun = self.delivered() > 0;
        let requirements = self.requirements(excluded, wait);
        tokio::select! {
            result = self.context.admission.acquire(requirements) => Ok(result),
            () = self.outbox.reader_dropped() => Err(Outcome::CallerDisconnected),
            () = self.version_withdrawn(), if !begun => Ok(Err(Refusal::Deadline)),
        }
    }

    /// Returns the requirements of an attempt on a server outside `excluded` that waits for `wait`.
    pub(super) fn requirements(&self, excluded: Vec<Arc<str>>, wait: Duration) -> Requirements {
        let request = &self.request;
        let begun = self.delivered() > 0;
        Requirements {
            service: Arc::clone(&request.service),
            version: Arc::clone(&request.version),
            account: Arc::clone(&request.account),
            weight: 1,
            // An answer that the caller has started to read is continued before new ones are
            // started.
            priority: if begun { i32::MAX } else { request.priority },
            tokens: prompt_tokens(&request.prompt) + request.max_tokens,
            prefix: prefix_hash(&request.prompt),
            deadline: self.context.clock.now() + wait,
            excluded,
        }
    }

    /// Waits until requests of the service no longer go to this generation's version.
    async fn version_withdrawn(&self) {
        let request = &self.request;
        moves::withdrawn(&self.context, &request.service, &request.version).await;
    }

    /// Switches to the service's version in force, unless tokens were delivered already.
    pub(super) fn use_version_in_force(&mut self) {
        if self.delivered() > 0 {
            return;
        }
        let declarations = Arc::clone(&self.context.declarations.borrow());
        if let Some(service) = declarations.service(&self.request.service) {
            self.request.version = moves::in_force(&self.context, service);
        }
    }
}
