//! Limits of engines that instances tell each other.

use {
    super::sending::send_to,
    crate::instance::Instance,
    mangowalk_core::mesh::{LIMITS_VERSION, PeerMessage},
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Time for which reports are gathered into one message.
const GATHER_TIME: Duration = Duration::from_millis(20);

/// Reports per message. Each takes some forty bytes of a datagram.
const MAX_REPORTS: usize = 200;

/// Tells all peers the limits that have changed or are to be repeated; never returns.
pub async fn report_limits(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    loop {
        instance.wake_ups.limits.notified().await;
        sleep(GATHER_TIME).await;
        let reports = instance.limit_reports.take();
        let members = instance.members.borrow();
        for reports in reports.chunks(MAX_REPORTS) {
            let able = members
                .iter()
                .filter(|member| member.exchange_version >= LIMITS_VERSION);
            let peers = able.map(|member| member.last_heartbeat.peer_address);
            let message = PeerMessage::EngineLimits(reports.to_vec());
            send_to(&instance, &socket, &message, peers);
        }
    }
}
