use {
    chunked_transfer::Encoder,
    serde::Serialize,
    std::io::{self, Write},
    tiny_http::Request,
};

/// Writes server-sent events, each at once.
///
/// The encoder flushes after each write: the server's own chunked writer
/// gathers kilobytes first, and a token would wait for those behind it.
pub(super) struct SseWriter {
    encoder: Option<Encoder<Box<dyn Write + Send>>>,
}

impl SseWriter {
    /// Writes the head of the response.
    pub(super) fn start(request: Request, request_id: &str) -> io::Result<SseWriter> {
        let mut writer = request.into_writer();
        write!(
            writer,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n\
             x-request-id: {request_id}\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        Ok(SseWriter {
            encoder: Some(Encoder::with_flush_after_write(writer)),
        })
    }

    /// Writes one event.
    pub(super) fn event(&mut self, body: &impl Serialize) -> io::Result<()> {
        let text = serde_json::to_string(body).map_err(io::Error::other)?;
        self.write(&format!("data: {text}\n\n"))
    }

    /// Writes the marker that the answer is complete, and ends the body.
    pub(super) fn done(&mut self) -> io::Result<()> {
        self.write("data: [DONE]\n\n")?;
        self.end()
    }

    /// Ends the body.
    pub(super) fn end(&mut self) -> io::Result<()> {
        // Dropping the encoder writes the last chunk.
        self.encoder = None;
        Ok(())
    }

    fn write(&mut self, text: &str) -> io::Result<()> {
        match &mut self.encoder {
            Some(encoder) => encoder.write_all(text.as_bytes()),
            None => Err(io::Error::from(io::ErrorKind::BrokenPipe)),
        }
    }
}
