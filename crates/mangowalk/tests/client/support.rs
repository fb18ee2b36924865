//! Runs the client's binary as an operator would, and starts fleets for it.

use {
    mangowalk_standins::{Fleet, FleetSettings, PlatformStandIn, RouterProcess, free_address},
    serde_json::Value,
    std::{
        fmt,
        io::Write,
        net::SocketAddr,
        path::Path,
        process::{Command, Stdio},
        thread,
        time::Duration,
    },
};

/// Maximum number of runs by [`eventually`].
const MAX_POLLS: u32 = 100;
/// Pause between two runs by [`eventually`].
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Exit code and output of a run of the client.
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl Run {
    /// Returns standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|e| panic!("{e}: {self}"))
    }
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "exit code {}", self.code)?;
        writeln!(f, "--- output\n{}", self.stdout.trim_end())?;
        write!(f, "--- messages\n{}", self.stderr.trim_end())
    }
}

/// The client with its environment variables, set up for one platform.
pub(crate) struct Client {
    variables: Vec<(&'static str, String)>,
}

impl Client {
    pub(crate) fn new(platform: SocketAddr) -> Client {
        Client {
            variables: vec![("MANGOWALK_PLATFORM_ADDRESS", platform.to_string())],
        }
    }

    /// Returns the client with one more environment variable.
    pub(crate) fn with(mut self, name: &'static str, value: &str) -> Client {
        self.variables.push((name, value.to_owned()));
        self
    }

    /// Runs the client.
    pub(crate) fn run(&self, args: &[&str]) -> Run {
        self.run_with_input(args, "")
    }

    /// Runs the client with text on its standard input.
    pub(crate) fn run_with_input(&self, args: &[&str], input: &str) -> Run {
        let mut child = Command::new(env!("CARGO_BIN_EXE_mangowalk"))
            .args(args)
            .env_clear()
            .envs(self.variables.iter().map(|(n, v)| (*n, v)))
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the client's program");
        let mut stdin = child.stdin.take().expect("standard input");
        // The write fails if the client refuses its arguments and exits without
        // reading.
        let _ = stdin.write_all(input.as_bytes());
        drop(stdin);
        let output = child.wait_with_output().expect("the client's end");
        Run {
            code: output.status.code().unwrap_or(-1),
            stdout: String::from_utf8_lossy(&output.stdout).into_owned(),
            stderr: String::from_utf8_lossy(&output.stderr).into_owned(),
        }
    }
}

/// Starts a platform on a free port.
pub(crate) fn platform() -> PlatformStandIn {
    PlatformStandIn::start(([127, 0, 0, 1], 0).into())
}

/// Returns the path of the router's binary. `cargo test --workspace` builds it
/// next to the client's; `cargo test -p mangowalk` doesn't and may use an
/// outdated one.
pub(crate) fn router_program() -> String {
    let program = Path::new(env!("CARGO_BIN_EXE_mangowalk")).with_file_name("mangowalkd");
    assert!(
        program.exists(),
        "mangowalkd is not built; run `cargo build --workspace` first"
    );
    program.display().to_string()
}

/// Starts a fleet of routers with operator addresses, and waits until they are
/// ready.
pub(crate) fn fleet(routers: usize, settings: FleetSettings) -> Fleet {
    let mut fleet = Fleet::start(&FleetSettings {
        routers: 0,
        ..settings
    });
    for _ in 0..routers {
        let operators = format!("--operator-address={}", free_address());
        let platform = fleet.platform.address();
        let router = RouterProcess::start(&router_program(), platform, &[&operators]);
        fleet.routers.push(router);
    }
    for router in &fleet.routers {
        router.wait_ready();
    }
    fleet
}

/// Returns a client of a fleet that sends requests as the team `gallery`.
pub(crate) fn client_of(fleet: &Fleet) -> Client {
    Client::new(fleet.platform.address())
        .with(
            "MANGOWALK_URL",
            &format!("http://{}", fleet.routers[0].address()),
        )
        .with("MANGOWALK_KEY", Fleet::KEY)
}

/// Repeats a command until its result is the expected one: routers list
/// themselves and receive records shortly after they start. Panics if the
/// result never is.
pub(crate) fn eventually(run: impl Fn() -> Run, is_expected: impl Fn(&Run) -> bool) -> Run {
    let mut last = run();
    for _ in 0..MAX_POLLS {
        if is_expected(&last) {
            return last;
        }
        thread::sleep(POLL_INTERVAL);
        last = run();
    }
    panic!("the expected result never came; the last was {last}");
}

/// Waits until `instances` instances are listed and have all records in force.
pub(crate) fn wait_until_in_force(fleet: &Fleet, instances: usize) {
    let client = client_of(fleet);
    eventually(
        || client.run(&["fleet"]),
        |run| run.stdout.matches("in force").count() == instances,
    );
}

/// Compares a run with its snapshot; addresses and keys are replaced first.
macro_rules! assert_run {
    ($run:expr) => {{
        let mut settings = insta::Settings::clone_current();
        settings.add_filter(r"127\.0\.0\.1:\d+", "[ADDRESS]");
        settings.add_filter(r"mw-[0-9a-f]{64}", "[KEY]");
        settings.bind(|| insta::assert_snapshot!($run.to_string()));
    }};
}

pub(crate) use assert_run;
