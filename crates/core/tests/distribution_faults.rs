//! Simulation of the real state machines of a leader, relays and nodes over a
//! network that loses, delays, duplicates and reorders messages.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::config_history::ConfigUpdate;
use cowslip_core::control_state::ConfigSnapshot;
use cowslip_core::directory_follower::DirectoryFollower;
use cowslip_core::document::FleetDocument;
use cowslip_core::follow_exchange::FollowAnswer;
use cowslip_core::follow_exchange::FollowCall;
use cowslip_core::follow_exchange::FollowReply;
use cowslip_core::tuning::TuningKey;
use cowslip_core::update_source::LeaderUpdate;
use cowslip_core::update_source::SourceIdentity;
use cowslip_core::update_source::UpdateSource;
use cowslip_core::version::ConfigVersion;
use cowslip_core::version_follower::FollowStep;
use cowslip_core::version_follower::VersionFollower;

const RELAYS: usize = 2;
const NODES: usize = 3;

/// Longer than the longest wait, so that every request is answered within it.
const REQUEST_INTERVAL: Duration = Duration::from_secs(11);

/// One step of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The leader accepts a change.
    Change,
    /// A relay sends a request to the leader; the answer arrives or is lost.
    RelayAsks { relay: usize, arrives: bool },
    /// A node sends a request to a relay; the answer is delayed.
    NodeAsks { node: usize, relay: usize },
    /// A delayed answer arrives; with `again` it may arrive once more.
    Arrives { at: usize, again: bool },
    /// A node's process dies and restarts without memory.
    Restarts { node: usize },
    /// Sets whether the node's validation refuses the next versions.
    Refuses { node: usize, refuses: bool },
    /// Time passes.
    Waits { seconds: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => Just(Event::Change),
        4 => (0..RELAYS, any::<bool>())
            .prop_map(|(relay, arrives)| Event::RelayAsks { relay, arrives }),
        6 => (0..NODES, 0..RELAYS).prop_map(|(node, relay)| Event::NodeAsks { node, relay }),
        6 => (0..8_usize, any::<bool>()).prop_map(|(at, again)| Event::Arrives { at, again }),
        1 => (0..NODES).prop_map(|node| Event::Restarts { node }),
        1 => (0..NODES, any::<bool>())
            .prop_map(|(node, refuses)| Event::Refuses { node, refuses }),
        1 => (0..30_u64).prop_map(|seconds| Event::Waits { seconds }),
    ]
}

struct ModelNode {
    versions: VersionFollower,
    directory: DirectoryFollower,
    run_number: u64,
    refuses: bool,
    /// Highest version that any run of this node has applied.
    applied: ConfigVersion,
}

struct DelayedAnswer {
    node: usize,
    run_number: u64,
    relay: usize,
    answer: FollowAnswer,
}

struct Model {
    now: Duration,
    leader: UpdateSource,
    relays: Vec<UpdateSource>,
    nodes: Vec<ModelNode>,
    delayed: Vec<DelayedAnswer>,
}

fn source(name: String, run: u64) -> UpdateSource {
    UpdateSource::new(SourceIdentity {
        instance: name.as_str().into(),
        // A single domain, so no unconfirmed version is ever accepted.
        failure_domain: "sogn".into(),
        run,
    })
}

fn node(now: Duration, run_number: u64) -> ModelNode {
    ModelNode {
        versions: VersionFollower::new(now),
        directory: DirectoryFollower::default(),
        run_number,
        refuses: false,
        applied: ConfigVersion::ZERO,
    }
}

fn ask(source: &mut UpdateSource, now: Duration, call: FollowCall) -> FollowAnswer {
    let id = source.follow(now, call);
    let mut answers = source.tick(now);
    answers.extend(source.tick(now + REQUEST_INTERVAL));
    let own = answers.into_iter().find(|one| one.followers.contains(&id));
    match own.expect("every request is answered").reply {
        FollowReply::Update(answer) => *answer,
        FollowReply::RetryAfter(_) => panic!("request rate is far below the limit"),
        FollowReply::Roster(_) => panic!("a roster that was not asked for"),
    }
}

impl Model {
    fn new() -> Self {
        let mut leader = source("leader".to_owned(), 1);
        leader.set_leading(Duration::ZERO, true);
        let relay = |at| source(format!("relay-{at}"), 10 + at as u64);
        Self {
            now: Duration::from_secs(1),
            leader,
            relays: (0..RELAYS).map(relay).collect(),
            nodes: (0..NODES).map(|_| node(Duration::ZERO, 0)).collect(),
            delayed: Vec::new(),
        }
    }

    fn apply(&mut self, event: Event) {
        self.now += REQUEST_INTERVAL;
        match event {
            Event::Change => self.change(),
            Event::RelayAsks { relay, arrives } => self.relay_asks(relay, arrives),
            Event::NodeAsks { node, relay } => self.node_asks(node, relay),
            Event::Arrives { at, again } => self.arrives(at, again),
            Event::Restarts { node: at } => {
                let (run_number, applied) =
                    (self.nodes[at].run_number + 1, self.nodes[at].applied);
                self.nodes[at] = node(self.now, run_number);
                self.nodes[at].applied = applied;
            }
            Event::Refuses { node, refuses } => self.nodes[node].refuses = refuses,
            Event::Waits { seconds } => self.now += Duration::from_secs(seconds),
        }
    }

