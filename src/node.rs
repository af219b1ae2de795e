//! The node: sockets, clocks and loops around one shard's decisions.

use crate::api::{Told, Word};
use crate::clock;
use crate::cloud::{CloudClient, CloudError};
use crate::fleet::racks::RACK_PREFIX;
use crate::fleet::{FLEET_KEY, MACHINE_PREFIX};
use crate::intern::{Index, RackIx};
use crate::jobs::{JOB_PREFIX, JobRecord, PART_PREFIX, PROGRESS_PREFIX, Phase};
use crate::ownership::{AWAY_S, CLAIM_KEY, CLAIM_PREFIX, Claim, Next, Ownership, SeenClaim, TYPES_KEY, away_key};
use crate::peer::{
    JobAnswer, JobQuestion, Outcome, Owner, Peers, QuotaAnswer, QuotaQuestion, ServiceAnswer, ServiceQuestion,
};
use crate::settings::Settings;
use crate::shard::{CloudCall, Counts, Found, Loaded, LoadedQuotas, Shard, job_of};
use crate::state::{Commit, StateClient, StateError, TXN_BYTES, Turn};
use crate::tuning::Tuning;
use crate::wire::{Change, Condition, Item, JobState, Kind, MachineType, RentRequest};
use crate::worker::WorkerClient;
use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use lru::LruCache;
use lupinspur_accounts::gate::LOG_MARK;
use lupinspur_accounts::handed::Carried;
use lupinspur_accounts::{Alarm, Book, Reading, Told as ServiceTold};
use lupinspur_quota::Plan;
use lupinspur_quota::stored::{HEAD, PREFIX};
use serde::de::DeserializeOwned;
use std::collections::HashMap;
use std::net::TcpListener;
use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

static EX: Executor<'static> = Executor::new();

const TICK: Duration = Duration::from_millis(100);
const GATHER: Duration = Duration::from_millis(20);
const LOOK_AGAIN_S: f64 = 1.0;
const SUMMARY_EVERY_S: f64 = 10.0;
/// The accounts as a whole go to the log this often; the gate reads the last ones.
const ACCOUNTS_EVERY_S: f64 = 30.0;
const ALARMS_EVERY_S: f64 = 1.0;
/// A submission that is answered later than this was not accepted in time.
const ACCEPTED_WITHIN_S: f64 = 1.0;
const MOST_COMMITS: usize = 3;
/// Jobs that are over, and jobs that were accepted, that a node remembers; the others it asks for.
const MOST_KEPT: NonZeroUsize = NonZeroUsize::new(10_000).unwrap();
const LIST_EVERY_S: f64 = 3.0;
const TYPES_EVERY_S: f64 = 20.0;
const KEEP_TYPES_EVERY: Duration = Duration::from_secs(1);
const LOOK_UP_EVERY: Duration = Duration::from_secs(1);
const WATCH_WAIT: Duration = Duration::from_millis(1500);
/// An earlier self may still be ending, and hold its addresses, for a moment.
const BIND_WITHIN_S: f64 = 20.0;
const BIND_AGAIN: Duration = Duration::from_millis(20);

/// What files of the operators enable.
#[derive(Debug, Default)]
pub struct Features {
    pub quotas: Option<Plan>,
    pub elastic: Option<lupinspur_elastic::Plan>,
}

/// Who acts, as far as this node knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    Owner,
    Other(String),
    Nobody,
}

struct Wakes {
    writer: (Sender<()>, Receiver<()>),
    direct: (Sender<()>, Receiver<()>),
    pace: (Sender<()>, Receiver<()>),
}

pub struct Node {
    pub settings: Settings,
    pub tuning: Tuning,
    /// The operators' file of quotas that nest.
    quotas: Option<Plan>,
    /// The operators' file of elastic jobs.
    pub elastic: Option<lupinspur_elastic::Plan>,
    pub state: StateClient,
    pub cloud: CloudClient,
    pub workers: WorkerClient,
    pub peers: Peers,
    own: Mutex<Ownership>,
    shard: Mutex<Option<Shard>>,
    types: Mutex<Arc<Vec<MachineType>>>,
    finals: Mutex<LruCache<String, Told>>,
    /// Jobs that this node has seen to be accepted: they stay so.
    accepted: Mutex<LruCache<String, Kind>>,
    /// What users were answered at this controller's door, by class and team.
    door: Mutex<Book>,
    state_ok: Mutex<f64>,
    /// The machine types as the state service has them.
    types_stored: Mutex<Option<Vec<MachineType>>>,
    /// Whether the cloud itself told the types.
    types_asked: AtomicBool,
    /// Reports that were sent on to the owner, and those that could not be answered at all.
    sent_on: AtomicU64,
    turned_away: AtomicU64,
    wakes: Wakes,
    claiming: AtomicBool,
    loading: AtomicBool,
}

fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn parse_items<T: DeserializeOwned>(items: Vec<Item>) -> impl Iterator<Item = (String, T, u64)> {
    items.into_iter().filter_map(|i| match serde_json::from_value(i.value) {
        Ok(v) => Some((i.key, v, i.version)),
        Err(e) => {
            log::error!("key {} holds something unknown: {e}", i.key);
            None
        }
    })
}

/// Takes a job's record in. Knowing of it needs no right to act: what came while the lease was
/// in doubt would be missing afterwards.
fn take_into(s: &mut Shard, item: &Item, now: f64) {
    match job_of(&item.key, &item.value) {
        Ok(r) => _ = s.add_job(r, item.version, now),
        Err(e) => {
            log::error!("{} {e}", item.key);
            s.cannot_take_in(&item.key);
        }
    }
}

