//! Tests that a team under its limit is served: the parts of the limit come together where waiting tasks need them.

use lupinspur_sharding::ShardId;
use lupinspur_sharding::escrow::{Amount, Ledger, QuotaUse};
use lupinspur_sharding::load_snapshot::LoadSnapshot;
use lupinspur_sharding::quota_requests::{PublishedLoad, QuotaRequest, QuotaRound, QuotaStatus, TeamRequests};
use proptest::prelude::*;
use std::collections::BTreeMap;

const TEAM: &str = "blue";
const HOME: ShardId = ShardId(1);
/// Rounds after which shares no longer change once loads don't: in each, every shard plans once, and a round without a
/// start ends all transfers but those that bring parts to one request.
const ROUNDS_PER_JOB: usize = 4;
/// The tolerance with which a shard starts a task within its share.
const TOLERANCE: f64 = 1e-6;

/// A job of one task.
#[derive(Debug, Clone)]
struct Job {
    shard: usize,
    amount: Amount,
    running: bool,
}

/// What a shard's leader knows of the ledger, and its pending write: the version that it requires, and the new ledger.
#[derive(Debug, Clone, Default)]
struct Leader {
    assumed_share: Amount,
    sent: Option<(u64, Ledger)>,
}

/// Several shards, the state service and the jobs of one team with a limit.
struct Deployment {
    ledger: Ledger,
    version: u64,
    limit: Amount,
    leaders: Vec<Leader>,
    free_cpus: Vec<f64>,
    jobs: Vec<Job>,
    published: Vec<Option<PublishedLoad>>,
    /// Whether shards publish requests; shards of an older version do not.
    with_requests: bool,
}

fn sum(amounts: impl Iterator<Item = Amount>) -> Amount {
    amounts.fold(Amount::default(), Amount::plus)
}

fn fits(amount: Amount, room: Amount) -> bool {
    amount.cpus <= room.cpus + TOLERANCE && amount.accelerators <= room.accelerators + TOLERANCE
}

impl Deployment {
    fn new(shares: &[Amount], free_cpus: &[f64], jobs: Vec<Job>) -> Deployment {
        let ledger = Ledger { teams: BTreeMap::from([(TEAM.to_owned(), shares.to_vec())]) };
        let mut deployment = Deployment {
            limit: sum(shares.iter().copied()),
            ledger,
            version: 1,
            leaders: shares.iter().map(|share| Leader { assumed_share: *share, sent: None }).collect(),
            free_cpus: free_cpus.to_vec(),
            published: vec![None; shares.len()],
            jobs,
            with_requests: true,
        };
        (0..shares.len()).for_each(|shard| deployment.start_tasks(shard));
        deployment
    }

    fn share(&self, shard: usize) -> Amount {
        self.ledger.share(TEAM, ShardId(shard as u32)).unwrap_or_default()
    }

    fn held(&self, shard: usize) -> Amount {
        sum(self.jobs.iter().filter(|job| job.running && job.shard == shard).map(|job| job.amount))
    }

    fn unused(&self) -> Amount {
        sum((0..self.leaders.len()).map(|shard| self.share(shard).minus(self.held(shard))))
    }

    /// Starts what the assumed share and the free capacity of a shard allow.
    fn start_tasks(&mut self, shard: usize) {
        for index in 0..self.jobs.len() {
            let job = &self.jobs[index];
            let starts = job.shard == shard
                && !job.running
                && job.amount.cpus <= self.free_cpus[shard]
                && fits(self.held(shard).plus(job.amount), self.leaders[shard].assumed_share);
            if starts {
                self.free_cpus[shard] -= self.jobs[index].amount.cpus;
                self.jobs[index].running = true;
            }
        }
    }

    fn end_task(&mut self, index: usize) {
        if self.jobs[index].running {
            let job = self.jobs.remove(index);
            self.free_cpus[job.shard] += job.amount.cpus;
        }
    }

    fn publish(&mut self, shard: usize) {
        let own = self.jobs.iter().filter(|job| job.shard == shard);
        let quota_use = QuotaUse { held: self.held(shard), wanted: sum(own.map(|job| job.amount)) };
        let load = LoadSnapshot {
            shard: ShardId(shard as u32),
            free_cpus: self.free_cpus[shard],
            teams: BTreeMap::from([(TEAM.to_owned(), quota_use)]),
            ..LoadSnapshot::default()
        };
        let mut published = PublishedLoad { load, quota: self.with_requests.then(BTreeMap::new) };
        self.published[shard] = Some(published.clone());
        if self.with_requests {
            let blocked = self
                .jobs
                .iter()
                .enumerate()
                .filter(|(_, job)| job.shard == shard && !job.running && job.amount.cpus <= self.free_cpus[shard]);
            let requests: Vec<QuotaRequest> = blocked
                .map(|(index, job)| QuotaRequest { amount: job.amount, waiting_since_ms: index as u64 })
                .collect();
            let requested = TeamRequests { requests, reserved: false };
            let status = self.round(shard, |round| round.status(TEAM, &requested));
            published.quota = Some(BTreeMap::from([(TEAM.to_owned(), status)]));
            self.published[shard] = Some(published);
        }
    }

