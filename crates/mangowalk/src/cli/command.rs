use {
    super::completion::{Completion, completion},
    crate::{
        ask::{Ask, ask},
        burn::{Burn, burn},
        explain::{Explain, explain},
        failure::Failure,
        fleet::{Fleet, fleet},
        keys::{IssueKey, WithdrawKey, issue_key, withdraw_key},
        records::{Apply, List, Set, Show, Withdraw, apply, list, set, show, withdraw},
        story::{Story, story},
    },
    bpaf::Bpaf,
    error_stack::Report,
};

/// Writes and shows the records that drive mangowalk, and reports on the fleet.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done, 1 failed, 2 usage, 3 bad record or file, 4 conflict, 5 platform not reached, 6 some instance did not answer, 7 the request was not answered."
    )
)]
pub(super) enum Command {
    /// Write the records of files.
    #[bpaf(command)]
    Apply(#[bpaf(external(apply))] Apply),
    /// Change fields of one record.
    #[bpaf(command)]
    Set(#[bpaf(external(set))] Set),
    /// Withdraw one record.
    #[bpaf(command)]
    Withdraw(#[bpaf(external(withdraw))] Withdraw),
    /// List records.
    #[bpaf(command)]
    List(#[bpaf(external(list))] List),
    /// Show one record, in the form that `apply` reads.
    #[bpaf(command)]
    Show(#[bpaf(external(show))] Show),
    /// Issue and withdraw keys.
    #[bpaf(command)]
    Key(#[bpaf(external(key_command))] KeyCommand),
    /// Show instances, upstreams, and what configuration is in force.
    #[bpaf(command)]
    Fleet(#[bpaf(external(fleet))] Fleet),
    /// Tell what an instance would do with a request, and why.
    #[bpaf(command)]
    Explain(#[bpaf(external(explain))] Explain),
    /// Report on service-level burn, per team and objective.
    #[bpaf(command)]
    Burn(#[bpaf(external(burn))] Burn),
    /// Send a chat request and print the answer as it streams.
    #[bpaf(command)]
    Ask(#[bpaf(external(ask))] Ask),
    /// Tell from logs on standard input what became of a request, and why.
    #[bpaf(command)]
    Story(#[bpaf(external(story))] Story),
    /// Print the completion script of a shell.
    #[bpaf(command)]
    Completion(#[bpaf(external(completion))] Completion),
}

/// Commands on keys.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) enum KeyCommand {
    /// Issue a key of a team and show it once.
    #[bpaf(command)]
    Issue(#[bpaf(external(issue_key))] IssueKey),
    /// Withdraw a key.
    #[bpaf(command)]
    Withdraw(#[bpaf(external(withdraw_key))] WithdrawKey),
}

impl Command {
    /// Runs the command.
    pub(super) fn run(&self) -> Result<(), Report<Failure>> {
        match self {
            Command::Apply(args) => args.run(),
            Command::Set(args) => args.run(),
            Command::Withdraw(args) => args.run(),
            Command::List(args) => args.run(),
            Command::Show(args) => args.run(),
            Command::Key(KeyCommand::Issue(args)) => args.run(),
            Command::Key(KeyCommand::Withdraw(args)) => args.run(),
            Command::Fleet(args) => args.run(),
            Command::Explain(args) => args.run(),
            Command::Burn(args) => args.run(),
            Command::Ask(args) => args.run(),
            Command::Story(args) => args.run(),
            Command::Completion(args) => {
                args.run();
                Ok(())
            }
        }
    }
}
