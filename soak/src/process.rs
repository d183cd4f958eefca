//! Starts, signals and kills a program of the fleet as a separate process.

use std::cell::Cell;
use std::fs;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::rc::Rc;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::soak_error::SoakError;

/// Program, settings and log file of a process.
#[derive(Clone, Debug)]
pub struct LaunchConfig {
    /// Path of the program.
    pub program: PathBuf,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// File that its output is appended to at every start.
    pub log: PathBuf,
}

/// A process that the soak test started. It is killed when this value is dropped.
pub struct FleetProcess {
    config: LaunchConfig,
    child: Option<Child>,
    /// ID of the last process started.
    pid: Rc<Cell<u32>>,
}

impl FleetProcess {
    /// Starts a process.
    pub fn spawn(config: LaunchConfig) -> Result<Self, SoakError> {
        let mut process = Self {
            config,
            child: None,
            pid: Rc::default(),
        };
        process.start()?;
        Ok(process)
    }

    /// Starts the process again unless it is running.
    pub fn start(&mut self) -> Result<(), SoakError> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = open_log(&self.config.log)?;
        let child = Command::new(&self.config.program)
            .arg("--settings")
            .arg(&self.config.settings)
            .env("RUST_LOG", "info")
            .stdout(log.try_clone()?)
            .stderr(log)
            // If the shell that runs the soak test exits while a process is
            // paused, the kernel sends SIGHUP to an orphaned process group with
            // a stopped member. In a shared group this would end the soak test.
            .process_group(0)
            .spawn()?;
        self.pid.set(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Returns the ID of the last process started, which later starts change.
    pub fn pid(&self) -> Rc<Cell<u32>> {
        Rc::clone(&self.pid)
    }

    /// Returns true from the start until an exit was observed.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal if the process is running.
    pub fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        // The child has not been waited for, so its ID is not reused yet.
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// Returns the exit status if the process has exited since the last call.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, SoakError> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) -> Result<(), SoakError> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }
}

impl Drop for FleetProcess {
    fn drop(&mut self) {
        // A failure cannot be handled in a destructor.
        let _ = self.kill();
    }
}

fn open_log(path: &Path) -> Result<File, SoakError> {
    let log = fs::OpenOptions::new().create(true).append(true).open(path);
    Ok(log?)
}

/// Returns the path of a program in `folder`, or an error if it is not built.
pub fn program_path(folder: &Path, name: &str) -> Result<PathBuf, SoakError> {
    let file = folder.join(name);
    if file.exists() {
        return Ok(file);
    }
    Err(SoakError::NoProgram(name.to_owned()))
}
