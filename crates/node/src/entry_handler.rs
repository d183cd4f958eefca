//! Entry side of a node: handles callers' requests, sends each to a server's
//! node and returns the response.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderName;
use actix_http::header::HOST;
use actix_http::ConnectionType;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::claim::RunEnd;
use cowslip_core::claim::KEYED_DEADLINE_MAX;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::deadline_budget;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::rollout::evidence::MeasuredTry;
use cowslip_core::rollout::evidence::TryOutcome;
use cowslip_core::rollout::node_guard::EndedTry;
use cowslip_core::verdict::CallVerdict;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::access_key::KEY_HEADER;
use cowslip_wire::boot_instant::BootInstant;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;

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
use crate::claim_client::ClaimClient;
use crate::claim_client::ClaimDenial;
use crate::claim_client::KeyedCall;
use crate::entry_task::CallRefusal;
use crate::entry_task::EntryMessage;
use crate::entry_task::OwnedHead;
use crate::entry_task::PlannedTry;
use crate::entry_task::RoutingResult;
use crate::gate_messages::GateStatus;
use crate::hop::HopResponse;
use crate::keyed_call;
use crate::node_stage::NodeStage;
use crate::node_stage::StopProgress;
use crate::packed_headers;
use crate::quarantine_list::QuarantineList;
use crate::refusal_reply::refusal_reply;

use self::peer_response::refused_by_peer;
use self::peer_response::reported_load;
use self::peer_response::server_notice;
use self::try_guard::TryGuard;

mod peer_response;
mod try_guard;

/// Bytes of a response that are buffered before any is forwarded. Lookups
/// answer with a few kilobytes. Each of nine nodes with 110 MB of memory holds 50
/// responses of this size.
const BUFFERED_RESPONSE_MAX: usize = 128 * 1024;

/// Proxies callers' requests to the backend servers' nodes, with retries.
pub struct EntryProxy {
    /// Sends calls to other nodes.
    pub pools: Rc<CallPools>,
    /// Header names that callers use.
    pub dialect: Rc<CallDialect>,
    /// Service of the backend server beside this node, if configured.
    pub service: Option<Arc<str>>,
    /// Access key that nodes send to each other.
    pub system_key: AccessKey,
    /// Current state of the gate in front of this node's backend server.
    pub gate_status: GateStatus,
    /// Channel to the entry task.
    pub entry: mpsc::Sender<EntryMessage>,
    /// Claims the keys of calls that carry an idempotency key.
    pub claims: Rc<ClaimClient>,
    /// Requests that are not sent to backend servers.
    pub quarantines: QuarantineList,
    /// Counters of the entry side.
    pub metrics: CallMetrics,
    /// Log lines about individual calls.
    pub log: CallLog,
}

/// HTTP handler of one listener for calls.
pub struct EntryHandler {
    proxy: Rc<EntryProxy>,
    origin: CallOrigin,
    progress: Rc<StopProgress>,
}

impl EntryHandler {
    /// Creates a handler for calls from `origin`.
    pub fn new(
        proxy: Rc<EntryProxy>,
        origin: CallOrigin,
        progress: Rc<StopProgress>,
    ) -> Self {
        Self {
            proxy,
            origin,
            progress,
        }
    }
}

impl HttpHandler for EntryHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let proxy = Rc::clone(&self.proxy);
        let origin = self.origin;
        let progress = Rc::clone(&self.progress);
        Box::pin(async move {
            let mut reply = proxy.serve(request, origin, &progress).await;
            if progress.stage() != NodeStage::Serving {
                let head = reply.head_mut();
                head.set_connection_type(ConnectionType::Close);
            }
            reply
        })
    }
}

/// Verdict of a call in progress, for the case that it is ended.
type SharedVerdict = Rc<Cell<CallVerdict>>;

fn not_run(reason: RefusalReason) -> CallRefusal {
    CallRefusal::new(reason, CallVerdict::NotRun)
}

