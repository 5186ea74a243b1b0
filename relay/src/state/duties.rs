//! Duties that this entry holds.

use std::sync::{Arc, PoisonError};

use medlarfall_coordination::duty::{Duties, Subject};

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
        let permit = self
            .duties(|duties| duties.permit(subject, now))
            .flatten()?;
        Some(Permit {
            subject: permit.subject.clone(),
            token: permit.token,
            holder: Arc::clone(&self.settings.entry),
            clock: self.boot_clock,
            permit,
        })
    }

    /// Wakes the tasks that do duties.
    pub fn notify_duties(&self) {
        self.duties_changed
            .send_modify(|changes| *changes = changes.wrapping_add(1));
    }
}
