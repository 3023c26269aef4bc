//! Messages to and from the release service: JSON-RPC 2.0, one object per line.

use crate::ReleaseServiceError;
use serde::Deserialize;
use violetseam::interface::{Build, Micros, Outcome, Phase, ReleaseStatus, Verdict};
use violetseam::release_order::ReleaseReport;

/// The maximum length of a line in either direction, in bytes.
pub const MAX_LINE_BYTES: usize = 8 * 1024 - 1;

const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// The phase of a release, as in the JSON text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ReleaseState {
    Canary,
    Reverting,
    Stable,
    Reverted,
}

/// The release status of the newest build, as in the JSON text.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ReleaseStatusText {
    revision: Build,
    wave: u8,
    state: ReleaseState,
    max_share: f64,
    age_ms: Option<f64>,
}

/// The release status of the newest build, and how long it had been in force when it was written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedStatus {
    /// The status.
    pub status: ReleaseStatus,
    /// How long the status had been in force, in microseconds; `None` if that is not stated.
    pub age: Option<Micros>,
}

impl AgedStatus {
    /// Returns the report that `new_report` creates from the status, with the status's age.
    pub fn report(self, new_report: impl FnOnce(ReleaseStatus) -> ReleaseReport) -> ReleaseReport {
        let report = new_report(self.status);
        self.age.map_or(report, |age| report.with_age(age))
    }
}

impl ReleaseStatusText {
    /// Converts the status to the form that the engine expects.
    ///
    /// # Errors
    /// Returns [`ReleaseServiceError::InvalidCap`] if the exposure cap is not between 0 and 1.
    pub fn to_status(&self) -> Result<AgedStatus, ReleaseServiceError> {
        if !(0.0..=1.0).contains(&self.max_share) {
            return Err(ReleaseServiceError::InvalidCap);
        }
        let phase = match self.state {
            ReleaseState::Canary => Phase::Trial,
            ReleaseState::Reverting => Phase::RollingBack,
            ReleaseState::Stable => Phase::Released,
            ReleaseState::Reverted => Phase::Withdrawn,
        };
        let status = ReleaseStatus { build: self.revision, stage: self.wave, phase, cap: self.max_share };
        Ok(AgedStatus { status, age: self.age_ms.map(|age| (age * MICROS_PER_MILLISECOND) as Micros) })
    }
}

/// A client's report of a wrong response, as in the JSON text.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FlagText {
    instance_id: String,
    lane: String,
    age_ms: u64,
}

/// The error in a reply, as in the JSON text.
#[derive(Deserialize)]
struct ErrorText {
    message: String,
}

impl ErrorText {
    /// Returns the outcome that the error means for a vote.
    fn outcome(&self) -> Outcome {
        match self.message.as_str() {
            "too_many_calls" => Outcome::Rejected,
            "out_of_date" => Outcome::NotSent,
            _ => Outcome::Error,
        }
    }
}

/// A JSON-RPC message, as in the JSON text. A notification has a method, and a reply has an id.
#[derive(Deserialize)]
struct MessageText {
    jsonrpc: String,
    id: Option<u64>,
    method: Option<String>,
    params: Option<serde_json::Value>,
    result: Option<serde_json::Value>,
    error: Option<ErrorText>,
}

/// A message from the release service.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A notification of the release status of the newest build.
    ReleaseStatus(AgedStatus),
    /// A notification that a client has found a response wrong.
    AnswerFlagged {
        /// The id of the server that sent the response.
        server: String,
        /// The name of the request's class.
        class: String,
        /// How long ago the attempt was sent.
        age: Micros,
    },
    /// A heartbeat, or a notification of an unknown kind.
    Heartbeat,
    /// A reply to a call that the service has accepted.
    Accepted {
        /// The id of the call.
        id: u64,
        /// The release status of the newest build, if the reply contains it.
        status: Option<AgedStatus>,
    },
    /// A reply to a call that the service has not carried out.
    Declined {
        /// The id of the call.
        id: u64,
        /// The outcome that this means for a vote.
        outcome: Outcome,
        /// The service's reason.
        message: String,
    },
}

impl Message {
    /// Parses a line, given without its line end.
    ///
    /// # Errors
    /// Returns a [`ReleaseServiceError`] if the line is not the expected JSON, or contains values that cannot
    /// be used.
    pub fn parse(line: &[u8]) -> Result<Message, ReleaseServiceError> {
        let text: MessageText = serde_json::from_slice(line).map_err(ReleaseServiceError::Json)?;
        if text.jsonrpc != "2.0" {
            return Err(ReleaseServiceError::NotJsonRpc);
        }
        if let Some(method) = text.method {
            return Message::from_notification(&method, text.params.unwrap_or_default());
        }
        let Some(id) = text.id else { return Err(ReleaseServiceError::UnknownMessage) };
        if let Some(error) = text.error {
            let outcome = error.outcome();
            return Ok(Message::Declined { id, outcome, message: error.message });
        }
        match text.result {
            Some(serde_json::Value::Bool(true)) => Ok(Message::Accepted { id, status: None }),
            Some(result) => Ok(Message::Accepted { id, status: Some(parse_status(result)?) }),
            None => Err(ReleaseServiceError::MissingResult),
        }
    }

    fn from_notification(method: &str, params: serde_json::Value) -> Result<Message, ReleaseServiceError> {
        match method {
            "stage" => Ok(Message::ReleaseStatus(parse_status(params)?)),
            "flag" => {
                let flag: FlagText = serde_json::from_value(params).map_err(ReleaseServiceError::Json)?;
                let age = flag.age_ms.saturating_mul(1000);
                Ok(Message::AnswerFlagged { server: flag.instance_id, class: flag.lane, age })
            }
            _ => Ok(Message::Heartbeat),
        }
    }
}

fn parse_status(value: serde_json::Value) -> Result<AgedStatus, ReleaseServiceError> {
    let text: ReleaseStatusText = serde_json::from_value(value).map_err(ReleaseServiceError::Json)?;
    text.to_status()
}

/// Returns the line of the call that subscribes to notifications on its connection.
pub fn watch_call(id: u64) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"Events.Watch\"}}\n").into_bytes()
}

/// Returns the line of the call that casts a vote on a stage of a build.
pub fn vote_call(id: u64, build: Build, stage: u8, verdict: Verdict) -> Vec<u8> {
    let decision = match verdict {
        Verdict::Withdraw => "abstain",
        Verdict::Promote => "promote",
        Verdict::Hold => "pause",
        Verdict::RollBack => "abort",
    };
    let params = format!("{{\"Revision\":{build},\"Wave\":{stage},\"Decision\":\"{decision}\"}}");
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"Rollout.Judge\",\"params\":{params}}}\n")
        .into_bytes()
}
