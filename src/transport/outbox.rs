//! The bounded send queue of one connection.

use crate::routing::interface::CallId;
use event_listener::Event;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;

/// Bytes that may wait for one connection. What a slow reader has not taken by then costs it the connection.
pub const CAPACITY_BYTES: usize = 512 * 1024;

#[derive(Debug, Default)]
struct Queue {
    lines: VecDeque<(Option<CallId>, Vec<u8>)>,
    bytes: usize,
    /// Nothing more is taken; what waits still goes out.
    closed: bool,
    /// The connection is to end at once.
    aborted: bool,
    /// Nothing more is to be read from the connection.
    stop_reading: bool,
}

/// A handle to the queue: the task that owns routing puts lines in, the connection's own task takes them out.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    queue: Rc<RefCell<Queue>>,
    news: Rc<Event>,
}

impl Outbox {
    /// Adds a line. `false`: there is no room, and the line was not taken.
    #[must_use]
    pub fn push(&self, set_up: Option<CallId>, line: Vec<u8>) -> bool {
        let mut q = self.queue.borrow_mut();
        if q.closed || q.aborted || q.bytes + line.len() > CAPACITY_BYTES {
            return false;
        }
        q.bytes += line.len();
        q.lines.push_back((set_up, line));
        self.news.notify(usize::MAX);
        true
    }

    /// Takes back the set-up of a call that has not begun to leave. Guards the drain limit and the rule of one
    /// attempt: what still waits behind a slow reader must not reach the exchange after it was given up.
    pub fn remove_unsent(&self, call: CallId) -> bool {
        let mut q = self.queue.borrow_mut();
        let Some(at) = q.lines.iter().position(|l| l.0 == Some(call)) else { return false };
        let line = q.lines.remove(at);
        q.bytes -= line.map_or(0, |l| l.1.len());
        true
    }

    /// Ends the connection once what waits has gone out.
    pub fn close(&self) {
        self.queue.borrow_mut().closed = true;
        self.news.notify(usize::MAX);
    }

    /// Ends the connection at once.
    pub fn abort(&self) {
        let mut q = self.queue.borrow_mut();
        q.aborted = true;
        q.lines.clear();
        q.bytes = 0;
        self.news.notify(usize::MAX);
    }

    /// Has the connection's task read no further.
    pub fn stop_reading(&self) {
        self.queue.borrow_mut().stop_reading = true;
        self.news.notify(usize::MAX);
    }

    /// Bytes that wait.
    pub fn queued_bytes(&self) -> usize {
        self.queue.borrow().bytes
    }

    /// Waits for lines and takes up to about `most` bytes of them; `None`: the connection is to end.
    pub async fn next_batch(&self, most: usize) -> Option<Vec<u8>> {
        loop {
            let listener = self.news.listen();
            {
                let mut q = self.queue.borrow_mut();
                if q.aborted {
                    return None;
                }
                let mut bytes = Vec::new();
                while bytes.len() < most {
                    let Some((_, line)) = q.lines.pop_front() else { break };
                    q.bytes -= line.len();
                    bytes.extend(line);
                }
                if !bytes.is_empty() {
                    return Some(bytes);
                }
                if q.closed {
                    return None;
                }
            }
            listener.await;
        }
    }

    /// Waits until the connection is to end at once.
    pub async fn wait_for_abort(&self) {
        self.until(|q| q.aborted).await;
    }

    /// Waits until nothing more is to be read from the connection.
    pub async fn wait_for_stop_reading(&self) {
        self.until(|q| q.stop_reading).await;
    }

    async fn until(&self, holds: impl Fn(&Queue) -> bool) {
        loop {
            let listener = self.news.listen();
            if holds(&self.queue.borrow()) {
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
    fn a_full_queue_takes_no_more_and_a_set_up_can_be_taken_back_until_it_leaves() {
        let o = Outbox::default();
        assert!(o.push(Some(CallId(1)), b"one\n".to_vec()));
        assert!(o.push(Some(CallId(2)), b"two\n".to_vec()));
        assert!(!o.push(None, vec![0; CAPACITY_BYTES]));
        assert!(o.remove_unsent(CallId(1)));
        assert_eq!(block_on(o.next_batch(100)), Some(b"two\n".to_vec()));
        assert!(!o.remove_unsent(CallId(2)), "it has left");
        assert_eq!(o.queued_bytes(), 0);
        o.close();
        assert!(!o.push(None, vec![0]));
        assert_eq!(block_on(o.next_batch(100)), None);
    }

    #[test]
    fn a_cut_ends_the_wait_and_drops_what_waits() {
        let o = Outbox::default();
        assert!(block_on(poll_once(o.wait_for_abort())).is_none());
        assert!(o.push(None, vec![1]));
        o.abort();
        assert_eq!(block_on(o.next_batch(9)), None);
        block_on(o.wait_for_abort());
    }
}
