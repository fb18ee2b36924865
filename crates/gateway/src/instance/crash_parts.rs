use {
    super::Instance,
    mangowalk_core::crash_part::{
        CompletedPart, CrashEvidence, CrashPartSettings, EngineCrash, PartDecision, PartMessage,
        RecentAnswers, RejectedPart, RejectedParts, WatchedParts, is_trial_instance,
    },
    std::{cell::RefCell, net::SocketAddr},
};

/// Maximum number of messages that wait to be sent; further ones are dropped.
const MAX_OUTGOING: usize = 1_024;

/// To whom a message about parts of prompts is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PartRecipients {
    /// The arbiters of a service.
    Arbiters(String),
    /// All instances.
    All,
    /// One instance.
    One(SocketAddr),
}

/// A message about parts of prompts that is to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingPartMessage {
    /// To whom it is sent.
    pub to: PartRecipients,
    /// The message.
    pub message: PartMessage,
}

/// Parts of prompts that may crash engines, as far as this instance knows.
#[derive(Debug, Default)]
pub struct CrashParts {
    evidence: RefCell<CrashEvidence>,
    watched: RefCell<WatchedParts>,
    rejected: RefCell<RejectedParts>,
    recent_answers: RefCell<RecentAnswers>,
    outgoing: RefCell<Vec<OutgoingPartMessage>>,
}

impl CrashParts {
    /// Returns whether no crash, watched or rejected part is known.
    pub fn is_idle(&self) -> bool {
        let has_evidence = !self.evidence.borrow().is_empty();
        !self.is_any_rejected() && self.watched.borrow().is_empty() && !has_evidence
    }

    /// Returns whether a decision on a part may be due at any time.
    pub fn is_deciding(&self) -> bool {
        self.evidence.borrow().is_deciding()
    }

    /// Returns whether any part is rejected, so that callers needn't look at each.
    pub fn is_any_rejected(&self) -> bool {
        !self.rejected.borrow().is_empty()
    }

    /// Returns whether requests with these parts that are on their way are to be withdrawn.
    pub fn withdraws(&self, parts: &[u64], now_ms: u64) -> bool {
        let rejected = self.rejected.borrow();
        parts.iter().any(|part| rejected.is_in_term(*part, now_ms))
    }

    /// Returns whether an arbiter is deciding on one of the parts, and this instance has
    /// completed no answer on it lately.
    pub fn is_suspect(&self, parts: &[u64], settings: &CrashPartSettings, now_ms: u64) -> bool {
        let watched = self.watched.borrow();
        let recent = self.recent_answers.borrow();
        let mut suspects = parts.iter().filter(|part| {
            let last_ms = recent.last_ms(**part);
            last_ms.is_none_or(|last_ms| now_ms >= last_ms + settings.recent_answer_ms)
        });
        suspects.any(|part| watched.holds_any(&[*part], now_ms))
    }

    /// Returns all parts that are rejected or were lately.
    pub fn rejected_parts(&self, now_ms: u64) -> Vec<RejectedPart> {
        self.rejected.borrow().reports(now_ms)
    }

    /// Takes the messages that are to be sent.
    pub fn take_outgoing(&self) -> Vec<OutgoingPartMessage> {
        self.outgoing.take()
    }
}

impl Instance {
    /// Records a crash that this instance has seen, and tells the arbiters.
    pub fn report_engine_crash(&self, crash: EngineCrash, now_ms: u64) {
        if crash.prompts.is_empty() {
            return;
        }
        self.record_engine_crash(&crash, now_ms);
        let to = PartRecipients::Arbiters(crash.service.clone());
        self.send_part_message(to, PartMessage::Crash(crash));
    }

    fn record_engine_crash(&self, crash: &EngineCrash, now_ms: u64) {
        let parts = &self.crash_parts;
        parts.evidence.borrow_mut().record_crash(crash, now_ms);
        let rejected = parts.rejected.borrow();
        let tried = crash.prompts.iter().flatten().copied();
        let tried =
            tried.filter(|part| rejected.is_known(*part) && !rejected.is_in_term(*part, now_ms));
        let tried: Vec<u64> = tried.collect();
        drop(rejected);
        for part in tried {
            self.reject_part(part, now_ms);
        }
        self.wake_ups.part_messages.notify_one();
    }

    /// Applies a peer's message about parts of prompts.
    pub fn receive_part_message(&self, message: &PartMessage, now_ms: u64) {
        let parts = &self.crash_parts;
        match message {
            PartMessage::Crash(crash) => self.record_engine_crash(crash, now_ms),
            PartMessage::Watch {
                author,
                parts: watched,
            } => {
                let settings = &self.settings.crash_parts;
                let mut known = parts.watched.borrow_mut();
                known.watch(watched, *author, settings, now_ms);
                drop(known);
                self.tell_recent_answers(watched, *author, now_ms);
            }
            PartMessage::Completed(completed) => {
                let mut evidence = parts.evidence.borrow_mut();
                evidence.record_completed(completed, now_ms);
            }
            PartMessage::Rejected(told) => self.merge_rejected_parts(told, "peer", now_ms),
        }
    }

