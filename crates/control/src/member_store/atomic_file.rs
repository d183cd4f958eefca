//! Files that are replaced atomically.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Seek;
use std::io::SeekFrom;
use std::path::Path;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde::Serialize;

use cowslip_wire::codec;

use crate::member_store::record_frame;
use crate::member_store::record_frame::ScanError;
use crate::member_store::StoreError;

/// Atomically replaces the file by a single record of `value`; the old file stays in
/// place until the new one is synced. Returns the new file, positioned at its end.
pub fn write<T: Serialize>(
    folder: &Path,
    name: &str,
    value: &T,
) -> Result<File, StoreError> {
    let new = unfinished(folder, name);
    let file = File::options()
        .read(true)
        .write(true)
        .create(true)
        .truncate(true)
        .open(&new)?;
    record_frame::write(&file, value)?;
    file.sync_all()?;
    fs::rename(&new, folder.join(name))?;
    // The rename changes the folder: without syncing the folder, a crash could
    // bring the old file back.
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Removes what a crash or a full disk has left of a replacement of the file.
pub fn remove_unfinished(folder: &Path, name: &str) -> io::Result<()> {
    match fs::remove_file(unfinished(folder, name)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn unfinished(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.new"))
}

/// Reads the file; `None` if it does not exist.
pub fn read<T: DeserializeOwned>(
    folder: &Path,
    name: &'static str,
) -> Result<Option<T>, StoreError> {
    let mut file = match File::open(folder.join(name)) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error.into()),
    };
    let damaged = StoreError::Damaged { file: name, at: 0 };
    let bodies = match record_frame::scan(&file) {
        Ok(bodies) => bodies,
        Err(ScanError::Damaged { .. }) => return Err(damaged),
        Err(ScanError::Io(error)) => return Err(error.into()),
    };
    // The file was synced before it was renamed into place, so it is never
    // torn.
    let [body] = bodies.as_slice() else {
        return Err(damaged);
    };
    if body.end() != file.metadata()?.len() {
        return Err(damaged);
    }
    file.seek(SeekFrom::Start(body.start))?;
    Ok(Some(codec::decode_from(BufReader::new(file))?))
}
