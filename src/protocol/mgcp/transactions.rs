//! Transactions in both directions: commands that are repeated until they are answered, and answers that are
//! kept so that a repeated command is answered again and never run twice.

use super::message::{Command, Params, Response, Verb, MAX_TRANSACTION_ID};
use crate::routing::interface::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// First wait before a command is repeated (µs); it doubles.
pub const FIRST_WAIT: Micros = 200_000;
/// Times that a command is sent in all.
pub const MAX_TRANSMISSIONS: u32 = 6;
/// A command that was answered provisionally is waited for this long for its final answer (µs).
pub const LONG_WAIT: Micros = 5_000_000;
/// How long an answer is kept (T-HIST; µs).
pub const HISTORY: Micros = 30_000_000;
/// Answers kept at most; the oldest goes first, those acknowledged before all others.
pub const HISTORY_CAP: usize = 4096;

// ---- Commands of this side ----

#[derive(Debug)]
struct Sent<K> {
    to: SocketAddr,
    text: String,
    key: K,
    wait: Micros,
    /// When it is to be repeated; a deadline that comes earlier is of the past.
    due: Micros,
    sends: u32,
    provisional: bool,
}

/// What came of a deadline.
#[derive(Debug, PartialEq)]
pub enum Repeat<K> {
    /// Nothing: the transaction is over, or the deadline is of the past.
    Nothing,
    /// Send this again, and come back then.
    Again(SocketAddr, String, Micros),
    /// It was sent as often as it may be, and no answer came.
    GaveUp(K),
}

/// Commands that wait for an answer; `K` says what each is for.
#[derive(Debug)]
pub struct Commands<K> {
    next: u32,
    sent: BTreeMap<u32, Sent<K>>,
    /// Transactions whose final answer came, to be acknowledged with the next command there.
    unacknowledged: BTreeMap<SocketAddr, Vec<u32>>,
    /// Repeats sent.
    pub repeats: u64,
}

impl<K> Commands<K> {
    /// None yet; the first transaction is drawn from the seed, so that a restart does not use the numbers of
    /// the life before.
    pub fn new(seed: u64) -> Self {
        let next = (seed % u64::from(MAX_TRANSACTION_ID)) as u32 + 1;
        Commands { next, sent: BTreeMap::new(), unacknowledged: BTreeMap::new(), repeats: 0 }
    }

