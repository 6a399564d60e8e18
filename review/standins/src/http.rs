//! Reading of HTTP/1.1 messages.

use std::{
    io::{self, BufRead, BufReader, Read},
    net::TcpStream,
};

/// A request or response head, and the body of a request.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, if it has a length.
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(key, _)| key == name);
        found.next().map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (message.line.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => message.line = line.to_owned(),
            (false, true) => return Ok(Some(message)),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads a request with a body that has a length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    message.body = vec![0; message.length()];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}