    /// Tells an arbiter when answers on parts were last completed here.
    fn tell_recent_answers(&self, parts: &[u64], author: SocketAddr, now_ms: u64) {
        let recent = self.crash_parts.recent_answers.borrow();
        let completed = parts.iter().filter_map(|part| {
            let last_ms = recent.last_ms(*part)?;
            Some(CompletedPart {
                part: *part,
                age_ms: now_ms.saturating_sub(last_ms),
            })
        });
        let completed: Vec<CompletedPart> = completed.collect();
        if !completed.is_empty() {
            let message = PartMessage::Completed(completed);
            self.send_part_message(PartRecipients::One(author), message);
        }
    }

    /// Applies what a peer or the store tells of rejected parts.
    pub fn merge_rejected_parts(&self, told: &[RejectedPart], source: &'static str, now_ms: u64) {
        let rejected = self.crash_parts.rejected.borrow_mut().merge(told, now_ms);
        for part in rejected {
            self.crash_parts.watched.borrow_mut().take(part);
            self.announce_rejection(part, source);
        }
    }

    /// Decides on the parts of the known crashes, and tells all instances.
    pub fn decide_on_parts(&self, now_ms: u64) {
        let parts = &self.crash_parts;
        let settings = &self.settings.crash_parts;
        let decisions = {
            let rejected = parts.rejected.borrow();
            let is_known = |part| rejected.is_known(part);
            parts
                .evidence
                .borrow_mut()
                .decide(is_known, settings, now_ms)
        };
        let mut watched = Vec::new();
        for decision in decisions {
            match decision {
                PartDecision::Watch(part) => watched.push(part),
                PartDecision::Reject(part) => self.reject_part(part, now_ms),
            }
        }
        if watched.is_empty() {
            return;
        }
        log::info!("event=parts_watched parts={watched:x?}");
        let author = self.machine().peer_address;
        let mut known = parts.watched.borrow_mut();
        known.watch(&watched, author, settings, now_ms);
        drop(known);
        let parts = watched;
        self.send_part_message(PartRecipients::All, PartMessage::Watch { author, parts });
    }

    /// Returns whether one of the parts is rejected. A part whose term has ended may be tried
    /// by this instance.
    pub fn rejects_parts(&self, parts: &[u64], now_ms: u64) -> bool {
        let mut rejected = self.crash_parts.rejected.borrow_mut();
        parts.iter().any(|part| {
            rejected.is_known(*part) && {
                let may_try = self.is_trial_instance(*part, now_ms);
                rejected.rejects(*part, may_try, &self.settings.crash_parts, now_ms)
            }
        })
    }

    /// Records that this instance has completed an answer on parts of a prompt.
    pub fn record_completed_parts(&self, service: &str, parts: &[u64], now_ms: u64) {
        let known = &self.crash_parts;
        known.recent_answers.borrow_mut().record(parts, now_ms);
        if known.is_idle() {
            return;
        }
        let mut evidence = known.evidence.borrow_mut();
        evidence.record_answer(service, parts, now_ms);
        drop(evidence);
        let own = self.machine().peer_address;
        for part in parts {
            let authors = known.watched.borrow_mut().take(*part);
            for author in authors.into_iter().filter(|author| *author != own) {
                let completed = CompletedPart {
                    part: *part,
                    age_ms: 0,
                };
                let message = PartMessage::Completed(vec![completed]);
                self.send_part_message(PartRecipients::One(author), message);
            }
        }
        self.accept_parts(parts, now_ms);
    }

    fn is_trial_instance(&self, part: u64, now_ms: u64) -> bool {
        let members = self.members.borrow();
        let live = members.live(&self.settings.mesh, now_ms);
        let peers = live.map(|member| member.last_heartbeat.name.as_str());
        is_trial_instance(part, &self.machine().name, peers)
    }

    fn reject_part(&self, part: u64, now_ms: u64) {
        let mut rejected = self.crash_parts.rejected.borrow_mut();
        rejected.reject(part, &self.settings.crash_parts, now_ms);
        let report = rejected.report(part, now_ms);
        drop(rejected);
        self.crash_parts.watched.borrow_mut().take(part);
        let message = PartMessage::Rejected(report.into_iter().collect());
        self.send_part_message(PartRecipients::All, message);
        self.announce_rejection(part, "crashes");
    }

    /// Ends the rejection of parts on which an answer was completed, and tells all instances.
    fn accept_parts(&self, parts: &[u64], now_ms: u64) {
        let mut rejected = self.crash_parts.rejected.borrow_mut();
        for part in parts {
            if !rejected.accept(*part, now_ms) {
                continue;
            }
            log::warn!("event=part_accepted part={part:x}");
            let report = rejected.report(*part, now_ms);
            let message = PartMessage::Rejected(report.into_iter().collect());
            self.send_part_message(PartRecipients::All, message);
            self.wake_ups.kept_parts.notify_one();
        }
    }

    fn announce_rejection(&self, part: u64, source: &'static str) {
        self.counters.count("part_rejected", source);
        log::warn!("event=part_rejected part={part:x} source={source}");
        self.wake_ups.rejected_parts.notify_waiters();
        self.wake_ups.part_messages.notify_one();
        self.wake_ups.kept_parts.notify_one();
    }

    fn send_part_message(&self, to: PartRecipients, message: PartMessage) {
        let mut outgoing = self.crash_parts.outgoing.borrow_mut();
        if outgoing.len() < MAX_OUTGOING {
            outgoing.push(OutgoingPartMessage { to, message });
        }
        self.wake_ups.part_messages.notify_one();
    }
}
