//! The task that drives moves: it judges the evidence, brakes, advances and records.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarfall_coordination::evidence::{Cohort, Evidence};
use medlarfall_coordination::membership::Member;
use medlarfall_coordination::rollout::{FULL_SHARE, Phase, Record};
use medlarfall_coordination::schedule::{Decision, Progress};
use rand::seq::IndexedRandom;
use tokio::sync::mpsc;

use super::server_failures::Rows;
use super::{Mailbox, Message, PREFIX, Sample, View, is_pending, store, unix_ms};
use crate::context::Context;
use crate::modules::peers::CALL_TIMEOUT;
use crate::platform::{Error, Item, Store};

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Peers that each entry tells of a brake or an end.
const FANOUT: usize = 8;

/// A move that this entry follows.
#[derive(Debug)]
struct Held {
    record: Record,
    evidence: Evidence,
    since: Duration,
    writing: bool,
    write_after: Duration,
    rows: Rows,
}

/// Starts the tasks that follow the store and drive the moves.
pub fn start(context: &Arc<Context>, mailbox: Mailbox) {
    let driver = Driver {
        context: Arc::clone(context),
        messages: context.moves.messages.clone(),
        view: mailbox.view,
        held: BTreeMap::new(),
    };
    let stop = context.stop.clone();
    let context = Arc::clone(context);
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = keep_current(&context) => {}
            () = driver.run(mailbox.messages) => {}
        }
    });
}

