//! What a checked script gives: the settings that a proxy runs by, and a fleet file's daemons.

use crate::route_table::RouteTable;
use crate::sections::{HalfClose, Identity, Member};
use http::{HeaderName, Method};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use violetseam::interface::{Micros, Settings};
use violetseam_fleet_state::fleet_quotas::QuotaPlan;

/// Requests with this method and path prefix are of this class.
#[derive(Clone, Debug)]
pub struct Route {
    /// The method; none: any.
    pub method: Option<Method>,
    /// What the path starts with.
    pub prefix: String,
    /// The class's index.
    pub class: usize,
}

/// The header fields that carry what the decisions rest on.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The key of a keyed request.
    pub idempotency_key: HeaderName,
    /// The tenant's name.
    pub tenant: HeaderName,
    /// The work expected, in microseconds.
    pub cost: HeaderName,
    /// How long the client waits, in milliseconds from the request's head.
    pub deadline: HeaderName,
    /// Present on a client's own retries.
    pub retry: HeaderName,
    /// On a server's 503: the request was not processed.
    pub not_processed: HeaderName,
    /// On a response: the id by which a client can report it wrong.
    pub response_id: HeaderName,
}

/// Bounds and time-outs of connections. Time-outs in microseconds, sizes in bytes.
#[derive(Clone, Debug)]
pub struct ConnectionLimits {
    /// Of a request's head; past it 431.
    pub max_head_bytes: usize,
    /// The most fields of a request's head; past it 431.
    pub max_header_fields: usize,
    /// Of a request's body; past it 413.
    pub max_body_bytes: u64,
    /// Of a request's body that is retained for a further attempt.
    pub max_retained_body_bytes: usize,
    /// Of a response that is received completely before it is passed on.
    pub max_buffered_response_bytes: usize,
    /// For a request's head, from its first byte; past it 408.
    pub head_timeout: Micros,
    /// For a request's body, from its head; past it 408.
    pub body_timeout: Micros,
    /// Between requests of a client.
    pub client_idle_timeout: Micros,
    /// Between requests to a server.
    pub server_idle_timeout: Micros,
    /// Without a byte of a response that is being passed on.
    pub stream_idle_timeout: Micros,
    /// For a connection to a server.
    pub connect_timeout: Micros,
    /// Idle connections kept open to each server.
    pub max_idle_per_server: usize,
    /// Client connections accepted at once.
    pub max_clients: usize,
    /// What it means that a client has closed its sending side.
    pub half_close: HalfClose,
    /// The path at which clients report wrong answers.
    pub wrong_answer_path: String,
}

/// Control over TCP under mutual TLS.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ControlTls {
    /// The address that the daemon listens on.
    pub listen: SocketAddr,
    /// The daemon's files.
    pub identity: Identity,
}

/// All that a proxy runs by. Times in microseconds.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Its fleet's name.
    pub fleet_name: String,
    /// A number that all proxies of the fleet share.
    pub site: u32,
    /// Where clients connect.
    pub listen: Vec<SocketAddr>,
    /// The discovery service, which gives out the endpoint list.
    pub discovery: SocketAddr,
    /// For the first line of a call to the discovery service.
    pub discovery_timeout: Micros,
    /// The release service, followed by its standbys.
    pub release_services: Vec<SocketAddr>,
    /// A watch of the release that is silent for so long is lost; none: never.
    pub release_idle_timeout: Option<Micros>,
    /// The delay before a lost watch of the release is opened again.
    pub release_reconnect_delay: Micros,
    /// The publisher of the routes, if they are distributed; needs [`ProxySettings::state_dir`].
    pub publisher: Option<SocketAddr>,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Peers by position, this proxy's own address among them.
    pub peers: Vec<SocketAddr>,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Tenants' indices by name.
    pub tenants: BTreeMap<String, usize>,
    /// In the order of the script: the first that matches counts.
    pub routes: Vec<Route>,
    /// The same, for lookups.
    pub route_table: RouteTable,
    /// Names of header fields.
    pub headers: HeaderNames,
    /// Bounds of connections.
    pub connections: ConnectionLimits,
    /// A fixed seed for the balancer's random draws; else drawn at each start.
    pub seed: Option<u64>,
    /// Where the last list and the daemon's state are kept over restarts.
    pub state_dir: Option<PathBuf>,
    /// The path of the control socket.
    pub control_socket: Option<PathBuf>,
    /// Control over TCP, if there is any.
    pub control_tls: Option<ControlTls>,
    /// Budgets of further attempts that the whole fleet keeps, if any class has one.
    pub retry_quotas: Option<QuotaPlan>,
    /// What the balancer decides by.
    pub decisions: Settings,
}

/// What a fleet file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetFile {
    /// The daemons.
    pub members: Vec<Member>,
    /// The operator's files, for daemons that are controlled over TCP.
    pub identity: Option<Identity>,
}
