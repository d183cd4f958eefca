//! Simulated fleet of real members. Its network loses, delays, duplicates and
//! reorders messages, its disks lose unsynced writes, and its clocks drift.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_core::agreement::AgreementMember;
use cowslip_core::agreement::ChangeAnswer;
use cowslip_core::agreement::FolderArchive;
use cowslip_core::agreement::MemberAnswer;
use cowslip_core::agreement::MemberChange;
use cowslip_core::agreement::MemberIdentity;
use cowslip_core::agreement::MemberMessage;
use cowslip_core::agreement::MessageBody;
use cowslip_core::agreement::ProcessStart;
use cowslip_core::agreement::ReopenedFolder;
use cowslip_core::agreement::ReplicaAction;
use cowslip_core::agreement::ReplicaEvent;
use cowslip_core::agreement::SavedState;
use cowslip_core::agreement::StateReplica;
use cowslip_core::agreement::WriteBatch;
use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::departure::Departure;
use cowslip_core::encoded_size;
use cowslip_core::tuning::TuningKey;
use cowslip_core::version::ConfigVersion;

use crate::disk_archive::store_entries;
use crate::disk_archive::DiskArchive;

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// A simulated instance. Its disk survives the end of its process.
pub struct Instance {
    pub member: Option<StateReplica>,
    pub disk: SavedState,
    pub archive: Arc<DiskArchive>,
    unsynced: Vec<(Duration, WriteBatch)>,
    pub folder: u64,
    pub starts: u64,
    /// True once the instance was removed for good.
    removed: bool,
    /// Instances named in its settings.
    seeds: Vec<usize>,
    /// The disk syncs nothing before this time.
    stalled_until: Duration,
    /// Time that each sync of a slow disk takes; zero for an ordinary disk.
    pub sync_time: Duration,
    /// Rate of its clock, in thousandths of real time.
    clock_rate: u32,
    started: Duration,
}

/// Instances and the simulated network between them.
pub struct Fleet {
    pub instances: Vec<Instance>,
    /// Number of voters that the leader maintains by itself; 0 leaves
    /// membership to operators.
    voter_target: usize,
    pub now: Duration,
    random: SmallRng,
    queue: Vec<(Duration, SocketAddr, MemberMessage)>,
    /// Partition of each instance; messages are delivered only within one.
    pub groups: Vec<u32>,
    pub loss_percent: u32,
    term_leaders: BTreeMap<u64, usize>,
    /// Committed versions by index.
    committed: BTreeMap<u64, ConfigVersion>,
    pub answers: BTreeMap<Arc<str>, ChangeOutcome>,
    tickets: BTreeMap<u64, Arc<str>>,
    pub unknown: BTreeSet<Arc<str>>,
    pub member_answers: Vec<ChangeAnswer<MemberAnswer>>,
    departing: BTreeMap<u64, Departure>,
    /// Departures that were acknowledged.
    pub departed: Vec<Departure>,
    next_ticket: u64,
    /// Members read entries of their disks instead of holding all in memory.
    pub reads_entries: bool,
    /// Encoded size in bytes of the messages with entries, by receiver.
    pub sent_bytes: BTreeMap<SocketAddr, usize>,
    /// Encoded size in bytes of the largest message with entries.
    pub largest_message: usize,
    /// Messages take up to 20 ms and syncs up to 3 ms, as on small healthy
    /// machines, instead of 50 ms and 60 ms.
    pub low_latency: bool,
}

pub fn address(at: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + at as u16))
}

pub fn name(at: usize) -> Arc<str> {
    format!("control-{at}").into()
}

pub fn change_entry(id: &str, expected: Option<ConfigVersion>) -> ChangeEntry {
    ChangeEntry {
        request_id: id.into(),
        expected,
        at_ms: 0,
        change: ConfigChange::SetDefault {
            key: TuningKey::DeadlineMs,
            value: 100 + id.len() as u64,
        },
    }
}

/// Applies a write batch to the contents of a disk.
pub fn apply_batch(disk: &mut SavedState, batch: WriteBatch) {
    if let Some(hard) = batch.hard {
        disk.hard = hard;
    }
    if let Some(write) = batch.snapshot {
        disk.snapshot = write.snapshot;
        disk.hard = write.hard;
        disk.entries = write.rest;
    }
    if let Some(index) = batch.cut_from {
        disk.entries.retain(|entry| entry.version.index < index);
    }
    disk.entries.extend(batch.entries);
}

