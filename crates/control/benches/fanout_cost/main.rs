//! Cost of a change, of many nodes that reconnect at once and of an announcement
//! for the leader, a relay and a node, at several fleet sizes. See
//! docs/BENCHMARKS.md, "Distribution".

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use cowslip_core::follower_queue::FollowerId;
use cowslip_core::report_aggregator::ReportBatch;
use cowslip_core::update_source::LeaderUpdate;
use cowslip_core::update_source::UpdateSource;
use cowslip_wire::codec;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::ReportCall;

use self::fleet_model::ModelFollower;
use self::fleet_model::RoleCost;

mod fleet_model;

/// Nodes of one relay in the fleet expected in two years: 5,200 nodes over 18
/// relays.
const NODES_PER_RELAY: usize = 290;

/// Number of changes to average; with 1,600 nodes each takes 4 s.
const CHANGES: u64 = 2;

/// Endpoints in the fleet expected in two years.
const ENDPOINTS: usize = 5_200;

/// Endpoints in the directory for the announcement benchmark. The cost does not
/// depend on this number, and 1,600 copies of 5,200 endpoints would not fit in
/// memory.
const ANNOUNCEMENT_ENDPOINTS: usize = 520;

/// Steps after which all nodes wait for updates.
const SETTLE_STEPS: usize = 40;

/// Time between two steps of the model.
const STEP: Duration = Duration::from_millis(100);

struct Relay {
    source: UpdateSource,
    follower: ModelFollower,
    waiting: FollowerId,
    nodes: Vec<ModelFollower>,
    node_count: usize,
    pending: HashMap<FollowerId, usize>,
    later: Vec<(Duration, usize)>,
}

struct Fleet {
    now: Duration,
    leader: UpdateSource,
    relays: Vec<Relay>,
    leader_cost: RoleCost,
    relay_cost: RoleCost,
    node_cost: RoleCost,
}

fn main() {
    println!("change of one default, document of 440 services and 4,400 routes");
    println!(
        "nodes  leader us  out B  in B | relay us  out B  in B | node us  in B  out B"
    );
    for nodes in [100, 400, 1_600] {
        change_cost(nodes);
    }
    println!();
    lagging_node();
    println!();
    println!("herd of reconnecting nodes at one instance, 5,200 endpoints");
    println!("nodes  state    all in s  bytes each  told later  source us each");
    for nodes in [100, 400, 1_000] {
        reconnecting_nodes(nodes, true);
        reconnecting_nodes(nodes, false);
    }
    println!();
    println!("one announcement, directory of 520");
    println!("nodes  leader us | relay us  out B | node us  in B");
    for nodes in [100, 400, 1_600] {
        announcement(nodes);
    }
}

impl Fleet {
    fn new(nodes: usize, endpoints: usize) -> Self {
        let mut leader = fleet_model::source("leader", 1);
        leader.set_leading(Duration::ZERO, true);
        leader.publish(Duration::ZERO, fleet_model::snapshot(1));
        announce_all(&mut leader, endpoints);
        let mut relays = Vec::new();
        let mut number = 0;
        for at in 0..nodes.div_ceil(NODES_PER_RELAY) {
            let first = ModelFollower::node(number);
            let count = NODES_PER_RELAY.min(nodes - number);
            number += count;
            let name = format!("relay-{at}");
            relays.push(Relay {
                source: fleet_model::source(&name, 100 + at as u64),
                follower: ModelFollower::relay(&name),
                waiting: 0,
                nodes: vec![first],
                node_count: count,
                pending: HashMap::new(),
                later: Vec::new(),
            });
        }
        let mut fleet = Self {
            now: Duration::ZERO,
            leader,
            relays,
            leader_cost: RoleCost::default(),
            relay_cost: RoleCost::default(),
            node_cost: RoleCost::default(),
        };
        fleet.settle();
        fleet
    }

