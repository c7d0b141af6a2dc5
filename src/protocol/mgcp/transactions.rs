//! MGCP transactions in both directions (RFC 3435, section 3.5).
//!
//! Commands are retransmitted until they are answered. Responses are kept for a time, so that a repeated command
//! gets the same response again and is not executed twice.

use super::message::{Command, Params, Response, Verb, MAX_TRANSACTION_ID};
use crate::protocol::run_id::RunId;
use crate::routing::interface::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Time before a command is first retransmitted (µs); it doubles with each retransmission.
pub const INITIAL_RETRANSMISSION_TIMEOUT: Micros = 200_000;
/// Number of times a command is sent, the first transmission included.
pub const MAX_TRANSMISSIONS: u32 = 6;
/// How long the final response is waited for after a provisional one (µs).
pub const LONG_TRANSACTION_TIMEOUT: Micros = 5_000_000;
/// How long a response is kept (T-HIST of RFC 3435; µs).
pub const HISTORY_TIME: Micros = 30_000_000;
/// Maximum number of responses kept; acknowledged responses are evicted first, then the oldest.
pub const MAX_HISTORY_ENTRIES: usize = 4096;
/// Maximum number of transactions that one command acknowledges.
const MAX_ACKNOWLEDGED_IDS: usize = 32;

// ---- Commands sent by the call agent ----

#[derive(Debug)]
struct PendingCommand<K> {
    to: SocketAddr,
    text: String,
    purpose: K,
    retransmission_timeout: Micros,
    /// When the command is retransmitted or given up; timers that expire earlier are outdated.
    deadline: Micros,
    transmissions: u32,
    /// Set by a provisional response or by [`CommandTransactions::stop_retransmitting`].
    retransmission_stopped: bool,
}

/// What to do when the timer of a transaction expires.
#[derive(Debug, PartialEq)]
pub enum TimeoutAction<K> {
    /// Nothing: the transaction has ended, or the timer is outdated.
    Ignore,
    /// Send this text to this address again; the next timer expires at the given time.
    Retransmit(SocketAddr, String, Micros),
    /// No response came in time; the value is the purpose of the command.
    GiveUp(K),
}

/// Commands that wait for a response; `K` is the purpose of a command.
#[derive(Debug)]
pub struct CommandTransactions<K> {
    next_id: u32,
    pending: BTreeMap<u32, PendingCommand<K>>,
    /// For each gateway, the transactions whose final response the next command acknowledges.
    unacknowledged: BTreeMap<SocketAddr, Vec<u32>>,
    /// Number of retransmissions.
    pub retransmissions: u64,
}

impl<K> CommandTransactions<K> {
    /// Creates an empty table. The first transaction identifier comes from the run, so that a restarted program
    /// does not reuse the identifiers of the previous run.
    pub fn new(run_id: RunId) -> Self {
        let next_id = (run_id.0 % u64::from(MAX_TRANSACTION_ID)) as u32 + 1;
        CommandTransactions {
            next_id,
            pending: BTreeMap::new(),
            unacknowledged: BTreeMap::new(),
            retransmissions: 0,
        }
    }

    /// Starts a transaction and returns its identifier, the text to send and the time of its timer.
    pub fn send(
        &mut self,
        now: Micros,
        to: SocketAddr,
        mut command: Command,
        purpose: K,
    ) -> (u32, String, Micros) {
        while self.pending.contains_key(&self.next_id) {
            self.advance_next_id();
        }
        command.transaction = self.next_id;
        self.advance_next_id();
        if let Some(ids) = self.unacknowledged.remove(&to) {
            let ids: Vec<String> = ids.iter().map(u32::to_string).collect();
            command.params.0.insert(0, ("K".to_owned(), ids.join(",")));
        }
        let (text, deadline) = (command.encode(), now + INITIAL_RETRANSMISSION_TIMEOUT);
        let pending = PendingCommand {
            to,
            text: text.clone(),
            purpose,
            retransmission_timeout: INITIAL_RETRANSMISSION_TIMEOUT,
            deadline,
            transmissions: 1,
            retransmission_stopped: false,
        };
        self.pending.insert(command.transaction, pending);
        (command.transaction, text, deadline)
    }

    fn advance_next_id(&mut self) {
        self.next_id = if self.next_id >= MAX_TRANSACTION_ID { 1 } else { self.next_id + 1 };
    }

    /// Handles the timer of a transaction.
    pub fn timer_expired(&mut self, now: Micros, transaction: u32) -> TimeoutAction<K> {
        let Some(pending) = self.pending.get_mut(&transaction).filter(|p| p.deadline <= now) else {
            return TimeoutAction::Ignore;
        };
        if pending.transmissions >= MAX_TRANSMISSIONS || pending.retransmission_stopped {
            let removed = self.pending.remove(&transaction);
            return removed.map_or(TimeoutAction::Ignore, |p| TimeoutAction::GiveUp(p.purpose));
        }
        pending.transmissions += 1;
        pending.retransmission_timeout *= 2;
        pending.deadline = now + pending.retransmission_timeout;
        self.retransmissions += 1;
        TimeoutAction::Retransmit(pending.to, pending.text.clone(), pending.deadline)
    }

