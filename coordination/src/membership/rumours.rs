//! News that ride on other messages, each a bounded number of times.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Update;

/// News on one message at most.
const CARRIED: usize = 6;

/// How often a piece of news is sent for each doubling of the members.
const REPEATS: u32 = 3;

/// Pieces of news by member, with how often each was sent.
#[derive(Debug, Default)]
pub(super) struct Rumours {
    news: BTreeMap<Arc<str>, (Update, u32)>,
}

impl Rumours {
    /// Adds a piece of news in place of older news of the same member.
    pub(super) fn add(&mut self, update: Update) {
        self.news
            .insert(Arc::clone(&update.member.name), (update, 0));
    }

    /// Returns the news for one message, those sent least first.
    pub(super) fn next(&mut self, members: usize) -> Vec<Update> {
        let limit = REPEATS * (members + 1).ilog2().max(1);
        let mut names: Vec<(u32, Arc<str>)> = self
            .news
            .iter()
            .map(|(name, (_, sent))| (*sent, Arc::clone(name)))
            .collect();
        names.sort_unstable();
        let mut carried = Vec::new();
        for (_, name) in names.into_iter().take(CARRIED) {
            let Some((update, sent)) = self.news.get_mut(&name) else {
                continue;
            };
            *sent += 1;
            carried.push(update.clone());
        }
        self.news.retain(|_, (_, sent)| *sent < limit);
        carried
    }
}
