//! Whose a data folder is, and how often it was opened.

use std::path::Path;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use cowslip_core::agreement::ProcessStart;

use crate::member_store::atomic_file;
use crate::member_store::StoreError;
use crate::member_store::IDENTITY_FILE;

/// Largest random number, so that every codec carries it.
const RANDOM_MAX: u64 = 1 << 62;

/// What the identity file says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentityRecord {
    /// Instance that the folder belongs to.
    pub instance: String,
    /// Random number of the folder, made with it.
    pub folder: u64,
    /// Last start.
    pub start: ProcessStart,
}

impl IdentityRecord {
    /// A new folder's, before its first start.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            folder: rand::rng().random_range(1..RANDOM_MAX),
            start: ProcessStart::default(),
        }
    }

    /// The same folder's, one start later.
    pub fn next_start(mut self) -> Self {
        self.start = ProcessStart {
            count: self.start.count + 1,
            nonce: rand::rng().random_range(1..RANDOM_MAX),
        };
        self
    }
}

/// Reads the identity; `None` where the folder has none.
pub fn read(folder: &Path) -> Result<Option<IdentityRecord>, StoreError> {
    atomic_file::read(folder, IDENTITY_FILE)
}

/// Writes the identity and syncs it.
pub fn write(folder: &Path, identity: &IdentityRecord) -> Result<(), StoreError> {
    atomic_file::write(folder, IDENTITY_FILE, identity)
}
