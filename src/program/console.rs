//! The operator's line commands. The answers are only texts; a thread of their own writes them, so that a
//! terminal that stands still stops nothing.

use super::switchboard::Switchboard;
use crate::routing::interface::Micros;
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

/// Carries out a command and gives what is to be printed.
pub fn run(board: &mut Switchboard, now: Micros, line: &str) -> String {
    let mut words = line.split_whitespace();
    let mut out = String::new();
    // Writing to a string can't fail.
    match (words.next(), words.next()) {
        (None, _) => {}
        (Some("help"), None) => out.push_str(HELP),
        (Some("status"), None) => out = board.status(now),
        (Some("exchanges"), None) => {
            for e in board.exchanges() {
                let _ = writeln!(out, "{e}");
            }
        }
        (Some("calls"), None) => {
            let calls = board.call_lines(now);
            for c in calls.iter().take(CALLS) {
                let _ = writeln!(out, "{c}");
            }
            if calls.len() > CALLS {
                let _ = writeln!(out, "and {} more", calls.len() - CALLS);
            }
        }
        (Some("counters"), None) => {
            for (name, value) in board.counters() {
                let _ = writeln!(out, "{name:28} {value}");
            }
        }
        (Some("config"), None) => out = board.told(),
        (Some("drain"), word @ (None | Some("off"))) => {
            board.drain(word.is_none());
            out = format!("tests {}\n", if word.is_none() { "fail from now on" } else { "pass again" });
        }
        (Some("quit"), None) => {
            board.stop(now);
            out.push_str("stopping\n");
        }
        (Some(other), _) => {
            let _ = writeln!(out, "{other:?} is no command, or not in this form; 'help' lists them");
        }
    }
    out
}

/// Reads commands from standard input in a thread of its own. Its end harms nothing: no more commands come.
pub fn listen() -> async_channel::Receiver<String> {
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
pub fn print() -> async_channel::Sender<String> {
    writer(io::stdout())
}

/// Writes the log in a thread of its own: whoever reads standard error may stand still.
pub fn log() -> async_channel::Sender<String> {
    writer(io::stderr())
}

fn writer(mut out: impl Write + Send + 'static) -> async_channel::Sender<String> {
    let (texts, queue) = async_channel::bounded::<String>(WAITING);
    std::thread::spawn(move || {
        while let Ok(text) = queue.recv_blocking() {
            if out.write_all(text.as_bytes()).and_then(|()| out.flush()).is_err() {
                return;
            }
        }
    });
    texts
}
