//! The task that drives moves: it collects evidence, advances a move to its next stage or brakes it,
//! and stores the outcome.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::evidence::{Cohort, Evidence};
use medlarfall_coordination::membership::Member;
use medlarfall_coordination::rollout::{Phase, Record};
use medlarfall_coordination::schedule::{Decision, Progress};
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use super::server_failures::ServerFailures;
use super::{Mailbox, Message, PREFIX, Sample, View, is_pending, store, unix_ms};
use crate::context::Context;
use crate::modules::peers::CALL_TIMEOUT;
use crate::platform::{Error, Item, Store};

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Peers to which each entry announces a braked or ended move.
const ANNOUNCE_FANOUT: usize = 8;

/// A move that this entry tracks.
#[derive(Debug)]
struct Tracked {
    record: Record,
    evidence: Evidence,
    /// Start of the current stage, by the entry's clock.
    stage_started: Duration,
    /// Whether a write of this move to the store is in progress.
    write_in_progress: bool,
    /// Earliest start of the next write, by the entry's clock.
    write_after: Duration,
    server_failures: ServerFailures,
}

/// Starts the task that watches the store and drives the moves.
pub fn start(context: &Arc<Context>, mailbox: Mailbox) {
    let driver = Driver {
        context: Arc::clone(context),
        messages: context.moves.messages.clone(),
        view: mailbox.view,
        tracked: BTreeMap::new(),
    };
    let stop = context.stop.clone();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = watch_store(&context) => {}
            () = driver.run(mailbox.messages) => {}
        }
    });
}

