//! Waits for the first bytes of a connection, which identify its protocol.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

use super::READ_TIMEOUT_MS;

/// Connection preface that an HTTP/2 client sends first.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// Interval between checks of an incomplete connection preface.
const PREFACE_POLL_INTERVAL_MS: u64 = 20;

/// Waits until the first bytes of a connection identify its protocol; returns whether they arrived
/// in time.
///
/// The protocol detection of `hyper-util` waits for a complete HTTP/2 preface without a time limit.
pub(super) async fn wait_for_first_bytes(stream: &TcpStream) -> bool {
    let preface_check = async {
        let mut preface = [0; HTTP2_PREFACE.len()];
        loop {
            let length = stream.peek(&mut preface).await.unwrap_or(0);
            if length == 0 {
                return false;
            }
            if length == preface.len() || !HTTP2_PREFACE.starts_with(&preface[..length]) {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(PREFACE_POLL_INTERVAL_MS)).await;
        }
    };
    let limit = Duration::from_millis(READ_TIMEOUT_MS);
    timeout(limit, preface_check).await.unwrap_or(false)
}
