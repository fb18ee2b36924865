//! The pace of engines, as instances tell each other.

use {
    super::sending::send_to_all,
    crate::instance::Instance,
    mangowalk_core::mesh::{CAPACITY_VERSION, PeerMessage},
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Time for which reports are gathered into one message, as many engines may be slowed at once.
const GATHER_TIME: Duration = Duration::from_millis(10);

/// Reports per message. Each takes some ten bytes of a datagram.
const MAX_REPORTS: usize = 200;

/// Tells all peers of engines whose pace differs from what they assume; never returns.
///
/// A report that is lost is made up for by that of the instance with the next answer: it still
/// takes the engine for as fast as before.
pub async fn report_engine_paces(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    for turn in 0.. {
        instance.wake_ups.engine_paces.notified().await;
        sleep(GATHER_TIME).await;
        let reports = instance.pace_reports.take();
        for reports in reports.chunks(MAX_REPORTS) {
            let direct = PeerMessage::EnginePaces(reports.to_vec());
            let to_relay = PeerMessage::EnginePacesToRelay(reports.to_vec());
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
