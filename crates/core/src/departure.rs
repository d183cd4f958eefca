//! Runs of backend servers that have departed, kept by the control instances.
//!
//! Load pattern: a server says that it leaves, its node acknowledges that and ends, and
//! a report that the server sent before arrives late at the node's next process. Nodes
//! have no disk. If a departure were known to the node alone, the late report would
//! bring the server back, and its calls would be cut when it ends.

use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::server_run::ServerRun;

/// Largest number of departures that are kept, the latest ones: those of a whole day at
/// the size to design for, 250 KB.
const DEPARTURES_MAX: usize = 2_048;

/// Largest size of each name in a departure, in bytes.
const NAME_BYTES_MAX: usize = 256;

/// The departure of one run of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Instance name of the node beside the server.
    pub node: Arc<str>,
    /// Name of the run.
    pub run: Arc<str>,
    /// Start of the run by the server's clock, in milliseconds since the Unix epoch;
    /// `None` if it is not known.
    pub started_ms: Option<u64>,
    /// When the node learned of the departure, by its wall clock.
    pub at_ms: u64,
}

impl Departure {
    /// The run that has departed.
    pub fn server_run(&self) -> ServerRun {
        ServerRun {
            name: Arc::clone(&self.run),
            started_ms: self.started_ms,
        }
    }

    /// Whether the names are short enough to be kept.
    pub fn has_possible_names(&self) -> bool {
        self.node.len() <= NAME_BYTES_MAX && self.run.len() <= NAME_BYTES_MAX
    }

    /// A run whose start is not known may announce itself again after its departure, and
    /// depart once more.
    fn is_same(&self, other: &Self) -> bool {
        self.node == other.node
            && self.run == other.run
            && self.started_ms == other.started_ms
            && (self.started_ms.is_some() || self.at_ms == other.at_ms)
    }
}

/// The latest departures, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DepartureTable {
    departures: VecDeque<Departure>,
}

impl DepartureTable {
    /// True if no departure is kept.
    pub fn is_empty(&self) -> bool {
        self.departures.is_empty()
    }

    /// Keeps a departure, unless it is kept already.
    pub fn record(&mut self, departure: Departure) {
        if self.contains(&departure) {
            return;
        }
        self.departures.push_back(departure);
        if self.departures.len() > DEPARTURES_MAX {
            self.departures.pop_front();
        }
    }

    /// Whether the departure is kept.
    pub fn contains(&self, departure: &Departure) -> bool {
        let mut kept = self.departures.iter();
        kept.any(|kept| kept.is_same(departure))
    }

    /// Departures of the servers beside these nodes, oldest first.
    pub fn of_nodes(&self, nodes: &[Arc<str>]) -> Vec<Departure> {
        let nodes: BTreeSet<&Arc<str>> = nodes.iter().collect();
        let kept = self.departures.iter();
        let kept = kept.filter(|departure| nodes.contains(&departure.node));
        kept.cloned().collect()
    }
}
