//! Tests of the data folder after interrupted writes and damage, and of its lock.

use std::{fs, os::unix::fs::MetadataExt, path::PathBuf};

use bulrushspan::{
    core::replication::{Ballot, DurableState, Entry, Members, Outputs, Payload, Snapshot},
    storage::{Identity, Store, StoreError},
};

/// A folder for one test, which is removed on drop.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("bulrushspan-{name}-{}", std::process::id()));
        fs::remove_dir_all(&path).ok();
        Self(path)
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

fn entry(index: u64, term: u64) -> Entry<u8> {
    Entry { index, term, payload: Payload::Command(index as u8) }
}

/// Creates a log in a new data folder and saves a ballot and three entries, the
/// last of which replaces the second.
fn write_sample(folder: &TempFolder) -> DurableState<u8> {
    let (mut store, durable) = Store::<u8>::open(&folder.0, Identity::new(5)).unwrap();
    assert!(durable.is_none());
    let mut durable = DurableState::new(Members::new([(5, "i".to_owned())]));
    store.create_log(&durable).unwrap();
    let outputs = Outputs {
        ballot: Some(Ballot { term: 2, voted_for: Some(5) }),
        entries: vec![entry(1, 1), entry(2, 1), entry(2, 2)],
        commit_index: Some(1),
        ..Outputs::default()
    };
    durable.ballot = Ballot { term: 2, voted_for: Some(5) };
    durable.commit_index = 1;
    outputs.entries.iter().for_each(|entry| durable.truncate_and_push(entry.clone()));
    store.save(&outputs, &durable).unwrap();
    durable
}

fn open(folder: &TempFolder) -> Result<Option<DurableState<u8>>, StoreError> {
    Store::<u8>::open(&folder.0, Identity::new(9)).map(|(_, durable)| durable)
}

#[test]
fn a_saved_state_is_restored() {
    let folder = TempFolder::new("saved");
    let durable = write_sample(&folder);
    assert_eq!(open(&folder).unwrap(), Some(durable));
}

/// Saves the ballot again and another entry. Returns the offset of the entry's record in the log.
fn save_another_entry(folder: &TempFolder, durable: &mut DurableState<u8>) -> usize {
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    store.save(&Outputs { ballot: Some(durable.ballot), ..Outputs::default() }, durable).unwrap();
    let offset = fs::read(folder.0.join("log")).unwrap().len();
    let entry_3 = entry(3, 2);
    durable.truncate_and_push(entry_3.clone());
    store.save(&Outputs { entries: vec![entry_3], ..Outputs::default() }, durable).unwrap();
    offset
}

#[test]
fn damage_before_the_last_record_is_refused() {
    let folder = TempFolder::new("damage");
    let mut durable = write_sample(&folder);
    let last_offset = save_another_entry(&folder, &mut durable);
    let log = folder.0.join("log");
    let intact_log = fs::read(&log).unwrap();
    for offset in 0..last_offset {
        let mut damaged_log = intact_log.clone();
        damaged_log[offset] ^= 0x10;
        fs::write(&log, &damaged_log).unwrap();
        let error = open(&folder).unwrap_err();
        assert!(matches!(error, StoreError::Damaged { .. }), "byte {offset}: {error}");
    }
}

#[test]
fn a_truncated_last_record_is_discarded() {
    let folder = TempFolder::new("torn");
    let durable_before = write_sample(&folder);
    let last_offset = save_another_entry(&folder, &mut durable_before.clone());
    let log = folder.0.join("log");
    let intact_log = fs::read(&log).unwrap();
    for length in last_offset..intact_log.len() {
        fs::write(&log, &intact_log[..length]).unwrap();
        assert_eq!(open(&folder).unwrap(), Some(durable_before.clone()), "{length} bytes kept");
    }
}

/// Returns the bytes of a log that holds just this state.
fn rewritten_log(durable: &DurableState<u8>) -> Vec<u8> {
    let folder = TempFolder::new("expected");
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    store.create_log(durable).unwrap();
    fs::read(folder.0.join("log")).unwrap()
}

#[test]
fn a_last_record_damaged_at_any_byte_is_discarded() {
    let folder = TempFolder::new("torn-anywhere");
    let durable_before = write_sample(&folder);
    let mut durable = durable_before.clone();
    let last_offset = save_another_entry(&folder, &mut durable);
    let log = folder.0.join("log");
    let intact_log = fs::read(&log).unwrap();
    let rewritten_log = rewritten_log(&durable_before);
    for offset in last_offset..intact_log.len() {
        let mut damaged_log = intact_log.clone();
        damaged_log[offset] ^= 0x10;
        fs::write(&log, &damaged_log).unwrap();
        assert_eq!(open(&folder).unwrap(), Some(durable_before.clone()), "byte {offset}");
        assert_eq!(fs::read(&log).unwrap(), rewritten_log, "byte {offset}");
    }
}

#[test]
fn a_damaged_folder_is_moved_aside_and_replaced_under_a_new_id() {
    let folder = TempFolder::new("aside");
    write_sample(&folder);
    bulrushspan::storage::move_damaged_files(&folder.0, Identity::new(9)).unwrap();
    let (store, durable) = Store::<u8>::open(&folder.0, Identity::new(10)).unwrap();
    assert!(durable.is_none());
    assert_eq!(store.identity().replica, 9);
}

