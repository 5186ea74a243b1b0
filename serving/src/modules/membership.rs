//! Membership of entries: the task that drives the protocol of
//! [`medlarfall_coordination::membership`] over the peers' port and publishes its view.

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

/// Capacity of the task's command queue. Received messages beyond it are dropped; the protocol
/// tolerates lost messages.
const QUEUE_CAPACITY: usize = 256;

/// The view of the membership protocol. It is a hint: no guarantee may depend on it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Membership {
    /// The other entries of this entry's failure domain.
    pub neighbours: Vec<Member>,
    /// A few entries in each other failure domain.
    pub contacts: Vec<Member>,
    /// Entries that are considered down.
    pub down: Vec<Member>,
}

impl Membership {
    /// Returns the neighbours and the contacts.
    pub fn up(&self) -> impl Iterator<Item = &Member> {
        self.neighbours.iter().chain(&self.contacts)
    }
}

/// A command to the task.
#[derive(Debug)]
enum Command {
    /// Processes a message from a peer and returns the responses to its sender.
    Receive(Message, oneshot::Sender<Vec<Message>>),
    /// Processes the responses to a message of this entry.
    Responses(Vec<Message>),
    /// Announces to peers that this entry is leaving.
    Leave,
}

/// Handle by which other modules use the task.
#[derive(Clone, Debug)]
pub struct Handle {
    commands: mpsc::Sender<Command>,
    view: watch::Receiver<Arc<Membership>>,
}

impl Handle {
    /// Returns the current view and its changes.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<Membership>> {
        self.view.clone()
    }

    /// Processes a message from a peer and returns the responses to it.
    pub async fn receive(&self, message: Message) -> Vec<Message> {
        let (sender, responses) = oneshot::channel();
        if self
            .commands
            .try_send(Command::Receive(message, sender))
            .is_err()
        {
            return Vec::new();
        }
        responses.await.unwrap_or_default()
    }

    /// Announces to some peers that this entry is leaving, so that they need not detect it.
    pub async fn leave(&self) {
        // The send fails only if the task has ended and can announce nothing.
        let _ = self.commands.send(Command::Leave).await;
    }
}

/// Receiving end of the commands and sending end of the view, for the task.
#[derive(Debug)]
pub struct Inbox {
    commands: mpsc::Receiver<Command>,
    view: watch::Sender<Arc<Membership>>,
}

/// Returns the handle of a task and the channel ends that the task is started with.
#[must_use]
pub fn channel() -> (Handle, Inbox) {
    let (commands, received) = mpsc::channel(QUEUE_CAPACITY);
    let sender = watch::Sender::new(Arc::default());
    let view = sender.subscribe();
    let inbox = Inbox {
        commands: received,
        view: sender,
    };
    (Handle { commands, view }, inbox)
}

/// Starts the task; `address` is the advertised address of this entry's peers' port.
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

/// Returns an incarnation that increases with each start of the entry: milliseconds since the Unix
/// epoch.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}

/// State of the task.
struct Task {
    members: Members,
    context: Arc<Context>,
    inbox: Inbox,
}

impl Task {
    /// Drives the protocol; never returns.
    async fn run(mut self) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut directory = self.context.directory.clone();
        self.seed();
        loop {
            let sends = tokio::select! {
                _ = ticks.tick() => self.members.tick(self.context.clock.now()),
                Some(command) = self.inbox.commands.recv() => self.execute(command),
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

    /// Sets the seeds of the protocol from the settings and the instance list.
    fn seed(&mut self) {
        let listed = Arc::clone(&self.context.directory.borrow());
        let settings = self.context.settings.peers.seeds.iter();
        let seeds: BTreeSet<SocketAddr> =
            settings.chain(listed.entries().values()).copied().collect();
        self.members.set_seeds(seeds.into_iter().collect());
    }

    /// Executes a command and returns the messages to send.
    fn execute(&mut self, command: Command) -> Vec<Send> {
        let now = self.context.clock.now();
        match command {
            Command::Receive(message, responses) => {
                let sender = message.from.address;
                let sends = self.members.receive(message, now);
                let (to_sender, others): (Vec<_>, Vec<_>) =
                    sends.into_iter().partition(|send| send.to == sender);
                // The call of the peer may have timed out.
                let _ = responses.send(to_sender.into_iter().map(|send| send.message).collect());
                others
            }
            Command::Responses(messages) => messages
                .into_iter()
                .flat_map(|message| self.members.receive(message, now))
                .collect(),
            Command::Leave => self.members.leave(),
        }
    }

    /// Sends a message and queues the responses to it.
    fn dispatch(&self, send: Send) {
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            let call = context
                .peers
                .call(send.to, CALL_TIMEOUT, |client, deadline| async move {
                    client.gossip(deadline, send.message).await
                });
            if let Ok(responses) = call.await {
                // A full queue drops the responses; the protocol tolerates lost messages.
                let _ = context
                    .membership
                    .commands
                    .try_send(Command::Responses(responses));
            }
        });
    }

    /// Publishes the view if it has changed.
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
