//! Operators' commands to a daemon, without I/O: their wire ([`wire`]), the one reading of a daemon's state
//! ([`state`]), and the book that decides what is applied, refused or held ([`book`]).
//!
//! A command has an id, an issuer, an expiry and a fence. It is applied once however often it arrives; one
//! for another build, stage or life of the daemon, or past its expiry, is refused with the reason. Wall-clock
//! times are microseconds since 1970; the book is handed the time and keeps none.

pub mod book;
pub mod state;
pub mod wire;

pub use book::{Book, Change, Durable};
pub use state::Reading;
pub use wire::{Act, Answer, Ask, Command, Fence, Phase, Reply};