    /// Handles a response. A final response ends its transaction; a provisional one stops the retransmissions.
    pub fn handle_response(
        &mut self,
        now: Micros,
        from: SocketAddr,
        response: &Response,
    ) -> ResponseOutcome<K> {
        // An empty K parameter asks for an immediate acknowledgement, also in a repeated response.
        let ack_requested = response.code >= 200 && response.params.get("K").is_some_and(str::is_empty);
        let acknowledgement = ack_requested.then(|| Response::new(0, response.transaction).encode());
        let pending = self.pending.get_mut(&response.transaction).filter(|p| p.to.ip() == from.ip());
        let Some(pending) = pending else {
            return ResponseOutcome { purpose: None, acknowledgement, deadline: None };
        };
        if response.code < 200 {
            pending.retransmission_stopped = true;
            pending.deadline = now + LONG_TRANSACTION_TIMEOUT;
            let deadline = Some(pending.deadline);
            return ResponseOutcome { purpose: None, acknowledgement: None, deadline };
        }
        let to = pending.to;
        let purpose = self.pending.remove(&response.transaction).map(|p| p.purpose);
        if !ack_requested {
            let ids = self.unacknowledged.entry(to).or_default();
            ids.push(response.transaction);
            // All of them go into one parameter line of the next command. The oldest can be left out: the gateway
            // removes old responses from its history by itself.
            ids.drain(..ids.len().saturating_sub(MAX_ACKNOWLEDGED_IDS));
        }
        ResponseOutcome { purpose, acknowledgement, deadline: None }
    }

    /// Stops retransmitting a command while still accepting its response; returns the new time of its timer.
    pub fn stop_retransmitting(&mut self, now: Micros, transaction: u32) -> Option<Micros> {
        let pending = self.pending.get_mut(&transaction)?;
        pending.retransmission_stopped = true;
        pending.deadline = now + LONG_TRANSACTION_TIMEOUT;
        Some(pending.deadline)
    }

    /// The identifier of the next transaction.
    pub fn next_id(&self) -> u32 {
        self.next_id
    }

    /// Number of commands that wait for a response.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}

/// The result of handling a response.
#[derive(Debug, PartialEq)]
pub struct ResponseOutcome<K> {
    /// The purpose of the command, if this is its first final response.
    pub purpose: Option<K>,
    /// A response acknowledgement to send back.
    pub acknowledgement: Option<String>,
    /// The new time of the transaction's timer.
    pub deadline: Option<Micros>,
}

// ---- Responses to the gateways' commands ----

#[derive(Debug)]
struct HistoryEntry {
    expires: Micros,
    text: String,
    acknowledged: bool,
}

/// The responses sent to the gateways' commands, by gateway address and transaction.
#[derive(Debug, Default)]
pub struct ResponseHistory {
    entries: BTreeMap<(SocketAddr, u32), HistoryEntry>,
    /// Expiry time and key of each entry, oldest first.
    order: VecDeque<(Micros, SocketAddr, u32)>,
    /// Number of repeated commands that got their response from the history.
    pub repeated_commands: u64,
}

impl ResponseHistory {
    /// The response to a command that was received before.
    pub fn lookup(&mut self, now: Micros, from: SocketAddr, transaction: u32) -> Option<String> {
        self.expire(now);
        let text = self.entries.get(&(from, transaction)).map(|entry| entry.text.clone())?;
        self.repeated_commands += 1;
        Some(text)
    }

    /// Stores the response to a command.
    pub fn insert(&mut self, now: Micros, from: SocketAddr, transaction: u32, text: String) {
        self.expire(now);
        if self.entries.len() >= MAX_HISTORY_ENTRIES {
            let acknowledged = |o: &(Micros, SocketAddr, u32)| {
                self.entries.get(&(o.1, o.2)).is_some_and(|entry| entry.acknowledged)
            };
            let evicted = self.order.iter().position(acknowledged).unwrap_or(0);
            if let Some((_, from, transaction)) = self.order.remove(evicted) {
                self.entries.remove(&(from, transaction));
            }
        }
        let expires = now + HISTORY_TIME;
        self.entries.insert((from, transaction), HistoryEntry { expires, text, acknowledged: false });
        self.order.push_back((expires, from, transaction));
    }

