//! HTTP handler of a control instance: decodes POST requests, passes them
//! to the tasks as messages and encodes their answers.

use std::rc::Rc;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::departure::Departure;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::agreement_messages::AgreeCall;
use cowslip_wire::agreement_messages::MemberCall;
use cowslip_wire::agreement_messages::MembersCall;
use cowslip_wire::crash_messages::CrashCall;
use cowslip_wire::departure_messages::DepartCall;
use cowslip_wire::departure_messages::DeparturesCall;
use cowslip_wire::evidence_messages::EvidenceCall;
use cowslip_wire::evidence_messages::RolloutsCall;
use cowslip_wire::follow_messages::ChunkCall;
use cowslip_wire::follow_messages::FollowCall;
use cowslip_wire::follow_messages::ReportCall;
use cowslip_wire::http_listener::HttpHandler;
use cowslip_wire::http_listener::ReplyFuture;
use cowslip_wire::http_reply;
use cowslip_wire::http_reply::HttpReply;
use cowslip_wire::message_reply;
use cowslip_wire::message_reply::encoded;
use cowslip_wire::messages::CallAccess;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::EndpointsCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::messages::MoveLine;
use cowslip_wire::messages::MovesCall;
use cowslip_wire::messages::ShowCall;
use cowslip_wire::messages::StatusCall;
use cowslip_wire::messages::WireCall;
use cowslip_wire::wall_clock;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;
use crate::departure_task::DepartureHandle;
use crate::departure_task::DepartureQuestion;
use crate::evacuation_api::EvacuationApi;
use crate::fanout_task::FanoutMessage;
use crate::quarantine_task::QuarantineHandle;
use crate::rollout_api::RolloutApi;
use crate::rollout_task::RolloutMessage;

/// Serves requests of operators, nodes and other control instances.
pub struct ControlHandler {
    dispatcher: Rc<RequestDispatcher>,
}

struct RequestDispatcher {
    operator_key: AccessKey,
    system_key: AccessKey,
    agreement: AgreementHandle,
    fanout: mpsc::Sender<FanoutMessage>,
    rollout_api: RolloutApi,
    evacuation_api: EvacuationApi,
    quarantines: QuarantineHandle,
    departures: DepartureHandle,
}

impl ControlHandler {
    /// Creates a handler that passes requests to the tasks of the two APIs and to those
    /// of quarantines and departures.
    pub fn new(
        operator_key: AccessKey,
        system_key: AccessKey,
        rollout_api: RolloutApi,
        evacuation_api: EvacuationApi,
        quarantines: QuarantineHandle,
        departures: DepartureHandle,
    ) -> Self {
        let dispatcher = RequestDispatcher {
            operator_key,
            system_key,
            agreement: rollout_api.agreement.clone(),
            fanout: rollout_api.fanout.clone(),
            rollout_api,
            evacuation_api,
            quarantines,
            departures,
        };
        Self {
            dispatcher: Rc::new(dispatcher),
        }
    }
}

impl HttpHandler for ControlHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let dispatcher = Rc::clone(&self.dispatcher);
        Box::pin(async move {
            dispatcher
                .dispatch(request)
                .await
                .unwrap_or_else(|refused| refused)
        })
    }
}

impl RequestDispatcher {
    async fn dispatch(&self, mut request: Request) -> Result<HttpReply, HttpReply> {
        if request.method() != Method::POST {
            let status = StatusCode::METHOD_NOT_ALLOWED;
            return Err(http_reply::text(status, "messages are posts"));
        }
        let path = request.path().to_owned();
        match path.as_str() {
            ChangeCall::PATH => {
                let call: ChangeCall = self.read(&mut request).await?;
                Ok(encoded(&self.change(call.entry).await?))
            }
            AgreeCall::PATH => {
                let call: AgreeCall = self.read(&mut request).await?;
                let sent = self
                    .agreement
                    .task
                    .send(AgreementMessage::PeerMessages(call.messages));
                sent.await.map_err(|_| stopping_reply())?;
                Ok(encoded(&()))
            }
            MemberCall::PATH => {
                let call: MemberCall = self.read(&mut request).await?;
                let answer = self.ask_agreement(|reply| {
                    AgreementMessage::ChangeMembers(call.change, reply)
                });
                Ok(encoded(&answer.await?))
            }
            MembersCall::PATH => {
                let _: MembersCall = self.read(&mut request).await?;
                Ok(encoded(
                    &self.ask_agreement(AgreementMessage::Members).await?,
                ))
            }
            ShowCall::PATH => {
                let _: ShowCall = self.read(&mut request).await?;
                Ok(encoded(
                    &self.ask_fanout_as_leader(FanoutMessage::Snapshot).await?,
                ))
            }
            MovesCall::PATH => {
                let call: MovesCall = self.read(&mut request).await?;
                Ok(encoded(&self.moves(call).await?))
            }
            StatusCall::PATH => {
                let _: StatusCall = self.read(&mut request).await?;
                Ok(encoded(
                    &self.ask_fanout_as_leader(FanoutMessage::Status).await?,
                ))
            }
            EndpointsCall::PATH => {
                let _: EndpointsCall = self.read(&mut request).await?;
                Ok(encoded(
                    &self.ask_fanout_as_leader(FanoutMessage::Endpoints).await?,
                ))
            }
            FollowCall::PATH => {
                let call: FollowCall = self.read(&mut request).await?;
                let answer = self.ask_fanout(|reply| FanoutMessage::Follow(call, reply));
                Ok(message_reply::from_encoded(answer.await?))
            }
            ChunkCall::PATH => {
                let call: ChunkCall = self.read(&mut request).await?;
                let answer = self.ask_fanout(|reply| FanoutMessage::Chunk(call, reply));
                Ok(encoded(&answer.await?))
            }
            ReportCall::PATH => {
                let call: ReportCall = self.read(&mut request).await?;
                let sent = self.fanout.send(FanoutMessage::Report(call.batch)).await;
                sent.map_err(|_| stopping_reply())?;
                Ok(encoded(&()))
            }
            EvidenceCall::PATH => {
                let call: EvidenceCall = self.read(&mut request).await?;
                let message = RolloutMessage::Evidence(call);
                let sent = self.rollout_api.rollouts.send(message).await;
                sent.map_err(|_| stopping_reply())?;
                Ok(encoded(&()))
            }
            CrashCall::PATH => {
                let call: CrashCall = self.read(&mut request).await?;
                let sent = self.quarantines.send(call).await;
                sent.map_err(|_| stopping_reply())?;
                Ok(encoded(&()))
            }
            DepartCall::PATH => {
                let call: DepartCall = self.read(&mut request).await?;
                if !call.departure.has_possible_names() {
                    let status = StatusCode::BAD_REQUEST;
                    return Err(http_reply::text(status, "its names are too long"));
                }
                let kept = self.ask_agreement(|reply| {
                    AgreementMessage::Depart(call.departure, reply)
                });
                Ok(encoded(&kept.await?))
            }
            DeparturesCall::PATH => {
                let call: DeparturesCall = self.read(&mut request).await?;
                Ok(encoded(&self.departures(call).await?))
            }
            RolloutsCall::PATH => {
                let call: RolloutsCall = self.read(&mut request).await?;
                let lines = self.rollout_api.lines(call).await;
                Ok(encoded(&lines.ok_or_else(stopping_reply)?))
            }
            _ => Err(http_reply::text(StatusCode::NOT_FOUND, "no such message")),
        }
    }