#[test]
fn a_start_rewrites_all_files_with_the_same_state() {
    let folder = TempFolder::new("renewed");
    let mut durable = write_sample(&folder);
    save_another_entry(&folder, &mut durable);
    let snapshot =
        Snapshot { index: 3, term: 2, members: durable.snapshot.members.clone(), data: vec![7] };
    durable.compact(snapshot.clone());
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    store.save(&Outputs { snapshot: Some(snapshot), ..Outputs::default() }, &durable).unwrap();
    drop(store);
    let read = |name: &str| fs::read(folder.0.join(name)).unwrap();
    let inode = |name: &str| fs::metadata(folder.0.join(name)).unwrap().ino();
    let names = ["identity", "snapshot", "log"];
    let inodes_before = names.map(inode);
    assert_eq!(open(&folder).unwrap(), Some(durable.clone()));
    let rewritten_files = names.map(read);
    names.iter().zip(inodes_before).for_each(|(name, before)| assert_ne!(inode(name), before));
    assert_eq!(open(&folder).unwrap(), Some(durable));
    assert_eq!(names.map(read), rewritten_files);
}

#[test]
fn a_second_process_and_a_missing_log_are_refused() {
    let folder = TempFolder::new("locked");
    write_sample(&folder);
    let locked_store = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    assert!(matches!(open(&folder), Err(StoreError::Locked { .. })));
    drop(locked_store);
    // The votes were in the log, so the replica must not start under its old id.
    fs::remove_file(folder.0.join("log")).unwrap();
    assert!(matches!(open(&folder), Err(StoreError::Damaged { .. })));
}

#[test]
fn a_crash_between_writing_the_snapshot_and_the_log_loses_nothing() {
    let folder = TempFolder::new("between");
    let mut durable = write_sample(&folder);
    let old_log = fs::read(folder.0.join("log")).unwrap();
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    let snapshot =
        Snapshot { index: 1, term: 1, members: durable.members().1.clone(), data: vec![7] };
    durable.compact(snapshot.clone());
    let outputs = Outputs { snapshot: Some(snapshot), ..Outputs::default() };
    store.save(&outputs, &durable).unwrap();
    drop(store);
    // Simulates the crash: the snapshot was written, but the log was not rewritten.
    fs::write(folder.0.join("log"), old_log).unwrap();
    assert_eq!(open(&folder).unwrap(), Some(durable));
}

/// Returns the files of a log of one entry with a snapshot at index 10 and an entry after it that
/// was appended to the old log file, and the state that was saved.
fn write_unreached_snapshot(folder: &TempFolder) -> DurableState<u8> {
    let mut durable = write_sample(folder);
    let old_log = fs::read(folder.0.join("log")).unwrap();
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    let members = durable.members().1.clone();
    let snapshot = Snapshot { index: 10, term: 2, members, data: vec![7] };
    durable.compact(snapshot.clone());
    let outputs = Outputs { snapshot: Some(snapshot), ..Outputs::default() };
    store.save(&outputs, &durable).unwrap();
    let offset = fs::read(folder.0.join("log")).unwrap().len();
    durable.truncate_and_push(entry(11, 2));
    store.save(&Outputs { entries: vec![entry(11, 2)], ..Outputs::default() }, &durable).unwrap();
    let new_log = fs::read(folder.0.join("log")).unwrap();
    fs::write(folder.0.join("log"), [&old_log, &new_log[offset..]].concat()).unwrap();
    durable
}

// Guards against the loss of what an earlier version saved after such a crash (review/6).
#[test]
fn entries_that_an_earlier_version_appended_to_a_log_that_ends_before_the_snapshot_are_kept() {
    let folder = TempFolder::new("unreached");
    let durable = write_unreached_snapshot(&folder);
    assert_eq!(open(&folder).unwrap(), Some(durable.clone()));
    assert_eq!(open(&folder).unwrap(), Some(durable));
}

// Guards against a log that goes on from a snapshot that it doesn't belong to.
#[test]
fn a_log_and_a_snapshot_that_do_not_belong_together_are_refused() {
    let folder = TempFolder::new("apart");
    write_sample(&folder);
    let (mut store, durable) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    let mut durable = durable.unwrap();
    for (index, term) in [(10, 2), (20, 2), (20, 3)] {
        let members = durable.members().1.clone();
        let snapshot = Snapshot { index, term, members, data: vec![7] };
        durable.compact(snapshot.clone());
        store.save(&Outputs { snapshot: Some(snapshot), ..Outputs::default() }, &durable).unwrap();
        let name = format!("snapshot-{index}-{term}");
        fs::copy(folder.0.join("snapshot"), folder.0.join(name)).unwrap();
    }
    drop(store);
    for name in ["snapshot-10-2", "snapshot-20-2"] {
        fs::copy(folder.0.join(name), folder.0.join("snapshot")).unwrap();
        assert!(matches!(open(&folder), Err(StoreError::Damaged { .. })), "{name}");
    }
    // Another snapshot doesn't close the gap in the log.
    let folder = TempFolder::new("gap");
    write_unreached_snapshot(&folder);
    fs::remove_file(folder.0.join("snapshot")).unwrap();
    assert!(matches!(open(&folder), Err(StoreError::Damaged { .. })));
}
