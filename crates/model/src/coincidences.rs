//! Which faults coincided: counts by which a test shows that the fault combination it is about really happened.

use serde::Serialize;

/// How often each coincidence was seen in a run. A failover is the beginning of a leader of a shard that another process,
/// or an earlier life of the same one, led before.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Coincidences {
    pub takeovers: u64,
    /// Failovers from a controller that is still running.
    pub takeovers_from_live_leader: u64,
    /// Failovers by a controller that had led the shard before its predecessor.
    pub takeovers_by_former_leader: u64,
    /// The longest time for which a shard had no leader between two.
    pub longest_without_leader_s: f64,

    /// Cancellations confirmed within a second of a failover.
    pub cancellations_at_takeover: u64,
    /// Cancellations confirmed while a former leader is running without the state service.
    pub cancellations_beside_isolated_leader: u64,
    /// Cancellations confirmed while a machine with a task of the job hangs, or cannot be reached otherwise.
    pub cancellations_with_hanging_machine: u64,
    pub cancellations_with_unreachable_machine: u64,
    /// Cancellations confirmed while the job's team has no room under its limit for work that waits.
    pub cancellations_at_limit: u64,
    /// Cancellations confirmed within eight seconds before an outage of the state service, and those that were asked
    /// for but not confirmed when one began.
    pub cancellations_before_outage: u64,
    pub cancellations_open_at_outage: u64,
    /// Cancellations asked for within a second of the end of the job's last task.
    pub cancellations_at_last_end: u64,

    /// Teams at their limits, machines with tasks that could not be reached, jobs that waited, each at a failover.
    pub teams_at_limit_at_takeover: u64,
    pub unreachable_machines_at_takeover: u64,
    pub waiting_jobs_at_takeover: u64,
    /// Needs whose records a new leader had not read, and tasks of the jobs behind them that ran, each at a failover.
    pub unread_needs_at_takeover: u64,
    pub tasks_behind_unread_needs_at_takeover: u64,
    /// Jobs of which some tasks ended before a failover and others afterwards.
    pub jobs_ending_across_takeover: u64,

    /// Transactions executed after a newer one of the same controller, and those of them that were applied.
    pub overtaken_transactions: u64,
    pub overtaken_transactions_applied: u64,
    /// Transactions applied whose answer was lost, and reads of what they wrote before their sender gave them up.
    pub unanswered_transactions_applied: u64,
    pub reads_of_unanswered_transactions: u64,
    /// Answers of the state service that took over half a second.
    pub slow_answers: u64,
    /// Answers about a lease or claim that came while their receiver stood still.
    pub claim_answers_during_pause: u64,

    /// Direct commands that came late, after their sender gave them up: executed; refused, since the machine had seen a
    /// newer token; after a failover of their shard; about a job whose cancellation was confirmed meanwhile.
    pub late_commands_executed: u64,
    pub late_commands_refused: u64,
    pub late_commands_of_former_leader: u64,
    pub late_commands_after_cancellation: u64,
    /// Direct commands executed by machines that reach no controller.
    pub commands_to_unreporting_machines: u64,
    /// Answers to reports that a machine did not get.
    pub answers_lost: u64,

    /// Copies of reports delivered to a leader within two seconds of its failover.
    pub copies_to_new_leader: u64,
    /// Copies delivered to a leader after newer reports of the same machine, and those of an earlier incarnation.
    pub overtaken_reports: u64,
    pub reports_of_earlier_session: u64,
    /// Reports answered by a leader without the state service, and inside a zone that is cut off.
    pub reports_answered_without_state: u64,
    pub reports_answered_inside_cut_zone: u64,

    /// Tasks that began on machines that booted within two seconds, ten seconds after that at most, while
    /// transactions lagged.
    pub starts_on_fast_boots_during_lag: u64,
    /// Jobs bound to one zone that lost a machine with a task of theirs.
    pub one_zone_jobs_losing_machine: u64,
    /// Answers to questions and to repeated submissions right after something happened to a job.
    pub close_answers: u64,
    pub close_repetitions: u64,
    /// Requests that no careful user sends.
    pub odd_requests: u64,
}
