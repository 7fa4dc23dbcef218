//! Announces the instance to the control replicas, whose directory then returns its
//! address to callers.

use std::{net::SocketAddr, rc::Rc, sync::atomic::Ordering};

use tokio::net::UdpSocket;
use tracing::warn;

use super::{notices::log_ended_notices, state::EntryState};
use crate::{
    core::roster::ANNOUNCE_INTERVAL,
    net::wire::{Announcement, encode},
};

/// Announces the instance every [`ANNOUNCE_INTERVAL`], and immediately when a stop
/// begins or when links are lost or back. Also closes expired connections, logs which notices of upstreams have ended, and
/// updates the gauges each time.
pub(super) async fn announce(state: Rc<EntryState>, callers_address: SocketAddr) {
    let socket = match UdpSocket::bind((state.settings.ip, 0)).await {
        Ok(socket) => socket,
        Err(error) => {
            warn!(
                %error,
                "can't open the socket for announcements; the directory will not name this \
                 instance to callers until it is restarted"
            );
            return;
        }
    };
    let mut stop_phases = state.stop_phase.subscribe();
    loop {
        state.pool.borrow_mut().close_expired();
        state.peer_pool.borrow_mut().close_expired();
        log_ended_notices(&state);
        state.update_metrics();
        let announcement = Announcement {
            instance: state.settings.instance.clone(),
            zone: state.settings.zone.clone(),
            callers: callers_address,
            relay: state.settings.cluster_address(),
            is_ready: state.is_ready.load(Ordering::Relaxed),
            reaches_upstreams: state.links.reaches_upstreams(state.clock.now()),
            has_lost_links: state.links.is_any_lost(),
        };
        let Ok(datagram) = encode(&announcement) else { return };
        for address in state.all_control_addresses() {
            // Errors are ignored: datagrams may be lost anyway, and the next
            // announcement follows soon.
            socket.send_to(&datagram, address).await.ok();
        }
        tokio::select! {
            () = tokio::time::sleep(ANNOUNCE_INTERVAL) => {}
            () = state.links.changed.notified() => {}
            changed = stop_phases.changed() => if changed.is_err() { return },
        }
    }
}
