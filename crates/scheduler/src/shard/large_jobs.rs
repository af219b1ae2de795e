//! Lets the largest jobs of each class begin in time under overload.
//!
//! When more work waits than the machines can take, small jobs are placed before large ones, because more jobs are
//! served that way. The largest jobs of a class would wait until the overload ends. So a large job that has waited for
//! [`LARGE_JOB_WAIT_S`] gets an initial allocation, a part of its tasks, before other batch work, and the rest later;
//! the cpus for this come from a credit that is set apart. If its team is at its limit, the team's other batch work
//! waits for the job. If none of its tasks fits on any machine, a machine is reserved for it until one does.
//!
//! The largest jobs are the top tenth of a class, at least one, by tasks times cpus or by tasks, among the last
//! [`SIZES_KEPT`] jobs of the class that this leader knows.

use super::placement::satisfies_constraints;
use super::*;
use crate::wire::Priority;
use lupinspur_service_levels::Reading;

/// Seconds that a large job waits before its initial allocation. The objective is a start within four minutes
/// ([`START_OBJECTIVE_S`]); the rest of that covers machine boots, a failover and the end of running tasks.
const LARGE_JOB_WAIT_S: u64 = 60;
/// Seconds that a job no larger than its class's median waits instead: in a class of equal jobs, the largest are
/// delayed only by the order of the queue.
const UNIFORM_CLASS_WAIT_S: u64 = 90;
/// Seconds that such a job waits if it has a single task.
const SINGLE_TASK_WAIT_S: u64 = 150;
/// Seconds after the initial allocation until half of the job's tasks are allowed, and again until all of them are.
const NEXT_ALLOCATION_S: u64 = 60;
/// Seconds within which the largest jobs are to begin, by their objective.
const START_OBJECTIVE_S: u64 = 240;
/// The initial allocation is this fraction (1/n) of a job's tasks.
const INITIAL_ALLOCATION_DIVISOR: u32 = 10;
/// Cpus set apart for initial allocations, as a share of the cpus given to other batch work.
const CREDIT_SHARE: f64 = 0.2;
/// Most cpus set apart for initial allocations; a leader begins with half of it.
const MAX_CREDIT: f64 = 64.0;
/// Job sizes remembered per class.
const SIZES_KEPT: usize = 100;
/// Classes of which job sizes are remembered.
const MAX_CLASSES: usize = 64;
/// This fraction (1/n) of a class's jobs are its largest.
const LARGEST_DIVISOR: usize = 10;
/// Seconds for which a machine stays reserved for a job before another machine is tried.
const RESERVATION_TIMEOUT_S: f64 = 90.0;
/// One machine in this many can be reserved at a time, and always at least one.
const MACHINES_PER_RESERVATION: usize = 50;
/// Longest uninterrupted time in seconds during which machines or limits are reserved, so that no job waits 90 s while
/// a suitable machine is free.
const MAX_RESERVATION_PERIOD_S: f64 = 75.0;
/// Seconds of the break after that, in which reservations don't hold.
const RESERVATION_BREAK_S: f64 = 2.0;
/// Seconds without a reservation after which the next one begins a new period.
const RESERVATION_GAP_S: f64 = 5.0;

/// The sizes of a class's last jobs, each as cpus of all its tasks and number of tasks.
#[derive(Debug, Default)]
struct Sizes {
    last: VecDeque<(f64, u32)>,
    /// The least cpus and the least tasks of the largest jobs.
    largest_from: (f64, u32),
    /// The median cpus and the median number of tasks.
    median: (f64, u32),
}

/// The job sizes, the credit and the reserved machines of large jobs.
#[derive(Debug, Default)]
pub(super) struct LargeJobReservations {
    classes: HashMap<String, Sizes>,
    /// Cpus set apart for initial allocations.
    pub(super) credit: f64,
    /// Reserved machines: the job for which no other batch work may start there, and since when.
    reserved: BTreeMap<MachineIndex, (JobIndex, f64)>,
    period: ReservationPeriod,
}

/// The current period of uninterrupted reservations, and the break after it. Times are in seconds.
#[derive(Debug, Default, Clone, Copy)]
struct ReservationPeriod {
    began_at: f64,
    last_reserved_at: f64,
    break_until: f64,
}

