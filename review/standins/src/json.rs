//! A small JSON reader, and base64, for the store's calls.

use std::{collections::BTreeMap, str::Chars};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Object(map) => map.get(key).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }
}

struct Reader<'a> {
    chars: std::iter::Peekable<Chars<'a>>,
}

/// Parses a JSON text.
pub fn parse(text: &str) -> Option<Json> {
    let mut reader = Reader { chars: text.chars().peekable() };
    reader.value()
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.chars.next_if(|c| c.is_whitespace()).is_some() {}
    }

    fn literal(&mut self, word: &str, value: Json) -> Option<Json> {
        word.chars().all(|c| self.chars.next() == Some(c)).then_some(value)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.chars.peek()? {
            '{' => self.object(),
            '[' => self.array(),
            '"' => Some(Json::Text(self.string()?)),
            't' => self.literal("true", Json::Bool(true)),
            'f' => self.literal("false", Json::Bool(false)),
            'n' => self.literal("null", Json::Null),
            _ => {
                let mut text = String::new();
                while let Some(c) = self.chars.next_if(|c| "+-.eE0123456789".contains(*c)) {
                    text.push(c);
                }
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.chars.next();
        let mut map = BTreeMap::new();
        loop {
            self.skip_space();
            match *self.chars.peek()? {
                '}' => {
                    self.chars.next();
                    return Some(Json::Object(map));
                }
                ',' => {
                    self.chars.next();
                }
                _ => {
                    let key = self.string()?;
                    self.skip_space();
                    if self.chars.next()? != ':' {
                        return None;
                    }
                    map.insert(key, self.value()?);
                }
            }
        }
    }

    fn array(&mut self) -> Option<Json> {
        self.chars.next();
        let mut items = Vec::new();
        loop {
            self.skip_space();
            match *self.chars.peek()? {
                ']' => {
                    self.chars.next();
                    return Some(Json::List(items));
                }
                ',' => {
                    self.chars.next();
                }
                _ => items.push(self.value()?),
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.chars.next()? != '"' {
            return None;
        }
        let mut text = String::new();
        loop {
            match self.chars.next()? {
                '"' => return Some(text),
                '\\' => match self.chars.next()? {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let digits: String = (0..4).filter_map(|_| self.chars.next()).collect();
                        let code = u32::from_str_radix(&digits, 16).ok()?;
                        text.push(char::from_u32(code).unwrap_or('?'));
                    }
                    other => text.push(other),
                },
                other => text.push(other),
            }
        }
    }
}

/// Quotes a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => {
                quoted.push('\\');
                quoted.push(c);
            }
            '\n' => quoted.push_str("\\n"),
            _ => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Standard base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            if position <= chunk.len() {
                let index = (number >> (18 - 6 * position)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

/// Decodes standard base64; ignores padding.
pub fn decode_base64(text: &str) -> Vec<u8> {
    let (mut bytes, mut number, mut bits) = (Vec::new(), 0u32, 0);
    for byte in text.bytes() {
        let Some(index) = ALPHABET.iter().position(|one| *one == byte) else { continue };
        number = (number << 6) | index as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    bytes
}
