//! The fencing tokens that the leader sends to machines.
//!
//! The leader's own token is the version of its leadership record. A revision at which the state service has applied a
//! write conditional on that record is older than the record of any later leader, so this leader alone may use it as a
//! newer token. A machine gets a newer token before it forgets an ended attempt: a copy of the push that started the
//! attempt would start it again, and is refused by then.

use super::Shard;
use crate::fleet::TokenOrder;
use crate::intern::MachineIndex;
use crate::wire::{Command, CommandKind, Heartbeat};

fn is_forget(command: &Command) -> bool {
    command.kind == CommandKind::Forget
}

impl Shard {
    /// Records that the state service applied a write at this revision on the condition that this leader's record had
    /// not changed. A revision that was only read must not be passed: a later leader may have written it.
    pub fn on_leadership_confirmed(&mut self, revision: u64) {
        self.confirmed_revision = self.confirmed_revision.max(revision);
    }

    /// Returns the fencing token for the next message to the machine. A machine from another shard gets the newest one
    /// until it shows that it has seen it.
    pub(super) fn token_for(&mut self, machine_index: MachineIndex) -> u64 {
        let confirmed = self.confirmed_revision;
        let tokens = &mut self.machines[machine_index].tokens;
        if tokens.is_transferred() {
            tokens.raise(confirmed, self.token);
        }
        tokens.current(self.token)
    }

    /// Compares the token in a machine's heartbeat with those that this leader has sent to it.
    pub(super) fn order_of_token(&self, machine: &str, reported: u64) -> TokenOrder {
        let known = self.machines.find(machine).map(|machine_index| self.machines[machine_index].tokens);
        known.unwrap_or_default().order_of(reported, self.token)
    }

    /// Logs the first heartbeat with a token that this leader never sent. Such heartbeats are refused: another leader has
    /// begun, or the machine shows an impossible token.
    pub(super) fn log_later_token(&mut self, heartbeat: &Heartbeat) {
        if !std::mem::replace(&mut self.later_token_logged, true) {
            log::warn!(
                "heartbeat refused reason=later_token machine={} reported={} leader_token={} confirmed={}",
                heartbeat.machine,
                heartbeat.token,
                self.token,
                self.confirmed_revision
            );
        }
    }

    /// Removes the forgets from the commands of a reply unless the reply's token is newer than that of every pushed
    /// start, which it makes sure of if it can. The forgets are sent with a later heartbeat otherwise.
    pub(super) fn withhold_unfenced_forgets(&mut self, machine_index: MachineIndex, commands: &mut Vec<Command>) {
        if commands.iter().any(is_forget) && !self.fence_pushed_starts(machine_index) {
            let before = commands.len();
            commands.retain(|command| !is_forget(command));
            self.counts.forgets_withheld += (before - commands.len()) as u64;
        }
    }

    /// Returns whether the next message to the machine makes it refuse copies of all pushed starts. Raises the token
    /// for this, but not while a push is in flight: it has the earlier token and would be refused.
    fn fence_pushed_starts(&mut self, machine_index: MachineIndex) -> bool {
        let machine = &mut self.machines[machine_index];
        if machine.tokens.fences_pushed_starts(self.token) {
            return true;
        }
        if machine.push_in_flight || !machine.tokens.raise(self.confirmed_revision, self.token) {
            return false;
        }
        self.counts.tokens_raised += 1;
        log::debug!(
            "token raised machine={} token={} leader_token={}",
            machine.name,
            machine.tokens.current(self.token),
            self.token
        );
        true
    }
}
