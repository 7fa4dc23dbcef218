//! Processes queued inputs: makes what follows from them durable, sends messages and applies
//! committed entries.

use tokio::sync::oneshot;
use tracing::error;
use xtra::Context;

use super::{Replica, decode_state, handlers::Flush};
use crate::{
    core::{
        control::{Command, Outcome},
        replication::{Entry, Envelope, Input, Outputs, Payload},
    },
    net::wire::SubmitReply,
};

impl Replica {
    /// Queues an input. All inputs in the mailbox by the next [`Flush`] are processed together,
    /// with one sync to disk.
    pub(super) fn queue(
        &mut self,
        input: Input<Command>,
        reply: Option<oneshot::Sender<SubmitReply>>,
        ctx: &Context<Self>,
    ) {
        self.inputs.push((input, reply));
        if self.flush_queued {
            return;
        }
        self.flush_queued = true;
        if let Some(address) = ctx.mailbox().address().try_upgrade() {
            tokio::spawn(async move { address.send(Flush).await.ok() });
        }
    }

    /// Processes the queued inputs, and the inputs that result from them.
    pub(super) async fn flush(&mut self, ctx: &mut Context<Self>) {
        self.flush_queued = false;
        while !self.inputs.is_empty() && self.failure.is_some() {
            self.flush_once(ctx).await;
            self.compact_if_needed();
        }
    }

    async fn flush_once(&mut self, ctx: &mut Context<Self>) {
        let mut merged_outputs = Outputs::default();
        for (input, reply) in std::mem::take(&mut self.inputs) {
            let outputs = self.node.step(input);
            self.record_proposal(&outputs, reply);
            self.record_rounds();
            self.timers.update(&self.node, &outputs, self.clock.now());
            merge(&mut merged_outputs, outputs);
        }
        if let Err(error) = self.disk.save(&mut merged_outputs, self.node.durable()).await {
            error!(%error, "could not write to the data folder; this replica stops");
            return self.fail(ctx);
        }
        let is_current = merged_outputs.is_current;
        for message in std::mem::take(&mut merged_outputs.messages) {
            self.send(message);
        }
        self.apply(merged_outputs, ctx);
        self.update_role();
        if is_current {
            self.follower_current_at = Some(self.clock.now());
        }
        self.reply_to_pending();
        self.notify_applied();
    }

    fn send(&self, message: Envelope<Command>) {
        if let Some(member) = self.node.members().get(message.to) {
            return self.peers.send(&member.instance, message);
        }
        // The receiver is not a member yet, or no longer, but still gets its reply.
        self.peers.broadcast(message);
    }

    fn record_proposal(
        &mut self,
        outputs: &Outputs<Command>,
        reply: Option<oneshot::Sender<SubmitReply>>,
    ) {
        let Some(reply) = reply else { return };
        match outputs.proposed {
            Some((index, term)) => {
                self.pending_submits.insert(index, (term, reply));
            }
            None => {
                reply.send(SubmitReply::NotLeader { leader: self.leader_name() }).ok();
            }
        }
    }

    fn record_rounds(&mut self) {
        if let (Some(leadership), Some((latest, confirmed))) =
            (&mut self.leadership, self.node.rounds())
        {
            leadership.round_times.record(latest, confirmed, self.clock.now());
        }
    }

    /// Stops the replica and signals its failure.
    fn fail(&mut self, ctx: &mut Context<Self>) {
        ctx.stop_self();
        self.failure.take().map(|failure| failure.send(()).ok());
    }

    fn apply(&mut self, outputs: Outputs<Command>, ctx: &mut Context<Self>) {
        if let Some(snapshot) = outputs.restore {
            match decode_state(&snapshot) {
                Ok(state) => self.state = state,
                Err(error) => {
                    error!(%error, "could not decode a snapshot; this replica stops");
                    return self.fail(ctx);
                }
            }
        }
        for entry in outputs.committed {
            self.apply_entry(entry);
        }
    }

    pub(super) fn apply_entry(&mut self, entry: Entry<Command>) {
        let outcome = match entry.payload {
            Payload::Command(command) => {
                if let (Command::Shift { .. }, Some(leadership)) = (&command, &mut self.leadership)
                {
                    leadership.last_shift_at = self.clock.now();
                }
                self.state.apply(command, &self.setup.topology, &self.setup.limits)
            }
            Payload::Noop | Payload::Members(_) => Outcome::Done,
        };
        if let Some((term, reply)) = self.pending_submits.remove(&entry.index) {
            let submit_reply = if term == entry.term {
                SubmitReply::Committed(outcome)
            } else {
                SubmitReply::Unknown
            };
            reply.send(submit_reply).ok();
        }
    }
}

fn merge(into: &mut Outputs<Command>, outputs: Outputs<Command>) {
    into.ballot = outputs.ballot.or(into.ballot);
    // Saving a snapshot rewrites the log as it is after the last step, so the entries merged so
    // far need not be written again.
    into.snapshot = outputs.snapshot.or(into.snapshot.take());
    into.entries.extend(outputs.entries);
    into.messages.extend(outputs.messages);
    if outputs.restore.is_some() {
        into.restore = outputs.restore;
        into.committed.clear();
    }
    into.committed.extend(outputs.committed);
    into.reset_election_timeout |= outputs.reset_election_timeout;
    into.is_current |= outputs.is_current;
    into.commit_index = outputs.commit_index.or(into.commit_index);
}
