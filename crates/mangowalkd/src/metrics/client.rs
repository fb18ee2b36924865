use {
    cadence::{QueuingMetricSink, StatsdClient, UdpMetricSink},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, UdpSocket},
    },
};

/// Maximum number of queued metrics. When the queue is full, new ones are
/// dropped, because requests must not wait for metrics.
const QUEUE_CAPACITY: usize = 4_096;

/// Prefix of every metric's name.
const PREFIX: &str = "mangowalk";

/// Returns a statsd client that sends to `address`, and tags each metric with the
/// address of the instance.
///
/// # Errors
///
/// Returns an error if no UDP socket can be opened.
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
