//! What passes between cells: the plan that comes into force, pictures, shares, work that spills.

use super::*;
use crate::shard::limits;
use lupinspur_cells::escrow::{Amount, Gift, Ledger, Use, gifts};
use lupinspur_cells::handover::{self, BYTES_A_MACHINE, Handed, Handover, giver_next, taker_next, to_whom};
use lupinspur_cells::member::{InForce, Presence, comes_into_force, offers};
use lupinspur_cells::picture::Picture;
use lupinspur_cells::reassign::{Leader, Orders, has_to_raise};
use lupinspur_cells::spill::spills;
use std::collections::BTreeSet;

pub(super) const CELLS_PREFIX: &str = "cells/";
const LEDGER_KEY: &str = "cells/escrow";
const PICTURES: &str = "cells/pic/";
const ORDERS_KEY: &str = "cells/orders";
/// What is not needed is kept for other cells for so many pictures.
const HOLD_PICTURES: f64 = 3.0;
pub(super) const PRESENT_PREFIX: &str = "own/node/";
const CELL_CLAIMS: &str = "own/c/";
const PRESENT_MS: u64 = 15_000;
const OFFER_EVERY: Duration = Duration::from_millis(700);

/// What a node knows of the cells together.
#[derive(Default)]
pub(super) struct Between {
    ledger: Option<(Ledger, u64)>,
    pictures: HashMap<u32, Picture>,
    orders: Option<(Orders, u64)>,
    /// Machines on their way, by their value's key, with its version.
    hands: HashMap<String, (Handover, u64)>,
    /// What the leader remembers, while cell 0 is owned here, and by which claim.
    leader: (u64, Leader),
}

impl Node {
    /// Offers the plan of this controller's file until it is in force.
    pub(super) async fn offer_plan(self: Arc<Self>) {
        let Some(plan) = self.plan.clone() else { return };
        let present = Presence { node: self.settings.node.clone(), plan: Some(plan.clone()) };
        let Ok(value) = serde_json::to_value(&present) else { return };
        let mut lease = None;
        // At once, and before submissions: a deployment that begins is parted before its first flood.
        loop {
            let in_force = lock(&self.in_force).clone();
            if !offers(&plan, in_force.as_ref()) {
                lease = None;
                Timer::after(OFFER_EVERY).await;
                continue;
            }
            let renewed = match lease {
                Some(l) => self.state.renew(l, Duration::from_secs(1)).await.is_ok(),
                None => false,
            };
            if !renewed {
                lease = self.state.grant(PRESENT_MS).await.ok();
                let key = format!("{PRESENT_PREFIX}{}", self.settings.node);
                let change = Change::Put { key, value: value.clone(), lease };
                if lease.is_some() && self.state.commit(vec![], vec![change], Turn::First).await.is_err() {
                    lease = None;
                }
            }
            if in_force.is_none() && self.owns_some(clock::now()) {
                self.bring_into_force(&plan).await;
            }
            Timer::after(OFFER_EVERY).await;
        }
    }

