//! Controllers that are paused, and workers whose connections fail in one or both directions.

use crate::cluster::Cluster;
use crate::http::lock;
use crate::requests::{SERVICES, User, job};
use crate::settings::Size;
use http_types::Method;
use lupinspur::http::Client;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The leader is paused for much less than a lease, for longer than one, and again right after that; then all
/// controllers are paused at once; finally a worker's replies and commands are lost while its heartbeats arrive. No
/// task may run twice, a resumed controller must not take leadership from a live leader, users are served throughout,
/// and the tasks of the worker have to run elsewhere.
#[test]
fn controllers_stand_still_and_a_worker_hears_nothing() {
    let size = Size::of(3, 12, 9);
    let cluster = Cluster::start("still", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let services: Vec<String> = (0..6).map(|i| format!("{SERVICES}{i:02}")).collect();
    for id in &services {
        user.ask_until(&listen, Method::Post, "/work", Some(&job(id, "standing", 3)), |s, _| s == 201 || s == 200);
    }
    let wait_until_complete = |within_s: u64| {
        let began = Instant::now();
        while let Some(id) = services.iter().find(|id| cluster.running(id) != 3) {
            assert!(
                began.elapsed() < Duration::from_secs(within_s),
                "not all tasks of {id} run: {}",
                cluster.running(id)
            );
            std::thread::sleep(Duration::from_millis(20));
        }
        cluster.check_invariants();
    };
    let pause = |node: usize, time_ms: u64| {
        cluster.signal(node, "-STOP");
        std::thread::sleep(Duration::from_millis(time_ms));
        cluster.signal(node, "-CONT");
    };
    wait_until_complete(30);

    // Paused for much less than a lease, the leader stays the leader.
    let (leader, elections_won) = (cluster.wait_for_leader(), cluster.elections_won());
    pause(leader, 700);
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!((cluster.leader(), cluster.elections_won()), (Some(leader), elections_won.clone()));

    // Paused for longer than a lease, and again right after it resumes: another controller leads, and this one does not
    // campaign against it.
    cluster.signal(leader, "-STOP");
    let began = Instant::now();
    let others: Vec<SocketAddr> = (0..3).filter(|node| *node != leader).map(|node| listen[node]).collect();
    for id in &services {
        user.ask_until(&others, Method::Get, &format!("/work/{id}"), None, |s, _| s == 200);
    }
    println!("all services were reported {:.1} s after their leader was paused", began.elapsed().as_secs_f64());
    std::thread::sleep(Duration::from_secs(6).saturating_sub(began.elapsed()));
    assert_ne!(cluster.wait_for_leader(), leader);
    cluster.signal(leader, "-CONT");
    std::thread::sleep(Duration::from_millis(100));
    pause(leader, 2000);
    std::thread::sleep(Duration::from_millis(1000));
    assert_eq!(
        cluster.elections_won()[leader],
        elections_won[leader],
        "the resumed controller took leadership from a live leader"
    );
    wait_until_complete(30);

    // All controllers are paused at once. Whichever takes over goes on.
    (0..3).for_each(|node| cluster.signal(node, "-STOP"));
    std::thread::sleep(Duration::from_millis(5000));
    (0..3).for_each(|node| cluster.signal(node, "-CONT"));
    let array = job("req-0103", "batch", 6);
    user.ask_until(&listen, Method::Post, "/work", Some(&array), |s, _| s == 201 || s == 200);
    user.ask_until(&listen, Method::Get, "/work/req-0103", None, |s, v| s == 200 && v["bloom"] == "done");
    wait_until_complete(40);

    // All replies and commands to the worker with the most tasks are lost.
    let (isolated, before) = {
        let mut workers = lock(&cluster.workers);
        let all = workers.iter().enumerate().filter(|(_, w)| !w.deleted);
        let (index, tasks) =
            all.map(|(i, w)| (i, w.running_tasks().count())).max_by_key(|(_, tasks)| *tasks).expect("a worker");
        (workers[index].drops_replies, workers[index].drops_commands) = (true, true);
        (index, tasks)
    };
    assert!(before > 0, "the worker has tasks");
    let all_run_elsewhere = || {
        let workers = lock(&cluster.workers);
        let tasks_elsewhere = |id: &str| {
            let of_job = |task: &&str| task.split('/').next() == Some(id);
            let others = workers.iter().enumerate().filter(|(i, _)| *i != isolated);
            others.map(|(_, w)| w.running_tasks().filter(of_job).count()).sum::<usize>()
        };
        services.iter().all(|id| tasks_elsewhere(id) == 3)
    };
    let began = Instant::now();
    while !all_run_elsewhere() {
        assert!(
            began.elapsed() < Duration::from_secs(45),
            "services stay on a worker whose replies and commands are lost"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
    println!("the worker's {before} tasks ran elsewhere after {:.1} s", began.elapsed().as_secs_f64());
    cluster.check_invariants();
}

/// Two of thirty workers are reached in only one way. One gets direct commands but no heartbeat replies: its lease ends
/// every nine seconds although it answers commands at once, so its services have to move elsewhere for good and no task
/// may be started on it again. The other gets heartbeat replies but no direct commands: it has to stay in use, execute
/// the starts in replies, and stop a cancelled job's tasks in time.
#[test]
fn workers_that_hear_only_answers_or_only_commands() {
    let size = Size::of(3, 30, 9);
    let cluster = Cluster::start("oneway", size);
    let listen = cluster.listen.clone();
    let user = User { client: Client::new(0, 0) };
    let services: Vec<String> = (0..10).map(|i| format!("{SERVICES}{i:02}")).collect();
    for id in &services {
        user.ask_until(&listen, Method::Post, "/work", Some(&job(id, "standing", 4)), |s, _| s == 201 || s == 200);
    }
    let tasks_on = |worker: usize, id: &str| {
        lock(&cluster.workers)[worker].running_tasks().filter(|task| task.split('/').next() == Some(id)).count()
    };
    let wait = |failure: &str, within_s: u64, condition: &dyn Fn() -> bool| {
        let began = Instant::now();
        while !condition() {
            assert!(began.elapsed() < Duration::from_secs(within_s), "{failure}");
            std::thread::sleep(Duration::from_millis(20));
        }
        began.elapsed().as_secs_f64()
    };
    wait("not all tasks of the services run", 30, &|| services.iter().all(|id| cluster.running(id) == 4));
    let busy: Vec<usize> = {
        let workers = lock(&cluster.workers);
        let mut all: Vec<(usize, usize)> =
            workers.iter().enumerate().map(|(i, w)| (w.running_tasks().count(), i)).collect();
        all.sort_unstable();
        all.iter().rev().take(2).map(|(_, index)| *index).collect()
    };
    let (without_replies, without_commands) = (busy[0], busy[1]);
    {
        let mut workers = lock(&cluster.workers);
        (workers[without_replies].drops_replies, workers[without_commands].drops_commands) = (true, true);
    }
    let tasks_without_replies = || services.iter().map(|id| tasks_on(without_replies, id)).sum::<usize>();
    let cleared_s = wait("services stay on the worker that gets no replies", 20, &|| tasks_without_replies() == 0);
    let recovery_s =
        wait("not all tasks of the services run again", 20, &|| services.iter().all(|id| cluster.running(id) == 4));
    println!(
        "the worker that gets no replies had no tasks after {cleared_s:.1} s, all services ran {recovery_s:.1} s later"
    );
    // For longer than another lease, no new task is started on that worker.
    let began = Instant::now();
    let mut next_number = 10;
    while began.elapsed() < Duration::from_secs(12) {
        if next_number < 26 {
            let id = format!("{SERVICES}{next_number}");
            user.ask_until(&listen, Method::Post, "/work", Some(&job(&id, "standing", 4)), |s, _| s == 201 || s == 200);
            wait("not all tasks of a new service run", 10, &|| cluster.running(&id) == 4);
            assert_eq!(tasks_on(without_replies, &id), 0, "{id} was started on the worker that gets no replies");
            next_number += 1;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!lock(&cluster.workers)[without_commands].deleted, "a worker that gets replies must not be deleted");
    let cancelled = services
        .iter()
        .find(|id| tasks_on(without_commands, id) > 0)
        .expect("a service runs on the worker that gets no commands");
    let path = format!("/work/{cancelled}/withdraw");
    user.ask_until(&listen, Method::Post, &path, None, |s, v| s == 200 && v["bloom"] == "cancelled");
    let ended_s = wait("a task of a cancelled job still runs", 10, &|| tasks_on(without_commands, cancelled) == 0);
    println!("tasks of a cancelled job on the worker that gets no commands were gone after {ended_s:.1} s");
    cluster.check_invariants();
}
