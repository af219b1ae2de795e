//! Tests of the real program over loopback, against a simulated state service, cloud and workers. Support modules:
//! `cluster` (controller processes), `state_service` and `faults`, `cloud`, `workers`, `machines` and `direct`,
//! `links`, `settings`, `requests`, `services`, `traffic`, `answers` (history of requests and responses) and `rules`
//! (checks of running tasks). All other modules are tests.

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
mod repeated_starts;
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
