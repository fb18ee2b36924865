use {super::command::command, bpaf::Bpaf};

/// Arguments of `completion`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(super) struct Completion {
    /// Shell: bash, zsh, fish or elvish
    #[bpaf(positional::<String>("SHELL"), parse(parse_shell))]
    shell: Shell,
}

/// Shells for which bpaf generates completion scripts.
const SHELLS: [&str; 4] = ["bash", "zsh", "fish", "elvish"];

#[derive(Debug, Clone)]
struct Shell(String);

impl Shell {
    /// Returns the flag by which bpaf prints the shell's script.
    fn flag(&self) -> String {
        format!("--bpaf-complete-style-{}", self.0)
    }
}

fn parse_shell(text: String) -> Result<Shell, &'static str> {
    if !SHELLS.contains(&text.as_str()) {
        return Err("no such shell; give bash, zsh, fish or elvish");
    }
    Ok(Shell(text))
}

impl Completion {
    /// Prints the script. bpaf ends the process after printing.
    pub(super) fn run(&self) {
        let flags = vec![self.shell.flag()];
        let args = bpaf::Args::from(flags.as_slice()).set_name("mangowalk");
        let _ = command().run_inner(args);
    }
}
