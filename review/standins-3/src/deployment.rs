//! What each play starts: a store and machines.

use crate::machine::{Machine, Ports, hosts};
use crate::record::Record;
use crate::store::Store;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Time within which all machines have to be ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Zones of the machines and engines, in their order.
pub const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// The surroundings of a play.
pub struct Deployment {
    /// What was sent, answered and run.
    pub record: Arc<Record>,
    /// The platform's store.
    pub store: Store,
    /// Address of the stand-ins.
    pub own_host: String,
    program: PathBuf,
    folder: PathBuf,
    machine_hosts: Vec<Ipv4Addr>,
}

impl Deployment {
    /// Returns the surroundings of a play, for the program of the deploy file and with settings
    /// files in a folder.
    pub fn new(
        program: &Path,
        folder: &Path,
        record: Arc<Record>,
        machines: u8,
        stale_age: Duration,
    ) -> Option<Deployment> {
        let mut machine_hosts = hosts(machines + 1);
        let own_host = machine_hosts.pop()?.to_string();
        Some(Deployment {
            record,
            store: Store::start(&own_host, stale_age),
            own_host,
            program: program.into(),
            folder: folder.into(),
            machine_hosts,
        })
    }

    /// Starts the machines, which reach the store at an address, and waits until all are ready;
    /// `None` if they don't get ready.
    pub fn start_machines(&self, store: SocketAddr) -> Option<Vec<Machine>> {
        let hosts = &self.machine_hosts;
        let ports = Ports::find(hosts);
        let machines = hosts.iter().zip(ZONES).map(|(host, zone)| {
            let name = format!("edge-alamo-{zone}");
            let place = (*host, ports);
            Machine::new(&self.folder, &self.program, &name, place, hosts, store)
        });
        let mut machines: Vec<Machine> = machines.collect();
        for machine in &mut machines {
            machine.start();
        }
        let ready_by = Instant::now() + READY_TIME;
        while !machines.iter().all(Machine::is_ready) {
            if Instant::now() > ready_by {
                self.record.add("the machines aren't ready");
                return None;
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record.add("all machines are ready");
        Some(machines)
    }
}
