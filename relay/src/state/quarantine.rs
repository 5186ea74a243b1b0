//! Requests that crash servers: what this entry and the others see of them, and which are refused.

use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::dissemination::Crashes;
use medlarfall_coordination::history::Revision;
use medlarfall_coordination::placement::name_hash;
use medlarfall_coordination::quarantine::{
    self, Combination, FIRST_TIME, Fingerprint, Kind, Loss, Part, Turn,
};

use crate::codec::Codec;

use super::view::View;
use super::{Backend, Relay};

/// How the records of blocked combinations in the store differ from what is blocked.
#[derive(Clone, Debug, Default)]
pub struct Due {
    /// Combinations without a record that this entry found, or whose record the store lost.
    pub new: Vec<Fingerprint>,
    /// Records of combinations that an answer has cleared: key and revision.
    pub ended: Vec<(Arc<str>, u64)>,
}

impl<C: Codec> Relay<C> {
    /// Records that a server was lost before it began to answer a request.
    pub fn record_unanswered(&self, backend: &Backend, request: &Fingerprint) {
        let Fingerprint { kind, parts } = request;
        let now = self.clock.now();
        self.metrics.count_unanswered(*kind);
        let loss = Loss {
            server: backend.tag(),
            parts: Arc::clone(parts),
        };
        self.change_quarantine(*kind, |view| {
            view.node.add_loss(*kind, loss.clone(), now);
            let requests = view.requests_of_kind(*kind, self.settings.retries.window, now);
            let tracker = view.quarantine.of_mut(*kind);
            let answered = tracker.record_loss(&loss, requests, now, now);
            view.announce_answered(*kind, answered, now);
        });
        self.streams_changed.notify_one();
    }

    /// Records that the answer to a request began.
    pub fn record_answered(&self, request: &Fingerprint) {
        let Fingerprint { kind, parts } = request;
        let now = self.clock.now();
        self.change_quarantine(*kind, |view| {
            let tracker = view.quarantine.of_mut(*kind);
            let cleared = tracker.record_answer(parts, now, now);
            view.announce_answered(*kind, cleared, now);
        });
    }

    /// Applies what another entry saw.
    pub(super) fn receive_crashes(&self, kind: Kind, crashes: &Crashes) {
        if crashes.losses.is_empty() && crashes.answers.is_empty() {
            return;
        }
        let now = self.clock.now();
        self.change_quarantine(kind, |view| {
            let requests = view.requests_of_kind(kind, self.settings.retries.window, now);
            for (loss, age) in &crashes.losses {
                let at = now.saturating_sub(*age);
                let tracker = view.quarantine.of_mut(kind);
                let answered = tracker.record_loss(loss, requests, at, now);
                view.announce_answered(kind, answered, now);
            }
            for (parts, age) in &crashes.answers {
                let at = now.saturating_sub(*age);
                view.quarantine.of_mut(kind).record_answer(parts, at, now);
            }
        });
    }

    /// Returns for how long a request must not be sent.
    #[must_use]
    pub fn refused_for(&self, request: &Fingerprint) -> Option<Duration> {
        let now = self.clock.now();
        self.view(|view| {
            let turn = Turn {
                entries: view.node.entries(),
                offset: name_hash(&self.settings.entry),
            };
            let tracker = view.quarantine.of(request.kind);
            tracker.refused_for(&request.parts, turn, now)
        })
    }

    /// Returns whether a call has probably crashed servers and must not be retried. Callers may send it again,
    /// and its answer ends the suspicion.
    #[must_use]
    pub fn suspects(&self, request: &Fingerprint) -> bool {
        self.view(|view| match (request.kind, &*request.parts) {
            (Kind::Call, [hash]) => view.quarantine.of(Kind::Call).suspects(*hash),
            _ => false,
        })
    }

    /// Waits until a request is blocked.
    pub async fn to_be_blocked(&self, request: &Fingerprint) {
        let mut changed = self.changed.subscribe();
        let blocked = changed.wait_for(|_| self.is_blocked(request));
        let closed = blocked.await.is_err();
        if closed {
            std::future::pending::<()>().await;
        }
    }

    /// Returns whether a request is blocked.
    #[must_use]
    pub fn is_blocked(&self, request: &Fingerprint) -> bool {
        let now = self.clock.now();
        self.view(|view| {
            let tracker = view.quarantine.of(request.kind);
            tracker.blocked_for(&request.parts, now).is_some()
        })
    }

    /// Changes what is known of requests of a kind; logs and announces combinations that are blocked or no
    /// longer are.
    fn change_quarantine(&self, kind: Kind, act: impl FnOnce(&mut View)) {
        let now = self.clock.now();
        let blocked = |view: &View| -> Vec<Combination> {
            let blocked = view.quarantine.of(kind).blocked(now);
            blocked.cloned().collect()
        };
        let (before, after) = self.view(|view| {
            let before = blocked(view);
            act(view);
            (before, blocked(view))
        });
        if before == after {
            return;
        }
        for combination in after.iter().filter(|after| !before.contains(after)) {
            self.metrics.count_blocked(kind);
            log::warn!(
                kind = kind_name(kind), parts = parts_text(&combination.parts).as_str(),
                for_s = combination.ends_at.saturating_sub(now).as_secs();
                "requests with these parts crash servers and are blocked"
            );
        }
        for combination in before.iter().filter(|before| !after.contains(before)) {
            log::info!(
                kind = kind_name(kind), parts = parts_text(&combination.parts).as_str();
                "requests with these parts are no longer blocked"
            );
        }
        self.notify_changed();
        self.quarantine_changed.notify_one();
    }

