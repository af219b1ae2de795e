//! Counts of faults and events that coincided, by which a test proves that its fault combination really happened.

use serde::Serialize;

/// How often each coincidence was seen in a run. A failover is the beginning of a shard's new leader where another
/// process led the shard before, or the same controller before its restart.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Coincidences {
    #[serde(rename = "takeovers")]
    pub failovers: u64,
    /// Failovers from a controller that is still running.
    #[serde(rename = "takeovers_from_live_leader")]
    pub failovers_from_live_leader: u64,
    /// Failovers by a controller that had led the shard before its predecessor.
    #[serde(rename = "takeovers_by_former_leader")]
    pub failovers_by_former_leader: u64,
    /// Longest time between two leaders of a shard, in seconds.
    pub longest_without_leader_s: f64,

    /// Cancellations confirmed within a second of a failover.
    #[serde(rename = "cancellations_at_takeover")]
    pub cancellations_at_failover: u64,
    /// Cancellations confirmed while a former leader runs on without access to the state service.
    pub cancellations_beside_isolated_leader: u64,
    /// Cancellations confirmed while a machine with a task of the job hangs, or is unreachable for any reason.
    pub cancellations_with_hanging_machine: u64,
    pub cancellations_with_unreachable_machine: u64,
    /// Cancellations confirmed while the limit of the job's team keeps a job of the team waiting.
    pub cancellations_at_limit: u64,
    /// Cancellations confirmed within eight seconds before an outage of the state service, and cancellations requested
    /// but not confirmed when an outage began.
    pub cancellations_before_outage: u64,
    pub cancellations_open_at_outage: u64,
    /// Cancellations requested within a second after the end of the job's last task.
    pub cancellations_at_last_end: u64,

    /// Teams at their limits, unreachable machines with tasks, and waiting jobs, counted at each failover.
    #[serde(rename = "teams_at_limit_at_takeover")]
    pub teams_at_limit_at_failover: u64,
    #[serde(rename = "unreachable_machines_at_takeover")]
    pub unreachable_machines_at_failover: u64,
    #[serde(rename = "waiting_jobs_at_takeover")]
    pub waiting_jobs_at_failover: u64,
    /// Dependencies whose records the new leader had not read, and running tasks of jobs that depend on them, counted
    /// at each failover.
    #[serde(rename = "unread_needs_at_takeover")]
    pub unread_dependencies_at_failover: u64,
    #[serde(rename = "tasks_behind_unread_needs_at_takeover")]
    pub tasks_with_unread_dependencies_at_failover: u64,
    /// Jobs with tasks that ended before a failover and tasks that ended after it.
    #[serde(rename = "jobs_ending_across_takeover")]
    pub jobs_ending_across_failover: u64,

    /// Transactions executed after a newer one of the same controller, and how many of them were applied.
    pub overtaken_transactions: u64,
    pub overtaken_transactions_applied: u64,
    /// Transactions that were applied and whose response was lost, and reads of the keys that they wrote before the
    /// sender stopped waiting.
    #[serde(rename = "unanswered_transactions_applied")]
    pub applied_transactions_without_response: u64,
    #[serde(rename = "reads_of_unanswered_transactions")]
    pub reads_of_transactions_without_response: u64,
    /// Responses of the state service that took more than half a second.
    #[serde(rename = "slow_answers")]
    pub slow_responses: u64,
    /// Responses about a lease or leadership record that arrived while the receiving controller was paused.
    #[serde(rename = "claim_answers_during_pause")]
    pub election_responses_during_pause: u64,

    /// Pushed commands that arrived after their sender stopped waiting: those executed, those refused because the
    /// machine had seen a newer fencing token, those that arrived after a failover of their shard, and those about a
    /// job whose cancellation had been confirmed.
    pub late_commands_executed: u64,
    pub late_commands_refused: u64,
    pub late_commands_of_former_leader: u64,
    pub late_commands_after_cancellation: u64,
    /// Pushed commands executed by machines whose heartbeats are lost.
    #[serde(rename = "commands_to_unreporting_machines")]
    pub commands_to_machines_without_heartbeats: u64,
    /// Copies of pushed starts that arrived after the first response: those executed, those refused because the machine
    /// had seen a newer fencing token or its incarnation was over, and the tasks that they started again.
    pub repeated_commands_executed: u64,
    pub repeated_commands_refused: u64,
    pub tasks_started_by_repeated_commands: u64,
    /// Replies to heartbeats that did not reach the machine.
    #[serde(rename = "answers_lost")]
    pub heartbeat_replies_lost: u64,

    /// Duplicated heartbeats delivered to a leader within two seconds after its failover.
    #[serde(rename = "copies_to_new_leader")]
    pub duplicate_heartbeats_to_new_leader: u64,
    /// Duplicates delivered to a leader after newer heartbeats of the same machine, and how many of them were of an
    /// earlier incarnation.
    #[serde(rename = "overtaken_reports")]
    pub overtaken_heartbeats: u64,
    #[serde(rename = "reports_of_earlier_session")]
    pub heartbeats_of_earlier_incarnation: u64,
    /// Heartbeats answered by a leader without access to the state service, and by a leader inside a partitioned zone.
    #[serde(rename = "reports_answered_without_state")]
    pub heartbeats_answered_without_state_service: u64,
    #[serde(rename = "reports_answered_inside_cut_zone")]
    pub heartbeats_answered_inside_partitioned_zone: u64,

    /// Tasks that began on machines that booted within two seconds, at most ten seconds after the boot, while
    /// transactions were delayed.
    pub starts_on_fast_boots_during_lag: u64,
    /// Jobs restricted to one zone that lost a machine with one of their tasks.
    pub one_zone_jobs_losing_machine: u64,
    /// Answers to polls and to repeated submissions right after an event of a job.
    #[serde(rename = "close_answers")]
    pub polls_answered_after_events: u64,
    #[serde(rename = "close_repetitions")]
    pub resubmissions_answered_after_events: u64,
    /// Invalid requests.
    #[serde(rename = "odd_requests")]
    pub invalid_requests: u64,
}
