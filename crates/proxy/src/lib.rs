//! One proxy: routes requests to servers as the decisions say, over real sockets.
//!
//! [`engine::Engine`] is the part without I/O: it keeps the requests and attempts in flight, passes each
//! event to the decision module, and turns its actions into [`engine::EngineAction`]s. [`driver::Proxy`] is
//! the thin part: sockets and the clock on one `calloop` event loop. Neither decides on routing, time-outs,
//! retries, rejections or releases. One event loop is one balancer and shares nothing with another.

pub mod distributed_routes;
pub mod driver;
pub mod engine;
