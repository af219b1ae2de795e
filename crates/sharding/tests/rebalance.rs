//! What the leader moves, and machines that go from shard to shard through lost and late writes and ends.

use lupinspur_sharding::escrow::{Amount, QuotaUse};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::machine_transfer::{
    MachineTransfer, TransferredMachine, key, next_by_receiver, next_by_sender, next_receiver,
};
use lupinspur_sharding::rebalance::{MachineMove, RebalancePlan, Rebalancer, must_reacquire};
use lupinspur_sharding::{ShardId, ShardingPlan};
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

fn picture(cell: u32, token: u64, idle: f64, waits: f64) -> LoadSnapshot {
    LoadSnapshot { shard: ShardId(cell), token, idle_cpus: idle, waiting_cpus: waits, ..LoadSnapshot::default() }
}

/// A shard that stays short gets what stands idle elsewhere, as far as those machines would obey it; one
/// that was short for a moment gets nothing, and a new leader looks for itself first.
#[test]
fn idle_machines_go_to_a_cell_that_stays_short() {
    let plan = ShardingPlan::of(3);
    let (mut leader, none) = (Rebalancer::default(), RebalancePlan::default());
    let all = [picture(0, 10, 64.0, 0.0), picture(1, 20, 0.0, 80.0), picture(2, 30, 96.0, 0.0)];
    assert!(leader.plan_round(&plan, &all, &none, 1_000).moves.is_empty());
    let calm = [all[0].clone(), picture(1, 20, 0.0, 0.0), all[2].clone()];
    assert!(leader.plan_round(&plan, &calm, &none, 9_000).moves.is_empty());
    assert!(leader.plan_round(&plan, &all, &none, 11_500).moves.is_empty(), "it was not short in between");
    let orders = leader.plan_round(&plan, &all, &none, 21_500);
    // Shard 2's machines have seen token 30 and would not obey shard 1.
    assert_eq!(orders.moves, [MachineMove { from: ShardId(0), to: ShardId(1), cpus: 64.0 }]);
    assert!(
        Rebalancer::default().plan_round(&plan, &all, &none, 21_500).moves.is_empty(),
        "a successor has seen nothing"
    );
    // Still short after a while, it is worth a claim of its own anew: told for a few looks, then not for long.
    let asked = |s: u64| leader.plan_round(&plan, &all, &none, s * 1000).moves.iter().any(|m| m.from == ShardId(2));
    let said: Vec<bool> = [30, 42, 48, 60, 200, 260].into_iter().map(asked).collect();
    assert_eq!(said, [false, true, true, false, false, true]);
    assert!(orders.must_be_stored(&none, &plan) && !orders.must_be_stored(&orders, &plan));
    assert!(orders.is_fresh(&plan, 30_000, 1.0) && !orders.is_fresh(&plan, 40_000, 1.0));
    let later = RebalancePlan { at_ms: 27_000, ..orders.clone() };
    assert!(later.must_be_stored(&orders, &plan), "orders that are to be obeyed are renewed");
    let token_of = |c: ShardId| Some([10, 20, 30][c.as_usize()]);
    assert_eq!(next_receiver(ShardId(0), 10, orders.moves.iter(), &[], token_of), Some((ShardId(1), 64.0)));
    let wrong_way = [MachineMove { from: ShardId(2), to: ShardId(1), cpus: 32.0 }];
    assert!(
        must_reacquire(ShardId(1), 20, &wrong_way, token_of) && !must_reacquire(ShardId(1), 31, &wrong_way, token_of)
    );
    assert!(!must_reacquire(ShardId(1), 20, &orders.moves, token_of));
    assert_eq!(next_receiver(ShardId(0), 25, orders.moves.iter(), &[], token_of), None, "its claim is newer by now");
    let under_way =
        MachineTransfer { from: ShardId(0), to: ShardId(1), machines: vec![handed(0)], released_by_sender: false };
    assert_eq!(next_receiver(ShardId(0), 10, orders.moves.iter(), &[under_way], token_of), None, "one at a time");
}

