use {
    super::{BuildReadings, Instance, OpenQuestions},
    mangowalk_core::origin::{
        BuildsByService, EngineBuild, ListedBuilds, OriginAnswer, OriginQuestion, OriginRecords,
        OriginSettings, ReadingAnswer, StreamKey, StreamOrigin,
    },
    mangowalk_platform::Freshness,
    std::{
        cell::{OnceCell, RefCell},
        net::IpAddr,
        rc::Rc,
    },
    tokio::net::UdpSocket,
};

/// Where streams began, as far as this instance knows, and its questions to peers.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    /// Records of the instance's own streams and of those that peers told it of.
    pub records: RefCell<OriginRecords>,
    /// Builds in the engine list.
    pub listed_builds: RefCell<ListedBuilds>,
    /// Questions to peers of what they know of a stream.
    pub open_questions: OpenQuestions<OriginAnswer>,
    /// Questions to peers of what the store names.
    pub open_readings: OpenQuestions<ReadingAnswer>,
    /// Readings of the builds that are kept in the store.
    pub readings: BuildReadings,
    socket: OnceCell<Rc<UdpSocket>>,
}

impl StreamOrigins {
    /// Returns the state of an instance that starts; `is_first_start` tells whether the
    /// whole fleet starts for the first time.
    pub fn new(is_first_start: bool) -> StreamOrigins {
        let listed_builds = match is_first_start {
            true => ListedBuilds::of_first_start(),
            false => ListedBuilds::default(),
        };
        StreamOrigins {
            listed_builds: RefCell::new(listed_builds),
            ..StreamOrigins::default()
        }
    }

    /// Sets the socket on which peers are told and asked.
    pub fn use_socket(&self, socket: Rc<UdpSocket>) {
        // It is set once, before the instance serves.
        let _ = self.socket.set(socket);
    }

    /// Returns the socket on which peers are told and asked; `None` before the start.
    pub fn socket(&self) -> Option<&UdpSocket> {
        self.socket.get().map(Rc::as_ref)
    }

    /// Records where a stream began.
    pub fn record(
        &self,
        key: StreamKey,
        build: EngineBuild,
        settings: &OriginSettings,
        now_ms: u64,
    ) {
        let mut records = self.records.borrow_mut();
        records.record(key, StreamOrigin::Build(build), settings, now_ms);
    }

    fn answer(
        &self,
        question: &OriginQuestion,
        settings: &OriginSettings,
        reads_current: bool,
        max_list_age_ms: u64,
        now_ms: u64,
    ) -> OriginAnswer {
        let records = self.records.borrow();
        let origin = question
            .key
            .and_then(|key| records.origin(key, settings, now_ms));
        let listed_builds = self.listed_builds.borrow();
        OriginAnswer {
            number: question.number,
            origin,
            service_builds: listed_builds.of_service(
                &question.service,
                settings,
                max_list_age_ms,
                now_ms,
            ),
            reads_current,
        }
    }
}

impl Instance {
    /// Returns what this instance knows of a stream.
    pub fn answer_origin(&self, question: &OriginQuestion, now_ms: u64) -> OriginAnswer {
        let settings = &self.settings;
        let reads_current = self.freshness(now_ms) == Freshness::Current;
        let max_list_age_ms = settings.max_list_age_ms();
        let origins = &settings.origins;
        self.origins
            .answer(question, origins, reads_current, max_list_age_ms, now_ms)
    }

    /// Returns the builds that each service has had lately; `None` if some may be missing.
    pub fn known_builds(&self, now_ms: u64) -> Option<BuildsByService> {
        let builds = self.origins.listed_builds.borrow();
        let settings = &self.settings;
        builds.known(&settings.origins, settings.max_list_age_ms(), now_ms)
    }

    /// Sets which engines have a build that is kept in the store, and returns whether all
    /// have. New streams begin at these only: see [`ListedBuilds::is_kept`].
    pub fn assign_kept_builds(&self) -> bool {
        let builds = self.origins.listed_builds.borrow();
        let mut engines = self.engines.borrow_mut();
        engines.assign_kept_builds(|engine| builds.is_kept(&engine.entry.service, engine.build))
    }

    /// Records which builds are kept in the store.
    pub fn record_kept_builds(&self, kept: &BuildsByService, now_ms: u64) {
        let mut builds = self.origins.listed_builds.borrow_mut();
        builds.set_kept(kept.clone());
        drop(builds);
        self.assign_kept_builds();
        self.waiting.wake(now_ms);
    }

    /// Returns whether a peer has this address.
    pub fn is_peer_address(&self, address: IpAddr) -> bool {
        let members = self.members.borrow();
        let mut peers = members.iter();
        peers.any(|member| member.last_heartbeat.peer_address.ip() == address)
    }
}
