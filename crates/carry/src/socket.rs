//! Socket options shared by the client and server sides.

use std::{io, time};

use tokio::net;

/// Time that bytes sent to a server may stay unacknowledged. A server that lost power, or a path
/// that is cut, sends nothing: without this limit a write to it waits for many minutes although
/// another server could take the request.
pub(crate) const SERVER_ACK_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Time that bytes sent to a caller may stay unacknowledged. It is longer because a caller has no
/// other source for its answer: poor links stall for seconds, and a caller that pauses reading
/// counts as silent too. The cost of a caller that has disconnected is bounded by the limit of its
/// route.
pub(crate) const CALLER_ACK_TIMEOUT: time::Duration = time::Duration::from_secs(8);
/// Idle time before the first keep-alive probe, and interval between probes. One second is the
/// minimum that the system supports.
const PROBE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Unanswered probes after which a connection is closed.
const PROBES: u32 = 2;

/// Makes the connection fail when its peer is silent for longer than `timeout`, and disables
/// Nagle's algorithm so that small writes are sent immediately.
pub(crate) fn tune(stream: &net::TcpStream, timeout: time::Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(timeout))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Lets the system reset the connection when it is closed, also because the process has ended. What
/// a path still holds back is then dropped, and a request that was given up does not arrive later.
pub(crate) fn reset_on_close(stream: &net::TcpStream) -> io::Result<()> {
    socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO))
}