/// The records that a successor needs, of all that the state service has.
#[derive(Default)]
struct Records {
    jobs: HashMap<String, (JobRecord, u64)>,
    over: u64,
    found: Found,
    /// The accounts of the owner before.
    handed: Option<(Carried, u8)>,
}

impl Records {
    /// One record; one that is over is dropped, unless it ended since the checkpoint.
    fn take(&mut self, key: &str, value: &serde_json::Value, version: u64, keep_over: bool) {
        match job_of(key, value) {
            Ok(r) if r.phase == Phase::Open || keep_over => {
                self.jobs.insert(r.job.id.clone(), (r, version));
            }
            Ok(_) => self.over += 1,
            Err(e) => {
                log::error!("{key} {e}");
                self.found.incomplete = true;
            }
        }
    }
}

impl Node {
    fn new(settings: Settings, tuning: Tuning, features: Features) -> Node {
        let me = Claim::new(settings.node.clone(), format!("{:016x}", fastrand::u64(..)));
        Node {
            state: StateClient::new(&settings),
            cloud: CloudClient::new(&settings),
            workers: WorkerClient::new(&settings),
            peers: Peers::new(&EX, &settings),
            own: Mutex::new(Ownership::new(me, tuning.claim_s)),
            shard: Mutex::new(None),
            types: Mutex::default(),
            finals: Mutex::new(LruCache::new(MOST_KEPT)),
            accepted: Mutex::new(LruCache::new(MOST_KEPT)),
            door: Mutex::new(Book::new(settings.terms.clone())),
            state_ok: Mutex::new(-100.0),
            types_stored: Mutex::default(),
            types_asked: AtomicBool::new(false),
            sent_on: AtomicU64::new(0),
            turned_away: AtomicU64::new(0),
            wakes: Wakes {
                writer: async_channel::bounded(1),
                direct: async_channel::bounded(1),
                pace: async_channel::bounded(1),
            },
            claiming: AtomicBool::new(false),
            loading: AtomicBool::new(false),
            settings,
            tuning,
            quotas: features.quotas,
            elastic: features.elastic,
        }
    }

    /// Lets `f` see the shard while this node surely owns it.
    pub fn with_shard<T>(&self, now: f64, f: impl FnOnce(&mut Shard) -> T) -> Option<T> {
        let token = lock(&self.own).may_act(now)?;
        let mut guard = lock(&self.shard);
        guard.as_mut().filter(|s| s.token == token).map(f)
    }

    pub fn standing(&self, now: f64) -> Standing {
        let own = lock(&self.own);
        if own.may_act(now).is_some() {
            drop(own);
            return if lock(&self.shard).is_some() { Standing::Owner } else { Standing::Nobody };
        }
        own.other_owner().map_or(Standing::Nobody, |n| Standing::Other(n.to_owned()))
    }

    pub fn types(&self) -> Arc<Vec<MachineType>> {
        lock(&self.types).clone()
    }

    pub fn healthy(&self) -> bool {
        let now = clock::now();
        !lock(&self.types).is_empty() && (now - *lock(&self.state_ok) < 4.0 || self.standing(now) == Standing::Owner)
    }

    /// Something may be there to place: the next tick comes soon.
    pub fn wake(&self) {
        let _ = self.wakes.pace.0.try_send(());
    }

    fn carry_out(&self) {
        let _ = self.wakes.writer.0.try_send(());
        let _ = self.wakes.direct.0.try_send(());
    }

    /// Final states never change: any node may tell them once it has learnt them.
    pub fn final_known(&self, id: &str) -> Option<Told> {
        lock(&self.finals).get(id).copied()
    }

    pub fn note_final(&self, id: &str, t: Told) {
        if matches!(t.state, JobState::Done | JobState::Cancelled) {
            lock(&self.finals).put(id.to_owned(), t);
        }
    }

    pub fn accepted_kind(&self, id: &str) -> Option<Kind> {
        lock(&self.accepted).get(id).copied()
    }

    pub fn note_accepted(&self, id: &str, kind: Kind) {
        lock(&self.accepted).put(id.to_owned(), kind);
    }

    /// A user waited for this answer from `began` on.
    pub fn note_answer(&self, class: &str, team: &str, what: Reading, served: bool, began: f64) {
        let now = clock::now();
        let in_time = what != Reading::Accepted || now - began <= ACCEPTED_WITHIN_S;
        lock(&self.door).answered(class, team, what, served && in_time, now);
    }

    fn tell_alarms(&self, alarms: &[Alarm], whose: &str) {
        for a in alarms {
            if a.under { log::warn!("{whose}: {a}") } else { log::info!("{whose}: {a}") }
        }
    }

    /// A stored job that the shard did not know of yet.
    pub fn take_job(&self, item: &Item) {
        let now = clock::now();
        let token = lock(&self.own).token();
        if let Some(s) = lock(&self.shard).as_mut().filter(|s| Some(s.token) == token) {
            take_into(s, item, now);
        }
        self.wake();
    }

    fn state_answered(&self) {
        *lock(&self.state_ok) = clock::now();
    }

    // ---- the lease and the claim ----

    async fn keep_lease(self: Arc<Self>) {
        let every = Duration::from_secs_f64((self.tuning.claim_s / 5.0).min(1.5));
        loop {
            let lease = lock(&self.own).lease();
            if let Some(id) = lease {
                let sent = clock::now();
                match self.state.renew(id, Duration::from_millis(1200)).await {
                    Ok(()) => {
                        self.state_answered();
                        let mut own = lock(&self.own);
                        if own.lease() == Some(id) {
                            own.confirmed(id, sent);
                        }
                    }
                    Err(StateError::NoSuchLease) => {
                        log::warn!("the lease is gone");
                        self.lose(|o| o.lease_lost());
                    }
                    Err(e) => log::debug!("renewal: {e}"),
                }
            }
            self.try_claim().await;
            let pause =
                if lock(&self.own).may_act(clock::now()).is_some() { every } else { Duration::from_millis(150) };
            Timer::after(pause.min(every)).await;
        }
    }

