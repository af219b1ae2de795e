//! Answers whose connection ends in the middle, as when the process that answers is killed.

use http_types::Method;
use lupinspur::http::{CallError, Client};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

/// A server that reads one request, writes this and closes the connection.
fn server_that_answers(with: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        let (mut connection, _) = listener.accept().expect("a connection");
        _ = connection.read(&mut [0; 4096]).expect("a request");
        connection.write_all(with.as_bytes()).expect("sent");
    });
    address
}

fn ask(at: SocketAddr) -> Result<(u16, Vec<u8>), CallError> {
    let client = Client::new(0, 0);
    async_io::block_on(client.call(at, Method::Get, "/work/req-0001", None, Duration::from_secs(2)))
}

#[test]
fn a_body_that_is_cut_short_is_no_answer() {
    let at = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n{\"bloom\":");
    assert!(matches!(ask(at), Err(CallError::NoResponse)));
    let at = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 40\r\n\r\n");
    assert!(matches!(ask(at), Err(CallError::NoResponse)));
}

#[test]
fn a_whole_body_is_an_answer_though_the_connection_ends_behind_it() {
    let at = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}");
    assert_eq!(ask(at).ok(), Some((200, b"{}".to_vec())));
    let at = server_that_answers("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    assert_eq!(ask(at).ok(), Some((200, Vec::new())));
}
