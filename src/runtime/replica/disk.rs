//! Writes a replica's durable state on a thread of its own, so that a slow
//! disk holds up the replica and nothing else of the process.

use std::{sync::mpsc, thread};

use tokio::sync::oneshot;

use crate::{
    core::{
        control::Command,
        replication::{DurableState, Members, Outputs, ReplicaId},
    },
    storage::{Store, StoreError},
};

/// Writes a replica's durable state on a thread of its own.
pub(super) struct DiskWriter {
    replica: ReplicaId,
    log_bytes: u64,
    jobs: mpsc::Sender<Job>,
}

struct Job {
    outputs: Outputs<Command>,
    durable: DurableState<Command>,
    done: oneshot::Sender<Result<u64, StoreError>>,
}

impl DiskWriter {
    /// Starts the thread. It ends when the disk is dropped or failed once.
    pub(super) fn new(store: Store<Command>) -> Self {
        let (jobs, waiting) = mpsc::channel();
        let (replica, log_bytes) = (store.identity().replica, store.log_bytes());
        thread::spawn(move || run_writer(store, &waiting));
        Self { replica, log_bytes, jobs }
    }

    /// Returns the replica's id.
    pub(super) fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns the length of the log.
    pub(super) fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Makes the durable part of a step's outputs durable. `durable` is the
    /// state after the step.
    ///
    /// # Errors
    ///
    /// Returns an error when it can't; the replica must then stop.
    pub(super) async fn save(
        &mut self,
        outputs: &mut Outputs<Command>,
        durable: &DurableState<Command>,
    ) -> Result<(), StoreError> {
        let durable_part = Outputs {
            ballot: outputs.ballot.take(),
            snapshot: outputs.snapshot.take(),
            entries: std::mem::take(&mut outputs.entries),
            commit_index: outputs.commit_index.take(),
            ..Outputs::default()
        };
        if durable_part == Outputs::default() {
            return Ok(());
        }
        // The whole state is written only with a snapshot.
        let durable = match &durable_part.snapshot {
            Some(_) => durable.clone(),
            None => DurableState::new(Members::default()),
        };
        let (done, written) = oneshot::channel();
        self.jobs.send(Job { outputs: durable_part, durable, done }).ok();
        self.log_bytes = written.await.unwrap_or_else(|_| Err(StoreError::earlier_failure()))?;
        Ok(())
    }
}

fn run_writer(mut store: Store<Command>, waiting: &mpsc::Receiver<Job>) {
    while let Ok(job) = waiting.recv() {
        let saved = store.save(&job.outputs, &job.durable).map(|()| store.log_bytes());
        let failed = saved.is_err();
        // The replica may have ended meanwhile; the store is sound then.
        job.done.send(saved).ok();
        if failed {
            return;
        }
    }
}
