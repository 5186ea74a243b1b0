//! Properties of membership on a small network with delays, silent entries and cut links.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::membership::{
    Config, Kind, Member, Members, Message, Send, State, Update,
};

const STEP: Duration = Duration::from_millis(50);

/// Time within which a death must be known in the whole failure domain.
const DETECTION_LIMIT: Duration = Duration::from_secs(8);

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index + 1).expect("a small network");
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(index: usize, domains: usize) -> Member {
    Member {
        name: Arc::from(format!("entry-{index}")),
        address: address(index),
        failure_domain: Arc::from(format!("domain-{}", index % domains)),
        incarnation: 1,
    }
}

/// A network of entries on which each message takes one step.
struct Network {
    nodes: BTreeMap<SocketAddr, Members>,
    domains: usize,
    now: Duration,
    in_flight: VecDeque<Send>,
    silent: BTreeSet<SocketAddr>,
    cut: fn(SocketAddr, SocketAddr) -> bool,
    bytes: usize,
}

impl Network {
    fn new(entries: usize, domains: usize) -> Self {
        let mut network = Self {
            nodes: BTreeMap::new(),
            domains,
            now: Duration::ZERO,
            in_flight: VecDeque::new(),
            silent: BTreeSet::new(),
            cut: |_, _| false,
            bytes: 0,
        };
        (0..entries).for_each(|index| network.start(index));
        network
    }

    /// Starts an entry with the first entries as seeds.
    fn start(&mut self, index: usize) {
        let mut me = member(index, self.domains);
        me.incarnation += u64::try_from(self.now.as_millis()).expect("a short run");
        let mut node = Members::new(me, Config::default(), index as u64);
        node.set_seeds((0..4).map(address).collect());
        self.nodes.insert(address(index), node);
        self.silent.remove(&address(index));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let running = |address: &SocketAddr| !self.silent.contains(address);
            let nodes = self
                .nodes
                .iter_mut()
                .filter(|(address, _)| running(address));
            for (_, node) in nodes {
                self.in_flight.extend(node.tick(self.now));
            }
        }
    }

    fn deliver(&mut self) {
        for send in std::mem::take(&mut self.in_flight) {
            self.bytes += serde_json::to_vec(&send.message).expect("JSON").len();
            let from = send.message.from.address;
            let lost = self.silent.contains(&send.to) || (self.cut)(from, send.to);
            let node = self.nodes.get_mut(&send.to).filter(|_| !lost);
            if let Some(node) = node {
                self.in_flight.extend(node.receive(send.message, self.now));
            }
        }
    }

    /// Returns the number of running entries to which entry `index` is up.
    fn count_up(&self, index: usize) -> usize {
        let name = format!("entry-{index}");
        let running = self
            .nodes
            .iter()
            .filter(|(at, _)| !self.silent.contains(at));
        running
            .filter(|(_, node)| node.neighbours().any(|member| *member.name == *name))
            .count()
    }

    /// Asserts that each running entry knows exactly the running members of its failure domain.
    fn assert_complete(&self) {
        let running = self
            .nodes
            .iter()
            .filter(|(at, _)| !self.silent.contains(at));
        for (_, node) in running {
            let domain = &node.me().failure_domain;
            let others = self.nodes.values().filter(|other| {
                other.me().failure_domain == *domain
                    && other.me().name != node.me().name
                    && !self.silent.contains(&other.me().address)
            });
            let expected: BTreeSet<&str> = others.map(|other| other.me().name.as_ref()).collect();
            let known: BTreeSet<&str> = node
                .neighbours()
                .map(|member| member.name.as_ref())
                .collect();
            assert_eq!(known, expected, "known to {}", node.me().name);
        }
    }
}

#[test]
fn entries_discover_their_failure_domain_and_contacts_in_others() {
    let mut network = Network::new(24, 3);
    network.run(Duration::from_secs(30));
    network.assert_complete();
    for node in network.nodes.values() {
        let domains: BTreeSet<&str> = node
            .contacts()
            .map(|member| member.failure_domain.as_ref())
            .collect();
        assert_eq!(domains.len(), 2, "contacts of {}", node.me().name);
        assert!(node.contacts().count() <= 2 * Config::default().contacts);
    }
}

#[test]
fn a_death_is_known_to_all_and_no_other_member_is_declared_dead() {
    let mut network = Network::new(12, 1);
    network.run(Duration::from_secs(20));
    network.silent.extend([address(5), address(7)]);
    network.run(DETECTION_LIMIT);
    assert_eq!((network.count_up(5), network.count_up(7)), (0, 0));
    network.assert_complete();
}

#[test]
fn a_paused_entry_returns_and_declares_no_member_dead() {
    let mut network = Network::new(8, 1);
    network.run(Duration::from_secs(20));
    network.silent.insert(address(3));
    network.run(DETECTION_LIMIT);
    assert_eq!(network.count_up(3), 0);
    network.silent.clear();
    network.run(STEP);
    assert_eq!(network.nodes[&address(3)].neighbours().count(), 7);
    network.run(Duration::from_secs(15));
    network.assert_complete();
}

