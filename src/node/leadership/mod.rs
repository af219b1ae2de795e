//! Leadership of a shard: its lease, its election, the watch of its record, and the machine types that the leader
//! stores under the same prefix. Every action elsewhere in the node requires the fencing token obtained here.

mod election;
mod lease;
mod machine_types;
mod watch;
