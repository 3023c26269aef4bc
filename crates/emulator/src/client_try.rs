//! The numbers of clients' requests and of their tries.

/// More than the tries of any request.
const MAX_TRIES: u64 = 16;

/// One try of a client's request. To the checker of the rules each try is a request of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTry {
    /// The client's request.
    pub request: u64,
    /// 0 for the first try.
    pub number: u32,
}

impl ClientTry {
    /// The first try of a request.
    pub fn first(request: u64) -> Self {
        ClientTry { request, number: 0 }
    }

    /// The try after this one.
    pub fn next(self) -> Self {
        ClientTry { number: self.number + 1, ..self }
    }

    /// The number under which the checker knows this try.
    pub fn observed_request(self) -> u64 {
        self.request * MAX_TRIES + u64::from(self.number)
    }
}
