use {
    super::Args,
    derive_more::{Display, Error},
    mangowalk_core::{
        admission::{AdmissionProfile, AdmissionSettings},
        config::Freshness,
        placement::PlacementSettings,
    },
    std::net::SocketAddr,
};

/// Checked settings of one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Address for callers, which is also reported to them.
    pub caller_address: SocketAddr,
    /// Address for other instances, which is also reported to them.
    pub peer_address: SocketAddr,
    /// Address of the platform's object API.
    pub platform_address: SocketAddr,
    /// Failure domain of this instance.
    pub failure_domain: String,
    /// Peer addresses to try, so that peers are found while the platform is down.
    pub seed_peers: Vec<SocketAddr>,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum number of concurrently open requests.
    pub max_open_requests: usize,
    /// Maximum duration of a request.
    pub request_timeout_ms: u64,
    /// Maximum wait for an engine's first token, after which the request is sent to
    /// another engine.
    pub first_token_timeout_ms: u64,
    /// Maximum time without progress of a caller that sends its request or reads
    /// its answer, and maximum time to send a whole request body.
    pub caller_timeout_ms: u64,
    /// Maximum time between two tokens of an engine, after which the request
    /// resumes at another engine.
    pub token_timeout_ms: u64,
    /// Maximum time that a shutdown waits for open requests.
    pub drain_timeout_ms: u64,
    /// Objective of admission when every engine is full.
    pub favour: AdmissionProfile,
    /// Time that an engine takes to compute one block of 64 prompt tokens that it
    /// has not cached, in microseconds.
    pub compute_block_us: u64,
    /// Minimum time for which a departing instance still serves callers.
    pub depart_grace_ms: u64,
    /// Time for which records are used while neither the platform nor peers are
    /// reachable.
    pub stale_config_ms: u64,
    /// Address for operators. `None` if the instance doesn't listen to them.
    pub operator_address: Option<SocketAddr>,
    /// Address of a statsd daemon. `None` if no metrics are sent.
    pub statsd_address: Option<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Settings {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        Settings {
            caller_address: loopback,
            peer_address: loopback,
            platform_address: loopback,
            failure_domain: "default".to_owned(),
            seed_peers: Vec::new(),
            max_body_bytes: 1 << 20,
            max_open_requests: 1_000,
            request_timeout_ms: 120_000,
            first_token_timeout_ms: 20_000,
            caller_timeout_ms: 10_000,
            token_timeout_ms: 5_000,
            drain_timeout_ms: 150_000,
            favour: AdmissionProfile::FirstToken,
            compute_block_us: 2_000,
            depart_grace_ms: 12_000,
            stale_config_ms: Freshness::DEFAULT_LIMIT_MS,
            operator_address: None,
            statsd_address: None,
        }
    }
}

/// Reason why settings are refused. Each message says what to change.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum SettingsError {
    /// An address that a process must connect to is unspecified, such as 0.0.0.0.
    #[display(
        "{flag} is {address}, which others can't reach; give the IP number of one interface."
    )]
    Unspecified {
        /// Flag.
        flag: &'static str,
        /// Address given.
        address: SocketAddr,
    },
    /// An address that a process must connect to has port 0.
    #[display("{flag} is {address}; give a port above 0, since port 0 can't be connected to.")]
    NoPort {
        /// Flag.
        flag: &'static str,
        /// Address given.
        address: SocketAddr,
    },
    /// Two flags have the same address.
    #[display("{flag} and {other} are both {address}; give two ports.")]
    SameAddress {
        /// Flag.
        flag: &'static str,
        /// Earlier flag with this address.
        other: &'static str,
        /// Address of both flags.
        address: SocketAddr,
    },
    /// A name is empty or contains whitespace.
    #[display("{flag} is {text:?}; give a name without blanks, such as a rack's or a room's.")]
    Name {
        /// Flag.
        flag: &'static str,
        /// Text given.
        text: String,
    },
    /// A timeout within a request is longer than the timeout of the request.
    #[display("{flag} is above --request-timeout-ms; give fewer milliseconds, or raise that.")]
    LongerThanRequest {
        /// Flag.
        flag: &'static str,
    },
    /// A number is 0.
    #[display("{flag} is 0; give a number above 0.")]
    Zero {
        /// Flag.
        flag: &'static str,
    },
    /// An item of the list of seed peers can't be parsed.
    #[display(
        "--seed-peers holds {text:?}, which is not an IP number and port; write it as 10.0.0.2:7001."
    )]
    SeedPeer {
        /// Item of the list that can't be parsed.
        text: String,
    },
}

