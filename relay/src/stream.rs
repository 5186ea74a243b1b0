//! Handles streams: forwards events as they arrive, and resumes at another server when the server
//! that makes them is lost.
//!
//! Each run of a resumable stream has a backup of its KV cache on a server of another failure
//! domain from its start, so that a resume needs no second prefill.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use medlarfall_coordination::routing::Kind;
use tokio::time::Instant;

use crate::admission;
use crate::answer::{Content, Reason, Refusal};
use crate::attempt::socket::Transmission;
use crate::attempt::{self, Answer, Failure};
use crate::backup::{Holder, Replacement};
use crate::codec::{Backup, Codec, Dispatch};
use crate::ingress::Job;
use crate::metrics::Open;
use crate::monitor::{self, Subscription};
use crate::state::{Backend, Criteria, Measure, Measurement, Relay};

use self::meter::Meter;
use self::occupancy::{Occupancy, Prompt};
use self::silence::Silence;

mod backups;
mod caller;
mod forwarding;
mod meter;
mod occupancy;
mod refusals;
mod resumption;
mod search;
mod silence;

/// Load, in streams, that is added to servers in another failure domain.
const REMOTE_PENALTY: f64 = 1.0;

/// Retry delay when no server is available or all are at capacity.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(300);

/// Consecutive attempts that reached no server or were refused by one, after which the search ends.
const REFUSAL_LIMIT: u32 = 6;

/// A run of the stream at a server.
struct Run<C: Codec> {
    backend: Arc<Backend>,
    subscription: Subscription,
    /// When the server was lost, if no data has arrived since.
    lost_at: Option<Instant>,
    occupancy: Occupancy<C>,
    /// Measures the run, for the comparison of versions.
    meter: Meter,
    /// Tokens of the prompt, if it was the only one at the server when it was sent.
    idle_prompt: Option<u64>,
}

impl<C: Codec> Run<C> {
    /// Records that data arrived from the server, also from one that was lost and is back.
    fn record_activity(&mut self, relay: &Arc<Relay<C>>) {
        if self.subscription.is_lost() {
            relay.record_response(&self.backend);
            self.subscription = monitor::subscribe(relay, &self.backend);
        }
        self.lost_at = None;
        self.backend.monitor.record_activity(relay.clock.now());
    }
}

/// State of a stream over its runs.
struct Stream<C: Codec> {
    relay: Arc<Relay<C>>,
    job: Arc<Job>,
    last_event: Option<u64>,
    excluded: Vec<Arc<str>>,
    /// Servers that refused the stream in the current search and named no pause.
    refused_by: Vec<Arc<str>>,
    /// Failure domains in which the stream lost a server or could not reach one.
    avoided_domains: Vec<Arc<str>>,
    backup: Option<Holder>,
    replacement: Option<Replacement>,
    /// Events that arrived from the current run.
    run_events: u32,
    /// Whether a server has begun to answer the prompt.
    answered: bool,
    /// Whether the request was counted as one that began to run, here or before the caller resumed it.
    counted: bool,
    retry_withdrawn: bool,
    /// Requests that servers got, or may have got.
    arrivals: u32,
    /// Requests that servers ran, or may have run.
    ran: u32,
    /// The attempt whose response has not begun.
    sending: Option<Transmission>,
    resumes: u32,
    silences: u32,
    first_event_at: Option<Duration>,
    last_event_at: Duration,
    longest_pause: Duration,
    /// Counts the stream as open until it is dropped.
    _open: Open,
}

/// A server's response, and the run behind it.
struct Opened<C: Codec> {
    run: Run<C>,
    answer: Answer,
}

/// Handles a stream.
pub async fn answer<C: Codec>(relay: &Arc<Relay<C>>, job: Job) -> Response<Content> {
    let deadline = relay.clock.instant(job.deadline);
    let mut stream = Stream::new(Arc::clone(relay), job);
    let opening = async {
        // A stream that a caller resumes has had its prompt processed: to reject it would waste that.
        if stream.job.head.last_event.is_none() {
            admission::admit(relay, &stream.job).await?;
        }
        stream.open().await
    };
    let opened = tokio::time::timeout_at(deadline, opening).await;
    let opened = opened.unwrap_or_else(|_| {
        stream.record_unsent();
        Err(match stream.ran {
            0 => Refusal::with_retry(Reason::TooLate, NO_SERVER_PAUSE),
            _ => Refusal::new(Reason::TimedOut),
        })
    });
    match opened {
        Ok(opened) => stream.respond(opened).await,
        Err(refusal) => {
            stream.record_end(refusal.reason.status().as_u16(), refusal.reason.name());
            refusal.response(&relay.codec, Some(&stream.job.original.request_id))
        }
    }
}

