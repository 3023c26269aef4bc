//! Why a benchmark gave no measurements.

use crate::MAX_SIZES;
use crate::lightweight_proxies::registry::TrafficCounts;
use std::io;
use std::process::ExitStatus;
use thiserror::Error;
use violetseam_controller::control::{ControlError, Response};
use violetseam_publisher::client::ClientError;
use violetseam_settings::ScriptError;
use violetseam_site_protocol::Malformed;

/// Why nothing could be measured.
#[derive(Debug, Error)]
pub enum ScaleError {
    /// Files, sockets, processes or the event loop failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// More sizes than one run takes.
    #[error("more than {MAX_SIZES} sizes")]
    TooManySizes,
    /// A file of measurements or statistics cannot be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// What failed.
        source: io::Error,
    },
    /// This program cannot be started again as a process of a benchmark.
    #[error("cannot start the process `{subcommand}`: {source}")]
    StartProcess {
        /// What the process would have run.
        subcommand: &'static str,
        /// What failed.
        source: io::Error,
    },
    /// More or fewer proxies than the benchmark has sockets and peers for.
    #[error("a fleet has {min} to {max} proxies")]
    ProxiesOutOfBounds {
        /// The fewest.
        min: u64,
        /// The most.
        max: u64,
    },
    /// More or fewer proxies or servers than the benchmark has a fleet for.
    #[error("1 to {max_proxies} {unit} and 1 to {max_servers} servers")]
    FleetOutOfBounds {
        /// What a proxy is to the benchmark: a thread or a process.
        unit: &'static str,
        /// The most proxies.
        max_proxies: u64,
        /// The most listed servers.
        max_servers: u64,
    },
    /// The process that measures one size ended with a failure.
    #[error("{benchmark} at {size}: {status}")]
    SampleProcess {
        /// The benchmark's name.
        benchmark: &'static str,
        /// The size that it measured.
        size: u64,
        /// How the process ended.
        status: ExitStatus,
    },
    /// Measurements between the processes of one run cannot be written or read.
    #[error("{0}")]
    SampleFormat(#[source] serde_json::Error),
    /// A file of `/proc` does not have a field in the expected form.
    #[error("{path} has no {field}")]
    ProcessStatistics {
        /// The file.
        path: String,
        /// What was looked for.
        field: &'static str,
    },
    /// A histogram of times cannot be created.
    #[error("{0}")]
    HistogramBounds(#[from] hdrhistogram::CreationError),
    /// A time lies beyond what the histogram holds.
    #[error("{0}")]
    TimeOutOfBounds(#[from] hdrhistogram::RecordError),
    /// An endpoint list is not accepted by the product's parser.
    #[error("{0}")]
    EndpointList(#[from] Malformed),
    /// The state of a balancer cannot be encoded.
    #[error("{0}")]
    EncodeState(#[source] postcard::Error),
    /// A simulated proxy reported evidence to no collector.
    #[error("a proxy of {proxies} reports to no collector")]
    NoCollector {
        /// Proxies of the fleet.
        proxies: u64,
    },
    /// The settings of a lightweight proxy are not accepted.
    #[error("{0}")]
    ProxySettings(#[from] ScriptError),
    /// A lightweight proxy ended before it listened.
    #[error("a lightweight proxy did not start")]
    ProxyStart,
    /// Lightweight proxies ended with an error.
    #[error("{count} lightweight proxies ended with a fault")]
    ProxiesFailed {
        /// How many.
        count: usize,
    },
    /// The registry did not see what it waited for in time.
    #[error("waited in vain for {expected}: {counts:?}")]
    RegistryTimeout {
        /// What was waited for.
        expected: &'static str,
        /// What the registry had counted by then.
        counts: TrafficCounts,
    },
    /// A command to the controller failed.
    #[error("{0}")]
    ControllerCall(#[from] ControlError),
    /// The controller did not begin a term in time.
    #[error("the controller does not begin a term")]
    NoControllerTerm,
    /// The controller did not accept the release plan.
    #[error("the plan was not taken: {0:?}")]
    PlanRejected(Box<Response>),
    /// The status of a build did not reach all proxies with an open watch in time.
    #[error("the news did not reach all that watch")]
    ReleaseStatusNotDelivered,
    /// The publisher did not listen.
    #[error("the publisher did not start: {output:?}")]
    PublisherStart {
        /// The first line of its output.
        output: String,
    },
    /// The publisher on a thread did not listen in time.
    #[error("the publisher did not start: {0}")]
    PublisherTimeout(#[source] std::sync::mpsc::RecvTimeoutError),
    /// A publication failed.
    #[error("{0}")]
    Publication(#[from] ClientError),
    /// A configuration change cannot be encoded.
    #[error("{0}")]
    EncodeConfiguration(#[source] serde_json::Error),
    /// Some subscribers did not reach a version in time.
    #[error("not all hold version {version} within a minute")]
    SubscribersBehind {
        /// The version's number.
        version: u64,
    },
    /// No subscriber received a heartbeat.
    #[error("no heartbeat")]
    NoHeartbeat,
    /// No published version came into force anywhere.
    #[error("nothing came in force")]
    NothingInForce,
    /// The limit of open files cannot be raised.
    #[error("the limit of open files cannot be raised: {0}")]
    DescriptorLimit(#[source] rustix::io::Errno),
}
