use super::server::serve;
use super::{Bounds, CallError, Client, Conn, Incoming, MAX_BODY, Outgoing, timed};
use crate::clock;
use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use http_types::Method;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

static EX: async_executor::Executor<'static> = async_executor::Executor::new();

fn listening(bounds: Bounds) -> SocketAddr {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    let handler = |req: Incoming| async move { Outgoing::json(200, &req.body.len()) };
    EX.spawn(serve(&EX, listener, bounds, Arc::new(handler))).detach();
    addr
}

/// Guards against machines that are never heard: with more of them than sockets, those
/// that came first once held their connections for ever.
#[test]
fn more_workers_than_sockets_take_turns() {
    let addr = listening(Bounds { connections: 8, body_bytes: 1 << 20 });
    let clients: Vec<Client> = (0..24).map(|_| Client::new(1, 1)).collect();
    async_io::block_on(EX.run(async {
        for _round in 0..3 {
            for c in &clients {
                let limit = Duration::from_secs(2);
                let report = crate::wire::HEARTBEAT_PATH;
                let call = || c.call(addr, Method::Post, report, Some(b"{}".to_vec()), limit);
                let mut heard = call().await;
                // A connection that was given back meanwhile is opened anew.
                for _ in 0..3 {
                    if heard.is_err() {
                        heard = call().await;
                    }
                }
                assert_eq!(heard.map(|h| h.0), Ok(200));
            }
        }
    }));
}

/// Where sockets run short, polls are refused first, then whatever else users ask; reports
/// are heard all the while, and the load balancer is answered.
#[test]
fn polls_go_first_then_users_and_heartbeats_never() {
    use crate::wire::{HEALTH_PATH, HEARTBEAT_PATH, JOBS_PATH};
    let addr = listening(Bounds { connections: 64, body_bytes: 1 << 20 });
    async_io::block_on(EX.run(async {
        let limit = Duration::from_secs(2);
        let ask = async |method, path: &str| {
            Client::new(0, 0).call(addr, method, path, None, limit).await.map(|h| h.0).unwrap_or(0)
        };
        let poll = format!("{JOBS_PATH}/req-1");
        let mut machines = Vec::new();
        let mut seen = Vec::new();
        for held in [40, 57, 61] {
            while machines.len() < held {
                let c = Client::new(1, 1);
                assert_eq!(c.call(addr, Method::Post, HEARTBEAT_PATH, None, limit).await.map(|h| h.0), Ok(200));
                machines.push(c);
            }
            let all = [(Method::Get, poll.as_str()), (Method::Post, JOBS_PATH), (Method::Get, HEALTH_PATH)];
            for (method, path) in all {
                seen.push(ask(method, path).await);
            }
            for m in &machines {
                assert_eq!(m.call(addr, Method::Post, HEARTBEAT_PATH, None, limit).await.map(|h| h.0), Ok(200));
            }
        }
        assert_eq!(seen, [200, 200, 200, 503, 200, 200, 503, 503, 200]);
    }));
}

/// A process that stood still for a while has answers that it made up before: what may be said no
/// more is not said, and who has given up is not answered.
#[test]
fn what_was_made_up_before_a_pause_is_not_said() {
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let addr = listener.get_ref().local_addr().expect("its address");
    let handler = |req: Incoming| async move {
        if req.method == Method::Post {
            // Its lease was over a moment ago.
            return Outgoing::json(200, &1).until(Some(clock::now()));
        }
        Timer::after(Duration::from_millis(1100)).await;
        Outgoing::json(200, &1).until(Some(clock::now() + 1.0))
    };
    let bounds = Bounds { connections: 8, body_bytes: 1 << 20 };
    EX.spawn(serve(&EX, listener, bounds, Arc::new(handler))).detach();
    async_io::block_on(EX.run(async {
        let ask = async |method, path| Client::new(1, 1).call(addr, method, path, None, Duration::from_secs(5)).await;
        assert_eq!(ask(Method::Post, "/work").await.map(|a| a.0), Ok(503));
        // Who could not be answered is to ask elsewhere: its connection is given up.
        let mut c = Conn::open(addr, Duration::from_secs(2)).await.expect("open");
        let request = b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n";
        futures_lite::AsyncWriteExt::write_all(&mut c, request).await.expect("sent");
        let mut heard = String::new();
        let all = timed(Duration::from_secs(2), c.read_to_string(&mut heard)).await;
        assert!(all.is_ok() && heard.starts_with("HTTP/1.1 503"), "closed after the answer: {heard}");
        assert_eq!(ask(Method::Get, "/work/req-1").await.map(|a| a.0), Ok(200), "within a poll's patience");
        assert_eq!(ask(Method::Get, crate::wire::HEALTH_PATH).await, Err(CallError::NoAnswer), "who has given up");
    }));
}

/// Bodies that are sent slowly, or by many at once, cost no more than their part: who
/// comes then hears 503 at once, and who has no body is served.
#[test]
fn bodies_take_no_more_than_their_part() {
    let addr = listening(Bounds { connections: 64, body_bytes: 2 * MAX_BODY });
    async_io::block_on(EX.run(async {
        let mut slow = Vec::new();
        for _ in 0..2 {
            let mut c = Conn::open(addr, Duration::from_secs(2)).await.expect("open");
            let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {MAX_BODY}\r\n\r\n{{");
            futures_lite::AsyncWriteExt::write_all(&mut c, head.as_bytes()).await.expect("sent");
            slow.push(c);
        }
        Timer::after(Duration::from_millis(100)).await;
        let client = Client::new(1, 1);
        let limit = Duration::from_secs(2);
        let refused = client.call(addr, Method::Post, "/", Some(b"{}".to_vec()), limit).await;
        assert_eq!(refused.map(|h| h.0), Ok(503));
        assert_eq!(client.call(addr, Method::Get, "/", None, limit).await.map(|h| h.0), Ok(200));
        drop(slow);
        Timer::after(Duration::from_millis(100)).await;
        assert_eq!(client.call(addr, Method::Post, "/", Some(b"{}".to_vec()), limit).await.map(|h| h.0), Ok(200));
    }));
}

/// Guards against half an answer: a server that is killed while it answers has said nothing.
#[test]
fn an_answer_that_ends_before_its_announced_length_is_none() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let addr = listener.local_addr().expect("its address");
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let _ = std::io::Read::read(&mut stream, &mut request).expect("a request");
        let cut = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\n{\"a\"";
        std::io::Write::write_all(&mut stream, cut).expect("sent");
    });
    let call = async { Client::new(0, 0).call(addr, Method::Get, "/up", None, Duration::from_secs(2)).await };
    assert_eq!(async_io::block_on(call), Err(CallError::NoAnswer));
    server.join().expect("served");
}
