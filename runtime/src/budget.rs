//! A budget of bytes that may be held at once.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A budget of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    free: Arc<Semaphore>,
    limit: usize,
}

/// Bytes taken from a budget, given back when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct Reservation {
    permit: Arc<OwnedSemaphorePermit>,
}

impl Budget {
    /// Returns a budget of `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let limit = limit.min(Semaphore::MAX_PERMITS);
        Self {
            free: Arc::new(Semaphore::new(limit)),
            limit,
        }
    }

    /// Takes bytes, or nothing if fewer are free.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = Arc::clone(&self.free).try_acquire_many_owned(bytes).ok()?;
        Some(Reservation {
            permit: Arc::new(permit),
        })
    }

    /// Takes more bytes into a hold that has no clone; returns whether they were free.
    #[must_use]
    pub fn extend(&self, hold: &mut Reservation, bytes: usize) -> bool {
        let Ok(bytes) = u32::try_from(bytes) else {
            return false;
        };
        let more = Arc::clone(&self.free).try_acquire_many_owned(bytes);
        match (Arc::get_mut(&mut hold.permit), more) {
            (Some(permit), Ok(more)) => {
                permit.merge(more);
                true
            }
            _ => false,
        }
    }

    /// Returns how many bytes are free.
    #[must_use]
    pub fn available(&self) -> usize {
        self.free.available_permits()
    }

    /// Returns how many bytes are taken.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.limit - self.free.available_permits()
    }
}
