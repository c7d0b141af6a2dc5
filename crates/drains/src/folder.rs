//! The folder in which the saved form lies: the only input and output of this crate.
//!
//! A saving goes to `drains.new`, is synced, and takes the place of `drains.state`, which becomes `drains.old`;
//! then the folder is synced. Whatever instant the program or the machine dies at, at least one whole saving
//! remains: [`Folder::load`] takes the newest whole one of the three, and says what was wrong with the others.

use crate::saved::{self, Saved, StateError, LONGEST};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

const NEW: &str = "drains.new";
const CURRENT: &str = "drains.state";
const OLD: &str = "drains.old";

/// A step of a saving, before which a test can have the program die.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Making the new file.
    Create,
    /// Writing the first half of it.
    HalfWrite,
    /// Writing the rest.
    Write,
    /// Syncing it.
    Sync,
    /// Putting the current one aside.
    Aside,
    /// Putting the new one in its place.
    Replace,
    /// Syncing the folder.
    SyncFolder,
}

/// All steps in their order.
pub const STAGES: [Stage; 7] = [
    Stage::Create,
    Stage::HalfWrite,
    Stage::Write,
    Stage::Sync,
    Stage::Aside,
    Stage::Replace,
    Stage::SyncFolder,
];

/// Why a saving failed.
#[derive(Debug, thiserror::Error)]
pub enum FolderError {
    /// The system said no.
    #[error("{path}: {why}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        why: io::Error,
    },
    /// The folder holds the savings of a newer program, which must not be lost.
    #[error("{0}: written by a newer program; nothing is written there")]
    Newer(PathBuf),
    /// It can't be written in the form.
    #[error("{0}")]
    Form(#[from] StateError),
}

/// What was found at the start.
#[derive(Debug, Default)]
pub struct Loaded {
    /// The newest whole saving.
    pub saved: Option<Saved>,
    /// What was wrong with files that were passed over.
    pub complaints: Vec<String>,
}

/// A state folder.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    generation: u64,
    newer: bool,
}

impl Folder {
    /// A folder at this path; nothing is read yet.
    pub fn at(path: impl Into<PathBuf>) -> Folder {
        Folder { path: path.into(), generation: 0, newer: false }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Finds the newest whole saving.
    pub fn load(&mut self) -> Loaded {
        let mut loaded = Loaded::default();
        for name in [CURRENT, NEW, OLD] {
            let path = self.path.join(name);
            let mut bytes = Vec::new();
            let read = File::open(&path).and_then(|f| f.take(LONGEST + 1).read_to_end(&mut bytes));
            match read {
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => {
                    loaded.complaints.push(format!("{}: {e}", path.display()));
                    continue;
                }
                Ok(_) => {}
            }
            match saved::decode(&bytes) {
                Ok((generation, saved)) => {
                    if loaded.saved.is_none() || generation > self.generation {
                        (self.generation, loaded.saved) = (generation, Some(saved));
                    }
                }
                // A new file that is not whole is what a kill in the middle of a saving leaves.
                Err(e) => {
                    self.newer |= matches!(e, StateError::Newer(_));
                    loaded.complaints.push(format!("{}: {e}", path.display()));
                }
            }
        }
        loaded
    }

    /// Saves.
    ///
    /// # Errors
    /// Says which file the system refused; what was saved before is still there.
    pub fn save(&mut self, saved: &Saved) -> Result<(), FolderError> {
        self.save_until(saved, |_| true)
    }

    /// Saves as far as `go_on` lets it: a test stops it before any step, as a kill would.
    ///
    /// # Errors
    /// As [`Folder::save`].
    pub fn save_until(
        &mut self,
        saved: &Saved,
        mut go_on: impl FnMut(Stage) -> bool,
    ) -> Result<(), FolderError> {
        if self.newer {
            return Err(FolderError::Newer(self.path.clone()));
        }
        let text = saved::encode(self.generation + 1, saved)?;
        let [new, current, old] = [NEW, CURRENT, OLD].map(|n| self.path.join(n));
        let fault = |path: &Path| {
            let path = path.to_owned();
            move |why| FolderError::Io { path, why }
        };
        if !go_on(Stage::Create) {
            return Ok(());
        }
        fs::create_dir_all(&self.path).map_err(fault(&self.path))?;
        // What is saved names operators: it is the owner's alone.
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true);
        #[cfg(unix)]
        std::os::unix::fs::OpenOptionsExt::mode(&mut options, 0o600);
        let mut file = options.open(&new).map_err(fault(&new))?;
        let (head, tail) = text.as_bytes().split_at(text.len() / 2);
        for (stage, part) in [(Stage::HalfWrite, head), (Stage::Write, tail)] {
            if !go_on(stage) {
                return Ok(());
            }
            file.write_all(part).map_err(fault(&new))?;
        }
        if !go_on(Stage::Sync) {
            return Ok(());
        }
        file.sync_all().map_err(fault(&new))?;
        drop(file);
        if !go_on(Stage::Aside) {
            return Ok(());
        }
        match fs::rename(&current, &old) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(fault(&current)(e)),
            _ => {}
        }
        if !go_on(Stage::Replace) {
            return Ok(());
        }
        fs::rename(&new, &current).map_err(fault(&new))?;
        self.generation += 1;
        if !go_on(Stage::SyncFolder) {
            return Ok(());
        }
        File::open(&self.path).and_then(|f| f.sync_all()).map_err(fault(&self.path))
    }
}
