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

/// Sends messages to the other replicas, in order, one connection each.
///
/// What can't be sent soon is dropped: the protocol sends again by itself,
/// and old messages are of no use.
#[derive(Debug)]
pub(super) struct Peers {
    senders: BTreeMap<InstanceName, mpsc::Sender<Envelope<Command>>>,
}

const QUEUE_LEN: usize = 1024;
const BATCH_MAX: usize = 128;
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

impl Peers {
    pub(super) fn new(clients: &BTreeMap<InstanceName, ClusterClient>) -> Self {
        let senders = clients
            .iter()
            .map(|(name, client)| {
                let (sender, receiver) = mpsc::channel(QUEUE_LEN);
                tokio::spawn(send_all(client.clone(), receiver));
                (name.clone(), sender)
            })
            .collect();
        Self { senders }
    }

    pub(super) fn send(&self, instance: &str, message: Envelope<Command>) {
        if let Some(sender) = self.senders.get(instance) {
            sender.try_send(message).ok();
        }
    }
}

async fn send_all(client: ClusterClient, mut receiver: mpsc::Receiver<Envelope<Command>>) {
    let mut batch = Vec::new();
    while receiver.recv_many(&mut batch, BATCH_MAX).await > 0 {
        client.replicate(&std::mem::take(&mut batch), SEND_TIMEOUT).await.ok();
    }
}
