//! Limits how many bytes of memory may be in use at the same time.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// A limit on the bytes that may be reserved at the same time.
#[derive(Clone, Debug)]
pub struct Budget {
    available: Arc<Semaphore>,
    limit: usize,
}

/// Bytes reserved from a budget. They return to it when the last clone is dropped.
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
            available: Arc::new(Semaphore::new(limit)),
            limit,
        }
    }

    /// Reserves `bytes`, or returns `None` if fewer are available.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let bytes = u32::try_from(bytes).ok()?;
        let permit = Arc::clone(&self.available)
            .try_acquire_many_owned(bytes)
            .ok()?;
        Some(Reservation {
            permit: Arc::new(permit),
        })
    }

    /// Adds `bytes` to a reservation that has no clones. Returns false, and reserves nothing, if
    /// it has clones or fewer bytes are available.
    #[must_use]
    pub fn extend(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let Ok(bytes) = u32::try_from(bytes) else {
            return false;
        };
        let more = Arc::clone(&self.available).try_acquire_many_owned(bytes);
        match (Arc::get_mut(&mut reservation.permit), more) {
            (Some(permit), Ok(more)) => {
                permit.merge(more);
                true
            }
            _ => false,
        }
    }

    /// Returns how many bytes are not reserved.
    #[must_use]
    pub fn available(&self) -> usize {
        self.available.available_permits()
    }

    /// Returns how many bytes are reserved.
    #[must_use]
    pub fn reserved(&self) -> usize {
        self.limit - self.available.available_permits()
    }
}