    fn change(&mut self) {
        let index = self.leader.current().version.index + 1;
        let mut document = FleetDocument::default();
        document.defaults.set(TuningKey::DeadlineMs, index);
        let snapshot = ConfigSnapshot {
            version: ConfigVersion::new(1, index),
            document: Arc::new(document),
        };
        self.leader.publish(self.now, snapshot);
    }

    fn relay_asks(&mut self, relay: usize, arrives: bool) {
        let directory = DirectoryFollower::default().request();
        let call = FollowCall {
            follower: format!("relay-{relay}").as_str().into(),
            held: self.relays[relay].current().version,
            refused: None,
            whole: false,
            waited: true,
            directory,
            wait_ms: 0,
            node_domain: None,
            control: None,
            needs_roster: false,
        };
        let answer = ask(&mut self.leader, self.now, call);
        if !arrives {
            return;
        }
        let held = self.relays[relay].current().clone();
        let snapshot = match answer.config {
            ConfigUpdate::Current => None,
            ConfigUpdate::Delta(delta) => delta.apply(&held).ok(),
            // With documents of a single default a delta is always smaller.
            ConfigUpdate::Snapshot(..) => panic!("snapshot where a delta is smaller"),
        };
        let update = LeaderUpdate {
            sent_at: self.now,
            source: answer.source,
            snapshot,
            endpoints: answer.directory.records,
            run: 1,
        };
        self.relays[relay].install(self.now, update);
    }

    fn node_asks(&mut self, at: usize, relay: usize) {
        let node = &self.nodes[at];
        let call = FollowCall {
            follower: format!("node-{at}").as_str().into(),
            held: node.versions.held(),
            refused: node.versions.refused(),
            whole: node.versions.needs_snapshot(),
            waited: true,
            directory: node.directory.request(),
            wait_ms: 5_000,
            node_domain: Some("voss".into()),
            control: None,
            needs_roster: false,
        };
        let run_number = node.run_number;
        let id = self.relays[relay].follow(self.now, call);
        // A waiting node receives a confirmation only after the relay's next
        // request to the leader.
        self.relay_asks(relay, run_number.is_multiple_of(2));
        let mut answers = self.relays[relay].tick(self.now);
        answers.extend(self.relays[relay].tick(self.now + REQUEST_INTERVAL));
        for one in answers {
            if !one.followers.contains(&id) {
                continue;
            }
            if let FollowReply::Update(answer) = one.reply {
                self.delayed.push(DelayedAnswer {
                    node: at,
                    run_number,
                    relay,
                    answer: *answer,
                });
            }
        }
    }

    fn arrives(&mut self, at: usize, again: bool) {
        if self.delayed.is_empty() {
            return;
        }
        let at = at % self.delayed.len();
        let held = &self.delayed[at];
        let (index, run_number, answer) =
            (held.node, held.run_number, held.answer.clone());
        let relay = held.relay;
        if !again {
            self.delayed.remove(at);
        }
        let node = &mut self.nodes[index];
        // The answer was sent to a process that has died.
        if node.run_number != run_number {
            return;
        }
        node.directory.take(answer.directory);
        let acknowledged = answer.acknowledged;
        let mut step = node.versions.handle_update(
            self.now,
            answer.source,
            acknowledged,
            answer.config,
        );
        while let FollowStep::Fetch { version, at } = step {
            let chunk = self.relays[relay].chunk(version, at);
            step = node.versions.chunk(self.now, chunk.as_deref());
        }
        let FollowStep::Offer(snapshot) = step else {
            return;
        };
        let held = node.versions.held();
        if node.refuses {
            node.versions.record_outcome(held, Some(snapshot.version));
        } else {
            node.versions.record_outcome(snapshot.version, None);
        }
    }

    /// Ends all faults and lets all relays and nodes catch up.
    fn heal(&mut self) {
        self.delayed.clear();
        for at in 0..NODES {
            self.nodes[at].refuses = false;
        }
        self.change();
        for _ in 0..3 {
            for relay in 0..RELAYS {
                self.relay_asks(relay, true);
            }
            for node in 0..NODES {
                self.now += REQUEST_INTERVAL;
                self.nodes[node].run_number &= !1;
                self.node_asks(node, node % RELAYS);
                while !self.delayed.is_empty() {
                    self.arrives(0, false);
                }
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    // Guards against rollbacks when processes die and answers are lost,
    // delayed, duplicated and reordered. No run of a node holds a version lower
    // than an earlier run had applied, no version appears that was never
    // accepted, and all nodes hold the newest version after the faults have
    // ended.
    #[test]
    fn versions_never_decrease(events in prop::collection::vec(event(), 1..120)) {
        let mut model = Model::new();
        for event in events {
            model.apply(event);
            let newest = model.leader.current().version;
            for node in &mut model.nodes {
                let held = node.versions.held();
                prop_assert!(held <= newest);
                if held > ConfigVersion::ZERO {
                    prop_assert!(held >= node.applied, "{held} after {}", node.applied);
                    node.applied = held;
                }
            }
        }
        model.heal();
        let newest = model.leader.current().version;
        for node in &model.nodes {
            prop_assert_eq!(node.versions.held(), newest);
        }
    }
}
