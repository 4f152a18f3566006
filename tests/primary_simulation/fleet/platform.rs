//! The platform of the simulation: targets that announce themselves, join and leave, and calls
//! and orders that are lost or carried out late.

use pomelopin::{
    clock::Millis,
    fleet::{
        failover::{PromotionOutcome, TargetCommand},
        messages::{Announcement, TargetRole},
    },
    ids::FailureDomain,
};
use rand::Rng;

use super::{ANNOUNCE_INTERVAL_MS, CONTROL, Fleet, Message, domain_name, service_name};
use crate::targets::{Promotion, Target};

/// Time after which a promotion is not sent any more.
const SEND_WINDOW_MS: u64 = 1_000;

/// Longest time until a promotion takes effect, and for a late one.
const PROMOTE_MS: u64 = 1_000;
const LATE_MS: u64 = 6_000;

/// Bounds of the lateness of calls and orders where the platform sets none that helps.
const MIN_LATENESS_MS: u64 = 2_000;
const MAX_LATENESS_MS: u64 = 15_000;

/// Longest time from the first announcement of a target that joins until it receives.
const MAX_JOIN_MS: u64 = 300;

/// Percentages of calls without an answer, and of those that are carried out in time.
const UNANSWERED_CALLS_PERCENT: u32 = 25;
const UNANSWERED_IN_TIME_PERCENT: u32 = 25;

/// Percentages of orders that are lost or late, at all times and while orders are late.
const LOST_STATUS_PERCENT: u32 = 5;
const LATE_ORDERS_PERCENT: u32 = 5;
const LATE_ORDERS_PERCENT_IN_PERIOD: u32 = 60;

/// What becomes of an order to a target.
enum OrderFate {
    Answered,
    Lost,
    /// Carried out at the given time, without an answer.
    Late(u64),
}

impl Fleet {
    pub fn delay_promotions(&mut self, ms: u64) {
        self.late_until = self.now + ms;
    }

    pub fn delay_orders(&mut self, ms: u64) {
        self.orders_late_until = self.now + ms;
    }

    /// A new target joins, which control cannot reach for `unknown_ms`.
    pub fn join(&mut self, unknown_ms: u64) {
        let id = format!("t{}", self.service.targets.len());
        self.service.record(self.now, format_args!("{id} joins"));
        let mut target = Target::new(id.clone(), self.now);
        target.receives_from = self.now + self.rng.random_range(0..=MAX_JOIN_MS);
        self.service.targets.push(target);
        if unknown_ms > 0 {
            self.cut(&id, CONTROL, unknown_ms);
        }
    }

    /// The given target drains and ends after `ms`, a primary once it was replaced.
    pub fn leave(&mut self, index: usize, ms: u64) {
        let target = &mut self.service.targets[index];
        let id = target.id.clone();
        target.draining = true;
        target.drains_until = self.now + ms;
        self.announced.shift_remove(&id);
        self.service.record(self.now, format_args!("{id} leaves in {ms} ms"));
    }

    /// Restarts a target, which is down for `ms`.
    pub fn restart(&mut self, index: usize, ms: u64) {
        self.service.crash(index, self.now + ms);
        let id = self.service.targets[index].id.clone();
        self.announced.shift_remove(&id);
        self.service.record(self.now, format_args!("{id} restarts, down for {ms} ms"));
    }

    /// A new target joins; the given one leaves a moment later.
    pub fn release(&mut self, index: usize) {
        let id = format!("t{}", self.service.targets.len());
        self.service.targets.push(Target::new(id, self.now));
        self.service.targets[index].draining = true;
        self.announced.shift_remove(&self.service.targets[index].id.clone());
    }

    pub(super) fn announce(&mut self) {
        for index in 0..self.service.targets.len() {
            let target = &self.service.targets[index];
            let last = self.announced.get(&target.id).copied();
            let due = last.is_none_or(|at| self.now >= at + ANNOUNCE_INTERVAL_MS);
            if !due || !target.runs(self.now) {
                continue;
            }
            self.sequence += 1;
            let announcement = announcement(target, self.sequence);
            let id = target.id.clone();
            self.announced.insert(id.clone(), self.now);
            self.post(Message::Announce { target: id, announcement: Box::new(announcement) });
        }
    }

    pub(super) fn run_command(
        &mut self,
        term: u64,
        target: String,
        command: TargetCommand,
        sent: u64,
    ) {
        let reached = self.reaches(&target, CONTROL);
        let fate = if reached { self.draw_order_fate(command) } else { OrderFate::Lost };
        if let OrderFate::Late(due) = fate {
            self.messages.push((due, Message::LateOrder { target: target.clone(), command }));
        }
        let is_answered = matches!(fate, OrderFate::Answered);
        let status = match self.service.index(&target) {
            Some(index) if is_answered && self.service.targets[index].runs(self.now) => {
                Some(self.service.targets[index].command(command))
            }
            _ => None,
        };
        self.post(Message::Completed { term, target, command, sent, status });
    }

