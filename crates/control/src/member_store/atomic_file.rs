//! Files that are replaced atomically.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use serde::de::DeserializeOwned;
use serde::Serialize;

use cowslip_wire::codec;

use crate::member_store::record_frame;
use crate::member_store::StoreError;

/// Atomically replaces the file by a single record of `value`.
pub fn write<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<(), StoreError> {
    replace(folder, name, &record_frame::frame(&codec::encode(value)?))?;
    Ok(())
}

/// Atomically replaces the file; the old one stays in place until the new one is
/// synced.
pub fn replace(folder: &Path, name: &str, bytes: &[u8]) -> io::Result<File> {
    let new = folder.join(format!("{name}.new"));
    let mut file = File::create(&new)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(name))?;
    // The rename changes the folder: without syncing the folder, a crash could
    // bring the old file back.
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Reads the file; `None` if it does not exist.
pub fn read<T: DeserializeOwned>(
    folder: &Path,
    name: &'static str,
) -> Result<Option<T>, StoreError> {
    let bytes = match fs::read(folder.join(name)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let damaged = StoreError::Damaged { file: name, at: 0 };
    let Ok((bodies, end)) = record_frame::scan(&bytes) else {
        return Err(damaged);
    };
    // The file was synced before it was renamed into place, so it is never
    // torn.
    if bodies.len() != 1 || end != bytes.len() {
        return Err(damaged);
    }
    Ok(Some(codec::decode(bodies[0])?))
}
