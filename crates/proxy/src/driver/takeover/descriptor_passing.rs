//! Passes file descriptors in messages over a Unix socket.

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{Error, IoSlice, IoSliceMut, Result};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;

/// The number of descriptors in one message. The kernel accepts at most 253.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 200;

/// Sends file descriptors in batches, each attached to a message of one byte.
pub(super) fn send_descriptors(to: &UnixStream, descriptors: &[BorrowedFd<'_>]) -> Result<()> {
    for batch in descriptors.chunks(MAX_DESCRIPTORS_PER_MESSAGE) {
        let mut space =
            vec![MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        if !control.push(SendAncillaryMessage::ScmRights(batch)) {
            return Err(Error::other("a batch of file descriptors does not fit in one ancillary message"));
        }
        sendmsg(to, &[IoSlice::new(b"+")], &mut control, SendFlags::NOSIGNAL)?;
    }
    Ok(())
}

/// Receives `count` file descriptors, from as many messages as they were sent in.
pub(super) fn receive_descriptors(from: &UnixStream, count: usize) -> Result<Vec<OwnedFd>> {
    let mut received = Vec::with_capacity(count);
    while received.len() < count {
        let mut space =
            vec![MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let mut byte = [0];
        let read = recvmsg(from, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        if read.bytes == 0 {
            return Err(Error::other("the old process closed the connection before it sent all sockets"));
        }
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = message {
                received.extend(descriptors);
            }
        }
    }
    Ok(received)
}
