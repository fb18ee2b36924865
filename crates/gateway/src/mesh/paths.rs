//! Reports on the services from which this instance is cut off.

use {
    super::sending::send_to,
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::{
        mesh::{PASSING_VERSION, PeerMessage},
        path::PathReport,
    },
    std::time::Duration,
    tokio::{net::UdpSocket, time::timeout},
};

/// Reports to all peers from which services this instance is cut off, again and again,
/// and once that it is from none; never returns.
pub(super) async fn report_path(instance: &Instance, socket: &UdpSocket) {
    let mut was_cut = false;
    loop {
        let changed = instance.wake_ups.path.notified();
        let cut_services = instance.cut_services(now_ms());
        let is_cut = !cut_services.is_empty();
        if is_cut || was_cut {
            send_path_report(instance, socket, cut_services);
        }
        was_cut = is_cut;
        if !is_cut {
            changed.await;
            continue;
        }
        let peers = instance.members.borrow().iter().count();
        let interval_ms = instance.settings.path.report_interval_ms(peers);
        let interval = Duration::from_millis(interval_ms);
        // Times out unless the paths change before the next report.
        let _ = timeout(interval, changed).await;
    }
}

fn send_path_report(instance: &Instance, socket: &UdpSocket, cut_services: Vec<String>) {
    let members = instance.members.borrow();
    let valid_ms = instance
        .settings
        .path
        .report_valid_ms(members.iter().count());
    let report = PathReport {
        name: instance.machine().name.clone(),
        incarnation: instance.incarnation,
        up_ms: now_ms().saturating_sub(instance.started_ms),
        cut_services,
        valid_ms: valid_ms as u32,
    };
    let able = members
        .iter()
        .filter(|member| member.exchange_version >= PASSING_VERSION);
    let peers = able.map(|member| member.last_heartbeat.peer_address);
    send_to(
        instance,
        socket,
        &PeerMessage::Path(Box::new(report)),
        peers,
    );
}
