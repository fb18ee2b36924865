use {
    serde::Serialize,
    std::{
        collections::HashMap,
        io::Write,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread,
        time::Duration,
    },
    tiny_http::{Header, Request, Response},
};

/// Attempts to bind a port that is still in use, over about 2 s.
const MAX_BIND_ATTEMPTS: u32 = 100;
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// An HTTP server that handles each request on a thread of its own.
///
/// Dropping it stops it; another one can then be started on the same port.
pub(crate) struct Server {
    address: SocketAddr,
    inner: Arc<tiny_http::Server>,
}

impl Server {
    /// Starts a server at an address; port 0 lets the system choose a port.
    pub(crate) fn start(
        bind: SocketAddr,
        handler: impl Fn(Exchange) + Send + Sync + 'static,
    ) -> Server {
        let listener = bind_with_retries(bind);
        let address = listener.local_addr().expect("a bound listener");
        let inner = Arc::new(tiny_http::Server::from_listener(listener, None).expect("a server"));
        let server = inner.clone();
        let handler = Arc::new(handler);
        thread::spawn(move || {
            for request in server.incoming_requests() {
                let handler = handler.clone();
                thread::spawn(move || handler(Exchange::new(request)));
            }
        });
        Server { address, inner }
    }

    /// Returns the address at which the server listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Binds a listener, and retries while the port is in use.
///
/// The listener of a crashed engine may still be open when the engine restarts
/// on the same port.
///
/// # Panics
///
/// Panics if the port is still in use after the last attempt.
fn bind_with_retries(bind: SocketAddr) -> TcpListener {
    for _ in 0..MAX_BIND_ATTEMPTS {
        if let Ok(listener) = TcpListener::bind(bind) {
            return listener;
        }
        thread::sleep(BIND_RETRY_INTERVAL);
    }
    panic!("{bind} is still in use; choose another port")
}

impl Drop for Server {
    fn drop(&mut self) {
        self.inner.unblock();
    }
}

/// One request and the means to respond to it.
pub(crate) struct Exchange {
    /// Method, in upper case.
    pub(crate) method: String,
    /// Path without the query.
    pub(crate) path: String,
    /// Parameters of the query.
    pub(crate) query: HashMap<String, String>,
    /// Headers, names in lower case.
    pub(crate) headers: HashMap<String, String>,
    /// Body, up to the first read error.
    pub(crate) body: Vec<u8>,
    request: Request,
}

impl Exchange {
    fn new(mut request: Request) -> Exchange {
        let mut body = Vec::new();
        let _ = request.as_reader().read_to_end(&mut body);
        let (path, query) = split_url(request.url());
        let headers = request
            .headers()
            .iter()
            .map(|h| {
                let name = h.field.as_str().as_str().to_ascii_lowercase();
                (name, h.value.to_string())
            })
            .collect();
        Exchange {
            method: request.method().to_string(),
            path,
            query,
            headers,
            body,
            request,
        }
    }

    /// Returns a query parameter as a number, 0 if it is missing or not a
    /// number.
    pub(crate) fn query_number(&self, name: &str) -> u64 {
        self.query
            .get(name)
            .and_then(|v| v.parse().ok())
            .unwrap_or(0)
    }

    /// Sends a JSON response.
    pub(crate) fn json(self, status: u16, body: &impl Serialize) {
        let text = serde_json::to_string(body).expect("serializable");
        let header = Header::from_bytes("Content-Type", "application/json").expect("a header");
        let response = Response::from_string(text)
            .with_status_code(status)
            .with_header(header);
        let _ = self.request.respond(response);
    }

    /// Refuses the request, with a value of `Retry-After` if there is one.
    pub(crate) fn refuse(self, status: u16, retry_after: Option<&str>) {
        let mut response = Response::from_string("{}").with_status_code(status);
        if let Some(value) = retry_after {
            response.add_header(Header::from_bytes("Retry-After", value).expect("a header"));
        }
        let _ = self.request.respond(response);
    }

    /// Closes the connection without a response. The client must have sent
    /// `Connection: close`.
    pub(crate) fn close_without_response(self) {
        drop(self.request.into_writer());
    }

    /// Starts a streamed response and returns the writer of its body.
    pub(crate) fn stream(self) -> impl Write + Send {
        let mut writer = self.request.into_writer();
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\
                    Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
        let _ = writer.write_all(head.as_bytes());
        let _ = writer.flush();
        ChunkWriter { writer }
    }
}

/// Writes the bytes of each call as one chunk of a chunked body.
///
/// Only an empty write sends the final chunk, so that a crash leaves the body
/// incomplete.
struct ChunkWriter {
    writer: Box<dyn Write + Send>,
}

impl Write for ChunkWriter {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        write!(self.writer, "{:x}\r\n", bytes.len())?;
        self.writer.write_all(bytes)?;
        self.writer.write_all(b"\r\n")?;
        self.writer.flush()?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        self.writer.flush()
    }
}

fn split_url(url: &str) -> (String, HashMap<String, String>) {
    let (path, query) = url.split_once('?').unwrap_or((url, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(k, v)| (k.to_owned(), v.to_owned()))
        .collect();
    (path.to_owned(), query)
}