    fn lose(&self, f: impl FnOnce(&mut Ownership)) {
        f(&mut lock(&self.own));
        if lock(&self.shard).take().is_some() {
            log::warn!("no longer the owner");
            self.state.set_share(&self.settings, false);
            self.cloud.set_share(&self.settings, false);
        }
    }

    async fn try_claim(&self) {
        if self.claiming.swap(true, Ordering::Relaxed) {
            return;
        }
        self.claim_once().await;
        self.claiming.store(false, Ordering::Relaxed);
    }

    async fn claim_once(&self) {
        // Whoever does not know the machine types cannot act, and must not stand in the
        // way of those that can.
        if self.types().is_empty() {
            return;
        }
        let next = || lock(&self.own).next(clock::now(), clock::wall_ms(), !self.settings.peers.is_empty());
        let mut step = next();
        if step == Next::Grant {
            let sent = clock::now();
            match self.state.grant((self.tuning.claim_s * 1000.0) as u64).await {
                Ok(id) => lock(&self.own).confirmed(id, sent),
                Err(e) => log::debug!("asking for a lease: {e}"),
            }
            step = next();
        }
        match step {
            Next::Nothing | Next::Grant => {}
            Next::Claim { lease, over } => {
                let me = lock(&self.own).trying(lease, clock::wall_ms());
                let Ok(value) = serde_json::to_value(&me) else { return };
                let condition = Condition { key: CLAIM_KEY.into(), version: over };
                let change = Change::Put { key: CLAIM_KEY.into(), value, lease: Some(lease) };
                match self.state.commit(vec![condition], vec![change], Turn::First).await {
                    Ok(Commit::Applied(version)) => {
                        log::info!("claimed the shard with token {version}");
                        lock(&self.own).claimed(version);
                    }
                    Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_claim().await,
                    Err(StateError::NoSuchLease) => self.lose(|o| o.lease_lost()),
                    Err(e) => log::debug!("claiming: {e}"),
                }
            }
            Next::Adopt { version } => lock(&self.own).claimed(version),
            Next::GiveWay { over } => self.give_way(over).await,
        }
        let token = lock(&self.own).token();
        let have = lock(&self.shard).as_ref().map(|s| s.token);
        if let (Some(t), true, Some(me)) = (token, have != token, NODE.get().cloned())
            && !self.loading.swap(true, Ordering::Relaxed)
        {
            // Reading may take longer than the lease lasts: it goes on being renewed meanwhile. A
            // reading that had to be over within a lease would never be over with a long history.
            EX.spawn(async move {
                me.load(t).await;
                me.loading.store(false, Ordering::Relaxed);
            })
            .detach();
        }
    }

    /// Leaves the claim of an earlier self to the other controllers, and a word of it for later
    /// selves that goes by itself.
    async fn give_way(&self, over: u64) {
        let Ok(lease) = self.state.grant((AWAY_S * 1000.0) as u64).await else { return };
        let Ok(value) = serde_json::to_value(lock(&self.own).me()) else { return };
        let condition = Condition { key: CLAIM_KEY.into(), version: over };
        let away = Change::Put { key: away_key(&self.settings.node), value, lease: Some(lease) };
        let changes = vec![Change::Delete { key: CLAIM_KEY.into() }, away];
        match self.state.commit(vec![condition], changes, Turn::First).await {
            Ok(Commit::Applied(_)) => {
                log::warn!("this controller keeps ending: another one is to own");
                let mut own = lock(&self.own);
                own.gave_way(clock::now());
                own.saw(None, clock::now());
            }
            Ok(Commit::Failed(_)) | Err(StateError::Unknown) => self.look_at_claim().await,
            Err(e) => log::debug!("giving way: {e}"),
        }
    }

    /// What stands beside the claim: the machine types, and whether this controller gave way.
    fn saw_beside_claim(&self, key: &str, value: serde_json::Value) {
        if key == TYPES_KEY {
            match serde_json::from_value::<Vec<MachineType>>(value) {
                Ok(t) if !t.is_empty() => {
                    *lock(&self.types_stored) = Some(t.clone());
                    let mut types = lock(&self.types);
                    if types.is_empty() {
                        *types = Arc::new(t);
                    }
                }
                Ok(_) => {}
                Err(e) => log::error!("{TYPES_KEY} holds something unknown: {e}"),
            }
        } else if key == away_key(&self.settings.node) {
            lock(&self.own).gave_way(clock::now());
        }
    }

    /// The owner stores the machine types where every controller reads first. Prices move all
    /// the time and are asked for anyway.
    async fn keep_types(self: Arc<Self>) {
        let sizes = |t: &[MachineType]| -> Vec<MachineType> {
            t.iter().map(|t| MachineType { price: 0.0, spot_price: 0.0, ..t.clone() }).collect()
        };
        loop {
            Timer::after(KEEP_TYPES_EVERY).await;
            let Some(token) = self.with_shard(clock::now(), |s| s.token) else { continue };
            let types = self.types();
            let known = lock(&self.types_stored).as_ref().is_some_and(|s| sizes(s) == sizes(&types));
            if known || !self.types_asked.load(Ordering::Relaxed) {
                continue;
            }
            let Ok(value) = serde_json::to_value(&*types) else { continue };
            if value.to_string().len() > self.settings.value_bytes() {
                continue;
            }
            let condition = Condition { key: CLAIM_KEY.into(), version: token };
            let change = Change::Put { key: TYPES_KEY.into(), value, lease: None };
            if let Ok(Commit::Applied(_)) = self.state.commit(vec![condition], vec![change], Turn::InTurn).await {
                *lock(&self.types_stored) = Some(types.to_vec());
            }
        }
    }

