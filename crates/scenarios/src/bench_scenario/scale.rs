//! Scales the scenario of a bench file down to the proxies, servers and requests that one machine can run.

use super::BenchScenarioError;
use super::format::{BenchFile, BenchServer};
use violetseam_simulated_site::scenario::ServerSpec;

/// Maximum number of proxies. Each is a process of its own.
const MAX_PROXIES: usize = 8;
/// Maximum rate of first attempts, per second.
const MAX_REQUEST_RATE: f64 = 1_500.0;
/// Maximum number of servers.
const MAX_SERVERS: usize = 76;
/// Minimum number of servers.
const MIN_SERVERS: usize = 2;
/// Connections that a server accepts per core if the file states no limit.
const DEFAULT_CONNECTIONS_PER_CORE: f64 = 400.0;

/// The part of a file's scenario that is played.
pub(super) struct Scale {
    /// The share of servers and traffic that is played.
    pub ratio: f64,
    /// Number of proxies that are played: the first ones of the file.
    pub proxies: usize,
    file_proxies: usize,
    /// Number of servers that are played: the first ones of the file that run at the start.
    servers: usize,
    file_servers: usize,
}

impl Scale {
    pub fn of(file: &BenchFile) -> Scale {
        let file_servers = file.servers.iter().filter(|server| server.up).count();
        let rate = file.traffic.load * file.capacity() / file.mean_work().max(1.0);
        let ratio_by_rate = MAX_REQUEST_RATE / rate;
        let ratio_by_servers = MAX_SERVERS as f64 / file_servers.max(1) as f64;
        let ratio = ratio_by_rate.min(ratio_by_servers).min(1.0);
        Scale {
            ratio,
            proxies: file.proxies.len().min(MAX_PROXIES),
            file_proxies: file.proxies.len(),
            servers: ((file_servers as f64 * ratio).round() as usize).max(MIN_SERVERS),
            file_servers,
        }
    }

    /// Adds notes on the proxies and servers that are left out.
    pub fn note(&self, notes: &mut Vec<String>) {
        if self.proxies < self.file_proxies {
            let Scale { proxies, file_proxies, .. } = self;
            notes.push(format!(
                "{proxies} of {file_proxies} proxies, each with a larger share of the traffic"
            ));
        }
        if self.servers < self.file_servers {
            let Scale { servers, file_servers, .. } = self;
            notes
                .push(format!("{servers} of {file_servers} servers, with the traffic reduced in proportion"));
        }
    }

    /// Returns the servers to play that run at the start.
    pub fn running_servers(&self, file: &BenchFile) -> Result<Vec<ServerSpec>, BenchScenarioError> {
        let running: Vec<&BenchServer> = file.servers.iter().filter(|server| server.up).collect();
        running[..self.servers].iter().map(|server| file.server_spec(server)).collect()
    }

    /// Returns the spares of the places that are played.
    pub fn spare_servers(&self, file: &BenchFile) -> Result<Vec<ServerSpec>, BenchScenarioError> {
        let spares = file.servers.iter().filter(|server| !server.up).enumerate();
        let played = spares.filter(|(index, _)| index % self.file_places() < self.servers);
        played.map(|(_, server)| file.server_spec(server)).collect()
    }

    /// Returns the index in the scenario of a server of the file, if that server is played. The file numbers
    /// servers by place and generation; places that are played keep their numbers.
    pub fn server_index(&self, file_index: usize) -> Option<usize> {
        let place = file_index % self.file_places();
        let generation = file_index / self.file_places();
        (place < self.servers).then_some(place + self.servers * generation)
    }

    fn file_places(&self) -> usize {
        self.file_servers.max(1)
    }
}

impl BenchFile {
    /// Returns the mean work of a request, in microseconds of a standard core.
    pub(super) fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work).sum::<f64>() / shares.max(1e-9)
    }

    /// Returns the capacity of the servers that run at the start, in work per second.
    fn capacity(&self) -> f64 {
        let kinds = &self.tiers[0].kinds;
        let cores = |server: &BenchServer| kinds.get(server.kind).map_or(1.0, |kind| kind.cores);
        let running = self.servers.iter().filter(|server| server.up);
        running.map(|server| cores(server) * server.speed * 1e6).sum()
    }

    fn server_spec(&self, server: &BenchServer) -> Result<ServerSpec, BenchScenarioError> {
        let kinds = &self.tiers[0].kinds;
        let kind =
            kinds.get(server.kind).ok_or(BenchScenarioError::UnknownServerKind { kind: server.kind })?;
        let connections_per_core = kind.conn_cap_per_core.unwrap_or(DEFAULT_CONNECTIONS_PER_CORE);
        Ok(ServerSpec {
            zone: server.zone,
            cell: server.cell,
            cores: kind.cores,
            speed: server.speed,
            slots: kind.slots,
            queue: kind.queue,
            connections: (connections_per_core * kind.cores) as usize,
            slow_start_floor: kind.cold_from,
            slow_start_span: kind.cold,
            error_rate: kind.error_rate,
        })
    }
}
