use {
    super::reply::ResponseHeaders,
    chunked_transfer::Encoder,
    serde::Serialize,
    std::io::{self, Write},
    tiny_http::Request,
};

/// A comment line, which every reader of server-sent events ignores.
const COMMENT: &str = ": waiting\n\n";

/// Writes server-sent events and flushes each one.
///
/// Two buffers would otherwise delay a token until later tokens fill them. The
/// encoder flushes its own after each write, but never the one of the server
/// below it, which holds one kilobyte.
pub(super) struct SseWriter {
    encoder: Option<Encoder<Box<dyn Write + Send>>>,
}

impl SseWriter {
    /// Writes the head of the response and returns the writer of its events.
    pub(super) fn start(request: Request, head: &ResponseHeaders) -> io::Result<SseWriter> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             Transfer-Encoding: chunked\r\n"
        )?;
        for (name, value) in head.headers() {
            write!(writer, "{name}: {value}\r\n")?;
        }
        writer.write_all(b"\r\n")?;
        Ok(SseWriter {
            encoder: Some(Encoder::with_flush_after_write(writer)),
        })
    }

    /// Writes one event.
    pub(super) fn event(&mut self, body: &impl Serialize) -> io::Result<()> {
        let text = serde_json::to_string(body).map_err(io::Error::other)?;
        self.write(&format!("data: {text}\n\n"))
    }

    /// Writes a comment, which fails if the caller has disconnected.
    pub(super) fn comment(&mut self) -> io::Result<()> {
        self.write(COMMENT)
    }

    /// Writes the `[DONE]` event of a complete answer, and ends the body.
    pub(super) fn done(&mut self) -> io::Result<()> {
        self.write("data: [DONE]\n\n")?;
        self.end();
        Ok(())
    }

    /// Ends the body.
    pub(super) fn end(&mut self) {
        // Dropping the encoder writes the last chunk.
        self.encoder = None;
    }

    fn write(&mut self, text: &str) -> io::Result<()> {
        match &mut self.encoder {
            Some(encoder) => {
                encoder.write_all(text.as_bytes())?;
                encoder.get_mut().flush()
            }
            None => Err(io::Error::from(io::ErrorKind::BrokenPipe)),
        }
    }
}
