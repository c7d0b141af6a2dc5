//! What waits for one operator's program, in bounded memory.
//!
//! Replies are never dropped: a program that has not read [`REPLIES`] bytes of them loses its connection, and so
//! knows that it missed something. Of views only the newest of each topic is kept. Of events the oldest are dropped,
//! and how many is told before the next one.

use crate::frames::{line, Frame, Topic, VERSION};
use std::collections::{BTreeMap, VecDeque};

/// Bytes of replies that may wait. One reply more than this is taken if none waits.
pub const REPLIES: usize = 256 * 1024;
/// Events that may wait.
pub const EVENTS: usize = 256;

/// The mailbox.
#[derive(Debug, Default)]
pub struct Mailbox {
    replies: VecDeque<Vec<u8>>,
    bytes: usize,
    events: VecDeque<Vec<u8>>,
    lost: u64,
    views: BTreeMap<Topic, Vec<u8>>,
}

impl Mailbox {
    /// Adds a reply. `false`: there is no room, and the connection must end.
    #[must_use]
    pub fn reply(&mut self, frame: Vec<u8>) -> bool {
        if self.bytes > 0 && self.bytes + frame.len() > REPLIES {
            return false;
        }
        self.bytes += frame.len();
        self.replies.push_back(frame);
        true
    }

    /// Adds an event.
    pub fn event(&mut self, frame: Vec<u8>) {
        if self.events.len() >= EVENTS {
            self.events.pop_front();
            self.lost += 1;
        }
        self.events.push_back(frame);
    }

    /// Whether a view of this topic would be taken: while one waits there is no need to make another.
    pub fn wants(&self, topic: Topic) -> bool {
        !self.views.contains_key(&topic)
    }

    /// Adds a view; an older one of the same topic makes room.
    pub fn view(&mut self, topic: Topic, frame: Vec<u8>) {
        self.views.insert(topic, frame);
    }

    /// Takes the next message: replies before events before views.
    pub fn take(&mut self) -> Option<Vec<u8>> {
        if let Some(reply) = self.replies.pop_front() {
            self.bytes -= reply.len();
            return Some(reply);
        }
        if self.lost > 0 {
            let lost = std::mem::take(&mut self.lost);
            return Some(line(&Frame::Lost { v: VERSION, lost }));
        }
        self.events.pop_front().or_else(|| self.views.pop_first().map(|v| v.1))
    }

    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        let of = |l: &VecDeque<Vec<u8>>| l.iter().map(Vec::len).sum::<usize>();
        of(&self.replies) + of(&self.events) + self.views.values().map(Vec::len).sum::<usize>()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn memory_is_bounded_for_one_that_never_reads_and_nothing_is_dropped_in_silence() {
        let mut m = Mailbox::default();
        for n in 0..100_000u32 {
            m.event(format!("{n}\n").into_bytes());
            m.view(Topic::Status, vec![b'x'; 1000]);
            m.view(Topic::Calls, vec![b'y'; 1000]);
        }
        assert!(m.waiting() < 2000 + EVENTS * 8 && !m.wants(Topic::Calls) && m.wants(Topic::Drains));
        let first = String::from_utf8(m.take().unwrap()).unwrap();
        assert!(first.contains(&format!("\"lost\":{}", 100_000 - EVENTS)), "{first}");
        assert_eq!(m.take().unwrap(), format!("{}\n", 100_000 - EVENTS).into_bytes());
    }

    #[test]
    fn replies_come_first_and_one_too_many_is_refused() {
        let mut m = Mailbox::default();
        m.view(Topic::Status, vec![b'v']);
        assert!(m.reply(vec![b'a'; 2 * REPLIES]), "one long reply alone has room");
        assert!(!m.reply(vec![b'b']));
        assert_eq!(m.take().unwrap().len(), 2 * REPLIES);
        assert!(m.reply(vec![b'c']));
        assert_eq!((m.take(), m.take(), m.take()), (Some(vec![b'c']), Some(vec![b'v']), None));
    }
}