impl EntryProxy {
    /// Handles a call with all of its attempts and returns the reply. The call
    /// is refused if the node does not accept it at this point of a stop, and ends
    /// with the calls in flight.
    pub async fn serve(
        self: &Rc<Self>,
        request: Request,
        origin: CallOrigin,
        progress: &StopProgress,
    ) -> HttpReply {
        let id = LoggedId::of(&request, &self.dialect.request_id);
        let began = BootInstant::now();
        // `handle_call` refuses a deadline that cannot be parsed.
        let header = &self.dialect.deadline_ms;
        let deadline = call_headers::deadline_in(request.headers(), header);
        let deadline = deadline.ok().flatten();
        let verdict = Rc::new(Cell::new(CallVerdict::NotRun));
        let handling = self.handle_call(request, &id, origin, progress, &verdict);
        let handled = tokio::select! {
            biased;
            handled = handling => handled,
            () = progress.calls_ended() => {
                Err(CallRefusal::new(RefusalReason::Stopping, verdict.get()))
            }
        };
        match handled {
            Ok(reply) => {
                self.metrics.answered();
                reply
            }
            Err(refusal) => {
                self.metrics.refused(refusal.reason);
                let refused = RefusedCall {
                    refusal,
                    waited: began.elapsed(),
                    route: "-",
                };
                self.log.refused(&id, &refused);
                let left =
                    deadline.map(|deadline| deadline.saturating_sub(began.elapsed()));
                refusal_reply(refusal, &self.dialect, left)
            }
        }
    }

    async fn handle_call(
        self: &Rc<Self>,
        mut request: Request,
        id: &LoggedId,
        origin: CallOrigin,
        progress: &StopProgress,
        verdict: &SharedVerdict,
    ) -> Result<HttpReply, CallRefusal> {
        let arrived = BootInstant::now();
        let header = &self.dialect.deadline_ms;
        let deadline = call_headers::deadline_in(request.headers(), header);
        let deadline = deadline.map_err(|_| not_run(RefusalReason::BadHeader))?;
        let customer = http_reply::header(&request, call_headers::CUSTOMER);
        let customer = customer.unwrap_or_default();
        if customer.len() > call_headers::CUSTOMER_BYTES_MAX {
            return Err(not_run(RefusalReason::BadHeader));
        }
        let key = keyed_call::idempotency_key(&request).map_err(not_run)?;
        let customer_name = Arc::<str>::from(customer);
        let head = OwnedHead {
            host: host_of(&request),
            path: request.path().to_owned(),
            origin,
            customer: customer.to_owned(),
            idempotent: call_headers::is_idempotent(request.method()),
            deadline,
            repeats: match origin {
                CallOrigin::Outside if !self.dialect.servers_use_caller_listener => {
                    RepeatProbability::FIRST
                }
                _ => self.gate_status.repeat_probability(),
            },
        };
        let parts = CallParts::of(&request, &self.dialect);
        if !packed_headers::fits_packed(&parts.headers) {
            return Err(not_run(RefusalReason::TooManyHeaders));
        }
        let mut body = CallBody::take(&mut request).await.map_err(not_run)?;
        let path = request.path();
        let call =
            key.map(|key| KeyedCall::new(&customer_name, path, &key, &parts, &body));
        if let Err(refusal) = self.check_quarantine(&parts, &body) {
            return self.refuse(call, refusal).await;
        }
        // The body may have arrived long after the head.
        let left = deadline.map(|deadline| deadline.saturating_sub(arrived.elapsed()));
        if !progress.stage().accepts(left) {
            return self.refuse(call, not_run(RefusalReason::Stopping)).await;
        }
        let planned = match self.admit(head).await {
            Ok(planned) => planned,
            Err(refusal) => return self.refuse(call, refusal).await,
        };
        let Some(call) = call else {
            return self.run(id, planned, &parts, &mut body, verdict).await;
        };
        let proxy = Rc::clone(self);
        let verdict = Rc::clone(verdict);
        verdict.set(CallVerdict::MayHaveRun);
        // The task continues if the caller disconnects, so that a resend finds
        // the stored answer rather than a claim with an unknown outcome.
        let id = id.clone();
        let running = actix_rt::spawn(async move {
            proxy
                .run_claimed(&id, call, planned, &parts, &mut body, &verdict)
                .await
        });
        running.await.unwrap_or(Err(CallRefusal::new(
            RefusalReason::ClaimUnanswered,
            CallVerdict::MayHaveRun,
        )))
    }

