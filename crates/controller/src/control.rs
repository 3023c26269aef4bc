//! Operator requests on the control socket (Unix-domain, mode 0600): one JSON line each way.
//!
//! Whoever may open the socket may state any name: names serve the plan's rules and the journal and prove
//! nothing.

mod client;
mod server;

pub use client::{ControlError, send_request};
pub use server::{ControlCall, listen};

use serde::{Deserialize, Serialize};
use violetseam_release::{Announcement, Order, Reply};

/// The longest line, in bytes; a plan is sent as one.
const MAX_LINE_LEN: u64 = 1 << 20;

/// A request by an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the release's status.
    #[serde(rename = "state")]
    Status,
    /// Submits a plan as its script.
    #[serde(rename = "offer")]
    SubmitPlan {
        /// The script's name in messages.
        name: String,
        /// The script.
        text: String,
    },
    /// Approves a wave.
    #[serde(rename = "sign")]
    Approve {
        /// Who approves.
        #[serde(rename = "who")]
        operator: String,
        /// The wave.
        wave: String,
    },
    /// Revokes an approval.
    #[serde(rename = "unsign")]
    RevokeApproval {
        /// Whose approval it was.
        #[serde(rename = "who")]
        operator: String,
        /// The wave.
        wave: String,
    },
    /// Gives an order outside the plan.
    Order {
        /// Who gives it.
        #[serde(rename = "who")]
        operator: String,
        /// The order.
        order: Order,
    },
}

/// The status of a controller and its release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The controller's name.
    pub name: String,
    /// Its term, which fences what it announces; 0 on a standby.
    pub term: u64,
    /// What is announced to proxies.
    #[serde(rename = "news")]
    pub announcement: Option<Announcement>,
    /// A description, with what the release waits for.
    #[serde(rename = "text")]
    pub description: String,
    /// Votes in force.
    pub votes: usize,
    /// Open watches.
    pub watches: WatchCounts,
    /// Why the last batch was not durable, if it was not.
    #[serde(rename = "trouble")]
    pub write_error: Option<String>,
}

/// Open watches; in JSON an array of two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub struct WatchCounts {
    /// Watches by proxies.
    pub proxies: usize,
    /// Watches by platforms.
    pub platforms: usize,
}

impl From<(usize, usize)> for WatchCounts {
    fn from((proxies, platforms): (usize, usize)) -> Self {
        WatchCounts { proxies, platforms }
    }
}

impl From<WatchCounts> for (usize, usize) {
    fn from(counts: WatchCounts) -> Self {
        (counts.proxies, counts.platforms)
    }
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Response {
    /// The status.
    #[serde(rename = "state")]
    Status(Box<Status>),
    /// The outcome of an event.
    Reply(Reply),
    /// The errors in a plan.
    #[serde(rename = "faults")]
    InvalidPlan(Vec<String>),
    /// The request was malformed, did not become durable, or reached a standby.
    #[serde(rename = "not")]
    Failed(String),
}
