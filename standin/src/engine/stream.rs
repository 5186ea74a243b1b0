//! Generates tokens and streams them to readers as frames, with the injected stream faults.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::batch::{Generation, Progress};
use super::{Engine, Frame, Generate};
use crate::http::{self, Abort, Body};
use crate::oracle;

/// Reader of a generation; the generation counts it until it is dropped.
struct ReaderGuard(Arc<Generation>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.count_reader(false);
    }
}

/// Position of one reader in the stream of a generation.
struct Cursor {
    engine: Engine,
    reader: ReaderGuard,
    progress: watch::Receiver<Progress>,
    next: u64,
    repeated: bool,
    ended: bool,
}

impl Engine {
    /// Spawns the task that prefills `prefill` tokens and then produces the tokens of a generation.
    pub(super) fn spawn_generation(
        &self,
        request: Generate,
        generation: Arc<Generation>,
        prefill: u64,
    ) {
        let engine = self.clone();
        let prefill = self.config.prefill_per_token * u32::try_from(prefill).unwrap_or(u32::MAX);
        tokio::spawn(async move {
            let crash_token = engine.lifecycle.crash_token();
            tokio::select! {
                () = crash_token.cancelled() => {}
                () = engine.produce(&request, &generation, prefill) => {}
            }
            engine.lock().batch.remove(&generation);
            generation
                .progress
                .send_modify(|progress| progress.ended = true);
            engine.batch_changed.notify_waiters();
        });
    }

    /// Produces the tokens of a generation until it ends, is cancelled, or has had no reader for
    /// longer than the grace period.
    async fn produce(&self, request: &Generate, generation: &Generation, prefill: Duration) {
        self.wait_for_turn(generation).await;
        time::sleep(prefill).await;
        let mut due = Instant::now();
        let mut orphan_since = None;
        for index in request.resume.len() as u64..generation.length {
            due += self.token_interval();
            time::sleep_until(due).await;
            self.lifecycle.wait_while_paused().await;
            self.wait_for_turn(generation).await;
            due = due.max(Instant::now() - self.token_interval());
            orphan_since = generation
                .is_orphaned()
                .then(|| orphan_since.unwrap_or_else(Instant::now));
            let grace_expired =
                orphan_since.is_some_and(|since| since.elapsed() > self.config.orphan_grace);
            if generation.is_cancelled() || grace_expired {
                return;
            }
            if self.count_token().is_err() {
                return;
            }
            generation
                .progress
                .send_modify(|progress| progress.produced = index + 1);
            if self.check_memory().is_err() {
                return;
            }
        }
        generation
            .progress
            .send_modify(|progress| progress.ended = true);
        self.wait_for_readers(generation).await;
    }

    /// Keeps a finished generation until its readers have left or the grace period has passed.
    async fn wait_for_readers(&self, generation: &Generation) {
        let deadline = Instant::now() + self.config.orphan_grace;
        let poll_interval = self.config.token_interval.max(Duration::from_millis(1));
        while !generation.is_orphaned() && !generation.is_cancelled() && Instant::now() < deadline {
            time::sleep(poll_interval).await;
        }
    }

