use {
    super::secret,
    crate::{
        cli::{Common, common},
        failure::Failure,
        fleet::{Wait, wait},
        output::progress,
        records::{RecordFile, put, read},
    },
    bpaf::Bpaf,
    error_stack::Report,
    mangowalk_core::{
        platform::ObjectKey,
        record::{Kind, SCHEMA, digest_of},
    },
    serde::Serialize,
    serde_json::json,
};

/// Number of digest digits in the default name of a key.
const NAME_DIGEST_DIGITS: usize = 8;

/// Arguments of `key issue`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct IssueKey {
    #[bpaf(external(common))]
    common: Common,

    #[bpaf(external(wait))]
    wait: Wait,

    /// Name of the key's record; without it the team's name and a part of the
    /// digest.
    #[bpaf(long, argument("NAME"), optional)]
    name: Option<String>,

    /// Name of the team
    #[bpaf(positional("TEAM"))]
    team: String,
}

/// JSON output of `key issue`.
#[derive(Debug, Serialize)]
struct IssuedKey {
    name: String,
    team: String,
    version: u64,
    key: String,
}

impl IssueKey {
    /// Generates a key, writes its digest to the platform, and prints the key.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::RecordNotFound`] if there is no such team, and
    /// [`Failure::Conflict`] if a key of that name exists.
    pub(crate) fn run(&self) -> Result<(), Report<Failure>> {
        let platform = self.common.platform();
        let team = ObjectKey::new(&Kind::Team.to_string(), &self.team);
        if read(&platform, &team)?.is_none() {
            return Err(Report::new(Failure::RecordNotFound { key: team }));
        }
        let key = secret::generate().map_err(|error| Failure::InvalidInput {
            what: "The system's random generator".to_owned(),
            detail: error.to_string(),
        })?;
        let digest = digest_of(&key);
        let name = self
            .name
            .clone()
            .unwrap_or_else(|| format!("{}-{}", self.team, &digest[..NAME_DIGEST_DIGITS]));
        let file = RecordFile {
            kind: Kind::Key,
            name: name.clone(),
            version: None,
            record: json!({ "schema": SCHEMA, "team": self.team, "digest": digest }),
        };
        file.check()?;
        let version = put(&platform, &file.key(), 0, &file.record)?;
        progress(&format!(
            "Issued key/{name} at version {version}. The key is shown this once; `mangowalk key withdraw {name}` ends it."
        ));
        let issued = IssuedKey {
            name,
            team: self.team.clone(),
            version,
            key,
        };
        self.common.output().print(&issued, &issued.key);
        self.wait.until_in_force(&platform, version)
    }
}
