//! A proxy's settings. They are a Starlark script, which is evaluated and validated completely before the
//! proxy binds any socket.
//!
//! A script calls one function for each section (`fleet(...)`, `request_class(...)`, `route(...)` ...).
//! Settings are written in Starlark because the proxies of a fleet share almost all of them: a function or a
//! loaded file avoids the repetition that a plain data format would need. A script has no access to a clock
//! or the network, can only `load` files from its own folder, and is limited in its execution steps and
//! memory. `docs/settings.md` lists the sections.

mod check;
mod collect;
mod route_table;
mod script;
mod sections;
mod settings;

pub use route_table::{Rank, RouteTable, Target};
pub use script::{ScriptError, read_file, read_fleet, read_text};
pub use sections::{HalfClose, Identity, Member};
pub use settings::{ConnectionLimits, ControlTls, FleetFile, HeaderNames, ProxySettings, Route};