    /// How a report is answered that this controller cannot take.
    pub fn elsewhere(&self, now: f64) -> Option<String> {
        match self.standing(now) {
            Standing::Other(node) => {
                self.sent_on.fetch_add(1, Ordering::Relaxed);
                Some(node)
            }
            _ => {
                self.turned_away.fetch_add(1, Ordering::Relaxed);
                None
            }
        }
    }

    async fn look_at_claim(&self) {
        if let Ok(item) = self.state.get(CLAIM_KEY, Turn::First).await {
            self.state_answered();
            self.saw_claim(item);
        }
    }

    fn saw_claim(&self, item: Option<Item>) {
        let seen =
            item.and_then(|i| Some(SeenClaim { claim: serde_json::from_value(i.value).ok()?, version: i.version }));
        let lost = lock(&self.own).saw(seen, clock::now());
        if lost {
            self.lose(|_| {});
        }
    }

    /// Reads everything that the shard needs to go on.
    async fn load(&self, token: u64) {
        let began = clock::now();
        self.state.set_share(&self.settings, true);
        let loaded = async {
            let (records, revision) = self.read_jobs().await?;
            let (mut progress, _) = self.state.list(PROGRESS_PREFIX, Turn::InTurn).await?;
            progress.extend(self.state.list(PART_PREFIX, Turn::InTurn).await?.0);
            let (machines, _) = self.state.list(MACHINE_PREFIX, Turn::InTurn).await?;
            let (racks, _) = self.state.list(RACK_PREFIX, Turn::InTurn).await?;
            let fleet = self.state.get(FLEET_KEY, Turn::InTurn).await?;
            let quotas = match &self.quotas {
                Some(_) => self.state.list(PREFIX, Turn::InTurn).await?.0,
                None => Vec::new(),
            };
            Ok::<_, StateError>((records, revision, progress, machines, racks, fleet, quotas))
        };
        match loaded.await {
            Ok((records, revision, progress, machines, racks, fleet, quotas)) => {
                let number = |k: &str| k.strip_prefix(RACK_PREFIX).and_then(|n| n.parse::<usize>().ok());
                let handed = records.handed;
                let loaded = Loaded {
                    jobs: records.jobs.into_values().collect(),
                    checkpoint: records.found,
                    elastic: self.elastic.clone(),
                    progress: parse_items(progress).collect(),
                    machines: parse_items(machines)
                        .map(|(k, r, v): (String, _, _)| (k.trim_start_matches(MACHINE_PREFIX).to_owned(), r, v))
                        .collect(),
                    // A value that cannot be read is left alone: its number is never used again.
                    racks_from: racks.iter().filter_map(|i| number(&i.key)).max().map_or(0, |n| n + 1),
                    racks: parse_items(racks).filter_map(|(k, r, v)| Some((RackIx::new(number(&k)?), r, v))).collect(),
                    fleet: fleet.and_then(|i| parse_items(vec![i]).next()).map(|(_, r, v)| (r, v)),
                    quotas: self.quotas.clone().map(|file| {
                        let (head, parts): (Vec<Item>, Vec<Item>) = quotas.into_iter().partition(|i| i.key == HEAD);
                        let head = parse_items(head).next().map(|(_, h, v)| (h, v));
                        LoadedQuotas { file, head, parts: parse_items(parts).collect() }
                    }),
                };
                let machines = loaded.machines.len() + loaded.racks.iter().map(|r| r.1.machines.len()).sum::<usize>();
                if lock(&self.own).token() != Some(token) {
                    log::warn!("the claim was lost while everything was read");
                    self.state.set_share(&self.settings, false);
                    return;
                }
                let now = clock::now();
                log::info!("took over: {} jobs, {machines} machines, read in {:.2} s", loaded.jobs.len(), now - began);
                for (r, _) in loaded.jobs.iter().filter(|(r, _)| r.phase != Phase::Open) {
                    self.note_final(&r.job.id, crate::api::told_of(r));
                }
                let mut shard = Shard::new(
                    &self.settings.params(),
                    self.tuning.clone(),
                    token,
                    (*self.types()).clone(),
                    loaded,
                    now,
                );
                shard.day_ms = clock::wall_ms() as f64 - now * 1000.0;
                shard.carry_accounts(handed, now);
                shard.tick(now);
                *lock(&self.shard) = Some(shard);
                self.cloud.set_share(&self.settings, true);
                self.wake();
                let me = NODE.get().cloned();
                if let Some(me) = me {
                    EX.spawn(me.watch_jobs(token, revision)).detach();
                }
            }
            Err(e) => log::warn!("loading (after {:.1} s): {e}", clock::now() - began),
        }
    }