    async fn change(
        &self,
        mut entry: ChangeEntry,
    ) -> Result<LeaderAnswer<ChangeOutcome>, HttpReply> {
        if let Err(fault) = entry.check_request_id() {
            let faults = vec![fault];
            return Ok(LeaderAnswer::Answered(ChangeOutcome::Invalid { faults }));
        }
        if let Err(refused) = self.rollout_api.prepare_change(&mut entry).await {
            return Ok(LeaderAnswer::Answered(refused));
        }
        if let Err(refused) = self.evacuation_api.prepare_change(&mut entry).await {
            return Ok(LeaderAnswer::Answered(refused));
        }
        if let ConfigChange::Quarantine(_) = &entry.change {
            entry.at_ms = wall_clock::millis();
        }
        self.ask_agreement(|reply| AgreementMessage::Change(Box::new(entry), reply))
            .await
    }

    /// Checks the access key, then reads and decodes the message.
    async fn read<C: WireCall>(&self, request: &mut Request) -> Result<C, HttpReply> {
        let key = match C::ACCESS {
            CallAccess::Operator => &self.operator_key,
            CallAccess::System => &self.system_key,
        };
        message_reply::read(request, key).await
    }

    async fn ask_agreement<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> AgreementMessage,
    ) -> Result<T, HttpReply> {
        let (reply, answer) = oneshot::channel();
        let sent = self.agreement.task.send(message(reply)).await;
        sent.map_err(|_| stopping_reply())?;
        answer.await.map_err(|_| stopping_reply())
    }

    async fn ask_fanout<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> FanoutMessage,
    ) -> Result<T, HttpReply> {
        let (reply, answer) = oneshot::channel();
        let sent = self.fanout.send(message(reply)).await;
        sent.map_err(|_| stopping_reply())?;
        answer.await.map_err(|_| stopping_reply())
    }

    /// Asks the fan-out task if this instance leads; otherwise returns the
    /// leader's address.
    async fn ask_fanout_as_leader<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> FanoutMessage,
    ) -> Result<LeaderAnswer<T>, HttpReply> {
        let view = *self.agreement.leader.borrow();
        if !view.is_leading() {
            return Ok(LeaderAnswer::NotLeader(view.address));
        }
        Ok(LeaderAnswer::Answered(self.ask_fanout(message).await?))
    }

    async fn departures(
        &self,
        call: DeparturesCall,
    ) -> Result<LeaderAnswer<Vec<Departure>>, HttpReply> {
        // Two instances that name each other as leader must not ask in turn.
        if call.forwarded {
            let message = |reply| AgreementMessage::Departures(call.nodes, reply);
            return self.ask_agreement(message).await;
        }
        let (reply, answer) = oneshot::channel();
        let sent = self
            .departures
            .send(DepartureQuestion { call, reply })
            .await;
        sent.map_err(|_| stopping_reply())?;
        answer.await.map_err(|_| stopping_reply())
    }

    async fn moves(
        &self,
        call: MovesCall,
    ) -> Result<LeaderAnswer<Vec<MoveLine>>, HttpReply> {
        let mut changes = match self.ask_agreement(AgreementMessage::History).await? {
            LeaderAnswer::Answered(changes) => changes,
            LeaderAnswer::NotLeader(leader) => {
                return Ok(LeaderAnswer::NotLeader(leader))
            }
            LeaderAnswer::Unknown => return Ok(LeaderAnswer::Unknown),
        };
        if let Some(version) = call.version {
            changes.retain(|change| change.version == version);
        }
        self.ask_fanout_as_leader(|reply| FanoutMessage::Moves(changes, reply))
            .await
    }
}

fn stopping_reply() -> HttpReply {
    http_reply::text(StatusCode::SERVICE_UNAVAILABLE, "this instance is stopping")
}