    /// Handles a response acknowledgement, a list of transactions and ranges of them. The responses stay in the
    /// history, because a repeated command may still be in transit, but are evicted before all others.
    pub fn acknowledge(&mut self, from: SocketAddr, list: &str) {
        for part in list.split(',') {
            let (low, high) = part.split_once('-').unwrap_or((part, part));
            let (Ok(low), Ok(high)) = (low.trim().parse::<u32>(), high.trim().parse::<u32>()) else {
                continue;
            };
            if low <= high {
                for (_, entry) in self.entries.range_mut((from, low)..=(from, high)) {
                    entry.acknowledged = true;
                }
            }
        }
    }

    /// Number of responses kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the history is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn expire(&mut self, now: Micros) {
        while let Some(&(expires, from, transaction)) = self.order.front().filter(|o| o.0 <= now) {
            self.order.pop_front();
            if self.entries.get(&(from, transaction)).is_some_and(|entry| entry.expires == expires) {
                self.entries.remove(&(from, transaction));
            }
        }
    }
}

/// A command without parameters; [`CommandTransactions::send`] assigns its transaction identifier.
pub fn new_command(verb: Verb, endpoint: super::message::EndpointName) -> Command {
    Command { verb, transaction: 0, endpoint, params: Params::default(), sdp: None }
}

#[cfg(test)]
mod tests {
    use super::super::message::EndpointName;
    use super::*;

    fn address(port: u16) -> SocketAddr {
        SocketAddr::from(([127, 0, 0, 1], port))
    }

    fn audit_endpoint() -> Command {
        new_command(Verb::Auep, EndpointName { local: "lamp/1".to_owned(), domain: "cab".to_owned() })
    }

    #[test]
    fn a_command_is_retransmitted_with_doubling_timeouts_and_then_given_up() {
        let mut transactions = CommandTransactions::new(RunId(7));
        let (id, text, mut deadline) = transactions.send(0, address(1), audit_endpoint(), 'a');
        let mut timeouts = vec![deadline];
        loop {
            assert_eq!(
                transactions.timer_expired(deadline - 1, id),
                TimeoutAction::Ignore,
                "before the deadline"
            );
            match transactions.timer_expired(deadline, id) {
                TimeoutAction::Retransmit(_, retransmitted, next) => {
                    assert_eq!(retransmitted, text);
                    timeouts.push(next - deadline);
                    deadline = next;
                }
                end => {
                    assert_eq!(end, TimeoutAction::GiveUp('a'));
                    break;
                }
            }
        }
        let expected = (0..MAX_TRANSMISSIONS).map(|n| INITIAL_RETRANSMISSION_TIMEOUT << n);
        assert_eq!(timeouts, expected.collect::<Vec<_>>());
        assert_eq!(transactions.pending_count(), 0);
    }

    #[test]
    fn a_provisional_response_stops_retransmission_and_the_next_command_acknowledges_the_final_one() {
        let mut transactions = CommandTransactions::new(RunId(7));
        let (id, _, deadline) = transactions.send(0, address(1), audit_endpoint(), 'a');
        let extended = transactions.handle_response(0, address(1), &Response::new(100, id)).deadline;
        assert_eq!(extended, Some(LONG_TRANSACTION_TIMEOUT));
        assert_eq!(transactions.timer_expired(deadline, id), TimeoutAction::Ignore);
        // A response from another address is ignored.
        let other = SocketAddr::from(([127, 0, 0, 2], 1));
        let ok = Response::new(200, id);
        assert_eq!(transactions.handle_response(0, other, &ok).purpose, None);
        assert_eq!(transactions.handle_response(0, address(1), &ok).purpose, Some('a'));
        assert_eq!(transactions.handle_response(0, address(1), &ok).purpose, None, "only once");
        let (_, text, _) = transactions.send(0, address(1), audit_endpoint(), 'b');
        assert!(text.contains(&format!("\r\nK: {id}\r\n")), "{text}");
    }

    #[test]
    fn responses_are_kept_for_the_history_time_and_within_the_maximum_number() {
        let mut history = ResponseHistory::default();
        for id in 0..MAX_HISTORY_ENTRIES as u32 {
            history.insert(0, address(1), id, format!("200 {id}"));
        }
        history.acknowledge(address(1), "7-8, 4000000000, x, 20-10");
        // Acknowledged responses are evicted first, then the oldest.
        for (n, evicted) in [(0, 7), (1, 8), (2, 0)] {
            assert!(history.lookup(1, address(1), evicted).is_some());
            history.insert(1, address(2), n, "200".to_owned());
            assert_eq!(history.lookup(1, address(1), evicted), None);
        }
        assert_eq!(history.len(), MAX_HISTORY_ENTRIES);
        assert_eq!(history.lookup(HISTORY_TIME - 1, address(1), 9).as_deref(), Some("200 9"));
        assert_eq!(history.lookup(HISTORY_TIME, address(1), 9), None);
        assert_eq!(history.len(), 3);
    }
}
