//! A controller's process: its configuration, its start, signals and end.

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

/// Where a controller is told to listen, and where it finds the coordinator.
#[derive(Clone, Debug)]
pub struct Places {
    /// For its clients.
    pub listen: SocketAddr,
    /// Of the coordinator, between which reloads move.
    pub coordinator: Vec<SocketAddr>,
}

/// A controller.
#[derive(Debug)]
pub struct Controller {
    number: usize,
    places: Places,
    folder: PathBuf,
    program: PathBuf,
    give_up: u64,
    child: Option<Child>,
}

impl Controller {
    /// A controller that is not running yet; what it writes goes into `folder`.
    pub fn new(number: usize, places: Places, folder: &Path, program: &Path, give_up: u64) -> Controller {
        let (folder, program) = (folder.to_owned(), program.to_owned());
        Controller { number, places, folder, program, give_up, child: None }
    }

    fn file(&self, kind: &str) -> PathBuf {
        self.folder.join(format!("n{}.{kind}", self.number))
    }

    /// Writes its configuration, with the coordinator at this place.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn configure(&self, place: usize, known: &(u64, Value), seed: u64) -> io::Result<()> {
        let settings = json!({
            "classes": [{"name": "call", "aim": 1200.0f64.min(self.give_up as f64), "giveUp": self.give_up,
                "effect": "retryable", "worth": 1.0, "lateWorth": 0.25}],
            "extra": {"ownExchange": 0, "release": 500.0, "shape": "meshed"},
            "limits": {"tryLimit": 4, "mayCancel": true, "maxRetryAfter": 2000.0, "connectTimeout": 500.0},
            "rules": {"stopSendingWithin": 250.0, "cold": 15000.0, "coldFrom": 0.35, "fall": 2000.0,
                "overloadFactor": 2.5},
            "tick": 5.0
        });
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.places.listen.to_string(),
            "seed": format!("{seed:016x}"), "limits": {"sockets": 1024, "memory_mb": 192, "cores": 1.0},
            "coordinator": self.places.coordinator[place].to_string(),
            "known": {"index": known.0, "updates": [known.1]}, "settings": settings
        });
        // A reader finds the old file or the new one, whole.
        let new = self.file("new");
        fs::write(&new, config.to_string())?;
        fs::rename(new, self.file("json"))
    }

    /// Starts its process.
    ///
    /// # Errors
    /// If the program can't be started.
    pub fn start(&mut self) -> io::Result<u32> {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.file("log"))?;
        let mut command = Command::new(&self.program);
        command.current_dir(&self.folder).env("ROUTER_CONFIG", self.file("json"));
        command.env("WALNUTHATCH_LOG", "info,walnuthatch::calls=debug,walnuthatch::connections=debug");
        command.args(["--log-format", "text"]);
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn()?;
        let id = child.id();
        self.child = Some(child);
        Ok(id)
    }

    /// Sends its process a signal, if it runs.
    pub fn signal(&mut self, signal: Signal) -> bool {
        let id = self.child.as_ref().and_then(|c| Pid::from_raw(c.id().cast_signed()));
        id.is_some_and(|id| kill_process(id, signal).is_ok())
    }

    /// Whether its process has ended by now, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Whether its process runs, as far as was looked.
    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// The last line of its log.
    pub fn last_words(&self) -> String {
        let log = fs::read_to_string(self.file("log")).unwrap_or_default();
        log.lines().last().unwrap_or("nothing said").to_owned()
    }

    /// Memory in use (KiB) and open descriptors, if its process runs.
    pub fn resources(&self) -> Option<(u64, u64)> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
        let memory = line.trim().trim_end_matches("kB").trim().parse().ok()?;
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
        Some((memory, descriptors))
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
