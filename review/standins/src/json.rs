//! Just enough JSON for the platform's store. Numbers keep their text.

use std::fmt::{self, Display, Formatter};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    /// A value that is written as it stands.
    Raw(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it isn't JSON.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Object(fields) = self else {
            return None;
        };
        let mut fields = fields.iter();
        fields.find(|(key, _)| key == name).map(|(_, value)| value)
    }

    /// Returns a whole number.
    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(text) => text.parse().ok(),
            _ => None,
        }
    }

    /// Returns a text.
    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Json {
        Json::Number(number.to_string())
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Json {
        Json::Text(text.to_owned())
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Json {
        Json::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(values: Vec<Json>) -> Json {
        Json::List(values)
    }
}

/// Returns an object with these fields.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.map(|(name, value)| (name.to_owned(), value));
    Json::Object(fields.to_vec())
}

impl Display for Json {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => formatter.write_str("null"),
            Json::Bool(value) => write!(formatter, "{value}"),
            Json::Number(text) | Json::Raw(text) => formatter.write_str(text),
            Json::Text(text) => write_text(formatter, text),
            Json::List(values) => {
                formatter.write_str("[")?;
                for (index, value) in values.iter().enumerate() {
                    let comma = if index > 0 { "," } else { "" };
                    write!(formatter, "{comma}{value}")?;
                }
                formatter.write_str("]")
            }
            Json::Object(fields) => {
                formatter.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    formatter.write_str(if index > 0 { "," } else { "" })?;
                    write_text(formatter, name)?;
                    write!(formatter, ":{value}")?;
                }
                formatter.write_str("}")
            }
        }
    }
}

fn write_text(formatter: &mut Formatter<'_>, text: &str) -> fmt::Result {
    formatter.write_str("\"")?;
    for letter in text.chars() {
        match letter {
            '"' | '\\' => write!(formatter, "\\{letter}")?,
            letter if letter < ' ' => write!(formatter, "\\u{:04x}", letter as u32)?,
            letter => write!(formatter, "{letter}")?,
        }
    }
    formatter.write_str("\"")
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn skip(&mut self, expected: u8) -> Option<()> {
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.bytes.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => self.number(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.skip(b'{')?;
        let mut fields = Vec::new();
        while self.peek()? != b'}' {
            if !fields.is_empty() {
                self.skip(b',')?;
            }
            self.peek()?;
            let name = self.text()?;
            self.skip(b':')?;
            fields.push((name, self.value()?));
        }
        self.skip(b'}')?;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        self.skip(b'[')?;
        let mut values = Vec::new();
        while self.peek()? != b']' {
            if !values.is_empty() {
                self.skip(b',')?;
            }
            values.push(self.value()?);
        }
        self.skip(b']')?;
        Some(Json::List(values))
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self
            .bytes
            .get(self.at)
            .is_some_and(|byte| b"+-.eE0123456789".contains(byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        (!text.is_empty()).then(|| Json::Number(text.to_owned()))
    }

    fn text(&mut self) -> Option<String> {
        self.skip(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    let letter = match escaped {
                        b'n' => '\n',
                        b'r' => '\r',
                        b't' => '\t',
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            char::from_u32(u32::from_str_radix(digits, 16).ok()?)?
                        }
                        other => other as char,
                    };
                    bytes.extend_from_slice(letter.encode_utf8(&mut [0; 4]).as_bytes());
                }
                byte => bytes.push(byte),
            }
        }
    }
}
