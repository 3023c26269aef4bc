//! The release controller as a daemon, round the decisions of `violetseam-release`.
//!
//! - `settings.rs`: its settings script
//! - `journal.rs`: terms and the journal: what is durable, and who may speak
//! - `keeper.rs`: writes on a thread of its own, many events with one fsync
//! - `control.rs`: operators' words over the control socket
//! - `serve.rs`: the loop: calls and watches of proxies and platform, batches, standing by
//!
//! Nothing is announced or acknowledged before it is durable, and nothing durable is announced by a controller
//! that another one has replaced. `docs/controller.md` has the argument.

pub mod control;
pub mod journal;
mod keeper;
pub mod serve;
pub mod settings;
