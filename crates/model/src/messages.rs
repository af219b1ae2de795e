//! What is under way between controllers, machines, the state service and the cloud.

use crate::elections::ClaimMessage;
use crate::transactions::{CommitOutcome, LeaderCommit};
use crate::trouble::Wrong;
use crate::world::World;
use lupinspur_scheduler::election::{LEADERSHIP_KEY, shard_leadership_key};
use lupinspur_scheduler::shard::{HeartbeatOutcome, PushOutcome, PushRequest};
use lupinspur_wire::{Command, Heartbeat, Mutation, PushedCommands};
use std::time::Instant;

/// After this a controller knows that direct commands have no answer.
pub(crate) const UNANSWERED_S: f64 = 1.2;

/// Why direct commands do not reach a machine.
enum HeldUp {
    Lost,
    /// They may arrive after this.
    Until(f64),
}

pub(crate) enum Message {
    Report {
        node: usize,
        report: Heartbeat,
        machine: usize,
        sent: f64,
    },
    Answer {
        machine: usize,
        incarnation: u64,
        sent: f64,
        answer: Option<(u64, Vec<Command>)>,
        to: usize,
    },
    Commands {
        node: usize,
        life: u64,
        to: usize,
        send: PushRequest,
        outcome: bool,
    },
    Outcome {
        node: usize,
        life: u64,
        send: PushRequest,
        outcome: PushOutcome,
    },
    Commit {
        commit: LeaderCommit,
        answered: Option<f64>,
    },
    /// A write of what passes between shards that comes once more, late.
    Again {
        conditions: Vec<(String, u64)>,
        changes: Vec<Mutation>,
    },
    Deleted {
        node: usize,
        life: u64,
        token: u64,
        machines: Vec<lupinspur_scheduler::intern::MachineIndex>,
        names: Vec<String>,
    },
    CommitAnswer {
        commit: LeaderCommit,
        outcome: CommitOutcome,
    },
    Claim(ClaimMessage),
}

