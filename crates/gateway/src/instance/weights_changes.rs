use {super::Instance, mangowalk_core::weights::ChangeProgress};

impl Instance {
    /// Returns metrics of the changes of weights that this instance orders, in the
    /// Prometheus text format. All are 0 at instances without the lease.
    pub fn render_weights_changes(&self) -> String {
        let changes = self.weights_changes.borrow();
        let sum = |value: fn(&ChangeProgress) -> usize| changes.values().map(value).sum::<usize>();
        let ends_ms = changes.values().map(ChangeProgress::expected_end_ms);
        format!(
            "mangowalk_weights_changes {}\nmangowalk_weights_engines_left {}\n\
             mangowalk_weights_engines_loading {}\nmangowalk_weights_engines_paused {}\n\
             mangowalk_weights_expected_end_ms {}\n",
            changes.len(),
            sum(|change| change.left),
            sum(|change| change.loading),
            sum(|change| change.paused),
            ends_ms.max().unwrap_or(0),
        )
    }
}
