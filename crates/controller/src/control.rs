//! Operator requests on the control socket, a Unix domain socket with mode 0600. Request and response are one
//! line of JSON each.
//!
//! Names are not authenticated: whoever may open the socket may state any operator's name. Names only serve
//! the rules of the plan and the records in the journal.

mod client;
mod server;

pub use client::{ControlError, send_request};
pub use server::{ControlCall, listen};

use serde::{Deserialize, Serialize};
use violetseam_release::{Announcement, Order, Reply};

/// The greatest length of a line, in bytes. A plan is sent as one line.
const MAX_LINE_LEN: u64 = 1 << 20;

/// A request from an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Request {
    /// Asks for the status of the controller and the release.
    #[serde(rename = "state")]
    Status,
    /// Submits a plan in the form of its script.
    #[serde(rename = "offer")]
    SubmitPlan {
        /// The name of the script, for error messages.
        name: String,
        /// The text of the script.
        text: String,
    },
    /// Approves a wave.
    #[serde(rename = "sign")]
    Approve {
        /// The operator who approves.
        #[serde(rename = "who")]
        operator: String,
        /// The name of the wave.
        wave: String,
    },
    /// Revokes an approval.
    #[serde(rename = "unsign")]
    RevokeApproval {
        /// The operator who had approved the wave.
        #[serde(rename = "who")]
        operator: String,
        /// The name of the wave.
        wave: String,
    },
    /// Gives an order that intervenes in a running plan.
    Order {
        /// The operator who gives the order.
        #[serde(rename = "who")]
        operator: String,
        /// What the operator orders.
        order: Order,
    },
}

/// The status of a controller and its release.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The controller's name.
    pub name: String,
    /// The term that the controller leads, which is the fence of its announcements; 0 on a standby.
    pub term: u64,
    /// What the controller announces to proxies; `None` on a standby.
    #[serde(rename = "news")]
    pub announcement: Option<Announcement>,
    /// A description of the state of the release and of what it waits for.
    #[serde(rename = "text")]
    pub description: String,
    /// The number of votes in force.
    pub votes: usize,
    /// The number of open watches.
    pub watches: WatchCounts,
    /// Why the last batch could not be made durable, if it could not.
    #[serde(rename = "trouble")]
    pub write_error: Option<String>,
}

/// The numbers of open watches. In JSON this is an array of two numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(usize, usize)", into = "(usize, usize)")]
pub struct WatchCounts {
    /// The number of watches by proxies.
    pub proxies: usize,
    /// The number of watches by platforms.
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
    /// The status of the controller and the release.
    #[serde(rename = "state")]
    Status(Box<Status>),
    /// The outcome of the operator's event.
    Reply(Reply),
    /// The submitted plan is invalid; the errors in it.
    #[serde(rename = "faults")]
    InvalidPlan(Vec<String>),
    /// The request was malformed, did not become durable, got no response in time, or reached a standby.
    #[serde(rename = "not")]
    Failed(String),
}
