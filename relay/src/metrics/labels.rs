//! Labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of an ended request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EndLabels {
    /// Route, or `none`.
    pub route: String,
    /// HTTP status of the response.
    pub status: u16,
    /// `answered`, or the reason of the refusal or failure.
    pub reason: &'static str,
}

/// Label of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabels {
    /// Route.
    pub route: String,
}

/// Label of a resume.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CauseLabels {
    /// Why the stream left its server.
    pub cause: &'static str,
}

/// Label that divides a metric by kind; each metric has its own kinds.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabels {
    /// The kind.
    pub kind: &'static str,
}

/// Labels of an attempt to fetch changes.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct SourceLabels {
    /// Whom they were fetched from.
    pub source: &'static str,
    /// What came of it.
    pub outcome: &'static str,
}

/// Label of a service. A configuration has few of them.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ServiceLabels {
    /// The service.
    pub service: String,
}

/// Kinds of calls to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads all keys as they are now.
    List,
    /// Reads keys as they were recently.
    CachedList,
    /// Waits for changes.
    Watch,
    /// Requests a lease.
    Lease,
    /// Renews a lease.
    Renewal,
    /// Registers this entry.
    Registration,
    /// Records the end of a move.
    MoveEnd,
    /// Records a blocked combination of prompt parts, or removes its record.
    BlockedPrompt,
    /// Writes or deletes the lock of a duty.
    Lock,
    /// Records the counts of a usage window.
    UsageRecord,
}

impl StoreCall {
    /// Returns the name of the kind in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::CachedList => "cached_list",
            Self::Watch => "watch",
            Self::Lease => "lease",
            Self::Renewal => "renewal",
            Self::Registration => "registration",
            Self::MoveEnd => "move_end",
            Self::BlockedPrompt => "blocked_prompt",
            Self::Lock => "lock",
            Self::UsageRecord => "usage_record",
        }
    }
}
