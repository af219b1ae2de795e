//! The largest jobs of each class begin in time.
//!
//! Where more waits than the machines can take, small jobs go before large ones, since of small ones
//! many more are served. A class's largest jobs would wait for as long as that lasts. So one of them
//! that has waited for [`LARGE_JOB_WAIT_S`] gets a first part of its tasks before other batch work does,
//! and later the rest, out of a share that is set apart for that; at its team's limit the team's other work waits for it,
//! and where none of its tasks fits anywhere, a machine is kept for it until one does.
//!
//! The largest are a class's top tenth, at least one job, by tasks times cpus and by tasks, of those
//! that this leader knows to have come last.

use super::placement::may_run_beside;
use super::*;
use crate::wire::Priority;
use lupinspur_service_levels::Reading;

/// A job waits for so long, in seconds, before its first part goes ahead. Users are promised four
/// minutes; boots, a failover and the end of what runs there come out of the rest.
const LARGE_JOB_WAIT_S: u64 = 60;
/// Where a class's jobs are all alike nothing holds back its largest but its turn: later, and later
/// still where they have one task each.
const UNIFORM_CLASS_WAIT_S: u64 = 90;
const SINGLE_TASK_WAIT_S: u64 = 150;
/// After so many seconds more half of its tasks go ahead, and after as many again all of them.
const NEXT_ALLOCATION_S: u64 = 60;
/// The largest jobs are promised to begin within this, in seconds.
const PROMISED_S: u64 = 240;
/// Of an array, one task in so many is the first part.
const INITIAL_ALLOCATION_DIVISOR: u32 = 10;
/// Of the cpus that other batch work gets, so many more are set apart for first parts; and so many at
/// the most, and half of it at the beginning.
const SHARE: f64 = 0.2;
const MAX_CREDIT: f64 = 64.0;
/// Jobs of a class whose sizes are remembered, and classes.
const SIZES_KEPT: usize = 100;
const MAX_CLASSES: usize = 64;
/// One in so many is among the largest.
const TENTH: usize = 10;
/// A machine is kept for one job for so long, in seconds, before another one is tried.
const RESERVATION_TIMEOUT_S: f64 = 90.0;
/// Machines kept at a time, one in so many, and at least one.
const MACHINES_PER_RESERVATION: usize = 50;
/// Machines and limits are kept for so long without a break, in seconds: nobody waits for 90 s beside a machine that fits.
const MAX_RESERVATION_SPELL_S: f64 = 75.0;
/// In a break everybody may take what was kept, for so long, in seconds.
const RESERVATION_BREAK_S: f64 = 2.0;
/// Where nothing was kept for so long, in seconds, what is kept next is kept anew.
const RESERVATION_GAP_S: f64 = 5.0;

/// The sizes of a class's jobs that came last.
#[derive(Debug, Default)]
struct Sizes {
    last: VecDeque<(f64, u32)>,
    /// From this size on a job is among the largest.
    least: (f64, u32),
    /// The size in the middle.
    median: (f64, u32),
}

#[derive(Debug, Default)]
pub(super) struct LargeJobReservations {
    classes: HashMap<String, Sizes>,
    pub(super) credit: f64,
    /// Machines that take nothing new until a task of this job fits, and since when.
    reserved: BTreeMap<MachineIndex, (JobIndex, f64)>,
    spell: ReservationSpell,
}

/// Since when machines or limits are kept without a break, when that was last so, and until when the present
/// break lasts.
#[derive(Debug, Default, Clone, Copy)]
struct ReservationSpell {
    since: f64,
    last: f64,
    break_until: f64,
}

impl ReservationSpell {
    fn on_reserved(&mut self, now: f64) {
        if now - self.last > RESERVATION_GAP_S {
            self.since = now;
        }
        self.last = now;
    }

    fn in_break(&self, now: f64) -> bool {
        now < self.break_until
    }

    /// May anything be kept now? A break begins where that has lasted for too long.
    fn may_reserve(&mut self, now: f64) -> bool {
        if now - self.last <= RESERVATION_GAP_S && now - self.since > MAX_RESERVATION_SPELL_S {
            *self = ReservationSpell {
                since: now + RESERVATION_BREAK_S,
                last: f64::MIN,
                break_until: now + RESERVATION_BREAK_S,
            };
        }
        !self.in_break(now)
    }
}

fn size(request: &crate::wire::JobRequest) -> (f64, u32) {
    (f64::from(request.tasks) * request.cpus, request.tasks)
}

impl LargeJobReservations {
    pub(super) fn new() -> LargeJobReservations {
        LargeJobReservations { credit: MAX_CREDIT / 2.0, ..LargeJobReservations::default() }
    }