    /// The jobs that are open, by the checkpoint and the changes since; or, where that cannot
    /// be used, by every record there is, page by page.
    async fn read_jobs(&self) -> Result<(Records, u64), StateError> {
        let mut records = Records::default();
        let (items, _) = self.state.list(lupinspur_recovery::PREFIX, Turn::InTurn).await?;
        records.found.keys = items.iter().map(|i| (i.key.clone(), i.version)).collect();
        records.handed = crate::shard::handed(items.iter().map(|i| (i.key.as_str(), &i.value)));
        let read = lupinspur_recovery::read(items.iter().map(|i| (i.key.as_str(), &i.value)));
        drop(items);
        match read {
            Ok(mut read) => match self.state.watch(JOB_PREFIX, read.head.at, Duration::ZERO).await {
                Ok(since) => {
                    for o in std::mem::take(&mut read.open) {
                        records.take(&format!("{JOB_PREFIX}{}", o.id), &o.value, o.version, false);
                    }
                    let (at, changes) = (read.head.at, since.events.len());
                    for e in since.events {
                        if let (Some(key), Some(value)) = (&e.put, &e.value) {
                            records.take(key, value, e.version, true);
                        }
                    }
                    log::info!("read the checkpoint of revision {at} and {changes} changes since");
                    records.found.read = Some(read);
                    let revision = since.revision.max(at);
                    records.found.revision = revision;
                    return Ok((records, revision));
                }
                Err(StateError::TooOld) => {
                    log::warn!("the changes since the checkpoint of revision {} are gone", read.head.at)
                }
                Err(e) => return Err(e),
            },
            Err(lupinspur_recovery::Unusable::None) => log::info!("there is no checkpoint yet"),
            Err(e) => log::warn!("the checkpoint cannot be used: {e}"),
        }
        let revision =
            self.state.each(JOB_PREFIX, Turn::InTurn, |i| records.take(&i.key, &i.value, i.version, false)).await?;
        log::info!("read every job's record: {} are open, {} are over", records.jobs.len(), records.over);
        records.found.revision = revision;
        Ok((records, revision))
    }

    async fn watch_claim(self: Arc<Self>) {
        let mut from: Option<u64> = None;
        loop {
            let Some(revision) = from else {
                match self.state.list(CLAIM_PREFIX, Turn::First).await {
                    Ok((items, revision)) => {
                        self.state_answered();
                        let (claim, beside): (Vec<Item>, Vec<Item>) =
                            items.into_iter().partition(|i| i.key == CLAIM_KEY);
                        beside.into_iter().for_each(|i| self.saw_beside_claim(&i.key, i.value));
                        self.saw_claim(claim.into_iter().next());
                        // A claim of its own earlier self, or none: there is nothing to wait for.
                        self.try_claim().await;
                        from = Some(revision);
                    }
                    Err(e) => {
                        log::debug!("reading the claim: {e}");
                        Timer::after(Duration::from_millis(300)).await;
                    }
                }
                continue;
            };
            match self.state.watch(CLAIM_PREFIX, revision, WATCH_WAIT).await {
                Ok(ev) => {
                    self.state_answered();
                    from = Some(ev.revision.max(revision));
                    for e in ev.events {
                        if e.put.as_deref() == Some(CLAIM_KEY) {
                            let item = Item {
                                key: CLAIM_KEY.into(),
                                value: e.value.unwrap_or_default(),
                                version: e.version,
                                lease: None,
                            };
                            self.saw_claim(Some(item));
                        } else if e.delete.as_deref() == Some(CLAIM_KEY) {
                            self.saw_claim(None);
                        } else if let (Some(key), Some(value)) = (e.put, e.value) {
                            self.saw_beside_claim(&key, value);
                        }
                    }
                    if lock(&self.own).token().is_none() {
                        self.try_claim().await;
                    }
                }
                Err(StateError::TooOld) => from = None,
                Err(_) => {
                    from = None;
                    Timer::after(Duration::from_millis(300)).await;
                }
            }
        }
    }

    /// Jobs that other nodes accepted reach the owner by watching.
    async fn watch_jobs(self: Arc<Self>, token: u64, mut from: u64) {
        let mine = |n: &Node| lock(&n.shard).as_ref().is_some_and(|s| s.token == token);
        while mine(&self) {
            match self.state.watch(JOB_PREFIX, from, Duration::from_secs(5)).await {
                Ok(ev) => {
                    from = ev.revision.max(from);
                    for e in ev.events {
                        if let (Some(key), Some(value)) = (e.put, e.value) {
                            self.take_job(&Item { key, value, version: e.version, lease: None });
                        }
                    }
                    self.caught_up(token, from);
                }
                Err(StateError::TooOld) => {
                    log::warn!("changes of jobs were missed: reading every record");
                    let take = |i: Item| {
                        // What is over and not known here changes nothing.
                        if job_of(&i.key, &i.value).map_or(true, |r| r.phase == Phase::Open) {
                            self.take_job(&i);
                        }
                    };
                    if let Ok(revision) = self.state.each(JOB_PREFIX, Turn::InTurn, take).await {
                        from = revision;
                        self.caught_up(token, from);
                    }
                }
                Err(_) => {
                    Timer::after(Duration::from_millis(200)).await;
                }
            }
        }
    }

