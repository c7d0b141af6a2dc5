//! What the socket tests share: the program as a process, with its configuration.
#![allow(dead_code)]

pub mod json_lines;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a test waits for what must come; far longer than it takes.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

static FILES: AtomicU32 = AtomicU32::new(0);

/// The settings of a small site.
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

/// A whole configuration; fields of `more` come on top.
pub fn config(more: Value) -> Value {
    let mut all = json!({
        "name": "t", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"sockets": 1024}, "settings": settings()
    });
    for (key, value) in more.as_object().unwrap() {
        all[key] = value.clone();
    }
    all
}

/// A file of this test run's own.
pub fn temp_file(name: &str, text: &str) -> PathBuf {
    let n = FILES.fetch_add(1, Ordering::Relaxed);
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{}-{n}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// The program, ended when the test ends.
pub struct Program {
    pub child: Child,
    said: Arc<Mutex<Vec<String>>>,
}

impl Drop for Program {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // What a failed test's program said is the first thing that its cause is looked for in.
            self.said.lock().unwrap().iter().for_each(|line| println!("{line}"));
        }
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Program {
    /// Starts it with these files, by argument: `[("--config", path), ...]`.
    pub fn start(files: &[(&str, &PathBuf)], flags: &[&str]) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_walnuthatch"));
        for (flag, path) in files {
            command.arg(flag).arg(path);
        }
        let piped = command.args(flags).stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
        let mut child = piped.spawn().unwrap();
        let said = Arc::new(Mutex::new(Vec::new()));
        let (lines, words) = (BufReader::new(child.stderr.take().unwrap()).lines(), said.clone());
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| words.lock().unwrap().push(l)));
        Program { child, said }
    }

    /// What follows `head` in the first such line of the log.
    pub fn wait_for_log(&self, head: &str) -> String {
        wait_until(&format!("the program says {head:?}"), || {
            let said = self.said.lock().unwrap();
            said.iter().find_map(|l| l.strip_prefix("walnuthatch: ")?.strip_prefix(head).map(str::to_owned))
        })
    }

    /// Where it listens for what.
    pub fn listen_address(&self, what: &str) -> SocketAddr {
        self.wait_for_log(&format!("{what} at ")).parse().unwrap()
    }

    /// Sends it a signal, by its own process id.
    pub fn signal(&self, name: &str) {
        let done = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status().unwrap();
        assert!(done.success());
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        wait_until("the program ends", || self.child.try_wait().unwrap())
    }
}

/// Tries until there is something.
pub fn wait_until<T>(what: &str, mut get: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(t) = get() {
            return t;
        }
        assert!(Instant::now() < end, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