    /// Waits until a generation may run or is cancelled.
    async fn wait_for_turn(&self, generation: &Generation) {
        loop {
            let changed = self.batch_changed.notified();
            if generation.is_cancelled() || self.lock().batch.is_running(generation) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the time between two tokens under the current faults.
    fn token_interval(&self) -> Duration {
        let state = self.lock();
        let factor = if state.version_faults_apply() {
            state.faults.slow_factor
        } else {
            1.0
        };
        self.config.token_interval.mul_f64(factor)
    }

    /// Counts a token; crashes the engine if `die_after_tokens` is used up.
    fn count_token(&self) -> Result<(), Abort> {
        let mut state = self.lock();
        state.stats.tokens += 1;
        let crashes = match &mut state.faults.die_after_tokens {
            Some(0) => true,
            Some(remaining) => {
                *remaining -= 1;
                false
            }
            None => false,
        };
        drop(state);
        if crashes {
            self.lifecycle.crash();
            return Err(Abort);
        }
        Ok(())
    }

    /// Returns a response that streams a generation from index `from`, or from its first token.
    ///
    /// The reader that requested the generation (`from` is `None`) is counted on admission already.
    pub(super) fn stream(&self, generation: Arc<Generation>, from: Option<u64>) -> Response<Body> {
        if from.is_some() {
            generation.count_reader(true);
        }
        let cursor = Cursor {
            engine: self.clone(),
            progress: generation.progress.subscribe(),
            next: from.unwrap_or_else(|| generation.first_index()),
            reader: ReaderGuard(generation),
            repeated: false,
            ended: false,
        };
        let frames = futures::stream::unfold(cursor, |mut cursor| async move {
            let frame = cursor.next_frame().await?;
            Some((frame, cursor))
        });
        Response::new(http::stream(frames))
    }
}

impl Cursor {
    /// Returns the next frame as a line of JSON, or `None` after the end frame.
    ///
    /// Aborts the connection at a cut, on a crash during a stall, or if the generation ended early.
    async fn next_frame(&mut self) -> Option<Result<Bytes, Abort>> {
        if self.ended {
            return None;
        }
        let next = self.next;
        let waited = self
            .progress
            .wait_for(|progress| progress.produced > next || progress.ended)
            .await;
        let Ok(produced) = waited.map(|progress| progress.produced) else {
            return Some(Err(Abort));
        };
        self.engine.lifecycle.wait_while_paused().await;
        let generation = Arc::clone(&self.reader.0);
        let faults = self.engine.lock().faults.clone();
        if faults.cut_token == Some(next) {
            return Some(Err(Abort));
        }
        if faults.stall_token == Some(next) {
            self.engine.lifecycle.crash_token().cancelled().await;
            return Some(Err(Abort));
        }
        if faults.stray_token == Some(next) {
            time::sleep(self.engine.config.token_interval).await;
            return Some(Ok(json_line(&foreign_frame(&generation.request, next))));
        }
        if next < produced {
            let frame = self.next_token_frame(&generation, &faults);
            return Some(Ok(json_line(&frame)));
        }
        if next < generation.length {
            return Some(Err(Abort));
        }
        self.ended = true;
        let reason = if generation.length == generation.request.max_tokens {
            "length"
        } else {
            "stop"
        };
        Some(Ok(json_line(&Frame {
            request_id: generation.request.request_id.clone(),
            attempt: generation.request.attempt,
            index: generation.length,
            token: None,
            end: Some(reason.to_owned()),
        })))
    }

    /// Returns the frame of the next token under the token faults, and advances the position.
    fn next_token_frame(&mut self, generation: &Generation, faults: &super::Faults) -> Frame {
        let request = &generation.request;
        let omitted = faults.lose_token == Some(self.next) && self.next + 1 < generation.length;
        let index = if omitted { self.next + 1 } else { self.next };
        let repeats = faults.repeat_token == Some(index) && !self.repeated;
        self.repeated = repeats;
        self.next = if repeats { index } else { index + 1 };
        let crossed = faults.cross_token == Some(index);
        if crossed {
            return foreign_frame(request, index);
        }
        Frame {
            request_id: request.request_id.clone(),
            attempt: request.attempt,
            index,
            token: Some(oracle::token(&request.version, &request.prompt, index)),
            end: None,
        }
    }
}

/// Returns a frame with an identifier and a token that do not belong to `request`.
fn foreign_frame(request: &Generate, index: u64) -> Frame {
    Frame {
        request_id: format!("{}-other", request.request_id),
        attempt: request.attempt,
        index,
        token: Some(" crossed".to_owned()),
        end: None,
    }
}

/// Encodes a frame as a line of JSON.
fn json_line(frame: &Frame) -> Bytes {
    let mut line = serde_json::to_vec(frame).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
