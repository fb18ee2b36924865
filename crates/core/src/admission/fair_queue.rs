use {
    super::{AdmissionSettings, Job, drain::Drain, team_queue::TeamQueue},
    derive_more::{Display, Error},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

/// Requests of a team that are asked for one that has room. The first may
/// wait for the engine that holds its prompt while others could go.
const JOBS_TRIED: usize = 8;

/// Why a request may not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("The request would wait {wait_ms} ms; send it again in {retry_ms} ms.")]
pub struct Full {
    /// Predicted wait.
    pub wait_ms: u64,
    /// When to come back. Spread, so that refused callers do not return
    /// together and find the queue full once more.
    pub retry_ms: u64,
}

/// Start-time fair queueing over teams, weighted by their rates.
///
/// Answers a team that sends several times its share, and long requests among
/// short ones. Without it the team that sends most is served most, and every
/// other team waits behind it. Each team owns a place in virtual time that
/// moves on by tokens over weight with each request served, and the team that
/// lies furthest back is served next. A team that was idle starts at the
/// present virtual time, so it saves nothing up.
#[derive(Debug)]
pub struct FairQueue {
    settings: AdmissionSettings,
    teams: BTreeMap<String, TeamQueue>,
    virtual_time: f64,
    queued: usize,
    drain: Drain,
    rng: SmallRng,
}

impl FairQueue {
    /// Returns an empty queue.
    pub fn new(settings: AdmissionSettings, seed: u64) -> FairQueue {
        FairQueue {
            settings,
            teams: BTreeMap::new(),
            virtual_time: 0.0,
            queued: 0,
            drain: Drain::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Lets a request wait.
    ///
    /// # Errors
    ///
    /// Refuses at once what would not be served in time, or is one too many.
    pub fn enter(&mut self, job: Job, now_ms: u64) -> Result<(), Full> {
        let wait_ms = self.predicted_wait_ms(&job);
        if wait_ms > self.most_wait_ms(&job) || self.queued >= self.settings.most_queued {
            return Err(self.full(wait_ms));
        }
        self.drain.backlogged(now_ms);
        self.queued += 1;
        self.teams.entry(job.team.clone()).or_default().push(job);
        Ok(())
    }

    fn most_wait_ms(&self, job: &Job) -> u64 {
        let most_ms = self.settings.most_wait_ms;
        job.deadline_ms
            .map_or(most_ms, |deadline_ms| deadline_ms.min(most_ms))
    }

    /// Returns the refusal of a request with a predicted wait.
    pub fn full(&mut self, wait_ms: u64) -> Full {
        let excess_ms = wait_ms.saturating_sub(self.settings.most_wait_ms);
        let base_ms = excess_ms.max(self.settings.least_retry_ms);
        // Spread over as long again: the queue drains base_ms worth of work
        // in that time, so it takes those who return one after another.
        let retry_ms = base_ms + self.rng.random_range(0..=base_ms);
        Full { wait_ms, retry_ms }
    }

    /// Returns how long a request would wait: its team's work ahead of it at
    /// the team's share of the measured drain, or all work at the whole drain
    /// where that is less.
    pub fn predicted_wait_ms(&self, job: &Job) -> u64 {
        let Some(drain) = self.drain.tokens_per_ms() else {
            return 0;
        };
        let own = self.teams.get(&job.team);
        let ahead = own.map_or(0, |t| t.tokens_ahead(job.tokens)) + job.tokens;
        let others: f64 = self
            .teams
            .iter()
            .filter(|(name, _)| **name != job.team)
            .filter_map(|(_, team)| team.jobs.first())
            .map(|j| j.weight)
            .sum();
        let share = job.weight / (job.weight + others).max(f64::MIN_POSITIVE);
        let all: u64 = self.teams.values().map(|t| t.queued_tokens).sum();
        let fair_ms = ahead as f64 / (drain * share);
        let whole_ms = (all + job.tokens) as f64 / drain;
        fair_ms.min(whole_ms) as u64
    }

    /// Takes the next request for which `send` returns something. At most
    /// `tries` teams are asked, so that one request without room does not
    /// hold up the others.
    pub fn next<T>(
        &mut self,
        now_ms: u64,
        tries: usize,
        mut send: impl FnMut(&Job) -> Option<T>,
    ) -> Option<(Job, T)> {
        let mut order: Vec<(u64, f64, &String)> = self
            .teams
            .iter()
            .filter(|(_, team)| !team.jobs.is_empty())
            .map(|(name, team)| {
                let start = team.finish.max(self.virtual_time);
                (team.class(&self.settings, now_ms), start, name)
            })
            .collect();
        order.sort_unstable_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
        let (name, at, sent) = order.into_iter().take(tries).find_map(|(_, _, name)| {
            let team = self.teams.get(name)?;
            let order = team.order(&self.settings, now_ms);
            order.into_iter().take(JOBS_TRIED).find_map(|at| {
                let sent = send(&team.jobs[at])?;
                Some((name.clone(), at, sent))
            })
        })?;
        let job = self.take(&name, at)?;
        self.charge(&job);
        self.drain.sent(job.tokens, self.queued > 0, now_ms);
        Some((job, sent))
    }

    /// Charges a team for a request that is served.
    pub fn charge(&mut self, job: &Job) {
        let team = self.teams.entry(job.team.clone()).or_default();
        let start = team.finish.max(self.virtual_time);
        team.finish = start + job.tokens as f64 / job.weight.max(f64::MIN_POSITIVE);
        self.virtual_time = self.virtual_time.max(start);
    }

    fn take(&mut self, team: &str, at: usize) -> Option<Job> {
        let team = self.teams.get_mut(team)?;
        self.queued -= 1;
        Some(team.remove(at))
    }

    /// Takes out a request that no longer waits, as when its caller has gone.
    pub fn leave(&mut self, id: u64) -> Option<Job> {
        let (name, at) = self.teams.iter().find_map(|(name, team)| {
            let at = team.jobs.iter().position(|j| j.id == id)?;
            Some((name.clone(), at))
        })?;
        self.take(&name, at)
    }

    /// Takes out every request that has waited as long as a caller is held.
    pub fn expired(&mut self, now_ms: u64) -> Vec<Job> {
        let most_wait_ms = self.settings.most_wait_ms;
        let is_over = |job: &Job| {
            let most_ms = job.deadline_ms.unwrap_or(most_wait_ms).min(most_wait_ms);
            now_ms.saturating_sub(job.arrived_ms) > most_ms
        };
        let mut over = Vec::new();
        for team in self.teams.values_mut() {
            while let Some(at) = team.jobs.iter().position(is_over) {
                over.push(team.remove(at));
            }
        }
        self.queued -= over.len();
        over
    }
}
