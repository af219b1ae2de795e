//! The fencing tokens in the messages to one machine.
//!
//! A worker refuses a push with an older token than the newest that it has seen. A push that it has executed may arrive
//! again at any time, so only a newer token, or the end of the incarnation, makes sure that a copy starts nothing.

/// The fencing tokens that a leader has used for one machine.
#[derive(Debug, Default, Clone, Copy)]
pub struct MachineTokens {
    /// The newest token sent to the machine if it is newer than the leader's own, otherwise 0.
    raised: u64,
    /// The newest token of a push with starts to the machine's current incarnation; 0 if there was none.
    of_pushed_starts: u64,
    /// The machine came from another shard, whose leader may have used newer tokens, and has not shown ours yet.
    is_transferred: bool,
}

/// How the token in a heartbeat relates to the tokens that this leader has used for the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenOrder {
    /// The machine obeys an earlier leader.
    Earlier,
    /// The machine has executed a message of this leader.
    Own,
    /// The machine obeys a later leader, or that of another shard.
    Later,
}

impl MachineTokens {
    /// Returns the tokens for a machine that was received from another shard.
    pub fn of_transferred_machine() -> MachineTokens {
        MachineTokens { is_transferred: true, ..MachineTokens::default() }
    }

    /// Returns the token for the next message. `leader_token` is the version of the leadership record.
    pub fn current(&self, leader_token: u64) -> u64 {
        self.raised.max(leader_token)
    }

    /// Records that starts are being pushed with the current token.
    pub fn on_starts_pushed(&mut self, leader_token: u64) {
        self.of_pushed_starts = self.current(leader_token);
    }

    /// Records that the machine's incarnation is over: it refuses all pushes to that incarnation.
    pub fn on_incarnation_over(&mut self) {
        self.of_pushed_starts = 0;
    }

    /// Returns whether the machine, once it executes a message with the current token, refuses copies of all pushed
    /// starts.
    pub fn fences_pushed_starts(&self, leader_token: u64) -> bool {
        self.of_pushed_starts < self.current(leader_token)
    }

    /// Makes `token` the current one if it is newer. Returns whether it is.
    pub fn raise(&mut self, token: u64, leader_token: u64) -> bool {
        let is_newer = token > self.current(leader_token);
        if is_newer {
            self.raised = token;
        }
        is_newer
    }

    /// Returns whether the machine came from another shard and has not shown a token of this leader yet.
    pub fn is_transferred(&self) -> bool {
        self.is_transferred
    }

    /// Records that a heartbeat shows a token of this leader.
    pub fn on_own_token_reported(&mut self) {
        self.is_transferred = false;
    }

    /// Compares the token in a heartbeat with those of this leader.
    pub fn order_of(&self, reported: u64, leader_token: u64) -> TokenOrder {
        let current = self.current(leader_token);
        let oldest_own = if self.is_transferred { current } else { leader_token };
        if reported > current {
            TokenOrder::Later
        } else if reported < oldest_own {
            TokenOrder::Earlier
        } else {
            TokenOrder::Own
        }
    }
}
