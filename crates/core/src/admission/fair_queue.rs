use {
    super::{AdmissionSettings, Job, drain_rate::DrainRate, team_queue::TeamQueue},
    derive_more::{Display, Error},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Maximum number of a team's requests examined for one that can be sent. The
/// first may be waiting for the engine that has cached its prompt while others
/// could be sent.
const MAX_JOBS_TRIED: usize = 8;

/// A queued request is overdue when its predicted total wait exceeds its
/// maximum wait by this factor.
const OVERDUE_FACTOR: f64 = 1.5;

/// Refusal of a request that would wait too long or finds the queue full.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("The request would wait {wait_ms} ms; send it again in {retry_ms} ms.")]
pub struct QueueRefusal {
    /// Predicted wait in milliseconds.
    pub wait_ms: u64,
    /// Time in milliseconds after which the caller should retry. Randomly spread,
    /// so that refused callers do not retry together and find the queue full
    /// again.
    pub retry_ms: u64,
}

/// Start-time fair queueing over teams, weighted by their rates.
///
/// Protects teams from one that sends several times its share, and short
/// requests from long ones. Without it, the team that sends most is served
/// most and every other team waits behind it. Each team has a position in
/// virtual time that advances by tokens / weight with each request served. Of
/// the teams with the most urgent priority, the one with the lowest position is
/// served next. A team that was idle starts at the current virtual time, so it
/// accumulates no credit.
#[derive(Debug)]
pub struct FairQueue {
    settings: AdmissionSettings,
    teams: BTreeMap<String, TeamQueue>,
    virtual_time: f64,
    queued: usize,
    drain_rate: DrainRate,
    rng: SmallRng,
}

impl FairQueue {
    /// Returns an empty queue. `seed` determines how retry times are spread.
    pub fn new(settings: AdmissionSettings, seed: u64) -> FairQueue {
        FairQueue {
            settings,
            teams: BTreeMap::new(),
            virtual_time: 0.0,
            queued: 0,
            drain_rate: DrainRate::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Appends a request to its team's queue.
    ///
    /// # Errors
    ///
    /// Refuses the request if its predicted wait exceeds its maximum wait, or if
    /// [`AdmissionSettings::max_queued`] requests are queued already.
    pub fn push(&mut self, job: Job, now_ms: u64) -> Result<(), QueueRefusal> {
        let wait_ms = self.predicted_wait_ms(&job, now_ms);
        if wait_ms > self.max_wait_ms(&job) || self.queued >= self.settings.max_queued {
            return Err(self.refusal(wait_ms));
        }
        self.append(job, now_ms);
        Ok(())
    }

    /// Appends a request to its team's queue without a prediction of its wait.
    pub fn append(&mut self, job: Job, now_ms: u64) {
        self.drain_rate.record_backlog(now_ms);
        self.queued += 1;
        self.teams.entry(job.team.clone()).or_default().push(job);
    }

    /// Returns the measured rate at which requests leave the queue, in tokens per millisecond;
    /// `None` before enough was measured.
    pub fn drain_tokens_per_ms(&self, now_ms: u64) -> Option<f64> {
        self.drain_rate.tokens_per_ms(now_ms)
    }

    fn max_wait_ms(&self, job: &Job) -> u64 {
        let max_wait_ms = self.settings.max_wait_ms;
        job.deadline_ms
            .map_or(max_wait_ms, |deadline_ms| deadline_ms.min(max_wait_ms))
    }

    /// Returns the refusal for a request with this predicted wait.
    pub fn refusal(&mut self, wait_ms: u64) -> QueueRefusal {
        let excess_ms = wait_ms.saturating_sub(self.settings.max_wait_ms);
        let base_ms = excess_ms.max(self.settings.min_retry_ms);
        // Spreads retries over another base_ms. The queue drains that much work
        // in this time, so it can accept the retries one after another.
        let retry_ms = base_ms + self.rng.random_range(0..=base_ms);
        QueueRefusal { wait_ms, retry_ms }
    }

    /// Returns the predicted wait of a request in milliseconds: the smaller of
    /// its team's work ahead of it at the team's share of the measured drain
    /// rate, and all queued work at the full drain rate. Returns 0 before the
    /// drain rate is known.
    pub fn predicted_wait_ms(&self, job: &Job, now_ms: u64) -> u64 {
        let Some(tokens_per_ms) = self.drain_rate.tokens_per_ms(now_ms) else {
            return 0;
        };
        let own = self.teams.get(&job.team);
        let ahead = own.map_or(0.0, |team| {
            self.overserved_tokens(team, job.weight) + team.tokens_ahead(job.tokens) as f64
        });
        let share = self.share(&job.team, job.weight);
        let all: u64 = self.teams.values().map(|t| t.queued_tokens).sum();
        let fair_ms = ahead / (tokens_per_ms * share);
        let whole_ms = all as f64 / tokens_per_ms;
        fair_ms.min(whole_ms) as u64
    }

    /// Returns the tokens that a team was served beyond its fair share so far.
    /// They are 0 for a team that used less than its share, so its next request
    /// can start at once, however small the share is.
    fn overserved_tokens(&self, team: &TeamQueue, weight: f64) -> f64 {
        (team.finish_tag - self.virtual_time).max(0.0) * weight
    }

    /// Returns the fraction of the drain rate that a team gets beside the other
    /// teams with queued requests.
    fn share(&self, team: &str, weight: f64) -> f64 {
        let others: f64 = self
            .teams
            .iter()
            .filter(|(name, _)| **name != team)
            .filter_map(|(_, team)| team.jobs.first())
            .map(|j| j.weight)
            .sum();
        weight / (weight + others).max(f64::MIN_POSITIVE)
    }

    /// Removes and returns the next request for which `send` returns a value,
    /// with that value, and charges its team.
    ///
    /// Several teams, at most `max_teams`, are examined, so that a request for
    /// which no engine has capacity does not block the others.
    pub fn take_next<T>(
        &mut self,
        now_ms: u64,
        max_teams: usize,
        mut send: impl FnMut(&Job) -> Option<T>,
    ) -> Option<(Job, T)> {
        let order = self.team_order(now_ms);
        let (name, index, sent) = order.into_iter().take(max_teams).find_map(|name| {
            let team = self.teams.get(name)?;
            let order = team.serving_order(&self.settings, now_ms);
            order.into_iter().take(MAX_JOBS_TRIED).find_map(|index| {
                let sent = send(&team.jobs[index])?;
                Some((name.clone(), index, sent))
            })
        })?;
        let job = self.take(&name, index)?;
        self.record_served(&job, now_ms);
        Some((job, sent))
    }

    /// Removes and returns a request that is served, and charges its team. Returns `None` if it
    /// is not queued.
    pub fn take_served(&mut self, id: u64, now_ms: u64) -> Option<Job> {
        let job = self.remove(id)?;
        self.record_served(&job, now_ms);
        Some(job)
    }

    fn record_served(&mut self, job: &Job, now_ms: u64) {
        self.charge(job);
        self.drain_rate
            .record_sent(job.tokens, self.queued > 0, now_ms);
    }

    /// Returns all queued requests in the order in which they should be served if engines had
    /// capacity for one after another. A more urgent request precedes all others, also those of
    /// teams with a lower position.
    pub fn serving_order(&self, now_ms: u64) -> Vec<u64> {
        let mut order: Vec<(u64, f64, u64)> = Vec::with_capacity(self.queued);
        for team in self.teams.values() {
            let mut start = team.finish_tag.max(self.virtual_time);
            let mut jobs: Vec<(u64, &Job)> = team
                .serving_order(&self.settings, now_ms)
                .into_iter()
                .map(|index| &team.jobs[index])
                .map(|job| (self.settings.effective_priority(job, now_ms), job))
                .collect();
            jobs.sort_by_key(|(priority, _)| *priority);
            for (priority, job) in jobs {
                order.push((priority, start, job.id));
                start += job.tokens as f64 / job.weight.max(f64::MIN_POSITIVE);
            }
        }
        order.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns the teams with queued requests in the order in which they should be served.
    fn team_order(&self, now_ms: u64) -> Vec<&String> {
        let mut order: Vec<(u64, f64, &String)> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.jobs.is_empty())
            .map(|(name, team)| {
                let start = team.finish_tag.max(self.virtual_time);
                (team.effective_priority(&self.settings, now_ms), start, name)
            })
            .collect();
        order.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        order.into_iter().map(|(_, _, name)| name).collect()
    }

    /// Advances a team's position in virtual time for a request that is served.
    pub fn charge(&mut self, job: &Job) {
        let team = self.teams.entry(job.team.clone()).or_default();
        let start = team.finish_tag.max(self.virtual_time);
        team.finish_tag = start + job.tokens as f64 / job.weight.max(f64::MIN_POSITIVE);
        self.virtual_time = self.virtual_time.max(start);
    }

    fn take(&mut self, team: &str, index: usize) -> Option<Job> {
        let team = self.teams.get_mut(team)?;
        self.queued -= 1;
        Some(team.remove(index))
    }

    /// Removes and returns a queued request, as when its caller has disconnected.
    /// Returns `None` if it is not queued.
    pub fn remove(&mut self, id: u64) -> Option<Job> {
        let (name, index) = self.teams.iter().find_map(|(name, team)| {
            let index = team.jobs.iter().position(|j| j.id == id)?;
            Some((name.clone(), index))
        })?;
        self.take(&name, index)
    }

    /// Removes and returns all overdue requests, each with its predicted total
    /// wait in milliseconds: those whose maximum wait has passed, and those
    /// predicted to exceed it by the factor `OVERDUE_FACTOR`.
    ///
    /// The prediction at arrival may prove too optimistic, for example when an
    /// engine fails or a more urgent team arrives. Overdue requests are refused
    /// as soon as this is known, while the caller still has time to go
    /// elsewhere. The factor is needed because predictions fluctuate.
    pub fn take_overdue(&mut self, now_ms: u64) -> Vec<(Job, u64)> {
        let tokens_per_ms = self.drain_rate.tokens_per_ms(now_ms);
        let teams: Vec<String> = self.teams.keys().cloned().collect();
        let mut overdue = Vec::new();
        for name in teams {
            overdue.extend(self.take_overdue_of_team(&name, tokens_per_ms, now_ms));
        }
        self.queued -= overdue.len();
        overdue
    }

    /// Removes and returns a team's overdue requests. `tokens_per_ms` is the
    /// drain rate of the whole queue; without it, only requests whose maximum
    /// wait has passed are overdue.
    fn take_overdue_of_team(
        &mut self,
        name: &str,
        tokens_per_ms: Option<f64>,
        now_ms: u64,
    ) -> Vec<(Job, u64)> {
        let weight = self.teams.get(name).and_then(|t| t.jobs.first());
        let Some(weight) = weight.map(|j| j.weight) else {
            return Vec::new();
        };
        let team_tokens_per_ms = tokens_per_ms.map(|rate| rate * self.share(name, weight));
        let settings = self.settings;
        let overserved = self
            .teams
            .get(name)
            .map(|t| self.overserved_tokens(t, weight));
        let Some(team) = self.teams.get_mut(name) else {
            return Vec::new();
        };
        let mut ahead_tokens = overserved.unwrap_or_default();
        let mut overdue: Vec<(u64, u64)> = Vec::new();
        for index in team.serving_order(&settings, now_ms) {
            let job = &team.jobs[index];
            let max_wait_ms = job
                .deadline_ms
                .unwrap_or(u64::MAX)
                .min(settings.max_wait_ms);
            let waited_ms = now_ms.saturating_sub(job.arrived_ms);
            let remaining_ms = team_tokens_per_ms.map_or(0.0, |d| ahead_tokens / d);
            let total_ms = waited_ms as f64 + remaining_ms;
            if waited_ms > max_wait_ms || total_ms > max_wait_ms as f64 * OVERDUE_FACTOR {
                overdue.push((job.id, total_ms as u64));
            } else {
                ahead_tokens += job.tokens as f64;
            }
        }
        overdue
            .into_iter()
            .filter_map(|(id, wait_ms)| {
                let index = team.jobs.iter().position(|j| j.id == id)?;
                Some((team.remove(index), wait_ms))
            })
            .collect()
    }
}