    /// Sends a command: its transaction, the text to send, and when to come back.
    pub fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        mut command: Command,
        key: K,
    ) -> (u32, String, Micros) {
        while self.sent.contains_key(&self.next) {
            self.step();
        }
        command.transaction = self.next;
        self.step();
        if let Some(ids) = self.unacknowledged.remove(&to) {
            let ids: Vec<String> = ids.iter().map(u32::to_string).collect();
            command.params.0.insert(0, ("K".to_owned(), ids.join(",")));
        }
        let (text, due) = (command.text(), now + FIRST_WAIT);
        let sent = Sent { to, text: text.clone(), key, wait: FIRST_WAIT, due, sends: 1, provisional: false };
        self.sent.insert(command.transaction, sent);
        (command.transaction, text, due)
    }

    fn step(&mut self) {
        self.next = if self.next >= MAX_TRANSACTION_ID { 1 } else { self.next + 1 };
    }

    /// The deadline of a transaction has come.
    pub fn due(&mut self, now: Micros, transaction: u32) -> Repeat<K> {
        let Some(sent) = self.sent.get_mut(&transaction).filter(|s| s.due <= now) else {
            return Repeat::Nothing;
        };
        if sent.sends >= MAX_TRANSMISSIONS || sent.provisional {
            return self.sent.remove(&transaction).map_or(Repeat::Nothing, |s| Repeat::GaveUp(s.key));
        }
        sent.sends += 1;
        sent.wait *= 2;
        sent.due = now + sent.wait;
        self.repeats += 1;
        Repeat::Again(sent.to, sent.text.clone(), sent.due)
    }

    /// A response came: what its command was for, if it is the final one; and what else to do.
    pub fn response(&mut self, now: Micros, from: SocketAddr, r: &Response) -> Answered<K> {
        // An empty acknowledgement parameter asks for one at once, also with a repeat of the response.
        let asked = r.code >= 200 && r.params.get("K").is_some_and(str::is_empty);
        let acknowledge = asked.then(|| Response::new(0, r.transaction).text());
        let Some(sent) = self.sent.get_mut(&r.transaction).filter(|s| s.to.ip() == from.ip()) else {
            return Answered { key: None, acknowledge, wake: None };
        };
        if r.code < 200 {
            sent.provisional = true;
            sent.due = now + LONG_WAIT;
            return Answered { key: None, acknowledge: None, wake: Some(sent.due) };
        }
        let to = sent.to;
        let key = self.sent.remove(&r.transaction).map(|s| s.key);
        if !asked {
            let ids = self.unacknowledged.entry(to).or_default();
            ids.push(r.transaction);
            // They ride on one line of the next command; an old one is forgotten by the gateway itself.
            ids.drain(..ids.len().saturating_sub(32));
        }
        Answered { key, acknowledge, wake: None }
    }

    /// Stops repeating a command, but still learns of its answer once.
    pub fn stop_repeating(&mut self, now: Micros, transaction: u32) -> Option<Micros> {
        let sent = self.sent.get_mut(&transaction)?;
        sent.provisional = true;
        sent.due = now + LONG_WAIT;
        Some(sent.due)
    }

    /// Commands that wait.
    pub fn waiting(&self) -> usize {
        self.sent.len()
    }
}

/// What came of a response.
#[derive(Debug, PartialEq)]
pub struct Answered<K> {
    /// What the command was for, if this was its first final response.
    pub key: Option<K>,
    /// A response acknowledgement to send back.
    pub acknowledge: Option<String>,
    /// When to come back for this transaction.
    pub wake: Option<Micros>,
}

// ---- Commands of the other side ----

#[derive(Debug)]
struct Kept {
    until: Micros,
    text: String,
    acknowledged: bool,
}

/// The answers given to gateways' commands.
#[derive(Debug, Default)]
pub struct History {
    kept: BTreeMap<(SocketAddr, u32), Kept>,
    order: VecDeque<(Micros, SocketAddr, u32)>,
    /// Repeated commands that were answered from here.
    pub repeats: u64,
}

impl History {
    /// The answer to a command that came before.
    pub fn answered(&mut self, now: Micros, from: SocketAddr, transaction: u32) -> Option<String> {
        self.forget(now);
        let text = self.kept.get(&(from, transaction)).map(|k| k.text.clone())?;
        self.repeats += 1;
        Some(text)
    }

    /// Keeps the answer to a command.
    pub fn keep(&mut self, now: Micros, from: SocketAddr, transaction: u32, text: String) {
        self.forget(now);
        if self.kept.len() >= HISTORY_CAP {
            let acknowledged =
                |o: &(Micros, SocketAddr, u32)| self.kept.get(&(o.1, o.2)).is_some_and(|k| k.acknowledged);
            let at = self.order.iter().position(acknowledged).unwrap_or(0);
            if let Some((_, from, transaction)) = self.order.remove(at) {
                self.kept.remove(&(from, transaction));
            }
        }
        let until = now + HISTORY;
        self.kept.insert((from, transaction), Kept { until, text, acknowledged: false });
        self.order.push_back((until, from, transaction));
    }

    /// Notes a response acknowledgement: single transactions and ranges. The answer is kept all the same, for
    /// a repeat that was on its way; it is only the first to go when room is short.
    pub fn acknowledge(&mut self, from: SocketAddr, list: &str) {
        for part in list.split(',') {
            let (low, high) = part.split_once('-').unwrap_or((part, part));
            let (Ok(low), Ok(high)) = (low.trim().parse::<u32>(), high.trim().parse::<u32>()) else {
                continue;
            };
            if low <= high {
                for (_, k) in self.kept.range_mut((from, low)..=(from, high)) {
                    k.acknowledged = true;
                }
            }
        }
    }

