//! The callers' side of a node: from a caller's request to its answer.

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
use cowslip_core::claim::RUN_TIME_MAX;
use cowslip_core::entry_router::CallOrigin;
use cowslip_core::entry_router::TryFailure;
use cowslip_core::load::deadline_budget;
use cowslip_core::load::repeat_probability::RepeatProbability;
use cowslip_core::load::server_load::ReportedLoad;
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
use crate::call_metrics::CallMetrics;
use crate::call_pools::CallPools;
use crate::claim_desk::ClaimDenial;
use crate::claim_desk::ClaimDesk;
use crate::claim_desk::KeyedCall;
use crate::entry_task::CallRefusal;
use crate::entry_task::EntryMessage;
use crate::entry_task::OwnedHead;
use crate::entry_task::PlannedTry;
use crate::entry_task::TryAnswer;
use crate::gate_task::GateStatus;
use crate::hop::HopResponse;
use crate::keyed_call;
use crate::node_stage::NodeStage;
use crate::refusal_reply::refusal_reply;

use self::try_guard::TryGuard;

mod try_guard;

/// Bytes of an answer that are held before any is passed on. Lookups answer
/// with some kilobytes; nine nodes with 110 MB each hold 50 of this size.
const HELD_ANSWER_MAX: usize = 128 * 1024;

/// What every call of the entry side needs.
pub struct EntryDesk {
    /// Sends calls to other nodes.
    pub pools: Rc<CallPools>,
    /// How callers read and write headers.
    pub dialect: Rc<CallDialect>,
    /// Service of the backend server beside this node, where it is told.
    pub service: Option<Arc<str>>,
    /// Key between nodes.
    pub system_key: AccessKey,
    /// What can be seen of the gate beside this node's backend server.
    pub view: GateStatus,
    /// The routing task.
    pub entry: mpsc::Sender<EntryMessage>,
    /// Claims of calls with a key.
    pub claims: Rc<ClaimDesk>,
    /// Counters of the entry side.
    pub metrics: CallMetrics,
    /// Lines about single calls.
    pub log: CallLog,
}

/// Serves one listener's calls.
pub struct EntryHandler {
    desk: Rc<EntryDesk>,
    origin: CallOrigin,
    stage: Rc<Cell<NodeStage>>,
}

impl EntryHandler {
    /// A handler for calls that come from `origin`, at a node in `stage`.
    pub fn new(
        desk: Rc<EntryDesk>,
        origin: CallOrigin,
        stage: Rc<Cell<NodeStage>>,
    ) -> Self {
        Self {
            desk,
            origin,
            stage,
        }
    }
}

impl HttpHandler for EntryHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let desk = Rc::clone(&self.desk);
        let origin = self.origin;
        let stage = Rc::clone(&self.stage);
        Box::pin(async move {
            let mut reply = desk.serve(request, origin, stage.get()).await;
            if stage.get() != NodeStage::Serving {
                let head = reply.head_mut();
                head.set_connection_type(ConnectionType::Close);
            }
            reply
        })
    }
}

fn not_run(reason: RefusalReason) -> CallRefusal {
    CallRefusal {
        reason,
        verdict: CallVerdict::NotRun,
    }
}

impl EntryDesk {
    /// Serves a call whole, over all of its tries; refuses it where a node in
    /// `stage` takes none like it.
    pub async fn serve(
        self: &Rc<Self>,
        request: Request,
        origin: CallOrigin,
        stage: NodeStage,
    ) -> HttpReply {
        let id = LoggedId::of(&request, &self.dialect.request_id);
        let began = BootInstant::now();
        // One that cannot be read is refused below.
        let named = &self.dialect.deadline_ms;
        let given = call_headers::deadline_in(request.headers(), named);
        let given = given.ok().flatten();
        match self.call(request, &id, origin, stage).await {
            Ok(reply) => {
                self.metrics.answered();
                reply
            }
            Err(refusal) => {
                self.metrics.refused(refusal.reason);
                self.log.refused(&id, refusal.reason, refusal.verdict);
                let left = given.map(|given| given.saturating_sub(began.elapsed()));
                refusal_reply(refusal, &self.dialect, left)
            }
        }
    }