impl World {
    pub(crate) fn deliver(&mut self, m: Message) {
        let (now, wrong) = (self.now, self.wrong);
        match m {
            Message::Report { node, report, machine, sent } => {
                let n = &mut self.nodes[node];
                if now < n.back_at || now < n.no_workers {
                    return;
                }
                // A process that stands still reads it when it goes on.
                if now < n.still {
                    let after = n.still - now;
                    return self.send(after, Message::Report { node, report, machine, sent });
                }
                let incarnation = report.incarnation;
                let report = self.misread(node, report, machine == usize::MAX);
                let cell = self.shard_of_machine(node, &report.machine, report.token);
                let began = Instant::now();
                let heard = cell.and_then(|c| Some(self.nodes[node].acting(c, now)?.on_heartbeat(&report, now)));
                if let Some(c) = cell {
                    self.counts.processor[c] += began.elapsed().as_secs_f64();
                }
                if let Some(c) = cell.filter(|_| heard.is_some()) {
                    let answered = matches!(heard, Some(HeartbeatOutcome::Reply(_)));
                    self.observe_report(node, c, &report, machine == usize::MAX, answered);
                }
                let (answer, to) = match (heard, cell) {
                    (Some(HeartbeatOutcome::Reply(r)), _) => (Some((r.token, r.commands)), node),
                    (Some(HeartbeatOutcome::Stale), _) | (_, None) => (None, usize::MAX),
                    (_, Some(c)) => (None, self.leader_known_to(node, c).unwrap_or(usize::MAX)),
                };
                if machine != usize::MAX {
                    let after = self.latency();
                    self.send(after, Message::Answer { machine, incarnation, sent, answer, to });
                }
            }
            Message::Answer { machine, incarnation, sent, answer, to } => {
                let linked = self.linked(self.machines[machine].at, machine);
                let m = &mut self.machines[machine];
                let waited = m.waits == Some((sent, sent + 4.0));
                if !m.there(now) || now < m.hangs || !linked || now < m.deaf_answers || !waited {
                    self.counts.coincidences.answers_lost += 1;
                    return;
                }
                m.waits = None;
                match answer {
                    Some((token, commands)) => {
                        if token >= m.token && m.incarnation == incarnation {
                            m.token = token;
                            m.renewed = sent;
                            self.obey(machine, &commands);
                        }
                    }
                    None if to < self.controllers && to != m.at => (m.at, m.next_report) = (to, now + 0.2),
                    None => (m.at, m.next_report) = ((m.at + 1) % self.controllers, now + 1.0),
                }
            }
            Message::Commands { node, life, to: i, send, outcome } => {
                if let Some(held) = self.held_up(node, i) {
                    return self.hold_commands(held, node, life, i, send, outcome);
                }
                let m = &self.machines[i];
                let PushedCommands { token, incarnation, commands } = send.body.clone();
                let token_holds = token >= m.token || wrong == Some(Wrong::IgnoresTokens);
                let good = token_holds && incarnation == m.incarnation;
                self.observe_commands(i, &send, !outcome, good);
                if good {
                    self.machines[i].token = token.max(self.machines[i].token);
                    self.obey(i, &commands);
                }
                let report = self.machines[i].report(self.wrong);
                if outcome {
                    let after = self.latency();
                    let outcome = PushOutcome::Responded { executed: good, heartbeat: Some(report) };
                    self.send(after, Message::Outcome { node, life, send, outcome });
                }
            }
            Message::Outcome { node, life, send, outcome } => {
                let n = &mut self.nodes[node];
                if n.life != life {
                    return;
                }
                if now < n.still {
                    let after = n.still - now;
                    return self.send(after, Message::Outcome { node, life, send, outcome });
                }
                let outcome = self.misjudge_outcome(node, &send, outcome);
                if let Some(s) = self.nodes[node].shard_of(send.body.token) {
                    s.on_push_outcome(&send, outcome, now);
                }
            }
            Message::Again { conditions, changes } => {
                if self.store.up(now) {
                    self.store.commit(&conditions, &changes, None);
                }
            }
            Message::Commit { commit, answered } => self.execute(commit, answered),
            Message::CommitAnswer { commit, outcome } => self.on_commit_answer(commit, outcome),
            Message::Claim(message) => self.on_claim_message(message),
            Message::Deleted { node, life, token, machines, names } => {
                for n in &names {
                    if let Some(i) = self.by_name.get(n) {
                        self.machines[*i].gone = true;
                        self.machines[*i].tasks.clear();
                    }
                }
                let n = &mut self.nodes[node];
                if n.life == life
                    && let Some(s) = n.shard_of(token)
                {
                    s.on_deleted(&machines);
                }
            }
        }
    }

    /// Why direct commands do not reach a machine now, if they do not.
    fn held_up(&self, node: usize, machine: usize) -> Option<HeldUp> {
        let (now, n, m) = (self.now, &self.nodes[node], &self.machines[machine]);
        let until = |until| Some(HeldUp::Until(until));
        match () {
            () if !m.there(now) || now < m.deaf_commands => Some(HeldUp::Lost),
            () if !self.linked(node, machine) => until(m.cut.max(n.zone_cut)),
            () if now < m.hangs => until(m.hangs),
            () => None,
        }
    }

    /// Their sender does not learn what becomes of them. What is held up by a hang is executed when the machine
    /// goes on, and half of what is held up by a cut when the cut is over.
    fn hold_commands(&mut self, held: HeldUp, node: usize, life: u64, to: usize, send: PushRequest, outcome: bool) {
        if let HeldUp::Until(until) = held
            && (self.linked(node, to) || self.chance.bool())
        {
            let copy = PushRequest { starts: send.starts.clone(), body: send.body.clone(), ..send };
            let message = Message::Commands { node, life, to, send: copy, outcome: false };
            self.under_way.push((until, message));
        }
        if outcome {
            self.send(UNANSWERED_S, Message::Outcome { node, life, send, outcome: PushOutcome::Unknown });
        }
    }

    pub(crate) fn leadership_key(&self, cell: usize) -> String {
        if self.cells == 1 { LEADERSHIP_KEY.to_owned() } else { shard_leadership_key(cell as u32) }
    }

    pub(crate) fn leader_known_to(&self, node: usize, cell: usize) -> Option<usize> {
        let name = self.nodes[node].cells[cell].own.other_leader()?;
        self.nodes.iter().position(|n| n.name == name)
    }
}
