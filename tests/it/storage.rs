//! The data folder under torn writes, damage and a second process.

use std::{fs, path::PathBuf};

use bulrushspan::{
    core::replication::{Ballot, Durable, Entry, Members, Outputs, Payload, Snapshot},
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
fn written(folder: &Folder) -> Durable<u8> {
    let (mut store, durable) = Store::<u8>::open(&folder.0, Identity::new(5)).unwrap();
    assert!(durable.is_none());
    let mut durable = Durable::new(Members::new([(5, "i".to_owned())]));
    store.found(&durable).unwrap();
    let out = Outputs {
        ballot: Some(Ballot { term: 2, voted_for: Some(5) }),
        entries: vec![entry(1, 1), entry(2, 1), entry(2, 2)],
        ..Outputs::default()
    };
    durable.ballot = Ballot { term: 2, voted_for: Some(5) };
    out.entries.iter().for_each(|entry| durable.put(entry.clone()));
    store.save(&out, &durable).unwrap();
    durable
}

fn open(folder: &Folder) -> Result<Option<Durable<u8>>, StoreError> {
    Store::<u8>::open(&folder.0, Identity::new(9)).map(|(_, durable)| durable)
}

#[test]
fn what_was_saved_is_found_again() {
    let folder = Folder::new("saved");
    let durable = written(&folder);
    assert_eq!(open(&folder).unwrap(), Some(durable));
}

#[test]
fn every_torn_tail_is_cut_to_a_whole_record() {
    let folder = Folder::new("torn");
    let durable = written(&folder);
    let log = folder.0.join("log");
    let whole = fs::read(&log).unwrap();
    let last = whole.len() - 40;
    for length in last..whole.len() {
        fs::write(&log, &whole[..length]).unwrap();
        let found = open(&folder).unwrap().unwrap();
        assert!(found.entries.len() <= durable.entries.len(), "{length}");
        assert_eq!(found.ballot, durable.ballot, "{length}");
        assert!(durable.entries.starts_with(&found.entries) || found.entries[1].term == 1);
    }
}

#[test]
fn damage_in_the_middle_is_refused_with_its_place() {
    let folder = Folder::new("damage");
    written(&folder);
    let log = folder.0.join("log");
    let whole = fs::read(&log).unwrap();
    for at in 0..whole.len() / 2 {
        let mut damaged = whole.clone();
        damaged[at] ^= 0x10;
        fs::write(&log, &damaged).unwrap();
        let error = open(&folder).unwrap_err();
        assert!(matches!(error, StoreError::Corrupt { .. }), "byte {at}: {error}");
    }
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
