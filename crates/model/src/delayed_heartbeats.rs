//! Duplicated heartbeats that are held back and delivered to every controller when a shard has a new leader.

use crate::messages::Message;
use crate::world::World;
use lupinspur_wire::Heartbeat;

/// Largest number of copies that are held back.
const MAX_COPIES: usize = 200;
/// The copies arrive within this time after the new leader begins, in seconds.
const DELIVERED_WITHIN_S: f64 = 0.5;

/// The copies held back, and the leaders known so far.
#[derive(Default)]
pub(crate) struct HeartbeatCopies {
    copies: Vec<Heartbeat>,
    /// The highest fencing token of a leader, by shard.
    leader_tokens: Vec<u64>,
}

impl World {
    /// Holds back copies of half of the heartbeats, chosen at random, while the fault is active.
    pub(crate) fn keep_heartbeat_copy(&mut self, heartbeat: &Heartbeat) {
        let is_active = self.now < self.active_faults.heartbeat_copies_until;
        if is_active && self.heartbeat_copies.copies.len() < MAX_COPIES && self.fault_rng.bool() {
            self.heartbeat_copies.copies.push(heartbeat.clone());
        }
    }

    /// Sends the copies to every controller when a shard has a new leader.
    pub(crate) fn step_heartbeat_copies(&mut self) {
        let newest_token = |shard_index: usize| {
            self.nodes.iter().filter_map(|node| Some(node.slots[shard_index].shard.as_ref()?.token)).max()
        };
        let newest: Vec<u64> =
            (0..self.shard_count).map(|shard_index| newest_token(shard_index).unwrap_or(0)).collect();
        self.heartbeat_copies.leader_tokens.resize(self.shard_count, 0);
        let has_new_leader = newest.iter().zip(&self.heartbeat_copies.leader_tokens).any(|(new, old)| new > old);
        for (old, new) in self.heartbeat_copies.leader_tokens.iter_mut().zip(newest) {
            *old = new.max(*old);
        }
        if !has_new_leader {
            return;
        }
        for heartbeat in std::mem::take(&mut self.heartbeat_copies.copies) {
            for node in 0..self.controllers {
                let after = self.fault_rng.f64() * DELIVERED_WITHIN_S;
                let (machine, sent) = (usize::MAX, self.now);
                self.send(after, Message::Heartbeat { node, heartbeat: heartbeat.clone(), machine, sent });
            }
        }
    }
}
