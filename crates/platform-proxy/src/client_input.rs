//! The input of a client connection that no command has consumed, and when it was read.

use crate::memory::append_tightly;
use std::collections::VecDeque;
use violetseam::interface::Micros;

/// Bytes that are read within this time count as read when the first of them was.
const ARRIVAL_RESOLUTION: Micros = 10_000;

/// When a part of the input was read.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    /// Where the part ends in the unconsumed input.
    end: usize,
    at: Micros,
}

/// The unconsumed input of one connection.
#[derive(Debug, Default)]
pub(super) struct ClientInput {
    bytes: Vec<u8>,
    /// The parts of the input in order. Their number is bounded by how long input may wait.
    arrivals: VecDeque<Arrival>,
}

impl ClientInput {
    /// Appends bytes that were read.
    pub fn append(&mut self, bytes: &[u8], now: Micros) {
        append_tightly(&mut self.bytes, bytes);
        let end = self.bytes.len();
        match self.arrivals.back_mut() {
            Some(last) if now < last.at + ARRIVAL_RESOLUTION => last.end = end,
            _ => self.arrivals.push_back(Arrival { end, at: now }),
        }
    }

    /// Returns the input.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether there is no input.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns how many bytes of memory the input takes.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns when the first byte was read, if there is one.
    pub fn oldest_at(&self) -> Option<Micros> {
        self.arrivals.front().map(|arrival| arrival.at)
    }

    /// Returns when the last of the first `length` bytes was read, or `None` if there are fewer.
    pub fn arrived_at(&self, length: usize) -> Option<Micros> {
        self.arrivals.iter().find(|arrival| arrival.end >= length).map(|arrival| arrival.at)
    }

    /// Removes the first `length` bytes.
    pub fn consume(&mut self, length: usize) {
        if length >= self.bytes.len() {
            return *self = ClientInput::default();
        }
        self.bytes.drain(..length);
        while self.arrivals.front().is_some_and(|arrival| arrival.end <= length) {
            self.arrivals.pop_front();
        }
        for arrival in &mut self.arrivals {
            arrival.end -= length;
        }
    }
}
