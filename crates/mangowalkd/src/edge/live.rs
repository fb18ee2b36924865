use {
    super::{HttpEngines, HttpPlatform, HttpServices, MonotonicClock, NngPeers, Traffic},
    mangowalk_core::edge::Edges,
    std::{net::SocketAddr, sync::Arc},
};

/// The edges of a running instance.
pub struct LiveEdges {
    clock: MonotonicClock,
    platform: HttpPlatform,
    engines: HttpEngines,
    services: HttpServices,
    peers: NngPeers,
    traffic: Arc<Traffic>,
}

impl LiveEdges {
    /// Returns edges that use the platform at this address.
    pub fn new(platform: SocketAddr) -> LiveEdges {
        let traffic = Arc::new(Traffic::default());
        LiveEdges {
            clock: MonotonicClock::default(),
            platform: HttpPlatform::new(platform, traffic.clone()),
            engines: HttpEngines::new(traffic.clone()),
            services: HttpServices,
            peers: NngPeers::new(traffic.clone()),
            traffic,
        }
    }
}

impl LiveEdges {
    /// Returns the counters of the instance's control traffic.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }
}

impl Edges for LiveEdges {
    type Clock = MonotonicClock;
    type Platform = HttpPlatform;
    type Engines = HttpEngines;
    type Services = HttpServices;
    type Peers = NngPeers;

    fn clock(&self) -> &MonotonicClock {
        &self.clock
    }

    fn platform(&self) -> &HttpPlatform {
        &self.platform
    }

    fn engines(&self) -> &HttpEngines {
        &self.engines
    }

    fn services(&self) -> &HttpServices {
        &self.services
    }

    fn peers(&self) -> &NngPeers {
        &self.peers
    }
}
