//! Forwards the events of a stream to the caller, from one run after another.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::response::Parts;
use tokio::time::Instant;

use crate::answer::{Content, Part, Reason, Refusal};
use crate::codec::Codec;
use crate::events::Splitter;

use super::caller::Caller;
use super::resumption::Source;
use super::{Opened, Stream};

/// Largest body of a server's error response, in bytes.
const ERROR_BODY_LIMIT: usize = 64 << 10;

/// Longest time for the body of a server's error response.
const ERROR_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Events from which an answer counts as begun. The first ones can be on their way when a server crashes
/// as it begins to answer.
const ANSWER_EVENTS: u32 = 3;

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

impl RunEnd {
    /// Returns the name in logs and metrics, of a response whose head has been sent.
    fn name(self) -> &'static str {
        match self {
            Self::Complete => "answered",
            Self::Caller => "caller_left",
            Self::Deadline => "timed_out",
            Self::Blocked => "prompt_blocked",
            Self::Lost(_) => "broken_off",
        }
    }

    /// Returns the reason of the refusal of a stream that ends without an event. A server may have run
    /// the request.
    fn refusal(self) -> Option<Reason> {
        match self {
            Self::Complete | Self::Caller => None,
            Self::Deadline => Some(Reason::TimedOut),
            Self::Blocked | Self::Lost(_) => Some(Reason::Lost),
        }
    }
}

impl<C: Codec> Stream<C> {
    /// Forwards the events on a separate task, and returns the response to the caller with the first one.
    pub(super) async fn respond(self, opened: Opened<C>) -> Response<Content> {
        let (head, body) = opened.answer.response.into_parts();
        if !head.status.is_success() {
            return self.respond_with_error(&head, body).await;
        }
        let relay = Arc::clone(&self.relay);
        let request_id = Arc::clone(&self.job.original.request_id);
        let source = Source::new(opened.run, opened.answer.guard, head, body);
        let (caller, head, parts) = Caller::new();
        tokio::spawn(self.forward_to(caller, source));
        let head = head.await.unwrap_or(Err(Refusal::new(Reason::Lost)));
        match head {
            Ok(head) => {
                let content = Content::Parts {
                    parts,
                    length: None,
                };
                let mut headers = relay.codec.response_headers(&head.headers);
                headers.remove(CONTENT_LENGTH);
                let mut response = Response::new(content);
                *response.status_mut() = head.status;
                *response.headers_mut() = headers;
                response
            }
            Err(refusal) => refusal.response(&relay.codec, Some(&request_id)),
        }
    }

    /// Forwards events until the stream ends, and ends the response accordingly.
    async fn forward_to(mut self, mut caller: Caller, source: Source<C>) {
        let end = self.forward_all(source, &mut caller).await;
        if let RunEnd::Lost(cause) = end {
            self.log_lost(cause, caller.has_head());
        }
        if let Some(reason) = end.refusal().filter(|_| !caller.has_head()) {
            self.record_end(reason.status().as_u16(), reason.name());
            caller.refuse(Refusal::new(reason));
            return;
        }
        if end == RunEnd::Complete {
            let _ = caller.send(Part::End).await;
            if let Some(replacement) = self.replacement.take() {
                replacement.free(&self.relay);
            }
        }
        self.record_end(caller.status().as_u16(), end.name());
    }

    /// Returns a server's error response, unless its body exceeds the limits on size and time.
    async fn respond_with_error(self, head: &Parts, body: Incoming) -> Response<Content> {
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
        let mut headers = self.relay.codec.response_headers(&head.headers);
        headers.insert(CONTENT_LENGTH, body.len().into());
        self.record_end(head.status.as_u16(), "answered");
        let mut response = Response::new(Content::Whole(Some(body)));
        *response.status_mut() = head.status;
        *response.headers_mut() = headers;
        response
    }

    /// Forwards events until the stream ends, and resumes at other servers if runs fail.
    async fn forward_all(&mut self, mut source: Source<C>, caller: &mut Caller) -> RunEnd {
        loop {
            let cause = match self.forward_run(&mut source, caller).await {
                RunEnd::Lost(cause) => cause,
                end => return end,
            };
            let failed = Arc::clone(&source.run.backend);
            if matches!(cause, "silent" | "gap" | "not_events") {
                self.record_server_failure(&failed);
            }
            if matches!(cause, "connection" | "cut_event") {
                self.relay
                    .metrics
                    .connections
                    .count_truncated(&failed.server.service);
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
                () = caller.closed() => return RunEnd::Caller,
                () = tokio::time::sleep_until(deadline) => return RunEnd::Deadline,
            };
        }
    }

    /// Forwards the events of one run.
    async fn forward_run(&mut self, source: &mut Source<C>, caller: &mut Caller) -> RunEnd {
        let deadline = self.relay.clock.instant(self.job.deadline);
        let mut splitter = Splitter::default();
        let mut changed = self.relay.changed.subscribe();
        // Bytes that complete no new event are no progress: a stalled server may send some for ever.
        let mut progress_at = Instant::now();
        loop {
            if self.run_events == 0 && self.relay.is_blocked(&self.job.fingerprint) {
                return RunEnd::Blocked;
            }
            let frame = tokio::select! {
                biased;
                frame = source.body.frame() => frame,
                silence = self.final_silence(&mut source.run, progress_at) => {
                    return RunEnd::Lost(silence.cause());
                }
                () = caller.closed() => return RunEnd::Caller,
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
                    caller.send_head(&mut source.head);
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
                    if source.run.occupancy.prefill_done() {
                        self.record_kept_prompt(&source.run.backend);
                    }
                    self.maintain_backup(&source.run.backend);
                }
                if self.run_events == ANSWER_EVENTS {
                    self.record_answered();
                }
                if event.id.is_some() || event.has_data() {
                    if !std::mem::replace(&mut self.counted, true) {
                        self.relay.count_run(self.job.account.as_deref());
                    }
                    progress_at = Instant::now();
                }
                self.last_event = event.id.or(self.last_event);
                self.record_event(now);
                if let Some(measurement) = source.run.meter.event(now) {
                    let prompt = source.run.idle_prompt.zip(measurement.first);
                    if let Some((tokens, took)) = prompt {
                        self.relay.record_prefill(&source.run.backend, tokens, took);
                    }
                    let backend = &source.run.backend;
                    if let Some(gap) = measurement.gap {
                        backend.estimate(|estimate| estimate.record_event_gap(gap, now));
                    }
                    self.relay
                        .record_measurement(backend, &self.job.route.name, measurement);
                }
                // A caller that stops reading occupies the run until the deadline at most.
                caller.send_head(&mut source.head);
                let sending = caller.send(Part::Data(event.bytes));
                match tokio::time::timeout_at(deadline, sending).await {
                    Ok(true) => {}
                    Ok(false) => return RunEnd::Caller,
                    Err(_) => return RunEnd::Deadline,
                }
            }
            if splitter.overflows() {
                return RunEnd::Lost("not_events");
            }
        }
    }

    /// Logs that the caller's answer ends before its last event, or before its head.
    fn log_lost(&self, cause: &'static str, has_head: bool) {
        let now = self.relay.clock.now();
        let message = if has_head {
            "stream broken off"
        } else {
            "stream lost before its first event"
        };
        log::warn!(
            request = &*self.job.original.request_id, cause, ran = self.ran,
            attempts = self.job.route.attempts, resumable = self.resumable(),
            last_event = self.last_event.unwrap_or(0),
            silent_ms = now.saturating_sub(self.last_event_at).as_millis(),
            remaining_ms = self.job.deadline.saturating_sub(now).as_millis();
            "{message}"
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