    /// The owner of the one cell that there is puts the plan in its claim's place, once everybody
    /// understands it.
    async fn bring_into_force(self: &Arc<Self>, plan: &lupinspur_cells::Plan) {
        let Ok((items, _)) = self.state.list(PRESENT_PREFIX, Turn::First).await else { return };
        let present: Vec<Presence> = parse_items(items).map(|(_, p, _)| p).collect();
        if !comes_into_force(plan, &self.settings.nodes(), &present) {
            return;
        }
        let Ok(before) = self.state.get(LEDGER_KEY, Turn::First).await else { return };
        let cells = self.cells();
        let Some(cell) = cells.first().filter(|_| cells.len() == 1) else { return };
        let now = clock::now();
        // What is in use stays cell 0's, and nothing is added to it from here on; the rest goes to
        // the teams' homes.
        let made = cell.with_shard(now, |s| {
            let (token, in_use) = (s.token, s.in_use());
            let mut ledger = Ledger::begin(&limits(&self.settings.teams), plan.cells, CellIx(0));
            for (team, used) in &in_use {
                let Some(own) = ledger.share(team, CellIx(0)) else { continue };
                let home = plan.home(team);
                let amount = own.less(*used);
                let gift = Gift { team: team.clone(), from: CellIx(0), to: home, amount };
                if home != CellIx(0)
                    && let Some(l) = ledger.after(&[gift])
                {
                    ledger = l;
                }
            }
            s.set_shares(&self.settings.teams, &ledger, CellIx(0));
            (token, ledger)
        });
        let Some((token, ledger)) = made else { return };
        let (Ok(claim), Ok(shares)) = (serde_json::to_value(InForce::new(plan.clone())), serde_json::to_value(&ledger))
        else {
            return;
        };
        let most = self.settings.value_bytes();
        if claim.to_string().len().max(shares.to_string().len()) > most {
            log::error!("the plan of cells, or what it parts, does not fit a value of {most} bytes");
            return;
        }
        // Of a merging in which not all places of claims could be cleared at once.
        let Ok((left, _)) = self.state.list(CELL_CLAIMS, Turn::First).await else { return };
        for some in left.chunks(self.state.txn_ops) {
            let mut conditions = vec![Condition { key: CLAIM_KEY.into(), version: token }];
            conditions.extend(some.iter().map(|i| Condition { key: i.key.clone(), version: i.version }));
            let gone = some.iter().map(|i| Change::Delete { key: i.key.clone() }).collect();
            if !matches!(self.state.commit(conditions, gone, Turn::First).await, Ok(Commit::Applied(_))) {
                return;
            }
        }
        let conditions = vec![
            Condition { key: CLAIM_KEY.into(), version: token },
            Condition { key: LEDGER_KEY.into(), version: before.map_or(0, |i| i.version) },
        ];
        let changes = vec![
            Change::Put { key: LEDGER_KEY.into(), value: shares, lease: None },
            Change::Put { key: CLAIM_KEY.into(), value: claim, lease: None },
        ];
        // From the moment that it is sent the cells may be owned by others, who wait for nobody.
        lock(&cell.own).suspend(true);
        match self.state.commit(conditions, changes, Turn::First).await {
            Ok(Commit::Applied(_)) => self.enter_cells(plan.clone()),
            // It may be stored, now or later. Without this claim it can't be any more.
            Err(StateError::Unknown) => {
                log::warn!("nobody knows whether the plan of cells came into force: giving the claim up");
                cell.leave_claim();
            }
            // Whoever still holds the claim knows that it was not stored; later it cannot be, since what it
            // was conditional on would have to change first.
            outcome => {
                log::info!("the plan of cells did not come into force: {outcome:?}");
                lock(&cell.own).suspend(false);
                cell.look_at_claim().await;
                let whole = Ledger::begin(&limits(&self.settings.teams), 1, CellIx(0));
                cell.with_shard(clock::now(), |s| s.set_shares(&self.settings.teams, &whole, CellIx(0)));
            }
        }
    }

    /// The plan is in force: this process takes part in its cells from now on.
    pub(super) fn enter_cells(self: &Arc<Self>, plan: lupinspur_cells::Plan) {
        {
            let mut in_force = lock(&self.in_force);
            match &*in_force {
                Some(p) if *p == plan => return,
                Some(_) => {
                    log::error!("another plan of cells is in force than was: this process keeps to the first");
                    return;
                }
                None => *in_force = Some(plan.clone()),
            }
        }
        log::info!("{} cells are in force", plan.cells);
        let cell = |c| Cell::new(self.clone(), CellIx(c), crate::ownership::cell_claim_key(c));
        let cells: Vec<Arc<Cell>> = (0..plan.cells).map(cell).collect();
        // As far as this process knows nobody has claimed them: what it hears next may say more.
        cells.iter().for_each(|c| c.saw_claim(None));
        self.put_cells(cells);
        *lock(&self.between) = Between::default();
        EX.spawn(self.clone().watch_between()).detach();
    }