impl ReservationPeriod {
    /// Notes that something is reserved now.
    fn on_reserved(&mut self, now: f64) {
        if now - self.last_reserved_at > RESERVATION_GAP_S {
            self.began_at = now;
        }
        self.last_reserved_at = now;
    }

    fn in_break(&self, now: f64) -> bool {
        now < self.break_until
    }

    /// Returns whether reservations are allowed now. Begins a break if the current period has lasted too long.
    fn may_reserve(&mut self, now: f64) -> bool {
        if now - self.last_reserved_at <= RESERVATION_GAP_S && now - self.began_at > MAX_RESERVATION_PERIOD_S {
            *self = ReservationPeriod {
                began_at: now + RESERVATION_BREAK_S,
                last_reserved_at: f64::MIN,
                break_until: now + RESERVATION_BREAK_S,
            };
        }
        !self.in_break(now)
    }
}

/// Returns the cpus of all tasks, and the number of tasks.
fn size(request: &crate::wire::JobRequest) -> (f64, u32) {
    (f64::from(request.tasks) * request.cpus, request.tasks)
}

impl LargeJobReservations {
    pub(super) fn new() -> LargeJobReservations {
        LargeJobReservations { credit: MAX_CREDIT / 2.0, ..LargeJobReservations::default() }
    }

    /// Records the size of a job and updates the bounds of its class.
    fn record_size(&mut self, request: &crate::wire::JobRequest) {
        if !self.classes.contains_key(&request.class) && self.classes.len() >= MAX_CLASSES {
            return;
        }
        let sizes = self.classes.entry(request.class.clone()).or_default();
        if sizes.last.len() >= SIZES_KEPT {
            sizes.last.pop_front();
        }
        sizes.last.push_back(size(request));
        let first_of_largest = |n: usize| n - n.div_ceil(LARGEST_DIVISOR);
        let (mut cpus, mut tasks): (Vec<f64>, Vec<u32>) = sizes.last.iter().copied().unzip();
        cpus.sort_by(f64::total_cmp);
        tasks.sort_unstable();
        sizes.largest_from = (cpus[first_of_largest(cpus.len())], tasks[first_of_largest(tasks.len())]);
        sizes.median = (cpus[cpus.len() / 2], tasks[tasks.len() / 2]);
    }

    /// Returns the seconds that a job waits before its initial allocation; `None` unless it is one of the largest of
    /// its class.
    fn initial_wait_s(&self, request: &crate::wire::JobRequest) -> Option<u64> {
        let (cpus, tasks) = size(request);
        let sizes = self.classes.get(&request.class)?;
        let is_large = cpus + EPSILON >= sizes.largest_from.0 || tasks >= sizes.largest_from.1;
        let is_within_median = sizes.last.len() > 1 && cpus <= sizes.median.0 + EPSILON && tasks <= sizes.median.1;
        is_large.then_some(match is_within_median {
            false => LARGE_JOB_WAIT_S,
            true if tasks > 1 => UNIFORM_CLASS_WAIT_S,
            true => SINGLE_TASK_WAIT_S,
        })
    }
}

impl Shard {
    /// Records the size of an open job.
    pub(super) fn record_job_size(&mut self, job_index: JobIndex) {
        if self.jobs[job_index].phase == Phase::Open {
            self.large_jobs.record_size(&self.jobs[job_index].spec);
        }
    }

