//! The control socket: a Unix socket that only the program's owner can reach.
//!
//! A stale socket of an earlier run is replaced, but never one that a running program serves. The connection of each
//! client is read at a limited rate, so that a client that sends without end does not delay any call.

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

/// Size of the read buffer.
const READ_BUFFER_BYTES: usize = 4096;
/// Pause after each read, which limits a client to about 800 KB per second.
const READ_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before retrying a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long the last message to a client that is being disconnected may take to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Why the control socket could not be created.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// A running program serves the socket.
    #[error("{0}: another controller serves this socket")]
    InUse(PathBuf),
    /// The path exists and is not a socket.
    #[error("{0}: the path exists and is not a socket; it is left unchanged")]
    NotASocket(PathBuf),
    /// A system call failed.
    #[error("{path}: {error}")]
    Io {
        /// The file or directory that was accessed.
        path: PathBuf,
        /// The error that the system returned.
        error: io::Error,
    },
}

/// The listening control socket.
#[derive(Debug)]
pub struct ControlSocket {
    listener: Async<UnixListener>,
    path: PathBuf,
    /// Locked for as long as the socket is served.
    _lock: File,
}

impl ControlSocket {
    /// Removes the socket file. The lock is still held, so the file cannot belong to another program.
    pub fn remove(&self) {
        // A file that cannot be removed is stale and is replaced at the next start.
        let _ = fs::remove_file(&self.path);
    }
}

/// Creates the socket.
///
/// # Errors
/// If a running program serves the socket, the path is not a socket, or a system call fails.
pub fn bind(path: &Path) -> Result<ControlSocket, ControlError> {
    let io_error = |path: &Path| {
        let path = path.to_owned();
        move |error| ControlError::Io { path, error }
    };
    let with_suffix = |suffix: &str| {
        let mut name = path.as_os_str().to_owned();
        name.push(suffix);
        PathBuf::from(name)
    };
    let lock_path = with_suffix(".lock");
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(false).mode(0o600);
    let lock = options.open(&lock_path).map_err(io_error(&lock_path))?;
    match lock.try_lock() {
        Ok(()) => {}
        Err(TryLockError::WouldBlock) => return Err(ControlError::InUse(path.to_owned())),
        Err(TryLockError::Error(error)) => return Err(io_error(&lock_path)(error)),
    }
    match fs::symlink_metadata(path) {
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => return Err(io_error(path)(e)),
        Ok(found) if !std::os::unix::fs::FileTypeExt::is_socket(&found.file_type()) => {
            return Err(ControlError::NotASocket(path.to_owned()));
        }
        // A program that does not use the lock serves the socket.
        Ok(_) if UnixStream::connect(path).is_ok() => return Err(ControlError::InUse(path.to_owned())),
        Ok(_) => {}
    }
    // The socket is created in a directory that only the owner can enter, and then renamed: no other user can connect
    // at any moment, and a stale socket is replaced atomically.
    let directory = with_suffix(&format!(".{}", std::process::id()));
    let _ = fs::remove_dir_all(&directory);
    fs::DirBuilder::new().mode(0o700).create(&directory).map_err(io_error(&directory))?;
    let temporary = directory.join("s");
    let listener = UnixListener::bind(&temporary).map_err(io_error(&temporary)).and_then(|listener| {
        fs::set_permissions(&temporary, fs::Permissions::from_mode(0o600)).map_err(io_error(&temporary))?;
        fs::rename(&temporary, path).map_err(io_error(path))?;
        Async::new(listener).map_err(io_error(path))
    });
    let _ = fs::remove_dir_all(&directory);
    Ok(ControlSocket { listener: listener?, path: path.to_owned(), _lock: lock })
}

/// Accepts and serves clients for as long as the program runs.
pub async fn listen(socket: Rc<ControlSocket>, executor: Rc<LocalExecutor<'static>>, inbox: Sender<Inbound>) {
    let mut next_id = 0;
    // Limits the number of descriptors. A few more connections than clients are accepted, so that a client over the
    // limit can be told why it is rejected.
    let permits = std::sync::Arc::new(async_lock::Semaphore::new(MAX_CLIENTS + 4));
    loop {
        let permit = permits.acquire_arc().await;
        let Ok((stream, _)) = socket.listener.accept().await else {
            Timer::after(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let client = ClientId(next_id);
        next_id += 1;
        // One batch of messages at a time: the next one is made when this one has been written.
        let (batches, queue) = bounded(1);
        if inbox.send(Inbound::Control(ControlEvent::Connected(client, batches))).await.is_err() {
            return;
        }
        let inbox = inbox.clone();
        let serve = async move {
            future::or(read(&stream, client, &inbox), write(&stream, client, &queue, &inbox)).await;
            drop(permit);
            let _ = inbox.send(Inbound::Control(ControlEvent::Disconnected(client))).await;
        };
        executor.spawn(serve).detach();
    }
}

async fn read(mut stream: &Async<UnixStream>, client: ClientId, inbox: &Sender<Inbound>) {
    let mut buffer = [0; READ_BUFFER_BYTES];
    loop {
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(length) => {
                let event = ControlEvent::Received(client, buffer[..length].to_vec());
                if inbox.send(Inbound::Control(event)).await.is_err() {
                    return;
                }
            }
        }
        Timer::after(READ_INTERVAL).await;
    }
}

async fn write(
    mut stream: &Async<UnixStream>,
    client: ClientId,
    queue: &Receiver<Vec<u8>>,
    inbox: &Sender<Inbound>,
) {
    while let Ok(bytes) = queue.recv().await {
        let written = async { stream.write_all(&bytes).await.is_ok() };
        // Do not wait for a client that is being disconnected and does not read.
        let timeout = async {
            loop {
                let closed = queue.is_closed();
                Timer::after(FINAL_WRITE_TIMEOUT).await;
                if closed {
                    return false;
                }
            }
        };
        if !future::or(written, timeout).await {
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

    fn temporary_path(name: &str) -> PathBuf {
        let path = std::env::temp_dir().join(format!("wh-{}-{name}", std::process::id()));
        let _ = fs::remove_file(&path);
        path
    }

    #[test]
    fn a_stale_socket_is_replaced_but_not_a_live_one_and_only_the_owner_has_access() {
        let path = temporary_path("stale");
        drop(UnixListener::bind(&path).unwrap());
        assert!(path.exists(), "the file of the closed socket remains");
        let socket = bind(&path).unwrap();
        assert_eq!(fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
        UnixStream::connect(&path).unwrap();
        assert!(matches!(bind(&path), Err(ControlError::InUse(_))));
        socket.remove();
        drop(socket);
        assert!(!path.exists());
        // A live socket whose program does not hold the lock.
        let other = UnixListener::bind(&path).unwrap();
        assert!(matches!(bind(&path), Err(ControlError::InUse(_))));
        drop(other);
        fs::remove_file(&path).unwrap();
        fs::write(&path, "precious").unwrap();
        assert!(matches!(bind(&path), Err(ControlError::NotASocket(_))));
        assert_eq!(fs::read_to_string(&path).unwrap(), "precious");
        let error = bind(Path::new("/nowhere/at/all")).unwrap_err().to_string();
        assert!(error.contains("/nowhere/at/all"), "{error}");
    }
}
