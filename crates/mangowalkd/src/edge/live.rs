use {
    super::{HttpEngines, HttpPlatform, HttpServices, MonotonicClock, NngPeers},
    mangowalk_core::edge::Edges,
    std::net::SocketAddr,
};

/// The edges of a running instance.
pub struct LiveEdges {
    clock: MonotonicClock,
    platform: HttpPlatform,
    engines: HttpEngines,
    services: HttpServices,
    peers: NngPeers,
}

impl LiveEdges {
    /// Returns edges towards a platform.
    pub fn new(platform: SocketAddr) -> LiveEdges {
        LiveEdges {
            clock: MonotonicClock::default(),
            platform: HttpPlatform::new(platform),
            engines: HttpEngines,
            services: HttpServices,
            peers: NngPeers::default(),
        }
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
