//! Applies changes of the store that other entries pass on.

use medlarfall_coordination::history::Revision;
use medlarfall_runtime::store::{Changes, Item, Listing};

use crate::codec::Codec;
use crate::state::Relay;
use crate::store_watch::{apply, apply_listing};

/// Applies changes that a peer sent with a message: those after the revision `after`, or all keys with
/// their values if that is 0.
pub fn apply_updates<C: Codec>(relay: &Relay<C>, after: u64, updates: Changes) {
    let own = relay.changelog(|changelog| changelog.revision());
    let restored = relay.changelog(|changelog| changelog.precedes(updates.era));
    match after {
        _ if own.number == 0 => return,
        0 => return apply_all(relay, updates),
        _ if restored => return,
        _ if after <= own.number => return apply_changes(relay, updates),
        _ => {}
    }
    // Changes before these are missing, but the newest value of each key can be used.
    for change in &updates.changes {
        apply(relay, updates.era, change);
    }
}

/// Applies the changes that a peer knows after the revision `after`; if the peer knows a later era, these
/// are all keys with their values.
pub fn apply_fetched<C: Codec>(relay: &Relay<C>, after: Revision, fetched: Changes) {
    let fetched_at = Revision {
        era: fetched.era,
        number: fetched.revision,
    };
    if after.is_of_earlier_era(fetched_at) {
        apply_all(relay, fetched);
    } else {
        apply_changes(relay, fetched);
    }
}

/// Applies all changes of the known era after the known revision.
fn apply_changes<C: Codec>(relay: &Relay<C>, read: Changes) {
    let Changes {
        changes,
        revision: number,
        era,
    } = read;
    let own = relay.changelog(|changelog| changelog.revision());
    let revision = Revision { era, number }.or_era(own.era);
    if revision <= own || own.is_of_earlier_era(revision) {
        return;
    }
    for change in &changes {
        apply(relay, era, change);
    }
    relay.changelog(|changelog| changelog.mark_complete(revision));
}

/// Applies all keys with their values, unless a later revision is known.
fn apply_all<C: Codec>(relay: &Relay<C>, read: Changes) {
    let Changes {
        changes,
        revision: number,
        era,
    } = read;
    let own = relay.changelog(|changelog| changelog.revision());
    let revision = Revision { era, number }.or_era(own.era);
    if revision <= own {
        return;
    }
    let items = changes.into_iter().filter_map(|change| {
        Some(Item {
            key: change.key,
            value: change.value?,
            revision: change.revision,
        })
    });
    let listing = Listing {
        items: items.collect(),
        revision: number,
        era,
    };
    apply_listing(relay, listing);
}
