//! Paces a node's answers to the bandwidth of its machine's link.
//!
//! Messages to control instances, requests to other nodes and openings of connections
//! are not paced, so they wait behind a bounded backlog of answers only.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::future::Future;
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::Request;
use bytes::Bytes;
use log::info;
use tokio::sync::oneshot;
use tokio::sync::Notify;

use cowslip_core::load::link_schedule::LinkSchedule;
use cowslip_core::load::link_schedule::PartTicket;
use cowslip_core::load::link_schedule::HEAD_BYTES;
use cowslip_core::load::link_schedule::PART_BYTES;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply::HttpReply;

/// Minimum time between two log lines about waiting answers.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Paces the answers of the handlers that it wraps, which share one link.
#[derive(Clone)]
pub struct LinkPacer(Rc<PacerState>);

struct PacerState {
    mbps: f64,
    schedule: RefCell<LinkSchedule>,
    /// Tell the waiting parts that they may leave.
    grants: RefCell<HashMap<PartTicket, oneshot::Sender<()>>>,
    /// Wakes the task that releases parts, once one more waits.
    changed: Notify,
    /// Zero of the schedule's time.
    started: BootInstant,
    logged_at: Cell<Option<BootInstant>>,
}

impl LinkPacer {
    /// Starts pacing answers to a link of `mbps` megabits a second.
    pub fn spawn(mbps: f64) -> Self {
        let state = Rc::new(PacerState {
            mbps,
            schedule: RefCell::new(LinkSchedule::new(mbps)),
            grants: RefCell::default(),
            changed: Notify::new(),
            started: BootInstant::now(),
            logged_at: Cell::default(),
        });
        actix_rt::spawn(release_parts(Rc::clone(&state)));
        Self(state)
    }

    /// Wraps `handler`, whose answers leave on the link unless they go to `own`, the
    /// address of this machine.
    pub fn wrap(&self, own: IpAddr, handler: Rc<dyn HttpHandler>) -> Rc<dyn HttpHandler> {
        let pacer = self.clone();
        Rc::new(PacedHandler {
            own,
            pacer,
            handler,
        })
    }

    fn pace(&self, reply: HttpReply) -> HttpReply {
        let pacer = self.clone();
        reply.map_body(|_, body| {
            BoxBody::new(PacedBody {
                body,
                pacer,
                has_begun: false,
                part: Bytes::new(),
                wait: None,
            })
        })
    }
}

/// Releases waiting parts as the link sends the earlier ones.
async fn release_parts(state: Rc<PacerState>) {
    loop {
        let next = state.release_due();
        let changed = state.changed.notified();
        let Some(wait) = next else {
            changed.await;
            continue;
        };
        tokio::select! {
            () = actix_rt::time::sleep(wait) => {}
            () = changed => {}
        }
    }
}

impl PacerState {
    /// Releases the parts that are due. Returns the time until the next one is;
    /// `None` if none waits.
    fn release_due(&self) -> Option<Duration> {
        let now = self.started.elapsed();
        let mut schedule = self.schedule.borrow_mut();
        while let Some(ticket) = schedule.release(now) {
            if let Some(grant) = self.grants.borrow_mut().remove(&ticket) {
                // The answer may have been abandoned in this moment.
                let _ = grant.send(());
            }
        }
        schedule.next_release_in(now)
    }

    /// Lets a part leave at once, or returns what it waits for.
    fn admit(self: &Rc<Self>, bytes: usize, is_first: bool) -> Option<PartWait> {
        let now = self.started.elapsed();
        let mut schedule = self.schedule.borrow_mut();
        if schedule.try_release(now, bytes) {
            return None;
        }
        let ticket = schedule.enqueue(now, bytes, is_first);
        let (grant, granted) = oneshot::channel();
        self.grants.borrow_mut().insert(ticket, grant);
        self.log_waiting(&schedule, now);
        self.changed.notify_one();
        Some(PartWait {
            state: Rc::clone(self),
            ticket,
            granted,
        })
    }

    fn log_waiting(&self, schedule: &LinkSchedule, now: Duration) {
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        self.logged_at.set(Some(BootInstant::now()));
        info!(
            "event=answers-paced process=node link_mbps={} waiting={} backlog_ms={}",
            self.mbps,
            schedule.waiting(),
            schedule.backlog(now).as_millis()
        );
    }
}

/// A part of an answer that waits for the link. Dropping it gives up its place.
struct PartWait {
    state: Rc<PacerState>,
    ticket: PartTicket,
    granted: oneshot::Receiver<()>,
}

impl Drop for PartWait {
    fn drop(&mut self) {
        let is_waiting = self
            .state
            .grants
            .borrow_mut()
            .remove(&self.ticket)
            .is_some();
        if is_waiting {
            self.state.schedule.borrow_mut().cancel(self.ticket);
        }
    }
}

/// Paces the answers of another handler.
struct PacedHandler {
    own: IpAddr,
    pacer: LinkPacer,
    handler: Rc<dyn HttpHandler>,
}

impl HttpHandler for PacedHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let is_local = request
            .peer_addr()
            .is_some_and(|peer| peer.ip() == self.own);
        let answer = self.handler.handle(request);
        if is_local {
            return answer;
        }
        let pacer = self.pacer.clone();
        Box::pin(async move { pacer.pace(answer.await) })
    }
}

/// Body of an answer, split into parts that wait for the link.
struct PacedBody {
    body: BoxBody,
    pacer: LinkPacer,
    has_begun: bool,
    /// What was received of the body and not released.
    part: Bytes,
    wait: Option<PartWait>,
}

impl PacedBody {
    /// Takes the next part of what was received.
    fn split_part(&mut self) -> Bytes {
        let length = self.part.len().min(PART_BYTES);
        self.part.split_to(length)
    }

    /// Charges the next part to the link; it waits if the link is full.
    fn admit_part(&mut self) {
        let is_first = !self.has_begun;
        self.has_begun = true;
        let head = if is_first { HEAD_BYTES } else { 0 };
        let bytes = self.part.len().min(PART_BYTES) + head;
        self.wait = self.pacer.0.admit(bytes, is_first);
    }
}

impl MessageBody for PacedBody {
    type Error = <BoxBody as MessageBody>::Error;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        loop {
            if let Some(wait) = &mut self.wait {
                // The task that releases parts ends only with the node.
                let _ = ready!(Pin::new(&mut wait.granted).poll(cx));
                self.wait = None;
                return Poll::Ready(Some(Ok(self.split_part())));
            }
            if self.part.is_empty() {
                match ready!(self.body.as_pin_mut().poll_next(cx)) {
                    Some(Ok(part)) => self.part = part,
                    end => return Poll::Ready(end),
                }
                continue;
            }
            self.admit_part();
            if self.wait.is_none() {
                return Poll::Ready(Some(Ok(self.split_part())));
            }
        }
    }
}
