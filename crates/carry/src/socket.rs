//! Options of sockets that both sides share.

use std::{io, time};

use tokio::net;

/// Time that sent bytes may stay unacknowledged. A peer that lost power, or a path that is cut,
/// answers nothing: without this a write to it waits for many minutes.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_millis(1_500);
/// Idle time before a connection is probed, and between probes: whole seconds, the least there is.
const PROBE_GAP: time::Duration = time::Duration::from_secs(1);
/// Probes without an answer after which a connection is closed.
const PROBES: u32 = 2;

/// Makes a silent peer noticed within a few seconds, and small writes leave at once.
pub fn tune(stream: &net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_GAP)
        .with_interval(PROBE_GAP)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
