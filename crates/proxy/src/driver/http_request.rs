//! HTTP requests that the proxy itself makes to discovery, the release service or the publisher. Each has a
//! connection of its own.

use http::Method;
use std::net::SocketAddr;
use violetseam_event_io::Socket;
use violetseam_http1::Limits;
use violetseam_http1::client::ClientConnection;

/// An HTTP request that the proxy itself makes.
pub(super) struct HttpRequest<'a> {
    pub(super) address: SocketAddr,
    method: Method,
    path: &'a str,
    body: &'a [u8],
}

impl<'a> HttpRequest<'a> {
    /// Creates a GET request without a body.
    pub(super) fn get(address: SocketAddr, path: &'a str) -> Self {
        HttpRequest { address, method: Method::GET, path, body: &[] }
    }

    /// Creates a POST request with a body.
    pub(super) fn post(address: SocketAddr, path: &'a str, body: &'a [u8]) -> Self {
        HttpRequest { address, method: Method::POST, path, body }
    }

    /// Appends the request to the write buffer of a new connection, and returns the parser for its response.
    pub(super) fn write_to(&self, socket: &mut Socket) -> ClientConnection {
        let HttpRequest { address, method, path, body } = self;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        socket.write_buffer().extend_from_slice(head.as_bytes());
        socket.write_buffer().extend_from_slice(body);
        let mut http = ClientConnection::new(Limits::default());
        http.expect_response(false);
        http
    }
}
