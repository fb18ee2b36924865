use {
    super::Instance,
    crate::clock::now_ms,
    mangowalk_core::confirmation::{ConfirmationReport, FollowedKind, KnownState},
    std::time::Duration,
    tokio::time::sleep,
};

/// When this instance is known to have had the store's current state.
impl Instance {
    /// Records an answer of the store by which all changes of a kind are known up to a
    /// revision. `as_of_ms` is the time as of which it holds; `None` if it may lag.
    pub fn record_store_answer(&self, kind: FollowedKind, revision: u64, as_of_ms: Option<u64>) {
        let mut confirmations = self.confirmations.borrow_mut();
        confirmations.record_revision(kind, revision);
        if let Some(as_of_ms) = as_of_ms {
            confirmations.record_current(revision, as_of_ms);
            self.wake_ups.confirmation.notify_one();
        }
    }

    /// Returns the next report to peers on what this instance can confirm.
    pub fn confirmation_report(&self, sequence: u64, now_ms: u64) -> ConfirmationReport {
        // The list of a peer may lag, but it is told of all departures.
        let departures_revision = self.engines.borrow().newest_departure_revision();
        ConfirmationReport {
            author: self.machine().name.clone(),
            incarnation: self.incarnation,
            sequence,
            state: KnownState {
                departures_revision,
                ..self.known_state()
            },
            ages: self.confirmations.borrow().ages(now_ms),
        }
    }

    /// Takes a report on what a peer can confirm, unless it is of an earlier start of it.
    pub fn receive_confirmation(&self, report: &ConfirmationReport, now_ms: u64) {
        let incarnation = self.members.borrow().incarnation(&report.author);
        if incarnation == Some(report.incarnation) {
            let own = self.known_state();
            let mut confirmations = self.confirmations.borrow_mut();
            confirmations.receive(report, &own, now_ms);
        }
    }

    /// Completes once nobody has confirmed for too long what this instance knows of a kind,
    /// so that it has to read current state itself.
    pub async fn wait_until_unconfirmed(&self, kind: FollowedKind) {
        loop {
            let left_ms = self.unconfirmed_in_ms(kind, now_ms());
            if left_ms == 0 {
                return;
            }
            sleep(Duration::from_millis(left_ms)).await;
        }
    }

    /// Returns the age of what is known of each kind, in the Prometheus text format.
    pub fn render_confirmations(&self, now_ms: u64) -> String {
        let confirmations = self.confirmations.borrow();
        let kinds = FollowedKind::ALL.into_iter();
        let ages = kinds.filter_map(|kind| Some((kind, confirmations.age_ms(kind, now_ms)?)));
        ages.map(|(kind, age_ms)| {
            format!("mangowalk_confirmed_age_ms{{kind=\"{kind}\"}} {age_ms}\n")
        })
        .collect()
    }

    fn unconfirmed_in_ms(&self, kind: FollowedKind, now_ms: u64) -> u64 {
        let own = self.known_state();
        let place = self.readers_before(now_ms) as f64 / self.instance_count() as f64;
        let mut confirmations = self.confirmations.borrow_mut();
        confirmations.apply_pending(&own);
        let settings = &self.settings.confirmations;
        let settled_ms = self.started_ms + self.settling_ms();
        let unconfirmed_ms = confirmations.unconfirmed_at_ms(kind, settings, settled_ms, place);
        unconfirmed_ms.saturating_sub(now_ms)
    }

    fn known_state(&self) -> KnownState {
        let histories = self.weights_histories.borrow();
        let weights = histories.iter();
        KnownState {
            configuration_version: self.routes.borrow().version(),
            departures_revision: self.engines.borrow().departures_known_up_to(),
            weights: weights
                .map(|(model, history)| (model.clone(), history.newest()))
                .collect(),
        }
    }
}
