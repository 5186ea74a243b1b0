//! Answers streams: hands on events as they come, and goes on at another server when the one that
//! makes them is lost.
//!
//! Each run that may be resumed has a backup copy of its memory on a server of another failure
//! domain from its start, so that going on costs no second reading of the prompt.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use medlarfall_coordination::routing::Kind;
use tokio::time::Instant;

use crate::answer::{Content, Reason, Refusal};
use crate::attempt::{self, Answer, Failure};
use crate::copy::Keeper;
use crate::dialect::{Copy, Dialect, Send};
use crate::intake::Job;
use crate::metrics::Open;
use crate::monitor::{self, Subscription};
use crate::prompt_cache;
use crate::rediscover;
use crate::state::{Backend, Measure, Relay, Sight, Wanted};

use self::place::Place;
use self::probe::Probe;

mod copies;
mod passing;
mod place;
mod probe;

/// Load, in runs, that a server in another failure domain counts for.
const DISTANCE: f64 = 1.0;

/// Longest wait for the first event of a send at a server that lives, after which its connection
/// is taken for dead. Reading a prompt takes a second or two, and that of others before it as long.
const FIRST_EVENT: Duration = Duration::from_secs(5);

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
    /// Shows what the run says of the server's version.
    probe: Probe,
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
    /// Whether a server may be at work on a send whose outcome is not known.
    offered: bool,
    paid: bool,
    arrivals: u32,
    ran: u32,
    resumes: u32,
    silences: u32,
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    longest_pause: Duration,
    /// Counts the stream as open.
    _open: Open,
}

/// A server's answer, and the run that makes it.
struct Opened<D: Dialect> {
    run: Run<D>,
    answer: Answer,
}

/// Answers a stream.
pub async fn answer<D: Dialect>(relay: &Arc<Relay<D>>, job: Job) -> Response<Content> {
    let deadline = relay.clock.instant(job.deadline);
    let mut stream = Stream::new(Arc::clone(relay), job);
    let opened = tokio::time::timeout_at(deadline, stream.open()).await;
    let opened = opened.unwrap_or_else(|_| {
        let reason = if stream.ran > 0 || stream.offered {
            Reason::TimedOut
        } else {
            Reason::TooLate
        };
        Err(Refusal::new(reason))
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
            offered: false,
            paid: false,
            arrivals: 0,
            ran: 0,
            resumes: 0,
            silences: 0,
            first_event_at: None,
            last_event_at: job.began,
            longest_pause: Duration::ZERO,
            _open: relay.metrics.open("stream"),
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
            side: if self.arrivals == 0 && self.lost.is_empty() {
                self.job.side
            } else {
                self.relay.repeat_side(&self.job.service)
            },
            version: None,
            lot: self.job.lot(),
        }
    }

    /// Opens the stream at a server, or at several in turn.
    async fn open(&mut self) -> Result<Opened<D>, Refusal> {
        let mut refusals = 0;
        let mut holder = self.prompt_holder().await;
        loop {
            let found = holder.take().map(|backend| (backend, None));
            let cached = found.is_some();
            let next = match found {
                Some(found) => Some(found),
                None => self.next().await,
            };
            let (chosen, copy) = next.ok_or_else(|| self.refusal())?;
            let Some(backend) = self.confirm(&chosen, copy.as_ref()).await else {
                refusals += 1;
                if refusals >= REFUSALS {
                    return Err(self.refusal());
                }
                continue;
            };
            if !self.pay() {
                return Err(match self.ran {
                    0 => Refusal::come_back(Reason::RetryBudget, NO_SERVER_PAUSE),
                    _ => Refusal::new(Reason::Lost),
                });
            }
            match self.send(&backend, copy, cached).await {
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

    /// Returns the server that a send goes to that was meant for `chosen`, unless nothing is there, or
    /// the run's copy has gone with the server that held it.
    async fn confirm(
        &mut self,
        chosen: &Arc<Backend>,
        copy: Option<&Copy>,
    ) -> Option<Arc<Backend>> {
        let there = rediscover::confirm(&self.relay, chosen).await;
        let same = |there: &Arc<Backend>| there.server.id == chosen.server.id;
        let there = there.filter(|there| same(there) || copy.is_none());
        if there.is_none() {
            self.lost.push(Arc::clone(&chosen.server.id));
        }
        there
    }

    /// Returns the server that has read the prompt of a stream that its caller goes on with.
    async fn prompt_holder(&self) -> Option<Arc<Backend>> {
        let first = self.arrivals == 0 && self.resumable();
        let resumed = self.job.caller.last_event.filter(|_| first);
        let part = resumed.and(self.job.caller.last_part.as_deref())?;
        let request_id = &self.job.original.request_id;
        let lot = self.job.lot();
        prompt_cache::holder(&self.relay, &self.job.service, request_id, part, lot).await
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
        self.offered = false;
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

    /// Notes that a server failed the stream while it lived.
    fn failed_at(&self, backend: &Backend) {
        let sight = Sight {
            failed: Some(true),
            ..Sight::default()
        };
        self.relay.saw(backend, &self.job.route.name, sight);
    }

    /// Sends the request to a server, which may have its prompt in its cache, and waits for the head
    /// of its answer.
    async fn send(
        &mut self,
        backend: &Arc<Backend>,
        copy: Option<Copy>,
        cached: bool,
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
            load = self.relay.stream_load(backend), own = backend.load(|load| load.own_requests()),
            backup = backup.as_ref().map_or("", |backup| &*backup.server.id),
            copy = send.copy.as_ref().map_or("", |copy| &*copy.handle),
            last_event = self.last_event.unwrap_or(0);
            "stream sent"
        );
        let reading = !cached && send.copy.is_none();
        let place = Place::take(&self.relay, backend, reading);
        let mut subscription = monitor::subscribe(&self.relay, backend);
        let relay = Arc::clone(&self.relay);
        let silent = Instant::now() + FIRST_EVENT;
        self.offered = true;
        let answer = tokio::select! {
            answer = attempt::send(&relay, backend, &self.job.original, &send) => answer,
            () = subscription.lost() => lost("the server was lost"),
            () = tokio::time::sleep_until(silent) => {
                self.failed_at(backend);
                lost("no answer, though the server lives")
            }
        };
        if let Ok(answer) = &answer {
            if answer.response.status().is_server_error() {
                self.failed_at(backend);
            }
            self.backup = backup;
            self.begun = false;
        }
        Ok(Opened {
            answer: answer?,
            run: Run {
                backend: Arc::clone(backend),
                subscription,
                place,
                probe: Probe::new(began),
            },
        })
    }
}

fn lost(reason: &str) -> Result<Answer, Failure> {
    Err(Failure::Lost {
        reason: reason.to_owned(),
    })
}
