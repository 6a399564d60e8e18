//! Parser of server-sent events.

/// Splits a byte stream into server-sent events.
#[derive(Debug, Default)]
pub struct SseParser {
    bytes: Vec<u8>,
    /// Number of bytes already searched for a line end.
    searched: usize,
}

impl SseParser {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// Returns the content of the next `data:` line, if a complete one has been received.
    ///
    /// NB: chat completions use one line per event; other fields and comments are ignored.
    pub fn next_event(&mut self) -> Option<Vec<u8>> {
        loop {
            let line = self.next_line()?;
            if let Some(data) = line.strip_prefix(b"data:") {
                return Some(data.trim_ascii().to_vec());
            }
        }
    }

    fn next_line(&mut self) -> Option<Vec<u8>> {
        let unsearched = &self.bytes[self.searched..];
        match unsearched.iter().position(|byte| *byte == b'\n') {
            Some(offset) => {
                let end = self.searched + offset;
                self.searched = 0;
                let mut line: Vec<u8> = self.bytes.drain(..=end).collect();
                line.truncate(line.trim_ascii_end().len());
                Some(line)
            }
            None => {
                self.searched = self.bytes.len();
                None
            }
        }
    }
}
