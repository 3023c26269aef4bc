//! Numbers that identify clients' requests and the tries of each request.

/// An upper bound on the tries of one request.
const MAX_TRIES: u64 = 16;

/// One try of a client's request. A retry by the client is another try of the same request. The invariant
/// checker treats each try as a separate request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientTry {
    /// The number of the client's request.
    pub request: u64,
    /// The number of the try within the request; 0 is the first.
    pub number: u32,
}

impl ClientTry {
    /// Returns the first try of a request.
    pub fn first(request: u64) -> Self {
        ClientTry { request, number: 0 }
    }

    /// Returns the try that follows this one.
    pub fn next(self) -> Self {
        ClientTry { number: self.number + 1, ..self }
    }

    /// Returns the request number under which the invariant checker knows this try.
    pub fn observed_request(self) -> u64 {
        self.request * MAX_TRIES + u64::from(self.number)
    }
}
