//! Reads a process's complete YAML settings file before anything starts.

use std::fs;
use std::io;
use std::path::Path;
use std::process::exit;

use thiserror::Error;

use crate::settings_reader;
use crate::settings_reader::FromSettings;
use crate::settings_reader::SettingsFault;

/// Exit status for unusable settings and for command-line usage errors.
pub const EXIT_USAGE: i32 = 2;

/// A settings file that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: io::Error,
    },
    /// The file's contents have faults; all of them are listed.
    #[error("{path}: {}", fault_lines(.faults))]
    Faulty {
        /// Path of the file.
        path: String,
        /// All faults found in the file.
        faults: Vec<SettingsFault>,
    },
}

fn fault_lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Reads a program's settings, or prints every fault and exits the process
/// with [`EXIT_USAGE`] before it has opened anything.
pub fn read_or_exit<T: FromSettings>(program: &str, path: &Path) -> T {
    match read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{program}: {error}");
            exit(EXIT_USAGE);
        }
    }
}

/// Reads settings, or returns every fault found in the file.
pub fn read<T: FromSettings>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: name.clone(),
        error,
    })?;
    settings_reader::read_text(&text)
        .map_err(|faults| SettingsError::Faulty { path: name, faults })
}
