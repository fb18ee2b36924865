//! Messages of HTTP/1.1 on blocking connections.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    /// Headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, of which only the received part may be there.
    pub body: Vec<u8>,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        let mut headers = self.headers.iter();
        headers
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 without one.
    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    /// Returns the path of a request with its query.
    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads the head of a message, or `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.split_whitespace().map(str::to_owned).collect();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some(message));
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads the body behind a head. Without a length or chunks, a request has none, and a
/// response ends with the connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message.header("content-length").map(str::to_owned);
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        let length: usize = length.parse().map_err(io::Error::other)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    message.is_complete = true;
    Ok(())
}

/// Reads a request, or `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Returns a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    text.into_bytes()
}

/// Sends a request and reads its response, of which a part may be missing.
pub fn exchange(reader: &mut BufReader<TcpStream>, request: &[u8]) -> io::Result<Message> {
    reader.get_mut().write_all(request)?;
    let Some(mut message) = read_head(reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    // A body that breaks off leaves the message incomplete.
    let _ = read_body(reader, &mut message, true);
    Ok(message)
}
