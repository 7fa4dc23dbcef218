//! Crashes and failed operations at every step of the data folder's operations, twice in a row,
//! compared with a model of what was made durable.

mod disk;

use std::collections::BTreeSet;

use bulrushspan::{
    core::replication::{
        Ballot, DurableState, Entry, LogIndex, Members, Outputs, Payload, ReplicaId, Snapshot, Term,
    },
    storage::{Identity, Store, StoreError, move_damaged_files_with},
};

use self::disk::{Content, Disk, FAULTS, Fault};

/// What the driver of a replica does with the data folder.
#[derive(Clone, Copy, Debug)]
enum Action {
    Append,
    /// Replaces the last entry and appends another.
    Replace,
    Vote,
    Commit,
    /// Compacts the log up to its last entry but one.
    Compact,
    /// Installs a snapshot beyond the end of the log.
    InstallAhead,
    /// Installs a snapshot at an index where the log has another term.
    InstallOther,
    /// Installs a snapshot that the log matches and has entries after.
    InstallBehind,
    Restart,
}

/// Contains each action that takes a snapshot over before and after the others.
const SCRIPT: [Action; 22] = [
    Action::Append,
    Action::Vote,
    Action::Append,
    Action::InstallAhead,
    Action::Append,
    Action::Replace,
    Action::InstallOther,
    Action::Append,
    Action::Commit,
    Action::Restart,
    Action::Compact,
    Action::Append,
    Action::InstallAhead,
    Action::InstallAhead,
    Action::Append,
    Action::Append,
    Action::InstallBehind,
    Action::Vote,
    Action::Compact,
    Action::InstallOther,
    Action::Restart,
    Action::Append,
];

/// The number of actions between the first crash and the end of a run.
const ACTIONS_AFTER_CRASH: usize = 3;

/// A replica on a disk, with the states that the disk may hold.
struct Replica {
    disk: Disk,
    store: Option<Store<u8>>,
    durable: DurableState<u8>,
    model: Model,
}

#[derive(Clone, Eq, Ord, PartialEq, PartialOrd)]
struct Model {
    /// The states that a start may find. The first was made durable, and the others follow from
    /// the steps of an action that was not completed.
    allowed: Vec<Option<DurableState<u8>>>,
    /// The id of the replica, once a start has returned it.
    id: Option<ReplicaId>,
    starts: u64,
}

/// Why an action was not completed.
enum Stop {
    /// The process was killed, or an operation failed.
    Failed(StoreError),
    /// The data folder holds what it must not hold.
    Wrong(String),
}

impl Replica {
    fn new(content: Content, model: Model) -> Self {
        let durable = DurableState::new(Members::default());
        Self { disk: Disk::new(content), store: None, durable, model }
    }

    /// Opens the data folder, and creates the log if there is none.
    fn start(&mut self) -> Result<(), Stop> {
        self.store = None;
        self.model.starts += 1;
        let new_identity = Identity::new(100 + self.model.starts);
        let (mut store, found) =
            Store::<u8>::open_with(self.disk.files(), new_identity).map_err(Stop::Failed)?;
        let id = store.identity().replica;
        if self.model.id.is_some_and(|known_id| known_id != id) {
            return Err(Stop::Wrong(format!("id {id}, expected {:?}", self.model.id)));
        }
        self.model.id = Some(id);
        if found.is_some() && !store.identity().log_created {
            return Err(Stop::Wrong("a later loss of the log would not be noticed".to_owned()));
        }
        if !self.model.allowed.contains(&found) {
            let allowed = &self.model.allowed;
            return Err(Stop::Wrong(format!("found {found:?}\nallowed {allowed:?}")));
        }
        self.model.allowed = vec![found.clone()];
        self.durable = match found {
            Some(durable) => durable,
            None => {
                let initial = DurableState::new(Members::new([(id, "i".to_owned())]));
                self.model.allowed.push(Some(initial.clone()));
                store.create_log(&initial).map_err(Stop::Failed)?;
                initial
            }
        };
        self.model.allowed = vec![Some(self.durable.clone())];
        self.store = Some(store);
        Ok(())
    }

    /// Performs an action. If an operation fails, opens the folder again as the driver does.
    fn perform(&mut self, action: Action) -> Result<(), Stop> {
        if self.store.is_none() || matches!(action, Action::Restart) {
            self.start()?;
        }
        let Some(store) = &mut self.store else { return Ok(()) };
        let (outputs, after) = outputs(action, &self.durable);
        let mut compacted = self.durable.clone();
        if let Some(snapshot) = outputs.snapshot.clone() {
            compacted.compact(snapshot);
        }
        let before = std::mem::replace(&mut self.durable, after.clone());
        self.model.allowed = vec![Some(before), Some(compacted), Some(after.clone())];
        store.save(&outputs, &after).map_err(Stop::Failed)?;
        self.model.allowed = vec![Some(after)];
        Ok(())
    }

