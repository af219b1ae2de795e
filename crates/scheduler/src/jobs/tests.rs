//! Tests of the stored form of jobs.

use super::*;
use crate::wire::JobRequest;

/// Guards against progress values larger than the state service's value limit.
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
        let job_index = jobs.add(JobRecord::accepted(job, 0), TeamIndex::new(0), 0.0);
        for task in (0..100_000).step_by(3) {
            jobs.mark_task_done(job_index, task, false);
        }
        let chunks: Vec<u32> = jobs[job_index].dirty_chunks.iter().copied().collect();
        let mut restored = Jobs::new(jobs.chunk_tasks, jobs.legacy_chunk_tasks, 3);
        restored.add(JobRecord::accepted(jobs[job_index].spec.clone(), 0), TeamIndex::new(0), 0.0);
        for chunk in chunks {
            let record = jobs.progress(job_index, chunk);
            assert!(serde_json::to_vec(&record).unwrap().len() <= limit);
            restored.load_progress(job_index, chunk * jobs.chunk_tasks, &record);
        }
        assert_eq!(restored[job_index].tasks.iter().filter(|s| **s == TaskSlot::Done { stored: true }).count(), 33_334);
    }
}
