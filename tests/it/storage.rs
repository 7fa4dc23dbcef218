//! The data folder under torn writes, damage and a second process.

use std::{fs, path::PathBuf};

use bulrushspan::{
    core::replication::{Ballot, DurableState, Entry, Members, Outputs, Payload, Snapshot},
    storage::{Identity, Store, StoreError},
};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("bulrushspan-{name}-{}", std::process::id()));
        fs::remove_dir_all(&path).ok();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.0).ok();
    }
}

fn entry(index: u64, term: u64) -> Entry<u8> {
    Entry { index, term, payload: Payload::Command(index as u8) }
}

/// Founds a replica and writes three entries and a ballot.
fn written(folder: &Folder) -> DurableState<u8> {
    let (mut store, durable) = Store::<u8>::open(&folder.0, Identity::new(5)).unwrap();
    assert!(durable.is_none());
    let mut durable = DurableState::new(Members::new([(5, "i".to_owned())]));
    store.initialize(&durable).unwrap();
    let out = Outputs {
        ballot: Some(Ballot { term: 2, voted_for: Some(5) }),
        entries: vec![entry(1, 1), entry(2, 1), entry(2, 2)],
        commit_index: Some(1),
        ..Outputs::default()
    };
    durable.ballot = Ballot { term: 2, voted_for: Some(5) };
    durable.commit_index = 1;
    out.entries.iter().for_each(|entry| durable.truncate_and_push(entry.clone()));
    store.save(&out, &durable).unwrap();
    durable
}

fn open(folder: &Folder) -> Result<Option<DurableState<u8>>, StoreError> {
    Store::<u8>::open(&folder.0, Identity::new(9)).map(|(_, durable)| durable)
}

#[test]
fn what_was_saved_is_found_again() {
    let folder = Folder::new("saved");
    let durable = written(&folder);
    assert_eq!(open(&folder).unwrap(), Some(durable));
}

/// Saves one more entry and returns where its record begins in the log.
fn save_one_more(folder: &Folder, durable: &mut DurableState<u8>) -> usize {
    let length = fs::read(folder.0.join("log")).unwrap().len();
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    let more = entry(3, 2);
    durable.truncate_and_push(more.clone());
    store.save(&Outputs { entries: vec![more], ..Outputs::default() }, durable).unwrap();
    length
}

#[test]
fn damage_in_the_middle_is_refused_with_its_place() {
    let folder = Folder::new("damage");
    let mut durable = written(&folder);
    let last = save_one_more(&folder, &mut durable);
    let log = folder.0.join("log");
    let whole = fs::read(&log).unwrap();
    for at in 0..last {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x10;
        fs::write(&log, &damaged).unwrap();
        let error = open(&folder).unwrap_err();
        assert!(matches!(error, StoreError::Corrupt { .. }), "byte {at}: {error}");
    }
}

#[test]
fn every_torn_tail_is_cut_to_a_whole_record() {
    let folder = Folder::new("torn");
    let before = written(&folder);
    let last = save_one_more(&folder, &mut before.clone());
    let log = folder.0.join("log");
    let whole = fs::read(&log).unwrap();
    for length in last..whole.len() {
        fs::write(&log, &whole[..length]).unwrap();
        assert_eq!(open(&folder).unwrap(), Some(before.clone()), "{length}");
    }
}

#[test]
fn a_last_save_torn_anywhere_is_cut() {
    let folder = Folder::new("torn-anywhere");
    let before = written(&folder);
    let mut durable = before.clone();
    let last = save_one_more(&folder, &mut durable);
    let log = folder.0.join("log");
    let whole = fs::read(&log).unwrap();
    for at in last..whole.len() {
        let mut torn = whole.clone();
        torn[at] ^= 0x10;
        fs::write(&log, &torn).unwrap();
        assert_eq!(open(&folder).unwrap(), Some(before.clone()), "byte {at}");
        assert_eq!(fs::read(&log).unwrap().len(), last, "byte {at}");
    }
}

#[test]
fn a_damaged_folder_is_set_aside_and_gives_way_to_a_new_id() {
    let folder = Folder::new("aside");
    written(&folder);
    bulrushspan::storage::move_damaged_files(&folder.0).unwrap();
    let (store, durable) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    assert!(durable.is_none());
    assert_eq!(store.identity().replica, 9);
}

#[test]
fn a_renewed_store_holds_the_same() {
    let folder = Folder::new("renewed");
    let mut durable = written(&folder);
    save_one_more(&folder, &mut durable);
    let (mut store, found) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    store.rewrite_all(&found.unwrap()).unwrap();
    drop(store);
    assert_eq!(open(&folder).unwrap(), Some(durable));
}

#[test]
fn a_second_process_and_a_lost_log_are_refused() {
    let folder = Folder::new("locked");
    written(&folder);
    let held = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    assert!(matches!(open(&folder), Err(StoreError::Locked { .. })));
    drop(held);
    // Its votes are lost with the log, so it may not start under its old id.
    fs::remove_file(folder.0.join("log")).unwrap();
    assert!(matches!(open(&folder), Err(StoreError::Corrupt { .. })));
}

#[test]
fn a_crash_between_snapshot_and_log_loses_nothing() {
    let folder = Folder::new("between");
    let mut durable = written(&folder);
    let old_log = fs::read(folder.0.join("log")).unwrap();
    let (mut store, _) = Store::<u8>::open(&folder.0, Identity::new(9)).unwrap();
    let snapshot =
        Snapshot { index: 1, term: 1, members: durable.members().1.clone(), data: vec![7] };
    durable.compact(snapshot.clone());
    let out = Outputs { snapshot: Some(snapshot), ..Outputs::default() };
    store.save(&out, &durable).unwrap();
    drop(store);
    fs::write(folder.0.join("log"), old_log).unwrap();
    assert_eq!(open(&folder).unwrap(), Some(durable));
}
