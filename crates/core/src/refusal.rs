//! Reasons for which calls are refused or retried.
//!
//! Every reason has its own counter and a line in
//! `docs/operators/refusals.md`.

use std::fmt;

use crate::verdict::CallVerdict;

/// Declares an enum of reasons with their names and a list of all variants,
/// which lets tests check that counters and documentation are complete.
macro_rules! reasons {
    ($(#[$outer:meta])* $name:ident { $($(#[$inner:meta])* $variant:ident => $word:literal,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$inner])* $variant,)* }

        impl $name {
            /// Every variant, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The name used in headers, logs and metric labels.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $word,)* }
            }

            /// Parses a name; `None` if it is unknown.
            pub fn parse(text: &str) -> Option<Self> {
                match text { $($word => Some(Self::$variant),)* _ => None }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }
    };
}

reasons! {
    /// Reason for which a call was not served.
    RefusalReason {
        /// No route matches the path.
        NoRoute => "no-route",
        /// The route accepts only calls of backend servers.
        InternalOnly => "internal-only",
        /// The node has not yet received any configuration.
        NoConfiguration => "no-configuration",
        /// No known endpoint of the service accepts work.
        NoEndpoint => "no-endpoint",
        /// Every slot of the backend server is taken, and the call was to be
        /// offered to another server rather than wait.
        NoFreeSlot => "no-free-slot",
        /// Every slot of the backend server is taken, and its queue is full or
        /// the call's customer holds most of it.
        QueueFull => "queue-full",
        /// The call's wait for a slot timed out.
        QueueTimeout => "queue-timeout",
        /// The customer exceeds the rate that the service accepts from it.
        CustomerLimit => "customer-limit",
        /// A retry was needed, but the retry budget is exhausted.
        RetryBudget => "retry-budget",
        /// The backend server is draining and accepts no new work.
        Draining => "draining",
        /// The backend server stands in a failure domain that is evacuated.
        Evacuated => "evacuated",
        /// Backend servers crash under the request.
        Quarantined => "quarantined",
        /// The backend server answered that it did not run the call.
        ServerRefused => "server-refused",
        /// The backend server has not announced itself to its node.
        NotAnnounced => "not-announced",
        /// The deadline has passed or cannot be met.
        DeadlinePassed => "deadline-passed",
        /// The connection to the server's node could not be made.
        ConnectFailed => "connect-failed",
        /// The connection broke after the request had been sent.
        ConnectionBroken => "connection-broken",
        /// The backend server ran the call and answered with a failure, which
        /// is passed on to the caller.
        ServerFailed => "server-failed",
        /// The request body is larger than the limit.
        BodyTooLarge => "body-too-large",
        /// The request body ended before its stated length.
        BodyTruncated => "body-truncated",
        /// A cowslipwall header is malformed.
        BadHeader => "bad-header",
        /// The request has more headers than nodes can pass on.
        TooManyHeaders => "too-many-headers",
        /// The node is stopping.
        Stopping => "stopping",
        /// No majority of the holders of the idempotency key could be reached.
        ClaimNoMajority => "claim-no-majority",
        /// The idempotency key was claimed before and no answer is known: the
        /// earlier call may be running or may have run.
        ClaimUnanswered => "claim-unanswered",
        /// A call with this idempotency key ran before, but its answer was too
        /// large to be kept.
        AnswerNotKept => "answer-not-kept",
        /// The idempotency key was used before for another request.
        KeyReused => "key-reused",
    }
}

reasons! {
    /// Reason for which a call was retried.
    RetryReason {
        /// The server's node had no free slot.
        NoFreeSlot => "no-free-slot",
        /// The server's node refused because its queue was full.
        QueueFull => "queue-full",
        /// The server's node refused because it or its backend server is
        /// draining or stopping.
        Draining => "draining",
        /// The server's node has not yet received any configuration.
        NoConfiguration => "no-configuration",
        /// The server's node refused because its failure domain is evacuated.
        Evacuated => "evacuated",
        /// The server's node has no announced backend server.
        NotAnnounced => "not-announced",
        /// The backend server answered that it did not run the call.
        ServerRefused => "server-refused",
        /// No connection to the server's node could be made.
        ConnectFailed => "connect-failed",
        /// The backend server answered an idempotent call with a failure.
        ServerFailed => "server-failed",
        /// The connection of an idempotent call broke.
        ConnectionBroken => "connection-broken",
    }
}

impl RefusalReason {
    /// Reason for a retry after this refusal; `None` if another endpoint would
    /// refuse the call as well.
    pub fn retry_reason(self) -> Option<RetryReason> {
        match self {
            Self::NoFreeSlot => Some(RetryReason::NoFreeSlot),
            Self::QueueFull => Some(RetryReason::QueueFull),
            Self::Draining | Self::Stopping => Some(RetryReason::Draining),
            Self::NoConfiguration => Some(RetryReason::NoConfiguration),
            Self::Evacuated => Some(RetryReason::Evacuated),
            Self::NotAnnounced => Some(RetryReason::NotAnnounced),
            Self::ServerRefused => Some(RetryReason::ServerRefused),
            Self::ConnectFailed => Some(RetryReason::ConnectFailed),
            Self::ConnectionBroken => Some(RetryReason::ConnectionBroken),
            Self::ServerFailed => Some(RetryReason::ServerFailed),
            _ => None,
        }
    }

    /// The HTTP status that callers receive with `verdict`.
    ///
    /// Callers may look at the status alone. This guards against a status that
    /// implies "not run" for a call that may have run in one of its tries, and
    /// against one that implies nothing for a call that has not run.
    pub fn status_for(self, verdict: CallVerdict) -> u16 {
        let status = self.status();
        match (verdict, status) {
            (CallVerdict::NotRun, 502 | 504) => 503,
            (CallVerdict::NotRun, _) => status,
            (_, 429 | 503) => 502,
            _ => status,
        }
    }

    /// The HTTP status of the reason, regardless of the verdict.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::InternalOnly => 403,
            Self::BodyTooLarge => 413,
            Self::BadHeader | Self::BodyTruncated => 400,
            Self::TooManyHeaders => 431,
            Self::CustomerLimit => 429,
            Self::ClaimUnanswered | Self::AnswerNotKept => 409,
            Self::KeyReused => 422,
            Self::DeadlinePassed => 504,
            Self::ConnectFailed | Self::ConnectionBroken | Self::ServerFailed => 502,
            _ => 503,
        }
    }
}
