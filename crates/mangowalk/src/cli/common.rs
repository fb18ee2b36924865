use {
    crate::output::Output,
    bpaf::{Bpaf, Parser, positional},
    mangowalk_core::record::Kind,
    mangowalkd::edge::HttpPlatform,
    std::net::SocketAddr,
};

/// Flags of every command that uses the platform.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct Common {
    /// Address of the platform's object API.
    #[bpaf(long, env("MANGOWALK_PLATFORM_ADDRESS"), argument("IP:PORT"))]
    pub(crate) platform_address: SocketAddr,

    /// Print JSON for programs.
    #[bpaf(long)]
    pub(crate) json: bool,
}

impl Common {
    /// Returns a client of the platform.
    pub(crate) fn platform(&self) -> HttpPlatform {
        HttpPlatform::for_operator(self.platform_address)
    }

    /// Returns the printer of results.
    pub(crate) fn output(&self) -> Output {
        Output { json: self.json }
    }
}

/// Returns the parser of the positional argument `KIND`, which shells complete.
pub(crate) fn kind() -> impl Parser<Kind> {
    positional::<String>("KIND")
        .help("Kind of record: team, rate, key, model or upstream")
        .complete(complete_kind)
        .parse(|text| {
            Kind::from_name(&text)
                .filter(|kind| Kind::WRITTEN_BY_OPERATORS.contains(kind))
                .ok_or("no such kind; give team, rate, key, model or upstream")
        })
}

fn complete_kind(typed: &String) -> Vec<(String, Option<String>)> {
    Kind::WRITTEN_BY_OPERATORS
        .into_iter()
        .map(|k| k.to_string())
        .filter(|name| name.starts_with(typed))
        .map(|name| (name, None))
        .collect()
}
