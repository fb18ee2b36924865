//! Splits JSON into its parts without reading their contents.
//!
//! A part that another writer left may hold anything a JSON parser refuses: bytes that are
//! no UTF-8, half a surrogate, a control character, a number out of range or nesting of any
//! depth. Here only quotes, backslashes, brackets and commas count, so that each part can be
//! decoded by itself. The work is linear in the number of bytes and uses no recursion.

use std::borrow::Cow;

/// Returns the items of an array as they are written; `None` if the bytes are no array.
pub fn items(bytes: &[u8]) -> Option<Vec<&[u8]>> {
    Scanner::new(bytes).list(b'[', b']', Scanner::value)
}

/// The fields of a JSON object as they are written.
#[derive(Debug)]
pub struct Fields<'a>(Vec<(Cow<'a, str>, &'a [u8])>);

/// More than one field has the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Doubled;

impl<'a> Fields<'a> {
    /// Returns the fields of an object; `None` if the bytes are no object. A field whose name
    /// can't be read has the empty name.
    pub fn split(bytes: &'a [u8]) -> Option<Fields<'a>> {
        let fields = Scanner::new(bytes).list(b'{', b'}', Scanner::field)?;
        Some(Fields(fields))
    }

    /// Returns the value of a field; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if there are several.
    pub fn get(&self, name: &str) -> Result<Option<&'a [u8]>, Doubled> {
        let mut of_name = self.0.iter().filter(|(field, _)| field == name);
        let value = of_name.next().map(|(_, value)| *value);
        of_name.next().map_or(Ok(value), |_| Err(Doubled))
    }

    /// Returns whether two fields have the same name.
    pub fn has_doubled(&self) -> bool {
        let mut names: Vec<&str> = self.0.iter().map(|(name, _)| name.as_ref()).collect();
        names.sort_unstable();
        !names.is_sorted_by(|a, b| a < b)
    }
}

/// Reads from the start of what is left of the bytes.
struct Scanner<'a> {
    rest: &'a [u8],
}

impl<'a> Scanner<'a> {
    fn new(bytes: &'a [u8]) -> Scanner<'a> {
        Scanner { rest: bytes }
    }

    fn skip_space(&mut self) {
        let is_space = |byte: &u8| matches!(byte, b' ' | b'\t' | b'\n' | b'\r');
        let length = self.rest.iter().take_while(|byte| is_space(byte)).count();
        self.rest = &self.rest[length..];
    }

    /// Skips a byte behind white space, and returns whether it is there.
    fn skip(&mut self, byte: u8) -> bool {
        self.skip_space();
        let rest = self.rest.strip_prefix(&[byte]);
        self.rest = rest.unwrap_or(self.rest);
        rest.is_some()
    }

    /// Returns the parts of the only value there is, an array or an object.
    fn list<T>(
        mut self,
        start: u8,
        end: u8,
        part: impl Fn(&mut Scanner<'a>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let mut parts = Vec::new();
        let mut is_open = self.skip(start).then(|| !self.skip(end))?;
        while is_open {
            parts.push(part(&mut self)?);
            is_open = !self.skip(end);
            if is_open && !self.skip(b',') {
                return None;
            }
        }
        self.skip_space();
        self.rest.is_empty().then_some(parts)
    }

    fn field(&mut self) -> Option<(Cow<'a, str>, &'a [u8])> {
        self.skip_space();
        let name = text(self.take(string_length(self.rest)?)).unwrap_or_default();
        self.skip(b':')
            .then(|| self.value())?
            .map(|value| (name, value))
    }

    /// Returns the next value as it is written.
    fn value(&mut self) -> Option<&'a [u8]> {
        self.skip_space();
        let length = match self.rest.first()? {
            b'"' => string_length(self.rest),
            b'[' | b'{' => list_length(self.rest),
            _ => Some(scalar_length(self.rest)).filter(|length| *length > 0),
        };
        length.map(|length| self.take(length))
    }

    fn take(&mut self, length: usize) -> &'a [u8] {
        let (taken, rest) = self.rest.split_at(length);
        self.rest = rest;
        taken
    }
}

/// Returns the text of a JSON string; `None` if it can't be read.
fn text(bytes: &[u8]) -> Option<Cow<'_, str>> {
    let plain = serde_json::from_slice(bytes).map(Cow::Borrowed);
    plain
        .or_else(|_| serde_json::from_slice(bytes).map(Cow::Owned))
        .ok()
}

/// Returns the length of the string at the start of `bytes`; `None` if it isn't closed.
fn string_length(bytes: &[u8]) -> Option<usize> {
    let mut at = bytes.starts_with(b"\"").then_some(1)?;
    loop {
        match bytes.get(at)? {
            b'"' => return Some(at + 1),
            b'\\' => at += 2,
            _ => at += 1,
        }
    }
}

/// Returns the length of the array or object at the start of `bytes`; `None` if it isn't
/// closed.
fn list_length(bytes: &[u8]) -> Option<usize> {
    let (mut at, mut depth) = (0, 0_usize);
    loop {
        match bytes.get(at)? {
            b'"' => {
                at += string_length(&bytes[at..])?;
                continue;
            }
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth -= 1,
            _ => {}
        }
        at += 1;
        if depth == 0 {
            return Some(at);
        }
    }
}

/// Returns the length of the number or word at the start of `bytes`.
fn scalar_length(bytes: &[u8]) -> usize {
    let ends = |byte: &u8| {
        matches!(
            byte,
            b',' | b']' | b'}' | b':' | b'"' | b' ' | b'\t' | b'\n' | b'\r'
        )
    };
    bytes.iter().take_while(|byte| !ends(byte)).count()
}