impl<C: Codec> Stream<C> {
    fn new(relay: Arc<Relay<C>>, job: Job) -> Self {
        Self {
            last_event: job.head.last_event,
            excluded: Vec::new(),
            refused_by: Vec::new(),
            avoided_domains: Vec::new(),
            backup: None,
            replacement: None,
            run_events: 0,
            answered: false,
            counted: job.head.last_event.is_some_and(|last| last > 0),
            retry_withdrawn: false,
            arrivals: 0,
            ran: 0,
            sending: None,
            resumes: 0,
            silences: 0,
            first_event_at: None,
            last_event_at: job.began,
            longest_pause: Duration::ZERO,
            _open: relay.metrics.open("stream"),
            relay,
            job: Arc::new(job),
        }
    }

    fn resumable(&self) -> bool {
        self.job.route.kind == Kind::ResumableStream
    }

    /// Returns whether the stream has backups: it is resumable and its servers support them.
    fn has_backups(&self) -> bool {
        let service = self.job.table.service(&self.job.service);
        self.resumable() && service.is_some_and(|service| service.backups)
    }

    /// Records that a server processed the prompt, and so has its shared parts in its cache.
    fn record_kept_prompt(&self, backend: &Arc<Backend>) {
        let service = self.job.table.service(&self.job.service);
        let memory = service.map(|service| service.memory_tokens);
        let memory = memory.filter(|tokens| *tokens > 0);
        let shared = &self.job.head.shared_parts;
        self.relay.record_kept_prompt(backend, shared, memory);
    }

    fn criteria<'this>(&'this self, avoided_domains: &'this [Arc<str>]) -> Criteria<'this> {
        Criteria {
            service: &self.job.service,
            excluded: &self.excluded,
            avoided_domains,
            remote_penalty: REMOTE_PENALTY,
            measure: Measure::Streams {
                prompt_tokens: self.job.head.prompt_tokens,
                memory: self.memory_demand(),
            },
            shared_parts: &self.job.head.shared_parts,
            cohort: if self.arrivals == 0 && self.excluded.is_empty() {
                self.job.cohort
            } else {
                self.relay.assign_retry_cohort(&self.job.service)
            },
            version: None,
            request_hash: self.job.request_hash(),
        }
    }

    /// Opens the stream at a server; tries several in turn if needed.
    async fn open(&mut self) -> Result<Opened<C>, Refusal> {
        let mut refusals = 0;
        self.refused_by.clear();
        let mut cache_holder = self.find_cache_holder().await;
        loop {
            if let Some(refusal) = self.quarantine_refusal() {
                return Err(refusal);
            }
            let found = cache_holder.take().map(|backend| (backend, None));
            let cached = found.is_some();
            let next = match found {
                Some(found) => Some(found),
                None => self.next().await,
            };
            let (chosen, resume_from) = next.ok_or_else(|| self.refusal())?;
            let Some(backend) = self.confirm_server(&chosen, resume_from.as_ref()).await else {
                refusals += 1;
                if refusals >= self.refusal_limit() {
                    return Err(self.refusal());
                }
                continue;
            };
            if !self.withdraw_retry() {
                return Err(match self.ran {
                    0 => Refusal::with_retry(Reason::RetryBudget, NO_SERVER_PAUSE),
                    _ => Refusal::new(Reason::Lost),
                });
            }
            match self.send(&backend, resume_from, cached).await {
                Ok(opened) => return Ok(opened),
                Err(failure) => {
                    self.record_failed_attempt(&backend, &failure);
                    refusals += 1;
                }
            }
            if refusals >= self.refusal_limit() || (self.ran > 0 && !self.may_retry()) {
                return Err(self.refusal());
            }
        }
    }

    /// Withdraws a retry from the budget for each arrival at a server after the first. Returns false
    /// if the budget is used up.
    fn withdraw_retry(&mut self) -> bool {
        self.retry_withdrawn =
            self.retry_withdrawn || self.arrivals == 0 || self.relay.take_retry(&self.job.service);
        self.retry_withdrawn
    }

    /// Prefers servers outside a failure domain for the next attempts. If this entry is cut off from
    /// the others, it would otherwise try one unreachable server after another before its own ones.
    fn avoid(&mut self, failure_domain: &Arc<str>) {
        if !self.avoided_domains.contains(failure_domain) {
            self.avoided_domains.push(Arc::clone(failure_domain));
        }
    }

    /// Records that the request is sent to a server, which may run it.
    fn record_sending(&mut self) {
        self.arrivals += 1;
        self.ran += 1;
        self.retry_withdrawn = false;
    }

    /// Takes back the record of an attempt that ends at the deadline before a byte was sent.
    fn record_unsent(&mut self) {
        let sending = self.sending.take();
        if sending.is_some_and(|transmission| transmission.withdraw()) {
            self.arrivals -= 1;
            self.ran -= 1;
        }
    }

    fn may_retry(&self) -> bool {
        self.resumable() && self.ran < self.job.route.attempts
    }

