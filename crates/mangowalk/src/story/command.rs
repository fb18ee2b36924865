use {
    super::{line::LogLine, timeline::request_timeline},
    crate::failure::Failure,
    bpaf::Bpaf,
    error_stack::Report,
    std::io::{self, BufRead},
};

/// Arguments of `story`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Story {
    /// Request's id, as the caller sent it
    #[bpaf(positional("REQUEST"))]
    request: String,
}

impl Story {
    /// Reads logs from standard input, and prints the timeline of a request
    /// with the cause of its end.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::RequestNotLogged`] if no line has the request's ID.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let lines: Vec<LogLine> = io::stdin()
            .lock()
            .lines()
            .map_while(Result::ok)
            .filter_map(|text| LogLine::parse(&text))
            .collect();
        let timeline =
            request_timeline(&lines, &self.request).ok_or_else(|| Failure::RequestNotLogged {
                request: self.request.clone(),
                lines: lines.len(),
            })?;
        print!("{timeline}");
        Ok(())
    }
}
