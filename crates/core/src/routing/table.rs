use {
    super::{Configuration, MostUrgent, Route, Service, Tenant, urgency},
    std::{collections::HashMap, rc::Rc},
};

/// Why a request is not routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route matches the host and path.
    NoRoute,
    /// The route requires a key, and the request has none or an unknown one.
    BadKey,
}

/// A configuration, indexed by host and key.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    /// Routes by lowercase host, the longest path prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
    by_key: HashMap<String, Rc<Tenant>>,
    most_urgent: HashMap<String, MostUrgent>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> RouteTable {
        let mut by_host: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &configuration.routes {
            by_host
                .entry(route.host.to_ascii_lowercase())
                .or_default()
                .push(Rc::new(route.clone()));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let mut by_key = HashMap::new();
        for tenant in &configuration.tenants {
            let tenant = Rc::new(tenant.clone());
            for key in &tenant.keys {
                by_key.insert(key.clone(), tenant.clone());
            }
        }
        RouteTable {
            most_urgent: most_urgent(&configuration),
            configuration,
            by_host,
            by_key,
        }
    }

    /// Returns the version of the configuration; 0 before any is known.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the indexed configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Returns the most urgent requests that a service may get; `None` if no route leads to it.
    pub fn most_urgent(&self, service: &str) -> Option<MostUrgent> {
        self.most_urgent.get(service).copied()
    }

    /// Returns the route and team of a request. The team is `None` if the route
    /// is anonymous or there are no teams. The host may include a port.
    ///
    /// # Errors
    ///
    /// [`RouteError::NoRoute`] if no route matches, [`RouteError::BadKey`] if
    /// the key is missing or unknown.
    pub fn admit(
        &self,
        host: &str,
        path: &str,
        key: Option<&str>,
    ) -> Result<(Rc<Route>, Option<Rc<Tenant>>), RouteError> {
        let name = host.split(':').next().unwrap_or("").to_ascii_lowercase();
        let routes = self.by_host.get(&name).ok_or(RouteError::NoRoute)?;
        let route = routes
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
            .ok_or(RouteError::NoRoute)?;
        if self.configuration.tenants.is_empty() || route.anonymous {
            return Ok((route.clone(), None));
        }
        let tenant = key
            .and_then(|key| self.by_key.get(key))
            .ok_or(RouteError::BadKey)?;
        Ok((route.clone(), Some(tenant.clone())))
    }
}

fn most_urgent(configuration: &Configuration) -> HashMap<String, MostUrgent> {
    let mut by_service: HashMap<String, MostUrgent> = HashMap::new();
    for route in &configuration.routes {
        let has_no_team = route.anonymous || configuration.tenants.is_empty();
        let teams = configuration.tenants.iter().filter(|_| !has_no_team);
        let without_team = has_no_team.then(|| urgency(None, route.priority));
        let ranks = teams.map(|team| urgency(team.priority, route.priority));
        let Some(urgency) = ranks.chain(without_team).min() else {
            continue;
        };
        let target_ms = route.target_ms;
        let own = MostUrgent { urgency, target_ms };
        for share in &route.services {
            let known = by_service.entry(share.service.clone()).or_insert(own);
            *known = own.min(*known);
        }
    }
    by_service
}