/// Lists the moves, then follows their changes, for ever.
async fn keep_current(context: &Context) {
    loop {
        if let Err(error) = follow(context).await {
            log::warn!(error = error.to_string().as_str(); "the moves cannot be read; those known stay");
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

/// Lists the moves, then follows their changes until a call fails.
async fn follow(context: &Context) -> Result<(), Error> {
    let listing = context.platform.list(PREFIX).await?;
    for Item { value, .. } in &listing.items {
        stored(context, value).await;
    }
    let mut revision = listing.revision;
    loop {
        let timeout = context.settings.platform.watch_timeout;
        let changes = context.platform.watch(PREFIX, revision, timeout).await?;
        let values = changes.changes.iter();
        for value in values.filter_map(|change| change.value.as_deref()) {
            stored(context, value).await;
        }
        revision = changes.revision;
    }
}

/// Tells the driver of a value in the store.
async fn stored(context: &Context, value: &str) {
    match serde_json::from_str(value) {
        Ok(record) => context.moves.send(Message::Stored(record)).await,
        Err(error) => {
            log::error!(error = error.to_string().as_str(); "a stored move cannot be read");
        }
    }
}

/// Drives the moves.
#[derive(Debug)]
struct Driver {
    context: Arc<Context>,
    messages: mpsc::Sender<Message>,
    view: tokio::sync::watch::Sender<Arc<View>>,
    held: BTreeMap<Arc<str>, Held>,
}

impl Driver {
    /// Takes messages and looks at the evidence, for ever.
    async fn run(mut self, mut messages: mpsc::Receiver<Message>) {
        let mut ticks = tokio::time::interval(self.context.settings.moves.interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(message) = messages.recv() => self.take(message),
                _ = ticks.tick() => self.look_at_all(),
            }
        }
    }

    /// Takes one message.
    fn take(&mut self, message: Message) {
        match message {
            Message::Observed(sample) => self.observe(&sample),
            Message::Stored(record) | Message::Received(record) => self.learn(record),
            Message::Written(service, record) => {
                if let Some(held) = self.held.get_mut(&service) {
                    held.writing = false;
                    let failed = record.is_none();
                    held.write_after = self.context.clock.now()
                        + if failed { RETRY_PAUSE } else { Duration::ZERO };
                }
                if let Some(record) = record {
                    self.learn(record);
                }
            }
        }
    }

    /// Merges a record into what is known and publishes it if that changed.
    fn learn(&mut self, record: Record) {
        let now = self.context.clock.now();
        let service = Arc::clone(&record.service);
        let Some(held) = self.held.get_mut(&service) else {
            let held = self.hold(record, now);
            self.held.insert(Arc::clone(&service), held);
            self.publish(&service);
            return;
        };
        let joined = held.record.clone().join(record);
        if joined == held.record {
            return;
        }
        if joined.number == held.record.number {
            held.evidence.begin_stage(joined.share() == FULL_SHARE);
            held.since = now;
            held.record = joined;
        } else {
            let writing = held.writing;
            let fresh = self.hold(joined, now);
            self.held
                .insert(Arc::clone(&service), Held { writing, ..fresh });
        }
        self.publish(&service);
    }

    /// Returns a move that is followed from now on.
    fn hold(&self, record: Record, now: Duration) -> Held {
        let stages = u32::try_from(record.plan.shares.len()).unwrap_or(u32::MAX);
        let mut evidence = Evidence::new(self.context.settings.moves.tolerance, stages);
        evidence.begin_stage(record.share() == FULL_SHARE);
        Held {
            record,
            evidence,
            since: now,
            writing: false,
            write_after: Duration::ZERO,
            rows: Rows::default(),
        }
    }

    /// Publishes the record of a service.
    fn publish(&self, service: &Arc<str>) {
        let Some(held) = self.held.get(service) else {
            return;
        };
        let record = &held.record;
        log::info!(service = service.as_ref(), id = record.id.as_ref(), phase = format!("{:?}", record.phase).as_str(); "move");
        self.view.send_modify(|view| {
            Arc::make_mut(view).insert(Arc::clone(service), Arc::new(record.clone()));
        });
        if !matches!(record.phase, Phase::Stage(_)) {
            self.spread(record);
        }
    }

    /// Tells some peers of a record, who tell others in turn; the store reaches those left out.
    fn spread(&self, record: &Record) {
        let membership = Arc::clone(&self.context.membership.view().borrow());
        let members: Vec<&Member> = membership.up().collect();
        let chosen = members.choose_multiple(&mut rand::rng(), FANOUT);
        for address in chosen.map(|member| member.address) {
            let context = Arc::clone(&self.context);
            let record = record.clone();
            tokio::spawn(async move {
                let told = context
                    .peers
                    .call(address, CALL_TIMEOUT, |peer, call| async move {
                        peer.moved(call, record).await
                    });
                if let Err(error) = told.await {
                    log::debug!(error = error.to_string().as_str(); "a peer was not told of a move");
                }
            });
        }
    }

    /// Takes what an attempt showed, and brakes at once if that is enough.
    fn observe(&mut self, sample: &Sample) {
        let now = self.context.clock.now();
        let alone = self.alone(sample);
        let Some(held) = self.held.get_mut(&sample.service) else {
            return;
        };
        let current =
            held.record.number == sample.number && matches!(held.record.phase, Phase::Stage(_));
        if !current || held.rows.dead(sample, alone, now) {
            return;
        }
        held.evidence.observe(&sample.observation);
        if sample.observation.cohort == Cohort::Canary
            && let Some(reason) = held.evidence.rejection()
        {
            self.brake(&sample.service, &reason);
        }
    }

    /// Returns whether no more than one backend server serves the version that a sample is of.
    fn alone(&self, sample: &Sample) -> bool {
        let Some(held) = self.held.get(&sample.service) else {
            return true;
        };
        let version = match sample.observation.cohort {
            Cohort::Baseline => &held.record.from,
            Cohort::Canary => &held.record.to,
        };
        let directory = Arc::clone(&self.context.directory.borrow());
        let servers = directory.servers(&sample.service).iter();
        let mut serving = servers.filter(|server| server.version == *version && !server.leaving);
        serving.nth(1).is_none()
    }

    /// Stops sending requests to the new version at this entry, and has that recorded.
    fn brake(&mut self, service: &Arc<str>, reason: &str) {
        let Some(held) = self.held.get(service) else {
            return;
        };
        let braked = held.record.clone().brake(reason);
        self.learn(braked);
        self.look_at(service);
    }

    /// Looks at every move.
    fn look_at_all(&mut self) {
        let services: Vec<Arc<str>> = self.held.keys().cloned().collect();
        for service in services {
            self.look_at(&service);
        }
    }

    /// Decides what a move does next.
    fn look_at(&mut self, service: &Arc<str>) {
        let Some(held) = self.held.get(service) else {
            return;
        };
        let declarations = Arc::clone(&self.context.declarations.borrow());
        let declaration = declarations.service(service).cloned();
        match held.record.phase {
            Phase::Stage(_) => {
                let other = declaration.filter(|service| !is_pending(&held.record, service));
                if let Some(other) = other {
                    let reason = format!("version `{}` was declared meanwhile", other.version);
                    return self.brake(service, &reason);
                }
                self.judge(service);
            }
            Phase::Braked { .. } if held.due(self.context.clock.now()) => {
                let record = held.record.clone();
                self.spread(&record);
                self.write(record);
            }
            Phase::Done
                if declaration.is_some_and(|service| is_pending(&held.record, &service)) =>
            {
                let record = held.record.clone();
                self.declare(record);
            }
            Phase::Braked { .. } | Phase::Done | Phase::TakenBack { .. } => {}
        }
    }

    /// Judges a move at a stage.
    fn judge(&mut self, service: &Arc<str>) {
        let Some(held) = self.held.get(service) else {
            return;
        };
        let Phase::Stage(stage) = held.record.phase else {
            return;
        };
        let left = held.record.deadline_ms.saturating_sub(unix_ms());
        let decision = held.record.plan.decide(Progress {
            stage,
            in_stage: self.context.clock.now().saturating_sub(held.since),
            remaining: Duration::from_millis(left),
            requests: held.evidence.requests(),
            suspect: held.evidence.suspect(),
        });
        match decision {
            Decision::Stay => {}
            Decision::Revert => self.brake(service, "it could not be proved good by its deadline"),
            Decision::Advance => {
                let record = held.record.clone().advance();
                self.write(record);
            }
        }
    }

    /// Writes a record unless a write is under way, and tells the driver what then stands.
    fn write(&mut self, record: Record) {
        self.in_background(record, |context, record| async move {
            match store::write(&context.platform, &record).await {
                Ok(stands) => Some(stands),
                Err(error) => {
                    log::warn!(service = record.service.as_ref(), error = error.to_string().as_str(); "a move cannot be recorded yet");
                    None
                }
            }
        });
    }

    /// Declares the version of a move that is done, unless a write is under way.
    fn declare(&mut self, record: Record) {
        self.in_background(record, |context, record| async move {
            let declared = store::declare(&context.platform, &record).await;
            if let Err(error) = declared {
                log::warn!(service = record.service.as_ref(), error = error.to_string().as_str(); "the version of a move cannot be declared yet");
            }
            None
        });
    }

    /// Runs a write of a service's record, one at a time.
    fn in_background<F>(&mut self, record: Record, write: impl FnOnce(Arc<Context>, Record) -> F)
    where
        F: Future<Output = Option<Record>> + Send + 'static,
    {
        let now = self.context.clock.now();
        let service = Arc::clone(&record.service);
        let held = self.held.get_mut(&service);
        let Some(held) = held.filter(|held| held.due(now)) else {
            return;
        };
        held.writing = true;
        let stop = self.context.stop.clone();
        let messages = self.messages.clone();
        let writing = write(Arc::clone(&self.context), record);
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                stands = writing => {
                    let _ = messages.send(Message::Written(service, stands)).await;
                }
            }
        });
    }
}

impl Held {
    /// Returns whether a write may start.
    fn due(&self, now: Duration) -> bool {
        !self.writing && self.write_after <= now
    }
}
