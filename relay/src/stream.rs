//! Answers streams: hands on events as they come, and goes on at another server when the one that
//! makes them is lost.
//!
//! Each run that may be resumed has a backup copy of its memory on a server of another failure
//! domain from its start, so that going on costs no second reading of the prompt.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Response, StatusCode};
use medlarfall_coordination::balance::Load;
use medlarfall_coordination::routing::Kind;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::answer::{Content, Part, Reason, Refusal};
use crate::attempt::{self, Answer, Failure, Guard};
use crate::copy::{self, Keeper};
use crate::dialect::{Copy, Dialect, Send};
use crate::events::Splitter;
use crate::intake::Job;
use crate::monitor::{self, Subscription};
use crate::prompt_cache;
use crate::state::{Backend, Measure, Relay, Wanted};

/// Events that wait for a slow caller: a whole answer of usual size.
const EVENTS_WAITING: usize = 256;

/// Load, in runs, that a server in another failure domain counts for.
const DISTANCE: f64 = 1.0;

/// Longest wait for the first event of a send at a server that lives, after which its connection
/// is taken for dead. Reading a prompt takes a second or two, and that of others before it as long.
const FIRST_EVENT: Duration = Duration::from_millis(5_000);

/// When a request may come back that found no server, or only full ones.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(300);

/// Longest wait for a server of the service to be known, as a part of the target latency.
const SERVER_WAIT_PART: u32 = 8;

/// Sends that reached no server, or that servers refused, in a row until the search ends.
const REFUSALS: u32 = 6;

/// A run at a server.
struct Run<D: Dialect> {
    backend: Arc<Backend>,
    subscription: Subscription,
    place: Place<D>,
}

/// A stream's place at a server, counted until this is dropped.
struct Place<D: Dialect> {
    relay: Arc<Relay<D>>,
    backend: Arc<Backend>,
    reading: bool,
}

impl<D: Dialect> Place<D> {
    fn take(relay: &Arc<Relay<D>>, backend: &Arc<Backend>) -> Self {
        backend.load(Load::reading_started);
        backend.streams.fetch_add(1, Ordering::Relaxed);
        relay.streams_changed.notify_one();
        Self {
            relay: Arc::clone(relay),
            backend: Arc::clone(backend),
            reading: true,
        }
    }

    /// Notes that the prompt has been read.
    fn read(&mut self) {
        if std::mem::take(&mut self.reading) {
            self.backend.load(Load::reading_ended);
            self.relay.streams_changed.notify_one();
        }
    }
}

impl<D: Dialect> Drop for Place<D> {
    fn drop(&mut self) {
        self.read();
        self.backend.streams.fetch_sub(1, Ordering::Relaxed);
        self.relay.streams_changed.notify_one();
    }
}

/// A stream that is being answered.
struct Stream<D: Dialect> {
    relay: Arc<Relay<D>>,
    job: Job,
    last_event: Option<u64>,
    lost: Vec<Arc<str>>,
    lost_domain: Option<Arc<str>>,
    backup: Option<Arc<Backend>>,
    keeper: Option<Keeper>,
    begun: bool,
    paid: bool,
    arrivals: u32,
    ran: u32,
    resumes: u32,
    silences: u32,
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    longest_pause: Duration,
}

/// A server's answer, and the run that makes it.
struct Opened<D: Dialect> {
    run: Run<D>,
    answer: Answer,
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

/// Answers a stream.
pub async fn answer<D: Dialect>(relay: &Arc<Relay<D>>, job: Job) -> Response<Content> {
    let deadline = relay.clock.instant(job.deadline);
    let mut stream = Stream::new(Arc::clone(relay), job);
    let opened = tokio::time::timeout_at(deadline, stream.open()).await;
    let opened = opened.unwrap_or_else(|_| {
        Err(Refusal::new(match stream.ran {
            0 => Reason::TooLate,
            _ => Reason::TimedOut,
        }))
    });
    match opened {
        Ok(opened) => stream.respond(opened).await,
        Err(refusal) => {
            stream.ended(refusal.reason.status().as_u16(), refusal.reason.name());
            refusal.response(&relay.dialect, Some(&stream.job.original.request_id))
        }
    }
}

impl<D: Dialect> Stream<D> {
    fn new(relay: Arc<Relay<D>>, job: Job) -> Self {
        Self {
            last_event: job.caller.last_event,
            lost: Vec::new(),
            lost_domain: None,
            backup: None,
            keeper: None,
            begun: false,
            paid: false,
            arrivals: 0,
            ran: 0,
            resumes: 0,
            silences: 0,
            first_event_at: None,
            last_event_at: job.began,
            longest_pause: Duration::ZERO,
            relay,
            job,
        }
    }

    fn resumable(&self) -> bool {
        self.job.route.kind == Kind::ResumableStream
    }