/// A team that waits in a shard which stays short gets another home, where there is room for twice as much;
/// then it rests, and it does not swing back when the picture turns.
#[test]
fn a_team_s_home_moves_once_and_rests() {
    let plan = ShardingPlan::parse("cells = 2\n[[team]]\nname = \"red\"\ncell = 0\n", &["red".into()]).expect("a plan");
    let use_of = |held: f64, wanted: f64| QuotaUse { held: Amount::new(held, 0.0), wanted: Amount::new(wanted, 0.0) };
    let short = |cell: u32, waits: f64| LoadSnapshot {
        teams: BTreeMap::from([("red".to_owned(), use_of(10.0, 10.0 + waits))]),
        ..picture(cell, 10, 0.0, waits)
    };
    let roomy = |cell: u32, room: f64| LoadSnapshot { free_cpus: room, ..picture(cell, 20, 0.0, 0.0) };
    let mut leader = Rebalancer::default();
    let look = |l: &mut Rebalancer, p: &[LoadSnapshot], o: &RebalancePlan, s: u64| l.plan_round(&plan, p, o, s * 1000);
    let (mut orders, tight, wide) =
        (RebalancePlan::default(), [short(0, 100.0), roomy(1, 150.0)], [short(0, 100.0), roomy(1, 300.0)]);
    orders = look(&mut leader, &tight, &orders, 1);
    orders = look(&mut leader, &tight, &orders, 60);
    assert_eq!(orders.home(&plan, "red"), ShardId(0), "no room for twice as much");
    orders = look(&mut leader, &wide, &orders, 62);
    assert_eq!(orders.home(&plan, "red"), ShardId(1));
    let turned = [roomy(0, 900.0), short(1, 100.0)];
    for s in [64, 120, 200, 250] {
        orders = look(&mut leader, &turned, &orders, s);
        assert_eq!(orders.home(&plan, "red"), ShardId(1), "it rests at {s} s");
    }
    orders = look(&mut leader, &turned, &orders, 270);
    assert!(orders.homes.is_empty(), "home again, which needs no word: {orders:?}");
}

fn handed(n: usize) -> TransferredMachine {
    TransferredMachine {
        machine: format!("m{n}"),
        addr: String::new(),
        type_name: "t".into(),
        zone: "a".into(),
        spot: false,
    }
}

const CELLS: usize = 3;
const MACHINES: usize = 6;

#[derive(Debug, Clone)]
struct Write {
    cell: usize,
    token: u64,
    key: String,
    version: u64,
    value: MachineTransfer,
}

/// A leader, as the shard and its shell are.
#[derive(Debug, Clone, Default)]
struct Owner {
    token: u64,
    own: BTreeSet<String>,
    chosen: BTreeMap<String, usize>,
    named: BTreeSet<String>,
    arriving: BTreeSet<String>,
    /// The values as it last saw them, and the step that it waits for.
    seen: BTreeMap<String, (MachineTransfer, u64)>,
    sent: Option<Write>,
}

#[derive(Debug, Default)]
struct World {
    claims: Vec<u64>,
    machine_groups: Vec<BTreeSet<String>>,
    hands: BTreeMap<String, (MachineTransfer, u64)>,
    revision: u64,
    leaders: Vec<Owner>,
    late: Vec<Write>,
}

#[derive(Debug, Clone)]
enum Step {
    /// The leader's word reaches a leader, which sets a machine aside.
    Choose(usize, usize, usize),
    /// Its look: what it saw last, or what stands now.
    Look(usize, bool),
    /// Its records are stored as they should be by now.
    Record(usize),
    /// Its write arrives; arrives and is not answered, so that it goes again; or comes later.
    Arrives(usize),
    Unanswered(usize),
    Later(usize),
    /// A write that was late comes.
    Late(usize),
    Ends(usize),
}

