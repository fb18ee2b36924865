use {
    super::{Configuration, Route, Service, Tenant},
    std::{collections::HashMap, rc::Rc},
};

/// Why a request may not be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteError {
    /// No route fits host and path.
    NoRoute,
    /// The route wants a key, and none that is known came.
    BadKey,
}

/// A configuration, prepared for look-ups.
#[derive(Debug, Default)]
pub struct RouteTable {
    configuration: Configuration,
    /// Routes of a host, the longest prefix first.
    by_host: HashMap<String, Vec<Rc<Route>>>,
    by_key: HashMap<String, Rc<Tenant>>,
}

impl RouteTable {
    /// Prepares a configuration.
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
            configuration,
            by_host,
            by_key,
        }
    }

    /// Returns the version in force; 0 where none is known.
    pub fn version(&self) -> u64 {
        self.configuration.version
    }

    /// Returns the configuration that was prepared.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns a service by name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.configuration
            .services
            .iter()
            .find(|service| service.name == name)
    }

    /// Returns route and team of a request. The host may carry a port.
    ///
    /// # Errors
    ///
    /// Fails where no route fits, or the key isn't known.
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
