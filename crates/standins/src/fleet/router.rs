use {
    super::{Answer, free_address},
    nix::{
        sys::signal::{Signal, kill},
        unistd::Pid,
    },
    std::{
        io::{BufRead, BufReader},
        net::SocketAddr,
        process::{Child, ChildStderr, Command, ExitStatus, Stdio},
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

/// Readiness checks before a test fails, over at least 10 s.
const MAX_READY_CHECKS: u32 = 500;
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A router that runs as a process of its own. Dropping it kills the process.
pub struct RouterProcess {
    program: String,
    args: Vec<String>,
    address: SocketAddr,
    peer_address: SocketAddr,
    child: Option<Child>,
    log: Arc<Mutex<String>>,
}

impl RouterProcess {
    /// Starts a router on free ports, with `extra_args` after the default
    /// arguments.
    pub fn start(program: &str, platform: SocketAddr, extra_args: &[&str]) -> RouterProcess {
        let address = free_address();
        let peer_address = free_address();
        let mut args = vec![
            format!("--caller-address={address}"),
            format!("--peer-address={peer_address}"),
            format!("--platform-address={platform}"),
        ];
        if !extra_args.iter().any(|a| a.starts_with("--failure-domain")) {
            args.push("--failure-domain=a".to_owned());
        }
        args.extend(extra_args.iter().map(|a| (*a).to_owned()));
        let mut router = RouterProcess {
            program: program.to_owned(),
            args,
            address,
            peer_address,
            child: None,
            log: Arc::default(),
        };
        router.restart();
        router
    }

    /// Returns the address at which callers reach the router.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address at which peers reach the router.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Starts a new process with the same arguments and addresses. Does not end
    /// one that still runs.
    pub fn restart(&mut self) {
        let mut child = Command::new(&self.program)
            .args(&self.args)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the router's program");
        if let Some(stderr) = child.stderr.take() {
            let log = self.log.clone();
            thread::spawn(move || collect_log(stderr, &log));
        }
        self.child = Some(child);
    }

    /// Returns the lines that the router has logged so far, over all restarts.
    pub fn log(&self) -> String {
        self.log.lock().expect("the log").clone()
    }

    /// Waits until `/ready` returns 200.
    ///
    /// # Panics
    ///
    /// Panics if the router does not become ready in time.
    pub fn wait_ready(&self) {
        for _ in 0..MAX_READY_CHECKS {
            if Answer::get(self.address, "/ready", &[]).status == 200 {
                return;
            }
            thread::sleep(READY_CHECK_INTERVAL);
        }
        panic!(
            "the router at {} did not become ready in time; see its log",
            self.address
        );
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM, on which the router drains and stops.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits until the process has ended. Returns `None` if there is none.
    pub fn wait(&mut self) -> Option<ExitStatus> {
        self.child.take().and_then(|mut child| child.wait().ok())
    }

    /// Returns the process ID, `None` if the process was killed or waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }
}

/// Appends the process's log lines to `log` and prints them to the test's own
/// standard error.
fn collect_log(stderr: ChildStderr, log: &Mutex<String>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        eprintln!("{line}");
        let mut log = log.lock().expect("the log");
        log.push_str(&line);
        log.push('\n');
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}