    /// Answers kept.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    fn forget(&mut self, now: Micros) {
        while let Some(&(until, from, transaction)) = self.order.front().filter(|o| o.0 <= now) {
            self.order.pop_front();
            if self.kept.get(&(from, transaction)).is_some_and(|k| k.until == until) {
                self.kept.remove(&(from, transaction));
            }
        }
    }
}

/// A command without parameters; its transaction is given when it is sent.
pub fn command(verb: Verb, endpoint: super::message::Endpoint) -> Command {
    Command { verb, transaction: 0, endpoint, params: Params::default(), sdp: None }
}

#[cfg(test)]
mod tests {
    use super::super::message::Endpoint;
    use super::*;

    fn place(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn audit() -> Command {
        command(Verb::Auep, Endpoint { local: "lamp/1".to_owned(), domain: "cab".to_owned() })
    }

    #[test]
    fn a_command_is_repeated_at_doubling_waits_and_then_given_up() {
        let mut commands = Commands::new(7);
        let (id, text, mut due) = commands.send(0, place(1), audit(), 'a');
        let mut waits = vec![due];
        loop {
            assert_eq!(commands.due(due - 1, id), Repeat::Nothing, "not before its time");
            match commands.due(due, id) {
                Repeat::Again(_, again, at) => {
                    assert_eq!(again, text);
                    waits.push(at - due);
                    due = at;
                }
                end => {
                    assert_eq!(end, Repeat::GaveUp('a'));
                    break;
                }
            }
        }
        assert_eq!(waits, (0..MAX_TRANSMISSIONS).map(|n| FIRST_WAIT << n).collect::<Vec<_>>());
        assert_eq!(commands.waiting(), 0);
    }

    #[test]
    fn a_provisional_answer_stops_the_repeats_and_the_final_one_is_acknowledged_with_the_next_command() {
        let mut commands = Commands::new(7);
        let (id, _, due) = commands.send(0, place(1), audit(), 'a');
        let later = commands.response(0, place(1), &Response::new(100, id)).wake;
        assert_eq!(later, Some(LONG_WAIT));
        assert_eq!(commands.due(due, id), Repeat::Nothing);
        // From elsewhere it is nobody's answer.
        let other = SocketAddr::from(([127, 0, 0, 2], 1));
        assert_eq!(commands.response(0, other, &Response::new(200, id)).key, None);
        assert_eq!(commands.response(0, place(1), &Response::new(200, id)).key, Some('a'));
        assert_eq!(commands.response(0, place(1), &Response::new(200, id)).key, None, "once");
        let (_, text, _) = commands.send(0, place(1), audit(), 'b');
        assert!(text.contains(&format!("\r\nK: {id}\r\n")), "{text}");
    }

    #[test]
    fn answers_are_kept_for_their_time_and_never_more_than_the_bound() {
        let mut history = History::default();
        for id in 0..HISTORY_CAP as u32 {
            history.keep(0, place(1), id, format!("200 {id}"));
        }
        history.acknowledge(place(1), "7-8, 4000000000, x, 20-10");
        // The first to go are those acknowledged, then the oldest.
        for (n, gone) in [(0, 7), (1, 8), (2, 0)] {
            assert!(history.answered(1, place(1), gone).is_some());
            history.keep(1, place(2), n, "200".to_owned());
            assert_eq!(history.answered(1, place(1), gone), None);
        }
        assert_eq!(history.len(), HISTORY_CAP);
        assert_eq!(history.answered(HISTORY - 1, place(1), 9).as_deref(), Some("200 9"));
        assert_eq!(history.answered(HISTORY, place(1), 9), None);
        assert_eq!(history.len(), 3);
    }
}
