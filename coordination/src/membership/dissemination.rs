//! Updates that are piggybacked on other messages, each a bounded number of times.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Update;

/// Highest number of updates on one message.
const UPDATES_PER_MESSAGE: usize = 6;

/// Number of times an update is sent for each doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// Updates to send, by member, with the number of times that each was sent.
#[derive(Debug, Default)]
pub(super) struct Dissemination {
    updates: BTreeMap<Arc<str>, (Update, u32)>,
}

impl Dissemination {
    /// Adds an update, which replaces an older one on the same member.
    pub(super) fn add(&mut self, update: Update) {
        self.updates
            .insert(Arc::clone(&update.member.name), (update, 0));
    }

    /// Returns the updates for one message, the least often sent first.
    pub(super) fn next_batch(&mut self, members: usize) -> Vec<Update> {
        let limit = SENDS_PER_DOUBLING * (members + 1).ilog2().max(1);
        let mut names: Vec<(u32, Arc<str>)> = self
            .updates
            .iter()
            .map(|(name, (_, sent))| (*sent, Arc::clone(name)))
            .collect();
        names.sort_unstable();
        let mut batch = Vec::new();
        for (_, name) in names.into_iter().take(UPDATES_PER_MESSAGE) {
            let Some((update, sent)) = self.updates.get_mut(&name) else {
                continue;
            };
            *sent += 1;
            batch.push(update.clone());
        }
        self.updates.retain(|_, (_, sent)| *sent < limit);
        batch
    }
}