    /// Reports each of the largest jobs to the service-level tracker once, with whether it began within
    /// [`START_OBJECTIVE_S`].
    pub(super) fn report_large_jobs(&mut self, now: f64, day_now_s: f64) {
        let now_ms = self.wall_clock_ms(now);
        let mut reports = Vec::new();
        for &job_index in &self.jobs.live {
            let job = &self.jobs[job_index];
            if job.large_job_reported || !job.is_open() || job.is_failing_everywhere() {
                continue;
            }
            let waited_s = now_ms.saturating_sub(job.ready_at_ms) / 1000;
            let begun = job.started > 0 || job.done > 0;
            if !begun && waited_s <= START_OBJECTIVE_S {
                continue;
            }
            // An earlier leader has reported the jobs that began, or waited too long, under it.
            let reported_earlier = job.known_since <= self.began_at
                && (waited_s.saturating_sub((now - self.began_at) as u64) > START_OBJECTIVE_S || begun);
            let is_counted = self.large_jobs.initial_wait_s(&job.spec).is_some() && !reported_earlier;
            reports.push((job_index, is_counted.then_some(begun && waited_s <= START_OBJECTIVE_S)));
        }
        for (job_index, served) in reports {
            let job = &mut self.jobs[job_index];
            job.large_job_reported = true;
            if let Some(served) = served {
                if !served {
                    log::warn!("large job did not begin in time job={} class={}", job.id, job.spec.class);
                }
                let (class, team) = (job.spec.class.clone(), job.spec.team.clone());
                self.service_level_tracker.record_request(&class, &team, Reading::Largest, served, day_now_s);
            }
        }
    }

    /// Returns how many tasks of this job may start before other batch work now; `None` if none may.
    pub(crate) fn initial_allocation(&self, job_index: JobIndex, now_ms: u64) -> Option<u32> {
        let job = &self.jobs[job_index];
        let waited_s = now_ms.saturating_sub(job.ready_at_ms) / 1000;
        if waited_s < LARGE_JOB_WAIT_S || job.spec.priority == Priority::Production || job.is_failing_everywhere() {
            return None;
        }
        let overdue_s = waited_s.checked_sub(self.large_jobs.initial_wait_s(&job.spec)?)?;
        let tasks = job.spec.tasks;
        let allowed = match overdue_s / NEXT_ALLOCATION_S {
            0 => tasks.div_ceil(INITIAL_ALLOCATION_DIVISOR),
            1 => tasks.div_ceil(2),
            _ => tasks,
        };
        Some(allowed.saturating_sub(job.assigned + job.done)).filter(|n| *n > 0)
    }

    /// Updates the credit when a batch task of this many cpus starts: an initial allocation uses it, other work adds to
    /// it.
    pub(crate) fn on_batch_task_started(&mut self, cpus: f64, is_initial_allocation: bool) {
        let change = if is_initial_allocation { -cpus } else { cpus * CREDIT_SHARE };
        self.large_jobs.credit = (self.large_jobs.credit + change).min(MAX_CREDIT);
    }

    /// Returns the cpus set apart for initial allocations.
    pub(crate) fn initial_allocation_credit(&self) -> f64 {
        self.large_jobs.credit
    }

    /// Returns whether its team's limit lets a task of this job run once the team's other batch work has ended. If
    /// services use too much of the limit, other work must not wait for the job, since the wait would never end.
    pub(crate) fn limit_will_suffice(&self, job_index: JobIndex) -> bool {
        let job = &self.jobs[job_index];
        let team = &self.teams[job.team.as_usize()].spec;
        let services = self.jobs.live.iter().map(|i| &self.jobs[*i]).filter(|o| o.team == job.team && o.is_service());
        let (cpus, accelerators) = services.fold((0.0, 0.0), |(cpus, accelerators), service| {
            let tasks = f64::from(service.assigned);
            (cpus + tasks * service.spec.cpus, accelerators + tasks * service.spec.accelerators)
        });
        let fits = |max: f64, used: f64, requested: f64| max <= 0.0 || used + requested <= max + EPSILON;
        fits(team.cpus_max, cpus, job.spec.cpus) && fits(team.accelerators_max, accelerators, job.spec.accelerators)
    }

