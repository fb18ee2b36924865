use {
    super::request::{CallerRequest, Origin},
    crate::{clock::now_ms, instance::Instance},
    mangowalk_core::routing::Tenant,
    std::rc::Rc,
};

/// What a request has taken from its team's rate.
pub(super) struct RateCharge {
    instance: Rc<Instance>,
    /// `None` if nothing was taken: the request has no team, or a peer has charged it.
    tenant: Option<Rc<Tenant>>,
    cost: u64,
}

impl RateCharge {
    /// Charges a request to its team's rate, unless a peer has done so.
    ///
    /// # Errors
    ///
    /// Returns the time in milliseconds after which the caller should retry if the rate is
    /// used up.
    pub(super) fn take(request: &CallerRequest) -> Result<RateCharge, u64> {
        let charge = RateCharge {
            instance: request.instance.clone(),
            tenant: request
                .tenant
                .clone()
                .filter(|_| request.origin == Origin::Caller),
            cost: request.cost(),
        };
        if let Some(tenant) = &charge.tenant {
            let mut shares = charge.instance.shares.borrow_mut();
            shares
                .take(tenant, charge.cost, now_ms())
                .inspect_err(|wait_ms| {
                    let level = shares.level(&tenant.name);
                    log_over_rate(request, tenant, level.unwrap_or_default(), *wait_ms);
                })?;
        }
        Ok(charge)
    }

    /// Gives back what was taken, for a request that no engine got.
    pub(super) fn refund(&self) {
        if let Some(tenant) = &self.tenant {
            self.instance.shares.borrow_mut().refund(tenant, self.cost);
        }
    }
}

fn log_over_rate(request: &CallerRequest, tenant: &Tenant, level: f64, wait_ms: u64) {
    let rate = tenant.rate.unwrap_or_default();
    log::warn!(
        "event=over_rate request={} team={} cost_tokens={} level_tokens={level:.0} rate_tokens_per_s={} burst_tokens={} wait_ms={wait_ms}",
        request.id(),
        tenant.name,
        request.cost(),
        rate.per_s,
        rate.burst,
    );
}
