//! Line commands on standard input. A separate thread writes the answers, so that a blocked terminal never delays the
//! event loop. The full-screen console uses the control socket instead.

use super::views::{call_line, Snapshot};
use std::fmt::Write as _;
use std::io::{self, BufRead, Read, Write};

/// Maximum length of a command (bytes).
const MAX_COMMAND_BYTES: u64 = 1024;
/// Maximum number of calls that `calls` lists.
const MAX_LISTED_CALLS: usize = 50;
/// Capacity of the queues of commands and of answers.
const QUEUE_CAPACITY: usize = 16;

const HELP: &str = "help       this list
status     the state of the program in a few lines
exchanges  the exchanges on the list, and the gateways
calls      the calls that are open or stand, oldest first
counters   what was taken in, sent and answered
config     what the program was told
drain      fail the platform's tests, so that no new calls come; 'drain off' ends it
quit       stop, once all calls that were taken have their answer
";

/// Effect of a command besides its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Fail the platform's health checks (true), or pass them again (false).
    Drain(bool),
    /// Stop the program.
    Stop,
}

/// Executes a command. Returns its answer and its effect, if any.
pub fn execute(snapshot: &Snapshot<'_>, line: &str) -> (String, Option<Action>) {
    let mut words = line.split_whitespace();
    let (mut out, mut action) = (String::new(), None);
    // Writing to a string cannot fail.
    match (words.next(), words.next()) {
        (None, _) => {}
        (Some("help"), None) => out.push_str(HELP),
        (Some("status"), None) => {
            let s = snapshot.status();
            let _ = write!(
                out,
                "state {}, up {} s\ncalls.open {}\ncalls.standing {}\nconnections {}\ndeadlines {}\n",
                s.state, s.up_s, s.open, s.standing, s.connections, s.deadlines
            );
        }
        (Some("exchanges"), None) => {
            for e in snapshot.exchanges() {
                let connection = if e.connected { "connected" } else { "not connected" };
                let (free, size) = (e.free.unwrap_or(-1.0), e.size.unwrap_or(-1.0));
                let _ = writeln!(
                    out,
                    "exchange {} ({}) at {}: {}, {connection}, {free} of {size} circuits free",
                    e.exchange, e.member, e.address, e.listed
                );
            }
        }
        (Some("calls"), None) => {
            let (calls, total) = snapshot.calls("", MAX_LISTED_CALLS);
            for c in &calls {
                let _ = writeln!(out, "{}", call_line(c));
            }
            if total > calls.len() {
                let _ = writeln!(out, "and {} more", total - calls.len());
            }
        }
        (Some("counters"), None) => {
            for (name, value) in (snapshot.counters)() {
                let _ = writeln!(out, "{name:28} {value}");
            }
        }
        (Some("config"), None) => out = snapshot.config.summary(),
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

/// Starts a thread that reads commands from standard input. The end of the input ends only this thread.
pub fn read_commands() -> async_channel::Receiver<String> {
    let (commands, queue) = async_channel::bounded(QUEUE_CAPACITY);
    std::thread::spawn(move || {
        let mut input = io::stdin().lock();
        loop {
            let mut line = Vec::new();
            match input.by_ref().take(MAX_COMMAND_BYTES).read_until(b'\n', &mut line) {
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

/// Starts a thread that prints the answers sent to the returned queue.
pub fn print_answers() -> async_channel::Sender<String> {
    let (answers, queue) = async_channel::bounded::<String>(QUEUE_CAPACITY);
    std::thread::spawn(move || {
        let mut out = io::stdout();
        while let Ok(text) = queue.recv_blocking() {
            if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    });
    answers
}