    fn record_size(&mut self, request: &crate::wire::JobRequest) {
        if !self.classes.contains_key(&request.class) && self.classes.len() >= MAX_CLASSES {
            return;
        }
        let sizes = self.classes.entry(request.class.clone()).or_default();
        if sizes.last.len() >= SIZES_KEPT {
            sizes.last.pop_front();
        }
        sizes.last.push_back(size(request));
        let at = |n: usize| n - n.div_ceil(TENTH);
        let (mut cpus, mut tasks): (Vec<f64>, Vec<u32>) = sizes.last.iter().copied().unzip();
        cpus.sort_by(f64::total_cmp);
        tasks.sort_unstable();
        sizes.least = (cpus[at(cpus.len())], tasks[at(tasks.len())]);
        sizes.median = (cpus[cpus.len() / 2], tasks[tasks.len() / 2]);
    }

    /// After how long a job goes ahead, in seconds, if it is among the largest of its class.
    fn initial_wait_s(&self, request: &crate::wire::JobRequest) -> Option<u64> {
        let (cpus, tasks) = size(request);
        let s = self.classes.get(&request.class)?;
        let one = cpus + EPSILON >= s.least.0 || tasks >= s.least.1;
        let alike = s.last.len() > 1 && cpus <= s.median.0 + EPSILON && tasks <= s.median.1;
        one.then_some(match alike {
            false => LARGE_JOB_WAIT_S,
            true if tasks > 1 => UNIFORM_CLASS_WAIT_S,
            true => SINGLE_TASK_WAIT_S,
        })
    }
}

impl Shard {
    pub(super) fn record_job_size(&mut self, job_index: JobIndex) {
        if self.jobs[job_index].phase == Phase::Open {
            self.large_jobs.record_size(&self.jobs[job_index].spec);
        }
    }

    /// Tells the accounts which of the largest jobs began within the promised time, each once, and
    /// which did not.
    pub(super) fn report_large_jobs(&mut self, now: f64, t: f64) {
        let now_ms = self.day_now_ms(now);
        let mut told = Vec::new();
        for &j in &self.jobs.live {
            let job = &self.jobs[j];
            if job.large_job_reported || !job.is_open() || job.is_failing_everywhere() {
                continue;
            }
            let waited_s = now_ms.saturating_sub(job.ready_at_ms) / 1000;
            let begun = job.started > 0 || job.done > 0;
            if !begun && waited_s <= PROMISED_S {
                continue;
            }
            // What an earlier leader saw begin, or wait for too long, it has told.
            let earlier = job.known_since <= self.began_at
                && (waited_s.saturating_sub((now - self.began_at) as u64) > PROMISED_S || begun);
            let one = self.large_jobs.initial_wait_s(&job.spec).is_some() && !earlier;
            told.push((j, one.then_some(begun && waited_s <= PROMISED_S)));
        }
        for (j, served) in told {
            let job = &mut self.jobs[j];
            job.large_job_reported = true;
            if let Some(served) = served {
                if !served {
                    log::warn!("large job not begun in time job={} class={}", job.id, job.spec.class);
                }
                let (class, team) = (job.spec.class.clone(), job.spec.team.clone());
                self.service_level_tracker.record_request(&class, &team, Reading::Largest, served, t);
            }
        }
    }

    /// The first part of this job's tasks, if it is to go ahead of other batch work now.
    pub(crate) fn initial_allocation(&self, job_index: JobIndex, now_ms: u64) -> Option<u32> {
        let job = &self.jobs[job_index];
        let waited_s = now_ms.saturating_sub(job.ready_at_ms) / 1000;
        if waited_s < LARGE_JOB_WAIT_S || job.spec.priority == Priority::Production || job.is_failing_everywhere() {
            return None;
        }
        let over_s = waited_s.checked_sub(self.large_jobs.initial_wait_s(&job.spec)?)?;
        let tasks = job.spec.tasks;
        let goes = match over_s / NEXT_ALLOCATION_S {
            0 => tasks.div_ceil(INITIAL_ALLOCATION_DIVISOR),
            1 => tasks.div_ceil(2),
            _ => tasks,
        };
        Some(goes.saturating_sub(job.assigned + job.done)).filter(|n| *n > 0)
    }

    /// A batch task starts that takes so many cpus.
    pub(crate) fn on_batch_task_started(&mut self, cpus: f64, first_part: bool) {
        let change = if first_part { -cpus } else { cpus * SHARE };
        self.large_jobs.credit = (self.large_jobs.credit + change).min(MAX_CREDIT);
    }

    /// What is set apart for first parts, in cpus.
    pub(crate) fn initial_allocation_credit(&self) -> f64 {
        self.large_jobs.credit
    }

