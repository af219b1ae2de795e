//! Leadership of a shard: its lease, its election, the watch of its record, and the machine types that the leader
//! stores beside it. Whoever acts elsewhere asks for the token here first.

mod election;
mod lease;
mod machine_types;
mod watch;
