//! Engines at whose addresses others listen, as instances tell each other.

use {
    super::sending::send_to_all,
    crate::instance::Instance,
    mangowalk_core::mesh::{CAPACITY_VERSION, PeerMessage},
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Time for which reports are gathered into one message, as many engines may crash at once.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Reports per message. Each takes some thirty bytes of a datagram.
const MAX_REPORTS: usize = 200;

/// Tells all peers of engines at whose addresses others have answered this instance; never
/// returns.
///
/// A report isn't repeated: an instance that it doesn't reach reads the list or is answered the
/// same.
pub async fn report_replaced_engines(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    for turn in 0.. {
        instance.wake_ups.replaced_engines.notified().await;
        sleep(GATHER_TIME).await;
        let reports = instance.replaced_reports.take();
        for reports in reports.chunks(MAX_REPORTS) {
            let direct = PeerMessage::ReplacedEngines(reports.to_vec());
            let to_relay = PeerMessage::ReplacedEnginesToRelay(reports.to_vec());
            send_to_all(
                &instance,
                &socket,
                [&direct, &to_relay],
                CAPACITY_VERSION,
                turn,
            );
        }
    }
}
