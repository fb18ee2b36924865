use {
    super::Instance,
    std::{collections::BTreeSet, net::SocketAddr},
};

/// The instance's paths to the engines, and where callers may connect.
impl Instance {
    /// Returns the sorted addresses at which callers may connect: those of live
    /// peers that report to be ready, and of this instance if it is ready.
    ///
    /// Instances that are cut off from all services are left out, unless all are.
    pub fn caller_addresses(&self, now_ms: u64) -> Vec<SocketAddr> {
        let services = self.routed_services();
        let members = self.members.borrow();
        let peer_paths = self.peer_paths.borrow();
        let mut ready: Vec<(SocketAddr, bool)> = members
            .live(&self.settings.mesh, now_ms)
            .map(|member| &member.last_heartbeat)
            .filter(|heartbeat| heartbeat.ready)
            .map(|heartbeat| {
                let name = &heartbeat.name;
                let mut services = services.iter();
                let is_cut = services.all(|service| peer_paths.is_cut(name, service, now_ms));
                (heartbeat.caller_address, is_cut)
            })
            .collect();
        if self.is_ready() {
            let is_cut = self.cut_services(now_ms).len() == services.len();
            ready.push((self.machine().caller_address, is_cut));
        }
        let are_all_cut = ready.iter().all(|(_, is_cut)| *is_cut);
        let listed = ready
            .into_iter()
            .filter(|(_, is_cut)| are_all_cut || !is_cut);
        let mut addresses: Vec<SocketAddr> = listed.map(|(address, _)| address).collect();
        addresses.sort();
        addresses
    }

    /// Returns whether the path to the engines of all routed services is lost.
    pub fn reaches_no_engine(&self) -> bool {
        let paths = self.service_paths.borrow();
        let services = self.routed_services();
        !services.is_empty() && services.iter().all(|service| paths.is_lost(service))
    }

    /// Returns whether this instance reaches none or less than half of the engines of a
    /// service.
    pub fn is_cut_off(&self, service: &str, now_ms: u64) -> bool {
        let is_lost = self.service_paths.borrow().is_lost(service);
        is_lost || self.engines.borrow().is_mostly_silent(service, now_ms)
    }

    /// Returns the routed services of whose engines this instance reaches none or less
    /// than half.
    pub fn cut_services(&self, now_ms: u64) -> Vec<String> {
        let mut services = self.routed_services();
        services.retain(|service| self.is_cut_off(service, now_ms));
        services.into_iter().collect()
    }

    /// Returns the engines that peers should take for silent. Those of services from
    /// which this instance is cut off may be well.
    pub fn reported_silent_engines(&self, now_ms: u64) -> Vec<String> {
        let cut_services = self.cut_services(now_ms);
        let engines = self.engines.borrow();
        let silent = engines
            .silent_engines()
            .map(|engine| &engine.entry)
            .filter(|entry| !cut_services.contains(&entry.service));
        silent.map(|entry| entry.incarnation.id.clone()).collect()
    }

    /// Returns the names of the services to which requests are routed.
    pub fn routed_services(&self) -> BTreeSet<String> {
        let routes = self.routes.borrow();
        let routes = routes.configuration().routes.iter();
        let shares = routes.flat_map(|route| &route.services);
        shares.map(|share| share.service.clone()).collect()
    }
}
