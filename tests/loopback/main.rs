//! The real program over loopback, against stand-ins for the state service, the
//! cloud and the workers that are written here: starts, bad input, an array, a
//! service with its cancellation, and the end of the leader in between.

mod answers;
mod answers_across_nodes;
mod cancelled_at_refusal;
mod cancelled_by_the_next;
mod cancelled_in_takeovers;
mod cells;
mod cloud;
mod cluster;
mod controllers_away;
mod direct;
mod elastic;
mod fault_combinations_answers;
mod fault_combinations_dependencies;
mod fault_combinations_machines;
mod fault_combinations_odd_requests;
mod fault_combinations_refusal;
mod faults;
mod held_up_starts;
mod history;
#[path = "../common/http.rs"]
mod http;
mod job_on_its_way;
mod jobs_between_cells;
mod leader_changes;
mod links;
mod machines;
mod malformed;
mod one_task_floods;
mod quotas;
mod rented_machines;
mod requests;
mod restarts;
mod rules;
mod services;
mod settings;
mod settings_file;
mod several_cells;
mod silent_machines;
mod slow_state_service;
mod standstill;
mod starts_of_ended_sessions;
mod starts_of_former_leaders;
mod state_service;
mod tasks_end_apart;
mod team_limits;
mod traffic;
mod unreachable_machines;
mod unreachable_workers;
mod unread_dependencies;
mod users;
mod workers;
mod zones;
