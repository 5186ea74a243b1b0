//! Splits a stream of server-sent events into whole events without changing their bytes.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes. Events of a generation are smaller.
const EVENT_LIMIT: usize = 1 << 20;

/// One server-sent event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its `id` field, if there is one and it is a number.
    pub id: Option<u64>,
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether the event carries data. Comments, which keep a connection open, do not.
    #[must_use]
    pub fn has_data(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data"))
    }
}

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the first line that is not known to be whole.
    line_start: usize,
    /// Bytes that were searched for the end of that line. Without it, a line that arrives byte by byte
    /// would be searched from its start each time.
    searched: usize,
}

impl Splitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event.
    pub fn next_event(&mut self) -> Option<Event> {
        let end = self.end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.line_start = 0;
        self.searched = 0;
        Some(Event {
            id: id(&bytes),
            bytes,
        })
    }

    /// Returns whether part of an event remains in the buffer.
    #[must_use]
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the remaining bytes exceed the size of an event.
    #[must_use]
    pub fn overflows(&self) -> bool {
        self.buffer.len() > EVENT_LIMIT
    }

    /// Discards the remaining bytes.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.line_start = 0;
        self.searched = 0;
    }

    /// Returns the offset after the empty line that ends the first event.
    fn end(&mut self) -> Option<usize> {
        while let Some(length) = self.buffer[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line = &self.buffer[self.line_start..self.searched + length];
            let next = self.searched + length + 1;
            if line.is_empty() || line == b"\r" {
                return Some(next);
            }
            self.line_start = next;
            self.searched = next;
        }
        self.searched = self.buffer.len();
        None
    }
}

/// Returns the `id` field of an event.
fn id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
