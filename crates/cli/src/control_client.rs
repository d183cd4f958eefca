//! Client of the control instances: finds the leader and sends calls to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cowslip_core::change::ChangeEntry;
use cowslip_core::change::ChangeOutcome;
use cowslip_core::change::ConfigChange;
use cowslip_core::version::ConfigVersion;
use cowslip_wire::access_key::AccessKey;
use cowslip_wire::messages::ChangeCall;
use cowslip_wire::messages::LeaderAnswer;
use cowslip_wire::messages::WireCall;
use cowslip_wire::peer_client::PeerClient;
use cowslip_wire::peer_client::PeerError;
use cowslip_wire::wall_clock;

use crate::operator_error::OperatorError;
use crate::operator_error::OperatorResult;

/// Timeout of one call to one instance.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Rounds over all instances before giving up. With a `ROUND_PAUSE` between them
/// they last about six seconds: an election takes one to two seconds, longer
/// when votes are split.
const ROUNDS_MAX: usize = 20;

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Sends calls to the control instance that is the leader.
pub struct ControlClient {
    controls: Vec<SocketAddr>,
    client: PeerClient,
}

impl ControlClient {
    /// Creates a client of these control instances.
    pub fn new(controls: Vec<SocketAddr>, key: AccessKey) -> Self {
        Self {
            controls,
            client: PeerClient::new(key),
        }
    }

    /// Sends a call, which must be safe to repeat, to the leader and returns its
    /// answer. Tries every instance for `ROUNDS_MAX` rounds.
    ///
    /// Fails with [`OperatorError::Usage`] if the key is refused, with
    /// [`OperatorError::AnswerLost`] if an instance may have received the
    /// call, and otherwise with [`OperatorError::NoAnswer`].
    pub async fn ask<C, T>(&self, call: &C) -> OperatorResult<T>
    where
        C: WireCall<Answer = LeaderAnswer<T>>,
    {
        let mut search = LeaderSearch::new(&self.controls);
        let mut problem = "no leader is known".to_owned();
        let mut answer_lost = false;
        while let Some(address) = search.next().await {
            match self.client.send(address, call, ANSWER_TIMEOUT).await {
                Ok(LeaderAnswer::Answered(answer)) => return Ok(answer),
                Ok(LeaderAnswer::NotLeader(leader)) => search.set_hint(leader),
                Ok(LeaderAnswer::Unknown) => answer_lost = true,
                Err(refused @ PeerError::Refused { status: 401, .. }) => {
                    return Err(OperatorError::Usage(refused.to_string()));
                }
                Err(error) => {
                    answer_lost |= !matches!(error, PeerError::Connect(_));
                    problem = error.to_string();
                }
            }
        }
        if answer_lost {
            return Err(OperatorError::AnswerLost(problem));
        }
        Err(OperatorError::NoAnswer(problem))
    }

    /// Sends a change until it is answered and returns the version it made.
    /// Every attempt carries the same request ID, so the change is made at most
    /// once.
    pub async fn change(
        &self,
        request_id: Arc<str>,
        expected: Option<ConfigVersion>,
        change: ConfigChange,
    ) -> OperatorResult<ConfigVersion> {
        let entry = ChangeEntry {
            request_id: Arc::clone(&request_id),
            expected,
            at_ms: wall_clock::millis(),
            change,
        };
        match self.ask(&ChangeCall { entry }).await {
            Ok(ChangeOutcome::Accepted { version }) => Ok(version),
            Ok(outcome) => Err(OperatorError::Refused(outcome)),
            Err(OperatorError::AnswerLost(problem)) => {
                Err(OperatorError::MaybeAccepted {
                    problem,
                    request_id: request_id.to_string(),
                })
            }
            Err(error) => Err(error),
        }
    }
}

/// The order in which control instances are tried: round robin, after the
/// leader that an instance named.
///
/// Instances may still name a leader that has just failed. Only one named
/// leader is tried per round, and that attempt is not counted, so that the
/// rounds last as long as an election.
struct LeaderSearch<'a> {
    controls: &'a [SocketAddr],
    attempts: usize,
    hint: Option<SocketAddr>,
    hint_followed: bool,
}

impl<'a> LeaderSearch<'a> {
    fn new(controls: &'a [SocketAddr]) -> Self {
        Self {
            controls,
            attempts: 0,
            hint: None,
            hint_followed: false,
        }
    }

    fn set_hint(&mut self, leader: Option<SocketAddr>) {
        self.hint = leader;
    }

    async fn next(&mut self) -> Option<SocketAddr> {
        let hint = self.hint.take();
        if hint.is_some() && !self.hint_followed {
            self.hint_followed = true;
            return hint;
        }
        let count = self.controls.len();
        if self.attempts >= count * ROUNDS_MAX {
            return None;
        }
        let attempt = self.attempts;
        self.attempts += 1;
        if attempt > 0 && attempt.is_multiple_of(count) {
            self.hint_followed = false;
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
        Some(self.controls[attempt % count])
    }
}
