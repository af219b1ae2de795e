//! What the clients make of the answers of the state service and of the cloud: lists that come in pages, refusals,
//! and answers that cannot be read. What is not known for certain is taken for nothing.

#[path = "common/one_service.rs"]
mod one_service;

use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lupinspur::cloud::{CloudClient, CloudError};
use lupinspur::state::{CompareAndSwap, KvClient, RequestPriority, StateError};
use lupinspur::wire::{Mutation, RentRequest};
use one_service::settings;
use serde_json::{Value, json};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The first lines of all requests.
type Asked = Arc<Mutex<Vec<String>>>;

/// Gives these answers to one request after the other, each a status and a body; the last one again and again.
fn service(executor: &Executor<'static>, answers: &[(u16, &str)]) -> (SocketAddr, Asked) {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("its address");
    let asked = Asked::default();
    let (noted, answers) = (asked.clone(), answers.iter().map(|a| (a.0, a.1.to_owned())).collect::<Vec<_>>());
    let serve = async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let length = connection.read(&mut request).await.unwrap_or(0);
            let first = String::from_utf8_lossy(&request[..length]).lines().next().unwrap_or_default().to_owned();
            let place = {
                let mut noted = noted.lock().expect("a list");
                noted.push(first);
                noted.len() - 1
            };
            let (status, body) = &answers[place.min(answers.len() - 1)];
            let head = format!("HTTP/1.1 {status} X\r\nconnection: close\r\ncontent-length: {}\r\n\r\n", body.len());
            let _ = connection.write_all(format!("{head}{body}").as_bytes()).await;
        }
    };
    executor.spawn(serve).detach();
    (address, asked)
}

fn page(keys: &[&str], revision: u64, more: bool) -> String {
    let pairs: Vec<Value> = keys.iter().map(|k| json!({"path": k, "v": {}, "stamp": 1})).collect();
    json!({"pairs": pairs, "has_next": more, "almanac": revision}).to_string()
}

fn machines(names: &[&str], more: bool) -> String {
    let machine = |n: &&str| {
        json!({"id": n, "addr": "127.0.0.1:9", "strain": "m8", "field": "a", "fallow": false, "bloom": "running",
            "held_s": 1.0})
    };
    json!({"plots": names.iter().map(machine).collect::<Vec<_>>(), "has_next": more}).to_string()
}

/// Guards against jobs that were accepted and are missing after a failover: all pages are read, and what changed
/// while they were is told by a watch from the first of them on.
#[test]
fn a_list_of_the_state_service_is_read_to_its_end() {
    let executor = Executor::new();
    let pages = [page(&["job/req-1", "job/req-2"], 41, true), page(&["job/req-3"], 57, false)];
    let (address, asked) = service(&executor, &[(200, &pages[0]), (200, &pages[1])]);
    let client = KvClient::new(&settings(address));
    let (items, revision) =
        async_io::block_on(executor.run(client.list("job/", RequestPriority::Urgent))).expect("both pages are read");
    let keys: Vec<&str> = items.iter().map(|i| i.key.as_str()).collect();
    assert_eq!(keys, ["job/req-1", "job/req-2", "job/req-3"]);
    assert_eq!(revision, 41, "a watch from here misses nothing");
    let second = asked.lock().expect("a list")[1].clone();
    assert!(second.contains("from=job/req-2"), "the second page begins after the first: {second}");
}

/// Part of a list is no list: what is missing of it would be taken for gone.
#[test]
fn a_list_of_which_a_page_is_refused_is_none() {
    let executor = Executor::new();
    let (jobs, listed) = (page(&["job/req-1"], 41, true), machines(&["host-1"], true));
    let (state, _) = service(&executor, &[(200, &jobs), (503, "{}")]);
    let (cloud, _) = service(&executor, &[(200, &listed), (503, "{}")]);
    async_io::block_on(executor.run(async {
        let read = KvClient::new(&settings(state)).list("job/", RequestPriority::Urgent).await;
        assert_eq!(read.map(|_| ()), Err(StateError::NotExecuted(503)));
        let read = CloudClient::new(&settings(cloud)).list().await;
        assert_eq!(read.map(|_| ()), Err(CloudError::Refused(503)), "machines of the first page alone");
    }));
}

/// Guards against machines that are missing from a list, and are taken for gone, because they stand on its second page.
#[test]
fn a_list_of_the_cloud_is_read_to_its_end() {
    let executor = Executor::new();
    let pages = [machines(&["host-1", "host-2"], true), machines(&["host-3"], false)];
    let (address, asked) = service(&executor, &[(200, &pages[0]), (200, &pages[1])]);
    let client = CloudClient::new(&settings(address));
    let list = async_io::block_on(executor.run(client.list())).expect("both pages are read");
    let names: Vec<&str> = list.iter().map(|m| m.id.as_str()).collect();
    assert_eq!(names, ["host-1", "host-2", "host-3"]);
    let second = asked.lock().expect("a list")[1].clone();
    assert!(second.contains("from=host-2"), "the second page begins after the first: {second}");
}

