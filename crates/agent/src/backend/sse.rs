//! Server-sent events cut out of a byte stream.

/// Bytes received and not yet cut into events.
#[derive(Debug, Default)]
pub struct Events {
    bytes: Vec<u8>,
    /// Up to here no line end was found.
    searched: usize,
}

impl Events {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.bytes.extend_from_slice(chunk);
    }

    /// The content of the next `data:` line, if a whole one has been received.
    ///
    /// NB: chat completions put each event on one line; other fields and comments are passed over.
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
