//! Claims keys at their holders before a non-idempotent call runs, and
//! writes there how the run ended.
//!
//! The decisions are those of `cowslip_core::claim`; this carries its
//! messages.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use cowslip_core::claim::ClaimKey;
use cowslip_core::claim::ClaimOutcome;
use cowslip_core::claim::ClaimProposal;
use cowslip_core::claim::ClaimReply;
use cowslip_core::claim::ClaimRequest;
use cowslip_core::claim::ClaimState;
use cowslip_core::claim::ClaimStep;
use cowslip_core::claim::ClaimSubject;
use cowslip_core::claim::KeptAnswer;
use cowslip_core::claim::KeyDigest;
use cowslip_core::claim::RunEnd;
use cowslip_core::claim::RunToken;
use cowslip_core::claim::CLOCK_SKEW;
use cowslip_core::refusal::RefusalReason;
use cowslip_core::verdict::CallVerdict;
use cowslip_wire::claim_messages::ClaimCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::wall_clock;

use crate::entry_task::CallRefusal;
use crate::entry_task::EntryMessage;
use crate::entry_task::KeyHolders;

/// A holder that has not answered by then counts as lost. A hundred times
/// the round trip between two failure domains of the users'.
const HOLDER_PATIENCE: Duration = Duration::from_millis(300);

/// Longest pause after being outbid; a few round trips.
const OUTBID_PAUSE_MS: u64 = 15;

/// Tries to write a run's end before it is left to its time.
const END_TRIES: u32 = 3;

/// Pause between them, so that a holder that is being replaced is back.
const END_PAUSE: Duration = Duration::from_secs(1);

/// Longest time that an answer waits for being kept: one lost holder.
const KEEP_PATIENCE: Duration = Duration::from_millis(350);

/// A call that carries a key.
#[derive(Clone, Copy, Debug)]
pub struct KeyedCall {
    /// The key in its customer and path.
    pub key: ClaimKey,
    /// Digest of the request.
    pub request: KeyDigest,
}

/// Why a keyed call does not run now.
pub enum ClaimDenial {
    /// It is refused.
    Refused(CallRefusal),
    /// It has run; this is its answer.
    Answered(KeptAnswer),
}

/// A claim that was granted, until its run is over.
pub struct OpenClaim {
    proposal: ClaimProposal,
    addresses: HashMap<Arc<str>, SocketAddr>,
}

/// What claims need.
pub struct ClaimDesk {
    node: Arc<str>,
    incarnation: u64,
    serial: Cell<u64>,
    entry: mpsc::Sender<EntryMessage>,
    peers: PeerClient,
}

fn refused(reason: RefusalReason, verdict: CallVerdict) -> ClaimDenial {
    ClaimDenial::Refused(CallRefusal { reason, verdict })
}

/// What a caller is told of a key that is not granted.
fn denial(outcome: ClaimOutcome) -> ClaimDenial {
    match outcome {
        ClaimOutcome::Answered(answer) => ClaimDenial::Answered(answer),
        ClaimOutcome::AnswerNotKept => {
            refused(RefusalReason::AnswerNotKept, CallVerdict::Ran)
        }
        ClaimOutcome::KeyReused => refused(RefusalReason::KeyReused, CallVerdict::NotRun),
        ClaimOutcome::Unanswered => {
            refused(RefusalReason::ClaimUnanswered, CallVerdict::MayHaveRun)
        }
        // Nothing runs now; but without a majority nobody knows of earlier
        // sends of the call.
        ClaimOutcome::NoMajority
        | ClaimOutcome::Granted
        | ClaimOutcome::EndWritten
        | ClaimOutcome::Free => {
            refused(RefusalReason::ClaimNoMajority, CallVerdict::MayHaveRun)
        }
    }
}

