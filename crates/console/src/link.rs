//! The connection to the controller, read by a thread of its own. Of each view only the newest is kept, and of events
//! the last: however long the terminal stands still, this takes no more memory, and the socket is always read.

use crate::app::LinkState;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use walnuthatch_control::client::Connection;
use walnuthatch_control::frames::{Frame, Operation, Topic};

/// Wait before a connection that was lost is tried again.
const AGAIN: Duration = Duration::from_millis(500);
/// Events and replies kept for a terminal that stands still.
const KEPT: usize = 512;

#[derive(Default)]
struct Inbox {
    states: VecDeque<LinkState>,
    replies: VecDeque<Frame>,
    events: VecDeque<Frame>,
    views: BTreeMap<Topic, Frame>,
    lost: u64,
    pen: Option<Connection>,
}

/// The connection.
pub struct Link {
    inbox: Arc<Mutex<Inbox>>,
    over: Arc<AtomicBool>,
}

fn lock(inbox: &Mutex<Inbox>) -> MutexGuard<'_, Inbox> {
    inbox.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Connects, and connects anew whenever the connection is lost.
    pub fn start(path: PathBuf, who: String) -> Link {
        let (inbox, over) = (Arc::new(Mutex::new(Inbox::default())), Arc::new(AtomicBool::new(false)));
        let (shared, ended) = (inbox.clone(), over.clone());
        std::thread::spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                let why = follow(&path, &who, &shared);
                let mut i = lock(&shared);
                i.pen = None;
                i.states.push_back(LinkState::Down(why));
                drop(i);
                std::thread::sleep(AGAIN);
            }
        });
        Link { inbox, over }
    }

    /// What has come since the last call.
    pub fn take(&self) -> (Vec<LinkState>, Vec<Frame>) {
        let mut i = lock(&self.inbox);
        let states = i.states.drain(..).collect();
        let lost = std::mem::take(&mut i.lost);
        let lost = (lost > 0).then_some(Frame::Lost { v: 1, lost });
        let mut frames: Vec<Frame> = lost.into_iter().collect();
        frames.extend(i.replies.drain(..).collect::<Vec<_>>());
        frames.extend(i.events.drain(..).collect::<Vec<_>>());
        frames.extend(std::mem::take(&mut i.views).into_values());
        (states, frames)
    }

    /// Sends a request; without a connection it goes out with the next one.
    pub fn send(&self, id: &str, ask: Operation) {
        if let Some(pen) = &mut lock(&self.inbox).pen {
            // A connection that breaks here is found broken by the reader.
            drop(pen.send(id, ask));
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
    }
}

/// Reads a connection to its end, and tells why it ended.
fn follow(path: &std::path::Path, who: &str, inbox: &Mutex<Inbox>) -> String {
    let opened = Connection::open(path, who).and_then(|c| Ok((c.try_clone()?, c)));
    let (pen, mut reader) = match opened {
        Ok(both) => both,
        Err(e) => return e.to_string(),
    };
    {
        let mut i = lock(inbox);
        i.pen = Some(pen);
        i.states.push_back(LinkState::Up);
    }
    loop {
        let frame = match reader.receive() {
            Ok(frame) => frame,
            Err(e) => return e.to_string(),
        };
        let mut i = lock(inbox);
        match frame {
            Frame::View { view: Topic::Events, .. } => {
                i.events.push_back(frame);
                if i.events.len() > KEPT {
                    i.events.pop_front();
                    i.lost += 1;
                }
            }
            Frame::View { view, .. } => drop(i.views.insert(view, frame)),
            Frame::Lost { lost, .. } => i.lost += lost,
            // There are never more replies than requests, and those are bounded.
            Frame::Reply { .. } => i.replies.push_back(frame),
        }
    }
}