    /// Records and logs a failed attempt.
    fn record_failed_attempt(&mut self, backend: &Arc<Backend>, failure: &Failure) {
        self.excluded.push(Arc::clone(&backend.server.id));
        match failure {
            Failure::NotSent { .. } => {
                self.arrivals -= 1;
                self.ran -= 1;
                self.retry_withdrawn = true;
                self.avoid(&backend.server.failure_domain);
            }
            Failure::NotRun { status, .. } => {
                self.ran -= 1;
                if *status == 503 {
                    admission::record_rejection(&self.relay, &self.job);
                }
                if !self.relay.is_paused(backend) {
                    self.refused_by.push(Arc::clone(&backend.server.id));
                }
            }
            Failure::Lost { disconnected, .. } => {
                if *disconnected {
                    self.record_unanswered(backend);
                }
                self.avoid(&backend.server.failure_domain);
            }
        }
        log::info!(
            request = &*self.job.original.request_id, server = &*backend.server.id,
            failure_domain = &*backend.server.failure_domain, version = &*backend.server.version,
            last_event = self.last_event.unwrap_or(0), parts = self.job.parts_text().as_str(),
            reason = failure.to_string().as_str();
            "send failed"
        );
    }

    /// Records a failure of a live server for the comparison of versions.
    fn record_server_failure(&self, backend: &Backend) {
        let measurement = Measurement {
            failed: Some(true),
            ..Measurement::default()
        };
        self.relay
            .record_measurement(backend, &self.job.route.name, measurement);
    }

    /// Sends the request to a server and waits for the head of its response. `cached` is set
    /// if the server may have the prompt in its cache.
    async fn send(
        &mut self,
        backend: &Arc<Backend>,
        resume_from: Option<Backup>,
        cached: bool,
    ) -> Result<Opened<C>, Failure> {
        let began = self.relay.clock.now();
        let backup = self.choose_backup(backend);
        let backup = backup.map(|backup| self.hold_backup(backup));
        let dispatch = Dispatch {
            server: Arc::clone(&backend.server),
            account: self.job.account.as_ref().map(|a| Arc::clone(&a.name)),
            priority: self.job.priority(),
            remaining: self.job.deadline.saturating_sub(began),
            backup_target: backup.as_ref().map(|backup| backup.backend.server.address),
            resume_from,
            last_event: self.last_event,
        };
        let prefilling = !cached && dispatch.resume_from.is_none();
        let head = &self.job.head;
        let saved = self.relay.kept_tokens(backend, &head.shared_parts);
        if prefilling {
            let length = head.prompt_tokens.unwrap_or(saved);
            self.relay.metrics.prompts.count(length, saved);
        }
        log::info!(
            request = &*self.job.original.request_id, server = &*backend.server.id,
            failure_domain = &*backend.server.failure_domain, version = &*backend.server.version,
            prompt_tokens = head.prompt_tokens.unwrap_or(0), kept_tokens = saved,
            load = self.relay.stream_load(backend), own = backend.load(|load| load.own_requests()),
            backup = backup.as_ref().map_or("", |backup| &*backup.backend.server.id),
            copy = dispatch.resume_from.as_ref().map_or("", |backup| &*backup.handle),
            last_event = self.last_event.unwrap_or(0);
            "stream sent"
        );
        let idle = prefilling && self.relay.measures_prefill(backend);
        let prompt = prefilling.then_some(Prompt {
            tokens: head.prompt_tokens,
            saved,
        });
        let mut run = Run {
            backend: Arc::clone(backend),
            subscription: monitor::subscribe(&self.relay, backend),
            lost_at: None,
            occupancy: Occupancy::start(&self.relay, backend, prompt),
            meter: Meter::new(began),
            idle_prompt: head.prompt_tokens.filter(|_| idle && saved == 0),
        };
        let (relay, job) = (Arc::clone(&self.relay), Arc::clone(&self.job));
        self.run_events = 0;
        self.record_sending();
        let transmission = Transmission::default();
        self.sending = Some(transmission.clone());
        let answer = tokio::select! {
            biased;
            answer = attempt::send(&relay, backend, &job.original, &dispatch, &transmission) => answer,
            silence = self.final_silence(&mut run, Instant::now()) => match silence {
                Silence::Server => lost_answer("the server was lost", true),
                Silence::Run => {
                    self.record_server_failure(backend);
                    lost_answer("no response from a live server in time", false)
                }
            },
            () = relay.to_be_blocked(&job.fingerprint) => {
                lost_answer("requests like this one crash servers", false)
            }
        };
        self.sending = None;
        let answer = answer.map_err(|failure| failure.unless_unsent(&transmission))?;
        if answer.response.status().is_server_error() {
            self.record_server_failure(backend);
        }
        run.record_activity(&relay);
        self.backup = backup;
        Ok(Opened { run, answer })
    }
}

fn lost_answer(reason: &str, disconnected: bool) -> Result<Answer, Failure> {
    Err(Failure::Lost {
        reason: reason.to_owned(),
        disconnected,
    })
}
