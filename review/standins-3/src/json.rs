//! Finds fields in JSON texts, which are kept as they were sent.

/// Returns the end of the value that begins at `at`.
fn value_end(text: &[u8], mut at: usize) -> Option<usize> {
    let mut depth = 0;
    loop {
        match *text.get(at)? {
            b'"' => {
                at += 1;
                while *text.get(at)? != b'"' {
                    at += if text[at] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
        if depth == 0 && at == text.len() {
            return Some(at);
        }
    }
}

/// Returns the text of a field at the top level of an object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = text.find('{')? + 1;
    loop {
        let key_start = at + text.get(at..)?.find('"')? + 1;
        let key_end = key_start + text[key_start..].find('"')?;
        let value_start = key_end + text[key_end..].find(':')? + 1;
        let end = value_end(bytes, value_start)?;
        if &text[key_start..key_end] == name {
            return Some(text[value_start..end].trim());
        }
        if bytes.get(end) != Some(&b',') {
            return None;
        }
        at = end + 1;
    }
}

/// Returns the content of a text field, without escapes.
pub fn text_field(text: &str, name: &str) -> Option<String> {
    Some(field(text, name)?.trim_matches('"').to_owned())
}

/// Returns a whole number.
pub fn number_field(text: &str, name: &str) -> Option<u64> {
    field(text, name)?.parse().ok()
}
