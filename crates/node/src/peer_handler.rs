//! Server side of a node: handles the attempts that entry nodes send to the
//! backend server beside this node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::StatusCode;
use log::debug;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::call_fingerprint::CallFingerprint;
use cowslip_core::document::CallPriority;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::call_queue::CallTicket;
use cowslip_core::load::deadline_budget;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::server_gate::OfferedCall;
use cowslip_core::server_gate::SlotOutcome;
use cowslip_core::server_notice::ServerNotice;
use cowslip_core::verdict::CallVerdict;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::access_key::KEY_HEADER;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::claim_messages::ClaimCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;
use cowslip_wire::message_reply;
use cowslip_wire::messages::WireCall;

use crate::call_dialect::CallDialect;
use crate::call_forward;
use crate::call_forward::CallBody;
use crate::call_forward::CallParts;
use crate::call_forward::HopHeaders;
use crate::call_headers;
use crate::call_log::CallLog;
use crate::call_log::LoggedId;
use crate::call_log::RefusedCall;
use crate::call_metrics::CallMetrics;
use crate::call_pools::CallPools;
use crate::entry_task::CallRefusal;
use crate::gate_messages::AnswerStatement;
use crate::gate_messages::GateMessage;
use crate::gate_messages::GateStatus;
use crate::gate_messages::SlotGrant;
use crate::gate_messages::SlotRequest;
use crate::holder_task::HolderMessage;
use crate::hop::HopResponse;
use crate::hop::SendObserver;
use crate::packed_headers;
use crate::quarantine_list::QuarantineList;
use crate::refusal_reply::refusal_reply;

/// Headers that say how busy the server is.
const LOAD_HEADERS: usize = 2;

/// Bytes read of a backend server's refusal, so that its connection can be
/// reused. A refusal is a line of text.
const REFUSAL_BYTES_MAX: usize = 4 * 1024;

/// Queues calls of entry nodes and forwards them to the backend server.
pub struct PeerProxy {
    /// Sends calls to the backend server.
    pub pools: Rc<CallPools>,
    /// Header names that the backend server uses.
    pub dialect: Rc<CallDialect>,
    /// Access key that nodes send to each other.
    pub system_key: AccessKey,
    /// Current state of the gate.
    pub gate_status: GateStatus,
    /// Channel to the gate task.
    pub gate: mpsc::UnboundedSender<GateMessage>,
    /// Channel to the task that holds claims for other nodes.
    pub holder: mpsc::Sender<HolderMessage>,
    /// Requests that are not sent to the backend server.
    pub quarantines: QuarantineList,
    /// Ticket for the next call.
    pub next_ticket: Cell<CallTicket>,
    /// Counters of the server side.
    pub metrics: CallMetrics,
    /// Log lines about individual calls.
    pub log: CallLog,
}

/// HTTP handler of the listener for other nodes.
pub struct PeerHandler {
    proxy: Rc<PeerProxy>,
}

impl PeerHandler {
    /// Creates a handler that passes its requests to `proxy`.
    pub fn new(proxy: PeerProxy) -> Self {
        Self {
            proxy: Rc::new(proxy),
        }
    }
}

impl HttpHandler for PeerHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let proxy = Rc::clone(&self.proxy);
        Box::pin(async move { proxy.serve(request).await })
    }
}

fn not_run(reason: RefusalReason) -> TryFailure {
    TryFailure {
        verdict: CallVerdict::NotRun,
        reason,
    }
}

impl PeerProxy {
    async fn serve(&self, mut request: Request) -> HttpReply {
        packed_headers::unpack(request.headers_mut());
        if is_claim(&request) {
            return self
                .handle_claim(request)
                .await
                .unwrap_or_else(|refused| refused);
        }
        let id = LoggedId::of(&request, &self.dialect.request_id);
        let route = http_reply::header(&request, call_headers::ROUTE).map(str::to_owned);
        let began = BootInstant::now();
        let mut reply = match self.handle_call(request).await {
            Ok(reply) => {
                self.metrics.answered();
                reply
            }
            Err(failure) => {
                self.metrics.refused(failure.reason);
                let refusal = CallRefusal::new(failure.reason, failure.verdict);
                if failure.reason != RefusalReason::NoFreeSlot {
                    let refused = RefusedCall {
                        refusal,
                        waited: began.elapsed(),
                        route: route.as_deref().unwrap_or("-"),
                    };
                    self.log.refused(&id, &refused);
                }
                refusal_reply(refusal, &self.dialect, None)
            }
        };
        if !packed_headers::fits(reply.headers().len() + LOAD_HEADERS) {
            return reply;
        }
        let wait_ms = self.gate_status.expected_wait().as_millis().to_string();
        http_reply::set_header(&mut reply, call_headers::WAIT_MS, &wait_ms);
        if let Some(work) = route.and_then(|route| self.gate_status.service_time(&route))
        {
            let work_ms = work.as_millis().to_string();
            http_reply::set_header(&mut reply, call_headers::WORK_MS, &work_ms);
        }
        reply
    }

