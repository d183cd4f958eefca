//! Why a call was refused or tried again, one word each.
//!
//! Every variant has a counter of its own and a line on the operators' page
//! `docs/operators/refusals.md`.

use std::fmt;

use crate::verdict::CallVerdict;

/// Declares an enum of reasons with its words and the list of all variants,
/// so that counters and pages can be proved complete.
macro_rules! reasons {
    ($(#[$outer:meta])* $name:ident { $($(#[$inner:meta])* $variant:ident => $word:literal,)* }) => {
        $(#[$outer])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum $name { $($(#[$inner])* $variant,)* }

        impl $name {
            /// Every variant, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// The word used in headers, logs and metric labels.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$variant => $word,)* }
            }

            /// Reads the word back; `None` for any other.
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
    /// Why a call was not served.
    RefusalReason {
        /// No route matches the path.
        NoRoute => "no-route",
        /// The route is for backend servers' own calls only.
        InternalOnly => "internal-only",
        /// The node has not yet received any configuration.
        NoConfiguration => "no-configuration",
        /// No endpoint of the service is known and taking work.
        NoEndpoint => "no-endpoint",
        /// Every slot of the backend server is taken, and the call was to be
        /// offered elsewhere before it waits.
        NoFreeSlot => "no-free-slot",
        /// Every slot of the backend server is taken and so is every place
        /// in its queue, or the caller's customer has most of them.
        QueueFull => "queue-full",
        /// The call waited for a slot as long as it may.
        QueueTimeout => "queue-timeout",
        /// The customer sends more than the service takes from it.
        CustomerLimit => "customer-limit",
        /// Another try was due, and the retry budget is spent.
        RetryBudget => "retry-budget",
        /// The backend server is leaving and takes no new work.
        Draining => "draining",
        /// The backend server itself said that it did not run the call.
        ServerRefused => "server-refused",
        /// The backend server has not announced itself to its node.
        NotAnnounced => "not-announced",
        /// The deadline had passed, or could not be met.
        DeadlinePassed => "deadline-passed",
        /// The connection to the server's node could not be made.
        ConnectFailed => "connect-failed",
        /// The connection broke after the request had been sent.
        ConnectionBroken => "connection-broken",
        /// The backend server ran the call and failed it; callers receive the
        /// server's own answer.
        ServerFailed => "server-failed",
        /// The request's body is larger than the limit.
        BodyTooLarge => "body-too-large",
        /// The request's body ended before its stated length.
        BodyTruncated => "body-truncated",
        /// A header of cowslipwall's own is not well formed.
        BadHeader => "bad-header",
        /// The node is stopping.
        Stopping => "stopping",
        /// No majority of the key's holders could be reached.
        ClaimNoMajority => "claim-no-majority",
        /// The call was claimed under this key before, and no answer is
        /// known: it may be running, or may have run.
        ClaimUnanswered => "claim-unanswered",
        /// The call ran under this key before, and its answer was too large
        /// to be kept.
        AnswerNotKept => "answer-not-kept",
        /// The key was used before for another request.
        KeyReused => "key-reused",
    }
}

reasons! {
    /// Why a call was tried again.
    RetryReason {
        /// The server's node had no slot free at once.
        NoFreeSlot => "no-free-slot",
        /// The server's node refused with its queue full.
        QueueFull => "queue-full",
        /// The server's node refused because its backend server is leaving.
        Draining => "draining",
        /// The server's node knows no backend server yet, or no more.
        NotAnnounced => "not-announced",
        /// The backend server itself said that it did not run the call.
        ServerRefused => "server-refused",
        /// No connection to the server's node could be made.
        ConnectFailed => "connect-failed",
        /// An idempotent call that the backend server failed.
        ServerFailed => "server-failed",
        /// An idempotent call whose connection broke.
        ConnectionBroken => "connection-broken",
    }
}

impl RefusalReason {
    /// The retry this refusal allows when nothing has run; `None` where
    /// another endpoint would refuse alike.
    pub fn retry_reason(self) -> Option<RetryReason> {
        match self {
            Self::NoFreeSlot => Some(RetryReason::NoFreeSlot),
            Self::QueueFull => Some(RetryReason::QueueFull),
            Self::Draining | Self::Stopping => Some(RetryReason::Draining),
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
    /// Guards against a status that promises "not run" for a call that may
    /// have run in one of its tries, and against one that promises nothing
    /// where nothing has run: callers go by the status alone.
    pub fn status_for(self, verdict: CallVerdict) -> u16 {
        let status = self.status();
        match (verdict, status) {
            (CallVerdict::NotRun, 502 | 504) => 503,
            (CallVerdict::NotRun, _) => status,
            (_, 429 | 503) => 502,
            _ => status,
        }
    }

    /// The HTTP status of the reason alone.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::InternalOnly => 403,
            Self::BodyTooLarge => 413,
            Self::BadHeader | Self::BodyTruncated => 400,
            Self::CustomerLimit => 429,
            Self::ClaimUnanswered | Self::AnswerNotKept => 409,
            Self::KeyReused => 422,
            Self::DeadlinePassed => 504,
            Self::ConnectFailed | Self::ConnectionBroken | Self::ServerFailed => 502,
            _ => 503,
        }
    }
}
