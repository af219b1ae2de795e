//! Tests of what is kept of jobs.

use super::*;
use crate::wire::JobRequest;

/// Guards against progress values over the state service's limit.
#[test]
fn a_hundred_thousand_tasks_fit_the_value_limit() {
    for kb in [2.0, 4.0, 16.0] {
        let limit = (kb * 1024.0) as usize;
        let mut jobs = Jobs::new(chunk_tasks(limit), chunk_tasks(16 << 10), 3);
        let job: JobRequest = serde_json::from_value(serde_json::json!({
            "id":"req-000001","breed":"b","herd":"t","habit":"batch","precedence":"idle","seeds":100_000,
            "cpus":1.0,"cards":0.0,"memory_gb":1.0,"same_place":false,"scatter":false,"fallow":true,
            "pull_gb":0.0,"expected_s":1.0,"pressing_s":0.0,"pressing_cost_s":0.0}))
        .unwrap();
        let j = jobs.add(JobRecord::accepted(job, 0), TeamIndex::new(0), 0.0);
        for t in (0..100_000).step_by(3) {
            jobs.mark_task_done(j, t, false);
        }
        let chunks: Vec<u32> = jobs[j].dirty_chunks.iter().copied().collect();
        let mut again = Jobs::new(jobs.chunk_tasks, jobs.legacy_chunk_tasks, 3);
        again.add(JobRecord::accepted(jobs[j].spec.clone(), 0), TeamIndex::new(0), 0.0);
        for c in chunks {
            let r = jobs.progress(j, c);
            assert!(serde_json::to_vec(&r).unwrap().len() <= limit);
            again.load_progress(j, c * jobs.chunk_tasks, &r);
        }
        assert_eq!(again[j].tasks.iter().filter(|s| **s == TaskSlot::Done { stored: true }).count(), 33_334);
    }
}
