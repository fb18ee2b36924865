//! When the store has answered with current state, as instances tell each other.

use {
    super::sending::send_to_all,
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::mesh::{CONFIRMATIONS_VERSION, PeerMessage},
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Part of the time between two answers that has to pass between two reports. Answers on
/// several kinds are told together, and reports come soon enough all the same.
const PAUSE_PART: u64 = 8;

/// Tells all peers when the store has answered this instance with current state; never
/// returns.
pub async fn report_confirmations(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    let pause_ms = instance.settings.confirmations.interval_ms() / PAUSE_PART;
    for sequence in 1.. {
        instance.wake_ups.confirmation.notified().await;
        let report = instance.confirmation_report(sequence, now_ms());
        let direct = PeerMessage::Confirmation(report.clone());
        let to_relay = PeerMessage::ConfirmationToRelay(report);
        send_to_all(
            &instance,
            &socket,
            [&direct, &to_relay],
            CONFIRMATIONS_VERSION,
            sequence,
        );
        sleep(Duration::from_millis(pause_ms)).await;
    }
}