    /// Performs actions until the end or until the process is killed.
    fn run(&mut self, actions: &[Action]) -> Result<(), String> {
        for action in actions {
            let mut failures = self.disk.failures();
            let mut result = self.perform(*action);
            while let Err(stop) = result {
                match stop {
                    Stop::Wrong(reason) => return Err(reason),
                    Stop::Failed(_) if self.disk.is_killed() => return Ok(()),
                    Stop::Failed(StoreError::Io { .. }) if self.disk.failures() > failures => {}
                    Stop::Failed(error) => return Err(error.to_string()),
                }
                failures = self.disk.failures();
                result = self.start();
                if result.is_err() {
                    self.disk.make_room();
                }
            }
        }
        Ok(())
    }
}

/// Returns what a step has to make durable, and the state after it.
fn outputs(action: Action, before: &DurableState<u8>) -> (Outputs<u8>, DurableState<u8>) {
    let (mut out, mut after) = (Outputs::default(), before.clone());
    let (last, term) = (before.last_index(), before.ballot.term.max(before.last_term()));
    let set_ballot = |out: &mut Outputs<u8>, after: &mut DurableState<u8>| {
        after.ballot = Ballot { term: term + 1, voted_for: Some(term % 3) };
        out.ballot = Some(after.ballot);
    };
    match action {
        Action::Append => out.entries = vec![entry(last + 1, term)],
        Action::Replace => {
            set_ballot(&mut out, &mut after);
            let index = if before.entries.is_empty() { last + 1 } else { last };
            out.entries = vec![entry(index, term + 1), entry(index + 1, term + 1)];
        }
        Action::Vote => set_ballot(&mut out, &mut after),
        Action::Commit => {
            after.commit_index = last;
            out.commit_index = Some(last);
        }
        Action::Compact | Action::InstallBehind => {
            let index = last.saturating_sub(1);
            if index > before.snapshot.index {
                out.snapshot = Some(snapshot(index, before.term_at(index).unwrap(), before));
            }
        }
        Action::InstallAhead => out.snapshot = Some(snapshot(last + 2, term, before)),
        Action::InstallOther => {
            set_ballot(&mut out, &mut after);
            let index = last.max(before.snapshot.index + 1);
            out.snapshot = Some(snapshot(index, term + 1, before));
        }
        Action::Restart => {}
    }
    out.entries.iter().for_each(|entry| after.truncate_and_push(entry.clone()));
    if let Some(snapshot) = out.snapshot.clone() {
        after.compact(snapshot);
    }
    (out, after)
}

fn entry(index: LogIndex, term: Term) -> Entry<u8> {
    Entry { index, term, payload: Payload::Command((index * 7 + term) as u8) }
}

fn snapshot(index: LogIndex, term: Term, before: &DurableState<u8>) -> Snapshot {
    let members = before.members().1.clone();
    Snapshot { index, term, members, data: vec![index as u8, term as u8] }
}

/// Runs the actions with each fault at each operation, and calls `check` with the replica, the
/// fault and the number of completed actions.
fn for_each_fault(
    start: &(Content, Model),
    actions: &[Action],
    mut check: impl FnMut(&Replica, usize),
) {
    // Errors without a fault show here, before the runs with faults, which are many.
    let mut sound = Replica::new(start.0.clone(), start.1.clone());
    if let Err(reason) = sound.run(actions) {
        panic!("without a fault: {}\n{reason}", sound.disk.trace());
    }
    for fault in FAULTS {
        for position in 0.. {
            let mut replica = Replica::new(start.0.clone(), start.1.clone());
            replica.disk.set_fault(position, fault);
            let mut done = 0;
            for action in actions {
                let result = replica.run(std::slice::from_ref(action));
                if let Err(reason) = result {
                    panic!("{fault:?} before or in {action:?}: {}\n{reason}", replica.disk.trace());
                }
                if replica.disk.has_failed() {
                    break;
                }
                done += 1;
            }
            if !replica.disk.has_failed() {
                break;
            }
            check(&replica, done);
        }
    }
}

fn empty() -> (Content, Model) {
    (Content::default(), Model { allowed: vec![None], id: None, starts: 0 })
}

