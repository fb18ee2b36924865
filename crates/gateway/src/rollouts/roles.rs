use {
    crate::{clock::wall_ms, instance::Instance},
    mangowalk_core::{
        canary::{CanaryMessage, CanaryOrder, OrderId},
        pool::EngineEntry,
    },
};

impl Instance {
    /// Determines anew what each engine may be used for because of its software
    /// version. To be called after each change of the engine list or of the orders.
    pub fn assign_software_roles(&self, now_ms: u64) {
        let mut software = self.software.borrow_mut();
        if software.limits().is_none() {
            return;
        }
        let mut role = |entry: &EngineEntry| {
            software.role(&entry.service, &entry.software, entry.revision, now_ms)
        };
        let mut engines = self.engines.borrow_mut();
        // The oldest entry of a version counts, and it may be any of them.
        for engine in engines.iter() {
            role(&engine.entry);
        }
        engines.assign_software_roles(role);
    }

    /// Applies all orders that the store has at a revision.
    pub fn replace_rollouts(&self, orders: &[CanaryOrder], revision: u64, now_ms: u64) {
        let draw = rand::random();
        let age_ms = |order: &OrderId| self.age_of_new_engines_ms(order);
        let mut software = self.software.borrow_mut();
        software.replace_orders(orders, revision, age_ms, draw, now_ms);
        drop(software);
        self.assign_software_roles(now_ms);
    }

    /// Gives up the order of an entry that was removed from the store.
    pub fn withdraw_rollout(&self, name: &str, revision: u64, now_ms: u64) {
        log::warn!("event=rollout_withdrawn name={name} revision={revision}");
        self.software.borrow_mut().withdraw(name, revision);
        self.assign_software_roles(now_ms);
    }

    /// Records that no other order than the known ones exists up to a revision.
    pub fn confirm_rollouts(&self, revision: u64, now_ms: u64) {
        let before = self.software.borrow().view_revision();
        self.software.borrow_mut().confirm_view(revision);
        if before != Some(revision) {
            self.assign_software_roles(now_ms);
        }
    }

    /// Applies a change of one order, as a watch reports it or the answer to a write
    /// shows it.
    pub fn update_rollout(&self, order: &CanaryOrder, now_ms: u64) {
        let draw = rand::random();
        let mut software = self.software.borrow_mut();
        software.update_order(order, 0, draw, now_ms);
        drop(software);
        self.assign_software_roles(now_ms);
    }

    /// Returns how long ago the first engine of an order's version started. They start
    /// with the order, which is how an instance that wasn't there knows its age.
    fn age_of_new_engines_ms(&self, order: &OrderId) -> u64 {
        let engines = self.engines.borrow();
        let new = engines
            .iter()
            .map(|engine| &engine.entry)
            .filter(|entry| entry.service == order.service && entry.software == order.to);
        let born_ms = new.map(|entry| entry.incarnation.born_ms);
        let first_born_ms = born_ms.filter(|&born_ms| born_ms > 0).min();
        first_born_ms.map_or(0, |born_ms| wall_ms().saturating_sub(born_ms))
    }

    /// Applies a peer's message about a roll-out.
    pub fn receive_canary(&self, message: CanaryMessage, now_ms: u64) {
        match message {
            CanaryMessage::Report(report) => {
                let mut fleets = self.canary_reports.borrow_mut();
                let fleet = fleets.entry(report.order.clone()).or_default();
                fleet.receive(report, now_ms);
            }
            CanaryMessage::Directive(directive) => {
                let draw = rand::random();
                let mut software = self.software.borrow_mut();
                let is_news = software.apply_directive(&directive, draw, now_ms);
                drop(software);
                if is_news {
                    log::info!(
                        "event=rollout_heard service={} to={} decider={} age_ms={} \
                         duration_ms={} outcome={:?} stored={}",
                        directive.order.service,
                        directive.order.to,
                        directive.decider,
                        directive.age_ms,
                        directive.duration_ms,
                        directive.outcome,
                        directive.is_stored,
                    );
                    self.assign_software_roles(now_ms);
                }
            }
        }
    }
}
