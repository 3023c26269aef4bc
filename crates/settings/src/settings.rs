//! The validated result of a script: the settings of a proxy, or the contents of a fleet file.

use crate::route_table::RouteTable;
use crate::sections::{HalfClose, Identity, Member};
use http::{HeaderName, Method};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use violetseam::interface::{Micros, Settings};
use violetseam_fleet_state::fleet_quotas::QuotaPlan;

/// Assigns the requests with this method and path prefix to a request class.
#[derive(Clone, Debug)]
pub struct Route {
    /// Method of the requests; `None` matches any method.
    pub method: Option<Method>,
    /// Prefix of the request path. It need not end at a path segment.
    pub prefix: String,
    /// Index of the request class.
    pub class: usize,
}

/// Names of the header fields that carry the inputs of the balancer's decisions.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Request field with the idempotency key of a keyed request.
    pub idempotency_key: HeaderName,
    /// Request field with the tenant's name.
    pub tenant: HeaderName,
    /// Request field with the expected work, in microseconds.
    pub cost: HeaderName,
    /// Request field with the time that the client waits, in milliseconds from the request's head.
    pub deadline: HeaderName,
    /// Request field that marks a client's own retries.
    pub retry: HeaderName,
    /// Response field that marks a 503 from a server that did not process the request.
    pub not_processed: HeaderName,
    /// Response field with the id that a client uses to report a wrong response.
    pub response_id: HeaderName,
}

/// Limits and time-outs of connections. Time-outs are in microseconds, sizes in bytes.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Maximum size of a request's head. A larger head is answered with 431.
    pub max_head_bytes: usize,
    /// Maximum number of header fields of a request. A head with more is answered with 431.
    pub max_header_fields: usize,
    /// Maximum size of a request's body. A larger body is answered with 413.
    pub max_body_bytes: u64,
    /// Maximum size of a request body that is retained for a further attempt.
    pub max_retained_body_bytes: usize,
    /// Maximum size of a response that is received completely before it is forwarded.
    pub max_buffered_response_bytes: usize,
    /// Time-out for a request's head, from its first byte. A later head is answered with 408.
    pub head_timeout: Micros,
    /// Time-out for a request's body, from the end of its head. A later body is answered with 408.
    pub body_timeout: Micros,
    /// Maximum time between two requests on a client connection.
    pub client_idle_timeout: Micros,
    /// Maximum time between two requests on a server connection.
    pub server_idle_timeout: Micros,
    /// Maximum time without a byte of a response that is being forwarded.
    pub stream_idle_timeout: Micros,
    /// Time-out for opening a connection to a server.
    pub connect_timeout: Micros,
    /// Maximum number of idle connections that are kept open to each server.
    pub max_idle_per_server: usize,
    /// Maximum number of client connections that are open at the same time.
    pub max_clients: usize,
    /// Maximum memory that all clients together make the proxy hold: input, bodies that are retained, and
    /// responses that are not read. Beyond it, requests that have not arrived whole are answered with 503.
    pub max_client_memory_bytes: usize,
    /// How to treat a client that has closed its sending side.
    pub half_close: HalfClose,
    /// Request path at which clients report wrong responses.
    pub wrong_answer_path: String,
}

/// Control of the daemon over TCP with mutual TLS.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTls {
    /// Address that the daemon listens on.
    pub listen: SocketAddr,
    /// The daemon's certificate files.
    pub identity: Identity,
}

/// All settings of a proxy. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Name of the proxy's fleet.
    pub fleet_name: String,
    /// Number of the site. All proxies of the fleet have the same one.
    pub site: u32,
    /// Addresses on which the proxy accepts client connections.
    pub listen: Vec<SocketAddr>,
    /// Address of the discovery service, which provides the endpoint list.
    pub discovery: SocketAddr,
    /// Time-out for the first line of the response to a call of the discovery service.
    pub discovery_timeout: Micros,
    /// Address of the release service, followed by the addresses of its standbys.
    pub release_services: Vec<SocketAddr>,
    /// Time without data after which a watch of the release counts as lost; `None` for no time-out.
    pub release_idle_timeout: Option<Micros>,
    /// Delay before a lost watch of the release is opened again.
    pub release_reconnect_delay: Micros,
    /// Address of the publisher that distributes the routes, if they are distributed. Requires
    /// [`ProxySettings::state_dir`].
    pub publisher: Option<SocketAddr>,
    /// Address on which datagrams of peers are received.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of the peers by position, including this proxy's own address.
    pub peers: Vec<SocketAddr>,
    /// Names of the request classes, by index.
    pub class_names: Vec<String>,
    /// Indices of the tenants, by name.
    pub tenants: BTreeMap<String, usize>,
    /// Routes in the order of the script. The first route that matches a request applies.
    pub routes: Vec<Route>,
    /// The same routes as a lookup table.
    pub route_table: RouteTable,
    /// Names of the header fields that the proxy reads or writes.
    pub headers: HeaderNames,
    /// Limits and time-outs of connections.
    pub connections: ConnectionLimits,
    /// Fixed seed of the balancer's random numbers; `None` to choose a new seed at each start.
    pub seed: Option<u64>,
    /// Folder in which the last server list and the daemon's state are kept across restarts.
    pub state_dir: Option<PathBuf>,
    /// Path of the control socket.
    pub control_socket: Option<PathBuf>,
    /// Control over TCP, if it is configured.
    pub control_tls: Option<ControlTls>,
    /// Fleet-wide budgets for further attempts, if any class has one.
    pub retry_quotas: Option<QuotaPlan>,
    /// Settings of the balancer.
    pub decisions: Settings,
}

/// The contents of a fleet file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetFile {
    /// The daemons of the fleet.
    pub members: Vec<Member>,
    /// The operator's certificate files, for daemons that are controlled over TCP.
    pub identity: Option<Identity>,
}