    fn draw_order_fate(&mut self, command: TargetCommand) -> OrderFate {
        if !self.platform_faults {
            return OrderFate::Answered;
        }
        if command == TargetCommand::Status {
            let is_lost = self.draws_percent(LOST_STATUS_PERCENT);
            return if is_lost { OrderFate::Lost } else { OrderFate::Answered };
        }
        let is_period = self.now < self.orders_late_until;
        let percent = if is_period { LATE_ORDERS_PERCENT_IN_PERIOD } else { LATE_ORDERS_PERCENT };
        if self.draws_percent(percent) {
            OrderFate::Late(self.now + self.rng.random_range(0..=MAX_LATENESS_MS))
        } else {
            OrderFate::Answered
        }
    }

    fn draws_percent(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    /// Sends a promotion to the platform unless the leader stood still since it decided.
    pub(super) fn call(&mut self, evaluated: u64, decided: u64, target: String, token: u64) {
        let term = token >> 20;
        let frozen_until = match &self.former {
            Some(former) if former.term == term => former.frozen_until,
            _ => self.now,
        };
        let sent = self.now.max(frozen_until);
        if sent - decided >= SEND_WINDOW_MS {
            return;
        }
        if sent > self.now {
            self.messages.push((sent, Message::Promote { evaluated, decided, target, token }));
            return;
        }
        let is_late = self.now < self.late_until
            || (self.platform_faults && self.draws_percent(UNANSWERED_CALLS_PERCENT));
        let due = self.now + self.draw_call_delay(is_late);
        let called = self.now;
        let promotion = Promotion { due, target, token, evaluated, called };
        let accepted = self.service.call_promotion(promotion, is_late);
        let outcome = match accepted {
            _ if is_late => PromotionOutcome::Unknown,
            true => PromotionOutcome::Accepted,
            false => PromotionOutcome::Refused,
        };
        self.post(Message::Promoted { term, token, outcome });
    }

    fn draw_call_delay(&mut self, is_late: bool) -> u64 {
        let range = match (is_late, self.platform_faults) {
            (false, _) => 300..=PROMOTE_MS,
            (true, false) => 300..=LATE_MS,
            (true, true) if self.draws_percent(UNANSWERED_IN_TIME_PERCENT) => 300..=PROMOTE_MS,
            (true, true) => MIN_LATENESS_MS..=MAX_LATENESS_MS,
        };
        self.rng.random_range(range)
    }

    /// Target of the newest call that may still replace the primary.
    pub fn outstanding_candidate(&self) -> Option<usize> {
        let targets = self.service.promotions.iter().rev();
        let mut candidates = targets.filter_map(|it| self.service.index(&it.target));
        candidates.find(|index| *index != self.service.leader)
    }

    /// Ends targets that have drained and do not lead; they deregister.
    pub fn end_drained_by_themselves(&mut self) {
        let (now, leader) = (self.now, self.service.leader);
        let mut ended = Vec::new();
        for (index, target) in self.service.targets.iter_mut().enumerate() {
            let has_drained = target.draining && now >= target.drains_until;
            if has_drained && index != leader && !target.departed {
                target.departed = true;
                ended.push(target.id.clone());
            }
        }
        for target in ended {
            self.service.record(now, format_args!("{target} has left"));
            self.post(Message::Deregister { target });
        }
    }

    /// Ends draining targets that no longer lead.
    pub fn end_drained(&mut self) {
        let leader = self.service.leader;
        for (index, target) in self.service.targets.iter_mut().enumerate() {
            if target.draining && index != leader && !target.departed {
                target.departed = true;
                if let Some(leader) = &mut self.leader {
                    leader.registry.remove(&target.id.as_str().into());
                }
            }
        }
    }
}
/// Failure domain of the target `t0`, `t1` and so on.
fn target_domain(id: &str) -> FailureDomain {
    domain_name(id[1..].parse().expect("a numbered target"))
}

fn announcement(target: &Target, sequence: u64) -> Announcement {
    Announcement {
        id: target.id.as_str().into(),
        service: service_name(),
        addr: format!("{}:1", target.id),
        domain: target_domain(&target.id),
        draining: target.draining,
        role: if target.is_primary { TargetRole::Primary } else { TargetRole::Replica },
        slots: 2,
        started_at_ms: target.started_at_ms,
        sequence,
        warmup_remaining: Millis(0),
    }
}