    async fn call(
        self: &Rc<Self>,
        mut request: Request,
        id: &LoggedId,
        origin: CallOrigin,
        stage: NodeStage,
    ) -> Result<HttpReply, CallRefusal> {
        let named = &self.dialect.deadline_ms;
        let deadline = call_headers::deadline_in(request.headers(), named);
        let deadline = deadline.map_err(|_| not_run(RefusalReason::BadHeader))?;
        let customer = http_reply::header(&request, call_headers::CUSTOMER);
        let customer = customer.unwrap_or_default();
        if customer.len() > call_headers::CUSTOMER_BYTES_MAX {
            return Err(not_run(RefusalReason::BadHeader));
        }
        let key = keyed_call::key_of(&request).map_err(not_run)?;
        let named = Arc::<str>::from(customer);
        let head = OwnedHead {
            host: host_of(&request),
            path: request.path().to_owned(),
            origin,
            customer: customer.to_owned(),
            idempotent: call_headers::is_idempotent(request.method()),
            deadline,
            repeats: match origin {
                CallOrigin::Outside if !self.dialect.mixed_callers => {
                    RepeatProbability::FIRST
                }
                _ => self.view.repeat_probability(),
            },
        };
        let parts = CallParts::of(&request, &self.dialect);
        let mut body = CallBody::take(&mut request).await.map_err(not_run)?;
        let path = request.path();
        let call = key.map(|key| KeyedCall::new(&named, path, &key, &parts, &body));
        let planned = match self.admit(head, stage).await {
            Ok(planned) => planned,
            Err(refusal) => return self.refuse(call, refusal).await,
        };
        let Some(call) = call else {
            return self.run(id, planned, &parts, &mut body).await;
        };
        let desk = Rc::clone(self);
        // Goes on where the caller leaves, so that its resend finds the
        // answer and not a run of which nobody knows the end.
        let id = id.clone();
        let running = actix_rt::spawn(async move {
            desk.run_claimed(&id, call, planned, &parts, &mut body)
                .await
        });
        running.await.unwrap_or(Err(CallRefusal {
            reason: RefusalReason::ClaimUnanswered,
            verdict: CallVerdict::MayHaveRun,
        }))
    }

    async fn admit(&self, head: OwnedHead, stage: NodeStage) -> TryAnswer {
        if !stage.accepts(head.deadline) {
            return Err(not_run(RefusalReason::Stopping));
        }
        let (reply, answer) = oneshot::channel();
        let message = EntryMessage::Admit(head, reply);
        self.ask(message, answer, CallVerdict::NotRun).await
    }

    async fn refuse(
        &self,
        call: Option<KeyedCall>,
        refusal: CallRefusal,
    ) -> Result<HttpReply, CallRefusal> {
        let Some(call) = call else {
            return Err(refusal);
        };
        match self.claims.refuse(call, refusal).await {
            ClaimDenial::Answered(answer) => Ok(keyed_call::replay(&answer)),
            ClaimDenial::Refused(refusal) => Err(refusal),
        }
    }

    /// Runs a call under its key, at most once.
    async fn run_claimed(
        &self,
        id: &LoggedId,
        call: KeyedCall,
        planned: PlannedTry,
        parts: &CallParts,
        body: &mut CallBody,
    ) -> Result<HttpReply, CallRefusal> {
        let claim = match self.claims.open(call).await {
            Ok(claim) => claim,
            Err(denial) => {
                drop(TryGuard::new(self.entry.clone(), &planned));
                return match denial {
                    ClaimDenial::Answered(answer) => Ok(keyed_call::replay(&answer)),
                    ClaimDenial::Refused(refusal) => Err(refusal),
                };
            }
        };
        let running = self.run(id, planned, parts, body);
        match actix_rt::time::timeout(RUN_TIME_MAX, running).await {
            Ok(Ok(reply)) => keyed_call::keep(&self.claims, claim, reply).await,
            Ok(Err(refusal)) => {
                let end = RunEnd::refused(refusal.verdict);
                self.claims.end(claim, end).await;
                Err(refusal)
            }
            Err(_) => Err(CallRefusal {
                reason: RefusalReason::DeadlinePassed,
                verdict: CallVerdict::MayHaveRun,
            }),
        }
    }

