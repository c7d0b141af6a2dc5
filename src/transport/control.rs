//! The control socket: a Unix socket that only the program's owner can reach.
//!
//! A socket that an earlier life of the program left behind is replaced; one that a living program serves never is.
//! Each program that connects has two tasks, and what it sends is taken in at a bounded pace, so that one that talks
//! without end keeps no call waiting.

use super::{ControlEvent, Inbound};
use async_channel::{bounded, Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use walnuthatch_control::sessions::{ClientId, MAX_CLIENTS};

/// Bytes read at a time.
const CHUNK: usize = 4096;
/// Pause after each reading: no program gets in more than 800 KB a second.
const PACE: Duration = Duration::from_millis(5);
/// Pause after an accept that failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// What one that is sent away has yet to read may take so long to go out.
const FAREWELL: Duration = Duration::from_secs(1);

/// Why there is no control socket.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A living program serves it.
    #[error("{0}: another controller serves this socket")]
    Taken(PathBuf),
    /// What is there is no socket.
    #[error("{0}: there is something that is no socket; it is left alone")]
    InTheWay(PathBuf),
    /// The system said no.
    #[error("{path}: {why}")]
    Io {
        /// What could not be made.
        path: PathBuf,
        /// Why.
        why: io::Error,
    },
}

/// The socket.
#[derive(Debug)]
pub struct ControlSocket {
    listener: Async<UnixListener>,
    path: PathBuf,
    /// Held for as long as the socket is served.
    _lock: File,
}

impl ControlSocket {
    /// Removes it from its folder. The lock is still held, so that it is the own one.
    pub fn remove(&self) {
        // What can't be removed is stale, and replaced by the next start.
        let _ = fs::remove_file(&self.path);
    }
}

/// Makes the socket.
///
/// # Errors
/// If another program serves it, or the system refuses.
pub fn bind(path: &Path) -> Result<ControlSocket, ControlError> {
    let fault = |at: &Path| {
        let path = at.to_owned();
        move |why| ControlError::Io { path, why }
    };
    let beside = |end: &str| {
        let mut name = path.as_os_str().to_owned();
        name.push(end);
        PathBuf::from(name)
    };
    let lock_path = beside(".lock");
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(false).mode(0o600);
    let lock = options.open(&lock_path).map_err(fault(&lock_path))?;
    match lock.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Err(ControlError::Taken(path.to_owned())),
        Err(TryLockError::Error(why)) => return Err(fault(&lock_path)(why)),
    }
    match fs::symlink_metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(fault(path)(e)),
        Ok(found) if !std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) => {
            return Err(ControlError::InTheWay(path.to_owned()));
        }
        // One that does without the lock, and is alive.
        Ok(_) if UnixStream::connect(path).is_ok() => return Err(ControlError::Taken(path.to_owned())),
        Ok(_) => {}
    }
    // Made in a folder of the owner's and moved into place: at no instant can anybody else connect, and one that
    // is stale is replaced in one step.
    let folder = beside(&format!(".{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::DirBuilder::new().mode(0o700).create(&folder).map_err(fault(&folder))?;
    let made = folder.join("s");
    let listener = UnixListener::bind(&made).map_err(fault(&made)).and_then(|listener| {
        fs::set_permissions(&made, fs::Permissions::from_mode(0o600)).map_err(fault(&made))?;
        fs::rename(&made, path).map_err(fault(path))?;
        Async::new(listener).map_err(fault(path))
    });
    let _ = fs::remove_dir_all(&folder);
    Ok(ControlSocket { listener: listener?, path: path.to_owned(), _lock: lock })
}

/// Takes in operators' programs for as long as the program runs.
pub async fn listen(socket: Rc<ControlSocket>, executor: Rc<LocalExecutor<'static>>, inbox: Sender<Inbound>) {
    let mut next = 0;
    // Guards descriptors: some more than may be connected, so that one too many can be told why.
    let places = std::sync::Arc::new(async_lock::Semaphore::new(MAX_CLIENTS + 4));
    loop {
        let place = places.acquire_arc().await;
        let Ok((stream, _)) = socket.listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            continue;
        };
        let client = ClientId(next);
        next += 1;
        // One message at a time: the next is made when this one has left.
        let (frames, queue) = bounded(1);
        if inbox.send(Inbound::Control(ControlEvent::Connected(client, frames))).await.is_err() {
            return;
        }
        let inbox = inbox.clone();
        let serve = async move {
            future::or(read(&stream, client, &inbox), write(&stream, client, &queue, &inbox)).await;
            drop(place);
            let _ = inbox.send(Inbound::Control(ControlEvent::Disconnected(client))).await;
        };
        executor.spawn(serve).detach();
    }
}

async fn read(mut stream: &Async<UnixStream>, client: ClientId, inbox: &Sender<Inbound>) {
    let mut chunk = [0; CHUNK];
    loop {
        match stream.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(n) => {
                let news = ControlEvent::Received(client, chunk[..n].to_vec());
                if inbox.send(Inbound::Control(news)).await.is_err() {
                    return;
                }
            }
        }
        Timer::after(PACE).await;
    }
}

async fn write(
    mut stream: &Async<UnixStream>,
    client: ClientId,
    queue: &Receiver<Vec<u8>>,
    inbox: &Sender<Inbound>,
) {
    while let Ok(bytes) = queue.recv().await {
        let sent = async { stream.write_all(&bytes).await.is_ok() };
        // One that is sent away and does not read is not waited for.
        let late = async {
            loop {
                let closed = queue.is_closed();
                Timer::after(FAREWELL).await;
                if closed {
                    return false;
                }
            }
        };
        if !future::or(sent, late).await {
            return;
        }
        if inbox.send(Inbound::Control(ControlEvent::Written(client))).await.is_err() {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn place(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("wh-{}-{name}", std::process::id()));
        let _ = fs::remove_file(&path);
        path
    }

    #[test]
    fn a_stale_socket_is_replaced_a_live_one_never_and_only_the_owner_gets_in() {
        let path = place("stale");
        drop(UnixListener::bind(&path).unwrap());
        assert!(path.exists(), "an earlier life left it behind");
        let socket = bind(&path).unwrap();
        assert_eq!(fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
        UnixStream::connect(&path).unwrap();
        assert!(matches!(bind(&path), Err(ControlError::Taken(_))));
        socket.remove();
        drop(socket);
        assert!(!path.exists());
        // One that holds no lock, and is alive all the same.
        let other = UnixListener::bind(&path).unwrap();
        assert!(matches!(bind(&path), Err(ControlError::Taken(_))));
        drop(other);
        fs::remove_file(&path).unwrap();
        fs::write(&path, "precious").unwrap();
        assert!(matches!(bind(&path), Err(ControlError::InTheWay(_))));
        assert_eq!(fs::read_to_string(&path).unwrap(), "precious");
        let error = bind(Path::new("/nowhere/at/all")).unwrap_err().to_string();
        assert!(error.contains("/nowhere/at/all"), "{error}");
    }
}