    fn caught_up(&self, token: u64, revision: u64) {
        if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
            s.watched(revision);
        }
    }

    /// Jobs that others here need and that nobody has told of: mostly they ended long ago.
    async fn look_up_needs(self: Arc<Self>) {
        let mut before: Vec<String> = Vec::new();
        loop {
            Timer::after(LOOK_UP_EVERY).await;
            let wanted = self.with_shard(clock::now(), |s| s.to_look_up()).unwrap_or_default();
            // One that is new here may only be late by the watch.
            for id in wanted.iter().filter(|id| before.contains(id)) {
                if let Ok(Some(item)) = self.state.get(&crate::jobs::job_key(id), Turn::InTurn).await {
                    self.take_job(&item);
                }
            }
            before = wanted;
        }
    }

    // ---- the shard's loops ----

    async fn ticks(self: Arc<Self>) {
        let mut looked_again = 0.0;
        let mut told = (clock::now(), 0, Counts::default());
        let (mut alarmed, mut accounts, mut door_at, mut reports_at) = (0.0, (0.0, 0), 0.0, 0.0);
        loop {
            // What reports and submissions bring is placed together, a little later.
            Timer::after(GATHER).await;
            Self::woken(&self.wakes.pace.1).await;
            let now = clock::now();
            let deaf = self.with_shard(now, |s| {
                if now - looked_again > LOOK_AGAIN_S {
                    looked_again = now;
                    s.look_again();
                }
                if now - alarmed > ALARMS_EVERY_S {
                    alarmed = now;
                    self.tell_alarms(&s.service_alarms(now), "service");
                }
                if accounts.1 != s.token {
                    accounts = (now, s.token);
                } else if now - accounts.0 >= ACCOUNTS_EVERY_S {
                    accounts = (now, s.token);
                    match serde_json::to_string(&s.service_told(now)) {
                        Ok(text) => log::info!("{LOG_MARK}{text}"),
                        Err(e) => log::error!("the accounts cannot be told: {e}"),
                    }
                }
                if told.1 != s.token {
                    told = (now, s.token, s.counts);
                } else if now - told.0 >= SUMMARY_EVERY_S {
                    log::info!("{:.0} s: {}", now - told.0, s.summary(&told.2));
                    told = (now, s.token, s.counts);
                }
                s.writable = self.state.answers(now);
                s.tick(now);
                s.deaf(now)
            });
            if now - door_at > ALARMS_EVERY_S {
                door_at = now;
                let alarms = lock(&self.door).alarms(now);
                self.tell_alarms(&alarms, "this controller's door");
            }
            if now - reports_at >= SUMMARY_EVERY_S {
                let taken = |n: &AtomicU64| n.swap(0, Ordering::Relaxed);
                let (sent_on, turned_away) = (taken(&self.sent_on), taken(&self.turned_away));
                if sent_on + turned_away > 0 {
                    log::info!("{:.0} s: {sent_on} reports sent on, {turned_away} turned away", now - reports_at);
                }
                reports_at = now;
            }
            match deaf {
                Some(true) if !self.settings.peers.is_empty() => {
                    // The workers cannot reach us, though the state service can: others may do better.
                    log::warn!("no worker is heard: stepping down");
                    let mut lease = None;
                    self.lose(|o| lease = o.step_down(now));
                    if let Some(l) = lease {
                        let _ = self.state.revoke(l).await;
                    }
                }
                Some(_) => self.carry_out(),
                None => {}
            }
        }
    }

    async fn woken(rx: &Receiver<()>) {
        let _ = async {
            let _ = rx.recv().await;
        }
        .or(async {
            Timer::after(TICK).await;
        })
        .await;
    }

    async fn writer(self: Arc<Self>) {
        let (done_tx, done_rx) = async_channel::bounded::<()>(MOST_COMMITS);
        let mut running = 0;
        loop {
            Self::woken(&self.wakes.writer.1).await;
            while done_rx.try_recv().is_ok() {
                running -= 1;
            }
            while running < MOST_COMMITS {
                let now = clock::now();
                let available = self.state.writes_available();
                let ops = self.state.txn_ops.min(available);
                let spare = available.saturating_sub(4);
                let writes = (ops > 0)
                    .then(|| self.with_shard(now, |s| (s.token, s.next_writes(ops, TXN_BYTES, spare, now))))
                    .flatten();
                let Some((token, writes)) = writes.filter(|w| !w.1.is_empty()) else { break };
                running += 1;
                let me = self.clone();
                let done = done_tx.clone();
                EX.spawn(async move {
                    me.write(token, writes).await;
                    let _ = done.send(()).await;
                    let _ = me.wakes.writer.0.try_send(());
                })
                .detach();
            }
        }
    }

    async fn write(&self, token: u64, writes: Vec<crate::shard::Write>) {
        let mut conditions = vec![Condition { key: CLAIM_KEY.into(), version: token }];
        conditions.extend(writes.iter().map(|w| Condition { key: w.key.clone(), version: w.version }));
        let changes = writes.iter().map(|w| w.change.clone()).collect();
        let outcome = self.state.commit(conditions, changes, Turn::InTurn).await;
        let mine = |f: &mut dyn FnMut(&mut Shard)| {
            if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                f(s);
            }
        };
        match outcome {
            Ok(Commit::Applied(revision)) => {
                let mut writes = Some(writes);
                let now = clock::now();
                let mut ended = Vec::new();
                mine(&mut |s| {
                    let writes = writes.take().unwrap_or_default();
                    ended = s.ends_of(&writes);
                    s.on_applied(writes, revision, now);
                });
                // Told from here on without the state service, when the shard has given them back.
                for (id, state, done) in ended {
                    self.note_final(&id, Told { state, done, running: 0 });
                }
                let _ = self.wakes.direct.0.try_send(());
                // What waited for a job that is stored as done may start.
                self.wake();
            }
            Ok(Commit::Failed(_)) | Err(StateError::Unknown) => {
                // Some version is not what was thought, or nobody knows: ask for each key.
                for w in &writes {
                    let item = loop {
                        match self.state.get(&w.key, Turn::InTurn).await {
                            Ok(i) => break i,
                            Err(_) => Timer::after(Duration::from_millis(200)).await,
                        };
                        if lock(&self.shard).as_ref().is_none_or(|s| s.token != token) {
                            return;
                        }
                    };
                    mine(&mut |s| s.on_version(&w.key, item.as_ref().map_or(0, |i| i.version)));
                }
                self.look_at_claim().await;
                let mut writes = Some(writes);
                mine(&mut |s| s.on_not_applied(writes.take().unwrap_or_default()));
            }
            Err(_) => {
                Timer::after(Duration::from_millis(100)).await;
                let mut writes = Some(writes);
                mine(&mut |s| s.on_not_applied(writes.take().unwrap_or_default()));
            }
        }
    }

    async fn direct(self: Arc<Self>) {
        // Machines that are silent keep a call for a second and more each, hundreds at once.
        let most = (self.settings.sockets / 8).clamp(8, 512);
        let (done_tx, done_rx) = async_channel::bounded::<()>(most);
        let mut running = 0;
        loop {
            Self::woken(&self.wakes.direct.1).await;
            while done_rx.try_recv().is_ok() {
                running -= 1;
            }
            while running < most {
                let now = clock::now();
                let Some(Some(send)) = self.with_shard(now, |s| s.next_direct(now)) else { break };
                running += 1;
                let me = self.clone();
                let done = done_tx.clone();
                EX.spawn(async move {
                    let outcome = me.workers.commands(send.addr, &send.body).await;
                    let now = clock::now();
                    // Only the shard that sent it may learn of it.
                    if let Some(s) = lock(&me.shard).as_mut().filter(|s| s.token == send.body.token) {
                        s.on_direct(&send, outcome, now);
                    }
                    let _ = done.send(()).await;
                    me.wake();
                    let _ = me.wakes.direct.0.try_send(());
                })
                .detach();
            }
        }
    }

    async fn rentals(self: Arc<Self>) {
        loop {
            let now = clock::now();
            let launch = self
                .with_shard(now, |s| (s.token, s.launches.pending.first().cloned()))
                .and_then(|(t, l)| Some((t, l?)));
            let Some((token, l)) = launch else {
                Timer::after(TICK).await;
                continue;
            };
            let request = self.with_shard(now, |s| RentRequest {
                request: l.name.clone(),
                type_name: s.types.names.name(l.ty).to_string(),
                zone: s.types.zones.name(l.zone).to_string(),
                spot: l.spot,
                count: l.count,
            });
            let Some(request) = request else { continue };
            let outcome = self.cloud.rent(&request).await;
            let now = clock::now();
            let mut pause = 0;
            if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                match outcome {
                    Ok(names) => s.on_rented(&l, &names, now),
                    Err(CloudError::NoCapacity) => s.refused(&l, now),
                    // No word yet: the same name is asked again, which rents nothing twice.
                    Err(e) => {
                        log::debug!("renting {}: {e}", l.name);
                        pause = 700;
                    }
                }
            }
            Timer::after(Duration::from_millis(pause)).await;
        }
    }

    async fn deletions(self: Arc<Self>) {
        loop {
            let now = clock::now();
            let call = self.with_shard(now, |s| s.next_delete().map(|c| (s.token, c))).flatten();
            let Some((token, CloudCall::Delete(machines, names))) = call else {
                Timer::after(TICK).await;
                continue;
            };
            let outcome = self.cloud.delete(names).await;
            let failed = outcome.is_err();
            if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                if failed { s.on_delete_failed(&machines) } else { s.on_deleted(&machines) }
            }
            self.wake();
            Timer::after(Duration::from_millis(if failed { 700 } else { 0 })).await;
        }
    }

    async fn lists(self: Arc<Self>) {
        loop {
            Timer::after(Duration::from_secs_f64(LIST_EVERY_S)).await;
            let now = clock::now();
            let Some(token) = self.with_shard(now, |s| s.token) else { continue };
            if let Ok(list) = self.cloud.list().await {
                let now = clock::now();
                if let Some(s) = lock(&self.shard).as_mut().filter(|s| s.token == token) {
                    s.on_list(&list, now);
                }
            }
        }
    }

    /// All controllers begin at the same moment, and the cloud refuses what is over its
    /// limit: those that are refused ask again at times of their own. The last of five
    /// once asked together with the others for ever, and was refused every time.
    async fn learn_types(self: Arc<Self>) {
        let turn_s = (self.settings.peers.len() + 1) as f64 / self.settings.cloud_rps;
        loop {
            let first = self.types().is_empty();
            let pause_s = match self.cloud.types(first).await {
                Ok(t) if !t.is_empty() => {
                    self.types_asked.store(true, Ordering::Relaxed);
                    let now = clock::now();
                    let mine = self.with_shard(now, |s| s.on_types(t.clone(), now)).is_some();
                    *lock(&self.types) = Arc::new(t);
                    // Prices matter to the owner; the others judge submissions by sizes.
                    if mine { TYPES_EVERY_S } else { TYPES_EVERY_S * 3.0 }
                }
                _ if first => turn_s.min(2.0),
                _ => turn_s,
            };
            Timer::after(Duration::from_secs_f64(pause_s * (0.5 + fastrand::f64()))).await;
        }
    }
}

