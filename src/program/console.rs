//! The line commands on standard input. The answers are only texts; a thread of their own writes them, so that a
//! terminal that stands still stops nothing. The full-screen console speaks through the control socket instead.

use super::views::{call_line, Scene};
use std::fmt::Write as _;
use std::io::{self, BufRead, Read, Write};

/// The longest command that is read.
const LONGEST: u64 = 1024;
/// Calls listed at most.
const CALLS: usize = 50;
/// Commands and answers that may wait.
const WAITING: usize = 16;

const HELP: &str = "help       this list
status     the state of the program in a few lines
exchanges  the exchanges on the list, and the gateways
calls      the calls that are open or stand, oldest first
counters   what was taken in, sent and answered
config     what the program was told
drain      fail the platform's tests, so that no new calls come; 'drain off' ends it
quit       stop, once all calls that were taken have their answer
";

/// What a command does besides printing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fail the platform's tests, or no longer.
    Drain(bool),
    /// Stop.
    Stop,
}

/// Reads a command: what is to be printed, and what is to be done.
pub fn execute(scene: &Scene<'_>, line: &str) -> (String, Option<Action>) {
    let mut words = line.split_whitespace();
    let (mut out, mut action) = (String::new(), None);
    // Writing to a string can't fail.
    match (words.next(), words.next()) {
        (None, _) => {}
        (Some("help"), None) => out.push_str(HELP),
        (Some("status"), None) => {
            let s = scene.status();
            let _ = write!(
                out,
                "state {}, up {} s\ncalls.open {}\ncalls.standing {}\nconnections {}\ndeadlines {}\n",
                s.state, s.up_s, s.open, s.standing, s.connections, s.deadlines
            );
        }
        (Some("exchanges"), None) => {
            for e in scene.exchanges() {
                let line = if e.connected { "connected" } else { "not connected" };
                let (free, size) = (e.free.unwrap_or(-1.0), e.size.unwrap_or(-1.0));
                let _ = writeln!(
                    out,
                    "exchange {} ({}) at {}: {}, {line}, {free} of {size} circuits free",
                    e.exchange, e.member, e.address, e.listed
                );
            }
        }
        (Some("calls"), None) => {
            let (calls, total) = scene.calls("", CALLS);
            for c in &calls {
                let _ = writeln!(out, "{}", call_line(c));
            }
            if total > calls.len() {
                let _ = writeln!(out, "and {} more", total - calls.len());
            }
        }
        (Some("counters"), None) => {
            for (name, value) in (scene.counters)() {
                let _ = writeln!(out, "{name:28} {value}");
            }
        }
        (Some("config"), None) => out = scene.config.summary(),
        (Some("drain"), word @ (None | Some("off"))) => {
            action = Some(Action::Drain(word.is_none()));
            out = format!("tests {}\n", if word.is_none() { "fail from now on" } else { "pass again" });
        }
        (Some("quit"), None) => {
            action = Some(Action::Stop);
            out.push_str("stopping\n");
        }
        (Some(other), _) => {
            let _ = writeln!(out, "{other:?} is no command, or not in this form; 'help' lists them");
        }
    }
    (out, action)
}

/// Reads commands from standard input in a thread of its own. Its end harms nothing: no more commands come.
pub fn read_commands() -> async_channel::Receiver<String> {
    let (commands, queue) = async_channel::bounded(WAITING);
    std::thread::spawn(move || {
        let mut input = io::stdin().lock();
        loop {
            let mut line = Vec::new();
            match input.by_ref().take(LONGEST).read_until(b'\n', &mut line) {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
            if commands.send_blocking(String::from_utf8_lossy(&line).trim().to_owned()).is_err() {
                return;
            }
        }
    });
    queue
}

/// Prints answers in a thread of its own.
pub fn print_answers() -> async_channel::Sender<String> {
    let (texts, queue) = async_channel::bounded::<String>(WAITING);
    std::thread::spawn(move || {
        let mut out = io::stdout();
        while let Ok(text) = queue.recv_blocking() {
            if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    });
    texts
}