// Guards against a replica that drops what it made durable after a crash (review/6).
#[test]
fn nothing_made_durable_is_lost_by_two_crashes_at_any_operations() {
    let (mut first_states, mut last_states) = (BTreeSet::new(), BTreeSet::new());
    for_each_fault(&empty(), &SCRIPT, |first, done| {
        let next = &SCRIPT[done..SCRIPT.len().min(done + ACTIONS_AFTER_CRASH)];
        let actions: Vec<Action> =
            [Action::Append].iter().chain(next).chain(&[Action::Append]).copied().collect();
        for content in first.disk.states_after_crash() {
            let start = (content, first.model.clone());
            if !first_states.insert((start.clone(), done)) {
                continue;
            }
            for_each_fault(&start, &actions, |second, _| {
                for content in second.disk.states_after_crash() {
                    if !last_states.insert((content.clone(), second.model.clone())) {
                        continue;
                    }
                    let mut third = Replica::new(content, second.model.clone());
                    if let Err(reason) = third.run(&[Action::Append, Action::Restart]) {
                        let [first, second, third] =
                            [&first.disk, &second.disk, &third.disk].map(Disk::trace);
                        panic!("1st process: {first}\n2nd: {second}\n3rd: {third}\n{reason}");
                    }
                }
            });
        }
    });
    let (first_crashes, last_crashes) = (first_states.len(), last_states.len());
    // Verdicts on runs that reach no crash would be worthless.
    assert!(
        first_crashes > 100 && last_crashes > 10_000,
        "{first_crashes} states after one crash and {last_crashes} after two"
    );
}

/// Opens a data folder like a control process: the files of a damaged one are moved first.
fn open_or_move(disk: &Disk) -> Result<(ReplicaId, Option<DurableState<u8>>), StoreError> {
    let mut open_result = Store::open_with(disk.files(), Identity::new(FIRST_ID));
    if let Err(StoreError::Damaged { .. }) = open_result {
        move_damaged_files_with(&mut disk.files(), Identity::new(NEW_ID))?;
        open_result = Store::open_with(disk.files(), Identity::new(NEW_ID));
    }
    open_result.map(|(store, durable)| (store.identity().replica, durable))
}

/// The id that each process starts with in an empty folder, as at the first start of a system.
const FIRST_ID: ReplicaId = 1;
const NEW_ID: ReplicaId = 2;

/// Checks what a start finds in a damaged folder, also after further crashes.
fn check_damaged(content: &Content, crashes: usize) {
    for fault in FAULTS {
        for position in 0.. {
            let disk = Disk::new(content.clone());
            disk.set_fault(position, fault);
            match open_or_move(&disk) {
                Ok(found) => assert_eq!(found, (NEW_ID, None), "{}", disk.trace()),
                Err(error) => assert!(disk.has_failed(), "{error}: {}", disk.trace()),
            }
            if !disk.has_failed() {
                break;
            }
            if crashes > 1 {
                disk.states_after_crash().iter().for_each(|c| check_damaged(c, crashes - 1));
            }
        }
    }
}

// Guards against a replica that votes again under the id of a damaged folder.
#[test]
fn a_damaged_folder_gets_a_new_id_although_processes_crash_while_they_move_its_files() {
    for name in ["identity", "snapshot", "log"] {
        let mut replica = Replica::new(Content::default(), empty().1);
        let (mut store, _) =
            Store::<u8>::open_with(replica.disk.files(), Identity::new(FIRST_ID)).unwrap();
        store.create_log(&DurableState::new(Members::default())).unwrap();
        replica.model =
            Model { allowed: vec![Some(DurableState::new(Members::default()))], ..replica.model };
        replica.run(&[Action::Append, Action::InstallAhead, Action::Append]).unwrap();
        let sound_states = replica.disk.states_after_crash();
        replica.disk.damage(name, 20);
        replica.disk.states_after_crash().iter().for_each(|content| check_damaged(content, 2));
        sound_states.iter().for_each(|content| check_damaged(&content.without(name), 2));
    }
}

// Guards against an operator who can't tell what to do, and a store that goes on after a failure.
#[test]
fn the_error_of_a_full_disk_names_the_file_and_the_remedy_and_no_write_follows() {
    let mut replica = Replica::new(Content::default(), empty().1);
    replica.run(&[Action::Append]).unwrap();
    let before = replica.durable.clone();
    replica.disk.set_fault(0, Fault::Full);
    let Err(Stop::Failed(error)) = replica.perform(Action::Append) else { panic!("no error") };
    let text = error.to_string();
    assert!(text.starts_with("/data/log: ") && text.contains("free space"), "{text}");
    replica.disk.make_room();
    replica.durable = before;
    let later_result = replica.perform(Action::Append);
    assert!(matches!(later_result, Err(Stop::Failed(StoreError::Failed))));
    assert_eq!(replica.run(&[Action::Restart, Action::Append, Action::Restart]), Ok(()));
}

// Guards against a disk that stays full because of a snapshot that could not be written.
#[test]
fn a_snapshot_that_could_not_be_written_leaves_no_file() {
    let mut replica = Replica::new(Content::default(), empty().1);
    replica.run(&[Action::Append]).unwrap();
    replica.disk.set_fault(0, Fault::Fail);
    assert!(matches!(replica.perform(Action::InstallAhead), Err(Stop::Failed(_))));
    assert!(!replica.disk.has_file("snapshot.new"));
}
