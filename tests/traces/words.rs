//! Parses the words of an event, and formats the output lines.

use lupinspur::fleet::machine_groups::{MachineGroupMember, MachineGroupRecord};
use lupinspur::wire::{Command, CommandKind};
use serde_json::Value;

/// Returns the value of a `key=value` word of an event.
pub fn argument<'a>(args: &[&'a str], key: &str) -> Option<&'a str> {
    args.iter().find_map(|word| word.strip_prefix(key)?.strip_prefix('='))
}

/// Returns whether a word is present.
pub fn has_flag(args: &[&str], flag: &str) -> bool {
    args.contains(&flag)
}

/// Returns the number in a `key=value` word, or the default.
pub fn number(args: &[&str], key: &str, default: f64) -> f64 {
    argument(args, key).map_or(default, |v| v.parse().expect("a number"))
}

/// Parses an attempt of the form `token.number`.
pub fn parse_attempt(text: &str) -> u64 {
    let (token, number) = text.split_once('.').expect("token.number");
    (token.parse::<u64>().expect("token") << 24) + number.parse::<u64>().expect("number")
}

/// Formats an attempt as `token.number`.
pub fn attempt_text(attempt: u64) -> String {
    format!("{}.{}", attempt >> 24, attempt & 0xff_ffff)
}

/// Formats a command to a worker.
pub fn command_text(command: &Command) -> String {
    let verb = match command.kind {
        CommandKind::Start => "start",
        CommandKind::Stop => "stop",
        CommandKind::Forget => "forget",
    };
    let grace = command.grace_s.map_or(String::new(), |grace_s| format!(" grace {grace_s}"));
    format!("{verb} {}@{}{grace}", command.task, attempt_text(command.attempt))
}

/// Formats a stored machine group: each machine with the jobs that it may run.
pub fn machine_group_text(value: &Value) -> String {
    let group: MachineGroupRecord = serde_json::from_value(value.clone()).expect("a machine group");
    let machine = |member: &MachineGroupMember| {
        let mut jobs: Vec<&str> = member.jobs.iter().map(|job| group.jobs[*job as usize].as_str()).collect();
        jobs.sort_unstable();
        format!("{}{} {jobs:?}", member.machine, if member.terminating { " retiring" } else { "" })
    };
    group.machines.iter().map(machine).collect::<Vec<_>>().join(", ")
}
