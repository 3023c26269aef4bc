//! A proxy's settings: a Starlark script, evaluated and checked whole before anything is bound.
//!
//! A script calls one function for each section (`fleet(...)`, `request_class(...)`, `route(...)` ...).
//! Starlark, as a fleet's many proxies share all but a few words, and a script can say so with a function
//! or a loaded file where plain data would be copied. A script has no clock, no network and no files but
//! `load` of its own folder, and its steps and memory are bounded. `docs/settings.md` lists the sections.

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