    /// Refuses a request under which backend servers crash.
    fn check_quarantine(
        &self,
        parts: &CallParts,
        body: &CallBody,
    ) -> Result<(), CallRefusal> {
        let fingerprint = || parts.fingerprint(body, self.service.as_deref());
        let Some(left) = self.quarantines.time_left(fingerprint) else {
            return Ok(());
        };
        Err(CallRefusal {
            retry_in: Some(left),
            ..not_run(RefusalReason::Quarantined)
        })
    }

    /// Asks the entry task for the first attempt's server.
    async fn admit(&self, head: OwnedHead) -> RoutingResult {
        let (reply, answer) = oneshot::channel();
        let message = EntryMessage::Admit(head, reply);
        self.ask_entry_task(message, answer, CallVerdict::NotRun)
            .await
    }

    /// Returns the reply to a refused call: the stored answer if a call with
    /// the same key has already been answered, else the refusal.
    async fn refuse(
        &self,
        call: Option<KeyedCall>,
        refusal: CallRefusal,
    ) -> Result<HttpReply, CallRefusal> {
        let Some(call) = call else {
            return Err(refusal);
        };
        match self.claims.resolve_refusal(call, refusal).await {
            ClaimDenial::Answered(answer) => Ok(keyed_call::replay(&answer)),
            ClaimDenial::Refused(refusal) => Err(refusal),
        }
    }

    /// Claims the call's key, runs the call and stores its answer. A key is
    /// run at most once.
    async fn run_claimed(
        &self,
        id: &LoggedId,
        call: KeyedCall,
        planned: PlannedTry,
        parts: &CallParts,
        body: &mut CallBody,
        verdict: &SharedVerdict,
    ) -> Result<HttpReply, CallRefusal> {
        let claim = match self.claims.open(call).await {
            Ok(claim) => claim,
            Err(denial) => {
                // Reports the planned attempt to the entry task as abandoned.
                drop(TryGuard::new(self.entry.clone(), &planned));
                return match denial {
                    ClaimDenial::Answered(answer) => Ok(keyed_call::replay(&answer)),
                    ClaimDenial::Refused(refusal) => Err(refusal),
                };
            }
        };
        let running = self.run(id, planned, parts, body, verdict);
        match actix_rt::time::timeout(KEYED_DEADLINE_MAX, running).await {
            Ok(Ok(reply)) => keyed_call::store_answer(&self.claims, claim, reply).await,
            Ok(Err(refusal)) => {
                let end = RunEnd::from_verdict(refusal.verdict);
                self.claims.record_end(claim, end).await;
                Err(refusal)
            }
            Err(_) => Err(CallRefusal::new(
                RefusalReason::DeadlinePassed,
                CallVerdict::MayHaveRun,
            )),
        }
    }

    /// Makes attempts until a backend server answers or the call is refused.
    async fn run(
        &self,
        id: &LoggedId,
        mut planned: PlannedTry,
        parts: &CallParts,
        body: &mut CallBody,
        verdict: &SharedVerdict,
    ) -> Result<HttpReply, CallRefusal> {
        // A server's error response while the call is retried elsewhere. The
        // caller gets it unchanged if no further attempt is possible.
        let mut failed_response: Option<HopResponse> = None;
        loop {
            let mut guard = TryGuard::new(self.entry.clone(), &planned);
            let started = BootInstant::now();
            verdict.set(verdict.get().max(CallVerdict::MayHaveRun));
            let tried = self.attempt(&mut planned, parts, body).await;
            self.record_evidence(&planned, started.elapsed(), &tried)
                .await;
            let failure = match tried {
                Ok(response) if may_retry_elsewhere(&response, &planned, body) => {
                    failed_response = Some(response);
                    TryFailure {
                        verdict: CallVerdict::Ran,
                        reason: RefusalReason::ServerFailed,
                    }
                }
                Ok(response) => {
                    let target = planned.target_left;
                    if target.is_some_and(|target| started.elapsed() > target) {
                        let server = &planned.server.instance;
                        self.log
                            .late(id, server, started.elapsed() + planned.waited);
                    }
                    guard.set_answered(&planned.plan, &response, started.elapsed());
                    let give_up_at = started + planned.left;
                    return Ok(caller_reply(response, parts, give_up_at, guard));
                }
                Err(failure) => failure,
            };
            guard.disarm();
            if !body.is_buffered() {
                planned.plan.forbid_retry();
            }
            let server = Arc::clone(&planned.server.instance);
            let (reply, answer) = oneshot::channel();
            let so_far = planned.plan.verdict.max(failure.verdict);
            let failed = EntryMessage::Failed(Box::new(planned), failure, reply);
            planned = match (
                self.ask_entry_task(failed, answer, so_far).await,
                failed_response.take(),
            ) {
                (Ok(next), previous) => {
                    failed_response = previous;
                    next
                }
                (Err(_), Some(response)) => {
                    // The response is completely buffered and needs no more time.
                    return Ok(caller_reply(response, parts, BootInstant::now(), ()));
                }
                (Err(refusal), None) => return Err(refusal),
            };
            if failure.reason != RefusalReason::NoFreeSlot {
                self.log.retried(id, &server, failure, &planned.plan);
            }
            if let Some(reason) = planned.retry {
                self.metrics.retried(reason);
            }
        }
    }

