//! A request of the proxy's own, alone on its connection: to discovery, the release service or the publisher.

use std::net::SocketAddr;
use violetseam_event_io::Socket;
use violetseam_http1::Limits;
use violetseam_http1::client::ClientConnection;

/// Queues a request on a new connection to `to`; gives the reader of its answer.
pub(super) fn queue_request(
    socket: &mut Socket,
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
) -> ClientConnection {
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    socket.write_buffer().extend_from_slice(head.as_bytes());
    socket.write_buffer().extend_from_slice(body);
    let mut http = ClientConnection::new(Limits::default());
    http.expect_response(false);
    http
}
