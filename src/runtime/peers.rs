//! Sends messages of the replicated log to the other replicas.

use std::{collections::BTreeMap, time::Duration};

use tokio::sync::mpsc;

use crate::{
    core::{
        control::{Command, InstanceName},
        replication::Envelope,
    },
    net::ClusterClient,
};

/// Sends messages to the other replicas in order, over one connection to each.
///
/// Messages are dropped when the queue to a replica is full or a call fails: the
/// protocol resends what is still needed, and outdated messages are of no use.
pub(super) struct Peers {
    /// Sends to the replica that an instance runs.
    send: Box<SendTo>,
    /// Sends to all other replicas, for a recipient of which only the id is
    /// known.
    broadcast: Box<dyn Fn(Envelope<Command>) + Send>,
}

type SendTo = dyn Fn(&str, Envelope<Command>) + Send;

const QUEUE_LEN: usize = 1024;
const BATCH_MAX: usize = 128;
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

impl Peers {
    pub(super) fn new(clients: &BTreeMap<InstanceName, ClusterClient>) -> Self {
        let senders: BTreeMap<InstanceName, mpsc::Sender<Envelope<Command>>> = clients
            .iter()
            .map(|(name, client)| {
                let (sender, receiver) = mpsc::channel(QUEUE_LEN);
                tokio::spawn(send_queued(client.clone(), receiver));
                (name.clone(), sender)
            })
            .collect();
        let all_senders = senders.clone();
        Self::with_senders(
            move |instance, message| {
                if let Some(sender) = senders.get(instance) {
                    sender.try_send(message).ok();
                }
            },
            // A replica ignores messages that are not addressed to it.
            move |message| {
                for sender in all_senders.values() {
                    sender.try_send(message.clone()).ok();
                }
            },
        )
    }

    pub(super) fn with_senders(
        send: impl Fn(&str, Envelope<Command>) + Send + 'static,
        broadcast: impl Fn(Envelope<Command>) + Send + 'static,
    ) -> Self {
        Self { send: Box::new(send), broadcast: Box::new(broadcast) }
    }

    pub(super) fn send(&self, instance: &str, message: Envelope<Command>) {
        (self.send)(instance, message);
    }

    pub(super) fn broadcast(&self, message: Envelope<Command>) {
        (self.broadcast)(message);
    }
}

async fn send_queued(client: ClusterClient, mut receiver: mpsc::Receiver<Envelope<Command>>) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, BATCH_MAX).await > 0 {
        client.replicate(&std::mem::take(&mut batch), SEND_TIMEOUT).await.ok();
    }
}
