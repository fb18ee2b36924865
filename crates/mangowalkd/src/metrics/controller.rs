use {
    crate::{controller::Controller, shared_state::SharedState},
    cadence::{Counted, Gauged, StatsdClient, Timed},
    mangowalk_core::{burn::Counts, edge::Edges},
    std::marker::PhantomData,
};

/// Pause between two reports.
const PERIOD_MS: u64 = 1_000;

/// Sends the counts of the shared state to statsd.
pub struct MetricsReport<E> {
    client: StatsdClient,
    edges: PhantomData<fn() -> E>,
}

impl<E> MetricsReport<E> {
    /// Returns a controller that sends through this client.
    pub fn new(client: StatsdClient) -> MetricsReport<E> {
        MetricsReport {
            client,
            edges: PhantomData,
        }
    }

    fn send_requests(&self, team: &str, counts: &Counts) {
        let ends = [
            ("complete", counts.complete),
            ("cut", counts.cut),
            ("abandoned", counts.abandoned),
            ("rejected", counts.rejected),
            ("over_rate", counts.over_rate),
            ("turned_away", counts.turned_away),
        ];
        for (end, count) in ends {
            if count > 0 {
                self.client
                    .count_with_tags("requests", count)
                    .with_tag("team", team)
                    .with_tag("end", end)
                    .send();
            }
        }
        if counts.served_tokens > 0 {
            self.client
                .count_with_tags("tokens", counts.served_tokens)
                .with_tag("team", team)
                .send();
        }
    }

    fn send_gauges(&self, shared: &SharedState, now_ms: u64) {
        let gauge = |name: &str, value: u64| {
            self.client.gauge_with_tags(name, value).send();
        };
        gauge("open_requests", shared.lifecycle.open_requests() as u64);
        gauge("queued", shared.dispatch.queued() as u64);
        gauge("revision", shared.config.view().revision);
        gauge("slots", u64::from(shared.limits.slots(now_ms)));
        gauge("peers", shared.peers.reachable().len() as u64);
    }
}

impl<E: Edges> Controller for MetricsReport<E> {
    type Edges = E;

    const NAME: &'static str = "metrics";

    fn step(&mut self, _edges: &E, shared: &SharedState, now_ms: u64) -> u64 {
        let unsent = shared.burn.take_unsent();
        for (team, counts) in &unsent.counts {
            self.send_requests(team, counts);
        }
        for (team, first_ms) in &unsent.first_tokens {
            self.client
                .time_with_tags("first_token", *first_ms)
                .with_tag("team", team)
                .send();
        }
        self.send_gauges(shared, now_ms);
        PERIOD_MS
    }
}
