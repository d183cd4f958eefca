//! Task that tells nodes which of their servers' runs have departed.
//!
//! Load pattern: all nodes of a large fleet start at once, and each asks. Only the
//! leader knows what is agreed, so an instance that follows it asks once for all nodes
//! that wait.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::departure::Departure;
use cowslip_wire::departure_messages::DeparturesCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::process_log::LogValue;

use crate::agreement_task::AgreementHandle;
use crate::agreement_task::AgreementMessage;

/// Capacity of the task's queue. While it is full, senders wait.
const QUEUE_CAPACITY: usize = 1_024;

/// Time for which questions are gathered.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Largest number of questions that are answered together.
const BATCH_MAX: usize = 256;

/// Timeout of a question to the leader.
const LEADER_TIMEOUT: Duration = Duration::from_millis(300);

type DeparturesAnswer = LeaderAnswer<Vec<Departure>>;

/// Questions about the departures of the servers beside some nodes.
pub struct DepartureQuestion {
    /// The question.
    pub call: DeparturesCall,
    /// Receives the answer.
    pub reply: oneshot::Sender<DeparturesAnswer>,
}

/// Channel to the running task.
pub type DepartureHandle = mpsc::Sender<DepartureQuestion>;

struct DepartureTask {
    agreement: AgreementHandle,
    client: PeerClient,
}

/// Starts the task.
pub fn spawn(agreement: AgreementHandle, client: PeerClient) -> DepartureHandle {
    let task = DepartureTask { agreement, client };
    let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(task.run(receiver));
    sender
}

impl DepartureTask {
    async fn run(self, mut receiver: mpsc::Receiver<DepartureQuestion>) {
        let mut questions = Vec::new();
        while receiver.recv_many(&mut questions, BATCH_MAX).await > 0 {
            let view = *self.agreement.leader.borrow();
            if !view.is_leading() && questions.len() < BATCH_MAX {
                actix_rt::time::sleep(GATHER_TIME).await;
                while questions.len() < BATCH_MAX {
                    let Ok(question) = receiver.try_recv() else {
                        break;
                    };
                    questions.push(question);
                }
            }
            self.answer(std::mem::take(&mut questions)).await;
        }
    }

    async fn answer(&self, questions: Vec<DepartureQuestion>) {
        let mut nodes = Vec::new();
        for question in &questions {
            nodes.extend(question.call.nodes.iter().cloned());
        }
        let departures = match self.ask(nodes).await {
            LeaderAnswer::Answered(departures) => departures,
            failed => {
                for question in questions {
                    // The caller has given up if it no longer waits.
                    let _ = question.reply.send(failed.clone());
                }
                return;
            }
        };
        let mut by_node: BTreeMap<Arc<str>, Vec<Departure>> = BTreeMap::new();
        for departure in departures {
            let node = Arc::clone(&departure.node);
            by_node.entry(node).or_default().push(departure);
        }
        for DepartureQuestion { call, reply } in questions {
            let mut asked = Vec::new();
            for node in &call.nodes {
                asked.extend(by_node.get(node).cloned().unwrap_or_default());
            }
            let _ = reply.send(LeaderAnswer::Answered(asked));
        }
    }

    async fn ask(&self, nodes: Vec<Arc<str>>) -> DeparturesAnswer {
        let view = *self.agreement.leader.borrow();
        match view.address {
            Some(leader) if !view.is_leading() => {
                self.ask_leader(
                    leader,
                    DeparturesCall {
                        nodes,
                        forwarded: true,
                    },
                )
                .await
            }
            _ => self.ask_agreement(nodes).await,
        }
    }

    async fn ask_agreement(&self, nodes: Vec<Arc<str>>) -> DeparturesAnswer {
        let (reply, answer) = oneshot::channel();
        let message = AgreementMessage::Departures(nodes, reply);
        if self.agreement.task.send(message).await.is_err() {
            return LeaderAnswer::Unknown;
        }
        answer.await.unwrap_or(LeaderAnswer::Unknown)
    }

    async fn ask_leader(
        &self,
        leader: SocketAddr,
        call: DeparturesCall,
    ) -> DeparturesAnswer {
        match self.client.send(leader, &call, LEADER_TIMEOUT).await {
            Ok(answer) => answer,
            Err(error) => {
                warn!(
                    "event=departures-unanswered process=control leader={leader} nodes={} error={}",
                    call.nodes.len(),
                    LogValue(error)
                );
                LeaderAnswer::Unknown
            }
        }
    }
}
