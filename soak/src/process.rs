//! A program of the fleet as a process of its own, and signals to it.

use std::fs;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;

use nix::sys::signal::kill;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

use crate::soak_error::SoakError;

/// How a process is started.
#[derive(Clone, Debug)]
pub struct ProcessPlan {
    /// The program's file.
    pub program: PathBuf,
    /// Its settings file.
    pub settings: PathBuf,
    /// Where its lines go, appended over all its starts.
    pub log: PathBuf,
}

/// A process that the soak started; it ends with this value.
pub struct FleetProcess {
    plan: ProcessPlan,
    child: Option<Child>,
}

impl FleetProcess {
    /// Starts it.
    pub fn spawn(plan: ProcessPlan) -> Result<Self, SoakError> {
        let mut process = Self { plan, child: None };
        process.start()?;
        Ok(process)
    }

    /// Starts it again; nothing where it runs.
    pub fn start(&mut self) -> Result<(), SoakError> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = open_log(&self.plan.log)?;
        let child = Command::new(&self.plan.program)
            .arg("--settings")
            .arg(&self.plan.settings)
            .env("RUST_LOG", "info")
            .stdout(log.try_clone()?)
            .stderr(log)
            // Guards against the end of the shell that the soak runs under
            // while a process is paused: the kernel sends SIGHUP to a group
            // left behind with a stopped member, and the soak would end.
            .process_group(0)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// True from its start until its end was seen.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal, where it runs.
    pub fn signal(&self, signal: Signal) -> Result<(), SoakError> {
        let Some(child) = &self.child else {
            return Ok(());
        };
        // Its end was not waited for, so the id is still its own.
        kill(Pid::from_raw(child.id() as i32), signal)?;
        Ok(())
    }

    /// How it ended, once, where it has.
    pub fn ended(&mut self) -> Result<Option<ExitStatus>, SoakError> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Kills it and waits for its end.
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
        // Nothing is left to be done where even this fails.
        let _ = self.kill();
    }
}

fn open_log(path: &Path) -> Result<File, SoakError> {
    let log = fs::OpenOptions::new().create(true).append(true).open(path);
    Ok(log?)
}

/// A program of the workspace, built beside the running one.
pub fn program(folder: &Path, name: &str) -> Result<PathBuf, SoakError> {
    let file = folder.join(name);
    if file.exists() {
        return Ok(file);
    }
    Err(SoakError::NoProgram(name.to_owned()))
}
