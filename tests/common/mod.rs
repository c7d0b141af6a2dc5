//! Helpers for tests that run the program as a process: start, configuration, log and termination.
#![allow(dead_code)]

pub mod event_loop;
pub mod hostile;
pub mod json_lines;
pub mod standins;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum time to wait for an expected event; far longer than any of them takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

static FILE_COUNT: AtomicU32 = AtomicU32::new(0);

/// Routing settings of a small site.
pub fn settings() -> Value {
    json!({
        "classes": [{"name": "status-report", "aim": 1200.0, "giveUp": 9000.0, "effect": "retryable"}],
        "extra": {"ownExchange": 0, "release": 500.0, "shape": "meshed"},
        "limits": {"tryLimit": 4, "mayCancel": true, "maxRetryAfter": 2000.0, "connectTimeout": 500.0},
        "rules": {"stopSendingWithin": 250.0, "cold": 15000.0, "coldFrom": 0.35, "fall": 2000.0,
                  "overloadFactor": 2.5},
        "tick": 5.0
    })
}

/// Complete configuration; the top-level keys of `overrides` replace the defaults.
pub fn config(overrides: Value) -> Value {
    let mut config = json!({
        "name": "t", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024}, "settings": settings()
    });
    for (key, value) in overrides.as_object().unwrap() {
        config[key] = value.clone();
    }
    config
}

/// Creates a file whose name is unique within this test run.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let path =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{number}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// A figure of the memory of a process (KiB), by its name in `/proc/PROCESS/status`; `self` is this process.
pub fn memory_kib(process: &str, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let figure = status.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':')).unwrap();
    figure.trim().trim_end_matches("kB").trim().parse().unwrap()
}

/// The running program; killed on drop.
pub struct Program {
    pub child: Child,
    log_lines: Arc<Mutex<Vec<String>>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Print the program's log: it is the first place to look for the cause of a failure.
            self.log_lines.lock().unwrap().iter().for_each(|line| println!("{line}"));
        }
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Program {
    /// Starts the program with an argument for each file, such as `("--config", path)`, and further flags.
    pub fn start(files: &[(&str, &PathBuf)], flags: &[&str]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_walnuthatch"));
        for (flag, path) in files {
            command.arg(flag).arg(path);
        }
        command.args(flags).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = command.spawn().unwrap();
        let log_lines = Arc::new(Mutex::new(Vec::new()));
        let (stderr, log) = (BufReader::new(child.stderr.take().unwrap()), log_lines.clone());
        std::thread::spawn(move || {
            stderr.lines().map_while(Result::ok).for_each(|line| log.lock().unwrap().push(line));
        });
        Program { child, log_lines }
    }

    /// Waits for a log line that starts with `prefix` and returns the rest of the first such line.
    pub fn wait_for_log(&self, prefix: &str) -> String {
        wait_until(&format!("the program logs a line that starts with {prefix:?}"), || {
            let lines = self.log_lines.lock().unwrap();
            lines
                .iter()
                .find_map(|l| l.strip_prefix("walnuthatch: ")?.strip_prefix(prefix).map(str::to_owned))
        })
    }

    /// Waits until the program has logged its listen address for `service`, such as `callers`.
    pub fn listen_address(&self, service: &str) -> SocketAddr {
        self.wait_for_log(&format!("{service} at ")).parse().unwrap()
    }

    /// Sends a signal to the process, by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    /// Waits until the process has exited.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the program exits", || self.child.try_wait().unwrap())
    }
}

/// Polls until `poll` returns a value; panics with the name of the condition after [`TEST_TIMEOUT`].
pub fn wait_until<T>(condition: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = poll() {
            return value;
        }
        assert!(Instant::now() < deadline, "timed out waiting until {condition}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