impl Settings {
    /// Checks the arguments and returns the settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first argument that can't be used.
    pub fn check(args: &Args) -> Result<Settings, SettingsError> {
        check_own_addresses(args)?;
        check_reachable("--platform-address", args.platform_address)?;
        if let Some(address) = args.statsd_address {
            check_reachable("--statsd-address", address)?;
        }
        check_name("--failure-domain", &args.failure_domain)?;
        check_above_zero("--max-body-bytes", args.max_body_bytes as u64)?;
        check_above_zero("--max-open-requests", args.max_open_requests as u64)?;
        check_above_zero("--request-timeout-ms", args.request_timeout_ms)?;
        check_above_zero("--first-token-timeout-ms", args.first_token_timeout_ms)?;
        check_above_zero("--caller-timeout-ms", args.caller_timeout_ms)?;
        check_above_zero("--token-timeout-ms", args.token_timeout_ms)?;
        check_above_zero("--drain-timeout-ms", args.drain_timeout_ms)?;
        let part = |flag, time_ms| check_within_request(flag, time_ms, args);
        part("--first-token-timeout-ms", args.first_token_timeout_ms)?;
        part("--token-timeout-ms", args.token_timeout_ms)?;
        check_above_zero("--compute-block-us", args.compute_block_us)?;
        check_above_zero("--stale-config-ms", args.stale_config_ms)?;
        Ok(Settings {
            caller_address: args.caller_address,
            peer_address: args.peer_address,
            platform_address: args.platform_address,
            failure_domain: args.failure_domain.clone(),
            seed_peers: parse_seed_peers(&args.seed_peers)?,
            max_body_bytes: args.max_body_bytes,
            max_open_requests: args.max_open_requests,
            request_timeout_ms: args.request_timeout_ms,
            first_token_timeout_ms: args.first_token_timeout_ms,
            caller_timeout_ms: args.caller_timeout_ms,
            token_timeout_ms: args.token_timeout_ms,
            drain_timeout_ms: args.drain_timeout_ms,
            favour: args.favour,
            compute_block_us: args.compute_block_us,
            depart_grace_ms: args.depart_grace_ms,
            stale_config_ms: args.stale_config_ms,
            operator_address: args.operator_address,
            statsd_address: args.statsd_address,
        })
    }
}

impl Settings {
    /// Returns the settings of placement.
    pub fn placement(&self) -> PlacementSettings {
        PlacementSettings {
            miss_us: self.compute_block_us as f64,
            ..PlacementSettings::default()
        }
    }

    /// Returns the settings of admission.
    pub fn admission(&self) -> AdmissionSettings {
        AdmissionSettings::for_profile(self.favour)
    }
}

/// Checks the addresses that this instance listens on. They must be reachable and
/// differ from each other.
fn check_own_addresses(args: &Args) -> Result<(), SettingsError> {
    let mut seen: Vec<(&'static str, SocketAddr)> = Vec::new();
    let all = [
        ("--caller-address", Some(args.caller_address)),
        ("--peer-address", Some(args.peer_address)),
        ("--operator-address", args.operator_address),
    ];
    for (flag, address) in all {
        let Some(address) = address else { continue };
        check_reachable(flag, address)?;
        if let Some((other, _)) = seen.iter().find(|(_, a)| *a == address) {
            return Err(SettingsError::SameAddress {
                flag,
                other,
                address,
            });
        }
        seen.push((flag, address));
    }
    Ok(())
}

/// Checks that an address can be connected to: it has a host and a port.
fn check_reachable(flag: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    if address.ip().is_unspecified() {
        return Err(SettingsError::Unspecified { flag, address });
    }
    if address.port() == 0 {
        return Err(SettingsError::NoPort { flag, address });
    }
    Ok(())
}

fn check_name(flag: &'static str, text: &str) -> Result<(), SettingsError> {
    if text.is_empty() || text.chars().any(char::is_whitespace) {
        return Err(SettingsError::Name {
            flag,
            text: text.to_owned(),
        });
    }
    Ok(())
}

fn check_within_request(
    flag: &'static str,
    time_ms: u64,
    args: &Args,
) -> Result<(), SettingsError> {
    if time_ms > args.request_timeout_ms {
        return Err(SettingsError::LongerThanRequest { flag });
    }
    Ok(())
}

fn check_above_zero(flag: &'static str, number: u64) -> Result<(), SettingsError> {
    if number == 0 {
        return Err(SettingsError::Zero { flag });
    }
    Ok(())
}

fn parse_seed_peers(text: &str) -> Result<Vec<SocketAddr>, SettingsError> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(|part| {
            part.parse().map_err(|_| SettingsError::SeedPeer {
                text: part.to_owned(),
            })
        })
        .collect()
}
