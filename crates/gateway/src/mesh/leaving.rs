//! Engines that leave, as instances tell each other.

use {
    super::sending::send_to_all,
    crate::instance::Instance,
    mangowalk_core::mesh::{LEAVING_VERSION, PeerMessage},
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Time for which reports are gathered into one message, as many engines may leave at once.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Reports per message. Each takes some thirty bytes of a datagram.
const MAX_REPORTS: usize = 200;

/// Tells all peers of engines that have told this instance that they leave; never returns.
///
/// A report isn't repeated: an instance that it doesn't reach is told by the engine itself.
pub async fn report_leaving_engines(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    for turn in 0.. {
        instance.wake_ups.leaving_engines.notified().await;
        sleep(GATHER_TIME).await;
        let reports = instance.leaving_reports.take();
        for reports in reports.chunks(MAX_REPORTS) {
            let direct = PeerMessage::LeavingEngines(reports.to_vec());
            let to_relay = PeerMessage::LeavingEnginesToRelay(reports.to_vec());
            send_to_all(
                &instance,
                &socket,
                [&direct, &to_relay],
                LEAVING_VERSION,
                turn,
            );
        }
    }
}
