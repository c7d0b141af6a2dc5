//! Bounded queue of the messages to one client.
//!
//! Replies are never dropped: a client with more than [`MAX_REPLY_BYTES`] bytes of unread replies is disconnected, so
//! that it notices the loss. Only the newest view of each topic is kept. When the events overflow, the oldest are
//! dropped and their number is reported before the next event.

use crate::frames::{encode_line, Frame, Topic, VERSION};
use std::collections::{BTreeMap, VecDeque};

/// Maximum size of queued replies (bytes). A single larger reply is accepted if no other is queued.
pub const MAX_REPLY_BYTES: usize = 256 * 1024;
/// Maximum number of queued events.
pub const MAX_EVENTS: usize = 256;

/// Messages queued for one client.
#[derive(Debug, Default)]
pub struct SendQueue {
    replies: VecDeque<Vec<u8>>,
    reply_bytes: usize,
    events: VecDeque<Vec<u8>>,
    dropped_events: u64,
    views: BTreeMap<Topic, Vec<u8>>,
}

impl SendQueue {
    /// Queues a reply. Returns `false` if there is no room, in which case the connection must be closed.
    #[must_use]
    pub fn push_reply(&mut self, frame: Vec<u8>) -> bool {
        if self.reply_bytes > 0 && self.reply_bytes + frame.len() > MAX_REPLY_BYTES {
            return false;
        }
        self.reply_bytes += frame.len();
        self.replies.push_back(frame);
        true
    }

    /// Queues an event, dropping the oldest one if the queue is full.
    pub fn push_event(&mut self, frame: Vec<u8>) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
            self.dropped_events += 1;
        }
        self.events.push_back(frame);
    }

    /// Whether no view of this topic is queued. While one is, producing another would be wasted work.
    pub fn accepts_view(&self, topic: Topic) -> bool {
        !self.views.contains_key(&topic)
    }

    /// Queues a view, replacing a queued view of the same topic.
    pub fn set_view(&mut self, topic: Topic, frame: Vec<u8>) {
        self.views.insert(topic, frame);
    }

    /// Removes the next message: replies first, then events, then views.
    pub fn pop(&mut self) -> Option<Vec<u8>> {
        if let Some(reply) = self.replies.pop_front() {
            self.reply_bytes -= reply.len();
            return Some(reply);
        }
        if self.dropped_events > 0 {
            let lost = std::mem::take(&mut self.dropped_events);
            return Some(encode_line(&Frame::Lost { v: VERSION, lost }));
        }
        self.events.pop_front().or_else(|| self.views.pop_first().map(|v| v.1))
    }

    /// Returns the size of all queued messages (bytes).
    pub fn queued_bytes(&self) -> usize {
        let total = |queue: &VecDeque<Vec<u8>>| queue.iter().map(Vec::len).sum::<usize>();
        total(&self.replies) + total(&self.events) + self.views.values().map(Vec::len).sum::<usize>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn memory_is_bounded_without_reads_and_dropped_events_are_reported() {
        let mut m = SendQueue::default();
        for n in 0..100_000u32 {
            m.push_event(format!("{n}\n").into_bytes());
            m.set_view(Topic::Status, vec![b'x'; 1000]);
            m.set_view(Topic::Calls, vec![b'y'; 1000]);
        }
        assert!(
            m.queued_bytes() < 2000 + MAX_EVENTS * 8
                && !m.accepts_view(Topic::Calls)
                && m.accepts_view(Topic::Drains)
        );
        let first = String::from_utf8(m.pop().unwrap()).unwrap();
        assert!(first.contains(&format!("\"lost\":{}", 100_000 - MAX_EVENTS)), "{first}");
        assert_eq!(m.pop().unwrap(), format!("{}\n", 100_000 - MAX_EVENTS).into_bytes());
    }

    #[test]
    fn replies_come_first_and_an_overflowing_reply_is_refused() {
        let mut m = SendQueue::default();
        m.set_view(Topic::Status, vec![b'v']);
        assert!(m.push_reply(vec![b'a'; 2 * MAX_REPLY_BYTES]), "a single oversized reply is accepted");
        assert!(!m.push_reply(vec![b'b']));
        assert_eq!(m.pop().unwrap().len(), 2 * MAX_REPLY_BYTES);
        assert!(m.push_reply(vec![b'c']));
        assert_eq!((m.pop(), m.pop(), m.pop()), (Some(vec![b'c']), Some(vec![b'v']), None));
    }
}
