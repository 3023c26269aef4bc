//! One proxy process. It forwards client requests to servers over TCP, as its decision module chooses.
//!
//! [`engine::Engine`] does no I/O: it tracks the requests and attempts in flight, passes each event to the
//! decision module, and turns the module's actions into [`engine::EngineAction`]s. [`driver::Proxy`] is a
//! thin layer that owns the sockets and the clock and runs them on one `calloop` event loop. Routing,
//! time-outs, retries, rejections and releases are decided by the decision module alone. Each event loop runs
//! one balancer and shares no state with another event loop.

pub mod distributed_routes;
pub mod driver;
pub mod engine;