    /// Returns whether the service's servers keep backup copies.
    fn backups(&self) -> bool {
        let service = self.job.table.service(&self.job.service);
        self.resumable() && service.is_some_and(|service| service.backups)
    }

    fn wanted<'this>(&'this self, outside: &'this [Arc<str>]) -> Wanted<'this> {
        Wanted {
            service: &self.job.service,
            not: &self.lost,
            outside,
            distance: DISTANCE,
            measure: Measure::Streams,
            lot: self.job.lot(),
        }
    }

    /// Opens the stream at a server, or at several in turn.
    async fn open(&mut self) -> Result<Opened<D>, Refusal> {
        let mut refusals = 0;
        let mut holder = self.prompt_holder().await;
        loop {
            let found = holder.take().map(|backend| (backend, None));
            let next = match found {
                Some(found) => Some(found),
                None => self.next().await,
            };
            let (backend, copy) = next.ok_or_else(|| self.refusal())?;
            if !self.pay() {
                return Err(match self.ran {
                    0 => Refusal::come_back(Reason::RetryBudget, NO_SERVER_PAUSE),
                    _ => Refusal::new(Reason::Lost),
                });
            }
            match self.send(&backend, copy).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => {
                    self.note(&backend, &failure);
                    refusals += 1;
                }
            }
            if refusals >= REFUSALS || (self.ran > 0 && !self.may_repeat()) {
                return Err(self.refusal());
            }
        }
    }

    /// Returns the server that has read the prompt of a stream that its caller goes on with.
    async fn prompt_holder(&self) -> Option<Arc<Backend>> {
        let first = self.arrivals == 0 && self.resumable();
        let resumed = self.job.caller.last_event.filter(|_| first);
        let part = resumed.and(self.job.caller.last_part.as_deref())?;
        prompt_cache::holder(&self.relay, &self.job.service, part).await
    }

    /// Takes a repeat from the budget for each arrival at a server after the first.
    fn pay(&mut self) -> bool {
        self.paid |= self.arrivals == 0 || self.relay.take_retry(&self.job.service);
        self.paid
    }

    /// Notes that the request arrived at a server.
    fn arrived(&mut self) {
        self.arrivals += 1;
        self.paid = false;
    }

    fn may_repeat(&self) -> bool {
        self.resumable() && self.ran < self.job.route.attempts
    }

    fn refusal(&self) -> Refusal {
        match self.ran {
            0 => Refusal::come_back(Reason::NoServer, NO_SERVER_PAUSE),
            _ => Refusal::new(Reason::Lost),
        }
    }

    /// Notes a send that failed.
    fn note(&mut self, backend: &Arc<Backend>, failure: &Failure) {
        self.lost.push(Arc::clone(&backend.server.id));
        match failure {
            Failure::NotSent { .. } => {}
            Failure::NotRun { .. } => self.arrived(),
            Failure::Lost { .. } => {
                self.arrived();
                self.ran += 1;
                self.lost_domain = Some(Arc::clone(&backend.server.failure_domain));
            }
        }
        log::info!(
            request = &*self.job.original.request_id, server = &*backend.server.id,
            failure_domain = &*backend.server.failure_domain,
            last_event = self.last_event.unwrap_or(0), reason = failure.to_string().as_str();
            "send failed"
        );
    }

    /// Chooses the next server: the one with the run's copy, else any; waits a little for one
    /// where none is known.
    async fn next(&mut self) -> Option<(Arc<Backend>, Option<Copy>)> {
        if let Some(copied) = self.take_copy() {
            return Some(copied);
        }
        let lost_domain: Vec<Arc<str>> = self.lost_domain.iter().cloned().collect();
        if let Some(backend) = self.relay.choose(self.wanted(&lost_domain)) {
            return Some((backend, None));
        }
        // All that are known have failed: they may be back by now.
        self.lost.clear();
        let wait = self.job.route.target_latency / SERVER_WAIT_PART;
        let wanted = self.wanted(&[]);
        let mut changed = self.relay.changed.subscribe();
        let known = changed.wait_for(|_| self.relay.choose(wanted).is_some());
        let _ = tokio::time::timeout(wait, known).await;
        Some((self.relay.choose(wanted)?, None))
    }

    /// Takes the run's copy, if there is one and its holder still has it. A run that has made no
    /// event has none.
    fn take_copy(&mut self) -> Option<(Arc<Backend>, Option<Copy>)> {
        let keeper = self.keeper.take();
        let backup = self.backup.take();
        if !self.begun {
            return None;
        }
        if let Some(keeper) = keeper.filter(|keeper| self.relay.listed(&keeper.holder)) {
            let copy = keeper.copy();
            let holder = Arc::clone(&keeper.holder);
            return copy.map(|copy| (holder, Some(copy)));
        }
        let backup = backup.filter(|backup| self.relay.listed(backup))?;
        let copy = Copy {
            holder: backup.server.address,
            handle: Arc::clone(&self.job.original.request_id),
        };
        Some((backup, Some(copy)))
    }

