//! What came of writes: applied, not applied, or told by the state service afterwards.

use super::{What, Write};
use crate::fleet::{AssignmentState, Phase as MachinePhase};
use crate::intern::{Index, JobIx, MachineIx};
use crate::jobs::Phase;
use crate::shard::Shard;

impl Shard {
    /// These writes are applied, all at this revision.
    pub fn on_applied(&mut self, writes: Vec<Write>, revision: u64, now: f64) {
        self.revision_seen(revision);
        for w in writes {
            self.in_flight.remove(&w.key);
            match w.what {
                What::Checkpoint => self.checkpoint_applied(&w.key),
                What::Cleanup => {
                    self.versions.remove(&w.key);
                    self.value_names(&w.key, &[]);
                    continue;
                }
                What::Final(j, phase) => self.end_stands(j, phase, now),
                What::Rack(_, contents) => {
                    // Its value may have room for names again.
                    self.place_due = true;
                    let machines: Vec<MachineIx> = contents.iter().map(|c| c.0).collect();
                    self.value_names(&w.key, &machines);
                    for (m, jobs, retiring) in contents {
                        self.record_applied(m, jobs, retiring);
                    }
                }
                What::Progress(j, c, r) => {
                    if self.jobs.get(j).is_some_and(|j| j.phase == Phase::Open) {
                        self.jobs.progress_stored(j, c, &r);
                    } else {
                        self.cleanup.insert(w.key.clone());
                    }
                }
                What::Fleet(r) => self.fleet_stored = r,
                What::Quota(step) => self.quota_applied(step),
                What::Accounts(round, place) => self.accounts_applied(round, place),
            }
            self.versions.insert(w.key, revision);
        }
    }

    /// The end of this job is stored, as the answer to its write or the watch tells, whichever comes first.
    pub(in crate::shard) fn end_stands(&mut self, j: JobIx, phase: Phase, now: f64) {
        if self.jobs.get(j).is_none_or(|job| job.phase != Phase::Open) {
            return;
        }
        let chunks: Vec<String> = self.jobs.progress_keys(j).filter(|k| self.versions.contains_key(k)).collect();
        self.cleanup.extend(chunks);
        self.finals.remove(&j);
        self.progress_due.remove(&j);
        self.jobs.settled(j, phase);
        self.account_end(j, phase, now);
        self.end_stored(j, now);
        self.after_end(j, phase, now);
    }

    fn record_applied(&mut self, m: MachineIx, jobs: Vec<JobIx>, retiring: bool) {
        if self.machines.get_mut(m).is_none() {
            return;
        }
        self.recorded_or_gone(m);
        let machine = &mut self.machines.list[m.ix()];
        machine.record_stored = true;
        if machine.is_reconciled() {
            // What is over may have been given back since this write was made.
            machine.stored_jobs = jobs.into_iter().filter(|j| self.jobs.get(*j).is_some()).collect();
        }
        if retiring && machine.phase == MachinePhase::Terminating {
            self.deletes.insert(m);
        }
        if machine.phase != MachinePhase::Up {
            return;
        }
        let mut again = false;
        for (k, h) in &mut machine.assignments {
            if h.state == AssignmentState::Planned {
                if machine.stored_jobs.contains(&k.0) {
                    h.state = AssignmentState::Commanded;
                    self.machines.push_due.insert(m);
                } else {
                    again = true;
                }
            }
        }
        if again {
            self.want_record(m);
        }
    }

    /// These writes were not applied: they are wanted still.
    pub fn on_not_applied(&mut self, writes: Vec<Write>) {
        for w in writes {
            self.in_flight.remove(&w.key);
            match w.what {
                What::Final(..) => {}
                What::Checkpoint => self.checkpoint_failed(&w.key),
                What::Rack(r, _) => self.rack_due(r),
                What::Progress(j, c, _) => {
                    if self.jobs.get(j).is_some_and(|j| j.phase == Phase::Open) {
                        self.jobs[j].dirty_chunks.insert(c);
                        self.progress_due.insert(j);
                    }
                }
                What::Fleet(_) | What::Quota(_) | What::Accounts(..) => {}
                What::Cleanup => _ = self.cleanup.insert(w.key),
            }
        }
    }

    /// The state service's own word on a key whose version was in doubt.
    pub fn on_version(&mut self, key: &str, version: u64) {
        if version == 0 {
            self.versions.remove(key);
        } else {
            self.versions.insert(key.to_owned(), version);
        }
    }
}