    /// Reserves a machine for this job, which fits on no machine now: no other batch work starts there until a task of
    /// the job fits. Tasks of lower priority on the machine are stopped.
    pub(crate) fn reserve_machine(&mut self, job_index: JobIndex, now: f64) {
        let job = &self.jobs[job_index];
        let reserved =
            self.large_jobs.reserved.iter().find(|(_, reservation)| reservation.0 == job_index).map(|(m, _)| *m);
        let max_reserved = (self.machines.present.len() / MACHINES_PER_RESERVATION).max(1);
        if self.large_jobs.period.in_break(now) || reserved.is_none() && self.large_jobs.reserved.len() >= max_reserved
        {
            return;
        }
        let heartbeat_timeout_s = self.recent_heartbeat_s();
        let is_eligible = |m: &crate::fleet::Machine| {
            !m.in_on_demand_base
                && m.is_usable(now, heartbeat_timeout_s)
                && satisfies_constraints(self, job, m, job.assigned, job.assigned_in_zone(m.zone))
                && type_fits(&job.spec, self.types.get(m.type_index))
        };
        // Estimated seconds until the tasks that can't be preempted for the job have ended.
        let seconds_to_drain = |m: &crate::fleet::Machine| {
            let remaining =
                m.assignments.iter().filter(|(key, _)| self.jobs[key.job].spec.priority <= job.spec.priority);
            remaining
                .map(|(key, assignment)| match self.jobs[key.job].spec.estimate_s {
                    0.0 => f64::INFINITY,
                    estimate_s => (estimate_s - (now - assignment.assigned_at)).max(1.0),
                })
                .fold(0.0, f64::max)
        };
        let choice = reserved.filter(|m| is_eligible(&self.machines[*m])).or_else(|| {
            let eligible =
                self.machines.iter().filter(|(i, m)| is_eligible(m) && !self.large_jobs.reserved.contains_key(i));
            // A machine with services never drains, so reserving it would only waste its free capacity.
            let draining = eligible.map(|(i, m)| (seconds_to_drain(m), i)).filter(|option| option.0.is_finite());
            draining.min_by(|a, b| a.0.total_cmp(&b.0)).map(|option| option.1)
        });
        let Some(machine_index) = choice else { return };
        self.large_jobs.period.on_reserved(now);
        if reserved != Some(machine_index) {
            self.large_jobs.reserved.retain(|_, reservation| reservation.0 != job_index);
            log::info!(
                "machine reserved machine={} job={}",
                self.machines[machine_index].name,
                self.jobs[job_index].id
            );
            self.large_jobs.reserved.insert(machine_index, (job_index, now));
        }
        let priority = self.jobs[job_index].spec.priority;
        let is_preemptible = |key: &TaskKey, assignment: &Assignment| {
            assignment.stop_grace_s.is_none() && self.jobs[key.job].spec.priority > priority
        };
        let assignments = self.machines[machine_index].assignments.iter();
        let victims: Vec<TaskKey> =
            assignments.filter(|(key, assignment)| is_preemptible(key, assignment)).map(|(key, _)| *key).collect();
        if self.state_service_writable {
            victims.into_iter().for_each(|key| self.stop_gently(machine_index, key));
        }
    }

    /// Returns whether this machine is reserved for another job than this one.
    pub(crate) fn is_reserved_for_other(&self, machine_index: MachineIndex, job_index: JobIndex) -> bool {
        self.large_jobs.reserved.get(&machine_index).is_some_and(|reservation| reservation.0 != job_index)
    }

    /// Reserves what is left of a team's limit for a large job; returns false during a break.
    pub(crate) fn reserve_limit(&mut self, now: f64) -> bool {
        let may_reserve = !self.large_jobs.period.in_break(now);
        if may_reserve {
            self.large_jobs.period.on_reserved(now);
        }
        may_reserve
    }

    /// Drops the reservations of machines that have expired or whose job no longer waits; called once per pass.
    pub(crate) fn expire_reservations(&mut self, now: f64) {
        if !self.large_jobs.period.may_reserve(now) {
            self.large_jobs.reserved.clear();
        }
        let (jobs, machines) = (&self.jobs, &self.machines);
        self.large_jobs.reserved.retain(|machine_index, (job_index, since)| {
            let waits = jobs.get(*job_index).is_some_and(|job| job.is_open() && job.unfinished() > job.assigned);
            let is_up = machines
                .list
                .get(*machine_index)
                .is_some_and(|machine| machine.phase == MachinePhase::Up && !machine.cordoned);
            waits && is_up && now - *since < RESERVATION_TIMEOUT_S
        });
        if !self.large_jobs.reserved.is_empty() {
            self.large_jobs.period.on_reserved(now);
        }
    }
}