impl Instance {
    /// Creates an instance with an empty folder, not started yet.
    fn new(at: usize, seeds: Vec<usize>, random: &mut SmallRng) -> Self {
        Self {
            member: None,
            disk: SavedState::default(),
            archive: Arc::default(),
            unsynced: Vec::new(),
            folder: at as u64 + 1,
            starts: 0,
            removed: false,
            seeds,
            stalled_until: Duration::ZERO,
            sync_time: Duration::ZERO,
            clock_rate: random.random_range(955..=1_045),
            started: Duration::ZERO,
        }
    }
}

impl Fleet {
    pub fn new(seeds: usize, others: usize, seed: u64) -> Self {
        Self::with_voter_target(seeds, others, 0, seed)
    }

    /// Creates a fleet whose leader adds instances until there are
    /// `voter_target` voters. No instance bootstraps a log after the first
    /// start.
    pub fn with_voter_target(
        seeds: usize,
        others: usize,
        voter_target: usize,
        seed: u64,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut instances = Vec::new();
        for at in 0..seeds + others {
            let seeds = (0..seeds).collect();
            instances.push(Instance::new(at, seeds, &mut random));
        }
        let mut fleet = Self {
            groups: vec![0; instances.len()],
            instances,
            voter_target,
            now: Duration::ZERO,
            random,
            queue: Vec::new(),
            loss_percent: 0,
            term_leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
            answers: BTreeMap::new(),
            tickets: BTreeMap::new(),
            unknown: BTreeSet::new(),
            member_answers: Vec::new(),
            departing: BTreeMap::new(),
            departed: Vec::new(),
            next_ticket: 0,
            reads_entries: false,
            sent_bytes: BTreeMap::new(),
            largest_message: 0,
            low_latency: false,
        };
        for at in 0..fleet.instances.len() {
            fleet.start(at);
        }
        fleet
    }

    pub fn start(&mut self, at: usize) {
        if self.instances[at].member.is_some() || self.instances[at].removed {
            return;
        }
        let seed = self.random.random();
        let nonce = self.random.random();
        let seeds = self.seed_addresses(&self.instances[at].seeds);
        let instance = &mut self.instances[at];
        instance.starts += 1;
        instance.started = self.now;
        let identity = MemberIdentity {
            instance: name(at),
            address: address(at),
            folder: instance.folder,
            start: ProcessStart {
                count: instance.starts,
                nonce,
            },
        };
        let mut saved = instance.disk.clone();
        if self.reads_entries {
            instance.archive.set(&saved.entries);
            saved.archive = FolderArchive::new(Arc::clone(&instance.archive) as _);
            store_entries(&mut saved, self.random.random_range(0..3));
        }
        let zero = Duration::ZERO;
        let mut agreement = AgreementMember::open(identity, seeds, saved, zero, seed);
        if self.voter_target > 0 {
            agreement.set_voter_target(self.voter_target);
            if self.now > Duration::ZERO {
                agreement.forbid_bootstrap();
            }
        }
        instance.member = Some(StateReplica::new(agreement));
    }

    fn seed_addresses(&self, seeds: &[usize]) -> Vec<(Arc<str>, SocketAddr)> {
        let named = seeds.iter().map(|seed| (name(*seed), address(*seed)));
        named.collect()
    }

    /// Starts a new instance with an empty folder and these seeds.
    pub fn add(&mut self, seeds: Vec<usize>) -> usize {
        let at = self.instances.len();
        self.groups.push(0);
        let instance = Instance::new(at, seeds, &mut self.random);
        self.instances.push(instance);
        self.start(at);
        at
    }

    /// Removes an instance for good.
    pub fn remove(&mut self, at: usize) {
        self.crash(at);
        self.instances[at].removed = true;
    }

    /// Changes the seeds in an instance's settings and reloads them.
    pub fn reload(&mut self, at: usize, seeds: Vec<usize>) {
        let named = self.seed_addresses(&seeds);
        self.instances[at].seeds = seeds;
        self.event(at, ReplicaEvent::SetSeeds(named));
    }

    /// Announces a planned stop to an instance.
    pub fn hand_over(&mut self, at: usize) {
        self.event(at, ReplicaEvent::HandOver);
    }

