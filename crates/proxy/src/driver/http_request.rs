//! A request of the proxy's own, alone on its connection: to discovery, the release service or the publisher.

use http::Method;
use std::net::SocketAddr;
use violetseam_event_io::Socket;
use violetseam_http1::Limits;
use violetseam_http1::client::ClientConnection;

/// An HTTP request of the proxy's own.
pub(super) struct HttpRequest<'a> {
    pub(super) to: SocketAddr,
    method: Method,
    path: &'a str,
    body: &'a [u8],
}

impl<'a> HttpRequest<'a> {
    /// A GET request.
    pub(super) fn get(to: SocketAddr, path: &'a str) -> Self {
        HttpRequest { to, method: Method::GET, path, body: &[] }
    }

    /// A POST request with a body.
    pub(super) fn post(to: SocketAddr, path: &'a str, body: &'a [u8]) -> Self {
        HttpRequest { to, method: Method::POST, path, body }
    }

    /// Queues the request on a new connection; gives the reader of its response.
    pub(super) fn queue(&self, socket: &mut Socket) -> ClientConnection {
        let HttpRequest { to, method, path, body } = self;
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
}