    /// Applies the record of a blocked combination in the store, or its removal (`None`).
    pub fn apply_quarantine_record(
        &self,
        key: &Arc<str>,
        blocked: Option<Fingerprint>,
        revision: Revision,
    ) {
        let now = self.clock.now();
        let recorded = self.view(|view| view.quarantine_records.get(key).cloned());
        let kind = blocked
            .as_ref()
            .or(recorded.as_ref().map(|(known, _)| known));
        let Some(kind) = kind.map(|known| known.kind) else {
            return;
        };
        self.change_quarantine(kind, |view| {
            let Some(blocked) = blocked else {
                match view.quarantine_records.remove(key) {
                    Some((blocked, known)) if known.is_of_earlier_era(revision) => {
                        view.lost_quarantine_records.insert(blocked);
                    }
                    Some((_, known)) => {
                        let removed = &mut view.removed_quarantine_records;
                        removed.retain(|_, (_, at)| now.saturating_sub(*at) < FIRST_TIME);
                        removed.insert(Arc::clone(key), (known, now));
                    }
                    None => {}
                }
                return;
            };
            view.lost_quarantine_records.remove(&blocked);
            if !view.knew_quarantine_record(key, revision) {
                view.quarantine.of_mut(kind).adopt(&blocked.parts, now);
            }
            view.quarantine_records
                .insert(Arc::clone(key), (blocked, revision));
        });
        self.quarantine_changed.notify_one();
    }

    /// Returns how the records in the store differ from what this entry knows. Combinations that it adopted
    /// are due only if the store lost their records: they would be recorded again and again by entries that
    /// start later than others.
    #[must_use]
    pub fn quarantine_records_due(&self) -> Due {
        let now = self.clock.now();
        self.view(|view| {
            let quarantine = &view.quarantine;
            let knows = |known: &Fingerprint| quarantine.of(known.kind).knows(&known.parts);
            view.lost_quarantine_records.retain(knows);
            let records = &view.quarantine_records;
            let recorded =
                |blocked: &Fingerprint| records.values().any(|(known, _)| known == blocked);
            let lost = &view.lost_quarantine_records;
            let due = [Kind::Prompt, Kind::Call].into_iter().flat_map(|kind| {
                let blocked = quarantine.of(kind).blocked(now);
                blocked.map(move |it| {
                    let parts = Arc::clone(&it.parts);
                    (Fingerprint { kind, parts }, it.found)
                })
            });
            let due = due.filter(|(blocked, found)| *found || lost.contains(blocked));
            let due = due.map(|(blocked, _)| blocked);
            let ended = records.iter().filter(|(_, (known, _))| !knows(known));
            Due {
                new: due.filter(|blocked| !recorded(blocked)).collect(),
                ended: ended
                    .map(|(key, (_, revision))| (Arc::clone(key), revision.number))
                    .collect(),
            }
        })
    }
}

impl View {
    /// Returns the requests of a kind in the fleet over [`quarantine::RATE_WINDOW`]. `window` is the time over
    /// which entries count requests.
    fn requests_of_kind(&mut self, kind: Kind, window: Duration, now: Duration) -> u32 {
        let Some(table) = &self.table else {
            return 0;
        };
        let is_of_kind = |service: &&Arc<str>| {
            let service = table.service(service);
            let generates = service.is_some_and(|service| service.memory_tokens > 0);
            generates == (kind == Kind::Prompt)
        };
        let services: Vec<Arc<str>> = table.services().filter(is_of_kind).cloned().collect();
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
    fn knew_quarantine_record(&self, key: &str, revision: Revision) -> bool {
        let recorded = self.quarantine_records.get(key).map(|(_, known)| *known);
        let removed = self
            .removed_quarantine_records
            .get(key)
            .map(|(known, _)| *known);
        let known = recorded.or(removed).unwrap_or_default();
        known.number == revision.number && known.is_of_earlier_era(revision)
    }

    /// Announces parts of answered requests that were suspect.
    fn announce_answered(&mut self, kind: Kind, parts: Vec<Part>, now: Duration) {
        if !parts.is_empty() {
            self.node.add_answer(kind, parts.into(), now);
        }
    }
}

fn kind_name(kind: Kind) -> &'static str {
    match kind {
        Kind::Prompt => "prompt",
        Kind::Call => "call",
    }
}

/// Returns parts of a prompt as text, for logs.
#[must_use]
pub fn parts_text(parts: &[Part]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{part:08x}")).collect();
    parts.join(",")
}