    /// Waits for a slot of the backend server, sends the call and forwards the
    /// response.
    ///
    /// # Errors
    ///
    /// Fails if the request is invalid, gets no slot in time, or is refused or
    /// not answered by the backend server.
    async fn handle_call(&self, mut request: Request) -> Result<HttpReply, TryFailure> {
        let key = http_reply::header(&request, KEY_HEADER).unwrap_or_default();
        if !self.system_key.matches(key.as_bytes()) {
            return Err(not_run(RefusalReason::BadHeader));
        }
        let arrived = BootInstant::now();
        let mut call = offered_call(&request)?;
        let left = call.left;
        let caller = http_reply::header(&request, call_headers::CALLER_SERVICE);
        let caller = caller.map(str::to_owned);
        let notice = http_reply::header(&request, call_headers::NOTICE);
        let notice = notice.and_then(ServerNotice::parse);
        let parts = CallParts::of(&request, &self.dialect);
        let mut body = CallBody::take(&mut request).await.map_err(not_run)?;
        call.left = time_left(left, arrived)?;
        let fingerprint = parts.fingerprint(&body, caller.as_deref());
        self.check_quarantine(fingerprint)?;
        let (grant, mut slot) = self.acquire_slot(call, fingerprint, notice).await?;
        // The quarantine may have begun while the call waited.
        self.check_quarantine(fingerprint)?;
        let left = deadline_budget::for_next_hop(time_left(left, arrived)?);
        let sent = BootInstant::now();
        let mut request = parts.hop_request(
            &self.dialect,
            self.server_headers(left, &grant, caller.as_deref()),
        );
        request.echo_required = self.dialect.servers_echo_request_id;
        if grant.counts_sends {
            request.observer = Some(slot.send_observer());
        }
        let sending = self.pools.send(grant.server, &request, &mut body, left);
        let sent_call = sending.await;
        if let Err(failure) = &sent_call {
            let broken = failure.reason == RefusalReason::ConnectionBroken;
            if broken {
                slot.outcome = SlotOutcome::Cut;
            }
            if broken || failure.reason == RefusalReason::ConnectFailed {
                // The gate task ends only with the node.
                let _ = self.gate.send(GateMessage::Unreachable);
            }
        }
        let mut response = sent_call?;
        let notice = self.record_statement(&response, &grant, sent);
        slot.outcome = match response.head.status {
            StatusCode::SERVICE_UNAVAILABLE => SlotOutcome::Shed,
            status if status.is_server_error() => SlotOutcome::Failed,
            _ => SlotOutcome::Answered(sent.elapsed()),
        };
        if self.is_not_run(&response) {
            slot.outcome = SlotOutcome::Shed;
            // Read to its end, so that the connection can be reused.
            let whole = response.body.buffer(REFUSAL_BYTES_MAX).await;
            debug!("event=server-refused process=node whole={whole:?}");
            return Err(not_run(RefusalReason::ServerRefused));
        }
        let give_up_at = sent + left;
        let mut reply =
            call_forward::forward_response(response, &parts.method, give_up_at, slot);
        let verdict = CallVerdict::Ran.as_str();
        http_reply::set_header(&mut reply, call_headers::VERDICT, verdict);
        let warm = u8::from(grant.warm).to_string();
        http_reply::set_header(&mut reply, call_headers::WARM, &warm);
        if let Some(notice) = notice {
            let notice = notice.to_string();
            http_reply::set_header(&mut reply, call_headers::NOTICE, &notice);
        }
        Ok(reply)
    }

    fn check_quarantine(&self, fingerprint: CallFingerprint) -> Result<(), TryFailure> {
        match self.quarantines.time_left(|| fingerprint) {
            Some(_) => Err(not_run(RefusalReason::Quarantined)),
            None => Ok(()),
        }
    }

    /// Tells the gate what the server states in its answer, if that may differ from
    /// what the gate knows. Returns a statement for the entry node, if the server
    /// makes one and names its run.
    fn record_statement(
        &self,
        response: &HopResponse,
        grant: &SlotGrant,
        sent: BootInstant,
    ) -> Option<ServerNotice> {
        let statement = self.dialect.server_statement(response.head.headers());
        if statement.is_empty() && !self.gate_status.is_limited() {
            return None;
        }
        // The gate task ends only with the node.
        let _ = self.gate.send(GateMessage::Answered(AnswerStatement {
            run: grant.run.clone(),
            sent,
            statement,
        }));
        ServerNotice::of(grant.run.clone()?, statement)
    }

    /// Returns the headers that the backend server gets with the call.
    fn server_headers(
        &self,
        left: Duration,
        grant: &SlotGrant,
        caller: Option<&str>,
    ) -> HopHeaders {
        let dialect = &self.dialect;
        let left_ms = left.as_millis().to_string();
        let mut added = vec![(dialect.deadline_ms.clone(), left_ms)];
        if let Some(run) = &grant.run {
            added.push((dialect.server_run.clone(), run.name.to_string()));
        }
        if let Some(caller) = caller {
            added.push((dialect.caller_service.clone(), caller.to_owned()));
        }
        added
    }