    /// Tries until a backend server has answered or the call is given up.
    async fn run(
        &self,
        id: &LoggedId,
        mut planned: PlannedTry,
        parts: &CallParts,
        body: &mut CallBody,
    ) -> Result<HttpReply, CallRefusal> {
        // An answer by which a server failed the call, while another server
        // is asked. Where no other helps, the caller gets it as it came.
        let mut failed_answer: Option<HopResponse> = None;
        loop {
            let mut guard = TryGuard::new(self.entry.clone(), &planned);
            let started = BootInstant::now();
            let tried = self.attempt(&mut planned, parts, body).await;
            self.measure(&planned, started.elapsed(), &tried).await;
            let failure = match tried {
                Ok(answer) if may_ask_another(&answer, &planned, body) => {
                    failed_answer = Some(answer);
                    TryFailure {
                        verdict: CallVerdict::Ran,
                        reason: RefusalReason::ServerFailed,
                    }
                }
                Ok(answer) => {
                    let target = planned.target_left;
                    if target.is_some_and(|target| started.elapsed() > target) {
                        let server = &planned.server.instance;
                        self.log
                            .late(id, server, started.elapsed() + planned.waited);
                    }
                    guard.answered(&planned.plan, &answer, started.elapsed());
                    let give_up_at = started + planned.left;
                    return Ok(pass_answer(answer, parts, give_up_at, guard));
                }
                Err(failure) => failure,
            };
            guard.disarm();
            if !body.is_held() {
                planned.plan.forbid_retry();
            }
            let server = Arc::clone(&planned.server.instance);
            let (reply, answer) = oneshot::channel();
            let so_far = planned.plan.verdict.max(failure.verdict);
            let failed = EntryMessage::Failed(Box::new(planned), failure, reply);
            planned = match (self.ask(failed, answer, so_far).await, failed_answer.take())
            {
                (Ok(next), held) => {
                    failed_answer = held;
                    next
                }
                (Err(_), Some(answer)) => {
                    return Ok(pass_answer(answer, parts, BootInstant::now(), ()));
                }
                (Err(refusal), None) => return Err(refusal),
            };
            if failure.reason != RefusalReason::NoFreeSlot {
                self.log.retried(id, &server, failure);
            }
            if let Some(reason) = planned.retry {
                self.metrics.retried(reason);
            }
        }
    }

    /// Asks the routing task. Where it has ended, the call is refused with
    /// the verdict of its tries so far: "not run" after a broken try would
    /// make its caller repeat a non-idempotent call that may have run.
    async fn ask(
        &self,
        message: EntryMessage,
        answer: oneshot::Receiver<TryAnswer>,
        so_far: CallVerdict,
    ) -> TryAnswer {
        let stopping = CallRefusal {
            reason: RefusalReason::Stopping,
            verdict: so_far,
        };
        if self.entry.send(message).await.is_err() {
            return Err(stopping);
        }
        answer.await.unwrap_or(Err(stopping))
    }

    async fn attempt(
        &self,
        planned: &mut PlannedTry,
        parts: &CallParts,
        body: &mut CallBody,
    ) -> Result<HopResponse, TryFailure> {
        let request =
            parts.hop_request(&self.dialect, self.peer_headers(planned, body.is_held()));
        let address = planned.server.address;
        let give_up_at = BootInstant::now() + planned.left;
        let sending = self.pools.send(address, &request, body, planned.left);
        let mut answer = sending.await?;
        planned.told_load = told_load(&answer);
        // Short answers are held until they are whole: one that breaks off
        // can then still be asked for again, where that does no harm.
        let left = give_up_at.saturating_duration_since(BootInstant::now());
        let holding = answer.body.buffer(HELD_ANSWER_MAX);
        let held = actix_rt::time::timeout(left, holding).await;
        let broken = match held {
            Ok(Ok(_)) => None,
            Ok(Err(_)) => Some(RefusalReason::ConnectionBroken),
            Err(_) => Some(RefusalReason::DeadlinePassed),
        };
        if let Some(failure) = refused_by_peer(&answer) {
            return Err(failure);
        }
        match broken {
            Some(reason) => Err(TryFailure {
                verdict: CallVerdict::MayHaveRun,
                reason,
            }),
            None => Ok(answer),
        }
    }

    fn peer_headers(&self, planned: &PlannedTry, repeatable: bool) -> HopHeaders {
        let plan = &planned.plan;
        let left = deadline_budget::for_next_hop(planned.left);
        let waited_ms = planned.waited.as_millis().to_string();
        let mut told = vec![
            (KEY_HEADER, self.system_key.secret().to_owned()),
            (call_headers::SERVICE, plan.service.to_string()),
            (call_headers::ROUTE, plan.route.to_string()),
            (call_headers::PRIORITY, plan.priority.as_str().to_owned()),
            (call_headers::WAITED_MS, waited_ms),
            (call_headers::DEADLINE_MS, left.as_millis().to_string()),
        ];
        if let Some(target) = planned.target_left {
            told.push((call_headers::TARGET_MS, target.as_millis().to_string()));
        }
        // A body that streams is spent with the first offer.
        if let Some(most) = planned.server.wait_max.filter(|_| repeatable) {
            told.push((call_headers::WAIT_MAX_MS, most.as_millis().to_string()));
        }
        if plan.origin == CallOrigin::Backend {
            told.push((call_headers::INNER, "1".to_owned()));
        }
        if plan.repeats > RepeatProbability::FIRST {
            let share = plan.repeats.per_mille().to_string();
            told.push((call_headers::REPEATS, share));
        }
        if let Some(service) = &self.service {
            told.push((call_headers::CALLER_SERVICE, service.to_string()));
        }
        let mut added = Vec::new();
        for (name, value) in told {
            added.push((HeaderName::from_static(name), value));
        }
        added
    }

