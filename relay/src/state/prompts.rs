//! Prompts that crash servers: what this entry and the others see of them, and which are refused.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::dissemination::Prompts;
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::placement::name_hash;
use medlarfall_coordination::quarantine::{self, Combination, FIRST_TIME, Loss, Part, Turn};

use crate::codec::Codec;

use super::view::View;
use super::{Backend, Relay};

/// How the records of blocked combinations in the store differ from what is blocked.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Combinations without a record that this entry found, or whose record the store lost.
    pub new: Vec<Arc<[Part]>>,
    /// Records of combinations that an answer has cleared: key and revision.
    pub ended: Vec<(Arc<str>, u64)>,
}

impl<C: Codec> Relay<C> {
    /// Records that a server was lost before it began to answer a prompt.
    pub fn record_unanswered_prompt(&self, backend: &Backend, parts: &Arc<[Part]>) {
        if parts.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.metrics.prompts_lost.inc();
        let loss = Loss {
            server: backend.tag(),
            parts: Arc::clone(parts),
        };
        self.change_prompts(|view| {
            view.node.add_prompt_loss(loss.clone(), now);
            let requests = view.generation_requests(self.settings.retries.window, now);
            let answered = view.prompts.record_loss(&loss, requests, now, now);
            view.announce_answered(answered, now);
        });
        self.streams_changed.notify_one();
    }

    /// Records that the answer to a prompt began.
    pub fn record_answered_prompt(&self, parts: &[Part]) {
        let now = self.clock.now();
        self.change_prompts(|view| {
            let cleared = view.prompts.record_answer(parts, now, now);
            view.announce_answered(cleared, now);
        });
    }

    /// Applies what another entry saw.
    pub(super) fn receive_prompts(&self, prompts: &Prompts) {
        if prompts.losses.is_empty() && prompts.answers.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.change_prompts(|view| {
            let requests = view.generation_requests(self.settings.retries.window, now);
            for (loss, age) in &prompts.losses {
                let at = now.saturating_sub(*age);
                let answered = view.prompts.record_loss(loss, requests, at, now);
                view.announce_answered(answered, now);
            }
            for (parts, age) in &prompts.answers {
                let at = now.saturating_sub(*age);
                view.prompts.record_answer(parts, at, now);
            }
        });
    }

    /// Returns for how long a request with these parts of its prompt must not be sent.
    #[must_use]
    pub fn prompt_refused_for(&self, parts: &[Part]) -> Option<Duration> {
        let now = self.clock.now();
        self.view(|view| {
            let turn = Turn {
                entries: view.node.entries(),
                offset: name_hash(&self.settings.entry),
            };
            view.prompts.refused_for(parts, turn, now)
        })
    }