impl World {
    fn new() -> World {
        let mut w = World { revision: 10, ..World::default() };
        for c in 0..CELLS {
            w.machine_groups.push((0..MACHINES).filter(|m| m % CELLS == c).map(|m| handed(m).machine).collect());
            w.claims.push(0);
            w.leaders.push(Owner::default());
        }
        (0..CELLS).for_each(|c| w.ends(c));
        w
    }

    fn ends(&mut self, c: usize) {
        self.revision += 1;
        self.claims[c] = self.revision;
        let away: BTreeSet<String> = self.names(|h| h.from.as_usize() == c);
        self.leaders[c] = Owner {
            token: self.revision,
            own: self.machine_groups[c].difference(&away).cloned().collect(),
            named: self.machine_groups[c].intersection(&away).cloned().collect(),
            seen: self.hands.clone(),
            ..Owner::default()
        };
    }

    fn names(&self, of: impl Fn(&MachineTransfer) -> bool) -> BTreeSet<String> {
        self.hands.values().filter(|h| of(&h.0)).flat_map(|h| &h.0.machines).map(|m| m.machine.clone()).collect()
    }

    fn apply(&mut self, w: &Write) -> bool {
        let stands = self.hands.get(&w.key).map_or(0, |h| h.1);
        let good = self.claims[w.cell] == w.token && stands == w.version;
        if good {
            self.revision += 1;
            self.hands.insert(w.key.clone(), (w.value.clone(), self.revision));
        }
        good
    }

    fn look(&mut self, c: usize, fresh: bool) {
        let (cell, hands) = (ShardId(c as u32), self.hands.clone());
        let o = &mut self.leaders[c];
        if fresh {
            o.seen = hands;
        }
        o.arriving.clear();
        for (h, _) in o.seen.clone().values() {
            for m in h.machines.iter().map(|m| m.machine.clone()) {
                if h.from == cell && o.chosen.remove(&m).is_some() {
                    o.own.remove(&m);
                    o.named.insert(m);
                } else if h.to == cell {
                    o.arriving.insert(m.clone());
                    o.own.insert(m);
                }
            }
        }
        if o.sent.is_some() {
            return;
        }
        let recorded = &self.machine_groups[c];
        let next = o.seen.iter().find_map(|(k, (h, v))| {
            let next = match () {
                () if h.from == cell => next_by_sender(h, |m| o.named.contains(m)),
                () if h.to == cell => next_by_receiver(h, |m| recorded.contains(m) || !o.own.contains(m)),
                () => None,
            };
            Some((k.clone(), *v, next?))
        });
        let begins = o.chosen.iter().find_map(|(m, to)| {
            let k = key(cell, ShardId(*to as u32));
            let version = match o.seen.get(&k) {
                Some((h, _)) if !h.is_complete() => return None,
                Some((_, v)) => *v,
                None => 0,
            };
            let machines = vec![TransferredMachine { machine: m.clone(), ..handed(0) }];
            Some((
                k,
                version,
                MachineTransfer { from: cell, to: ShardId(*to as u32), machines, released_by_sender: false },
            ))
        });
        o.sent = next.or(begins).map(|(key, version, value)| Write { cell: c, token: o.token, key, version, value });
    }

    /// The write is through: what stands is read before anything else.
    fn settled(&mut self, c: usize, stored: Option<bool>) {
        let Some(w) = self.leaders[c].sent.take() else { return };
        self.leaders[c].seen = self.hands.clone();
        let stands = self.hands.get(&w.key).map(|h| h.0.machines.clone()).unwrap_or_default();
        if stored == Some(false) && !w.value.released_by_sender && w.value.from.as_usize() == c {
            for m in w.value.machines.iter().filter(|m| !stands.contains(m)) {
                self.leaders[c].chosen.remove(&m.machine);
            }
        }
        self.look(c, true);
    }

