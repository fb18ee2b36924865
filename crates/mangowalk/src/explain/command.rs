use {
    crate::{
        cli::{Common, common},
        failure::Failure,
        fleet::{call, instances},
        output::Table,
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::status::{ExplainReply, ExplainRequest},
    std::net::SocketAddr,
};

/// Arguments of `explain`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Explain {
    #[bpaf(external(common))]
    common: Common,

    /// Operator address of the instance to ask; without it the first that the
    /// platform lists.
    #[bpaf(long, argument("IP:PORT"), optional)]
    instance: Option<SocketAddr>,

    /// Team that would send the request.
    #[bpaf(long, argument("NAME"))]
    team: String,

    /// Model that it would ask for.
    #[bpaf(long, argument("NAME"))]
    model: String,

    /// Most tokens of the answer.
    #[bpaf(long, argument("COUNT"), fallback(256), display_fallback)]
    max_tokens: u32,

    /// Prompt, as the engine would get it
    #[bpaf(positional("PROMPT"))]
    prompt: String,
}

impl Explain {
    /// Asks one instance for its decision on a request, and prints the decision
    /// with its reasons.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Incomplete`] if the instance does not answer or no
    /// instance has an operator address.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let address = self.address()?;
        let request = ExplainRequest {
            team: self.team.clone(),
            model: self.model.clone(),
            prompt: self.prompt.clone(),
            max_tokens: self.max_tokens,
        };
        let body = serde_json::to_string(&request).unwrap_or_default();
        let reply: ExplainReply =
            call(address, "/explain", Some(&body)).map_err(|why| Failure::Incomplete {
                detail: format!("The instance at {address} did not explain ({why})"),
            })?;
        self.common.output().print(&reply, &text(&reply));
        Ok(())
    }

    /// Returns the address given by `--instance`, else that of the first listed
    /// instance with an operator address.
    fn address(&self) -> Result<SocketAddr, Report<Failure>> {
        if let Some(address) = self.instance {
            return Ok(address);
        }
        let instances = instances(&self.common.platform())?;
        let address = instances.iter().find_map(|i| i.operator_address);
        address.ok_or_else(|| {
            Report::new(Failure::Incomplete {
                detail: "No instance is listed with an operator address".to_owned(),
            })
        })
    }
}

/// Returns the decision, its steps and the candidate engines as text.
fn text(reply: &ExplainReply) -> String {
    let decision = match (&reply.engine, &reply.refusal) {
        (Some(engine), _) => format!("It would go to {engine}."),
        (None, Some(refusal)) => format!("It would be refused: {refusal}"),
        (None, None) => "No decision was made.".to_owned(),
    };
    let mut lines = vec![decision, String::new()];
    lines.extend(reply.steps.iter().cloned());
    if !reply.candidates.is_empty() {
        let mut table = Table::new(&["ENGINE", "USABLE", "WHY"]);
        for candidate in &reply.candidates {
            let usable = if candidate.usable { "yes" } else { "no" };
            table.row(vec![
                candidate.engine.clone(),
                usable.to_owned(),
                candidate.reason.clone(),
            ]);
        }
        lines.push(String::new());
        lines.push(table.text());
    }
    lines.join("\n")
}
