//! Response ownership: each caller gets the whole answer to its own request, and no results of
//! another request.

#![expect(clippy::unwrap_used, reason = "a failed exchange fails the test")]

#[path = "support/outcomes.rs"]
mod outcomes;
mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use cloverrack::answer::{Answer, CallerRequest};
use cloverrack::{Outcome, Reason};
use cloverrack_standins::Misbehaviour;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::rt::{TokioExecutor, TokioIo};
use outcomes::check_answer;
use support::{Cluster, ClusterSpec, request};
use tokio::net::TcpStream;

/// Number of concurrent callers.
const CALLERS: usize = 24;

/// Number of requests per caller.
const REQUESTS: usize = 20;

fn query_request(address: SocketAddr, request: &CallerRequest) -> Request<Full<Bytes>> {
    let body = serde_json::to_vec(request).unwrap();
    Request::post(format!("http://{address}/v1/query"))
        .header("host", address.to_string())
        .body(Full::new(Bytes::from(body)))
        .unwrap()
}

fn unique_request(caller: usize, number: usize) -> CallerRequest {
    let mut unique_request = request(&format!("id-{caller}-{number}"));
    unique_request.payload = format!("{number} of {caller}: {}", "x".repeat(caller * 97)).into();
    unique_request
}

async fn read_answer(response: http::Response<hyper::body::Incoming>) -> Answer {
    let body = response.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

/// Sends requests sequentially on one HTTP/1.1 connection.
async fn query_sequentially(address: SocketAddr, caller: usize) -> Vec<(CallerRequest, Answer)> {
    let stream = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let (mut sender, connection) = hyper::client::conn::http1::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut answered = Vec::new();
    for number in 0..REQUESTS {
        let sent = unique_request(caller, number);
        sender.ready().await.unwrap();
        let response = sender
            .send_request(query_request(address, &sent))
            .await
            .unwrap();
        answered.push((sent, read_answer(response).await));
    }
    answered
}

/// Sends all requests concurrently on one HTTP/2 connection.
async fn query_concurrently(address: SocketAddr, caller: usize) -> Vec<(CallerRequest, Answer)> {
    let stream = TokioIo::new(TcpStream::connect(address).await.unwrap());
    let (sender, connection) = hyper::client::conn::http2::handshake(TokioExecutor::new(), stream)
        .await
        .unwrap();
    tokio::spawn(connection);
    let exchanges = (0..REQUESTS).map(|number| {
        let mut sender = sender.clone();
        async move {
            let sent = unique_request(caller, number);
            sender.ready().await.unwrap();
            let response = sender
                .send_request(query_request(address, &sent))
                .await
                .unwrap();
            (sent, read_answer(response).await)
        }
    });
    futures_util::future::join_all(exchanges).await
}

/// Guards against answers that are swapped between concurrent callers or truncated. Callers share
/// the VMs over HTTP/1.1 and HTTP/2, and stragglers among the leaves cause hedged calls.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_get_their_own_answers() {
    let mut spec = ClusterSpec::default();
    spec.leaf.straggler_ppm = 100_000;
    let cluster = Cluster::start(spec).await;
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let address = cluster.daemons[caller % 3].caller_address;
        callers.push(tokio::spawn(async move {
            if caller % 2 == 0 {
                query_sequentially(address, caller).await
            } else {
                query_concurrently(address, caller).await
            }
        }));
    }
    let mut complete = 0;
    for caller in callers {
        for (sent, answer) in caller.await.unwrap() {
            check_answer(&cluster, &sent, &answer);
            complete += usize::from(answer.outcome == Outcome::Complete);
        }
    }
    assert!(
        complete * 2 > CALLERS * REQUESTS,
        "only {complete} answers are complete"
    );
}

/// Guards against an answer that is returned to another request with the same ID or the same
/// payload: different members send both at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn equal_ids_and_payloads_of_members_are_kept_apart() {
    let mut spec = ClusterSpec::default();
    // Enough slots that no call is shed, so that all answers are complete.
    spec.leaf.slots = 30;
    let cluster = Cluster::start(spec).await;
    let mut sent = Vec::new();
    for number in 0..30 {
        let mut one = request("the-same-id");
        one.member = format!("member-{number}").into();
        one.payload = format!("payload {}", number / 2).into();
        sent.push(one);
    }
    let exchanges = sent
        .iter()
        .enumerate()
        .map(|(number, one)| cluster.query(number % 3, one));
    let answers = futures_util::future::join_all(exchanges).await;
    for (sent, answer) in sent.iter().zip(answers) {
        let answer = answer.unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        check_answer(&cluster, sent, &answer);
    }
}

/// Guards against a leaf answer that is merged although it names another call, shard or snapshot.
#[tokio::test(flavor = "multi_thread")]
async fn misaddressed_leaf_answers_are_not_merged() {
    let wrong = [
        Misbehaviour::WrongCall,
        Misbehaviour::WrongShard,
        Misbehaviour::WrongSnapshot,
    ];
    let cluster = Cluster::start(ClusterSpec::default()).await;
    for (number, wrong) in wrong.into_iter().enumerate() {
        for leaf in &cluster.leaves[1] {
            leaf.set(|options| options.misbehaviour = Some(wrong));
        }
        let sent = request(&format!("misaddressed-{number}"));
        let answer = cluster.query(number, &sent).await.unwrap();
        assert_eq!(answer.outcome, Outcome::Partial, "{wrong:?}: {answer:?}");
        assert_eq!(answer.covered, vec![0, 2]);
        assert_eq!(answer.missing[0].reason, Reason::Failed);
        check_answer(&cluster, &sent, &answer);
    }
}