    /// Will its team's limit let a task of this job run once the team's other batch work is over? Where
    /// services hold too much of the limit nothing must wait for it: it would wait for ever.
    pub(crate) fn limit_will_suffice(&self, job_index: JobIndex) -> bool {
        let job = &self.jobs[job_index];
        let team = &self.teams[job.team.as_usize()].spec;
        let services = self.jobs.live.iter().map(|i| &self.jobs[*i]).filter(|o| o.team == job.team && o.is_service());
        let (cpus, accelerators) = services.fold((0.0, 0.0), |(c, g), o| {
            let n = f64::from(o.assigned);
            (c + n * o.spec.cpus, g + n * o.spec.accelerators)
        });
        let fits = |max: f64, held: f64, need: f64| max <= 0.0 || held + need <= max + EPSILON;
        fits(team.cpus_max, cpus, job.spec.cpus) && fits(team.accelerators_max, accelerators, job.spec.accelerators)
    }

    /// No machine has room for a task of this job: one is kept free of other batch work until it has.
    /// What may be stopped for it there is stopped.
    pub(crate) fn reserve_machine(&mut self, job_index: JobIndex, now: f64) {
        let job = &self.jobs[job_index];
        let kept = self.large_jobs.reserved.iter().find(|(_, k)| k.0 == job_index).map(|(m, _)| *m);
        let most = (self.machines.present.len() / MACHINES_PER_RESERVATION).max(1);
        if self.large_jobs.spell.in_break(now) || kept.is_none() && self.large_jobs.reserved.len() >= most {
            return;
        }
        let heartbeat_timeout_s = self.recent_heartbeat_s();
        let could = |m: &crate::fleet::Machine| {
            !m.in_on_demand_base
                && m.is_usable(now, heartbeat_timeout_s)
                && may_run_beside(self, job, m, job.assigned, job.assigned_in_zone(m.zone))
                && type_fits(&job.spec, self.types.get(m.type_index))
        };
        // Until what must be waited for there is over, in seconds, about.
        let clears = |m: &crate::fleet::Machine| {
            let left = m.assignments.iter().filter(|(k, _)| self.jobs[k.job].spec.priority <= job.spec.priority);
            left.map(|(k, h)| match self.jobs[k.job].spec.estimate_s {
                0.0 => f64::INFINITY,
                s => (s - (now - h.assigned_at)).max(1.0),
            })
            .fold(0.0, f64::max)
        };
        let m = kept.filter(|m| could(&self.machines[*m])).or_else(|| {
            let all = self.machines.iter().filter(|(i, m)| could(m) && !self.large_jobs.reserved.contains_key(i));
            // One with services never clears: kept, it would only be lost to everybody.
            let clears = all.map(|(i, m)| (clears(m), i)).filter(|c| c.0.is_finite());
            clears.min_by(|a, b| a.0.total_cmp(&b.0)).map(|o| o.1)
        });
        let Some(m) = m else { return };
        self.large_jobs.spell.on_reserved(now);
        if kept != Some(m) {
            self.large_jobs.reserved.retain(|_, k| k.0 != job_index);
            log::info!("machine reserved machine={} job={}", self.machines[m].name, self.jobs[job_index].id);
            self.large_jobs.reserved.insert(m, (job_index, now));
        }
        let priority = self.jobs[job_index].spec.priority;
        let gives = |k: &TaskKey, h: &Assignment| h.stop_grace_s.is_none() && self.jobs[k.job].spec.priority > priority;
        let gives: Vec<TaskKey> =
            self.machines[m].assignments.iter().filter(|(k, h)| gives(k, h)).map(|(k, _)| *k).collect();
        if self.state_service_writable {
            gives.into_iter().for_each(|k| self.stop_gently(m, k));
        }
    }

    /// Is this machine kept for another job than this one?
    pub(crate) fn is_reserved_for_other(&self, machine_index: MachineIndex, job_index: JobIndex) -> bool {
        self.large_jobs.reserved.get(&machine_index).is_some_and(|k| k.0 != job_index)
    }

    /// Its team's limit is kept for a large job, if there is no break.
    pub(crate) fn reserve_limit(&mut self, now: f64) -> bool {
        let may_keep = !self.large_jobs.spell.in_break(now);
        if may_keep {
            self.large_jobs.spell.on_reserved(now);
        }
        may_keep
    }

    /// Machines are kept for jobs that still wait for them, and for a while; once a pass.
    pub(crate) fn expire_reservations(&mut self, now: f64) {
        if !self.large_jobs.spell.may_reserve(now) {
            self.large_jobs.reserved.clear();
        }
        let (jobs, machines) = (&self.jobs, &self.machines);
        self.large_jobs.reserved.retain(|m, (j, since)| {
            let waits = jobs.get(*j).is_some_and(|j| j.is_open() && j.unfinished() > j.assigned);
            let there = machines.list.get(*m).is_some_and(|m| m.phase == MachinePhase::Up && !m.cordoned);
            waits && there && now - *since < RESERVATION_TIMEOUT_S
        });
        if !self.large_jobs.reserved.is_empty() {
            self.large_jobs.spell.on_reserved(now);
        }
    }
}