    /// Returns whether the server answered that it has not run the request.
    fn is_not_run(&self, response: &HopResponse) -> bool {
        let head = &response.head;
        let flagged = head.headers().contains_key(&self.dialect.not_run);
        flagged || head.status == StatusCode::MISDIRECTED_REQUEST
    }

    /// Passes a claim request to the holder task and encodes its reply.
    async fn handle_claim(&self, mut request: Request) -> Result<HttpReply, HttpReply> {
        let call: ClaimCall = message_reply::read(&mut request, &self.system_key).await?;
        let (reply, answer) = oneshot::channel();
        let request = call.request;
        let message = HolderMessage { request, reply };
        let sent = self.holder.send(message).await;
        let stopping = || {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            http_reply::text(status, "this node is stopping")
        };
        sent.map_err(|_| stopping())?;
        let reply = answer.await.map_err(|_| stopping())?;
        Ok(message_reply::encoded(&reply))
    }

    /// Waits for a slot of the backend server. Dropping the guard releases it.
    async fn acquire_slot(
        &self,
        call: OfferedCall,
        fingerprint: CallFingerprint,
        notice: Option<ServerNotice>,
    ) -> Result<(SlotGrant, SlotGuard), TryFailure> {
        let ticket = self.next_ticket.get();
        self.next_ticket.set(ticket + 1);
        let (reply, answer) = oneshot::channel();
        let request = SlotRequest {
            ticket,
            call,
            fingerprint,
            notice,
        };
        // The gate task ends only with the node.
        let _ = self.gate.send(GateMessage::AcquireSlot(request, reply));
        // Created before the wait, so that a caller that disconnects leaves the
        // queue.
        let slot = SlotGuard {
            gate: self.gate.clone(),
            ticket,
            outcome: SlotOutcome::Abandoned,
        };
        let granted = answer.await.unwrap_or(Err(RefusalReason::Stopping));
        Ok((granted.map_err(not_run)?, slot))
    }
}

/// Returns whether the request is a claim rather than a call. A call may have
/// any path, even that of claims, but it always names its service in a header,
/// which a claim never does.
fn is_claim(request: &Request) -> bool {
    request.path() == ClaimCall::PATH
        && !request.headers().contains_key(call_headers::SERVICE)
}

/// Returns what remains of `left` since `since`, or a failure if nothing does.
fn time_left(left: Duration, since: BootInstant) -> Result<Duration, TryFailure> {
    let left = left.saturating_sub(since.elapsed());
    if left.is_zero() {
        return Err(not_run(RefusalReason::DeadlinePassed));
    }
    Ok(left)
}

/// Reads the call's properties from the headers that the entry node set.
fn offered_call(request: &Request) -> Result<OfferedCall, TryFailure> {
    let bad = not_run(RefusalReason::BadHeader);
    let text = |name: &str| http_reply::header(request, name);
    let priority = match text(call_headers::PRIORITY) {
        Some(word) => CallPriority::parse(word).ok_or(bad)?,
        None => CallPriority::default(),
    };
    let waited = text(call_headers::WAITED_MS).unwrap_or("0").parse();
    let left = call_headers::deadline(request.headers()).map_err(|_| bad)?;
    Ok(OfferedCall {
        service: text(call_headers::SERVICE).ok_or(bad)?.into(),
        route: text(call_headers::ROUTE).unwrap_or_default().into(),
        customer: text(call_headers::CUSTOMER).unwrap_or_default().into(),
        priority,
        waited: Duration::from_millis(waited.map_err(|_| bad)?),
        left: left.ok_or(bad)?,
        target_left: text(call_headers::TARGET_MS)
            .and_then(|millis| millis.parse().ok())
            .map(Duration::from_millis),
        wait_max: text(call_headers::WAIT_MAX_MS)
            .and_then(|millis| millis.parse().ok())
            .map(Duration::from_millis),
        inner: request.headers().contains_key(call_headers::INNER),
        repeats: text(call_headers::REPEATS)
            .and_then(|share| share.parse().ok())
            .map_or(RepeatProbability::FIRST, RepeatProbability::of_per_mille),
    })
}

/// Releases a slot, or a place in the queue, on drop, so that every path out of
/// a call releases it.
struct SlotGuard {
    gate: mpsc::UnboundedSender<GateMessage>,
    ticket: CallTicket,
    outcome: SlotOutcome,
}

impl SlotGuard {
    /// Creates an observer that tells the gate when the request has been sent.
    fn send_observer(&self) -> Rc<dyn SendObserver> {
        Rc::new(SlotObserver {
            gate: self.gate.clone(),
            ticket: self.ticket,
        })
    }
}

/// Tells the gate when the request of a slot has been sent.
#[derive(Debug)]
struct SlotObserver {
    gate: mpsc::UnboundedSender<GateMessage>,
    ticket: CallTicket,
}

impl SendObserver for SlotObserver {
    fn head_sent(&self) {
        // The gate task ends only with the node.
        let _ = self.gate.send(GateMessage::RequestSent(self.ticket));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let _ = self
            .gate
            .send(GateMessage::ReleaseSlot(self.ticket, self.outcome));
    }
}
