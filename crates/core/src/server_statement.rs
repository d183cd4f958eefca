//! What a backend server states about itself in its answers.

/// Limit on the calls that a backend server takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum StatedRate {
    /// The server states no limit.
    #[default]
    Unlimited,
    /// The server states a limit that cannot be read. It neither sets a limit nor
    /// ends one.
    Unreadable,
    /// Largest number of calls a second; not negative.
    CallsPerSecond(f64),
}

/// Statements of a backend server in one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerStatement {
    /// Limit on the server's calls.
    pub rate: StatedRate,
    /// True if the server is leaving and takes no new calls.
    pub leaving: bool,
}

impl ServerStatement {
    /// Reads the statements from the values of their headers; `None` stands for a
    /// header that the answer does not have.
    pub fn parse(rate: Option<&str>, leaving: Option<&str>) -> Self {
        Self {
            rate: rate.map_or(StatedRate::Unlimited, StatedRate::parse),
            leaving: leaving.is_some_and(|value| value.trim() != "0"),
        }
    }

    /// True if the server states nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

impl StatedRate {
    fn parse(value: &str) -> Self {
        match value.trim().parse::<f64>() {
            Ok(rate) if rate.is_finite() && rate >= 0.0 => Self::CallsPerSecond(rate),
            _ => Self::Unreadable,
        }
    }
}