/// Lists the stored moves and watches their changes; starts again after each failed call.
async fn watch_store(context: &Context) {
    loop {
        if let Err(error) = list_and_watch(context).await {
            log::warn!(error = error.to_string().as_str(); "moves could not be read from the store; continuing with the known ones");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Lists the stored moves, then watches their changes until a call fails.
async fn list_and_watch(context: &Context) -> Result<(), Error> {
    let listing = context.platform.list(PREFIX).await?;
    for Item { value, .. } in &listing.items {
        send_stored(context, value).await;
    }
    let mut revision = listing.revision;
    loop {
        let timeout = context.settings.platform.watch_timeout;
        let changes = context.platform.watch(PREFIX, revision, timeout).await?;
        let values = changes.changes.iter();
        for value in values.filter_map(|change| change.value.as_deref()) {
            send_stored(context, value).await;
        }
        revision = changes.revision;
    }
}

/// Sends a stored value to the driver; skips one that cannot be parsed.
async fn send_stored(context: &Context, value: &str) {
    match serde_json::from_str(value) {
        Ok(record) => context.moves.send(Message::Stored(record)).await,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "stored move could not be parsed; ignoring it");
        }
    }
}

/// The state of the task that drives moves.
#[derive(Debug)]
struct Driver {
    context: Arc<Context>,
    messages: mpsc::Sender<Message>,
    view: tokio::sync::watch::Sender<Arc<View>>,
    tracked: BTreeMap<Arc<str>, Tracked>,
}

impl Driver {
    /// Handles messages and evaluates all moves at each tick; never returns.
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(self.context.settings.moves.interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(message) = messages.recv() => self.handle(message),
                _ = ticks.tick() => self.evaluate_all(),
            }
        }
    }

    /// Handles one message.
    fn handle(&mut self, message: Message) {
        match message {
            Message::Observed(sample) => self.observe(&sample),
            Message::Stored(record) | Message::Received(record) => self.merge(record),
            Message::Written(service, record) => {
                if let Some(tracked) = self.tracked.get_mut(&service) {
                    tracked.write_in_progress = false;
                    let failed = record.is_none();
                    tracked.write_after = self.context.clock.now()
                        + if failed { RETRY_PAUSE } else { Duration::ZERO };
                }
                if let Some(record) = record {
                    self.merge(record);
                }
            }
        }
    }

    /// Merges a record into the known one and publishes the result if it changed.
    fn merge(&mut self, record: Record) {
        let now = self.context.clock.now();
        let service = Arc::clone(&record.service);
        let Some(tracked) = self.tracked.get_mut(&service) else {
            let tracked = self.track(record, now);
            self.tracked.insert(Arc::clone(&service), tracked);
            self.publish(&service);
            return;
        };
        let joined = tracked.record.clone().join(record);
        if joined == tracked.record {
            return;
        }
        if joined.number == tracked.record.number {
            tracked.evidence.begin_stage(joined.at_last_stage());
            tracked.stage_started = now;
            tracked.record = joined;
        } else {
            let write_in_progress = tracked.write_in_progress;
            let fresh = self.track(joined, now);
            self.tracked.insert(
                Arc::clone(&service),
                Tracked {
                    write_in_progress,
                    ..fresh
                },
            );
        }
        self.publish(&service);
    }

    /// Returns the initial state of a tracked move.
    fn track(&self, record: Record, now: Duration) -> Tracked {
        let stages = u32::try_from(record.plan.shares.len()).unwrap_or(u32::MAX);
        let mut evidence = Evidence::new(self.context.settings.moves.tolerance, stages);
        evidence.begin_stage(record.at_last_stage());
        Tracked {
            record,
            evidence,
            stage_started: now,
            write_in_progress: false,
            write_after: Duration::ZERO,
            server_failures: ServerFailures::default(),
        }
    }

    /// Publishes the record of a service in the view, and announces it to peers unless it is still in
    /// a stage.
    fn publish(&self, service: &Arc<str>) {
        let Some(tracked) = self.tracked.get(service) else {
            return;
        };
        let record = &tracked.record;
        log::info!(service = service.as_ref(), id = record.id.as_ref(), phase = format!("{:?}", record.phase).as_str(); "move");
        self.view.send_modify(|view| {
            Arc::make_mut(view).insert(Arc::clone(service), Arc::new(record.clone()));
        });
        if !matches!(record.phase, Phase::Stage(_)) {
            self.announce(record);
        }
    }

    /// Announces a record to some peers, which announce it to others in turn. Entries that are not
    /// reached this way read it from the store.
    fn announce(&self, record: &Record) {
        let membership = Arc::clone(&self.context.membership.view().borrow());
        let members: Vec<&Member> = membership.up().collect();
        let chosen = members.choose_multiple(&mut rand::rng(), ANNOUNCE_FANOUT);
        for address in chosen.map(|member| member.address) {
            let context = Arc::clone(&self.context);
            let record = record.clone();
            tokio::spawn(async move {
                let announced =
                    context
                        .peers
                        .call(address, CALL_TIMEOUT, |peer, call| async move {
                            peer.moved(call, record).await
                        });
                if let Err(error) = announced.await {
                    log::debug!(error = error.to_string().as_str(); "announcing a move to a peer failed");
                }
            });
        }
    }

    /// Adds a sample to the evidence, and brakes immediately if the evidence rejects the new version.
    fn observe(&mut self, sample: &Sample) {
        let now = self.context.clock.now();
        let sole_server = self.is_sole_server(sample);
        let Some(tracked) = self.tracked.get_mut(&sample.service) else {
            return;
        };
        let current = tracked.record.number == sample.number
            && matches!(tracked.record.phase, Phase::Stage(_));
        if !current || tracked.server_failures.explains(sample, sole_server, now) {
            return;
        }
        tracked.evidence.observe(&sample.observation);
        if sample.observation.cohort == Cohort::Canary
            && let Some(reason) = tracked.evidence.rejection()
        {
            self.brake(&sample.service, &reason);
        }
    }

    /// Returns whether at most one backend server serves the version of a sample.
    fn is_sole_server(&self, sample: &Sample) -> bool {
        let Some(tracked) = self.tracked.get(&sample.service) else {
            return true;
        };
        let version = match sample.observation.cohort {
            Cohort::Baseline => &tracked.record.from,
            Cohort::Canary => &tracked.record.to,
        };
        let directory = Arc::clone(&self.context.directory.borrow());
        let servers = directory.servers(&sample.service).iter();
        let mut serving = servers.filter(|server| server.version == *version && !server.leaving);
        serving.nth(1).is_none()
    }

    /// Stops sending requests to the new version at this entry, and starts to store the brake.
    fn brake(&mut self, service: &Arc<str>, reason: &str) {
        let Some(tracked) = self.tracked.get(service) else {
            return;
        };
        let braked = tracked.record.clone().brake(reason);
        self.merge(braked);
        self.evaluate(service);
    }

    /// Evaluates every move.
    fn evaluate_all(&mut self) {
        let services: Vec<Arc<str>> = self.tracked.keys().cloned().collect();
        for service in services {
            self.evaluate(&service);
        }
    }

    /// Takes the next step of a move, if one is due.
    fn evaluate(&mut self, service: &Arc<str>) {
        let Some(tracked) = self.tracked.get(service) else {
            return;
        };
        let declarations = Arc::clone(&self.context.declarations.borrow());
        let declaration = declarations.service(service).cloned();
        match tracked.record.phase {
            Phase::Stage(_) => {
                let other = declaration.filter(|service| !is_pending(&tracked.record, service));
                if let Some(other) = other {
                    let reason = format!("version `{}` was declared meanwhile", other.version);
                    return self.brake(service, &reason);
                }
                self.evaluate_stage(service);
            }
            Phase::Braked { .. } if tracked.may_write(self.context.clock.now()) => {
                let record = tracked.record.clone();
                self.announce(&record);
                self.write(record);
            }
            Phase::Done
                if declaration.is_some_and(|service| is_pending(&tracked.record, &service)) =>
            {
                let record = tracked.record.clone();
                self.declare(record);
            }
            Phase::Braked { .. } | Phase::Done | Phase::TakenBack { .. } => {}
        }
    }

    /// Advances, brakes or keeps a move that is in a stage.
    fn evaluate_stage(&mut self, service: &Arc<str>) {
        let Some(tracked) = self.tracked.get(service) else {
            return;
        };
        let Phase::Stage(stage) = tracked.record.phase else {
            return;
        };
        let remaining_ms = tracked.record.deadline_ms.saturating_sub(unix_ms());
        let decision = tracked.record.plan.decide(Progress {
            stage,
            in_stage: self
                .context
                .clock
                .now()
                .saturating_sub(tracked.stage_started),
            remaining: Duration::from_millis(remaining_ms),
            requests: tracked.evidence.requests(),
            proved: tracked.evidence.unproved().is_none() && !tracked.evidence.suspect(),
        });
        match decision {
            Decision::Stay => {}
            Decision::Revert => {
                let gap = tracked.evidence.unproved();
                let gap = gap.map(|gap| format!(": {gap}")).unwrap_or_default();
                let reason = format!("it could not be proved sound by its deadline{gap}");
                self.brake(service, &reason);
            }
            Decision::Advance => {
                let record = tracked.record.clone().advance();
                self.write(record);
            }
        }
    }

    /// Writes a record to the store unless a write is in progress, and sends the driver the record
    /// that is then stored.
    fn write(&mut self, record: Record) {
        self.in_background(record, |context, record| async move {
            match store::write(&context.platform, &record).await {
                Ok(stored) => Some(stored),
                Err(error) => {
                    log::warn!(service = record.service.as_ref(), error = error.to_string().as_str(); "move could not be written to the store; retrying");
                    None
                }
            }
        });
    }

    /// Declares the version of a completed move, unless a write is in progress.
    fn declare(&mut self, record: Record) {
        self.in_background(record, |context, record| async move {
            let declared = store::declare(&context.platform, &record).await;
            if let Err(error) = declared {
                log::warn!(service = record.service.as_ref(), error = error.to_string().as_str(); "version of a completed move could not be declared; retrying");
            }
            None
        });
    }

    /// Runs a write of a service's record in a task of its own, one at a time per service.
    fn in_background<F>(&mut self, record: Record, write: impl FnOnce(Arc<Context>, Record) -> F)
    where
        F: Future<Output = Option<Record>> + Send + 'static,
    {
        let now = self.context.clock.now();
        let service = Arc::clone(&record.service);
        let tracked = self.tracked.get_mut(&service);
        let Some(tracked) = tracked.filter(|tracked| tracked.may_write(now)) else {
            return;
        };
        tracked.write_in_progress = true;
        let stop = self.context.stop.clone();
        let messages = self.messages.clone();
        let write = write(Arc::clone(&self.context), record);
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                stored = write => {
                    let _ = messages.send(Message::Written(service, stored)).await;
                }
            }
        });
    }
}

impl Tracked {
    /// Returns whether a write may start now.
    fn may_write(&self, now: Duration) -> bool {
        !self.write_in_progress && self.write_after <= now
    }
}
