use {
    cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
    },
};

/// Metrics that wait to be sent. When the queue is full, further ones are
/// dropped: metrics may be lost, requests may not wait.
const QUEUE_CAPACITY: usize = 4_096;

/// Start of every metric's name.
const PREFIX: &str = "mangowalk";

/// Returns a client that sends to an address, each metric with the instance's
/// address as a tag.
///
/// # Errors
///
/// Fails where the system gives no socket.
pub fn metrics_client(address: SocketAddr, instance: SocketAddr) -> io::Result<StatsdClient> {
    let socket = UdpSocket::bind((Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
    Ok(StatsdClient::builder(PREFIX, queue)
        .with_tag("instance", instance.to_string().replace(':', "_"))
        .with_error_handler(|error| log::debug!("metrics: A metric was not sent. {error}"))
        .build())
}
