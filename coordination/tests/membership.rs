//! Properties of membership on a small network that loses, delays and cuts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bolero::check;
use medlarfall_coordination::membership::{
    Config, Kind, Member, Members, Message, Send, State, Update,
};

const STEP: Duration = Duration::from_millis(50);

/// Bound within which a death must be known in the whole failure domain.
const DETECTED: Duration = Duration::from_secs(8);

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

/// Entries whose messages take one step.
struct Network {
    nodes: BTreeMap<SocketAddr, Members>,
    domains: usize,
    now: Duration,
    flying: VecDeque<Send>,
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
            flying: VecDeque::new(),
            silent: BTreeSet::new(),
            cut: |_, _| false,
            bytes: 0,
        };
        (0..entries).for_each(|index| network.start(index));
        network
    }

    /// Starts an entry; each knows the first entries as seeds.
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
                self.flying.extend(node.tick(self.now));
            }
        }
    }

    fn deliver(&mut self) {
        for send in std::mem::take(&mut self.flying) {
            self.bytes += serde_json::to_vec(&send.message).expect("JSON").len();
            let from = send.message.from.address;
            let lost = self.silent.contains(&send.to) || (self.cut)(from, send.to);
            let node = self.nodes.get_mut(&send.to).filter(|_| !lost);
            if let Some(node) = node {
                self.flying.extend(node.receive(send.message, self.now));
            }
        }
    }

    /// Returns how many entries hold `index` to be up, among those that run.
    fn believers(&self, index: usize) -> usize {
        let name = format!("entry-{index}");
        let running = self
            .nodes
            .iter()
            .filter(|(at, _)| !self.silent.contains(at));
        running
            .filter(|(_, node)| node.neighbours().any(|member| *member.name == *name))
            .count()
    }

    /// Asserts that each running entry knows its failure domain in full.
    fn assert_full(&self) {
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
fn entries_learn_their_failure_domain_and_contacts_in_others() {
    let mut network = Network::new(24, 3);
    network.run(Duration::from_secs(30));
    network.assert_full();
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
fn a_death_is_known_to_all_and_nobody_else_is_held_dead() {
    let mut network = Network::new(12, 1);
    network.run(Duration::from_secs(20));
    network.silent.extend([address(5), address(7)]);
    network.run(DETECTED);
    assert_eq!((network.believers(5), network.believers(7)), (0, 0));
    network.assert_full();
}

#[test]
fn a_paused_entry_comes_back_and_holds_nobody_dead() {
    let mut network = Network::new(8, 1);
    network.run(Duration::from_secs(20));
    network.silent.insert(address(3));
    network.run(DETECTED);
    assert_eq!(network.believers(3), 0);
    network.silent.clear();
    network.run(STEP);
    assert_eq!(network.nodes[&address(3)].neighbours().count(), 7);
    network.run(Duration::from_secs(15));
    network.assert_full();
}

#[test]
fn an_entry_that_restarts_is_known_by_its_new_incarnation() {
    let mut network = Network::new(6, 1);
    network.run(Duration::from_secs(20));
    network.silent.insert(address(4));
    network.run(DETECTED);
    network.start(4);
    network.run(Duration::from_secs(10));
    network.assert_full();
}

#[test]
fn a_graceful_leave_is_known_within_a_few_periods() {
    let mut network = Network::new(10, 1);
    network.run(Duration::from_secs(20));
    let farewells = network
        .nodes
        .get_mut(&address(6))
        .map(Members::leave)
        .expect("a member");
    network.flying.extend(farewells);
    network.silent.insert(address(6));
    network.run(Duration::from_secs(2));
    assert_eq!(network.believers(6), 0);
    let left = network.nodes[&address(0)].state("entry-6");
    assert_eq!(left, Some(State::Left));
}

#[test]
fn two_halves_that_were_cut_apart_find_each_other_again() {
    let mut network = Network::new(10, 1);
    network.run(Duration::from_secs(20));
    network.cut = |from, to| (from.port() <= 5) != (to.port() <= 5);
    network.run(Duration::from_mins(1));
    assert_eq!(network.nodes[&address(0)].neighbours().count(), 4);
    network.cut = |_, _| false;
    network.run(Duration::from_mins(1));
    network.assert_full();
}

#[test]
fn a_link_that_is_cut_one_way_makes_no_death() {
    let mut network = Network::new(8, 1);
    network.run(Duration::from_secs(20));
    network.cut = |from, to| from.port() == 1 && to.port() == 2;
    network.run(Duration::from_mins(1));
    assert_eq!(network.believers(1), 7, "others ask for the cut pair");
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

/// News in any order.
#[derive(Clone, Debug, bolero::TypeGenerator)]
struct News {
    about: u8,
    incarnation: u8,
    state: u8,
}

fn update(news: &News) -> Update {
    let state = match news.state % 4 {
        0 => State::Alive,
        1 => State::Suspect,
        2 => State::Dead,
        _ => State::Left,
    };
    let mut member = member(usize::from(news.about % 6) + 1, 1);
    member.incarnation = u64::from(news.incarnation % 8);
    Update { member, state }
}

#[test]
fn news_mean_the_same_in_any_order_and_the_highest_holds() {
    check!()
        .with_type::<Vec<News>>()
        .for_each(|news: &Vec<News>| {
            let learn = |updates: Vec<Update>| {
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
            let updates: Vec<Update> = news.iter().map(update).collect();
            let backwards: Vec<Update> = updates.iter().rev().cloned().collect();
            let highest = |index: usize| {
                let name = format!("entry-{index}");
                let about = updates.iter().filter(|update| *update.member.name == *name);
                about
                    .map(|update| (update.member.incarnation, update.state))
                    .max()
                    .map(|(_, state)| state)
            };
            let twin: Vec<Option<State>> = (1..7).map(highest).collect();
            assert_eq!(learn(updates.clone()), twin);
            assert_eq!(learn(backwards), twin);
        });
}

#[test]
fn news_of_its_own_death_is_refuted() {
    check!().with_type::<News>().for_each(|news: &News| {
        let mut node = Members::new(member(0, 1), Config::default(), 1);
        let mut update = update(news);
        update.member = member(0, 1);
        update.member.incarnation = u64::from(news.incarnation);
        let message = Message {
            from: member(9, 1),
            kind: Kind::Ping(7),
            updates: vec![update.clone()],
        };
        let answers = node.receive(message, Duration::ZERO);
        let said = (answers[0].message.from.incarnation, State::Alive);
        let alive = update.state == State::Alive;
        assert!(alive || said > (update.member.incarnation, update.state));
    });
}
