//! Connection to the controller, read by a background thread. Only the newest view of each topic and the most recent
//! events are kept, so memory stays bounded and the socket is always read, however long the terminal stalls.

use crate::app::LinkState;
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use walnuthatch_control::client::Connection;
use walnuthatch_control::frames::{Frame, Operation, Topic};

/// Delay before reconnecting after a connection is lost.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);
/// Maximum number of events queued for the terminal.
const MAX_EVENTS: usize = 512;

#[derive(Default)]
struct Inbox {
    states: VecDeque<LinkState>,
    replies: VecDeque<Frame>,
    events: VecDeque<Frame>,
    views: BTreeMap<Topic, Frame>,
    lost: u64,
    writer: Option<Connection>,
}

/// A connection that is re-established whenever it is lost.
pub struct Link {
    inbox: Arc<Mutex<Inbox>>,
    stopped: Arc<AtomicBool>,
}

fn lock(inbox: &Mutex<Inbox>) -> MutexGuard<'_, Inbox> {
    inbox.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Starts the background thread, which connects and reconnects until the link is dropped.
    pub fn start(path: PathBuf, who: String) -> Link {
        let (inbox, stopped) = (Arc::new(Mutex::new(Inbox::default())), Arc::new(AtomicBool::new(false)));
        let (shared, stopping) = (inbox.clone(), stopped.clone());
        std::thread::spawn(move || {
            while !stopping.load(Ordering::SeqCst) {
                let reason = read_connection(&path, &who, &shared);
                let mut inbox = lock(&shared);
                inbox.writer = None;
                inbox.states.push_back(LinkState::Down(reason));
                drop(inbox);
                std::thread::sleep(RECONNECT_DELAY);
            }
        });
        Link { inbox, stopped }
    }

    /// Returns the state changes and the messages received since the last call.
    pub fn take(&self) -> (Vec<LinkState>, Vec<Frame>) {
        let mut inbox = lock(&self.inbox);
        let states = inbox.states.drain(..).collect();
        let lost = std::mem::take(&mut inbox.lost);
        let lost = (lost > 0).then_some(Frame::Lost { v: 1, lost });
        let mut frames: Vec<Frame> = lost.into_iter().collect();
        frames.extend(inbox.replies.drain(..).collect::<Vec<_>>());
        frames.extend(inbox.events.drain(..).collect::<Vec<_>>());
        frames.extend(std::mem::take(&mut inbox.views).into_values());
        (states, frames)
    }

    /// Sends a request if connected. The caller resends unanswered requests after a reconnect.
    pub fn send(&self, id: &str, operation: Operation) {
        if let Some(writer) = &mut lock(&self.inbox).writer {
            // A write error needs no handling here: the reader detects the broken connection.
            drop(writer.send(id, operation));
        }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Reads messages until the connection ends and returns the reason.
fn read_connection(path: &std::path::Path, who: &str, inbox: &Mutex<Inbox>) -> String {
    let opened = Connection::open(path, who).and_then(|c| Ok((c.try_clone()?, c)));
    let (writer, mut reader) = match opened {
        Ok(handles) => handles,
        Err(e) => return e.to_string(),
    };
    {
        let mut inbox = lock(inbox);
        inbox.writer = Some(writer);
        inbox.states.push_back(LinkState::Up);
    }
    loop {
        let frame = match reader.receive() {
            Ok(frame) => frame,
            Err(e) => return e.to_string(),
        };
        let mut inbox = lock(inbox);
        match frame {
            Frame::View { view: Topic::Events, .. } => {
                inbox.events.push_back(frame);
                if inbox.events.len() > MAX_EVENTS {
                    inbox.events.pop_front();
                    inbox.lost += 1;
                }
            }
            Frame::View { view, .. } => drop(inbox.views.insert(view, frame)),
            Frame::Lost { lost, .. } => inbox.lost += lost,
            // Bounded: there are no more replies than requests, and pending requests are limited.
            Frame::Reply { .. } => inbox.replies.push_back(frame),
        }
    }
}