    /// Counts a try of a service under a move as evidence.
    async fn measure(
        &self,
        planned: &PlannedTry,
        took: Duration,
        tried: &Result<HopResponse, TryFailure>,
    ) {
        if !planned.measured {
            return;
        }
        let (end, warm) = match tried {
            Ok(answer) => {
                let warm = answer.head.headers().get(call_headers::WARM);
                let status = answer.head.status.as_u16();
                let warm = warm.is_some_and(|value| value == "1");
                (TryOutcome::from_status(status), warm)
            }
            Err(failure) => (TryOutcome::from_failure(failure), false),
        };
        let ended = ended_try(planned, MeasuredTry { took, end, warm });
        // The entry task ends only with the node.
        let _ = self.entry.send(EntryMessage::Tried(ended)).await;
    }

    /// Whether a move still needs the backend server beside this node.
    pub async fn is_last_old_server(&self) -> bool {
        let (reply, answer) = oneshot::channel();
        let asked = self.entry.send(EntryMessage::IsLastOfOld(reply)).await;
        asked.is_ok() && answer.await.unwrap_or(false)
    }
}

/// A try of a service under a move, as evidence.
fn ended_try(planned: &PlannedTry, measured: MeasuredTry) -> EndedTry {
    EndedTry {
        service: Arc::clone(&planned.plan.service),
        route: Arc::clone(&planned.plan.route),
        version: Arc::clone(&planned.server.version),
        measured,
    }
}

/// Host that the caller names, without a port.
fn host_of(request: &Request) -> String {
    let named = http_reply::header(request, HOST.as_str());
    let authority = request
        .uri()
        .authority()
        .map(|authority| authority.as_str());
    let host = authority.or(named).unwrap_or_default();
    let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
    name.to_ascii_lowercase()
}

/// Whether a server's failure may be mended by another server: the call is
/// idempotent, and both its body and the answer are held whole.
fn may_ask_another(answer: &HopResponse, planned: &PlannedTry, body: &CallBody) -> bool {
    let failed = [
        StatusCode::INTERNAL_SERVER_ERROR,
        StatusCode::BAD_GATEWAY,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    failed.contains(&answer.head.status)
        && planned.plan.is_idempotent()
        && planned.plan.origin == CallOrigin::Outside
        && body.is_held()
        && answer.body.is_complete()
}

fn pass_answer<G: 'static>(
    answer: HopResponse,
    parts: &CallParts,
    give_up_at: BootInstant,
    guard: G,
) -> HttpReply {
    let mut reply = call_forward::pass_back(answer, &parts.method, give_up_at, guard);
    let verdict = CallVerdict::Ran.as_str();
    http_reply::set_header(&mut reply, call_headers::VERDICT, verdict);
    reply
}

/// How long a call would wait at the server now, as its node says.
fn told_load(answer: &HopResponse) -> Option<ReportedLoad> {
    Some(ReportedLoad {
        wait: told_time(answer, call_headers::WAIT_MS)?,
        work: told_time(answer, call_headers::WORK_MS),
    })
}

fn told_time(answer: &HopResponse, name: &str) -> Option<Duration> {
    let value = answer.head.headers().get(name)?;
    let millis = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

/// What the server's node says where no backend server answered.
fn refused_by_peer(answer: &HopResponse) -> Option<TryFailure> {
    let text = |name: &str| answer.head.headers().get(name)?.to_str().ok();
    let verdict = CallVerdict::parse(text(call_headers::VERDICT)?)?;
    if verdict == CallVerdict::Ran {
        return None;
    }
    let reason = text(call_headers::REASON).and_then(RefusalReason::parse);
    let reason = reason.unwrap_or(RefusalReason::ConnectionBroken);
    Some(TryFailure { verdict, reason })
}
