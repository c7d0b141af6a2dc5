//! A controller's process: configuration, start, signals, exit and resource usage.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Addresses in the configuration of a controller.
#[derive(Clone, Debug)]
pub struct ControllerAddresses {
    /// Listen address for clients.
    pub listen: SocketAddr,
    /// Addresses of the coordinator, between which reloads switch.
    pub coordinators: Vec<SocketAddr>,
}

/// A controller and its process, if it runs. The process is killed on drop.
#[derive(Debug)]
pub struct Controller {
    number: usize,
    addresses: ControllerAddresses,
    folder: PathBuf,
    program: PathBuf,
    client_timeout: u64,
    child: Option<Child>,
}

impl Controller {
    /// Creates a controller that is not started yet and keeps its files in `folder`.
    pub fn new(
        number: usize,
        addresses: ControllerAddresses,
        folder: &Path,
        program: &Path,
        client_timeout: u64,
    ) -> Controller {
        let (folder, program) = (folder.to_owned(), program.to_owned());
        Controller { number, addresses, folder, program, client_timeout, child: None }
    }

    fn path(&self, extension: &str) -> PathBuf {
        self.folder.join(format!("n{}.{extension}", self.number))
    }

    /// Writes the configuration, with the coordinator at the address of this index and `snapshot` as the known list.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn configure(&self, coordinator_index: usize, snapshot: &(u64, Value), seed: u64) -> io::Result<()> {
        let settings = json!({
            "classes": [{"name": "call", "aim": 1200.0f64.min(self.client_timeout as f64),
                "giveUp": self.client_timeout, "effect": "retryable", "worth": 1.0, "lateWorth": 0.25}],
            "extra": {"ownExchange": 0, "release": 500.0, "shape": "meshed"},
            "limits": {"tryLimit": 4, "mayCancel": true, "maxRetryAfter": 2000.0, "connectTimeout": 500.0},
            "rules": {"stopSendingWithin": 250.0, "cold": 15000.0, "coldFrom": 0.35, "fall": 2000.0,
                "overloadFactor": 2.5},
            "tick": 5.0
        });
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.addresses.listen.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"sockets": 1024, "memory_mb": 192, "cores": 1.0},
            "coordinator": self.addresses.coordinators[coordinator_index].to_string(),
            "known": {"index": snapshot.0, "updates": [snapshot.1]}, "settings": settings
        });
        // Atomic replacement: a reader finds either the old or the new file.
        let new_path = self.path("new");
        fs::write(&new_path, config.to_string())?;
        fs::rename(new_path, self.path("json"))
    }

    /// Starts the process and returns its identifier.
    ///
    /// # Errors
    /// If the program can't be started.
    pub fn start(&mut self) -> io::Result<u32> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.path("log"))?;
        let mut command = Command::new(&self.program);
        command.current_dir(&self.folder).env("ROUTER_CONFIG", self.path("json"));
        command.env("WALNUTHATCH_LOG", "info,walnuthatch::calls=debug,walnuthatch::connections=debug");
        command.args(["--log-format", "text"]);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        let pid = child.id();
        self.child = Some(child);
        Ok(pid)
    }

    /// Sends a signal to the process if it runs. Returns whether the signal was sent.
    pub fn signal(&mut self, signal: Signal) -> bool {
        let pid = self.child.as_ref().and_then(|c| Pid::from_raw(c.id().cast_signed()));
        pid.is_some_and(|pid| kill_process(pid, signal).is_ok())
    }

    /// Returns the exit status if the process has ended since the last call.
    pub fn try_wait(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Returns whether the process was running at the last call of [`try_wait`](Self::try_wait).
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Returns the last line of the log.
    pub fn last_log_line(&self) -> String {
        let log = fs::read_to_string(self.path("log")).unwrap_or_default();
        log.lines().last().unwrap_or("the log is empty").to_owned()
    }

    /// Returns the resident memory (KiB) and the number of open descriptors if the process runs.
    pub fn resources(&self) -> Option<(u64, u64)> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let memory = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count() as u64;
        Some((memory, descriptors))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // The process may have exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
