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
    /// Any, where none is given.
    pub method: Option<Method>,
    /// Of the path.
    pub prefix: String,
    /// The class's index.
    pub class: usize,
}

/// The header fields that carry what the decisions look at.
#[derive(Clone, Debug)]
pub struct Headers {
    /// The key of a keyed request.
    pub key: HeaderName,
    /// The tenant's name.
    pub tenant: HeaderName,
    /// The work expected, in microseconds.
    pub cost: HeaderName,
    /// How long the client waits, in milliseconds from the request's head.
    pub deadline: HeaderName,
    /// Present on a client's own repeats.
    pub retry: HeaderName,
    /// On a server's 503: the request was never run.
    pub not_run: HeaderName,
    /// On an answer: the id to report it wrong by.
    pub answer: HeaderName,
}

/// Bounds and time-outs of connections. Spans in microseconds, sizes in bytes.
#[derive(Clone, Debug)]
pub struct Connections {
    /// Bytes of a head; past it 431.
    pub max_head: usize,
    /// Fields of a head; past it 431.
    pub max_fields: usize,
    /// Bytes of a request body; past it 413.
    pub max_body: u64,
    /// Bytes of a request body kept for a further attempt.
    pub keep_body: usize,
    /// Bytes of an answer awaited whole before it is passed on.
    pub keep_answer: usize,
    /// For a request's head, from its first byte; past it 408.
    pub head_timeout: Micros,
    /// For a request's body, from its head; past it 408.
    pub body_timeout: Micros,
    /// Between requests of a client.
    pub client_idle: Micros,
    /// Between requests to a server.
    pub server_idle: Micros,
    /// Without a byte of an answer that is being passed on.
    pub stream_idle: Micros,
    /// For a connection to a server.
    pub connect_timeout: Micros,
    /// Idle connections kept to each server.
    pub idle_per_server: usize,
    /// Client connections taken at once.
    pub max_clients: usize,
    /// What a half-closed client means.
    pub half_close: HalfClose,
    /// Where clients report wrong answers.
    pub flag_path: String,
}

/// All that a proxy runs by.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Its fleet's name.
    pub name: String,
    /// A number that all proxies of the fleet share.
    pub site: u32,
    /// Where clients connect.
    pub listen: Vec<SocketAddr>,
    /// The roster.
    pub roster: SocketAddr,
    /// For a roster call's first line.
    pub roster_timeout: Micros,
    /// The release desk, and those that stand by for it.
    pub desks: Vec<SocketAddr>,
    /// News that are silent for so long are lost.
    pub desk_silence: Option<Micros>,
    /// Before a lost stream of stage news is opened again.
    pub desk_reconnect: Micros,
    /// The publisher of the routes, if they are distributed; needs [`ProxySettings::state_dir`].
    pub publisher: Option<SocketAddr>,
    /// Where peers' datagrams arrive.
    pub peer_listen: Option<SocketAddr>,
    /// Peers by position, this proxy's own among them.
    pub peers: Vec<SocketAddr>,
    /// Names of the classes, by index.
    pub class_names: Vec<String>,
    /// Tenants' indices by name.
    pub tenants: BTreeMap<String, usize>,
    /// In the order of the script: the first that matches counts.
    pub routes: Vec<Route>,
    /// The same, to be looked up in.
    pub route_table: RouteTable,
    /// Header fields.
    pub headers: Headers,
    /// Bounds of connections.
    pub connections: Connections,
    /// A fixed seed for the decisions' draws; else drawn at each start.
    pub seed: Option<u64>,
    /// Where the last list and the daemon's state are kept over restarts.
    pub state_dir: Option<PathBuf>,
    /// The path of the control socket.
    pub control: Option<PathBuf>,
    /// Control over TCP under mutual TLS: where it listens, and the daemon's files.
    pub control_tls: Option<(SocketAddr, Identity)>,
    /// Budgets that the whole fleet keeps, if any class has one.
    pub budgets: Option<QuotaPlan>,
    /// What the decisions run by.
    pub decisions: Settings,
}

/// What a fleet file says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetFile {
    /// The daemons.
    pub members: Vec<Member>,
    /// The operator's files, for those that are spoken to over TCP.
    pub identity: Option<Identity>,
}