    /// Fails a disk. Some of its unsynced writes are kept, and no later ones.
    pub fn fail_disk(&mut self, at: usize) {
        let kept = self.random.random_range(0..3);
        let unsynced = std::mem::take(&mut self.instances[at].unsynced);
        for (_, batch) in unsynced.into_iter().take(kept) {
            apply_batch(&mut self.instances[at].disk, batch);
        }
        self.event(at, ReplicaEvent::DiskFailed);
    }

    /// Reopens the folder of a running instance.
    pub fn reopen(&mut self, at: usize) {
        let nonce = self.random.random();
        let seed = self.random.random();
        let instance = &mut self.instances[at];
        instance.starts += 1;
        let mut saved = instance.disk.clone();
        if self.reads_entries {
            instance.archive.set(&saved.entries);
            saved.archive = FolderArchive::new(Arc::clone(&instance.archive) as _);
        }
        let opened = ReopenedFolder {
            folder: instance.folder,
            start: ProcessStart {
                count: instance.starts,
                nonce,
            },
            saved,
            seed,
        };
        self.event(at, ReplicaEvent::Reopened(opened));
    }

    /// Crashes a process; up to two of its unsynced writes survive.
    pub fn crash(&mut self, at: usize) {
        let kept = self.random.random_range(0..3);
        self.crash_keeping(at, kept);
    }

    /// Crashes a process; the first `kept` of its unsynced writes survive.
    pub fn crash_keeping(&mut self, at: usize, kept: usize) {
        let instance = &mut self.instances[at];
        instance.member = None;
        for (_, batch) in std::mem::take(&mut instance.unsynced)
            .into_iter()
            .take(kept)
        {
            apply_batch(&mut instance.disk, batch);
        }
    }

    /// Makes a disk hang for `time`.
    pub fn stall(&mut self, at: usize, time: Duration) {
        self.instances[at].stalled_until = self.now + time;
    }

    /// Crashes a process and gives its instance an empty folder.
    pub fn wipe(&mut self, at: usize) {
        self.crash(at);
        let instance = &mut self.instances[at];
        instance.disk = SavedState::default();
        instance.folder += 100;
        instance.starts = 0;
    }

    /// Time since the process started, on the instance's clock.
    fn clock(&self, at: usize) -> Duration {
        let instance = &self.instances[at];
        (self.now - instance.started) * instance.clock_rate / 1_000
    }

    pub fn event(&mut self, at: usize, event: ReplicaEvent) {
        self.events(at, vec![event]);
    }

    fn events(&mut self, at: usize, events: Vec<ReplicaEvent>) {
        let clock = self.clock(at);
        let Some(member) = &mut self.instances[at].member else {
            return;
        };
        let actions = member.handle(clock, events);
        for action in actions {
            self.execute(at, action);
        }
        self.check_safety(at);
    }

    fn execute(&mut self, at: usize, action: ReplicaAction) {
        match action {
            ReplicaAction::Write(batch) => {
                let longest = if self.low_latency { 3 } else { 60 };
                let delay = self.random.random_range(1..longest);
                let due = self.now + Duration::from_millis(delay);
                let instance = &self.instances[at];
                // In order; writes that arrive during a sync share the next one.
                let running = instance.unsynced.first().map_or(self.now, |(due, _)| *due);
                let last = instance.unsynced.last().map_or(due, |(due, _)| *due);
                let due = due.max(running + instance.sync_time).max(last);
                let due = due.max(instance.stalled_until);
                self.instances[at].unsynced.push((due, batch));
            }
            ReplicaAction::Send(to, message) => {
                self.measure(to, &message);
                for _ in 0..self.random.random_range(1..=2) {
                    let longest = if self.low_latency { 20 } else { 50 };
                    let delay = self.random.random_range(0..longest);
                    let due = self.now + Duration::from_millis(delay);
                    self.queue.push((due, to, message.clone()));
                }
            }
            ReplicaAction::AnswerChange(ticket, answer) => {
                self.record_answer(ticket, answer);
            }
            ReplicaAction::AnswerMembers(_, answer) => self.member_answers.push(answer),
            ReplicaAction::AnswerDeparture(ticket, answer) => {
                self.record_departure(ticket, &answer);
            }
            ReplicaAction::Publish(_)
            | ReplicaAction::LeaderStatus(_)
            | ReplicaAction::Members(_)
            | ReplicaAction::Planned(_)
            | ReplicaAction::Barred => {}
            ReplicaAction::ReopenFolder => {
                let archive = &self.instances[at].archive;
                let broken = archive.is_broken();
                assert!(broken, "{} misses an entry on its disk", name(at));
            }
        }
    }

