//! A proxy's settings: a Starlark script, evaluated and checked completely before anything is bound.
//!
//! A script calls one function for each section (`fleet(...)`, `request_class(...)`, `route(...)` ...). It is in
//! Starlark because the proxies of a fleet share almost all of their settings: a function or a loaded file says
//! once what plain data would repeat. A script has no clock, no network and no files but `load` of its own folder,
//! and its steps and memory are bounded. `docs/settings.md` lists the sections.

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