    /// Sends `message` to the entry task and waits for `answer`. If the task
    /// has ended, the call is refused with `so_far`, the verdict of its attempts:
    /// "not run" after a broken attempt would make the caller repeat a
    /// non-idempotent call that may have run.
    async fn ask_entry_task(
        &self,
        message: EntryMessage,
        answer: oneshot::Receiver<RoutingResult>,
        so_far: CallVerdict,
    ) -> RoutingResult {
        let stopping = CallRefusal::new(RefusalReason::Stopping, so_far);
        if self.entry.send(message).await.is_err() {
            return Err(stopping);
        }
        answer.await.unwrap_or(Err(stopping))
    }

    /// Sends one attempt and buffers the start of its response.
    ///
    /// # Errors
    ///
    /// Fails if the response does not arrive in time, breaks off while it is
    /// buffered, or is a refusal by the server's node.
    async fn attempt(
        &self,
        planned: &mut PlannedTry,
        parts: &CallParts,
        body: &mut CallBody,
    ) -> Result<HopResponse, TryFailure> {
        let added = self.peer_headers(planned, body.is_buffered());
        let added = packed_headers::pack(&parts.headers, added);
        let request = parts.hop_request(&self.dialect, added);
        let address = planned.server.address;
        let give_up_at = BootInstant::now() + planned.left;
        let sending = self.pools.send(address, &request, body, planned.left);
        let mut response = sending.await?;
        planned.reported_load = reported_load(&response);
        if let Some(notice) = server_notice(&response) {
            let instance = Arc::clone(&planned.server.instance);
            // The entry task ends only with the node.
            let _ = self
                .entry
                .send(EntryMessage::Stated(instance, notice))
                .await;
        }
        // A short response is buffered completely before it is forwarded, so that
        // an idempotent call can still be retried if the response breaks off.
        let left = give_up_at.saturating_duration_since(BootInstant::now());
        let buffering = response.body.buffer(BUFFERED_RESPONSE_MAX);
        let buffered = actix_rt::time::timeout(left, buffering).await;
        let broken = match buffered {
            Ok(Ok(_)) => None,
            Ok(Err(_)) => Some(RefusalReason::ConnectionBroken),
            Err(_) => Some(RefusalReason::DeadlinePassed),
        };
        if let Some(failure) = refused_by_peer(&response) {
            return Err(failure);
        }
        match broken {
            Some(reason) => Err(TryFailure {
                verdict: CallVerdict::MayHaveRun,
                reason,
            }),
            None => Ok(response),
        }
    }