/// An answer that says that a transaction was executed and cannot be read is not one that says it was not.
#[test]
fn a_transaction_whose_answer_cannot_be_read_may_have_been_executed() {
    let executor = Executor::new();
    let outcome = async |status, body| {
        let client = KvClient::new(&settings(service(&executor, &[(status, body)]).0));
        let change = Mutation::Put { key: "job/req-1".into(), value: json!({}), lease: None };
        client.commit(Vec::new(), vec![change], RequestPriority::Urgent).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(outcome(200, "{\"almanac\": 4").await, Err(StateError::Unknown));
        assert_eq!(outcome(409, "{\"failed\": [\"job/r").await, Err(StateError::Unknown));
        assert_eq!(
            outcome(409, "{\"failed\": [\"job/req-1\"], \"almanac\": 4}").await,
            Ok(CompareAndSwap::Conflict(vec!["job/req-1".into()]))
        );
        assert_eq!(outcome(400, "{\"error\": \"no such lease\"}").await, Err(StateError::NoSuchLease));
        assert_eq!(outcome(400, "{\"error\": \"malformed\"}").await, Err(StateError::NotExecuted(400)));
    }));
}

/// A key is absent where the service says so, and nowhere else: refused, it may stand there.
#[test]
fn a_key_is_absent_by_404_alone() {
    let executor = Executor::new();
    let read = async |status, body| {
        let client = KvClient::new(&settings(service(&executor, &[(status, body)]).0));
        client.get("job/req-1", RequestPriority::Urgent).await.map(|item| item.is_some())
    };
    async_io::block_on(executor.run(async {
        assert_eq!(read(404, "{\"almanac\": 3}").await, Ok(false));
        assert_eq!(read(200, "{\"path\": \"job/req-1\", \"v\": {}, \"stamp\": 3}").await, Ok(true));
        assert_eq!(read(200, "{\"path\": \"job/req-1\", \"v\"").await, Err(StateError::Unknown));
        assert_eq!(read(503, "{}").await, Err(StateError::NotExecuted(503)));
        assert_eq!(read(429, "{}").await, Err(StateError::NotExecuted(429)));
        assert_eq!(read(500, "{}").await, Err(StateError::NotExecuted(500)));
    }));
}

/// A lease that is refused a renewal is not over, and one that is not known is: whoever holds it stops to act.
#[test]
fn a_lease_is_over_by_404_alone() {
    let executor = Executor::new();
    let renewed = async |status| {
        let client = KvClient::new(&settings(service(&executor, &[(status, "{}")]).0));
        client.renew(7, Duration::from_secs(1)).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(renewed(200).await, Ok(()));
        assert_eq!(renewed(404).await, Err(StateError::NoSuchLease));
        assert_eq!(renewed(503).await, Err(StateError::NotExecuted(503)));
        assert_eq!(renewed(500).await, Err(StateError::NotExecuted(500)));
    }));
}

/// Changes that are gone are told from a watch that was refused: after the one everything is read again, after the
/// other the watch goes on where it was.
#[test]
fn changes_that_are_gone_are_told_from_a_refusal() {
    let executor = Executor::new();
    let watched = async |status, body| {
        let client = KvClient::new(&settings(service(&executor, &[(status, body)]).0));
        client.watch("job/", 4, Duration::ZERO).await.map(|e| e.revision)
    };
    async_io::block_on(executor.run(async {
        assert_eq!(watched(200, "{\"almanac\": 9, \"news\": []}").await, Ok(9));
        assert_eq!(watched(410, "{}").await, Err(StateError::TooOld));
        assert_eq!(watched(503, "{}").await, Err(StateError::NotExecuted(503)));
        assert_eq!(watched(200, "{\"almanac\": 9, \"ne").await, Err(StateError::Unknown));
    }));
}

/// A rental is refused for want of capacity alone; after any other answer it is asked for again by the same name.
#[test]
fn there_is_no_capacity_by_the_cloud_s_word_alone() {
    let executor = Executor::new();
    let request =
        RentRequest { request: "r-1".into(), type_name: "m8".into(), zone: "a".into(), spot: false, count: 1 };
    let rented = async |status, body| {
        CloudClient::new(&settings(service(&executor, &[(status, body)]).0)).rent(&request, || true).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(rented(200, "{\"plots\": [\"host-1\"]}").await, Ok(vec!["host-1".into()]));
        assert_eq!(rented(200, "{\"plots\": [\"host").await, Err(CloudError::NoResponse));
        assert_eq!(rented(503, "{\"error\": \"no capacity\"}").await, Err(CloudError::NoCapacity));
        assert_eq!(rented(503, "{\"error\": \"trouble\"}").await, Err(CloudError::Refused(503)));
        assert_eq!(rented(429, "{}").await, Err(CloudError::Refused(429)));
    }));
}
