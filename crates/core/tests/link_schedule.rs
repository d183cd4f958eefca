//! Answers that ask for more than a machine's link carries.

use std::collections::HashMap;
use std::time::Duration;

use proptest::prelude::*;

use cowslip_core::load::link_schedule::LinkSchedule;
use cowslip_core::load::link_schedule::PartTicket;
use cowslip_core::load::link_schedule::HEAD_BYTES;
use cowslip_core::load::link_schedule::PART_BYTES;

const MBPS: f64 = 6.0;
const MILLISECOND: Duration = Duration::from_millis(1);

/// Longest time that a message of the system may wait behind released answers.
const BACKLOG_ALLOWED: Duration = Duration::from_millis(75);

/// Large answers that are sent at any time, and the longest time that a small one may
/// take beside them.
const LARGE_ANSWERS: usize = 12;
const SMALL_TIME_MAX: Duration = Duration::from_millis(150);

/// An answer that is being sent.
#[derive(Clone, Copy, Debug)]
struct SentAnswer {
    began: Duration,
    size: usize,
    left: usize,
}

/// A link on which answers begin at given times.
struct LinkRun {
    schedule: LinkSchedule,
    /// Answers whose next part waits.
    answers: HashMap<PartTicket, SentAnswer>,
    /// How long each answer took, by its size in bytes.
    took: Vec<(usize, Duration)>,
    backlog_most: Duration,
}

impl LinkRun {
    fn new() -> Self {
        Self {
            schedule: LinkSchedule::new(MBPS),
            answers: HashMap::new(),
            took: Vec::new(),
            backlog_most: Duration::ZERO,
        }
    }

    fn begin(&mut self, now: Duration, bytes: usize) {
        let answer = SentAnswer {
            began: now,
            size: bytes,
            left: bytes,
        };
        self.send(now, answer);
    }

    fn send(&mut self, now: Duration, mut answer: SentAnswer) {
        while answer.left > 0 {
            let is_first = answer.left == answer.size;
            let head = if is_first { HEAD_BYTES } else { 0 };
            let part = answer.left.min(PART_BYTES);
            if !self.schedule.try_release(now, part + head) {
                let ticket = self.schedule.enqueue(now, part + head, is_first);
                self.answers.insert(ticket, answer);
                return;
            }
            answer.left -= part;
        }
        self.took.push((answer.size, now - answer.began));
    }

    fn tick(&mut self, now: Duration) {
        while let Some(ticket) = self.schedule.release(now) {
            let Some(mut answer) = self.answers.remove(&ticket) else {
                continue;
            };
            answer.left -= answer.left.min(PART_BYTES);
            self.send(now, answer);
        }
        self.backlog_most = self.backlog_most.max(self.schedule.backlog(now));
    }

    fn slowest(&self, bytes_max: usize) -> Duration {
        let small = self.took.iter().filter(|(size, _)| *size <= bytes_max);
        small.map(|(_, took)| *took).max().unwrap_or_default()
    }
}

// Guards against small answers and messages of the system that wait for seconds behind
// the large answers of all slots of a server.
#[test]
fn small_answers_do_not_wait_behind_large_ones() {
    let mut run = LinkRun::new();
    for ms in 0..10_000 {
        let now = MILLISECOND * ms;
        let large = run.answers.values();
        let large = large.filter(|answer| answer.size > PART_BYTES).count();
        for _ in large..LARGE_ANSWERS {
            run.begin(now, 100 * 1024);
        }
        if ms % 50 == 0 {
            run.begin(now, 3 * 1024);
        }
        run.tick(now);
    }
    let slowest = run.slowest(PART_BYTES);
    assert!(slowest < SMALL_TIME_MAX, "took {slowest:?}");
    assert!(run.backlog_most < BACKLOG_ALLOWED);
    let large = run.took.iter().filter(|(size, _)| *size > PART_BYTES);
    assert!(large.count() > 50, "large answers are not sent");
}

// Guards against a large answer that never ends because small ones fill the link.
#[test]
fn small_answers_do_not_starve_a_large_one() {
    let mut run = LinkRun::new();
    run.begin(Duration::ZERO, 64 * 1024);
    for ms in 0..20_000 {
        let now = MILLISECOND * ms;
        if ms % 6 == 0 {
            run.begin(now, 4 * 1024);
        }
        run.tick(now);
        if run
            .answers
            .values()
            .all(|answer| answer.began > Duration::ZERO)
        {
            return;
        }
    }
    panic!("the large answer is not sent");
}

// Guards against answers that wait although the link could send them.
#[test]
fn a_wide_link_holds_nothing_back() {
    let mut schedule = LinkSchedule::new(1_000.0);
    for ms in 0..1_000 {
        assert!(schedule.try_release(MILLISECOND * ms, 64 * 1024));
    }
}

proptest! {
    // Guards against a link that idles while a part waits, and a part that stays behind.
    #[test]
    fn the_link_is_used_and_its_backlog_bounded(
        sizes in prop::collection::vec((1_usize..300_000, 0_u32..200), 1..60),
    ) {
        let mut run = LinkRun::new();
        let mut begins = 0;
        let mut sizes = sizes.into_iter().peekable();
        for ms in 0..120_000 {
            let now = MILLISECOND * ms;
            while let Some((bytes, pause)) = sizes.next_if(|_| begins <= ms) {
                run.begin(now, bytes);
                begins = ms + pause;
            }
            run.tick(now);
            prop_assert!(run.backlog_most < BACKLOG_ALLOWED);
            let is_idle = run.answers.is_empty();
            prop_assert_eq!(run.schedule.waiting() == 0, is_idle);
            prop_assert!(is_idle || run.schedule.backlog(now) > Duration::ZERO);
            if is_idle && sizes.peek().is_none() {
                break;
            }
        }
        prop_assert!(run.answers.is_empty());
    }
}