impl ClaimDesk {
    /// A desk for the claims of the entry node on instance `node`.
    pub fn new(
        node: Arc<str>,
        entry: mpsc::Sender<EntryMessage>,
        peers: PeerClient,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            incarnation: wall_clock::since_epoch().as_micros() as u64,
            serial: Cell::new(0),
            entry,
            peers,
        })
    }

    /// Claims the call's key for one run.
    pub async fn open(
        self: &Rc<Self>,
        call: KeyedCall,
    ) -> Result<OpenClaim, ClaimDenial> {
        // Guards against a key whose time lies ahead: holders would take it
        // for younger than their own start and vote on what they forgot.
        let latest = (wall_clock::since_epoch() + CLOCK_SKEW).as_millis() as u64;
        if call.key.created_ms.is_some_and(|born| born > latest) {
            return Err(refused(RefusalReason::BadHeader, CallVerdict::NotRun));
        }
        let mut claim = self.prepare(call, ClaimProposal::claim).await;
        let step = claim.proposal.begin();
        match self.drive(&mut claim, step).await {
            ClaimOutcome::Granted => Ok(claim),
            ClaimOutcome::NoMajority => {
                self.release(claim);
                Err(denial(ClaimOutcome::NoMajority))
            }
            outcome => Err(denial(outcome)),
        }
    }

    /// What to tell the caller of a call that is refused before its claim. An
    /// earlier send of the same call may have run, and then "not run" would
    /// be untrue.
    pub async fn refuse(
        self: &Rc<Self>,
        call: KeyedCall,
        refusal: CallRefusal,
    ) -> ClaimDenial {
        let mut claim = self.prepare(call, ClaimProposal::inspect).await;
        let step = claim.proposal.begin();
        match self.drive(&mut claim, step).await {
            ClaimOutcome::Free => ClaimDenial::Refused(refusal),
            ClaimOutcome::NoMajority => {
                refused(refusal.reason, refusal.verdict.max(CallVerdict::MayHaveRun))
            }
            outcome => denial(outcome),
        }
    }

    async fn prepare(
        &self,
        call: KeyedCall,
        intent: impl FnOnce(ClaimSubject) -> ClaimProposal,
    ) -> OpenClaim {
        let holders = self.holders(call.key.digest).await;
        let subject = ClaimSubject {
            key: call.key,
            request: call.request,
            token: self.token(),
            sets: holders.sets,
        };
        OpenClaim {
            proposal: intent(subject),
            addresses: holders.addresses,
        }
    }

    fn token(&self) -> RunToken {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        RunToken {
            node: Arc::clone(&self.node),
            incarnation: self.incarnation,
            serial,
        }
    }

    async fn holders(&self, key: KeyDigest) -> KeyHolders {
        let (reply, answer) = oneshot::channel();
        let asked = EntryMessage::Holders(key, reply);
        if self.entry.send(asked).await.is_err() {
            return KeyHolders::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Writes how a granted run ended; waits for it a short while and goes on
    /// behind the caller's back after that.
    pub async fn end(self: &Rc<Self>, claim: OpenClaim, end: RunEnd) {
        let Some(state) = end.into_state() else {
            return;
        };
        let desk = Rc::clone(self);
        let writing = actix_rt::spawn(async move { desk.write_end(claim, state).await });
        let _ = actix_rt::time::timeout(KEEP_PATIENCE, writing).await;
    }

    async fn write_end(self: Rc<Self>, mut claim: OpenClaim, state: ClaimState) {
        let (proposal, request) = claim.proposal.end_granted(state.clone());
        claim.proposal = proposal;
        let first = self.drive(&mut claim, ClaimStep::Send(request)).await;
        if first != ClaimOutcome::EndWritten {
            self.write_again(claim, state).await;
        }
    }

    /// Frees a key whose claim was not granted and whose call does not run.
    fn release(self: &Rc<Self>, claim: OpenClaim) {
        if claim.addresses.is_empty() {
            return;
        }
        let desk = Rc::clone(self);
        actix_rt::spawn(async move {
            desk.write_again(claim, ClaimState::Released).await;
        });
    }

    async fn write_again(&self, mut claim: OpenClaim, state: ClaimState) {
        for _ in 0..END_TRIES {
            claim.proposal = claim.proposal.end(state.clone());
            let step = claim.proposal.begin();
            if self.drive(&mut claim, step).await == ClaimOutcome::EndWritten {
                return;
            }
            actix_rt::time::sleep(END_PAUSE).await;
        }
    }

    /// Carries messages until the proposal is over.
    async fn drive(&self, claim: &mut OpenClaim, first: ClaimStep) -> ClaimOutcome {
        let (replies, mut arrived) = mpsc::unbounded_channel();
        let mut step = first;
        let mut stage = 0;
        loop {
            match step {
                ClaimStep::Done(outcome) => return outcome,
                ClaimStep::Send(request) => {
                    stage += 1;
                    self.send(claim, stage, &request, &replies);
                }
                ClaimStep::Pause => {
                    let millis = rand::rng().random_range(1..=OUTBID_PAUSE_MS);
                    actix_rt::time::sleep(Duration::from_millis(millis)).await;
                    step = claim.proposal.begin();
                    continue;
                }
                ClaimStep::Wait => {}
            }
            let Some(reply) = arrived.recv().await else {
                return ClaimOutcome::NoMajority;
            };
            step = take(&mut claim.proposal, stage, reply);
        }
    }

    fn send(
        &self,
        claim: &OpenClaim,
        stage: u32,
        request: &ClaimRequest,
        replies: &mpsc::UnboundedSender<HolderReply>,
    ) {
        for holder in claim.proposal.holders() {
            let address = claim.addresses.get(&holder).copied();
            let peers = self.peers.clone();
            let replies = replies.clone();
            let call = ClaimCall {
                request: request.clone(),
            };
            actix_rt::spawn(async move {
                let reply = match address {
                    Some(address) => {
                        peers.send(address, &call, HOLDER_PATIENCE).await.ok()
                    }
                    None => None,
                };
                // Nobody waits any more once a majority has answered.
                let _ = replies.send(HolderReply {
                    holder,
                    stage,
                    reply,
                });
            });
        }
    }
}

/// What came back from a holder; nothing where it is lost.
struct HolderReply {
    holder: Arc<str>,
    stage: u32,
    reply: Option<ClaimReply>,
}

fn take(proposal: &mut ClaimProposal, stage: u32, reply: HolderReply) -> ClaimStep {
    match reply.reply {
        Some(answer) => proposal.handle(&reply.holder, answer),
        None if reply.stage == stage => proposal.holder_unavailable(&reply.holder),
        None => ClaimStep::Wait,
    }
}