#[test]
fn an_entry_that_restarts_is_known_by_its_new_incarnation() {
    let mut network = Network::new(6, 1);
    network.run(Duration::from_secs(20));
    network.silent.insert(address(4));
    network.run(DETECTION_LIMIT);
    network.start(4);
    network.run(Duration::from_secs(10));
    network.assert_complete();
}

#[test]
fn a_graceful_leave_is_known_within_a_few_periods() {
    let mut network = Network::new(10, 1);
    network.run(Duration::from_secs(20));
    let messages = network
        .nodes
        .get_mut(&address(6))
        .map(Members::leave)
        .expect("a member");
    network.in_flight.extend(messages);
    network.silent.insert(address(6));
    network.run(Duration::from_secs(2));
    assert_eq!(network.count_up(6), 0);
    let left = network.nodes[&address(0)].state("entry-6");
    assert_eq!(left, Some(State::Left));
}

#[test]
fn two_partitions_merge_after_the_network_heals() {
    let mut network = Network::new(10, 1);
    network.run(Duration::from_secs(20));
    network.cut = |from, to| (from.port() <= 5) != (to.port() <= 5);
    network.run(Duration::from_mins(1));
    assert_eq!(network.nodes[&address(0)].neighbours().count(), 4);
    network.cut = |_, _| false;
    network.run(Duration::from_mins(1));
    network.assert_complete();
}

#[test]
fn a_link_cut_in_one_direction_causes_no_death() {
    let mut network = Network::new(8, 1);
    network.run(Duration::from_secs(20));
    network.cut = |from, to| from.port() == 1 && to.port() == 2;
    network.run(Duration::from_mins(1));
    assert_eq!(
        network.count_up(1),
        7,
        "the pair is pinged through other members"
    );
}

#[test]
fn the_cost_of_an_entry_does_not_grow_with_the_number_of_entries() {
    let rate = |entries: usize| {
        let mut network = Network::new(entries, 8);
        network.run(Duration::from_secs(40));
        let before = network.bytes;
        network.run(Duration::from_secs(20));
        (network.bytes - before) / 20 / entries
    };
    let (few, many) = (rate(24), rate(192));
    assert!(
        many < few * 2,
        "{few} and {many} bytes each second and entry"
    );
}

/// A generated update on a member.
#[derive(Clone, Debug, bolero::TypeGenerator)]
struct GeneratedUpdate {
    about: u8,
    incarnation: u8,
    state: u8,
}

fn update(generated: &GeneratedUpdate) -> Update {
    let state = match generated.state % 4 {
        0 => State::Alive,
        1 => State::Suspect,
        2 => State::Dead,
        _ => State::Left,
    };
    let mut member = member(usize::from(generated.about % 6) + 1, 1);
    member.incarnation = u64::from(generated.incarnation % 8);
    Update { member, state }
}

#[test]
fn updates_commute_and_the_highest_wins() {
    check!()
        .with_type::<Vec<GeneratedUpdate>>()
        .for_each(|generated: &Vec<GeneratedUpdate>| {
            let states_after = |updates: Vec<Update>| {
                let mut node = Members::new(member(0, 1), Config::default(), 1);
                let from = member(9, 1);
                let kind = Kind::Updates;
                node.receive(
                    Message {
                        from,
                        kind,
                        updates,
                    },
                    Duration::ZERO,
                );
                (1..7)
                    .map(|index| node.state(&format!("entry-{index}")))
                    .collect::<Vec<_>>()
            };
            let updates: Vec<Update> = generated.iter().map(update).collect();
            let backwards: Vec<Update> = updates.iter().rev().cloned().collect();
            let highest = |index: usize| {
                let name = format!("entry-{index}");
                let about = updates.iter().filter(|update| *update.member.name == *name);
                about
                    .map(|update| (update.member.incarnation, update.state))
                    .max()
                    .map(|(_, state)| state)
            };
            let expected: Vec<Option<State>> = (1..7).map(highest).collect();
            assert_eq!(states_after(updates.clone()), expected);
            assert_eq!(states_after(backwards), expected);
        });
}

#[test]
fn an_update_on_its_own_death_is_refuted() {
    check!()
        .with_type::<GeneratedUpdate>()
        .for_each(|generated: &GeneratedUpdate| {
            let mut node = Members::new(member(0, 1), Config::default(), 1);
            let mut update = update(generated);
            update.member = member(0, 1);
            update.member.incarnation = u64::from(generated.incarnation);
            let message = Message {
                from: member(9, 1),
                kind: Kind::Ping(7),
                updates: vec![update.clone()],
            };
            let answers = node.receive(message, Duration::ZERO);
            let refutation = (answers[0].message.from.incarnation, State::Alive);
            let alive = update.state == State::Alive;
            assert!(alive || refutation > (update.member.incarnation, update.state));
        });
}
