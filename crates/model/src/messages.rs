//! Messages in flight between controllers, machines, the state service and the cloud, and their delivery.

use crate::elections::ElectionMessage;
use crate::faults::WrongDecision;
use crate::transactions::{CommitOutcome, LeaderCommit};
use crate::world::World;
use lupinspur_scheduler::election::{LEADERSHIP_KEY, shard_leadership_key};
use lupinspur_scheduler::shard::{HeartbeatOutcome, PushOutcome, PushRequest};
use lupinspur_wire::{Command, Heartbeat, Mutation, PushedCommands};
use std::time::Instant;

/// How long a controller waits for the response to pushed commands, in seconds.
pub(crate) const PUSH_RESPONSE_LIMIT_S: f64 = 1.2;

/// Why pushed commands do not reach a machine.
enum Undelivered {
    Lost,
    /// They may be executed after this time.
    DelayedUntil(f64),
}

/// A message in flight.
pub(crate) enum Message {
    /// A heartbeat on its way to a controller. `machine` is `usize::MAX` in a duplicate, which gets no reply.
    Heartbeat {
        node: usize,
        heartbeat: Heartbeat,
        machine: usize,
        sent: f64,
    },
    /// The reply to a heartbeat: the fencing token and commands of the leader; without them, `redirect_to` is the
    /// controller that the machine contacts next, if it is a valid number.
    HeartbeatReply {
        machine: usize,
        incarnation: u64,
        sent: f64,
        reply: Option<(u64, Vec<Command>)>,
        redirect_to: usize,
    },
    /// Pushed commands on their way to the machine with the number `to`.
    Push {
        node: usize,
        generation: u64,
        to: usize,
        push: PushRequest,
        /// Whether the sender still waits for the outcome.
        reports_outcome: bool,
    },
    /// A copy of pushed commands that were executed and answered, on its way to the machine with the number `to`.
    RepeatedPush {
        to: usize,
        commands: PushedCommands,
    },
    /// The outcome of pushed commands, as it reaches the controller that sent them.
    PushOutcome {
        node: usize,
        generation: u64,
        push: PushRequest,
        outcome: PushOutcome,
    },
    /// A leader's transaction on its way to the state service.
    Commit {
        commit: LeaderCommit,
        response_after_s: Option<f64>,
    },
    /// A delayed write, executed apart from the request that sent it: a duplicate of an exchange between shards, or a
    /// submission without a response.
    DelayedWrite {
        conditions: Vec<(String, u64)>,
        changes: Vec<Mutation>,
    },
    /// The cloud has deleted these machines.
    MachinesDeleted {
        node: usize,
        generation: u64,
        token: u64,
        machines: Vec<lupinspur_scheduler::intern::MachineIndex>,
        names: Vec<String>,
    },
    /// The response to a leader's transaction, or the end of the wait for one.
    CommitResponse {
        commit: LeaderCommit,
        outcome: CommitOutcome,
    },
    Election(ElectionMessage),
}