    /// Has the run's memory copied elsewhere if the server that held the copy has gone.
    fn keep_copy(&mut self, source: &Arc<Backend>) {
        let holder = match (&self.keeper, &self.backup) {
            (Some(keeper), _) => &keeper.holder,
            (None, Some(backup)) => backup,
            (None, None) => return,
        };
        if self.relay.current(holder) || !self.relay.current(source) {
            return;
        }
        self.backup = None;
        self.keeper = self.choose_backup(source).map(|holder| {
            let request_id = &self.job.original.request_id;
            copy::keep(&self.relay, request_id, source, holder)
        });
    }

    /// Chooses a server in another failure domain to keep a backup copy.
    fn choose_backup(&self, primary: &Backend) -> Option<Arc<Backend>> {
        if !self.backups() {
            return None;
        }
        let mut not = self.lost.clone();
        not.push(Arc::clone(&primary.server.id));
        let mut outside = vec![Arc::clone(&primary.server.failure_domain)];
        outside.extend(self.lost_domain.clone());
        let wanted = Wanted {
            not: &not,
            lot: self.job.lot().rotate_left(17),
            ..self.wanted(&outside)
        };
        let backup = self.relay.choose(Wanted {
            distance: 0.0,
            ..wanted
        })?;
        let apart = backup.server.failure_domain != primary.server.failure_domain;
        apart.then_some(backup)
    }

    /// Sends the request to a server and waits for the head of its answer.
    async fn send(
        &mut self,
        backend: &Arc<Backend>,
        copy: Option<Copy>,
    ) -> Result<Opened<D>, Failure> {
        let began = self.relay.clock.now();
        let backup = self.choose_backup(backend);
        let send = Send {
            server: Arc::clone(&backend.server),
            account: self.job.account.as_ref().map(|a| Arc::clone(&a.name)),
            priority: self.job.priority(),
            remains: self.job.deadline.saturating_sub(began),
            backup: backup.as_ref().map(|backup| backup.server.address),
            copy,
            last_event: self.last_event,
        };
        log::info!(
            request = &*self.job.original.request_id, server = &*backend.server.id,
            failure_domain = &*backend.server.failure_domain,
            load = self.relay.stream_load(backend), own = backend.load(|load| load.own()),
            backup = backup.as_ref().map_or("", |backup| &*backup.server.id),
            copy = send.copy.as_ref().map_or("", |copy| &*copy.handle),
            last_event = self.last_event.unwrap_or(0);
            "stream sent"
        );
        let place = Place::take(&self.relay, backend);
        let mut subscription = monitor::subscribe(&self.relay, backend);
        let relay = Arc::clone(&self.relay);
        let silent = Instant::now() + FIRST_EVENT;
        let answer = tokio::select! {
            answer = attempt::send(&relay, backend, &self.job.original, &send) => answer,
            () = subscription.lost() => lost("the server was lost"),
            () = tokio::time::sleep_until(silent) => lost("no answer, though the server lives"),
        };
        if answer.is_ok() {
            self.backup = backup;
            self.begun = false;
        }
        Ok(Opened {
            answer: answer?,
            run: Run {
                backend: Arc::clone(backend),
                subscription,
                place,
            },
        })
    }

    /// Begins the answer to the caller, and hands on the events on a task of its own.
    async fn respond(mut self, opened: Opened<D>) -> Response<Content> {
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
            let Ok(opened) = opened else {
                return Left::Lost(cause);
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
            let bound = match self.begun {
                true => self.relay.settings.liveness.stream * 2_u32.pow(self.silences.min(3)),
                false => FIRST_EVENT,
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
                if sender.send(Part::Data(event.bytes)).await.is_err() {
                    return Left::Caller;
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
            self.relay.metrics.answered(&self.job.route.name, took);
        } else {
            self.longest_pause = self.longest_pause.max(pause);
        }
        if self.resumes > 0 && pause > self.relay.settings.liveness.quiet {
            self.relay.metrics.resume_gap.observe(pause.as_secs_f64());
        }
        self.last_event_at = now;
    }

    /// Logs and counts the end of the stream.
    fn ended(&self, status: u16, reason: &'static str) {
        let route = &*self.job.route.name;
        let since = |time: Duration| time.saturating_sub(self.job.began).as_millis();
        self.relay.metrics.end(route, status, reason);
        log::info!(
            request = &*self.job.original.request_id, route, status, reason,
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

/// Where a stream's events come from.
struct Source<D: Dialect> {
    body: Incoming,
    run: Run<D>,
    #[expect(dead_code, reason = "dropped with the source, which ends the connection")]
    guard: Guard,
}

fn lost(reason: &str) -> Result<Answer, Failure> {
    Err(Failure::Lost {
        reason: reason.to_owned(),
    })
}
