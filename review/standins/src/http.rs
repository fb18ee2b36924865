//! Messages of HTTP/1.1 as the stand-ins read and write them.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Names on the wire, by the names that the stand-ins use.
const NAMES: &str = include_str!("../wire.txt");

/// Returns a name on the wire.
pub fn wire(name: &str) -> &'static str {
    let mut names = NAMES.lines().filter_map(|line| line.split_once('='));
    let found = names.find(|(key, _)| *key == name);
    found.map_or("", |(_, value)| value)
}

/// First line and fields of a message, with the names of the fields in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        let mut fields = self.fields.iter();
        fields
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.as_str())
    }

    /// Returns the value of a field, empty if there is none.
    pub fn text(&self, name: &str) -> String {
        self.field(name).unwrap_or("").to_owned()
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            return Ok(Some(head));
        };
        let field = (name.to_ascii_lowercase(), value.trim().to_owned());
        head.fields.push(field);
    }
}

/// Reads the body of a message with this head.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.field("transfer-encoding") != Some("chunked") {
        let length = head
            .field("content-length")
            .and_then(|text| text.parse().ok());
        body.resize(length.unwrap_or(0), 0);
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let start = body.len();
        body.resize(start + length, 0);
        reader.read_exact(&mut body[start..])?;
        reader.read_line(&mut line)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Returns the bytes of a response with a length.
pub fn response(status: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(
    ip: &str,
    serve_connection: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((ip, 0))?;
    let address = listener.local_addr()?;
    let serve_connection = Arc::new(serve_connection);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve_connection = serve_connection.clone();
            // Ends with an error if the other side closes the connection.
            thread::spawn(move || drop(serve_connection(stream)));
        }
    });
    Ok(address)
}

/// Sends a request on a new connection and returns the status of the whole answer; 0 if there
/// is none within the time.
pub fn exchange(address: SocketAddr, request: &[u8], within: Duration) -> u16 {
    try_exchange(address, request, within).unwrap_or(0)
}

fn try_exchange(address: SocketAddr, request: &[u8], within: Duration) -> io::Result<u16> {
    let until = Instant::now() + within;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(within))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut reader, &head)?;
    if Instant::now() > until {
        return Err(io::ErrorKind::TimedOut.into());
    }
    let status = head.first_line.split(' ').nth(1);
    status
        .and_then(|text| text.parse().ok())
        .ok_or(io::ErrorKind::InvalidData.into())
}