    fn round<T>(&self, shard: usize, plan: impl FnOnce(&QuotaRound) -> T) -> T {
        let loads: Vec<PublishedLoad> = self.published.iter().flatten().cloned().collect();
        let shards = self.leaders.len() as u32;
        plan(&QuotaRound { own_shard: ShardId(shard as u32), shards, ledger: &self.ledger, loads: &loads })
    }

    /// Plans the transfers of a shard and sends them. It stops using the quota before. Returns whether there were any.
    fn give(&mut self, shard: usize) -> bool {
        if self.leaders[shard].sent.is_some() {
            return false;
        }
        let transfers = self.round(shard, |round| round.transfers(|_| HOME));
        let Some(next) = self.ledger.apply(&transfers).filter(|_| !transfers.is_empty()) else { return false };
        let remaining = next.share(TEAM, ShardId(shard as u32)).unwrap_or_default();
        if !fits(self.held(shard), remaining) {
            return false;
        }
        self.leaders[shard] = Leader { assumed_share: remaining, sent: Some((self.version, next)) };
        true
    }

    /// A sent write reaches the state service, or is lost; then the shard reads the stored shares.
    fn settle(&mut self, shard: usize, lost: bool) {
        if let Some((version, next)) = self.leaders[shard].sent.take()
            && version == self.version
            && !lost
        {
            (self.ledger, self.version) = (next, version + 1);
        }
        self.observe(shard);
    }

    fn observe(&mut self, shard: usize) {
        if self.leaders[shard].sent.is_none() {
            self.leaders[shard].assumed_share = self.share(shard);
        }
    }

    /// Lets every shard publish, plan, write and start once. Returns whether a shard transferred quota.
    fn play_round(&mut self) -> bool {
        let mut transferred = false;
        for shard in 0..self.leaders.len() {
            self.observe(shard);
            self.start_tasks(shard);
            self.publish(shard);
            transferred |= self.give(shard);
            self.settle(shard, false);
        }
        transferred
    }

    /// Returns a waiting job that fits what the team has unused and the free capacity of its shard.
    fn servable(&self) -> Option<&Job> {
        let unused = self.unused();
        let fits_exactly =
            |job: &&Job| job.amount.cpus <= unused.cpus && job.amount.accelerators <= unused.accelerators;
        self.jobs.iter().filter(|job| !job.running && job.amount.cpus <= self.free_cpus[job.shard]).find(fits_exactly)
    }

    fn check_safety(&self) {
        assert!(self.ledger.within(&[(TEAM.to_owned(), self.limit)]), "the shares exceed the limit");
        assert!(fits(sum((0..self.leaders.len()).map(|shard| self.held(shard))), self.limit), "the limit is exceeded");
        for shard in 0..self.leaders.len() {
            assert!(fits(self.held(shard), self.share(shard)), "shard {shard} uses more than its share");
        }
    }
}

fn cpus(cpus: f64) -> Amount {
    Amount::new(cpus, 0.0)
}

fn waiting(shard: usize, count: usize, amount: Amount) -> Vec<Job> {
    vec![Job { shard, amount, running: false }; count]
}

/// The state in which a limit of 6 came to rest with five of twelve one-cpu jobs running: 0.7 cpus in one shard, and
/// the home shard's reserve of 0.3, are each too small for a task.
fn split_into_fractions() -> Deployment {
    let jobs = [waiting(0, 7, cpus(1.0)), waiting(2, 5, cpus(1.0))].concat();
    Deployment::new(&[cpus(3.7), cpus(0.3), cpus(2.0)], &[20.0, 0.0, 20.0], jobs)
}

/// Guards against a team that is not served under its limit because its shares are fractions of a task.
#[test]
fn fractions_of_a_limit_are_brought_together() {
    let mut deployment = split_into_fractions();
    assert_eq!(deployment.jobs.iter().filter(|job| job.running).count(), 5);
    (0..3).for_each(|_| _ = deployment.play_round());
    assert_eq!(deployment.jobs.iter().filter(|job| job.running).count(), 6);
}

/// Shows that the wait is one of the state, not of time: without requests nothing ever changes.
#[test]
fn without_requests_fractions_stay_where_they_are() {
    let mut deployment = Deployment { with_requests: false, ..split_into_fractions() };
    assert!((0..100).all(|_| !deployment.play_round()));
    assert_eq!(deployment.jobs.iter().filter(|job| job.running).count(), 5);
}

