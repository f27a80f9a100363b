//! Options of sockets that both sides share.

use std::{io, time};

use tokio::net;

/// Time that bytes sent to a server may stay unacknowledged. A server that lost power, or a path
/// that is cut, answers nothing: without this a write to it waits for many minutes, and its request
/// has another server to go to.
pub(crate) const SERVER_SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// The same for a caller, who has no other place to get its answer from: poor links lose some
/// seconds, and a caller that reads nothing for a while counts as silent too. What a caller that is
/// really gone costs is bounded by the limit of its route.
pub(crate) const CALLER_SILENCE: time::Duration = time::Duration::from_secs(8);
/// Idle time before a connection is probed, and between probes: whole seconds, the least there is.
const PROBE_GAP: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer after which a connection is closed.
const PROBES: u32 = 2;

/// Makes a peer noticed that is silent for longer than `most`, and small writes leave at once.
pub(crate) fn tune(stream: &net::TcpStream, most: time::Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(most))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_GAP)
        .with_interval(PROBE_GAP)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
