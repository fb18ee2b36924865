//! A machine of the system: the project's program as a process on a loopback address.

use crate::http::exchange;
use crate::names::wire;
use std::fs;
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Ports of all machines of a case.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    first: u16,
}

/// Number of ports between machines.
const INTERNAL_PORTS: u16 = 16;

impl Ports {
    /// Returns ports that are free at all of the addresses.
    pub fn find(hosts: &[Ipv4Addr]) -> Ports {
        let firsts = (20_000..30_000).step_by(32);
        let is_free = |first: u16| {
            hosts.iter().all(|host| {
                (first..first + INTERNAL_PORTS + 4)
                    .all(|port| TcpListener::bind((*host, port)).is_ok())
            })
        };
        let offset = std::process::id() as usize % 300;
        let first = firsts
            .cycle()
            .skip(offset)
            .take(312)
            .find(|first| is_free(*first));
        Ports {
            first: first.expect("ports are free"),
        }
    }
}

/// A machine with one process of the system, which is killed when it is dropped.
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    host: Ipv4Addr,
    ports: Ports,
    program: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

impl Machine {
    /// Writes the settings file of a machine in a folder and starts nothing.
    pub fn new(
        folder: &Path,
        program: &Path,
        name: &str,
        (host, ports): (Ipv4Addr, Ports),
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> Machine {
        let first = ports.first;
        let [front, ready, control, directory] = [0, 1, 2, 3].map(|n| first + INTERNAL_PORTS + n);
        let seeds: Vec<String> = seeds
            .iter()
            .map(|seed| format!("{seed}:{control}"))
            .collect();
        let zone = format!("alamo-{}", name.rsplit('-').next().unwrap_or("a"));
        let text = format!(
            "NodeName={name}\nRole=router\nMachineClass=edge\nServes=edge,control_plane,directory\n\
             Ip={host}\nZone={zone}\nRegion=south-texas\nListen.Front={host}:{front}\n\
             Listen.Ready={host}:{ready}\nListen.Control={host}:{control}\n\
             Listen.Directory={host}:{directory}\nInternalPorts={first},{}\nSeeds={}\n\
             Bootstrap=true\nLossCounted=false\nLimits.CpuShare=0.25\nLimits.Cores=1\n\
             Limits.MemoryMb=110\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\nLimits.DiskMb=0\n\
             Discovery=platform\nEntry=directory\nHeartbeatMs=1200\n\
             Contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,quota,platform\n\
             Bounds.SeedLagS=3\nBounds.AddrReuseS=2\nBounds.StableWindowMs=3000\nBounds.AckMs=4000\n\
             Bounds.CatchUpS=4\nBounds.DrainMs=2000\nBounds.GraceS=8\nBounds.LossSlackMs=200\n\
             Bounds.ConfigApplyMs=2000\nBounds.BackMs=250\nBounds.MaxSkewMs=5000\n\
             Bounds.StrictRevoke=false\nBounds.RevokeMs=5000\nBounds.RetryBudget=0.2\n\
             Bounds.BudgetWindowS=10\nBounds.RetrySlack=54\nBounds.QuotaWindowS=8\n\
             Bounds.QuotaOverage=0.1\nBounds.QuotaSlack=72000\nBounds.RecoveryS=12\n\
             Bounds.MaxDeliveryMs=120\nBounds.ReuseWindowS=10\nBounds.RequireFence=false\n\
             Bounds.LeaseMs=3000\nBounds.ThawMs=300\nBounds.VersionMs=8000\n\
             Bounds.VersionAllMs=11000\nBounds.ttl_max_s=5\nProvider.Address={store}\n\
             Provider.form=objects\nProvider.WritesPerS=400\nProvider.ReadsPerS=2000\n\
             Provider.HistoryS=20\nProvider.ValueBytes=1048576\nProvider.TtlMinMs=1000\n",
            first + INTERNAL_PORTS - 1,
            seeds.join(","),
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text).expect("the folder is writable");
        Machine {
            name: name.to_owned(),
            host,
            ports,
            program: program.to_owned(),
            settings,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("the folder is writable");
        let errors = log.try_clone().expect("the log can be shared");
        let child = Command::new(&self.program)
            .arg("machine")
            .env(wire("settings"), &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    /// Returns the address to which callers connect.
    pub fn front(&self) -> SocketAddr {
        self.at(0)
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.at(1), Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let text = format!("GET {} HTTP/1.1\r\nHost: r\r\n\r\n", wire("ready"));
        let answer = exchange(&mut BufReader::new(stream), text.as_bytes());
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    fn at(&self, offset: u16) -> SocketAddr {
        SocketAddr::from((self.host, self.ports.first + INTERNAL_PORTS + offset))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns loopback addresses that no other case uses at this time, in all likelihood.
pub fn hosts(count: u8) -> Vec<Ipv4Addr> {
    let process = std::process::id();
    (1..=count)
        .map(|n| {
            Ipv4Addr::new(
                127,
                60 + (process / 250 % 100) as u8,
                (process % 250) as u8,
                n,
            )
        })
        .collect()
}
