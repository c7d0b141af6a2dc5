//! Tests the state folder: crashes before each step of a save, corrupted files and unusable folders.

use std::fs;
use std::path::PathBuf;
use walnuthatch_drains::folder::{Folder, FolderError, SAVE_STEPS};
use walnuthatch_drains::saved::Saved;

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    drop(fs::remove_dir_all(&path));
    path
}

fn saved(next: u64) -> Saved {
    Saved { next, ..Saved::default() }
}

#[test]
fn a_crash_before_any_step_leaves_the_previous_or_the_new_save_intact() {
    for (n, step) in SAVE_STEPS.into_iter().enumerate() {
        let path = folder(&format!("kill-{n}"));
        let mut f = Folder::new(&path);
        f.save(&saved(1)).unwrap();
        f.save(&saved(2)).unwrap();
        f.save_until(&saved(3), |s| s != step).unwrap();
        let mut after = Folder::new(&path);
        let next = after.load().saved.unwrap().next;
        assert!(next == 2 || next == 3 && n >= 3, "{step:?}: {next}");
        // Saving works again after the crash.
        after.save(&saved(9)).unwrap();
        assert_eq!(Folder::new(&path).load().saved.unwrap().next, 9, "{step:?}");
    }
}

#[test]
fn a_corrupted_newest_file_falls_back_to_the_last_valid_one_with_a_warning() {
    let path = folder("spoilt");
    let mut f = Folder::new(&path);
    f.save(&saved(1)).unwrap();
    f.save(&saved(2)).unwrap();
    let current = path.join("drains.state");
    let text = fs::read_to_string(&current).unwrap();
    fs::write(&current, text.replace("next = 2", "next = 7")).unwrap();
    let loaded = Folder::new(&path).load();
    assert_eq!(loaded.saved.unwrap().next, 1);
    assert!(loaded.warnings[0].contains("drains.state: the checksum"), "{:?}", loaded.warnings);
}

#[test]
fn a_folder_of_a_newer_program_is_left_unchanged() {
    let path = folder("newer");
    let mut f = Folder::new(&path);
    f.save(&saved(1)).unwrap();
    let current = path.join("drains.state");
    let text = fs::read_to_string(&current).unwrap().replacen(" 1 ", " 2 ", 1);
    fs::write(&current, &text).unwrap();
    let mut f = Folder::new(&path);
    let loaded = f.load();
    assert!(loaded.saved.is_none() && loaded.warnings[0].contains("version 2"));
    assert!(matches!(f.save(&saved(5)), Err(FolderError::Newer(_))));
    assert_eq!(fs::read_to_string(&current).unwrap(), text);
}

#[test]
fn a_folder_that_cannot_be_created_is_an_error_that_names_it() {
    let path = folder("file");
    fs::write(&path, "in the way").unwrap();
    let mut f = Folder::new(&path);
    assert!(f.load().saved.is_none());
    let error = f.save(&saved(1)).unwrap_err().to_string();
    assert!(error.contains("file-"), "{error}");
}
