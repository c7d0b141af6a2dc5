//! The thread that writes the state folder. The event loop passes it complete states and never waits; a newer state
//! replaces one that is still queued.

use super::{ControlEvent, Inbound};
use async_channel::{bounded, Receiver, Sender};
use walnuthatch_drains::folder::Folder;
use walnuthatch_drains::saved::Saved;

/// A state to save, with its number.
pub type SaveRequest = (u64, Box<Saved>);
/// The number of a state and the result of saving it.
pub type SaveResult = (u64, Result<(), String>);

/// Starts the thread; returns the queue for states to save and the queue of results.
pub fn start(mut folder: Folder) -> (Sender<SaveRequest>, Receiver<SaveResult>) {
    let (requests, queue) = bounded::<SaveRequest>(1);
    let (results, result_queue) = bounded(1);
    std::thread::spawn(move || {
        while let Ok((number, saved)) = queue.recv_blocking() {
            let result = folder.save(&saved).map_err(|e| e.to_string());
            if results.send_blocking((number, result)).is_err() {
                return;
            }
        }
    });
    (requests, result_queue)
}

/// Forwards the results to the event loop.
pub async fn forward_results(results: Receiver<SaveResult>, inbox: Sender<Inbound>) {
    while let Ok((number, result)) = results.recv().await {
        if inbox.send(Inbound::Control(ControlEvent::StateSaved(number, result))).await.is_err() {
            return;
        }
    }
}
