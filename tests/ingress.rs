//! Limits on requests to a controller: a body has at most 64 KiB, and a request has to arrive within a time limit.

#[allow(dead_code)]
#[path = "common/http.rs"]
mod http;

use http::{lock, server};
use lupinspur::http::Outgoing;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const LARGEST_BODY: usize = 64 * 1024;

/// Starts a server and returns its address and the lengths of the bodies that its handler receives.
fn recording_server() -> (SocketAddr, Arc<Mutex<Vec<usize>>>) {
    let lengths: Arc<Mutex<Vec<usize>>> = Arc::default();
    let recorded = lengths.clone();
    let address = server(move |request| {
        lock(&recorded).push(request.body.len());
        async { Outgoing::json(200, &1) }
    });
    (address, lengths)
}

/// Sends these bytes and returns the status of the response; 0 if the connection closes without one.
fn send(address: SocketAddr, request: &[u8]) -> u16 {
    let mut connection = TcpStream::connect(address).expect("it listens");
    connection.set_read_timeout(Some(Duration::from_secs(20))).expect("a limit");
    // The server may close the connection before it has read a rejected request.
    let _ = connection.write_all(request);
    let mut answer = [0; 512];
    let length = connection.read(&mut answer).unwrap_or(0);
    let head = String::from_utf8_lossy(&answer[..length]).into_owned();
    head.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}

/// Returns a request with a content length and a body of this size.
fn with_length(bytes: usize) -> Vec<u8> {
    let head = format!("POST /work HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n");
    [head.into_bytes(), vec![b' '; bytes]].concat()
}

/// Returns a request with a chunked body of this size.
fn in_chunks(bytes: usize) -> Vec<u8> {
    let head = "POST /work HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
    [format!("{head}{bytes:x}\r\n").into_bytes(), vec![b' '; bytes], b"\r\n0\r\n\r\n".to_vec()].concat()
}

/// Guards against excessive memory use by large bodies, and against rejecting bodies within the limit.
#[test]
fn a_body_is_at_most_64_kib() {
    let (address, lengths) = recording_server();
    for request in [with_length, in_chunks] {
        assert_eq!(send(address, &request(LARGEST_BODY)), 200);
        assert_eq!(send(address, &request(LARGEST_BODY + 1)), 413);
        assert_eq!(send(address, &request(4 * LARGEST_BODY)), 413);
    }
    assert_eq!(*lock(&lengths), [LARGEST_BODY; 2], "only bodies within the limit should reach the handler");
}

/// Guards against running out of sockets: an incomplete request may hold its connection for a few seconds only.
#[test]
fn a_request_that_does_not_come_to_its_end_is_given_up() {
    let (address, lengths) = recording_server();
    let began = Instant::now();
    let half = b"POST /work HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n{";
    assert_eq!(send(address, half), 408);
    assert!(
        began.elapsed() < Duration::from_secs(9),
        "the connection should end within 9 s; it took {:?}",
        began.elapsed()
    );
    assert!(lock(&lengths).is_empty(), "an incomplete request should not reach the handler");
}