    /// Runs until all nodes have the leader's state and wait for updates, then
    /// resets the costs.
    fn settle(&mut self) {
        for relay in 0..self.relays.len() {
            self.ask_leader(relay);
            for node in 0..self.relays[relay].nodes.len() {
                self.ask_relay(relay, node, false);
            }
        }
        self.advance_steps(SETTLE_STEPS);
        for relay in 0..self.relays.len() {
            // The other nodes are copies of the first, which is up to date.
            for at in 1..self.relays[relay].node_count {
                let nodes = &mut self.relays[relay].nodes;
                let number = relay * NODES_PER_RELAY + at;
                let next = nodes[0].copy(number);
                nodes.push(next);
                self.ask_relay(relay, at, false);
            }
        }
        self.advance_steps(SETTLE_STEPS);
        let version = self.leader.current().version;
        for relay in &self.relays {
            for node in &relay.nodes {
                assert_eq!(node.versions.held(), version);
            }
        }
        self.leader_cost = RoleCost::default();
        self.relay_cost = RoleCost::default();
        self.node_cost = RoleCost::default();
    }

    fn advance_steps(&mut self, steps: usize) {
        for _ in 0..steps {
            self.advance();
        }
    }

    /// Advances the time by one step: updates go to the nodes, reports to the
    /// leader.
    fn advance(&mut self) {
        self.now += STEP;
        self.leader_answers();
        for relay in 0..self.relays.len() {
            self.relay_answers(relay);
            self.relay_reports(relay);
            self.ask_deferred(relay);
        }
    }

    /// Repeats the requests of nodes that were told to ask again later, once due.
    fn ask_deferred(&mut self, at: usize) {
        let now = self.now;
        let later = std::mem::take(&mut self.relays[at].later);
        for (due, node) in later {
            if due <= now {
                self.ask_relay(at, node, true);
            } else {
                self.relays[at].later.push((due, node));
            }
        }
    }

    fn ask_leader(&mut self, at: usize) {
        let relay = &mut self.relays[at];
        let request = self.relay_cost.time(|| relay.follower.request(false));
        let (leader, now) = (&mut self.leader, self.now);
        self.leader_cost.received += request.len();
        relay.waiting = self.leader_cost.time(|| {
            let call: FollowCall = codec::decode(&request).expect("a call");
            leader.follow(now, call)
        });
    }

    fn ask_relay(&mut self, at: usize, node: usize, waited: bool) {
        let relay = &mut self.relays[at];
        let request = self.node_cost.time(|| relay.nodes[node].request(waited));
        self.node_cost.sent += request.len();
        self.relay_cost.received += request.len();
        let (source, now) = (&mut relay.source, self.now);
        let id = self.relay_cost.time(|| {
            let call: FollowCall = codec::decode(&request).expect("a call");
            source.follow(now, call)
        });
        relay.pending.insert(id, node);
    }

    fn leader_answers(&mut self) {
        let (leader, now) = (&mut self.leader, self.now);
        let answers = self.leader_cost.time(|| encoded(leader, now));
        for (followers, bytes) in answers {
            for id in followers {
                let at = self.relays.iter().position(|relay| relay.waiting == id);
                let at = at.expect("a relay waits");
                self.leader_cost.sent += bytes.len();
                self.relay_handles_answer(at, &bytes);
                self.ask_leader(at);
            }
        }
    }

    fn relay_handles_answer(&mut self, at: usize, bytes: &[u8]) {
        let relay = &mut self.relays[at];
        let (leader, now) = (&self.leader, self.now);
        let mut fetched = 0;
        self.relay_cost.time(|| {
            let Ok(answer) = fleet_model::answer(bytes) else {
                return;
            };
            let source = answer.source.clone();
            let (snapshot, endpoints) =
                relay
                    .follower
                    .handle_answer(now, answer, leader, &mut fetched);
            let update = LeaderUpdate {
                sent_at: now,
                source,
                snapshot,
                endpoints,
                run: 1,
            };
            relay.source.install(now, update);
        });
        self.leader_cost.sent += fetched;
    }