struct OwnerSide(Arc<Node>);

#[tonic::async_trait]
impl Owner for OwnerSide {
    async fn quotas(
        &self,
        request: tonic::Request<QuotaQuestion>,
    ) -> Result<tonic::Response<QuotaAnswer>, tonic::Status> {
        let q = request.into_inner();
        if !q.job.is_empty() && !crate::api::valid_id(&q.job) {
            return Err(tonic::Status::invalid_argument("job id is malformed"));
        }
        let now = clock::now();
        let told = match self.0.standing(now) {
            Standing::Owner => self.0.with_shard(now, |s| s.quotas_told(&q.job)),
            Standing::Other(node) if !q.passed_on => {
                let passed_on = QuotaQuestion { passed_on: true, ..q };
                return match self.0.peers.ask_quotas(&node, passed_on).await {
                    Some(a) => Ok(tonic::Response::new(a)),
                    None => Err(tonic::Status::unavailable("the owner does not answer")),
                };
            }
            _ => None,
        };
        let Some(told) = told else { return Err(tonic::Status::unavailable("nobody owns the shard now")) };
        let json = told.map(|t| serde_json::to_string(&t)).transpose();
        let json = json.map_err(|e| tonic::Status::internal(e.to_string()))?;
        Ok(tonic::Response::new(QuotaAnswer { enabled: json.is_some(), json: json.unwrap_or_default() }))
    }

