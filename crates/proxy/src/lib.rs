//! One proxy: routes requests to servers as the decisions say, over real sockets.
//!
//! [`engine::Engine`] is the part without I/O: it keeps the requests and attempts in hand, tells the
//! decision module each event in its own terms, and turns its actions into orders. [`driver::Proxy`] is
//! the thin part: sockets and the clock on one `calloop` loop. Neither decides on routing, time-outs,
//! retries, refusals or releases. One loop is one balancer and shares nothing with another.

pub mod distributed_routes;
pub mod driver;
pub mod engine;
