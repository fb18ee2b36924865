use {bpaf::Bpaf, mangowalk_core::admission::AdmissionProfile, std::net::SocketAddr};

/// Routes language-model traffic with long shared prompts to engines.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Args {
    /// Address for callers, as IP number and port. Callers are told this
    /// address, so it can't be 0.0.0.0.
    #[bpaf(long, env("MANGOWALK_CALLER_ADDRESS"), argument("IP:PORT"))]
    pub caller_address: SocketAddr,

    /// Address for other instances, as IP number and port.
    #[bpaf(long, env("MANGOWALK_PEER_ADDRESS"), argument("IP:PORT"))]
    pub peer_address: SocketAddr,

    /// Address of the platform's object API.
    #[bpaf(long, env("MANGOWALK_PLATFORM_ADDRESS"), argument("IP:PORT"))]
    pub platform_address: SocketAddr,

    /// Failure domain of this instance.
    #[bpaf(long, env("MANGOWALK_FAILURE_DOMAIN"), argument("NAME"))]
    pub failure_domain: String,

    /// Peer addresses to try at start while the platform is down, separated
    /// by commas.
    #[bpaf(
        long,
        env("MANGOWALK_SEED_PEERS"),
        argument("IP:PORT,..."),
        fallback(String::new())
    )]
    pub seed_peers: String,

    /// Largest request body, in bytes.
    #[bpaf(
        long,
        env("MANGOWALK_MAX_BODY_BYTES"),
        argument("BYTES"),
        fallback(1_048_576),
        display_fallback
    )]
    pub max_body_bytes: usize,

    /// Most requests open at once in this instance.
    #[bpaf(
        long,
        env("MANGOWALK_MAX_OPEN_REQUESTS"),
        argument("COUNT"),
        fallback(1_000),
        display_fallback
    )]
    pub max_open_requests: usize,

    /// Longest time that a request may take, in milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_REQUEST_TIMEOUT_MS"),
        argument("MS"),
        fallback(120_000),
        display_fallback
    )]
    pub request_timeout_ms: u64,

    /// Longest wait for an engine's first token before the request is sent
    /// elsewhere, in milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_FIRST_TOKEN_TIMEOUT_MS"),
        argument("MS"),
        fallback(20_000),
        display_fallback
    )]
    pub first_token_timeout_ms: u64,

    /// Longest silence of a caller that sends its request or reads its
    /// answer, in milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_CALLER_TIMEOUT_MS"),
        argument("MS"),
        fallback(10_000),
        display_fallback
    )]
    pub caller_timeout_ms: u64,

    /// Longest silence of an engine before the request resumes elsewhere, in
    /// milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_TOKEN_TIMEOUT_MS"),
        argument("MS"),
        fallback(5_000),
        display_fallback
    )]
    pub token_timeout_ms: u64,

    /// Longest time that a shutdown waits for open requests, in milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_DRAIN_TIMEOUT_MS"),
        argument("MS"),
        fallback(150_000),
        display_fallback
    )]
    pub drain_timeout_ms: u64,

    /// What counts most when every engine is full: `first-token` (the tail of
    /// the time to first token) or `worst-team` (the worst-served team, and
    /// few refusals).
    #[bpaf(
        long,
        env("MANGOWALK_FAVOUR"),
        argument("PROFILE"),
        fallback(AdmissionProfile::FirstToken),
        display_fallback
    )]
    pub favour: AdmissionProfile,

    /// Time that an engine takes to compute one block of 64 prompt tokens that
    /// it has not cached, in microseconds.
    #[bpaf(
        long,
        env("MANGOWALK_COMPUTE_BLOCK_US"),
        argument("US"),
        fallback(2_000),
        display_fallback
    )]
    pub compute_block_us: u64,

    /// Time for which a departing instance still takes callers who kept its
    /// address, in milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_DEPART_GRACE_MS"),
        argument("MS"),
        fallback(12_000),
        display_fallback
    )]
    pub depart_grace_ms: u64,

    /// Time for which an instance that reaches neither the platform nor its
    /// peers uses the records it holds, in milliseconds.
    #[bpaf(
        long,
        env("MANGOWALK_STALE_CONFIG_MS"),
        argument("MS"),
        fallback(900_000),
        display_fallback
    )]
    pub stale_config_ms: u64,

    /// Address for operators, as IP number and port: status, health and
    /// explanations. Without it the client can't show this instance.
    #[bpaf(long, env("MANGOWALK_OPERATOR_ADDRESS"), argument("IP:PORT"), optional)]
    pub operator_address: Option<SocketAddr>,

    /// Address of a statsd daemon that metrics are sent to over UDP.
    #[bpaf(long, env("MANGOWALK_STATSD_ADDRESS"), argument("IP:PORT"), optional)]
    pub statsd_address: Option<SocketAddr>,

    /// Check the settings and exit.
    #[bpaf(long)]
    pub check: bool,
}