    /// Waits until requests with these parts of their prompts are blocked.
    pub async fn prompt_to_be_blocked(&self, parts: &[Part]) {
        let mut changed = self.changed.subscribe();
        let blocked = changed.wait_for(|_| self.prompt_blocked(parts));
        let closed = blocked.await.is_err();
        if closed {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether requests with these parts of their prompts are blocked.
    #[must_use]
    pub fn prompt_blocked(&self, parts: &[Part]) -> bool {
        let now = self.clock.now();
        self.view(|view| view.prompts.blocked_for(parts, now).is_some())
    }

    /// Changes what is known of prompts; logs and announces combinations that are blocked or no longer
    /// are.
    fn change_prompts(&self, act: impl FnOnce(&mut View)) {
        let now = self.clock.now();
        let (before, after) = self.view(|view| {
            let before: Vec<Combination> = view.prompts.blocked(now).cloned().collect();
            act(view);
            let after: Vec<Combination> = view.prompts.blocked(now).cloned().collect();
            (before, after)
        });
        if before == after {
            return;
        }
        for combination in after.iter().filter(|after| !before.contains(after)) {
            self.metrics.prompts_blocked.inc();
            log::warn!(
                parts = parts_text(&combination.parts).as_str(),
                for_s = combination.ends_at.saturating_sub(now).as_secs();
                "prompts with these parts crash servers and are blocked"
            );
        }
        for combination in before.iter().filter(|before| !after.contains(before)) {
            log::info!(
                parts = parts_text(&combination.parts).as_str();
                "prompts with these parts are no longer blocked"
            );
        }
        self.notify_changed();
        self.prompts_changed.notify_one();
    }

    /// Applies the record of a blocked combination in the store, or its removal (`None`).
    pub fn apply_prompt_record(
        &self,
        key: &Arc<str>,
        parts: Option<Arc<[Part]>>,
        revision: Revision,
    ) {
        let now = self.clock.now();
        self.change_prompts(|view| {
            let Some(parts) = parts else {
                match view.recorded_prompts.remove(key) {
                    Some((parts, known)) if known.is_of_earlier_era(revision) => {
                        view.lost_prompt_records.insert(parts);
                    }
                    Some((_, known)) => {
                        let removed = &mut view.removed_prompt_records;
                        removed.retain(|_, (_, at)| now.saturating_sub(*at) < FIRST_TIME);
                        removed.insert(Arc::clone(key), (known, now));
                    }
                    None => {}
                }
                return;
            };
            view.lost_prompt_records.remove(&parts);
            if !view.knew_prompt_record(key, revision) {
                view.prompts.adopt(&parts, now);
            }
            view.recorded_prompts
                .insert(Arc::clone(key), (parts, revision));
        });
        self.prompts_changed.notify_one();
    }

    /// Returns how the records in the store differ from what this entry knows. Combinations that it adopted
    /// are due only if the store lost their records: they would be recorded again and again by entries that
    /// start later than others.
    #[must_use]
    pub fn prompt_records_due(&self) -> Due {
        let now = self.clock.now();
        self.view(|view| {
            let prompts = &view.prompts;
            view.lost_prompt_records
                .retain(|parts| prompts.knows(parts));
            let records = &view.recorded_prompts;
            let recorded = |parts: &Arc<[Part]>| records.values().any(|(known, _)| known == parts);
            let lost = &view.lost_prompt_records;
            let due = view.prompts.blocked(now);
            let due = due.filter(|blocked| blocked.found || lost.contains(&blocked.parts));
            let due = due.map(|blocked| Arc::clone(&blocked.parts));
            let ended = records.iter();
            let ended = ended.filter(|(_, (parts, _))| !view.prompts.knows(parts));
            Due {
                new: due.filter(|parts| !recorded(parts)).collect(),
                ended: ended
                    .map(|(key, (_, revision))| (Arc::clone(key), revision.number))
                    .collect(),
            }
        })
    }
}

impl View {
    /// Returns the requests for generations in the fleet over [`quarantine::RATE_WINDOW`]. `window` is the
    /// time over which entries count requests.
    fn generation_requests(&mut self, window: Duration, now: Duration) -> u32 {
        let Some(table) = &self.table else {
            return 0;
        };
        let generates = |service: &&Arc<str>| {
            let service = table.service(service);
            service.is_some_and(|service| service.memory_tokens > 0)
        };
        let services: Vec<Arc<str>> = table.services().filter(generates).cloned().collect();
        let requests = services.iter().map(|service| self.requests(service, now).1);
        let requests: u32 = requests.fold(0, u32::saturating_add);
        let windows = quarantine::RATE_WINDOW.as_secs_f64() / window.as_secs_f64();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "out of range values become the nearest one"
        )]
        let requests = (f64::from(requests) * windows) as u32;
        requests
    }

    /// Returns whether a record of a restored store is one that was known before the restore: it says nothing
    /// new, and an answer may have cleared the combination since.
    fn knew_prompt_record(&self, key: &str, revision: Revision) -> bool {
        let recorded = self.recorded_prompts.get(key).map(|(_, known)| *known);
        let removed = self
            .removed_prompt_records
            .get(key)
            .map(|(known, _)| *known);
        let known = recorded.or(removed).unwrap_or_default();
        known.number == revision.number && known.is_of_earlier_era(revision)
    }

    /// Announces parts of answered prompts that were suspect.
    fn announce_answered(&mut self, parts: Vec<Part>, now: Duration) {
        if !parts.is_empty() {
            self.node.add_prompt_answer(parts.into(), now);
        }
    }
}

/// Returns parts of a prompt as text, for logs.
#[must_use]
pub fn parts_text(parts: &[Part]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:08x}")).collect();
    parts.join(",")
}
