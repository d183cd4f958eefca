//! Reads a process's YAML settings, whole, before anything starts.

use std::fs;
use std::io;
use std::path::Path;
use std::process::exit;

use thiserror::Error;

use crate::settings_reader;
use crate::settings_reader::FromSettings;
use crate::settings_reader::SettingsFault;

/// Exit status for settings that cannot be used.
pub const EXIT_USAGE: i32 = 2;

/// Settings that cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        error: io::Error,
    },
    /// The file has faults; all of them are listed.
    #[error("{path}: {}", fault_lines(.faults))]
    Faulty {
        /// The file.
        path: String,
        /// Every fault.
        faults: Vec<SettingsFault>,
    },
}

fn fault_lines(faults: &[SettingsFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("; ")
}

/// Reads a program's settings, or says why not and ends the process before
/// it has opened anything.
pub fn read_or_exit<T: FromSettings>(program: &str, path: &Path) -> T {
    match read(path) {
        Ok(settings) => settings,
        Err(problem) => {
            eprintln!("{program}: {problem}");
            exit(EXIT_USAGE);
        }
    }
}

/// Reads settings, or says everything that is wrong with them.
pub fn read<T: FromSettings>(path: &Path) -> Result<T, SettingsError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: name.clone(),
        error,
    })?;
    settings_reader::read_text(&text)
        .map_err(|faults| SettingsError::Faulty { path: name, faults })
}
