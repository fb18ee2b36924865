//! A fleet whose instances tell each other of streams, and are killed.

use {
    super::build,
    mangowalk_core::origin::{
        EngineBuild, OriginMessage, OriginRecords, OriginSettings, StreamKey, StreamOrigin, owners,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::{collections::BTreeSet, fmt::Write},
};

const SIZES: [usize; 4] = [7, 100, 300, 987];

/// Streams that an instance begins in a second, and those of a whole fleet in the test.
const STREAMS_PER_S: f64 = 20.0;
const STREAMS: usize = 3_000;

/// Bytes of the headers of a datagram over IPv4.
const DATAGRAM_HEADER_BYTES: usize = 28;

pub(super) struct Instance {
    name: String,
    records: OriginRecords,
    pub(super) is_up: bool,
}

pub(super) struct Fleet {
    pub(super) instances: Vec<Instance>,
    settings: OriginSettings,
    pub(super) rng: SmallRng,
}

/// What became of streams that were taken up.
#[derive(Debug, Default, PartialEq, Eq)]
struct Outcome {
    taken_up: usize,
    goes_on: usize,
    at_another_build: usize,
}

impl Fleet {
    pub(super) fn new(size: usize, seed: u64) -> Fleet {
        let instances = (0..size).map(|number| Instance {
            name: format!("edge-{number}"),
            records: OriginRecords::default(),
            is_up: true,
        });
        Fleet {
            instances: instances.collect(),
            settings: OriginSettings::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn owners(&self, asking: usize, key: StreamKey, count: usize) -> Vec<usize> {
        let peers = self.instances.iter().enumerate();
        let peers = peers.filter(|(number, instance)| *number != asking && instance.is_up);
        let names = peers.clone().map(|(_, instance)| instance.name.as_str());
        let owners: BTreeSet<&str> = owners(key, names, count).into_iter().collect();
        let owning = peers.filter(|(_, instance)| owners.contains(instance.name.as_str()));
        owning.map(|(number, _)| number).collect()
    }

    /// Begins a stream at an instance; each message is lost with a probability.
    pub(super) fn begin(&mut self, at: usize, key: StreamKey, build: EngineBuild, loss: f64) {
        let told = self.owners(at, key, self.settings.told_peers);
        for number in [at].into_iter().chain(told) {
            if number != at && self.rng.random_bool(loss) {
                continue;
            }
            let records = &mut self.instances[number].records;
            records.record(key, StreamOrigin::Build(build), &self.settings, 0);
        }
    }

    /// Returns the record of a stream that an instance or, if it hears them, one of the peers
    /// that it asks has.
    pub(super) fn record(
        &self,
        asking: usize,
        key: StreamKey,
        hears_peers: bool,
    ) -> Option<StreamOrigin> {
        let asked_peers = if hears_peers {
            self.settings.asked_peers
        } else {
            0
        };
        let asked = self.owners(asking, key, asked_peers);
        let mut known = [asking].into_iter().chain(asked).filter_map(|number| {
            let records = &self.instances[number].records;
            records.origin(key, &self.settings, 1)
        });
        known.next()
    }

    fn find(&self, asking: usize, key: StreamKey) -> Option<EngineBuild> {
        match self.record(asking, key, true) {
            Some(StreamOrigin::Build(build)) => Some(build),
            _ => None,
        }
    }

    pub(super) fn kill(&mut self, ratio: f64) {
        let mut numbers: Vec<usize> = (0..self.instances.len()).collect();
        numbers.shuffle(&mut self.rng);
        let killed = (numbers.len() as f64 * ratio).round() as usize;
        for number in numbers.into_iter().take(killed) {
            self.instances[number].is_up = false;
        }
    }

    fn restart(&mut self) {
        for instance in self.instances.iter_mut().filter(|instance| !instance.is_up) {
            instance.is_up = true;
            instance.records = OriginRecords::default();
        }
    }

    /// Begins streams at two builds, kills some instances, and takes the streams of these
    /// up at others.
    fn play(&mut self, killed_ratio: f64, restarts: bool, loss: f64) -> Outcome {
        let streams: Vec<(usize, StreamKey, EngineBuild)> = (0..STREAMS)
            .map(|stream| {
                let at = self.rng.random_range(0..self.instances.len());
                let key = StreamKey::new("team", &stream.to_string());
                let software = if self.rng.random_bool(0.5) {
                    "v1"
                } else {
                    "v2"
                };
                (at, key, build(software))
            })
            .collect();
        for &(at, key, build) in &streams {
            self.begin(at, key, build, loss);
        }
        self.kill(killed_ratio);
        let broken: Vec<_> = streams
            .into_iter()
            .filter(|(at, _, _)| !self.instances[*at].is_up)
            .collect();
        let mut survivors: Vec<usize> = (0..self.instances.len())
            .filter(|number| self.instances[*number].is_up)
            .collect();
        if restarts {
            self.restart();
            survivors = (0..self.instances.len()).collect();
        }
        let mut outcome = Outcome::default();
        for (_, key, build) in broken {
            let asking = survivors[self.rng.random_range(0..survivors.len())];
            let found = self.find(asking, key);
            outcome.taken_up += 1;
            outcome.goes_on += usize::from(found == Some(build));
            outcome.at_another_build += usize::from(found.is_some_and(|found| found != build));
        }
        outcome
    }
}

/// Guards against streams that are lost, or go on at another software version, when much
/// of the fleet is killed at once.
#[test]
fn most_streams_of_killed_instances_go_on_at_their_builds() {
    let mut report = String::new();
    for size in SIZES {
        for (name, killed_ratio, restarts, loss) in [
            ("a tenth killed", 0.1, false, 0.0),
            ("half killed", 0.5, false, 0.0),
            ("half killed, back empty", 0.5, true, 0.0),
            ("half killed, 5% of messages lost", 0.5, false, 0.05),
            ("six of ten killed", 0.6, false, 0.0),
        ] {
            let outcome = Fleet::new(size, 1).play(killed_ratio, restarts, loss);
            assert_eq!(outcome.at_another_build, 0, "{size}: {name}");
            assert!(
                outcome.goes_on * 2 >= outcome.taken_up,
                "{size}: {name}: {outcome:?}"
            );
            let ratio = outcome.goes_on as f64 / outcome.taken_up as f64;
            writeln!(report, "{size} instances, {name}: {ratio:.2} go on").expect("it fits");
        }
    }
    insta::assert_snapshot!(report);
}

/// Guards against a cost of streams that grows with the fleet.
#[test]
fn what_an_instance_sends_and_keeps_depends_on_its_own_streams() {
    let mut report = String::new();
    let message = OriginMessage::Began {
        key: StreamKey::new("team", "1"),
        build: build("v1"),
    };
    let bytes = message.encode().expect("it encodes").len() + DATAGRAM_HEADER_BYTES;
    for size in SIZES {
        let mut fleet = Fleet::new(size, 2);
        let mut sent = 0;
        for stream in 0..STREAMS {
            let key = StreamKey::new("team", &stream.to_string());
            let at = stream % size;
            sent += fleet.owners(at, key, fleet.settings.told_peers).len();
            fleet.begin(at, key, build("v1"), 0.0);
        }
        let kept = fleet
            .instances
            .iter()
            .map(|instance| instance.records.len());
        let per_stream = kept.sum::<usize>() as f64 / STREAMS as f64;
        let bytes_per_s = sent as f64 / STREAMS as f64 * bytes as f64 * STREAMS_PER_S;
        let kept_s = fleet.settings.keep_ms as f64 / 1_000.0;
        writeln!(
            report,
            "{size} instances: {bytes_per_s:.0} B/s sent and received, {:.0} records kept each",
            per_stream * STREAMS_PER_S * kept_s,
        )
        .expect("it fits");
    }
    insta::assert_snapshot!(report);
}

/// Guards against records that fill the memory of an instance.
#[test]
fn records_are_bounded_in_number_and_time() {
    let settings = OriginSettings::default();
    let mut records = OriginRecords::default();
    let key = |number: u64| StreamKey::new("team", &number.to_string());
    for number in 0..40_000 {
        let origin = StreamOrigin::Build(build("v1"));
        records.record(key(number), origin, &settings, number / 100);
    }
    assert_eq!(records.len(), settings.max_records);
    assert_eq!(records.origin(key(0), &settings, 400), None);
    assert!(records.origin(key(39_999), &settings, 400).is_some());
    let late_ms = 400 + settings.keep_ms;
    assert_eq!(records.origin(key(39_999), &settings, late_ms), None);
    records.record(key(1), StreamOrigin::Build(build("v1")), &settings, late_ms);
    assert_eq!(records.len(), 1);
}