    /// Returns the headers that tell the server's node about this attempt.
    fn peer_headers(&self, planned: &PlannedTry, repeatable: bool) -> HopHeaders {
        let plan = &planned.plan;
        let left = deadline_budget::for_next_hop(planned.left);
        let waited_ms = planned.waited.as_millis().to_string();
        let mut fields = vec![
            (KEY_HEADER, self.system_key.secret().to_owned()),
            (call_headers::SERVICE, plan.service.to_string()),
            (call_headers::ROUTE, plan.route.to_string()),
            (call_headers::PRIORITY, plan.priority.as_str().to_owned()),
            (call_headers::WAITED_MS, waited_ms),
            (call_headers::DEADLINE_MS, left.as_millis().to_string()),
        ];
        if let Some(target) = planned.target_left {
            fields.push((call_headers::TARGET_MS, target.as_millis().to_string()));
        }
        // A streamed body can be sent only once, so the server's node must not
        // refuse the call because of its wait.
        if let Some(wait_max) = planned.server.wait_max.filter(|_| repeatable) {
            fields.push((call_headers::WAIT_MAX_MS, wait_max.as_millis().to_string()));
        }
        if plan.origin == CallOrigin::Backend {
            fields.push((call_headers::INNER, "1".to_owned()));
        }
        if plan.repeats > RepeatProbability::FIRST {
            let share = plan.repeats.per_mille().to_string();
            fields.push((call_headers::REPEATS, share));
        }
        if let Some(notice) = &planned.notice {
            fields.push((call_headers::NOTICE, notice.to_string()));
        }
        if let Some(service) = &self.service {
            fields.push((call_headers::CALLER_SERVICE, service.to_string()));
        }
        let mut headers = Vec::new();
        for (name, value) in fields {
            headers.push((HeaderName::from_static(name), value));
        }
        headers
    }

    /// Records an attempt as rollout evidence if its service is under a move.
    async fn record_evidence(
        &self,
        planned: &PlannedTry,
        took: Duration,
        tried: &Result<HopResponse, TryFailure>,
    ) {
        let Some(number) = planned.measured else {
            return;
        };
        let (outcome, warm) = match tried {
            Ok(response) => {
                let warm = response.head.headers().get(call_headers::WARM);
                let status = response.head.status.as_u16();
                let warm = warm.map(|value| value == "1");
                (TryOutcome::from_status(status), warm)
            }
            Err(failure) => (TryOutcome::from_failure(failure), None),
        };
        let ended = ended_try(
            planned,
            MeasuredTry {
                took,
                outcome,
                warm: warm.unwrap_or_default(),
            },
        );
        // The entry task ends only with the node.
        let message = EntryMessage::Measured(number, warm, ended);
        let _ = self.entry.send(message).await;
    }

    /// Returns whether the backend server beside this node is the last one of
    /// the old version of a service under a move, so that the move still needs
    /// it. False if the entry task has ended.
    pub async fn is_last_old_server(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let asked = self.entry.send(EntryMessage::IsLastOldServer(reply)).await;
        asked.is_ok() && answer.await.unwrap_or(false)
    }
}

/// Builds the rollout evidence of an attempt.
fn ended_try(planned: &PlannedTry, measured: MeasuredTry) -> EndedTry {
    EndedTry {
        service: Arc::clone(&planned.plan.service),
        route: Arc::clone(&planned.plan.route),
        version: Arc::clone(&planned.server.version),
        measured,
    }
}

/// Returns the requested host in lower case and without the port; empty if
/// there is none.
fn host_of(request: &Request) -> String {
    let named = http_reply::header(request, HOST.as_str());
    let authority = request
        .uri()
        .authority()
        .map(|authority| authority.as_str());
    call_forward::host_name(authority.or(named).unwrap_or_default())
}

/// Returns whether a server's error response may be retried on another server:
/// the call comes from outside and is idempotent, and both its body and the
/// response are buffered completely.
fn may_retry_elsewhere(
    response: &HopResponse,
    planned: &PlannedTry,
    body: &CallBody,
) -> bool {
    let failed = [
        StatusCode::INTERNAL_SERVER_ERROR,
        StatusCode::BAD_GATEWAY,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    failed.contains(&response.head.status)
        && planned.plan.is_idempotent()
        && planned.plan.origin == CallOrigin::Outside
        && body.is_buffered()
        && response.body.is_complete()
}

/// Converts a backend server's response to the caller's reply.
fn caller_reply<G: 'static>(
    response: HopResponse,
    parts: &CallParts,
    give_up_at: BootInstant,
    guard: G,
) -> HttpReply {
    let mut reply =
        call_forward::forward_response(response, &parts.method, give_up_at, guard);
    let verdict = CallVerdict::Ran.as_str();
    http_reply::set_header(&mut reply, call_headers::VERDICT, verdict);
    reply
}