    async fn service(
        &self,
        request: tonic::Request<ServiceQuestion>,
    ) -> Result<tonic::Response<ServiceAnswer>, tonic::Status> {
        let now = clock::now();
        let told = match self.0.standing(now) {
            Standing::Owner => self.0.with_shard(now, |s| s.service_told(now)),
            Standing::Other(node) if !request.into_inner().passed_on => {
                let answer = self.0.peers.ask_service(&node).await;
                answer.and_then(|a| serde_json::from_str::<ServiceTold>(&a.json).ok())
            }
            _ => None,
        };
        let Some(mut told) = told else { return Err(tonic::Status::unavailable("nobody owns the shard now")) };
        // What users were answered is known to whoever answered them.
        told.rows.retain(|r| !matches!(r.reading, Reading::Accepted | Reading::Cancelled));
        told.rows.extend(lock(&self.0.door).told(now).rows);
        let json = serde_json::to_string(&told).map_err(|e| tonic::Status::internal(e.to_string()))?;
        Ok(tonic::Response::new(ServiceAnswer { json }))
    }

    async fn elastic(
        &self,
        request: tonic::Request<ServiceQuestion>,
    ) -> Result<tonic::Response<ServiceAnswer>, tonic::Status> {
        let now = clock::now();
        let json = match self.0.standing(now) {
            Standing::Owner => self
                .0
                .with_shard(now, |s| s.elastic_told())
                .map(|t| t.map(|t| serde_json::to_string(&t)).transpose().map(Option::unwrap_or_default)),
            Standing::Other(node) if !request.into_inner().passed_on => {
                self.0.peers.ask_elastic(&node).await.map(|a| Ok(a.json))
            }
            _ => None,
        };
        match json {
            Some(Ok(json)) => Ok(tonic::Response::new(ServiceAnswer { json })),
            Some(Err(e)) => Err(tonic::Status::internal(e.to_string())),
            None => Err(tonic::Status::unavailable("nobody owns the shard now")),
        }
    }

    async fn ask(&self, request: tonic::Request<JobQuestion>) -> Result<tonic::Response<JobAnswer>, tonic::Status> {
        let q = request.into_inner();
        if !crate::api::valid_id(&q.job) {
            return Err(tonic::Status::invalid_argument("job id is malformed"));
        }
        let verb = q.verb();
        let word = match self.0.standing(clock::now()) {
            Standing::Owner => self.0.about_here(verb, &q.job).await,
            _ => Word::Unable,
        };
        let mut a = JobAnswer::default();
        match word {
            Word::Known(t) => {
                a.set_outcome(Outcome::Known);
                a.state = t.state.as_str().to_owned();
                a.done = t.done;
                a.running = t.running;
            }
            Word::Absent => a.set_outcome(Outcome::Unknown),
            Word::Unable => a.set_outcome(Outcome::Unable),
        }
        Ok(tonic::Response::new(a))
    }
}

static NODE: std::sync::OnceLock<Arc<Node>> = std::sync::OnceLock::new();

/// Listens, as soon as an earlier self has let go of the address: a process that is started again
/// at once and refuses to start would only be started again.
fn listen_on(addr: std::net::SocketAddr) -> std::io::Result<Async<TcpListener>> {
    let mut told = false;
    loop {
        match Async::<TcpListener>::bind(addr) {
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse && clock::now() < BIND_WITHIN_S => {
                if !std::mem::replace(&mut told, true) {
                    log::warn!("{addr} is taken: waiting for it");
                }
                std::thread::sleep(BIND_AGAIN);
            }
            Err(e) => return Err(std::io::Error::new(e.kind(), format!("{addr}: {e}"))),
            Ok(l) => return Ok(l),
        }
    }
}

/// Runs the node until the process ends.
pub fn run(settings: Settings, tuning: Tuning, features: Features) -> std::io::Result<()> {
    clock::now();
    let listener = listen_on(settings.listen)?;
    let peer_listener = listen_on(settings.peer_listen)?;
    let bounds = settings.door();
    log::info!("{} in {} listens on {}", settings.node, settings.zone, settings.listen);
    let node = NODE.get_or_init(|| Arc::new(Node::new(settings, tuning, features))).clone();
    let n = || node.clone();
    EX.spawn(n().learn_types()).detach();
    EX.spawn(n().keep_types()).detach();
    EX.spawn(n().watch_claim()).detach();
    EX.spawn(n().keep_lease()).detach();
    EX.spawn(n().ticks()).detach();
    EX.spawn(n().writer()).detach();
    EX.spawn(n().direct()).detach();
    EX.spawn(n().rentals()).detach();
    EX.spawn(n().deletions()).detach();
    EX.spawn(n().lists()).detach();
    EX.spawn(n().look_up_needs()).detach();
    EX.spawn(crate::peer::serve(&EX, peer_listener, Arc::new(OwnerSide(n())))).detach();
    let handler = Arc::new(move |req| {
        let me = node.clone();
        async move { me.handle(req).await }
    });
    async_io::block_on(EX.run(crate::http::serve(&EX, listener, bounds, handler)));
    Ok(())
}
