//! Cuts between instances, by filters on the sockets of their processes.
//!
//! The test runs the instances as its own children, so it may duplicate their sockets and
//! attach a filter to them without any privilege.

use {
    super::{faults::Span, schedule::PeerCut},
    mangowalk_platform_standins::Machine,
    rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open},
    socket2::{SockFilter, Socket},
    std::{
        fs,
        net::{IpAddr, Ipv4Addr},
        time::{Duration, Instant},
    },
};

/// Interval at which sockets that were opened meanwhile get the filter.
const FILTER_INTERVAL: Duration = Duration::from_millis(20);

/// Instructions of a filter: load a word of the network header, compare, return.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// Position of the source address, from the begin of the network header.
const SOURCE_ADDRESS: u32 = (-0x10_0000_i32 + 12) as u32;

/// Number of current cuts of a machine, by direction.
#[derive(Debug, Clone, Default)]
struct Cuts {
    inbound: usize,
    outbound: usize,
    is_filtered: bool,
}

/// Which machines are cut off from the others.
pub(crate) struct PeerCuts {
    addresses: Vec<Ipv4Addr>,
    cuts: Vec<Cuts>,
    applied_at: Option<Instant>,
    /// Intervals in which a machine was cut off, by machine.
    pub(crate) spans: Vec<Vec<Span>>,
}

impl PeerCuts {
    /// Returns no cuts.
    pub(crate) fn new(machines: &[Machine]) -> PeerCuts {
        PeerCuts {
            addresses: machines.iter().map(address).collect(),
            cuts: vec![Cuts::default(); machines.len()],
            applied_at: None,
            spans: vec![Vec::new(); machines.len()],
        }
    }

    /// # Panics
    ///
    /// Panics if sockets of a machine can't be filtered, so that cuts would do nothing.
    pub(crate) fn assert_possible(machines: &[Machine]) {
        let filtered = machines.iter().map(|machine| attach(machine, &filter(&[])));
        assert!(
            filtered.min() > Some(0),
            "the system denies this process the sockets of its children (pidfd_getfd)"
        );
    }

    /// Begins a cut.
    pub(crate) fn begin(&mut self, machine: usize, cut: PeerCut, now: Instant, for_ms: u64) {
        let to = now + Duration::from_millis(for_ms);
        self.spans[machine].push(Span { from: now, to });
        let cuts = &mut self.cuts[machine];
        cuts.inbound += usize::from(cut != PeerCut::Outbound);
        cuts.outbound += usize::from(cut != PeerCut::Inbound);
        self.applied_at = None;
    }

    /// Ends a cut.
    pub(crate) fn end(&mut self, machine: usize, cut: PeerCut) {
        let cuts = &mut self.cuts[machine];
        cuts.inbound -= usize::from(cut != PeerCut::Outbound);
        cuts.outbound -= usize::from(cut != PeerCut::Inbound);
        self.applied_at = None;
    }

    /// Attaches the filters to all sockets of the machines.
    pub(crate) fn apply(&mut self, machines: &[Machine], now: Instant) {
        if self.applied_at.is_some_and(|at| now < at + FILTER_INTERVAL) {
            return;
        }
        self.applied_at = Some(now);
        for (index, machine) in machines.iter().enumerate() {
            let unheard = self.unheard(index);
            let was_filtered = self.cuts[index].is_filtered;
            self.cuts[index].is_filtered = !unheard.is_empty();
            if was_filtered || !unheard.is_empty() {
                attach(machine, &filter(&unheard));
            }
        }
    }

    /// Returns the addresses of the machines from which nothing reaches this one.
    fn unheard(&self, machine: usize) -> Vec<Ipv4Addr> {
        let others = self.cuts.iter().enumerate();
        let others = others.filter(|(other, _)| *other != machine);
        others
            .filter(|(_, cuts)| self.cuts[machine].inbound > 0 || cuts.outbound > 0)
            .map(|(other, _)| self.addresses[other])
            .collect()
    }
}

fn address(machine: &Machine) -> Ipv4Addr {
    match machine.caller_address().ip() {
        IpAddr::V4(address) => address,
        IpAddr::V6(_) => panic!("machines have IPv4 addresses"),
    }
}

/// Returns a filter that drops packets from some addresses.
fn filter(dropped: &[Ipv4Addr]) -> Vec<SockFilter> {
    let mut filter = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for (index, address) in dropped.iter().enumerate() {
        let to_drop = (dropped.len() - index) as u8;
        filter.push(SockFilter::new(
            JUMP_IF_EQUAL,
            to_drop,
            0,
            (*address).into(),
        ));
    }
    filter.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filter.push(SockFilter::new(RETURN, 0, 0, 0));
    filter
}

/// Attaches a filter to all sockets of a machine's address, and returns their number. A
/// process or socket that ends meanwhile is passed over.
fn attach(machine: &Machine, filter: &[SockFilter]) -> usize {
    let own = IpAddr::V4(address(machine));
    let Some(process) = Pid::from_raw(machine.pid()) else {
        return 0;
    };
    let files = fs::read_dir(format!("/proc/{}/fd", machine.pid()));
    let (Ok(process), Ok(files)) = (pidfd_open(process, PidfdFlags::empty()), files) else {
        return 0;
    };
    let mut attached = 0;
    for file in files.flatten() {
        let number = file.file_name().to_str().and_then(|name| name.parse().ok());
        let is_socket = fs::read_link(file.path())
            .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"));
        let Some(number) = number.filter(|_| is_socket) else {
            continue;
        };
        let Ok(socket) = pidfd_getfd(&process, number, PidfdGetfdFlags::empty()) else {
            continue;
        };
        let socket = Socket::from(socket);
        let local = socket.local_addr().ok().and_then(|local| local.as_socket());
        if local.is_some_and(|local| local.ip() == own) {
            attached += usize::from(socket.attach_filter(filter).is_ok());
        }
    }
    attached
}
