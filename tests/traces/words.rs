//! The words of an event, and how answers are written.

use lupinspur::fleet::machine_groups::{MachineGroupMember, MachineGroupRecord};
use lupinspur::wire::{Command, CommandKind};
use serde_json::Value;

/// `key=value` words of an event.
pub fn argument<'a>(args: &[&'a str], key: &str) -> Option<&'a str> {
    args.iter().find_map(|a| a.strip_prefix(key)?.strip_prefix('='))
}

pub fn has_flag(args: &[&str], flag: &str) -> bool {
    args.contains(&flag)
}

pub fn number(args: &[&str], key: &str, otherwise: f64) -> f64 {
    argument(args, key).map_or(otherwise, |v| v.parse().expect("a number"))
}

pub fn parse_attempt(s: &str) -> u64 {
    let (token, n) = s.split_once('.').expect("token.number");
    (token.parse::<u64>().expect("token") << 24) + n.parse::<u64>().expect("number")
}

pub fn attempt_text(a: u64) -> String {
    format!("{}.{}", a >> 24, a & 0xff_ffff)
}

pub fn command_text(c: &Command) -> String {
    let op = match c.kind {
        CommandKind::Start => "start",
        CommandKind::Stop => "stop",
        CommandKind::Forget => "forget",
    };
    let grace = c.grace_s.map_or(String::new(), |g| format!(" grace {g}"));
    format!("{op} {}@{}{grace}", c.task, attempt_text(c.attempt))
}

/// Each machine of a stored machine group, with the jobs that it may hold.
pub fn rack_text(value: &Value) -> String {
    let r: MachineGroupRecord = serde_json::from_value(value.clone()).expect("a rack");
    let machine = |m: &MachineGroupMember| {
        let mut jobs: Vec<&str> = m.jobs.iter().map(|j| r.jobs[*j as usize].as_str()).collect();
        jobs.sort_unstable();
        format!("{}{} {jobs:?}", m.machine, if m.terminating { " retiring" } else { "" })
    };
    r.machines.iter().map(machine).collect::<Vec<_>>().join(", ")
}
