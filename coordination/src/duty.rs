//! Duties: work that one entry at a time does for one subject, such as reporting usage.
//!
//! The holder of a subject has a lock in the store that is bound to its lease. Rules for a provider that does
//! not check fencing tokens:
//!
//! - The holder measures the expiry of its lease from before it sent the last renewal, and acts only while
//!   the lease outlasts the timeout of a call. A new holder waits for one such timeout.
//! - A holder acts only after a renewal that was sent after it got the lock. Its lock then lasts for at least
//!   one lease time, and an entry gives up a lock only after that time. So the holder never changes twice
//!   within the lease time.
//! - Nobody acquires a lock within one lease time of its own start or of a change of the store's era: a lock
//!   that is missing then may still be in use.
//!
//! Times come from a clock that advances while the machine is suspended.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::Duration;
//! use medlarfall_coordination::duty::{Action, Duties, Granted, Policy, Subject};
//!
//! let at = Duration::from_millis;
//! let policy = Policy { lease: at(3_000), call_timeout: at(500) };
//! let mut duties = Duties::new(policy, Arc::from("entry-1"), 7, at(0));
//! duties.set_subjects(&[(Subject::Usage, Some(0))], at(0));
//! assert_eq!(duties.next(at(0)), Action::Wait { until: Some(at(3_000)) });
//! assert_eq!(duties.next(at(3_000)), Action::Grant);
//! duties.record_granted(Granted { lease: 4, era: 1 }, at(3_000));
//! assert_eq!(duties.next(at(3_010)), Action::Acquire { subject: Subject::Usage, lease: 4 });
//! duties.record_acquired(&Subject::Usage, 12, 1, at(3_020));
//! assert_eq!(duties.next(at(3_020)), Action::Renew { lease: 4 });
//! duties.record_renewed(1, at(3_020));
//! let permit = duties.permit(&Subject::Usage, at(3_600)).unwrap();
//! assert!(permit.allows(at(3_600), policy.call_timeout));
//! assert_eq!(permit.token, (1 << 40) + 12);
//! ```

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

mod duties;

pub use duties::Duties;

/// Shortest lease: a shorter one would need more than a renewal in a third of a second.
const MIN_TTL: Duration = Duration::from_secs(1);

/// What a duty is done for.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Subject {
    /// Reports of usage, for all windows.
    Usage,
    /// Scaling orders for the servers of a service in a failure domain.
    Scaling {
        /// The service.
        service: Arc<str>,
        /// The failure domain.
        failure_domain: Arc<str>,
    },
}

impl Subject {
    /// Returns the name of the duty, without its subject.
    #[must_use]
    pub const fn duty(&self) -> &'static str {
        match self {
            Self::Usage => "usage_reporting",
            Self::Scaling { .. } => "autoscaling",
        }
    }

    /// Parses the text that [`Display`](fmt::Display) writes.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('/');
        let subject = match (parts.next()?, parts.next(), parts.next()) {
            ("usage", None, None) => Self::Usage,
            ("scaling", Some(service), Some(failure_domain)) => Self::Scaling {
                service: Arc::from(service),
                failure_domain: Arc::from(failure_domain),
            },
            _ => return None,
        };
        parts.next().is_none().then_some(subject)
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => formatter.write_str("usage"),
            Self::Scaling {
                service,
                failure_domain,
            } => write!(formatter, "scaling/{service}/{failure_domain}"),
        }
    }
}

/// Times that all entries agree on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Policy {
    /// Time within which the holder must not change twice.
    pub lease: Duration,
    /// Longest time between sending a call and its effect.
    pub call_timeout: Duration,
}

impl Policy {
    /// Returns the time to live of a lease.
    #[must_use]
    pub fn ttl(&self) -> Duration {
        self.lease.max(MIN_TTL)
    }
}

/// The lock of a subject, as it is in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Lock {
    /// Entry that wrote it.
    pub entry: Arc<str>,
    /// Incarnation of the process that wrote it.
    pub incarnation: u64,
    /// Lease that it is bound to.
    pub lease: u64,
    /// Revision at which it was written.
    pub revision: u64,
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Granted {
    /// The lease.
    pub lease: u64,
    /// Era of the store that was known before the lease was requested.
    pub era: u64,
}

/// Permission to act for a subject.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Permit {
    /// The subject.
    pub subject: Subject,
    /// Fencing token.
    pub token: u64,
    /// Revision of the lock.
    pub revision: u64,
    /// Era of the store in which the lock was written.
    pub era: u64,
    /// Time until which the lease is certain to last.
    pub until: Duration,
    /// Time from which calls may be sent.
    pub usable_at: Duration,
}

impl Permit {
    /// Returns whether a call may be sent at `now` that ends within `call_timeout`.
    #[must_use]
    pub fn allows(&self, now: Duration, call_timeout: Duration) -> bool {
        now >= self.usable_at && now + call_timeout < self.until
    }
}

/// The next action of the driver.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Request a lease.
    Grant,
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Write the lock of a subject, which must not exist, bound to the lease.
    Acquire {
        /// The subject.
        subject: Subject,
        /// The lease.
        lease: u64,
    },
    /// Delete the lock of a subject if it has this revision.
    Release {
        /// The subject.
        subject: Subject,
        /// Revision of the lock.
        revision: u64,
    },
    /// Wait until this time, or until something changes.
    Wait {
        /// Time at which to request the next action again; `None` if only a change can lead to one.
        until: Option<Duration>,
    },
}

/// A change that operators are told of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// This entry became the holder.
    Acquired(Subject, u64),
    /// This entry is no longer the holder, and why.
    Lost(Subject, &'static str),
    /// This entry gave the lock up.
    Released(Subject),
    /// No entry has held the lock for this time.
    Unheld(Subject, Duration),
}
