use {
    super::reply::Head,
    chunked_transfer::Encoder,
    serde::Serialize,
    std::io::{self, Write},
    tiny_http::Request,
};

/// A line that every reader of server-sent events passes over.
const COMMENT: &str = ": waiting\n\n";

/// Writes server-sent events, each at once.
///
/// Two buffers hold a token back until the tokens behind it fill them. The
/// encoder's own is sent after each write; that of the server below it holds
/// a kilobyte, and the encoder never flushes it.
pub(super) struct SseWriter {
    encoder: Option<Encoder<Box<dyn Write + Send>>>,
}

impl SseWriter {
    /// Writes the head of the response.
    pub(super) fn start(request: Request, head: &Head) -> io::Result<SseWriter> {
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

    /// Writes a line that means nothing, to find out whether the caller is
    /// still there.
    pub(super) fn comment(&mut self) -> io::Result<()> {
        self.write(COMMENT)
    }

    /// Writes the marker that the answer is complete, and ends the body.
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
