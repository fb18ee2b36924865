use {
    super::{line::Line, tell::tell},
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
    /// Reads logs from standard input and tells what became of a request.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let lines: Vec<Line> = io::stdin()
            .lock()
            .lines()
            .map_while(Result::ok)
            .filter_map(|text| Line::parse(&text))
            .collect();
        let story = tell(&lines, &self.request).ok_or_else(|| Failure::NoStory {
            request: self.request.clone(),
            lines: lines.len(),
        })?;
        print!("{story}");
        Ok(())
    }
}
