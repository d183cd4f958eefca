//! Claims idempotency keys at their holders before non-idempotent calls run, and
//! records there how the runs ended.
//!
//! The protocol is implemented in `cowslip_core::claim`; this module sends its
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

/// Timeout of a request to a holder; a holder that has not answered by then
/// counts as lost. A hundred times the round trip between two of the users'
/// failure domains.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest random pause after being outbid by another proposal, in
/// milliseconds; a few round trips.
const OUTBID_PAUSE_MS: u64 = 15;

/// Attempts to write the end of a run; after them the claim stays as it is
/// until it expires.
const END_WRITE_TRIES: u32 = 3;

/// Pause after each attempt to write the end of a run, long enough for a holder
/// that is being replaced to be back.
const END_RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Longest time that an answer is delayed by storing it; enough for the timeout
/// of one lost holder.
const END_WRITE_TIMEOUT: Duration = Duration::from_millis(350);

/// Key and digest of a call with an idempotency key.
#[derive(Clone, Copy, Debug)]
pub struct KeyedCall {
    /// Key, scoped to the customer and the path.
    pub key: ClaimKey,
    /// Digest of the request; a key must not be reused for another request.
    pub request: KeyDigest,
}

/// Reason why a call with a key does not run.
pub enum ClaimDenial {
    /// The call is refused.
    Refused(CallRefusal),
    /// The call has already run; this is the stored answer.
    Answered(KeptAnswer),
}

/// A claim in progress, or granted until the end of its run is recorded.
pub struct OpenClaim {
    proposal: ClaimProposal,
    addresses: HashMap<Arc<str>, SocketAddr>,
}

/// Client of the claim protocol on an entry node.
pub struct ClaimClient {
    node: Arc<str>,
    incarnation: u64,
    serial: Cell<u64>,
    entry: mpsc::Sender<EntryMessage>,
    peers: PeerClient,
}

fn refused(reason: RefusalReason, verdict: CallVerdict) -> ClaimDenial {
    ClaimDenial::Refused(CallRefusal::new(reason, verdict))
}

/// Returns the denial for a claim that ended with `outcome`.
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
        // The call does not run now, but without a majority it is unknown
        // whether an earlier send of it has run.
        ClaimOutcome::NoMajority
        | ClaimOutcome::Granted
        | ClaimOutcome::EndWritten
        | ClaimOutcome::Free => {
            refused(RefusalReason::ClaimNoMajority, CallVerdict::MayHaveRun)
        }
    }
}

impl ClaimClient {
    /// Creates the client of the entry node on instance `node`.
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
    ///
    /// # Errors
    ///
    /// Returns the stored answer if the call has already been answered, and a
    /// refusal if the key cannot be claimed.
    pub async fn open(
        self: &Rc<Self>,
        call: KeyedCall,
    ) -> Result<OpenClaim, ClaimDenial> {
        // A key with a time in the future would seem to holders to be made
        // after their own start, so restarted holders would vote on a key whose
        // state they have lost.
        let latest = (wall_clock::since_epoch() + CLOCK_SKEW).as_millis() as u64;
        if call.key.created_ms.is_some_and(|created| created > latest) {
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

    /// Returns the denial for a call that is refused before its key is claimed.
    /// An earlier send of the same call may have run, and then the verdict "not
    /// run" would be wrong.
    pub async fn resolve_refusal(
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

    /// Creates the proposal for a call, with the current holders of its key.
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
            holder_sets: holders.holder_sets,
        };
        OpenClaim {
            proposal: intent(subject),
            addresses: holders.addresses,
        }
    }

    /// Returns a new token, unique to one run.
    fn token(&self) -> RunToken {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        RunToken {
            node: Arc::clone(&self.node),
            incarnation: self.incarnation,
            serial,
        }
    }

    /// Asks the entry task for the key's holders; none if it has ended.
    async fn holders(&self, key: KeyDigest) -> KeyHolders {
        let (reply, answer) = oneshot::channel();
        let query = EntryMessage::Holders(key, reply);
        if self.entry.send(query).await.is_err() {
            return KeyHolders::default();
        }
        answer.await.unwrap_or_default()
    }

    /// Records how a granted run ended. Waits for that up to
    /// [`END_WRITE_TIMEOUT`]; after that the write continues in the background.
    pub async fn record_end(self: &Rc<Self>, claim: OpenClaim, end: RunEnd) {
        let Some(state) = end.into_state() else {
            return;
        };
        let client = Rc::clone(self);
        let writing =
            actix_rt::spawn(async move { client.write_end(claim, state).await });
        let _ = actix_rt::time::timeout(END_WRITE_TIMEOUT, writing).await;
    }

    /// Writes the end of a granted run in one round trip, and with full
    /// proposals if that fails.
    async fn write_end(self: Rc<Self>, mut claim: OpenClaim, state: ClaimState) {
        let (proposal, request) = claim.proposal.end_granted(state.clone());
        claim.proposal = proposal;
        let first = self.drive(&mut claim, ClaimStep::Send(request)).await;
        if first != ClaimOutcome::EndWritten {
            self.retry_end(claim, state).await;
        }
    }

    /// Releases, in the background, a key whose claim was not granted and whose
    /// call does not run.
    fn release(self: &Rc<Self>, claim: OpenClaim) {
        if claim.addresses.is_empty() {
            return;
        }
        let client = Rc::clone(self);
        actix_rt::spawn(async move {
            client.retry_end(claim, ClaimState::Released).await;
        });
    }

    /// Writes `state` with up to [`END_WRITE_TRIES`] proposals.
    async fn retry_end(&self, mut claim: OpenClaim, state: ClaimState) {
        for _ in 0..END_WRITE_TRIES {
            claim.proposal = claim.proposal.end(state.clone());
            let step = claim.proposal.begin();
            if self.drive(&mut claim, step).await == ClaimOutcome::EndWritten {
                return;
            }
            actix_rt::time::sleep(END_RETRY_PAUSE).await;
        }
    }

    /// Exchanges messages with the holders, from the step `first` until the
    /// proposal is done.
    async fn drive(&self, claim: &mut OpenClaim, first: ClaimStep) -> ClaimOutcome {
        let (replies, mut received) = mpsc::unbounded_channel();
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
            let Some(reply) = received.recv().await else {
                return ClaimOutcome::NoMajority;
            };
            step = apply_reply(&mut claim.proposal, stage, reply);
        }
    }

    /// Sends `request` to all holders, each in its own task that passes the
    /// reply to `replies`.
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
                        peers.send(address, &call, HOLDER_TIMEOUT).await.ok()
                    }
                    None => None,
                };
                // The receiver is gone once a majority has answered.
                let _ = replies.send(HolderReply {
                    holder,
                    stage,
                    reply,
                });
            });
        }
    }
}

/// Reply of a holder to the request of a stage; `None` if the holder is lost.
struct HolderReply {
    holder: Arc<str>,
    stage: u32,
    reply: Option<ClaimReply>,
}

/// Passes a reply to the proposal. A lost holder counts only in the current
/// stage.
fn apply_reply(
    proposal: &mut ClaimProposal,
    stage: u32,
    reply: HolderReply,
) -> ClaimStep {
    match reply.reply {
        Some(answer) => proposal.handle(&reply.holder, answer),
        None if reply.stage == stage => proposal.holder_unavailable(&reply.holder),
        None => ClaimStep::Wait,
    }
}
