//! Producing tokens and streaming them to readers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use tokio::sync::watch;
use tokio::time::{self, Instant};

use super::batch::{Live, Progress};
use super::{Engine, Frame, Generate};
use crate::http::{self, Abort, Body};
use crate::oracle;

/// Counts a reader for as long as it reads.
struct Reader(Arc<Live>);

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.reader(false);
    }
}

/// Where a stream stands.
struct Cursor {
    engine: Engine,
    reader: Reader,
    progress: watch::Receiver<Progress>,
    next: u64,
    repeated: bool,
    ended: bool,
}

impl Engine {
    /// Starts the task that produces the tokens of a generation.
    pub(super) fn spawn_generation(&self, generate: Generate, live: Arc<Live>, prefill: u64) {
        let engine = self.clone();
        let prefill = self.config.prefill_per_token * u32::try_from(prefill).unwrap_or(u32::MAX);
        tokio::spawn(async move {
            let stop = engine.lifecycle.stop();
            tokio::select! {
                () = stop.cancelled() => {}
                () = engine.produce(&generate, &live, prefill) => {}
            }
            engine.lock().batch.remove(&live);
            live.progress.send_modify(|progress| progress.ended = true);
            engine.changed.notify_waiters();
        });
    }

    /// Produces the tokens of a generation until it ends, is cancelled or has no reader for long.
    async fn produce(&self, generate: &Generate, live: &Live, prefill: Duration) {
        self.wait_for_turn(live).await;
        time::sleep(prefill).await;
        let mut due = Instant::now();
        let mut orphan_since = None;
        for index in generate.resume.len() as u64..live.length {
            due += self.interval();
            time::sleep_until(due).await;
            self.lifecycle.running().await;
            self.wait_for_turn(live).await;
            due = due.max(Instant::now() - self.interval());
            orphan_since = live
                .orphan()
                .then(|| orphan_since.unwrap_or_else(Instant::now));
            let orphan =
                orphan_since.is_some_and(|since| since.elapsed() > self.config.orphan_grace);
            if live.cancelled() || orphan {
                return;
            }
            if self.produced().is_err() {
                return;
            }
            live.progress
                .send_modify(|progress| progress.produced = index + 1);
            if self.check_memory().is_err() {
                return;
            }
        }
        live.progress.send_modify(|progress| progress.ended = true);
        self.linger(live).await;
    }

    /// Keeps a finished generation until its readers have read it or the grace has passed.
    async fn linger(&self, live: &Live) {
        let deadline = Instant::now() + self.config.orphan_grace;
        let step = self.config.token_interval.max(Duration::from_millis(1));
        while !live.orphan() && !live.cancelled() && Instant::now() < deadline {
            time::sleep(step).await;
        }
    }

    /// Waits until a generation is among those that run.
    async fn wait_for_turn(&self, live: &Live) {
        loop {
            let changed = self.changed.notified();
            if live.cancelled() || self.lock().batch.runs(live) {
                return;
            }
            changed.await;
        }
    }

    /// Returns the time between two tokens with the present faults.
    fn interval(&self) -> Duration {
        let state = self.lock();
        let factor = if state.faulty() {
            state.faults.slow_factor
        } else {
            1.0
        };
        self.config.token_interval.mul_f64(factor)
    }

    /// Counts a token, and dies if the faults say that it was the last.
    fn produced(&self) -> Result<(), Abort> {
        let mut state = self.lock();
        state.stats.tokens += 1;
        let dies = match &mut state.faults.die_after_tokens {
            Some(0) => true,
            Some(left) => {
                *left -= 1;
                false
            }
            None => false,
        };
        drop(state);
        if dies {
            self.lifecycle.crash();
            return Err(Abort);
        }
        Ok(())
    }

    /// Returns an answer that streams a generation from `from` on, or from its first token.
    pub(super) fn stream(&self, live: Arc<Live>, from: Option<u64>) -> Response<Body> {
        if from.is_some() {
            live.reader(true);
        }
        let cursor = Cursor {
            engine: self.clone(),
            progress: live.progress.subscribe(),
            next: from.unwrap_or_else(|| live.first()),
            reader: Reader(live),
            repeated: false,
            ended: false,
        };
        let frames = futures::stream::unfold(cursor, |mut cursor| async move {
            let frame = cursor.frame().await?;
            Some((frame, cursor))
        });
        Response::new(http::stream(frames))
    }
}

impl Cursor {
    /// Returns the next frame as a JSON line, or nothing at the end.
    async fn frame(&mut self) -> Option<Result<Bytes, Abort>> {
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
        self.engine.lifecycle.running().await;
        let live = Arc::clone(&self.reader.0);
        let faults = self.engine.lock().faults.clone();
        if faults.cut_token == Some(next) {
            return Some(Err(Abort));
        }
        if faults.stall_token == Some(next) {
            self.engine.lifecycle.stop().cancelled().await;
            return Some(Err(Abort));
        }
        if faults.stray_token == Some(next) {
            time::sleep(self.engine.config.token_interval).await;
            return Some(Ok(line(&stray(&live.generate, next))));
        }
        if next < produced {
            let frame = self.token(&live, &faults);
            return Some(Ok(line(&frame)));
        }
        if next < live.length {
            return Some(Err(Abort));
        }
        self.ended = true;
        let reason = if live.length == live.generate.max_tokens {
            "length"
        } else {
            "stop"
        };
        Some(Ok(line(&Frame {
            request_id: live.generate.request_id.clone(),
            attempt: live.generate.attempt,
            index: live.length,
            token: None,
            end: Some(reason.to_owned()),
        })))
    }

    /// Returns the frame of the next token, with the faults that apply to it, and moves on.
    fn token(&mut self, live: &Live, faults: &super::Faults) -> Frame {
        let generate = &live.generate;
        let lost = faults.lose_token == Some(self.next) && self.next + 1 < live.length;
        let index = if lost { self.next + 1 } else { self.next };
        let repeats = faults.repeat_token == Some(index) && !self.repeated;
        self.repeated = repeats;
        self.next = if repeats { index } else { index + 1 };
        let crossed = faults.cross_token == Some(index);
        if crossed {
            return stray(generate, index);
        }
        Frame {
            request_id: generate.request_id.clone(),
            attempt: generate.attempt,
            index,
            token: Some(oracle::token(&generate.version, &generate.prompt, index)),
            end: None,
        }
    }
}

/// Returns a frame that belongs to another request.
fn stray(generate: &Generate, index: u64) -> Frame {
    Frame {
        request_id: format!("{}-other", generate.request_id),
        attempt: generate.attempt,
        index,
        token: Some(" crossed".to_owned()),
        end: None,
    }
}

/// Returns a frame as a JSON line.
fn line(frame: &Frame) -> Bytes {
    let mut line = serde_json::to_vec(frame).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}
