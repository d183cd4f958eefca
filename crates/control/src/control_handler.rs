//! The HTTP face of a control instance: from posts to task messages.

use std::rc::Rc;

use actix_http::Method;
use actix_http::Request;
use actix_http::StatusCode;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::agreement_messages::AgreeCall;
use cowslip_wire::agreement_messages::MemberCall;
use cowslip_wire::agreement_messages::MembersCall;
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

use crate::agreed_task::AgreedHandle;
use crate::agreed_task::AgreedMessage;
use crate::fanout_task::FanoutMessage;
use crate::rollout_desk::RolloutDesk;
use crate::rollout_task::RolloutHandle;
use crate::rollout_task::RolloutMessage;

/// Serves operators, nodes and other control instances.
pub struct ControlHandler {
    desk: Rc<ControlDesk>,
}

struct ControlDesk {
    operator_key: AccessKey,
    system_key: AccessKey,
    agreed: AgreedHandle,
    fanout: mpsc::Sender<FanoutMessage>,
    rollouts: RolloutDesk,
}

impl ControlHandler {
    /// A handler that passes messages to the two tasks.
    pub fn new(
        operator_key: AccessKey,
        system_key: AccessKey,
        agreed: AgreedHandle,
        fanout: mpsc::Sender<FanoutMessage>,
        rollouts: RolloutHandle,
    ) -> Self {
        let rollouts = RolloutDesk {
            agreed: agreed.clone(),
            fanout: fanout.clone(),
            rollouts,
        };
        let desk = ControlDesk {
            operator_key,
            system_key,
            agreed,
            fanout,
            rollouts,
        };
        Self {
            desk: Rc::new(desk),
        }
    }
}

impl HttpHandler for ControlHandler {
    fn handle(&self, request: Request) -> ReplyFuture {
        let desk = Rc::clone(&self.desk);
        Box::pin(
            async move { desk.reply(request).await.unwrap_or_else(|refused| refused) },
        )
    }
}

impl ControlDesk {
    async fn reply(&self, mut request: Request) -> Result<HttpReply, HttpReply> {
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
                let sent = self.agreed.task.send(AgreedMessage::Peer(call.messages));
                sent.await.map_err(|_| stopping())?;
                Ok(encoded(&()))
            }
            MemberCall::PATH => {
                let call: MemberCall = self.read(&mut request).await?;
                let answer =
                    self.agreed(|reply| AgreedMessage::Member(call.change, reply));
                Ok(encoded(&answer.await?))
            }
            MembersCall::PATH => {
                let _: MembersCall = self.read(&mut request).await?;
                Ok(encoded(&self.agreed(AgreedMessage::Members).await?))
            }
            ShowCall::PATH => {
                let _: ShowCall = self.read(&mut request).await?;
                Ok(encoded(&self.leading(FanoutMessage::Show).await?))
            }
            MovesCall::PATH => {
                let call: MovesCall = self.read(&mut request).await?;
                Ok(encoded(&self.moves(call).await?))
            }
            StatusCall::PATH => {
                let _: StatusCall = self.read(&mut request).await?;
                Ok(encoded(&self.leading(FanoutMessage::Status).await?))
            }
            EndpointsCall::PATH => {
                let _: EndpointsCall = self.read(&mut request).await?;
                Ok(encoded(&self.leading(FanoutMessage::Endpoints).await?))
            }
            FollowCall::PATH => {
                let call: FollowCall = self.read(&mut request).await?;
                let answer = self.fanout(|reply| FanoutMessage::Follow(call, reply));
                Ok(message_reply::from_encoded(answer.await?))
            }
            ChunkCall::PATH => {
                let call: ChunkCall = self.read(&mut request).await?;
                let answer = self.fanout(|reply| FanoutMessage::Chunk(call, reply));
                Ok(encoded(&answer.await?))
            }
            ReportCall::PATH => {
                let call: ReportCall = self.read(&mut request).await?;
                let sent = self.fanout.send(FanoutMessage::Report(call.batch)).await;
                sent.map_err(|_| stopping())?;
                Ok(encoded(&()))
            }
            EvidenceCall::PATH => {
                let call: EvidenceCall = self.read(&mut request).await?;
                let message = RolloutMessage::Evidence(call);
                let sent = self.rollouts.rollouts.send(message).await;
                sent.map_err(|_| stopping())?;
                Ok(encoded(&()))
            }
            RolloutsCall::PATH => {
                let call: RolloutsCall = self.read(&mut request).await?;
                let lines = self.rollouts.lines(call).await;
                Ok(encoded(&lines.ok_or_else(stopping)?))
            }
            _ => Err(http_reply::text(StatusCode::NOT_FOUND, "no such message")),
        }
    }

    async fn change(
        &self,
        mut entry: ChangeEntry,
    ) -> Result<LeaderAnswer<ChangeOutcome>, HttpReply> {
        if let Err(refused) = self.rollouts.admit(&mut entry).await {
            return Ok(LeaderAnswer::Here(refused));
        }
        self.agreed(|reply| AgreedMessage::Change(Box::new(entry), reply))
            .await
    }

    /// Checks the key, then reads and decodes the message.
    async fn read<C: WireCall>(&self, request: &mut Request) -> Result<C, HttpReply> {
        let key = match C::ACCESS {
            CallAccess::Operator => &self.operator_key,
            CallAccess::System => &self.system_key,
        };
        message_reply::read(request, key).await
    }

    async fn agreed<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> AgreedMessage,
    ) -> Result<T, HttpReply> {
        let (reply, answer) = oneshot::channel();
        let sent = self.agreed.task.send(message(reply)).await;
        sent.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }

    async fn fanout<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> FanoutMessage,
    ) -> Result<T, HttpReply> {
        let (reply, answer) = oneshot::channel();
        let sent = self.fanout.send(message(reply)).await;
        sent.map_err(|_| stopping())?;
        answer.await.map_err(|_| stopping())
    }

    /// Asks the fan-out task, where this instance leads.
    async fn leading<T>(
        &self,
        message: impl FnOnce(oneshot::Sender<T>) -> FanoutMessage,
    ) -> Result<LeaderAnswer<T>, HttpReply> {
        let view = *self.agreed.leader.borrow();
        if !view.leading() {
            return Ok(LeaderAnswer::Elsewhere(view.address));
        }
        Ok(LeaderAnswer::Here(self.fanout(message).await?))
    }

    async fn moves(
        &self,
        call: MovesCall,
    ) -> Result<LeaderAnswer<Vec<MoveLine>>, HttpReply> {
        let mut changes = match self.agreed(AgreedMessage::History).await? {
            LeaderAnswer::Here(changes) => changes,
            LeaderAnswer::Elsewhere(leader) => {
                return Ok(LeaderAnswer::Elsewhere(leader))
            }
            LeaderAnswer::Unknown => return Ok(LeaderAnswer::Unknown),
        };
        if let Some(version) = call.version {
            changes.retain(|change| change.version == version);
        }
        self.leading(|reply| FanoutMessage::Moves(changes, reply))
            .await
    }
}

fn stopping() -> HttpReply {
    http_reply::text(StatusCode::SERVICE_UNAVAILABLE, "this instance is stopping")
}
