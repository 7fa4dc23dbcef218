//! Writes a replica's durable state on a dedicated thread, so that a slow disk delays only the
//! replica and not the rest of the process.

use std::{sync::mpsc, thread};

use tokio::sync::oneshot;

use crate::{
    core::{
        control::Command,
        replication::{DurableState, Members, Outputs, ReplicaId},
    },
    storage::{Store, StoreError},
};

/// Represents the writer thread of a replica.
pub(super) struct DiskWriter {
    replica: ReplicaId,
    log_bytes: u64,
    /// The length of the log when it was last rewritten, or 0 if it was not since the start.
    rewritten_log_bytes: u64,
    jobs: mpsc::Sender<Job>,
}

struct Job {
    outputs: Outputs<Command>,
    durable: DurableState<Command>,
    result_sender: oneshot::Sender<Result<u64, StoreError>>,
}

impl DiskWriter {
    /// Starts the thread. It ends when the writer is dropped, or after the first failed write.
    pub(super) fn new(store: Store<Command>) -> Self {
        let (jobs, receiver) = mpsc::channel();
        let (replica, log_bytes) = (store.identity().replica, store.log_bytes());
        thread::spawn(move || run_writer(store, &receiver));
        Self { replica, log_bytes, rewritten_log_bytes: 0, jobs }
    }

    /// Returns the replica's id.
    pub(super) fn replica(&self) -> ReplicaId {
        self.replica
    }

    /// Returns the length of the log in bytes.
    pub(super) fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Returns the number of bytes that were appended to the log since it was last rewritten; its
    /// whole length if it was not since the start.
    pub(super) fn appended_bytes(&self) -> u64 {
        self.log_bytes.saturating_sub(self.rewritten_log_bytes)
    }

    /// Writes the durable part of a step's outputs and removes it from `outputs`. `durable` is the
    /// state after the step.
    ///
    /// # Errors
    ///
    /// Returns an error if the write fails; the replica must then stop.
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
        let is_rewritten = durable_part.snapshot.is_some();
        // The whole state is written only with a snapshot.
        let durable = match &durable_part.snapshot {
            Some(_) => durable.clone(),
            None => DurableState::new(Members::default()),
        };
        let (result_sender, result_receiver) = oneshot::channel();
        self.jobs.send(Job { outputs: durable_part, durable, result_sender }).ok();
        self.log_bytes =
            result_receiver.await.unwrap_or_else(|_| Err(StoreError::earlier_failure()))?;
        if is_rewritten {
            self.rewritten_log_bytes = self.log_bytes;
        }
        Ok(())
    }
}

fn run_writer(mut store: Store<Command>, receiver: &mpsc::Receiver<Job>) {
    while let Ok(job) = receiver.recv() {
        let result = store.save(&job.outputs, &job.durable).map(|()| store.log_bytes());
        let has_failed = result.is_err();
        // The receiver is dropped if the replica has stopped. The store is intact then.
        job.result_sender.send(result).ok();
        if has_failed {
            return;
        }
    }
}
