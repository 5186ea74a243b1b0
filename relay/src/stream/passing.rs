//! Hands on the events of a stream, from one server after another.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::{Content, Part, Reason, Refusal};
use crate::attempt::Guard;
use crate::dialect::Dialect;
use crate::events::Splitter;
use crate::state::Backend;

use super::{FIRST_EVENT, Opened, Run, Stream};

/// Events that wait for a slow caller: a whole answer of usual size.
const EVENTS_WAITING: usize = 256;

/// Where a stream's events come from.
struct Source<D: Dialect> {
    body: Incoming,
    run: Run<D>,
    #[expect(
        dead_code,
        reason = "dropped with the source, which ends the connection"
    )]
    guard: Guard,
}

/// Why a run was left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Left {
    /// All events came.
    Complete,
    /// The caller left.
    Caller,
    /// The time ran out.
    Deadline,
    /// The run was lost.
    Lost(&'static str),
}

impl<D: Dialect> Stream<D> {
    /// Begins the answer to the caller, and hands on the events on a task of its own.
    pub(super) async fn respond(mut self, opened: Opened<D>) -> Response<Content> {
        let (parts, body) = opened.answer.response.into_parts();
        let mut headers = self.relay.dialect.answer_headers(&parts.headers);
        let status = parts.status;
        if !status.is_success() {
            return self.whole(status, headers, body).await;
        }
        headers.remove(CONTENT_LENGTH);
        let (sender, events) = mpsc::channel(EVENTS_WAITING);
        let source = Source {
            run: opened.run,
            guard: opened.answer.guard,
            body,
        };
        self.ran += 1;
        self.arrived();
        tokio::spawn(async move {
            let left = self.pump(source, &sender).await;
            match left {
                Left::Complete => {
                    let _ = sender.send(Part::End).await;
                    if let Some(keeper) = self.keeper.take() {
                        keeper.free(&self.relay);
                    }
                    self.ended(status.as_u16(), "answered");
                }
                Left::Caller => self.ended(status.as_u16(), "caller_left"),
                Left::Deadline => self.ended(status.as_u16(), "timed_out"),
                Left::Lost(_) => self.ended(status.as_u16(), "broken_off"),
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

    /// Answers with a server's failure, whose body is short.
    async fn whole(
        self,
        status: StatusCode,
        mut headers: HeaderMap,
        body: Incoming,
    ) -> Response<Content> {
        let Ok(body) = body.collect().await else {
            self.ended(Reason::Lost.status().as_u16(), Reason::Lost.name());
            let id = Some(&*self.job.original.request_id);
            return Refusal::new(Reason::Lost).response(&self.relay.dialect, id);
        };
        let body = body.to_bytes();
        headers.insert(CONTENT_LENGTH, body.len().into());
        self.ended(status.as_u16(), "answered");
        let mut response = Response::new(Content::Whole(Some(body)));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        response
    }

    /// Hands on events until the stream ends, going on at other servers as needed.
    async fn pump(&mut self, mut source: Source<D>, sender: &mpsc::Sender<Part>) -> Left {
        loop {
            let cause = match self.hand_on(&mut source, sender).await {
                Left::Lost(cause) => cause,
                left => return left,
            };
            let failed = Arc::clone(&source.run.backend);
            if matches!(cause, "silent" | "gap" | "not_events") {
                self.failed_at(&failed);
            }
            // Ends the old connection first, so that the old run stops.
            drop(source);
            if !self.may_repeat() {
                return Left::Lost(cause);
            }
            let now = self.relay.clock.now();
            self.left(&failed, cause, now);
            let deadline = self.relay.clock.instant(self.job.deadline);
            let opened = tokio::select! {
                opened = self.open() => opened,
                () = sender.closed() => return Left::Caller,
                () = tokio::time::sleep_until(deadline) => return Left::Deadline,
            };
            let opened = match opened {
                Ok(opened) => opened,
                Err(refusal) => {
                    log::info!(
                        request = &*self.job.original.request_id, cause,
                        reason = refusal.reason.name();
                        "stream not resumed"
                    );
                    return Left::Lost(cause);
                }
            };
            let (parts, body) = opened.answer.response.into_parts();
            if !parts.status.is_success() {
                return Left::Lost("refused");
            }
            self.ran += 1;
            self.arrived();
            source = Source {
                run: opened.run,
                guard: opened.answer.guard,
                body,
            };
        }
    }

    /// Notes that the stream leaves a server.
    fn left(&mut self, failed: &Arc<Backend>, cause: &'static str, now: Duration) {
        self.lost = vec![Arc::clone(&failed.server.id)];
        self.lost_domain = Some(Arc::clone(&failed.server.failure_domain));
        self.resumes += 1;
        self.relay.metrics.resume(cause);
        match cause {
            "silent" => self.silences += 1,
            // A server that was lost no longer counts as one that the request was sent to.
            "server_lost" => self.ran -= 1,
            _ => {}
        }
        if cause != "silent" {
            self.relay.unreachable(failed);
        }
        log::info!(
            request = &*self.job.original.request_id, server = &*failed.server.id,
            failure_domain = &*failed.server.failure_domain, cause,
            last_event = self.last_event.unwrap_or(0),
            silent_ms = now.saturating_sub(self.last_event_at).as_millis(),
            copy = self.backup.as_ref().map_or("", |backup| &*backup.server.id);
            "stream leaves its server"
        );
    }

    /// Hands on the events of one run.
    async fn hand_on(&mut self, source: &mut Source<D>, sender: &mpsc::Sender<Part>) -> Left {
        let deadline = self.relay.clock.instant(self.job.deadline);
        let mut splitter = Splitter::default();
        let mut changed = self.relay.changed.subscribe();
        let mut heard = Instant::now();
        loop {
            let bound = if self.begun {
                self.relay.settings.liveness.stream_silence_limit * 2_u32.pow(self.silences.min(3))
            } else {
                FIRST_EVENT
            };
            let frame = tokio::select! {
                biased;
                frame = source.body.frame() => frame,
                () = source.run.subscription.lost() => return Left::Lost("server_lost"),
                () = sender.closed() => return Left::Caller,
                () = tokio::time::sleep_until(heard + bound) => return Left::Lost("silent"),
                () = tokio::time::sleep_until(deadline) => return Left::Deadline,
                _ = changed.changed() => {
                    self.keep_copy(&source.run.backend);
                    continue;
                }
            };
            match frame {
                Some(Ok(frame)) => splitter.push(&frame.into_data().unwrap_or_default()),
                Some(Err(_)) => return Left::Lost("connection"),
                None if splitter.has_rest() => return Left::Lost("cut_event"),
                None => return Left::Complete,
            }
            heard = Instant::now();
            let now = self.relay.clock.now();
            source.run.backend.monitor.heard(now);
            while let Some(event) = splitter.next_event() {
                match (event.id, self.last_event) {
                    (Some(id), Some(last)) if id <= last => continue,
                    (Some(id), Some(last)) if id > last + 1 => return Left::Lost("gap"),
                    _ => {}
                }
                if !std::mem::replace(&mut self.begun, true) {
                    source.run.place.read();
                    self.keep_copy(&source.run.backend);
                }
                self.last_event = event.id.or(self.last_event);
                self.event_passed(now);
                if let Some(sight) = source.run.probe.event(now) {
                    let backend = &source.run.backend;
                    self.relay.saw(backend, &self.job.route.name, sight);
                }
                // A caller that no longer reads holds the run until the deadline at most.
                let sending = sender.send(Part::Data(event.bytes));
                match tokio::time::timeout_at(deadline, sending).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Left::Caller,
                    Err(_) => return Left::Deadline,
                }
            }
            if splitter.overflows() {
                return Left::Lost("not_events");
            }
        }
    }

    /// Notes an event that is handed on.
    fn event_passed(&mut self, now: Duration) {
        let pause = now.saturating_sub(self.last_event_at);
        if self.first_event_at.is_none() {
            self.first_event_at = Some(now);
            let took = now.saturating_sub(self.job.began);
            let metrics = &self.relay.metrics;
            metrics.answered(&self.job.route.name, &self.job.service, took);
        } else {
            self.longest_pause = self.longest_pause.max(pause);
        }
        if self.resumes > 0 && pause > self.relay.settings.liveness.silence_limit {
            self.relay.metrics.resume_gap.observe(pause.as_secs_f64());
        }
        self.last_event_at = now;
    }

    /// Logs and counts the end of the stream.
    pub(super) fn ended(&self, status: u16, reason: &'static str) {
        let route = &*self.job.route.name;
        let since = |time: Duration| time.saturating_sub(self.job.began).as_millis();
        self.relay.metrics.end(route, status, reason);
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
            self.relay.metrics.late(route);
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
