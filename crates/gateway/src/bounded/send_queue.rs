//! What the operating system still holds of what was sent on a connection.

#![expect(unsafe_code, reason = "no library offers the call without it")]

use {
    nix::libc::{TIOCOUTQ, c_int},
    std::os::fd::{AsFd, AsRawFd},
};

nix::ioctl_read_bad!(
    /// Stores the number of bytes in the send queue of a socket.
    read_send_queue,
    TIOCOUTQ,
    c_int
);

/// Returns the number of bytes that were written to a TCP socket and that its other side hasn't
/// acknowledged; 0 if the system doesn't tell.
pub(super) fn unacknowledged_bytes(socket: impl AsFd) -> usize {
    let mut bytes: c_int = 0;
    let descriptor = socket.as_fd().as_raw_fd();
    // SAFETY: The call writes one `c_int` to the address, which is that of a live variable, and
    // the borrowed descriptor stays open meanwhile.
    let result = unsafe { read_send_queue(descriptor, &mut bytes) };
    let bytes = result.map_or(0, |_| bytes);
    usize::try_from(bytes).unwrap_or(0)
}
