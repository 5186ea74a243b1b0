//! Forwards the events of a stream to the caller, from one run after another.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::{Content, Part, Reason, Refusal};
use crate::codec::Codec;
use crate::events::Splitter;

use super::resumption::{INTERRUPTION_LIMIT, Source};
use super::{Opened, Stream};

/// Events that are queued for a slow caller: a whole generation of usual length.
const EVENT_QUEUE: usize = 256;

/// Largest body of a server's error response, in bytes.
const ERROR_BODY_LIMIT: usize = 64 << 10;

/// Longest time for the body of a server's error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Events from which an answer counts as begun. The first ones can be on their way when a server crashes
/// as it begins to answer.
const ANSWER_EVENTS: u32 = 3;

/// Pause before a silent run, which no other server could take over, is considered again.
const SILENCE_CHECK: Duration = Duration::from_millis(100);

/// Why forwarding of a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RunEnd {
    /// All events arrived.
    Complete,
    /// The caller disconnected.
    Caller,
    /// The deadline passed.
    Deadline,
    /// The prompt was blocked before the run began to answer it.
    Blocked,
    /// The run failed, with the cause.
    Lost(&'static str),
}

impl<C: Codec> Stream<C> {
    /// Starts the response to the caller, and forwards the events on a separate task.
    pub(super) async fn respond(mut self, opened: Opened<C>) -> Response<Content> {
        let (parts, body) = opened.answer.response.into_parts();
        let mut headers = self.relay.codec.response_headers(&parts.headers);
        let status = parts.status;
        if !status.is_success() {
            return self.respond_with_error(status, headers, body).await;
        }
        headers.remove(CONTENT_LENGTH);
        let (sender, events) = mpsc::channel(EVENT_QUEUE);
        let source = Source::new(opened.run, opened.answer.guard, body);
        self.ran += 1;
        self.record_arrival();
        tokio::spawn(async move {
            let end = self.forward_all(source, &sender).await;
            match end {
                RunEnd::Complete => {
                    let _ = sender.send(Part::End).await;
                    if let Some(replacement) = self.replacement.take() {
                        replacement.free(&self.relay);
                    }
                    self.record_end(status.as_u16(), "answered");
                }
                RunEnd::Caller => self.record_end(status.as_u16(), "caller_left"),
                RunEnd::Deadline => self.record_end(status.as_u16(), "timed_out"),
                RunEnd::Blocked => self.record_end(status.as_u16(), "prompt_blocked"),
                RunEnd::Lost(cause) => {
                    self.log_broken_off(cause);
                    self.record_end(status.as_u16(), "broken_off");
                }
            }
        });
        let content = Content::Parts {
            parts: events,
            length: None,
        };
        let mut response = Response::new(content);
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns a server's error response, unless its body exceeds the limits on size and time.
    async fn respond_with_error(
        self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: Incoming,
    ) -> Response<Content> {
        let deadline = self.relay.clock.instant(self.job.deadline);
        let deadline = deadline.min(Instant::now() + ERROR_BODY_TIMEOUT);
        let body = Limited::new(body, ERROR_BODY_LIMIT).collect();
        let body = tokio::time::timeout_at(deadline, body).await;
        let Ok(Ok(body)) = body else {
            self.record_end(Reason::Lost.status().as_u16(), Reason::Lost.name());
            let id = Some(&*self.job.original.request_id);
            return Refusal::new(Reason::Lost).response(&self.relay.codec, id);
        };
        let body = body.to_bytes();
        headers.insert(CONTENT_LENGTH, body.len().into());
        self.record_end(status.as_u16(), "answered");
        let mut response = Response::new(Content::Whole(Some(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Forwards events until the stream ends, and resumes at other servers if runs fail.
    async fn forward_all(&mut self, mut source: Source<C>, sender: &mpsc::Sender<Part>) -> RunEnd {
        loop {
            let cause = match self.forward_run(&mut source, sender).await {
                RunEnd::Lost(cause) => cause,
                end => return end,
            };
            let failed = Arc::clone(&source.run.backend);
            if matches!(cause, "silent" | "gap" | "not_events") {
                self.record_server_failure(&failed);
            }
            if matches!(cause, "connection" | "server_lost" | "cut_event") {
                self.record_unanswered(&failed);
            }
            // Closes the old connection first, so that the old run stops.
            drop(source);
            if !self.may_retry() {
                return RunEnd::Lost(cause);
            }
            let now = self.relay.clock.now();
            self.record_leave(&failed, cause, now);
            let deadline = self.relay.clock.instant(self.job.deadline);
            source = tokio::select! {
                resumed = self.resume(cause) => match resumed {
                    Ok(resumed) => resumed,
                    Err(cause) => return RunEnd::Lost(cause),
                },
                () = sender.closed() => return RunEnd::Caller,
                () = tokio::time::sleep_until(deadline) => return RunEnd::Deadline,
            };
        }
    }

    /// Forwards the events of one run.
    async fn forward_run(&mut self, source: &mut Source<C>, sender: &mpsc::Sender<Part>) -> RunEnd {
        let deadline = self.relay.clock.instant(self.job.deadline);
        let mut splitter = Splitter::default();
        let mut changed = self.relay.changed.subscribe();
        // Bytes that complete no new event are no progress: a stalled server may send some for ever.
        let mut progress_at = Instant::now();
        let mut check_silence_at = progress_at;
        loop {
            if self.run_events == 0 && self.relay.prompt_blocked(&self.job.head.prompt_parts) {
                return RunEnd::Blocked;
            }
            let bound = if self.run_events > 0 {
                self.relay.settings.liveness.stream_silence_limit * 2_u32.pow(self.silences.min(3))
            } else {
                self.first_event_timeout()
            };
            let resumable = self.resumable();
            let frame = tokio::select! {
                biased;
                frame = source.body.frame() => frame,
                cause = source.run.silence(check_silence_at, progress_at + bound), if resumable => {
                    let silent = progress_at.elapsed();
                    if silent >= INTERRUPTION_LIMIT || self.can_move(&source.run.backend) {
                        return RunEnd::Lost(cause);
                    }
                    check_silence_at = Instant::now() + SILENCE_CHECK;
                    continue;
                }
                () = sender.closed() => return RunEnd::Caller,
                () = tokio::time::sleep_until(deadline) => return RunEnd::Deadline,
                _ = changed.changed() => {
                    self.maintain_backup(&source.run.backend);
                    continue;
                }
            };
            match frame {
                Some(Ok(frame)) => splitter.push(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return RunEnd::Lost("connection"),
                None if splitter.has_partial() => return RunEnd::Lost("cut_event"),
                None => {
                    self.record_answered();
                    return RunEnd::Complete;
                }
            }
            let now = self.relay.clock.now();
            source.run.record_activity(&self.relay);
            while let Some(event) = splitter.next_event() {
                match (event.id, self.last_event) {
                    (Some(id), Some(last)) if id <= last => continue,
                    (Some(id), Some(last)) if id > last + 1 => return RunEnd::Lost("gap"),
                    _ => {}
                }
                self.run_events += 1;
                if self.run_events == 1 {
                    source.run.occupancy.prefill_done();
                    self.maintain_backup(&source.run.backend);
                }
                if self.run_events == ANSWER_EVENTS {
                    self.record_answered();
                }
                if event.id.is_some() || event.has_data() {
                    progress_at = Instant::now();
                }
                self.last_event = event.id.or(self.last_event);
                self.record_event(now);
                if let Some(measurement) = source.run.meter.event(now) {
                    let backend = &source.run.backend;
                    self.relay
                        .record_measurement(backend, &self.job.route.name, measurement);
                }
                // A caller that stops reading occupies the run until the deadline at most.
                let sending = sender.send(Part::Data(event.bytes));
                match tokio::time::timeout_at(deadline, sending).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return RunEnd::Caller,
                    Err(_) => return RunEnd::Deadline,
                }
            }
            if splitter.overflows() {
                return RunEnd::Lost("not_events");
            }
        }
    }

    /// Logs that the caller's answer ends before its last event.
    fn log_broken_off(&self, cause: &'static str) {
        let now = self.relay.clock.now();
        log::warn!(
            request = &*self.job.original.request_id, cause, ran = self.ran,
            attempts = self.job.route.attempts, resumable = self.resumable(),
            last_event = self.last_event.unwrap_or(0),
            silent_ms = now.saturating_sub(self.last_event_at).as_millis(),
            remaining_ms = self.job.deadline.saturating_sub(now).as_millis();
            "stream broken off"
        );
    }

    /// Records the times of a forwarded event.
    fn record_event(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_event_at);
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            let took = now.saturating_sub(self.job.began);
            let metrics = &self.relay.metrics;
            metrics.record_latency(&self.job.route.name, &self.job.service, took);
        } else {
            self.longest_pause = self.longest_pause.max(pause);
        }
        if self.resumes > 0 && pause > self.relay.settings.liveness.silence_limit {
            self.relay.metrics.resume_gap.observe(pause.as_secs_f64());
        }
        self.last_event_at = now;
    }

    /// Logs and counts the end of the stream.
    pub(super) fn record_end(&self, status: u16, reason: &'static str) {
        let route = &*self.job.route.name;
        let since = |time: Duration| time.saturating_sub(self.job.began).as_millis();
        self.relay.metrics.count_ended(route, status, reason);
        let first = self
            .first_event_at
            .map(|at| at.saturating_sub(self.job.began));
        let late = first.is_some_and(|first| first > self.job.route.target_latency)
            || self
                .job
                .route
                .longest_pause
                .is_some_and(|longest| self.longest_pause > longest);
        if late {
            self.relay.metrics.count_late(route);
        }
        log::info!(
            request = &*self.job.original.request_id, route, status, reason, late,
            account = self.job.account.as_ref().map_or("", |account| &*account.name),
            configuration = self.job.table.version,
            first_ms = self.first_event_at.map_or(0, since),
            longest_pause_ms = self.longest_pause.as_millis(),
            ms = since(self.relay.clock.now()),
            last_event = self.last_event.unwrap_or(0), resumes = self.resumes, sends = self.arrivals;
            "stream ended"
        );
    }
}
