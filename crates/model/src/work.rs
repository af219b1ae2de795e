//! The kinds of jobs of a scenario.

use crate::scenario::Scenario;
use crate::world::ZONES;
use fastrand::Rng;
use lupinspur_wire::JobRequest;
use schemars::JsonSchema;
use serde::Deserialize;
use serde_json::json;

/// Run time of a task of an array, in seconds.
const TASK_RUNS_S: f64 = 5.0;
/// Additional run time of each task over the previous one in jobs of few tasks, in seconds.
const NEXT_TASK_RUNS_LONGER_S: f64 = 15.0;
/// Run time of a task of an array with long tasks, in seconds.
const LONG_TASK_RUNS_S: f64 = 60.0;

/// What the jobs are like.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// Services and arrays of up to eleven tasks, which run for five seconds.
    #[default]
    Mixed,
    /// Arrays of one task.
    OneTask,
    /// Arrays of two or three tasks, each of which ends fifteen seconds after the one before.
    FewTasks,
    /// Services and arrays, each in one zone: the job's choice or the scheduler's.
    OneZone,
    /// Arrays whose tasks run for a minute.
    Long,
}

impl Work {
    /// Returns the run time of a task of an array, in seconds.
    pub(crate) fn task_runs_s(self, task: u32) -> f64 {
        match self {
            Work::FewTasks => TASK_RUNS_S + NEXT_TASK_RUNS_LONGER_S * f64::from(task),
            Work::Long => LONG_TASK_RUNS_S,
            Work::Mixed | Work::OneTask | Work::OneZone => TASK_RUNS_S,
        }
    }

    fn has_services(self) -> bool {
        matches!(self, Work::Mixed | Work::OneZone)
    }
}

/// Draws the next job that a user submits.
pub(crate) fn spec(id: usize, scenario: &Scenario, rng: &mut Rng) -> JobRequest {
    let (work, teams) = (scenario.work, &scenario.teams);
    let service = rng.u8(..) < 80 && work.has_services();
    let cpus = [1.0, 2.0, 4.0][rng.usize(0..3)];
    let saves = if !service && rng.bool() { 1.0 } else { 0.0 };
    let tasks = match work {
        Work::OneTask => 1,
        Work::FewTasks => rng.u32(2..4),
        _ if service => rng.u32(1..5),
        _ => rng.u32(1..12),
    };
    let mut request = json!({
        "id": format!("req-{id:04}"), "breed": if service { "desk" } else { "match" },
        "herd": teams[rng.usize(0..teams.len())].name, "habit": if service { "standing" } else { "batch" },
        "precedence": if service { "critical" } else { "standard" }, "seeds": tasks,
        "cpus": cpus, "cards": 0.0, "memory_gb": 0.5, "same_place": false,
        "scatter": service && tasks > 1, "fallow": !service && rng.bool(), "bulb": format!("img-{}", rng.u8(0..4)),
        "pull_gb": 0.5, "expected_s": if service { 0.0 } else { 6.0 }, "pressing_s": saves, "pressing_cost_s": saves,
        "harvest_s": null});
    if work == Work::OneZone {
        request["scatter"] = json!(false);
        request["same_place"] = json!(true);
        if rng.bool() {
            // The last zone has spot machines only.
            request["field"] = json!(ZONES[rng.usize(0..2)]);
        }
    }
    serde_json::from_value(request).expect("a job")
}
