//! Reads from a connection, and tells when the kernel received what was read. A thread that reads late, because
//! the machine is busy, does not change that time.

use nix::sys::socket::{ControlMessageOwned, MsgFlags, SockaddrStorage, recvmsg, setsockopt, sockopt};
use nix::sys::time::TimeSpec;
use std::io::{IoSliceMut, Read};
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Makes the kernel tell when it received the bytes of all connections that this listener accepts.
pub fn enable_arrival_times(listener: &TcpListener) {
    setsockopt(listener, sockopt::ReceiveTimestampns, &true).unwrap();
}

/// A connection that was accepted by a listener with arrival times.
pub struct TimedReader {
    stream: TcpStream,
    arrived_at: Instant,
}

impl TimedReader {
    pub fn new(stream: TcpStream) -> TimedReader {
        TimedReader { stream, arrived_at: Instant::now() }
    }

    /// Returns when the last byte that was read had arrived.
    pub fn arrived_at(&self) -> Instant {
        self.arrived_at
    }
}

impl Read for TimedReader {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let mut slices = [IoSliceMut::new(buffer)];
        let mut control = nix::cmsg_space!(TimeSpec);
        let fd = self.stream.as_raw_fd();
        let message = recvmsg::<SockaddrStorage>(fd, &mut slices, Some(&mut control), MsgFlags::empty())?;
        let since_epoch = message.cmsgs()?.find_map(|control| match control {
            ControlMessageOwned::ScmTimestampns(time) => Some(Duration::from(time)),
            _ => None,
        });
        let (now, wall_clock) = (Instant::now(), SystemTime::now());
        let age = since_epoch.and_then(|at| wall_clock.duration_since(UNIX_EPOCH + at).ok());
        self.arrived_at = now - age.unwrap_or_default();
        Ok(message.bytes)
    }
}