    /// Shares and pictures, as they are stored.
    async fn watch_between(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        while lock(&self.in_force).is_some() {
            let heard = match from {
                None => self.state.list(CELLS_PREFIX, Turn::InTurn).await,
                Some(r) => self.state.watch(CELLS_PREFIX, r, WATCH_WAIT).await.map(|ev| {
                    let item = |e: crate::wire::Event| {
                        Some(Item { key: e.put?, value: e.value.unwrap_or_default(), version: e.version, lease: None })
                    };
                    (ev.events.into_iter().filter_map(item).collect(), ev.revision.max(r))
                }),
            };
            match heard {
                Ok((items, revision)) => {
                    items.into_iter().for_each(|i| self.saw_between(i));
                    from = Some(revision);
                    Timer::after(WATCH_PAUSE * 4).await;
                }
                Err(_) => {
                    from = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }

    fn saw_between(&self, item: Item) {
        if item.key == LEDGER_KEY {
            if let Ok(l) = serde_json::from_value::<Ledger>(item.value) {
                self.saw_ledger(l, item.version);
            }
        } else if item.key.starts_with(PICTURES) {
            if let Ok(p) = serde_json::from_value::<Picture>(item.value) {
                lock(&self.between).pictures.insert(p.cell.0, p);
            }
        } else if item.key == ORDERS_KEY {
            match serde_json::from_value::<Orders>(item.value) {
                Ok(o) => {
                    let mut b = lock(&self.between);
                    if b.orders.as_ref().is_none_or(|x| x.1 < item.version) {
                        b.orders = Some((o, item.version));
                    }
                }
                Err(e) => log::error!("{ORDERS_KEY} holds something unknown: {e}"),
            }
        } else if item.key.starts_with(handover::PREFIX) {
            match serde_json::from_value::<Handover>(item.value) {
                Ok(h) => self.saw_handover(&item.key, h, item.version),
                Err(e) => log::error!("{} holds something unknown: {e}", item.key),
            }
        }
    }

    /// Whose these machines are from now on is known to every controller, so that none sends them back.
    fn saw_handover(&self, key: &str, h: Handover, version: u64) {
        {
            let mut cells = lock(&self.machine_cells);
            h.machines.iter().for_each(|m| _ = cells.put(m.machine.clone(), h.to));
        }
        let mut b = lock(&self.between);
        if b.hands.get(key).is_none_or(|x| x.1 < version) {
            b.hands.insert(key.to_owned(), (h, version));
        }
    }

    /// The cell to which this machine is on its way.
    pub(super) fn on_its_way_to(&self, machine: &str) -> Option<CellIx> {
        let b = lock(&self.between);
        let all = b.hands.values().map(|h| &h.0);
        all.into_iter().find(|h| h.machines.iter().any(|m| m.machine == machine)).map(|h| h.to)
    }

    /// A team's home, by the leader's word or else by the plan's.
    pub(super) fn home_by(&self, plan: &lupinspur_cells::Plan, team: &str) -> CellIx {
        match &lock(&self.between).orders {
            Some((o, _)) => o.home(plan, team),
            None => plan.home(team),
        }
    }

    /// A newer word on the shares: every cell that is owned here goes by it, unless it is giving.
    fn saw_ledger(&self, ledger: Ledger, version: u64) {
        {
            let mut b = lock(&self.between);
            if b.ledger.as_ref().is_some_and(|l| l.1 >= version) {
                return;
            }
            b.ledger = Some((ledger.clone(), version));
        }
        for c in self.cells().iter().filter(|c| !c.giving.load(Ordering::Relaxed) && !c.takes_all()) {
            c.with_shard(clock::now(), |s| s.set_shares(&self.settings.teams, &ledger, c.ix));
        }
    }
}

impl Cell {
    /// The shares that this cell begins with. Nothing is begun before they are known.
    pub(super) async fn read_shares(&self) -> Result<Option<Ledger>, StateError> {
        if lock(&self.in_force).is_none() || self.takes_all() {
            return Ok(None);
        }
        let item = self.state.get(LEDGER_KEY, Turn::InTurn).await?;
        let read = item.and_then(|i| Some((serde_json::from_value::<Ledger>(i.value).ok()?, i.version)));
        match read {
            Some((l, version)) => {
                self.saw_ledger(l.clone(), version);
                Ok(Some(l))
            }
            // Where there is none nothing may be used of any limit.
            None => Ok(Some(Ledger::begin(&limits(&self.settings.teams), 1, CellIx(u32::MAX)))),
        }
    }

    /// Machines that went to other cells, whatever this cell's own records still say.
    pub(super) async fn read_away(&self) -> Result<BTreeSet<String>, StateError> {
        if lock(&self.in_force).is_none() {
            return Ok(BTreeSet::new());
        }
        let (items, _) = self.state.list(handover::PREFIX, Turn::InTurn).await?;
        let mut away = BTreeSet::new();
        for (key, h, version) in parse_items::<Handover>(items) {
            if h.from == self.ix {
                away.extend(h.machines.iter().map(|m| m.machine.clone()));
            }
            self.saw_handover(&key, h, version);
        }
        Ok(away)
    }

    /// The leader's look at all cells: its word is stored, and every cell goes by it.
    async fn lead(&self, token: u64, plan: &lupinspur_cells::Plan, mine: &Picture) {
        let mut pictures = self.fresh_pictures(plan, mine.at_ms);
        pictures.retain(|p| p.cell != self.ix);
        pictures.push(mine.clone());
        let known = lock(&self.between).orders.clone();
        let (stored, version) = match known {
            Some(o) => o,
            None => match self.state.get(ORDERS_KEY, Turn::InTurn).await {
                Ok(None) => (Orders::default(), 0),
                Ok(Some(item)) => return self.saw_between(item),
                Err(_) => return,
            },
        };
        let next = {
            let mut b = lock(&self.between);
            if b.leader.0 != token {
                b.leader = (token, Leader::default());
            }
            b.leader.1.look(plan, &pictures, &stored, mine.at_ms)
        };
        if !next.differ(&stored, plan) {
            return;
        }
        for (team, home) in next.homes.iter().filter(|(t, c)| stored.home(plan, t) != **c) {
            log::info!("the home of {team} is cell {} from now on", home.0);
        }
        let Ok(value) = serde_json::to_value(&next) else { return };
        if value.to_string().len() > self.settings.value_bytes() {
            return;
        }
        let conditions = vec![
            Condition { key: self.claim_key.clone(), version: token },
            Condition { key: ORDERS_KEY.into(), version },
        ];
        let changes = vec![Change::Put { key: ORDERS_KEY.into(), value: value.clone(), lease: None }];
        if let Ok(Commit::Applied(version)) = self.state.commit(conditions, changes, Turn::InTurn).await {
            self.saw_between(Item { key: ORDERS_KEY.into(), value, version, lease: None });
        }
    }

    /// Machines that go to other cells and come from them, a step of each at a time.
    async fn hand_over(self: &Arc<Self>, token: u64, plan: &lupinspur_cells::Plan, mine: &Picture) {
        let (hands, order, raise) = {
            let b = lock(&self.between);
            let hands = b.hands.clone();
            let under_way: Vec<Handover> = hands.values().map(|h| h.0.clone()).collect();
            let bound_s = self.settings.time_bound_s;
            let orders = b.orders.as_ref().filter(|o| o.0.fresh(plan, mine.at_ms, bound_s));
            let moves = orders.map_or(&[][..], |o| &o.0.moves);
            let token_of = |c: CellIx| b.pictures.get(&c.0).map(|p| p.token);
            let order = to_whom(self.ix, token, moves.iter(), &under_way, token_of);
            (hands, order, has_to_raise(self.ix, token, moves, token_of))
        };
        if raise {
            return self.raise_claim(token).await;
        }
        let hold_s = plan.picture_s * HOLD_PICTURES;
        let now = clock::now();
        let chosen = self.with_shard(now, |s| {
            s.set_order(order, hold_s);
            s.gave_away(hands.values().filter(|h| h.0.from == self.ix).flat_map(|h| &h.0.machines));
            s.take_in(hands.values().filter(|h| h.0.to == self.ix).flat_map(|h| &h.0.machines), now);
            s.set_aside()
        });
        let mut by_cell: std::collections::BTreeMap<CellIx, Vec<Handed>> = Default::default();
        for (to, h) in chosen.unwrap_or_default() {
            by_cell.entry(to).or_default().push(h);
        }
        let most = (self.settings.value_bytes() / BYTES_A_MACHINE).max(1);
        for (to, mut machines) in by_cell {
            let key = handover::key(self.ix, to);
            let version = match hands.get(&key) {
                Some((h, _)) if !h.over() => continue,
                Some((_, v)) => *v,
                None => 0,
            };
            let stay = machines.split_off(machines.len().min(most));
            self.with_shard(now, |s| s.handed(stay.iter(), false));
            let h = Handover { from: self.ix, to, machines, left: false };
            let names: Vec<&str> = h.machines.iter().map(|m| m.machine.as_str()).collect();
            log::info!("{} gives {} machines to cell {}: {}", self.name(), names.len(), to.0, names.join(", "));
            self.put_handover(token, &key, version, h).await;
        }
        for (key, (h, version)) in hands {
            let next = self.with_shard(clock::now(), |s| match () {
                () if h.from == self.ix => giver_next(&h, |m| s.still_names(m)),
                () if h.to == self.ix => taker_next(&h, |m| s.settled(m)),
                () => None,
            });
            if let Some(next) = next.flatten() {
                self.put_handover(token, &key, version, next).await;
            }
        }
    }

    /// One step. Whatever became of it, the state service's own word comes before the next: machines
    /// that were set aside for this stay so until it is known whose they are.
    async fn put_handover(&self, token: u64, key: &str, version: u64, h: Handover) {
        let Ok(value) = serde_json::to_value(&h) else { return };
        let conditions =
            vec![Condition { key: self.claim_key.clone(), version: token }, Condition { key: key.to_owned(), version }];
        let changes = vec![Change::Put { key: key.to_owned(), value, lease: None }];
        let stored = self.surely(token, conditions, changes).await;
        match self.state.get(key, Turn::InTurn).await {
            Ok(Some(item)) => self.saw_between(item),
            Ok(None) => {}
            Err(_) => return,
        }
        if h.from == self.ix && !h.left && stored == Some(false) {
            let stands = lock(&self.between).hands.get(key).map(|x| x.0.machines.clone()).unwrap_or_default();
            let stay: Vec<Handed> = h.machines.into_iter().filter(|m| !stands.contains(m)).collect();
            self.with_shard(clock::now(), |s| s.handed(stay.iter(), false));
        }
    }

    /// Tells the others of this cell, gives what it does not need, and lets waiting work go.
    pub(super) async fn look_around(self: Arc<Self>) {
        while self.open() {
            let Some(plan) = lock(&self.in_force).clone() else { return };
            Timer::after(Duration::from_secs_f64(plan.picture_s * (0.9 + 0.2 * fastrand::f64()))).await;
            let now = clock::now();
            let seen = self.with_shard(now, |s| (s.token, s.gathered(now).then(|| s.picture(self.ix, now))));
            let Some((token, picture)) = seen else { continue };
            if self.merges() {
                self.merge(token, &plan).await;
                continue;
            }
            let Some(mine) = picture else { continue };
            if let Ok(value) = serde_json::to_value(&mine)
                && value.to_string().len() <= self.settings.value_bytes()
            {
                let key = format!("{PICTURES}{}", self.ix.0);
                let change = Change::Put { key, value, lease: None };
                let claim = Condition { key: self.claim_key.clone(), version: token };
                let _ = self.state.commit(vec![claim], vec![change], Turn::InTurn).await;
            }
            if self.state.answers(clock::now()) {
                if self.goes_back() && self.ix.0 == 0 {
                    self.begin_merging(token, &plan).await;
                }
                self.give(token, &plan, &mine).await;
                self.let_go(token, &plan, &mine).await;
                if self.ix.0 == 0 {
                    self.lead(token, &plan, &mine).await;
                }
                self.hand_over(token, &plan, &mine).await;
            }
        }
    }

    fn fresh_pictures(&self, plan: &lupinspur_cells::Plan, now_ms: u64) -> Vec<Picture> {
        let b = lock(&self.between);
        let bound_s = 2.0 * self.settings.time_bound_s;
        b.pictures.values().filter(|p| p.fresh(now_ms, plan.picture_s, bound_s)).cloned().collect()
    }

    async fn give(&self, token: u64, plan: &lupinspur_cells::Plan, mine: &Picture) {
        let Some((ledger, version)) = lock(&self.between).ledger.clone() else { return };
        let pictures = self.fresh_pictures(plan, mine.at_ms);
        let mut all: Vec<Gift> = Vec::new();
        for team in ledger.teams.keys() {
            let of = |c: u32| -> Option<Use> {
                let p = if c == self.ix.0 { mine } else { pictures.iter().find(|p| p.cell.0 == c)? };
                Some(p.teams.get(team).copied().unwrap_or_default())
            };
            let uses: Vec<Option<Use>> = (0..plan.cells).map(of).collect();
            all.extend(gifts(self.ix, team, &ledger, &uses, self.home_by(plan, team)));
        }
        if !all.is_empty() {
            self.part_with(token, (ledger, version), all, Vec::new(), Vec::new()).await;
        }
    }

    /// Stores gifts, and what goes with them, in one write. What is given is not counted on from
    /// before the write is sent until it is known what became of it.
    async fn part_with(
        &self,
        token: u64,
        (ledger, version): (Ledger, u64),
        given: Vec<Gift>,
        mut conditions: Vec<Condition>,
        mut changes: Vec<Change>,
    ) -> Option<bool> {
        let next = ledger.after(&given)?;
        self.giving.store(true, Ordering::Relaxed);
        let fits = self.with_shard(clock::now(), |s| {
            // What has come into use since the picture is not given after all.
            let used = s.in_use();
            let ok =
                s.token == token && used.iter().all(|(t, u)| next.share(t, self.ix).is_none_or(|left| u.fits(left)));
            if ok {
                s.set_shares(&self.settings.teams, &next, self.ix);
            }
            ok
        });
        let mut stored = Some(false);
        if fits == Some(true) {
            let value = serde_json::to_value(&next).unwrap_or_default();
            conditions.push(Condition { key: self.claim_key.clone(), version: token });
            conditions.push(Condition { key: LEDGER_KEY.into(), version });
            changes.push(Change::Put { key: LEDGER_KEY.into(), value, lease: None });
            stored = self.surely(token, conditions, changes).await;
            // Whatever became of it: the state service's own word on the shares, before anything is
            // counted on again.
            while stored != Some(false) && lock(&self.own).token() == Some(token) {
                if let Ok(Some(item)) = self.state.get(LEDGER_KEY, Turn::InTurn).await
                    && let Ok(l) = serde_json::from_value::<Ledger>(item.value)
                {
                    self.saw_ledger(l, item.version);
                    break;
                }
                Timer::after(Duration::from_millis(300)).await;
            }
        }
        self.giving.store(false, Ordering::Relaxed);
        let known = lock(&self.between).ledger.clone();
        if let Some((l, _)) = known {
            self.with_shard(clock::now(), |s| s.set_shares(&self.settings.teams, &l, self.ix));
        }
        stored
    }

    /// Sends a write until it is certain that it will not be applied later: one whose answer was lost
    /// goes again, and finds what it is conditional on as it was or changed. True: it is stored;
    /// none: it may be, which a reader tells; false: it is not.
    async fn surely(&self, token: u64, conditions: Vec<Condition>, changes: Vec<Change>) -> Option<bool> {
        let mut lost = false;
        loop {
            match self.state.commit(conditions.clone(), changes.clone(), Turn::InTurn).await {
                Ok(Commit::Applied(_)) => return Some(true),
                Ok(Commit::Failed(_)) => return if lost { None } else { Some(false) },
                Err(StateError::NotExecuted(_)) if !lost => return Some(false),
                Err(StateError::Unknown) => lost = true,
                Err(_) => {}
            }
            if lock(&self.own).token() != Some(token) {
                return None;
            }
            Timer::after(Duration::from_millis(300)).await;
        }
    }

    /// Is this job another cell's, as its record tells? Asked until there is an answer: one that stays
    /// here, set aside for the other cell, would be started by nobody. None where the claim is lost, or
    /// the record can't be read.
    async fn is_elsewhere(&self, token: u64, key: &str) -> Option<bool> {
        while lock(&self.own).token() == Some(token) {
            match self.state.get(key, Turn::InTurn).await {
                Ok(item) => {
                    let record = item.and_then(|i| job_of(&i.key, &i.value).ok())?;
                    return Some(self.cell_of_record(&record) != self.ix);
                }
                Err(_) => Timer::after(Duration::from_millis(300)).await,
            };
        }
        None
    }

    /// Waiting work goes to cells where it starts sooner, whole and one job at a time.
    async fn let_go(self: &Arc<Self>, token: u64, plan: &lupinspur_cells::Plan, mine: &Picture) {
        let others = self.fresh_pictures(plan, mine.at_ms);
        let now = clock::now();
        let boot_s = self.types().iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let waiting = self.with_shard(now, |s| s.may_leave(now)).unwrap_or_default();
        for (j, to) in spills(plan, mine, &others, &waiting, boot_s) {
            let Some((ledger, version)) = lock(&self.between).ledger.clone() else { return };
            let gone = self.with_shard(clock::now(), |s| {
                // It may have been started, or ended, since it was offered.
                let still = s.jobs.get(j).is_some_and(|x| x.open() && x.held == 0 && !x.leaving);
                if !still || s.token != token {
                    return None;
                }
                let (record, version, team, takes) = s.goes(j, to)?;
                Some((record, version, s.team_name(team).to_owned(), takes))
            });
            let Some((record, at, team, takes)) = gone.flatten() else { continue };
            let id = record.job.id.clone();
            let key = crate::jobs::job_key(&id);
            let Ok(value) = serde_json::to_value(&record) else { continue };
            // Its part of the limit goes with it, as far as this cell has it to spare.
            let given: Vec<Gift> = ledger
                .share(&team, self.ix)
                .map(|own| {
                    let used = self.with_shard(clock::now(), |s| s.in_use()).unwrap_or_default();
                    let used = used.into_iter().find(|u| u.0 == team).map_or(own, |u| u.1);
                    let spare = own.less(used);
                    let amount = Amount::new(takes.cpus.min(spare.cpus), takes.cards.min(spare.cards));
                    Gift { team: team.clone(), from: self.ix, to, amount }
                })
                .into_iter()
                .collect();
            let conditions = vec![Condition { key: key.clone(), version: at }];
            let changes = vec![Change::Put { key: key.clone(), value, lease: None }];
            let stored = self.part_with(token, (ledger, version), given, conditions, changes).await;
            // Its own record has the last word on whose it is.
            let theirs = match stored {
                Some(true) | None => self.is_elsewhere(token, &key).await,
                Some(false) => Some(false),
            };
            match theirs {
                Some(true) => {
                    log::info!("{id} goes from {} to cell {}", self.name(), to.0);
                    self.note_cell(&id, to);
                    self.with_shard(clock::now(), |s| s.left(&id, clock::now()));
                }
                Some(false) => _ = self.with_shard(clock::now(), |s| s.stays(&id)),
                // It waits here, started by nobody, until its record comes by the watch.
                None => {}
            }
        }
    }
}