    fn measure(&mut self, to: SocketAddr, message: &MemberMessage) {
        let MessageBody::Append { entries, .. } = &message.body else {
            return;
        };
        if !entries.is_empty() {
            let bytes = encoded_size::of(message);
            *self.sent_bytes.entry(to).or_default() += bytes;
            self.largest_message = self.largest_message.max(bytes);
        }
    }

    fn record_answer(&mut self, ticket: u64, answer: ChangeAnswer<ChangeOutcome>) {
        let request = self
            .tickets
            .remove(&ticket)
            .expect("a ticket is answered once");
        match answer {
            ChangeAnswer::Decided(outcome) => {
                let before = self.answers.insert(request, outcome.clone());
                assert!(before.is_none_or(|before| before == outcome));
            }
            ChangeAnswer::Unknown => {
                self.unknown.insert(request);
            }
            ChangeAnswer::NotLeading => {}
        }
    }

    fn record_departure(&mut self, ticket: u64, answer: &ChangeAnswer<()>) {
        let departure = self.departing.remove(&ticket);
        let departure = departure.expect("a ticket is answered once");
        if *answer == ChangeAnswer::Decided(()) {
            self.departed.push(departure);
        }
    }

    pub fn request_departure(&mut self, at: usize, departure: Departure) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        if self.instances[at].member.is_some() {
            self.departing.insert(ticket, departure.clone());
        }
        self.event(at, ReplicaEvent::Depart(ticket, departure));
    }

    pub fn request_change(&mut self, at: usize, entry: ChangeEntry) {
        if self.instances[at].member.is_none() {
            return;
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        self.tickets.insert(ticket, Arc::clone(&entry.request_id));
        self.event(at, ReplicaEvent::Change(ticket, entry));
    }

    pub fn request_members(&mut self, at: usize, change: MemberChange) {
        self.event(at, ReplicaEvent::Members(0, change));
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            let due = self.deliver_due();
            for (at, mut events) in due.into_iter().enumerate() {
                events.push(ReplicaEvent::Tick);
                self.sync_due_writes(at, &mut events);
                self.events(at, events);
            }
            let lease_holders = self.lease_holders();
            assert!(
                lease_holders.len() <= 1,
                "two leases at once: {lease_holders:?}"
            );
        }
    }

    fn deliver_due(&mut self) -> Vec<Vec<ReplicaEvent>> {
        let mut due = vec![Vec::new(); self.instances.len()];
        let mut later = Vec::new();
        for (time, to, message) in std::mem::take(&mut self.queue) {
            if time > self.now {
                later.push((time, to, message));
                continue;
            }
            let from = (message.address.port() - 1_000) as usize;
            let at = (to.port() - 1_000) as usize;
            let lost = self.random.random_range(0..100) < self.loss_percent;
            if !lost && self.groups[from] == self.groups[at] {
                due[at].push(ReplicaEvent::Message(message));
            }
        }
        self.queue = later;
        due
    }

    fn sync_due_writes(&mut self, at: usize, events: &mut Vec<ReplicaEvent>) {
        let instance = &mut self.instances[at];
        while instance
            .unsynced
            .first()
            .is_some_and(|(due, _)| *due <= self.now)
        {
            let (_, batch) = instance.unsynced.remove(0);
            events.push(ReplicaEvent::Persisted(batch.sequence));
            apply_batch(&mut instance.disk, batch);
            if self.reads_entries {
                instance.archive.set(&instance.disk.entries);
            }
        }
    }

    /// Highest term of all instances.
    pub fn highest_term(&self) -> u64 {
        let members = self.instances.iter().filter_map(|one| one.member.as_ref());
        let terms = members.map(|member| member.agreement().term());
        terms.max().unwrap_or_default()
    }

    /// Instances that hold the leader lease and may answer as fresh.
    pub fn lease_holders(&self) -> Vec<usize> {
        let mut lease_holders = Vec::new();
        for at in 0..self.instances.len() {
            let Some(member) = &self.instances[at].member else {
                continue;
            };
            if member.agreement().leader_status(self.clock(at)).leading {
                lease_holders.push(at);
            }
        }
        lease_holders
    }

    /// Name of the leader as an instance knows it.
    pub fn known_leader(&self, at: usize) -> Option<Arc<str>> {
        let member = self.instances[at].member.as_ref()?;
        let status = member.agreement().leader_status(self.clock(at));
        status.leader.map(|leader| leader.instance)
    }

    /// Runs until an instance holds the leader lease, for at most 15 s.
    pub fn wait_for_leader(&mut self) -> usize {
        for _ in 0..1_500 {
            if let Some(leader) = self.lease_holders().first() {
                return *leader;
            }
            self.run(STEP);
        }
        panic!("no leader after 15 s");
    }

    pub fn heal(&mut self) {
        self.groups.fill(0);
        self.loss_percent = 0;
        for at in 0..self.instances.len() {
            self.start(at);
        }
    }

    /// Sends `entry` to the current leader until it is decided, as an operator
    /// would resend it.
    pub fn commit_change(&mut self, entry: &ChangeEntry) -> ChangeOutcome {
        for _ in 0..100 {
            let leader = self.wait_for_leader();
            self.request_change(leader, entry.clone());
            self.run(Duration::from_millis(300));
            if let Some(outcome) = self.answers.get(&entry.request_id) {
                return outcome.clone();
            }
        }
        panic!("{} was never decided", entry.request_id);
    }

    /// Asks for the instance to be added until it is a voter with its current
    /// folder.
    pub fn add_until_voter(&mut self, at: usize) {
        let change = MemberChange::Add {
            instance: name(at),
            address: address(at),
        };
        for _ in 0..100 {
            let leader = self.wait_for_leader();
            if self.is_voter(leader, at) {
                return;
            }
            self.request_members(leader, change.clone());
            self.run(Duration::from_millis(300));
        }
        panic!(
            "{} never became a voter: {:?}",
            name(at),
            self.member_answers.last()
        );
    }

    /// True if `at` is a voter in the member list of `leader`.
    pub fn is_voter(&self, leader: usize, at: usize) -> bool {
        let member = self.instances[leader].member.as_ref();
        let members = member.expect("a leader runs").agreement().members();
        members.is_voter(&name(at), self.instances[at].folder)
    }

    /// True if `at` is a voter in the member list of the current leader.
    pub fn has_vote(&mut self, at: usize) -> bool {
        let leader = self.wait_for_leader();
        self.is_voter(leader, at)
    }

    /// Checks that a term has at most one leader, and that a committed entry is
    /// never replaced on any instance.
    fn check_safety(&mut self, at: usize) {
        let Some(member) = &self.instances[at].member else {
            return;
        };
        let agreement = member.agreement();
        if agreement.is_leader() {
            let leader = self.term_leaders.entry(agreement.term()).or_insert(at);
            assert_eq!(*leader, at, "two leaders in term {}", agreement.term());
        }
        for index in 1..=agreement.commit_index() {
            let Some(version) = agreement.version_at(index) else {
                continue;
            };
            let known = self.committed.entry(index).or_insert(version);
            assert_eq!(*known, version, "a committed entry was replaced");
        }
    }

    /// Heals the fleet and checks that the first `voters` instances have the
    /// leader's state, in addition to [`Self::check_outcomes`].
    pub fn check_convergence(&mut self, voters: usize) {
        let leader = self.check_outcomes();
        for at in 0..voters {
            assert!(self.state(at) == self.state(leader), "{} differs", name(at));
        }
    }

    /// Heals the fleet and checks that the leader's state holds every answer
    /// given, and that every version and request was used once.
    pub fn check_outcomes(&mut self) -> usize {
        self.heal();
        self.wait_for_leader();
        let outcome = self.commit_change(&change_entry("last", None));
        assert!(matches!(outcome, ChangeOutcome::Accepted { .. }));
        // A disk that hung may cause one more election.
        self.run(Duration::from_secs(10));
        let leader = self.wait_for_leader();
        let state = self.state(leader);
        for (request, outcome) in &self.answers {
            assert_eq!(state.answer(request), Some(outcome), "{request} was lost");
        }
        let mut before = ConfigVersion::ZERO;
        let mut requests = BTreeSet::new();
        for change in state.history() {
            assert!(change.version > before, "a version was used twice");
            assert!(requests.insert(&change.request_id), "a request ran twice");
            before = change.version;
        }
        leader
    }

    pub fn state(&self, at: usize) -> &cowslip_core::control_state::ControlState {
        self.instances[at]
            .member
            .as_ref()
            .expect("the instance runs")
            .state()
    }
}
