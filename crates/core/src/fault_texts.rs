//! The reasons in kept answers to refused changes.
//!
//! Load pattern: an operator's script sends a large document with many faults again and
//! again, each time as a new request. The answer of each says every fault, and would be
//! part of the state for days.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Arc;

use crate::change::ChangeOutcome;
use crate::document::DocumentFault;

/// Maximum size in bytes of the reasons kept; a resend of an older request is answered
/// without them.
const TEXT_BYTES_MAX: usize = 1024 * 1024;

/// Answers whose reasons are kept, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultTexts {
    /// Request and size of its reasons in bytes.
    refused: VecDeque<(Arc<str>, usize)>,
    /// Sum of the sizes.
    bytes: usize,
}

impl FaultTexts {
    /// The reasons in `answers`, which were given in this order.
    pub fn of_answers(
        answers: &BTreeMap<Arc<str>, ChangeOutcome>,
        order: &VecDeque<Arc<str>>,
    ) -> Self {
        let mut texts = Self::default();
        for request_id in order {
            if let Some(outcome) = answers.get(request_id) {
                texts.add(request_id, outcome);
            }
        }
        texts
    }

    /// Adds the answer to a request.
    pub fn add(&mut self, request_id: &Arc<str>, outcome: &ChangeOutcome) {
        let ChangeOutcome::Invalid { faults } = outcome else {
            return;
        };
        if *outcome == without_texts() {
            return;
        }
        let sizes = faults
            .iter()
            .map(|fault| fault.path.len() + fault.problem.len());
        let bytes = sizes.sum();
        self.bytes += bytes;
        self.refused.push_back((Arc::clone(request_id), bytes));
    }

    /// Removes the oldest answer if it is that to `request_id`.
    pub fn remove(&mut self, request_id: &str) {
        let oldest = self.refused.front();
        if oldest.is_some_and(|(oldest, _)| **oldest == *request_id) {
            self.pop();
        }
    }

    /// Removes the oldest answer if the reasons take too much.
    pub fn pop_excess(&mut self) -> Option<Arc<str>> {
        if self.bytes <= TEXT_BYTES_MAX {
            return None;
        }
        self.pop()
    }

    fn pop(&mut self) -> Option<Arc<str>> {
        let (request_id, bytes) = self.refused.pop_front()?;
        self.bytes -= bytes;
        Some(request_id)
    }
}

/// The answer to a refused change whose reasons are no longer kept.
pub fn without_texts() -> ChangeOutcome {
    let fault = DocumentFault {
        path: "(request)".to_owned(),
        problem: "it was refused; the reasons are no longer kept".to_owned(),
    };
    ChangeOutcome::Invalid {
        faults: vec![fault],
    }
}