    fn step(&mut self, s: &Step) {
        match *s {
            Step::Choose(c, n, to) => {
                let higher = to != c && self.claims[to] > self.leaders[c].token;
                let o = &mut self.leaders[c];
                let bare = |m: &&String| !o.arriving.contains(*m) && !o.chosen.contains_key(*m);
                let m = o.own.iter().filter(bare).nth(n).cloned();
                if let (Some(m), true) = (m, higher) {
                    o.chosen.insert(m, to);
                }
            }
            Step::Look(c, fresh) => self.look(c, fresh),
            Step::Record(c) => {
                self.machine_groups[c] = self.leaders[c].own.clone();
                self.leaders[c].named.clear();
            }
            Step::Arrives(c) => {
                if let Some(w) = self.leaders[c].sent.clone() {
                    let stored = self.apply(&w);
                    self.settled(c, Some(stored));
                }
            }
            Step::Unanswered(c) => {
                if let Some(w) = self.leaders[c].sent.clone() {
                    self.apply(&w);
                    // It goes again, and finds that something has changed.
                    let again = self.apply(&w);
                    self.settled(c, again.then_some(true));
                }
            }
            Step::Later(c) => {
                if let Some(w) = self.leaders[c].sent.clone() {
                    self.late.push(w.clone());
                    let stored = self.apply(&w);
                    self.settled(c, stored.then_some(true));
                }
            }
            Step::Late(n) => {
                if n < self.late.len() {
                    let w = self.late.swap_remove(n);
                    self.apply(&w);
                }
            }
            Step::Ends(c) => self.ends(c),
        }
    }

    /// Whose machines are in every stored state: nobody's twice, and none is nobody's.
    fn stored_own(&self, c: usize) -> BTreeSet<String> {
        let away = self.names(|h| h.from.as_usize() == c);
        let mut own: BTreeSet<String> = self.machine_groups[c].difference(&away).cloned().collect();
        own.extend(self.names(|h| h.to.as_usize() == c));
        own
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let c = 0..CELLS;
    let one = prop_oneof![
        4 => (c.clone(), 0..MACHINES, c.clone()).prop_map(|(c, n, to)| Step::Choose(c, n, to)),
        8 => (c.clone(), any::<bool>()).prop_map(|(c, f)| Step::Look(c, f)),
        3 => c.clone().prop_map(Step::Record),
        6 => c.clone().prop_map(Step::Arrives),
        1 => c.clone().prop_map(Step::Unanswered),
        1 => c.clone().prop_map(Step::Later),
        1 => (0..4usize).prop_map(Step::Late),
        1 => c.prop_map(Step::Ends),
    ];
    proptest::collection::vec(one, 1..250)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// Whatever is lost, late or ends: in every stored state each machine is one shard's, and no two
    /// leaders use it at the same time.
    #[test]
    fn a_machine_is_one_cell_s(steps in steps()) {
        let mut w = World::new();
        for s in &steps {
            w.step(s);
            let own: Vec<BTreeSet<String>> = (0..CELLS).map(|c| w.stored_own(c)).collect();
            for m in (0..MACHINES).map(|m| handed(m).machine) {
                let whose: Vec<usize> = (0..CELLS).filter(|c| own[*c].contains(&m)).collect();
                prop_assert_eq!(whose.len(), 1, "{} is of {:?} after {:?}", m, whose, s);
                let uses = |c: &usize| w.leaders[*c].own.contains(&m) && !w.leaders[*c].chosen.contains_key(&m);
                let users: Vec<usize> = (0..CELLS).filter(uses).collect();
                prop_assert!(users.len() <= 1, "{} is used by {:?} after {:?}", m, users, s);
            }
        }
        // Then nothing goes wrong any more, and all that is under way gets there.
        for c in (0..CELLS).cycle().take(CELLS * 8) {
            w.step(&Step::Look(c, true));
            w.step(&Step::Arrives(c));
            w.step(&Step::Record(c));
        }
        prop_assert!(w.hands.values().all(|h| h.0.is_complete()), "{:?}", w.hands);
        let none: usize = w.leaders.iter().map(|o| o.chosen.len()).sum();
        prop_assert_eq!(none, 0);
    }
}
