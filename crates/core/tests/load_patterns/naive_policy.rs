//! Naive replacements for the entry router and the server gate, which the tests
//! compare them with: the less loaded of two random servers, a fixed number of
//! tries and a plain queue.

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
    /// True once server 0 has joined.
    pub first_server_known: bool,
    rng: SmallRng,
}

impl NaiveEntry {
    pub fn new(servers: usize, seed: u64) -> Self {
        Self {
            outstanding: vec![0; servers],
            first_server_known: true,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    pub fn begin(&mut self, tried: &[usize]) -> Result<usize, RefusalReason> {
        let mut untried = Vec::new();
        for server in 0..self.outstanding.len() {
            let known = server > 0 || self.first_server_known;
            if known && !tried.contains(&server) {
                untried.push(server);
            }
        }
        if untried.is_empty() {
            return Err(RefusalReason::NoEndpoint);
        }
        let first = untried[self.rng.random_range(0..untried.len())];
        let second = untried[self.rng.random_range(0..untried.len())];
        let second_is_less_loaded = self.outstanding[second] < self.outstanding[first];
        let chosen = if second_is_less_loaded { second } else { first };
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
    queue_max: usize,
    running: BTreeSet<u64>,
    queue: VecDeque<u64>,
    abandoned: BTreeSet<u64>,
}

impl NaiveGate {
    pub fn new(slots: usize, queue_max: usize) -> Self {
        Self {
            slots,
            queue_max,
            running: BTreeSet::new(),
            queue: VecDeque::new(),
            abandoned: BTreeSet::new(),
        }
    }

    pub fn offer(&mut self, number: u64) -> Vec<GateAction> {
        if self.running.len() < self.slots {
            self.running.insert(number);
            return vec![GateAction::Start(number)];
        }
        if self.queue.len() >= self.queue_max {
            return vec![GateAction::Refuse(number, RefusalReason::QueueFull)];
        }
        self.queue.push_back(number);
        Vec::new()
    }

    pub fn end(&mut self, number: u64) -> Vec<GateAction> {
        if !self.running.remove(&number) {
            self.abandoned.insert(number);
            return Vec::new();
        }
        let mut next = self.queue.pop_front();
        while next.is_some_and(|next| self.abandoned.remove(&next)) {
            next = self.queue.pop_front();
        }
        let Some(next) = next else {
            return Vec::new();
        };
        self.running.insert(next);
        vec![GateAction::Start(next)]
    }
}
