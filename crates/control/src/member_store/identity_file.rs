//! The identity file: the owner of a data folder and the number of its starts.

use std::path::Path;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use cowslip_core::agreement::ProcessStart;

use crate::member_store::atomic_file;
use crate::member_store::StoreError;
use crate::member_store::IDENTITY_FILE;

/// Upper bound of random IDs and nonces, so that every codec can represent them.
const RANDOM_MAX: u64 = 1 << 62;

/// Contents of the identity file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct IdentityRecord {
    /// Instance that the folder belongs to.
    pub instance: String,
    /// Random ID of the folder, chosen when the folder is created.
    pub folder: u64,
    /// Count and nonce of the last start.
    pub start: ProcessStart,
}

impl IdentityRecord {
    /// Creates the identity of a new folder, before its first start.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            folder: rand::rng().random_range(1..RANDOM_MAX),
            start: ProcessStart::default(),
        }
    }

    /// Returns the identity with the next start: a higher count and a new nonce.
    pub fn next_start(mut self) -> Self {
        self.start = ProcessStart {
            count: self.start.count + 1,
            nonce: rand::rng().random_range(1..RANDOM_MAX),
        };
        self
    }
}

/// Reads the identity; `None` if the folder has none.
pub fn read(folder: &Path) -> Result<Option<IdentityRecord>, StoreError> {
    atomic_file::read(folder, IDENTITY_FILE)
}

/// Writes the identity and syncs it.
pub fn write(folder: &Path, identity: &IdentityRecord) -> Result<(), StoreError> {
    atomic_file::write(folder, IDENTITY_FILE, identity)?;
    Ok(())
}
