//! What the clients make of a call whose answer never comes. A transaction may have been executed, a command or a
//! rental may yet be: none may be taken for one that was not sent, nor a deletion for one that was confirmed.

#[path = "common/one_service.rs"]
mod one_service;

use async_executor::Executor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use lupinspur::cloud::{CloudClient, CloudError};
use lupinspur::shard::PushOutcome;
use lupinspur::state::{CompareAndSwap, KvClient, RequestPriority, StateError};
use lupinspur::wire::{Compare, Mutation, PushedCommands, RentRequest};
use lupinspur::worker::WorkerClient;
use one_service::settings;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};

/// What a stand-in does with a request that it has read.
#[derive(Clone, Copy)]
enum Then {
    /// Closes the connection: the answer is lost.
    Closes,
    /// Refuses it, as a service does that executes nothing now.
    Refuses,
    /// Says that it was executed.
    Executes,
}

const REFUSED: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\n{}";
const EXECUTED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"almanac\": 7}";

fn stand_in(executor: &Executor<'static>, then: Then) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("its address");
    let answers = async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = [0; 4096];
            let _ = connection.read(&mut request).await;
            let _ = match then {
                Then::Closes => Ok(()),
                Then::Refuses => connection.write_all(REFUSED).await,
                Then::Executes => connection.write_all(EXECUTED).await,
            };
        }
    };
    executor.spawn(answers).detach();
    address
}

/// An address at which nobody listens.
fn nobody() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    listener.local_addr().expect("its address")
}

/// Guards against an end, a start or a claim that is taken for not stored, and decided once more otherwise,
/// while it is stored or comes later.
#[test]
fn a_transaction_without_an_answer_may_have_been_executed() {
    let executor = Executor::new();
    let outcome = async |address| {
        let client = KvClient::new(&settings(address));
        let condition = Compare { key: "own/0".into(), version: 3 };
        let change = Mutation::Put { key: "job/req-1".into(), value: json!({}), lease: None };
        client.commit(vec![condition], vec![change], RequestPriority::Urgent).await
    };
    async_io::block_on(executor.run(async {
        assert_eq!(outcome(stand_in(&executor, Then::Closes)).await, Err(StateError::Unknown));
        assert_eq!(outcome(stand_in(&executor, Then::Refuses)).await, Err(StateError::NotExecuted(503)));
        assert_eq!(outcome(stand_in(&executor, Then::Executes)).await, Ok(CompareAndSwap::Applied(7)));
        assert_eq!(outcome(nobody()).await, Err(StateError::NotExecuted(0)));
    }));
}

/// Guards against a start that is taken for not sent, and made on another machine, while the first may yet
/// be carried out.
#[test]
fn a_command_without_an_answer_may_yet_be_executed() {
    let executor = Executor::new();
    let commands = PushedCommands { token: 41, incarnation: 1, commands: Vec::new() };
    let client = WorkerClient::new(&settings(nobody()));
    async_io::block_on(executor.run(async {
        let closed = client.commands(stand_in(&executor, Then::Closes), &commands, || true).await;
        assert!(matches!(closed, PushOutcome::Unknown), "{closed:?}");
        let refused = client.commands(stand_in(&executor, Then::Refuses), &commands, || true).await;
        assert!(matches!(refused, PushOutcome::Responded { executed: false, .. }), "{refused:?}");
        let not_sent = client.commands(nobody(), &commands, || true).await;
        assert!(matches!(not_sent, PushOutcome::NotSent), "{not_sent:?}");
    }));
}

/// permission-when-sent: guards against commands of a leader whose right has lapsed while it opened the connection.
#[test]
fn a_command_that_may_not_be_sent_any_more_is_withheld() {
    let executor = Executor::new();
    let commands = PushedCommands { token: 41, incarnation: 1, commands: Vec::new() };
    let client = WorkerClient::new(&settings(nobody()));
    async_io::block_on(executor.run(async {
        let address = stand_in(&executor, Then::Refuses);
        let withheld = client.commands(address, &commands, || false).await;
        assert!(matches!(withheld, PushOutcome::Withheld), "{withheld:?}");
        // The connection that was opened for it serves the next one.
        let sent = client.commands(address, &commands, || true).await;
        assert!(matches!(sent, PushOutcome::Responded { executed: false, .. }), "{sent:?}");
        // Of one that cannot be opened nothing is asked.
        let not_sent = client.commands(nobody(), &commands, || panic!("asked before there is a connection")).await;
        assert!(matches!(not_sent, PushOutcome::NotSent), "{not_sent:?}");
    }));
}

/// Guards against tasks that are taken for gone, and started elsewhere, while their machine is there.
#[test]
fn a_deletion_is_confirmed_by_its_answer_alone() {
    let executor = Executor::new();
    let outcome = async |address| CloudClient::new(&settings(address)).delete(vec!["host-1".into()], || true).await;
    async_io::block_on(executor.run(async {
        assert_eq!(outcome(stand_in(&executor, Then::Closes)).await, Err(CloudError::NoResponse));
        assert_eq!(outcome(stand_in(&executor, Then::Refuses)).await, Err(CloudError::Refused(503)));
        assert_eq!(outcome(stand_in(&executor, Then::Executes)).await, Ok(()));
        assert_eq!(outcome(nobody()).await, Err(CloudError::Refused(0)));
    }));
}

/// A rental without an answer may have been executed: it is asked for again by the same name, and is not taken
/// for refused.
#[test]
fn a_rental_without_an_answer_is_not_refused() {
    let executor = Executor::new();
    let request =
        RentRequest { request: "r-1".into(), type_name: "m8".into(), zone: "a".into(), spot: false, count: 1 };
    async_io::block_on(executor.run(async {
        let cloud = CloudClient::new(&settings(stand_in(&executor, Then::Closes)));
        assert_eq!(cloud.rent(&request, || true).await, Err(CloudError::NoResponse));
    }));
}
