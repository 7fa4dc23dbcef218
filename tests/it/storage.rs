//! Tests of the data folder after interrupted writes and damage, and of its lock.

use std::{fs, path::PathBuf};

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

/// Saves another entry and returns the offset of its record in the log.
fn save_another_entry(folder: &TempFolder, durable: &mut DurableState<u8>) -> usize {
    let offset = fs::read(folder.0.join("log")).unwrap().len();
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
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

#[test]
fn a_last_record_damaged_at_any_byte_is_discarded() {
    let folder = TempFolder::new("torn-anywhere");
    let durable_before = write_sample(&folder);
    let mut durable = durable_before.clone();
    let last_offset = save_another_entry(&folder, &mut durable);
    let log = folder.0.join("log");
    let intact_log = fs::read(&log).unwrap();
    for offset in last_offset..intact_log.len() {
        let mut damaged_log = intact_log.clone();
        damaged_log[offset] ^= 0x10;
        fs::write(&log, &damaged_log).unwrap();
        assert_eq!(open(&folder).unwrap(), Some(durable_before.clone()), "byte {offset}");
        assert_eq!(fs::read(&log).unwrap().len(), last_offset, "byte {offset}");
    }
}

#[test]
fn a_damaged_folder_is_moved_aside_and_replaced_under_a_new_id() {
    let folder = TempFolder::new("aside");
    write_sample(&folder);
    bulrushspan::storage::move_damaged_files(&folder.0).unwrap();
    let (store, durable) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    assert!(durable.is_none());
    assert_eq!(store.identity().replica, 9);
}

#[test]
fn a_rewritten_store_holds_the_same_state() {
    let folder = TempFolder::new("renewed");
    let mut durable = write_sample(&folder);
    save_another_entry(&folder, &mut durable);
    let (mut store, recovered_state) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    store.rewrite_all(&recovered_state.unwrap()).unwrap();
    drop(store);
    assert_eq!(open(&folder).unwrap(), Some(durable));
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
