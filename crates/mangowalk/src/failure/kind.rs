use {
    derive_more::{Display, Error},
    mangowalk_core::{edge::PlatformError, platform::ObjectKey, record::RecordError},
};

/// Why a command failed. Each message says what to do.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub(crate) enum Failure {
    /// The platform gave no answer; nothing was written.
    #[display(
        "The platform was not reached; check --platform-address and the platform's health. Nothing was written."
    )]
    PlatformUnreachable,
    /// A write was sent, its reply was lost, and it can't be read back whether the
    /// write took effect.
    #[display(
        "Whether {}/{} was written is not known; run the command again once the platform answers, it writes nothing twice.",
        key.kind, key.name
    )]
    UnknownOutcome {
        /// Key of the record.
        key: ObjectKey,
    },
    /// No log line has the ID of the request.
    #[display(
        "None of {lines} log lines names request {request}; give the logs of all instances around its time. A line that is missing may have been dropped: look for dropped_lines."
    )]
    RequestNotLogged {
        /// ID of the request.
        request: String,
        /// Number of log lines that were read.
        lines: usize,
    },
    /// The platform refused a call.
    #[display("The platform refused with status {status}; check the request and its limits.")]
    PlatformRefused {
        /// HTTP status.
        status: u16,
    },
    /// The platform holds another version than the expected one, such as after
    /// a write of another operator.
    #[display(
        "{}/{} is at version {version} by now; nothing of yours was written. Read it with `mangowalk show {} {}` and decide again.",
        key.kind, key.name, key.kind, key.name
    )]
    Conflict {
        /// Key of the record.
        key: ObjectKey,
        /// Version that the platform holds, 0 if there is none.
        version: u64,
    },
    /// The record of a file differs from the stored one, and the file doesn't
    /// give the version that it is based on.
    #[display(
        "{}/{} exists at version {version} and differs. Put \"version\": {version} beside its name to change just that, or give --overwrite.",
        key.kind, key.name
    )]
    VersionRequired {
        /// Key of the record.
        key: ObjectKey,
        /// Version that the platform holds.
        version: u64,
    },
    /// A record did not pass its check; nothing was sent.
    #[display("{}/{} was refused, nothing was sent. {error}", key.kind, key.name)]
    InvalidRecord {
        /// Key of the record.
        key: ObjectKey,
        /// The reason, and how to correct the record.
        error: RecordError,
    },
    /// A file or argument can't be read as records.
    #[display("{what} can't be used: {detail}; nothing was sent. See docs/records.md.")]
    InvalidInput {
        /// File or argument.
        what: String,
        /// The reason.
        detail: String,
    },
    /// There is no such record.
    #[display("There is no {}/{}; `mangowalk list {}` shows the names.", key.kind, key.name, key.kind)]
    RecordNotFound {
        /// Key of the record.
        key: ObjectKey,
    },
    /// Some instances did not answer or are behind.
    #[display("{detail}. Check these instances, or withdraw them from the list if they are gone.")]
    Incomplete {
        /// Which instances, and what is missing.
        detail: String,
    },
    /// No instance answered the request.
    #[display("{detail}")]
    NotAnswered {
        /// What went wrong, and what to do.
        detail: String,
    },
}

impl Failure {
    /// Returns the exit code, as listed in the help.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Failure::PlatformRefused { .. }
            | Failure::RecordNotFound { .. }
            | Failure::RequestNotLogged { .. } => 1,
            Failure::InvalidRecord { .. } | Failure::InvalidInput { .. } => 3,
            Failure::Conflict { .. } | Failure::VersionRequired { .. } => 4,
            Failure::PlatformUnreachable | Failure::UnknownOutcome { .. } => 5,
            Failure::Incomplete { .. } => 6,
            Failure::NotAnswered { .. } => 7,
        }
    }

    /// Converts the error of a platform call that wrote nothing. Every error
    /// but a refusal counts as an unreachable platform.
    pub(crate) fn from_platform_error(error: &PlatformError) -> Failure {
        match error {
            PlatformError::Refused { status } => Failure::PlatformRefused { status: *status },
            _ => Failure::PlatformUnreachable,
        }
    }
}