/// Guards against quota that stays with work in a full shard while other shards have room for the team.
#[test]
fn quota_of_a_full_shard_goes_where_there_is_room() {
    let jobs = [waiting(1, 6, cpus(1.0)), waiting(0, 6, cpus(1.0))].concat();
    let mut deployment = Deployment::new(&[cpus(0.0), cpus(6.0), cpus(0.0)], &[20.0, 0.0, 20.0], jobs);
    (0..12).for_each(|_| _ = deployment.play_round());
    assert_eq!(deployment.jobs.iter().filter(|job| job.running && job.shard == 0).count(), 6);
}

/// Guards against a reservation for a large job that is given away to smaller jobs in other shards.
#[test]
fn reserved_quota_stays() {
    let mut deployment = split_into_fractions();
    deployment.publish(0);
    deployment.publish(1);
    deployment.publish(2);
    let reserved = QuotaStatus { request: None, reserved: true };
    let own = deployment.published[0].as_mut().expect("published");
    own.quota = Some(BTreeMap::from([(TEAM.to_owned(), reserved)]));
    assert!(deployment.round(0, |round| round.transfers(|_| HOME)).is_empty());
    let request = QuotaRequest { amount: cpus(1.0), waiting_since_ms: 0 };
    let requested = TeamRequests { requests: vec![request], reserved: false };
    let status = deployment.round(2, |round| round.status(TEAM, &requested));
    assert_eq!(status.request, None, "what is reserved elsewhere cannot satisfy a request");
}

#[derive(Debug, Clone)]
enum Step {
    Start(usize),
    End(usize),
    Publish(usize),
    Give(usize),
    Settle(usize, bool),
    Observe(usize),
    /// The leader fails; the next one reads the stored shares, and running tasks continue.
    FailOver(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let shard = 0..SHARDS;
    prop_oneof![
        3 => shard.clone().prop_map(Step::Start),
        1 => (0..40usize).prop_map(Step::End),
        4 => shard.clone().prop_map(Step::Publish),
        4 => shard.clone().prop_map(Step::Give),
        4 => (shard.clone(), prop::bool::weighted(0.2)).prop_map(|(shard, lost)| Step::Settle(shard, lost)),
        3 => shard.clone().prop_map(Step::Observe),
        1 => shard.prop_map(Step::FailOver),
    ]
}

const SHARDS: usize = 4;

fn amount() -> impl Strategy<Value = Amount> {
    let sizes = [(1.0, 0.0), (3.0, 0.0), (7.0, 0.0), (0.5, 0.0), (2.0, 1.0), (1.0, 3.0), (4.0, 8.0)];
    prop::sample::select(sizes.to_vec()).prop_map(|(cpus, accelerators)| Amount::new(cpus, accelerators))
}

fn job() -> impl Strategy<Value = Job> {
    (0..SHARDS, amount()).prop_map(|(shard, amount)| Job { shard, amount, running: false })
}

fn deployments() -> impl Strategy<Value = (Vec<Amount>, Vec<f64>, Vec<Job>, Vec<Step>)> {
    let share = (0.0..9.0f64, 0.0..4.0f64).prop_map(|(cpus, accelerators)| Amount::new(cpus, accelerators));
    let free_cpus = prop::sample::select(vec![0.0, 1.0, 8.0, 40.0]);
    (
        prop::collection::vec(share, SHARDS),
        prop::collection::vec(free_cpus, SHARDS),
        prop::collection::vec(job(), 1..24),
        prop::collection::vec(step(), 0..120),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, rng_seed: proptest::test_runner::RngSeed::Fixed(9), ..ProptestConfig::default() })]

    /// After any history with lost writes and failovers, once loads change only by starts, no waiting job is left
    /// after a bounded number of rounds that fits what its team has unused and its shard's room; then shares rest.
    #[test]
    fn a_team_under_its_limit_is_served((shares, free_cpus, jobs, steps) in deployments()) {
        let mut deployment = Deployment::new(&shares, &free_cpus, jobs);
        for step in steps {
            match step {
                Step::Start(shard) => deployment.start_tasks(shard),
                Step::End(index) if index < deployment.jobs.len() => deployment.end_task(index),
                Step::End(_) => {}
                Step::Publish(shard) => deployment.publish(shard),
                Step::Give(shard) => _ = deployment.give(shard),
                Step::Settle(shard, lost) => deployment.settle(shard, lost),
                Step::Observe(shard) => deployment.observe(shard),
                Step::FailOver(shard) => {
                    deployment.leaders[shard].sent = None;
                    deployment.observe(shard);
                }
            }
            deployment.check_safety();
        }
        (0..SHARDS).for_each(|shard| deployment.settle(shard, false));
        let rounds = ROUNDS_PER_JOB * (deployment.jobs.len() + 1);
        for _ in 0..rounds {
            deployment.play_round();
            deployment.check_safety();
        }
        prop_assert!(deployment.servable().is_none(), "{:?} waits, {:?} is unused", deployment.servable(), deployment.unused());
        let ledger = deployment.ledger.clone();
        prop_assert!(!deployment.play_round() && !deployment.play_round(), "shares go on changing");
        prop_assert_eq!(ledger, deployment.ledger);
    }
}