    fn relay_answers(&mut self, at: usize) {
        let (relay, now) = (&mut self.relays[at], self.now);
        let source = &mut relay.source;
        let answers = self.relay_cost.time(|| encoded(source, now));
        for (followers, bytes) in answers {
            for id in followers {
                let relay = &mut self.relays[at];
                let node = relay.pending.remove(&id).expect("a node waits");
                self.relay_cost.sent += bytes.len();
                self.node_cost.received += bytes.len();
                let follower = &mut relay.nodes[node];
                let source = &relay.source;
                let mut fetched = 0;
                let taken = self.node_cost.time(|| {
                    let answer = fleet_model::answer(&bytes)?;
                    follower.handle_answer(now, answer, source, &mut fetched);
                    Ok(())
                });
                self.relay_cost.sent += fetched;
                self.node_cost.received += fetched;
                if let Err(after) = taken {
                    self.relays[at].later.push((now + after, node));
                    continue;
                }
                self.ask_relay(at, node, false);
            }
        }
    }

    fn relay_reports(&mut self, at: usize) {
        let (source, now) = (&mut self.relays[at].source, self.now);
        let call = self.relay_cost.time(|| {
            let batch = source.take_reports(now);
            (!batch.is_empty())
                .then(|| codec::encode(&ReportCall { batch }).expect("a batch encodes"))
        });
        let Some(call) = call else {
            return;
        };
        self.leader_cost.received += call.len();
        let leader = &mut self.leader;
        self.leader_cost.time(|| {
            let call: ReportCall = codec::decode(&call).expect("a batch");
            leader.report(now, call.batch);
        });
    }
}

fn encoded(source: &mut UpdateSource, now: Duration) -> Vec<(Vec<FollowerId>, Vec<u8>)> {
    let mut answers = Vec::new();
    for answer in source.tick(now) {
        let bytes = codec::encode(&answer.reply).expect("an answer encodes");
        answers.push((answer.followers, bytes));
    }
    answers
}

fn announce_all(source: &mut UpdateSource, endpoints: usize) {
    let mut batch = ReportBatch::default();
    for number in 0..endpoints {
        batch.endpoints.push(fleet_model::endpoint(number, 1));
    }
    source.report(Duration::ZERO, batch);
}

fn change_cost(nodes: usize) {
    let mut fleet = Fleet::new(nodes, 0);
    for _ in 0..CHANGES {
        let snapshot = fleet_model::next(fleet.leader.current());
        let (leader, now) = (&mut fleet.leader, fleet.now);
        fleet.leader_cost.time(|| leader.publish(now, snapshot));
        fleet.advance();
        fleet.advance();
    }
    let version = fleet.leader.current().version;
    let progress = fleet.leader.move_tracker().progress(version);
    assert_eq!(progress.nodes_applied as usize, nodes);
    let changes = CHANGES as usize;
    let relays = changes * fleet.relays.len();
    let each = changes * nodes;
    println!(
        "{nodes:5} {:10} {:6} {:5} | {:8} {:6} {:5} | {:7} {:5} {:6}",
        micros(fleet.leader_cost.cpu, changes),
        fleet.leader_cost.sent / changes,
        fleet.leader_cost.received / changes,
        micros(fleet.relay_cost.cpu, relays),
        fleet.relay_cost.sent / relays,
        fleet.relay_cost.received / relays,
        micros(fleet.node_cost.cpu, each),
        fleet.node_cost.received / each,
        fleet.node_cost.sent / each,
    );
}

fn micros(total: Duration, count: usize) -> u128 {
    total.as_micros() / count as u128
}

/// Measures a node without updates, and one that is 1, 20 and 500 changes behind
/// its source.
fn lagging_node() {
    println!("a node behind the source, bytes received");
    for changes in [0, 1, 20, 500] {
        let mut fleet = Fleet::new(1, 0);
        let relay = &mut fleet.relays[0];
        for _ in 0..changes {
            let snapshot = fleet_model::next(relay.source.current());
            relay.source.publish(fleet.now, snapshot);
        }
        if changes == 0 {
            fleet.now += Duration::from_secs(5);
        }
        let started = Instant::now();
        fleet.now += STEP;
        fleet.relay_answers(0);
        println!(
            "{changes:4} changes: {} bytes, {} sent, {} us",
            fleet.node_cost.received,
            fleet.node_cost.sent,
            started.elapsed().as_micros()
        );
    }
}

