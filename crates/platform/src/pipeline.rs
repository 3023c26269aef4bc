//! The release service: JSON-RPC 2.0, one object a line.

use crate::{Malformed, malformed};
use serde::Deserialize;
use violetseam::interface::{Build, Micros, Outcome, Phase, ReleaseStatus, Verdict};

/// A line may not be longer, either way.
pub const LINE_MOST: usize = 8 * 1024 - 1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
enum State {
    Canary,
    Reverting,
    Stable,
    Reverted,
}

/// Where the newest build stands, as written.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct News {
    revision: Build,
    wave: u8,
    state: State,
    max_share: f64,
}

impl News {
    /// For the decisions.
    pub fn read(&self) -> Result<ReleaseStatus, Malformed> {
        if !(0.0..=1.0).contains(&self.max_share) {
            return malformed("pipeline: a cap that is no share");
        }
        let phase = match self.state {
            State::Canary => Phase::Trial,
            State::Reverting => Phase::RollingBack,
            State::Stable => Phase::Released,
            State::Reverted => Phase::Withdrawn,
        };
        Ok(ReleaseStatus { build: self.revision, stage: self.wave, phase, cap: self.max_share })
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FlagText {
    instance_id: String,
    lane: String,
    age_ms: u64,
}

#[derive(Deserialize)]
struct ErrorText {
    message: String,
}

#[derive(Deserialize)]
struct LineText {
    jsonrpc: String,
    id: Option<u64>,
    method: Option<String>,
    params: Option<serde_json::Value>,
    result: Option<serde_json::Value>,
    error: Option<ErrorText>,
}

/// A line from the service.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// Unasked: where the newest build stands.
    Stage(ReleaseStatus),
    /// Unasked: an answer was wrong.
    Flag {
        /// The server that gave it.
        server: String,
        /// Its class.
        class: String,
        /// How long ago the attempt was sent.
        since: Micros,
    },
    /// Unasked: a sign of life, or a kind that is not known here.
    Alive,
    /// The answer to a call, with the state if it carries one.
    Accepted {
        /// Which call.
        id: u64,
        /// The newest build.
        news: Option<ReleaseStatus>,
    },
    /// A call was not carried out.
    Declined {
        /// Which call.
        id: u64,
        /// How that counts.
        outcome: Outcome,
        /// As worded.
        message: String,
    },
}

impl Line {
    /// Reads a line, its end left out.
    pub fn parse(line: &[u8]) -> Result<Line, Malformed> {
        let wrong = |e: serde_json::Error| Malformed(format!("pipeline: {e}"));
        let text: LineText = serde_json::from_slice(line).map_err(wrong)?;
        if text.jsonrpc != "2.0" {
            return malformed("pipeline: not JSON-RPC 2.0");
        }
        if let Some(method) = text.method {
            let params = text.params.unwrap_or_default();
            return match method.as_str() {
                "stage" => {
                    let news: News = serde_json::from_value(params).map_err(wrong)?;
                    Ok(Line::Stage(news.read()?))
                }
                "flag" => {
                    let flag: FlagText = serde_json::from_value(params).map_err(wrong)?;
                    let since = flag.age_ms.saturating_mul(1000);
                    Ok(Line::Flag { server: flag.instance_id, class: flag.lane, since })
                }
                _ => Ok(Line::Alive),
            };
        }
        let Some(id) = text.id else { return malformed("pipeline: neither a call's answer nor news") };
        match (text.error, text.result) {
            (Some(error), _) => {
                let outcome = match error.message.as_str() {
                    "too_many_calls" => Outcome::Rejected,
                    "out_of_date" => Outcome::NotSent,
                    _ => Outcome::Error,
                };
                Ok(Line::Declined { id, outcome, message: error.message })
            }
            (None, Some(serde_json::Value::Bool(true))) => Ok(Line::Accepted { id, news: None }),
            (None, Some(result)) => {
                let news: News = serde_json::from_value(result).map_err(wrong)?;
                Ok(Line::Accepted { id, news: Some(news.read()?) })
            }
            (None, None) => malformed("pipeline: an answer without a result"),
        }
    }
}

/// The call that asks for news on its connection.
pub fn watch(id: u64) -> Vec<u8> {
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"Events.Watch\"}}\n").into_bytes()
}

/// A vote.
pub fn vote(id: u64, build: Build, stage: u8, verdict: Verdict) -> Vec<u8> {
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