impl World {
    /// Delivers a message at the current time.
    pub(crate) fn deliver(&mut self, message: Message) {
        let (now, wrong_decision) = (self.now, self.wrong_decision);
        match message {
            Message::Heartbeat { node, heartbeat, machine, sent } => {
                let controller = &mut self.nodes[node];
                if now < controller.restarts_at || now < controller.workers_lost_until {
                    return;
                }
                // A paused process reads it when it resumes.
                if now < controller.paused_until {
                    let after = controller.paused_until - now;
                    return self.send(after, Message::Heartbeat { node, heartbeat, machine, sent });
                }
                let incarnation = heartbeat.incarnation;
                let heartbeat = self.apply_wrong_heartbeat_decision(node, heartbeat, machine == usize::MAX);
                let shard_index = self.shard_of_machine(node, &heartbeat.machine, heartbeat.token);
                let began = Instant::now();
                let outcome = shard_index
                    .and_then(|shard| Some(self.nodes[node].acting(shard, now)?.on_heartbeat(&heartbeat, now)));
                if let Some(shard) = shard_index {
                    self.counts.decision_seconds[shard] += began.elapsed().as_secs_f64();
                }
                if let Some(shard) = shard_index.filter(|_| outcome.is_some()) {
                    let answered = matches!(outcome, Some(HeartbeatOutcome::Reply(_)));
                    self.observe_heartbeat(node, shard, &heartbeat, machine == usize::MAX, answered);
                }
                let (reply, redirect_to) = match (outcome, shard_index) {
                    (Some(HeartbeatOutcome::Reply(r)), Some(shard)) => {
                        let token = self.apply_wrong_fencing_decision(node, shard, heartbeat.token, r.token);
                        (Some((token, r.commands)), node)
                    }
                    (Some(HeartbeatOutcome::Stale), _) | (_, None) => (None, usize::MAX),
                    (_, Some(shard)) => (None, self.leader_known_to(node, shard).unwrap_or(usize::MAX)),
                };
                if machine != usize::MAX {
                    let after = self.latency();
                    self.send(after, Message::HeartbeatReply { machine, incarnation, sent, reply, redirect_to });
                }
            }
            Message::HeartbeatReply { machine, incarnation, sent, reply, redirect_to } => {
                let can_communicate = self.can_communicate(self.machines[machine].controller, machine);
                let receiver = &mut self.machines[machine];
                let is_awaited = receiver.pending_heartbeat == Some((sent, sent + 4.0));
                if !receiver.is_up(now)
                    || now < receiver.hangs_until
                    || !can_communicate
                    || now < receiver.replies_lost_until
                    || !is_awaited
                {
                    self.counts.coincidences.heartbeat_replies_lost += 1;
                    return;
                }
                receiver.pending_heartbeat = None;
                match reply {
                    Some((token, commands)) => {
                        if token >= receiver.token && receiver.incarnation == incarnation {
                            receiver.token = token;
                            receiver.lease_renewed_at = sent;
                            self.execute_commands(machine, &commands);
                        }
                    }
                    None if redirect_to < self.controllers && redirect_to != receiver.controller => {
                        (receiver.controller, receiver.next_heartbeat_at) = (redirect_to, now + 0.2);
                    }
                    None => {
                        (receiver.controller, receiver.next_heartbeat_at) =
                            ((receiver.controller + 1) % self.controllers, now + 1.0)
                    }
                }
            }
            Message::Push { node, generation, to: index, push, reports_outcome } => {
                if let Some(reason) = self.undelivered(node, index) {
                    return self.delay_push(reason, node, generation, index, push, reports_outcome);
                }
                let receiver = &self.machines[index];
                let PushedCommands { token, incarnation, commands } = push.body.clone();
                let token_is_current =
                    token >= receiver.token || wrong_decision == Some(WrongDecision::IgnoresFencingTokens);
                let accepted = token_is_current && incarnation == receiver.incarnation;
                self.observe_commands(index, &push, !reports_outcome, accepted);
                if accepted {
                    self.machines[index].token = token.max(self.machines[index].token);
                    self.execute_commands(index, &commands);
                }
                let report = self.machines[index].next_heartbeat(self.wrong_decision);
                if reports_outcome {
                    if accepted {
                        self.repeat_commands(index, &push);
                    }
                    let after = self.latency();
                    let outcome = PushOutcome::Responded { executed: accepted, heartbeat: Some(report) };
                    self.send(after, Message::PushOutcome { node, generation, push, outcome });
                }
            }
            Message::RepeatedPush { to, commands } => self.deliver_repeated(to, commands),
            Message::PushOutcome { node, generation, push, outcome } => {
                let controller = &mut self.nodes[node];
                if controller.generation != generation {
                    return;
                }
                if now < controller.paused_until {
                    let after = controller.paused_until - now;
                    return self.send(after, Message::PushOutcome { node, generation, push, outcome });
                }
                let outcome = self.apply_wrong_push_decision(node, &push, outcome);
                if let Some(s) = self.nodes[node].shard_of(push.leader_token) {
                    s.on_push_outcome(&push, outcome, now);
                }
            }
            Message::DelayedWrite { conditions, changes } => {
                if self.store.up(now) {
                    self.store.commit(&conditions, &changes, None);
                }
            }
            Message::Commit { commit, response_after_s } => self.execute(commit, response_after_s),
            Message::CommitResponse { commit, outcome } => self.on_commit_response(commit, outcome),
            Message::Election(message) => self.on_election_message(message),
            Message::MachinesDeleted { node, generation, token, machines, names } => {
                for name in &names {
                    if let Some(i) = self.machine_index_by_name.get(name) {
                        self.machines[*i].gone = true;
                        self.machines[*i].tasks.clear();
                    }
                }
                let controller = &mut self.nodes[node];
                if controller.generation == generation
                    && let Some(s) = controller.shard_of(token)
                {
                    s.on_deleted(&machines);
                }
            }
        }
    }

    /// Returns why pushed commands do not reach a machine now; `None` if they do.
    fn undelivered(&self, node: usize, machine: usize) -> Option<Undelivered> {
        let (now, controller, receiver) = (self.now, &self.nodes[node], &self.machines[machine]);
        let until = |until| Some(Undelivered::DelayedUntil(until));
        match () {
            () if !receiver.is_up(now) || now < receiver.commands_lost_until => Some(Undelivered::Lost),
            () if !self.can_communicate(node, machine) => {
                until(receiver.partitioned_until.max(controller.zone_partitioned_until))
            }
            () if now < receiver.hangs_until => until(receiver.hangs_until),
            () => None,
        }
    }

    /// Delays or drops pushed commands; their sender does not learn the outcome. Commands to a hanging machine are
    /// executed when it resumes. Of the commands to a partitioned machine half are lost, and half are executed when
    /// the partition ends.
    fn delay_push(
        &mut self,
        reason: Undelivered,
        node: usize,
        generation: u64,
        to: usize,
        push: PushRequest,
        reports_outcome: bool,
    ) {
        if let Undelivered::DelayedUntil(until) = reason
            && (self.can_communicate(node, to) || self.fault_rng.bool())
        {
            let copy = PushRequest { starts: push.starts.clone(), body: push.body.clone(), ..push };
            let message = Message::Push { node, generation, to, push: copy, reports_outcome: false };
            self.in_flight.push((until, message));
        }
        if reports_outcome {
            self.send(
                PUSH_RESPONSE_LIMIT_S,
                Message::PushOutcome { node, generation, push, outcome: PushOutcome::Unknown },
            );
        }
    }

    /// Returns the key of the leadership record of a shard.
    pub(crate) fn leadership_key(&self, shard_index: usize) -> String {
        if self.shard_count == 1 { LEADERSHIP_KEY.to_owned() } else { shard_leadership_key(shard_index as u32) }
    }

    /// Returns the other controller that a controller knows as the leader of a shard.
    pub(crate) fn leader_known_to(&self, node: usize, shard_index: usize) -> Option<usize> {
        let name = self.nodes[node].slots[shard_index].election.other_leader()?;
        self.nodes.iter().position(|controller| controller.name == name)
    }
}
