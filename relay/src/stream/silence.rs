//! When the silence of a run ends it, before the head of the response and after.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::codec::Codec;
use crate::state::{Backend, Criteria};

use super::{Run, Stream};

/// Longest interruption that an entry bridges while no other server takes a stream. Sound servers that are
/// silent, full or restarting go on within a second or so; if only this entry can't reach them, the caller
/// can resume through another one.
pub(super) const INTERRUPTION_LIMIT: Duration = Duration::from_secs(3);

/// Shortest time that a live server has for the first event of an attempt; after its time the
/// connection counts as dead. Prefill of a short prompt takes one or two seconds, and prefill of queued
/// prompts as long again.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Additional time for each token of the prompt. A sound server that is five times slower than usual
/// reads a token in this time.
const TIME_PER_PROMPT_TOKEN: Duration = Duration::from_micros(625);

/// Pause before a silent run, which no other server could take over, is considered again.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// Why a silent run is considered for its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Silence {
    /// The server is lost.
    Server,
    /// The server is live, but the run has made no event in time.
    Run,
}

impl Silence {
    /// Returns the name in logs and metrics.
    pub(super) fn cause(self) -> &'static str {
        match self {
            Self::Server => "server_lost",
            Self::Run => "silent",
        }
    }
}

impl<C: Codec> Run<C> {
    /// Waits until the server is lost, or the run is silent at the instant `limit`, but until `check_at`
    /// at least.
    async fn silence(&mut self, check_at: Instant, limit: Instant) -> Silence {
        tokio::time::sleep_until(check_at).await;
        let silence = tokio::select! {
            () = self.subscription.lost() => Silence::Server,
            () = tokio::time::sleep_until(limit) => Silence::Run,
        };
        // After a suspension of the process, timers fire before the bytes that arrived meanwhile are read.
        tokio::task::yield_now().await;
        silence
    }
}

impl<C: Codec> Stream<C> {
    /// Waits until the silence of a run since `progress_at` ends it. A sound server may be silent and go
    /// on, so it does only if another server can take over the stream, or if the silence lasts and the
    /// caller can resume through another entry.
    pub(super) async fn final_silence(
        &mut self,
        run: &mut Run<C>,
        progress_at: Instant,
    ) -> Silence {
        if !self.resumable() {
            return std::future::pending().await;
        }
        let limit = progress_at + self.silence_limit();
        let mut check_at = progress_at;
        loop {
            let silence = run.silence(check_at, limit).await;
            let since = match silence {
                Silence::Server => *run.lost_at.get_or_insert_with(Instant::now),
                Silence::Run => progress_at,
            };
            if since.elapsed() >= INTERRUPTION_LIMIT || self.can_move(&run.backend) {
                return silence;
            }
            check_at = Instant::now() + SILENCE_CHECK;
        }
    }

    /// Returns how long a run at a live server may be silent.
    fn silence_limit(&self) -> Duration {
        if self.run_events > 0 {
            self.relay.settings.liveness.stream_silence_limit * 2_u32.pow(self.silences.min(3))
        } else {
            let tokens = self.job.head.prompt_tokens.unwrap_or_default();
            let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
            FIRST_EVENT_TIMEOUT + TIME_PER_PROMPT_TOKEN.saturating_mul(tokens)
        }
    }

    /// Returns whether a server other than `from`, which is silent, can take over the stream. Then a retry
    /// has been withdrawn for it.
    fn can_move(&mut self, from: &Arc<Backend>) -> bool {
        let blocked = self.relay.refused_for(&self.job.fingerprint);
        if !self.may_retry() || blocked.is_some() {
            return false;
        }
        let now = self.relay.clock.now();
        let excluded = [Arc::clone(&from.server.id)];
        let other = self.relay.choose(Criteria {
            excluded: &excluded,
            ..self.criteria(&[])
        });
        other.is_some_and(|other| !other.load(|load| load.suspect(now))) && self.withdraw_retry()
    }
}
