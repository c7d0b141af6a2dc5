//! The thread that writes the state folder. The task that owns routing hands it whole states and never waits; a newer
//! one takes the place of one that has not begun to be written.

use super::{ControlEvent, Inbound};
use async_channel::{bounded, Receiver, Sender};
use walnuthatch_drains::folder::Folder;
use walnuthatch_drains::saved::Saved;

/// A state with its number.
pub type SaveRequest = (u64, Box<Saved>);
/// What became of the saving of that number.
pub type SaveResult = (u64, Result<(), String>);

/// Starts the thread: states go in, what became of them comes out.
pub fn start(mut folder: Folder) -> (Sender<SaveRequest>, Receiver<SaveResult>) {
    let (savings, queue) = bounded::<SaveRequest>(1);
    let (outcomes, told) = bounded(1);
    std::thread::spawn(move || {
        while let Ok((n, saved)) = queue.recv_blocking() {
            let how = folder.save(&saved).map_err(|e| e.to_string());
            if outcomes.send_blocking((n, how)).is_err() {
                return;
            }
        }
    });
    (savings, told)
}

/// Passes on what became of savings.
pub async fn forward_results(told: Receiver<SaveResult>, inbox: Sender<Inbound>) {
    while let Ok((n, how)) = told.recv().await {
        if inbox.send(Inbound::Control(ControlEvent::StateSaved(n, how))).await.is_err() {
            return;
        }
    }
}
