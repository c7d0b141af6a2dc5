//! The bounded send queue of a connection.

use crate::routing::interface::CallId;
use event_listener::Event;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum number of queued bytes. A connection whose reader is too slow for this is aborted.
pub const CAPACITY_BYTES: usize = 512 * 1024;

/// Maximum number of queued bytes with which a set-up is accepted. The rest is for probes and releases, so that set-ups
/// alone do not cost a connection.
const SET_UP_CAPACITY_BYTES: usize = CAPACITY_BYTES / 2;

#[derive(Debug, Default)]
struct Queue {
    /// Queued lines; a set-up carries the identifier of its call.
    lines: VecDeque<(Option<CallId>, Vec<u8>)>,
    bytes: usize,
    /// No more lines are accepted; the queued ones are still sent.
    closed: bool,
    /// The connection ends at once.
    aborted: bool,
    /// Nothing more is read from the connection.
    stop_reading: bool,
}

/// A handle to the queue. The event loop adds lines, and the task of the connection removes and sends them.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    changed: Rc<Event>,
}

impl Outbox {
    /// Adds a line. Returns `false` if the line was rejected because the queue is full, closed or aborted.
    #[must_use]
    pub fn push(&self, set_up: Option<CallId>, line: Vec<u8>) -> bool {
        let mut queue = self.queue.borrow_mut();
        if queue.closed || queue.aborted || queue.bytes + line.len() > CAPACITY_BYTES {
            return false;
        }
        queue.bytes += line.len();
        queue.lines.push_back((set_up, line));
        self.changed.notify(usize::MAX);
        true
    }

    /// Whether a set-up may be added: the queue is not full of messages that its reader has not taken.
    pub fn has_room_for_set_up(&self) -> bool {
        self.queue.borrow().bytes < SET_UP_CAPACITY_BYTES
    }

    /// Removes the set-up of a call if it is still queued, and returns whether it was. A set-up that is queued for a
    /// slow reader must not reach the exchange after it was given up, since it would break the drain limit and the
    /// rule of one attempt at a time.
    pub fn remove_unsent(&self, call: CallId) -> bool {
        let mut queue = self.queue.borrow_mut();
        let Some(position) = queue.lines.iter().position(|l| l.0 == Some(call)) else { return false };
        let line = queue.lines.remove(position);
        queue.bytes -= line.map_or(0, |l| l.1.len());
        true
    }

    /// Ends the connection after the queued lines have been sent.
    pub fn close(&self) {
        self.queue.borrow_mut().closed = true;
        self.changed.notify(usize::MAX);
    }

    /// Ends the connection at once and discards the queued lines.
    pub fn abort(&self) {
        let mut queue = self.queue.borrow_mut();
        queue.aborted = true;
        queue.lines.clear();
        queue.bytes = 0;
        self.changed.notify(usize::MAX);
    }

    /// Stops reading from the connection.
    pub fn stop_reading(&self) {
        self.queue.borrow_mut().stop_reading = true;
        self.changed.notify(usize::MAX);
    }

    /// Number of queued bytes.
    pub fn queued_bytes(&self) -> usize {
        self.queue.borrow().bytes
    }

    /// Waits for lines and removes the next batch of them, whole lines until it has `batch_bytes` bytes; `None` if
    /// the connection is to end.
    pub async fn next_batch(&self, batch_bytes: usize) -> Option<Vec<u8>> {
        loop {
            let listener = self.changed.listen();
            {
                let mut queue = self.queue.borrow_mut();
                if queue.aborted {
                    return None;
                }
                let mut bytes = Vec::new();
                while bytes.len() < batch_bytes {
                    let Some((_, line)) = queue.lines.pop_front() else { break };
                    queue.bytes -= line.len();
                    bytes.extend(line);
                }
                if !bytes.is_empty() {
                    return Some(bytes);
                }
                if queue.closed {
                    return None;
                }
            }
            listener.await;
        }
    }

    /// Waits until the connection is aborted.
    pub async fn wait_for_abort(&self) {
        self.wait_until(|queue| queue.aborted).await;
    }

    /// Waits until reading is to stop.
    pub async fn wait_for_stop_reading(&self) {
        self.wait_until(|queue| queue.stop_reading).await;
    }

    async fn wait_until(&self, condition: impl Fn(&Queue) -> bool) {
        loop {
            let listener = self.changed.listen();
            if condition(&self.queue.borrow()) {
                return;
            }
            listener.await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use futures_lite::future::{block_on, poll_once};

    #[test]
    fn a_full_queue_rejects_lines_and_a_set_up_can_be_removed_until_it_is_sent() {
        let outbox = Outbox::default();
        assert!(outbox.push(Some(CallId(1)), b"one\n".to_vec()));
        assert!(outbox.push(Some(CallId(2)), b"two\n".to_vec()));
        assert!(!outbox.push(None, vec![0; CAPACITY_BYTES]));
        assert!(outbox.remove_unsent(CallId(1)));
        assert_eq!(block_on(outbox.next_batch(100)), Some(b"two\n".to_vec()));
        assert!(!outbox.remove_unsent(CallId(2)), "already sent");
        assert_eq!(outbox.queued_bytes(), 0);
        outbox.close();
        assert!(!outbox.push(None, vec![0]));
        assert_eq!(block_on(outbox.next_batch(100)), None);
    }

    #[test]
    fn an_abort_ends_the_wait_and_discards_the_queue() {
        let outbox = Outbox::default();
        assert!(block_on(poll_once(outbox.wait_for_abort())).is_none());
        assert!(outbox.push(None, vec![1]));
        outbox.abort();
        assert_eq!(block_on(outbox.next_batch(9)), None);
        block_on(outbox.wait_for_abort());
    }
}
