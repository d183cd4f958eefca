//! What the modules are compared with: least outstanding of two, a fixed
//! number of tries, and a plain queue.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

use cowslip_core::entry_router::NextStep;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_gate::GateAction;

const TRIES_MAX: usize = 3;

pub struct NaiveEntry {
    outstanding: Vec<u32>,
    /// Server 0 is known from the start.
    pub first_known: bool,
    rng: SmallRng,
}

impl NaiveEntry {
    pub fn new(servers: usize, seed: u64) -> Self {
        Self {
            outstanding: vec![0; servers],
            first_known: true,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn begin(&mut self, tried: &[usize]) -> Result<usize, RefusalReason> {
        let mut fresh = Vec::new();
        for server in 0..self.outstanding.len() {
            let known = server > 0 || self.first_known;
            if known && !tried.contains(&server) {
                fresh.push(server);
            }
        }
        if fresh.is_empty() {
            return Err(RefusalReason::NoEndpoint);
        }
        let first = fresh[self.rng.random_range(0..fresh.len())];
        let second = fresh[self.rng.random_range(0..fresh.len())];
        let lighter = self.outstanding[second] < self.outstanding[first];
        let chosen = if lighter { second } else { first };
        self.outstanding[chosen] += 1;
        Ok(chosen)
    }

    pub fn end(&mut self, server: usize) {
        self.outstanding[server] -= 1;
    }

    pub fn failed(
        &mut self,
        server: usize,
        tried: &[usize],
        failure: TryFailure,
    ) -> NextStep {
        self.end(server);
        match failure.reason.retry_reason() {
            Some(reason) if tried.len() < TRIES_MAX => NextStep::Retry(reason),
            _ => NextStep::Refuse(failure.reason),
        }
    }
}

pub struct NaiveGate {
    slots: usize,
    room: usize,
    running: BTreeSet<u64>,
    queue: VecDeque<u64>,
    left: BTreeSet<u64>,
}

impl NaiveGate {
    pub fn new(slots: usize, room: usize) -> Self {
        Self {
            slots,
            room,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            left: BTreeSet::new(),
        }
    }

    pub fn offer(&mut self, ticket: u64) -> Vec<GateAction> {
        if self.running.len() < self.slots {
            self.running.insert(ticket);
            return vec![GateAction::Start(ticket)];
        }
        if self.queue.len() >= self.room {
            return vec![GateAction::Refuse(ticket, RefusalReason::QueueFull)];
        }
        self.queue.push_back(ticket);
        Vec::new()
    }

    pub fn end(&mut self, ticket: u64) -> Vec<GateAction> {
        if !self.running.remove(&ticket) {
            self.left.insert(ticket);
            return Vec::new();
        }
        let mut next = self.queue.pop_front();
        while next.is_some_and(|next| self.left.remove(&next)) {
            next = self.queue.pop_front();
        }
        let Some(next) = next else {
            return Vec::new();
        };
        self.running.insert(next);
        vec![GateAction::Start(next)]
    }
}