/// Measures nodes that reconnect to a source at once, with all of their state or
/// none of it.
fn reconnecting_nodes(nodes: usize, keeps_state: bool) {
    let mut source = fleet_model::source("control-2", 2);
    source.set_leading(Duration::ZERO, true);
    source.publish(Duration::ZERO, fleet_model::snapshot(1));
    announce_all(&mut source, ENDPOINTS);
    source.tick(Duration::ZERO);
    let mut cost = RoleCost::default();
    let mut first = ModelFollower::node(0);
    reconnect(&mut source, &mut first, Duration::ZERO, false, &mut cost);
    cost = RoleCost::default();
    let start = Duration::from_secs(60);
    let mut waiting_nodes = Vec::new();
    for number in 0..nodes {
        let mut node = ModelFollower::node(number);
        if keeps_state {
            node.versions = first.versions.clone();
            node.directory = first.directory.clone();
            node.directory.reset_position();
        }
        waiting_nodes.push((start, false, node));
    }
    let mut deferred = 0;
    let mut last = start;
    while !waiting_nodes.is_empty() {
        waiting_nodes.sort_by_key(|(at, _, _)| *at);
        let mut later = Vec::new();
        for (now, waited, mut node) in waiting_nodes {
            match reconnect(&mut source, &mut node, now, waited, &mut cost) {
                None => last = last.max(now),
                Some(after) => {
                    deferred += 1;
                    later.push((now + after, true, node));
                }
            }
        }
        waiting_nodes = later;
    }
    println!(
        "{nodes:5}  {:8} {:8.2} {:11} {deferred:11} {:15}",
        if keeps_state { "holding" } else { "starting" },
        (last - start).as_secs_f64(),
        (cost.sent + cost.received) / nodes,
        micros(cost.cpu, nodes),
    );
}

/// Sends a first request; returns the time after which the node must ask again if
/// the request was deferred.
fn reconnect(
    source: &mut UpdateSource,
    node: &mut ModelFollower,
    now: Duration,
    waited: bool,
    cost: &mut RoleCost,
) -> Option<Duration> {
    let request = node.request(waited);
    cost.received += request.len();
    let (id, answers) = cost.time(|| {
        let call: FollowCall = codec::decode(&request).expect("a call");
        let id = source.follow(now, call);
        (id, encoded(source, now))
    });
    let own = answers.into_iter().find(|(ids, _)| ids.contains(&id));
    // No answer: the node is up to date and waits for the next change.
    let (_, bytes) = own?;
    cost.sent += bytes.len();
    match fleet_model::answer(&bytes) {
        Ok(answer) => {
            node.handle_answer(now, answer, source, &mut cost.sent);
            None
        }
        Err(after) => Some(after),
    }
}

fn announcement(nodes: usize) {
    let mut fleet = Fleet::new(nodes, ANNOUNCEMENT_ENDPOINTS);
    for sequence in 2..2 + CHANGES {
        let mut batch = ReportBatch::default();
        batch.endpoints.push(fleet_model::endpoint(7, sequence));
        let (leader, now) = (&mut fleet.leader, fleet.now);
        fleet.leader_cost.time(|| leader.report(now, batch));
        fleet.advance();
        fleet.advance();
    }
    let changes = CHANGES as usize;
    let relays = changes * fleet.relays.len();
    let each = changes * nodes;
    println!(
        "{nodes:5} {:10} | {:8} {:6} | {:7} {:5}",
        micros(fleet.leader_cost.cpu, changes),
        micros(fleet.relay_cost.cpu, relays),
        fleet.relay_cost.sent / relays,
        micros(fleet.node_cost.cpu, each),
        fleet.node_cost.received / each,
    );
}
