//! The real program over loopback, against stand-ins for the state service, the
//! cloud and the workers that are written here: starts, bad input, an array, a
//! service with its cancellation, and the end of the owner in between.

mod answers;
mod cancelled_in_takeovers;
mod cells;
mod cloud;
mod cluster;
mod elastic;
mod faults;
mod history;
#[path = "../common/http.rs"]
mod http;
mod links;
mod meetings_answers;
mod meetings_machines;
mod meetings_needs;
mod meetings_odd;
mod meetings_refusal;
mod one_task_floods;
mod quotas;
mod requests;
mod restarts;
mod rules;
mod settings;
mod settings_file;
mod standstill;
mod state_service;
mod tasks_end_apart;
mod team_limits;
mod unreachable_machines;
mod users;
mod workers;
