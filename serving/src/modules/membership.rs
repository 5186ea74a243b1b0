//! The task that drives [`medlarfall_coordination::membership`] over the peers' port.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use medlarfall_coordination::membership::{Config, Member, Members, Message, Send};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::context::Context;

/// Time between two ticks of the protocol.
const TICK: Duration = Duration::from_millis(100);

/// Timeout of a call that carries a message.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Messages that wait for the task; more are dropped, as a network would.
const WAITING: usize = 256;

/// The entries that are held to be up. A hint: nothing that must hold may rest on it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// The other entries of the own failure domain.
    pub neighbours: Vec<Member>,
    /// A few entries in each other failure domain.
    pub contacts: Vec<Member>,
    /// Entries that are known to be down.
    pub down: Vec<Member>,
}

impl Membership {
    /// Returns the neighbours and the contacts.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.neighbours.iter().chain(&self.contacts)
    }
}

/// What the task is asked.
#[derive(Debug)]
enum Command {
    /// Takes a message and returns the answers to its sender.
    Receive(Message, oneshot::Sender<Vec<Message>>),
    /// Takes the answers to a message of this entry.
    Answers(Vec<Message>),
    /// Tells peers that this entry leaves.
    Leave,
}

/// How the other modules reach the task.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<Membership>>,
}

impl Handle {
    /// Returns the entries that are held to be up.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<Membership>> {
        self.view.clone()
    }

    /// Takes a message of a peer and returns the answers to it.
    pub async fn receive(&self, message: Message) -> Vec<Message> {
        let (answer, answers) = oneshot::channel();
        if self
            .commands
            .try_send(Command::Receive(message, answer))
            .is_err()
        {
            return Vec::new();
        }
        answers.await.unwrap_or_default()
    }

    /// Tells some peers that this entry leaves, so that they need not find out.
    pub async fn leave(&self) {
        // A task that has ended has nothing to tell any more.
        let _ = self.commands.send(Command::Leave).await;
    }
}

/// What the task is started with.
#[derive(Debug)]
pub struct Inbox {
    commands: mpsc::Receiver<Command>,
    view: watch::Sender<Arc<Membership>>,
}

/// Returns the handle of a task and what it is to be started with.
#[must_use]
pub fn channel() -> (Handle, Inbox) {
    let (commands, received) = mpsc::channel(WAITING);
    let sender = watch::Sender::new(Arc::default());
    let view = sender.subscribe();
    let inbox = Inbox {
        commands: received,
        view: sender,
    };
    (Handle { commands, view }, inbox)
}

/// Starts the task; `address` is where others reach this entry's peers' port.
pub fn start(context: Arc<Context>, inbox: Inbox, address: SocketAddr) {
    let entry = &context.settings.entry;
    let me = Member {
        name: Arc::clone(&entry.name),
        address,
        failure_domain: Arc::clone(&entry.failure_domain),
        incarnation: incarnation(),
    };
    let members = Members::new(me, Config::default(), rand::random());
    let stop = context.stop.clone();
    let task = Task {
        members,
        context,
        inbox,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = task.run() => {}
        }
    });
}

/// Returns a number that is higher at each start: the time in milliseconds.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// The task.
struct Task {
    members: Members,
    context: Arc<Context>,
    inbox: Inbox,
}

impl Task {
    /// Drives the protocol for ever.
    async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut directory = self.context.directory.clone();
        self.seed();
        loop {
            let sends = tokio::select! {
                _ = ticks.tick() => self.members.tick(self.context.clock.now()),
                Some(command) = self.inbox.commands.recv() => self.obey(command),
                Ok(()) = directory.changed() => {
                    self.seed();
                    Vec::new()
                }
            };
            for send in sends {
                self.dispatch(send);
            }
            self.publish();
        }
    }

    /// Takes the seeds from the settings and the instance list.
    fn seed(&mut self) {
        let listed = Arc::clone(&self.context.directory.borrow());
        let settings = self.context.settings.peers.seeds.iter();
        let seeds: BTreeSet<SocketAddr> =
            settings.chain(listed.entries().values()).copied().collect();
        self.members.set_seeds(seeds.into_iter().collect());
    }

    /// Carries out a command.
    fn obey(&mut self, command: Command) -> Vec<Send> {
        let now = self.context.clock.now();
        match command {
            Command::Receive(message, answer) => {
                let sender = message.from.address;
                let sends = self.members.receive(message, now);
                let (back, others): (Vec<_>, Vec<_>) =
                    sends.into_iter().partition(|send| send.to == sender);
                // The peer may have given up on the answer.
                let _ = answer.send(back.into_iter().map(|send| send.message).collect());
                others
            }
            Command::Answers(messages) => messages
                .into_iter()
                .flat_map(|message| self.members.receive(message, now))
                .collect(),
            Command::Leave => self.members.leave(),
        }
    }

    /// Sends a message and takes the answers to it.
    fn dispatch(&self, send: Send) {
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let call = context
                .peers
                .call(send.to, CALL_TIMEOUT, |client, deadline| async move {
                    client.gossip(deadline, send.message).await
                });
            if let Ok(answers) = call.await {
                // A full queue drops answers, as a network would.
                let _ = context
                    .membership
                    .commands
                    .try_send(Command::Answers(answers));
            }
        });
    }

    /// Publishes the members if they have changed.
    fn publish(&self) {
        let membership = Membership {
            neighbours: self.members.neighbours().cloned().collect(),
            contacts: self.members.contacts().cloned().collect(),
            down: self.members.down().cloned().collect(),
        };
        self.inbox.view.send_if_modified(|view| {
            let changed = **view != membership;
            if changed {
                *view = Arc::new(membership);
            }
            changed
        });
    }
}
