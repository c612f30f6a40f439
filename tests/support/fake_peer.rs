//! Serves batches as a peer that claims to own leaves and that can answer wrongly, late or more
//! than once.

#![allow(clippy::unwrap_used, reason = "a failed exchange fails the test")]

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cloverrack::clock::unix_ms;
use cloverrack::fact::{Fact, LeafState, VmState};
use cloverrack::gossip::{Datagram, MessageKind};
use cloverrack::wire::{
    Batch, BatchCommand, FrameDecoder, LeafReply, LeafResult, PROTOCOL_VERSION, decode, encode,
    encode_frame,
};
use cloverrack::{CallId, Incarnation, Snapshot};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{Request, Response};
use tokio::net::{TcpListener, UdpSocket};

/// Interval at which facts are pushed.
const PUSH_INTERVAL: Duration = Duration::from_millis(100);

/// How the peer answers a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerBehaviour {
    /// Sends one correct reply for each call.
    Correct,
    /// Sends each reply a second time with different content.
    Duplicated,
    /// Sends replies with the call ids of earlier requests before the correct one.
    WrongCallId,
    /// Sends replies from another snapshot.
    WrongSnapshot,
    /// Sends correct replies after this many milliseconds.
    Late(u64),
}

/// Handle to a running peer.
#[derive(Clone)]
pub struct FakePeer {
    behaviour: Arc<Mutex<PeerBehaviour>>,
    earlier_calls: Arc<Mutex<Vec<CallId>>>,
}

impl FakePeer {
    /// Starts a peer that claims to own `leaves` and gossips with `others`.
    pub async fn start(
        address: SocketAddr,
        leaves: Vec<SocketAddr>,
        others: Vec<SocketAddr>,
    ) -> Self {
        let peer = Self {
            behaviour: Arc::new(Mutex::new(PeerBehaviour::Correct)),
            earlier_calls: Arc::default(),
        };
        let listener = TcpListener::bind(address).await.unwrap();
        let socket = Arc::new(UdpSocket::bind(address).await.unwrap());
        tokio::spawn(gossip(address, leaves, others, socket));
        tokio::spawn(peer.clone().accept(listener));
        peer
    }

    pub fn set(&self, behaviour: PeerBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let peer = self.clone();
            tokio::spawn(async move {
                let mut connection = h2::server::handshake(stream).await.unwrap();
                while let Some(Ok((request, respond))) = connection.accept().await {
                    tokio::spawn(peer.clone().handle(request, respond));
                }
            });
        }
    }

    async fn handle(self, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        if request.uri().path() != "/batch" {
            let response = Response::builder().status(404).body(()).unwrap();
            let _ = respond.send_response(response, true);
            return;
        }
        let mut body = request.into_body();
        let mut decoder = FrameDecoder::default();
        let batch = loop {
            match decoder.next_message::<BatchCommand>() {
                Ok(Some(BatchCommand::Start(batch))) => break batch,
                Ok(None) => {}
                _ => return,
            }
            let Some(Ok(data)) = body.data().await else {
                return;
            };
            decoder.extend(&data);
        };
        let mut stream = respond.send_response(Response::new(()), false).unwrap();
        self.answer(&batch, &mut stream).await;
        let _ = stream.send_data(Bytes::new(), true);
    }

    async fn answer(&self, batch: &Batch, stream: &mut SendStream<Bytes>) {
        let behaviour = *self.behaviour.lock().unwrap();
        if let PeerBehaviour::Late(delay_ms) = behaviour {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let payload = String::from_utf8_lossy(&batch.payload).into_owned();
        for call in &batch.calls {
            let correct = format!("{}:{}:{payload}", batch.snapshot, call.shard);
            let wrong = format!("wrong: {correct}");
            match behaviour {
                PeerBehaviour::WrongSnapshot => {
                    let other = Snapshot {
                        version: 9,
                        layout: 1,
                    };
                    send(stream, call.call, other, &wrong);
                    continue;
                }
                PeerBehaviour::WrongCallId => {
                    let earlier_calls = self.earlier_calls.lock().unwrap().clone();
                    for id in earlier_calls {
                        send(stream, id, batch.snapshot, &wrong);
                    }
                }
                _ => {}
            }
            send(stream, call.call, batch.snapshot, &correct);
            if behaviour == PeerBehaviour::Duplicated {
                send(stream, call.call, batch.snapshot, &wrong);
            }
            let mut earlier_calls = self.earlier_calls.lock().unwrap();
            earlier_calls.push(call.call);
            let excess = earlier_calls.len().saturating_sub(50);
            earlier_calls.drain(..excess);
        }
    }
}

fn send(stream: &mut SendStream<Bytes>, call: CallId, snapshot: Snapshot, body: &str) {
    let body = body.as_bytes().to_vec();
    let reply = LeafReply {
        call,
        result: LeafResult::Answered { snapshot, body },
        shared_leaf: false,
    };
    let _ = stream.send_data(encode_frame(&reply).unwrap(), false);
}

fn facts(address: SocketAddr, incarnation: Incarnation, leaves: &[SocketAddr]) -> Vec<Fact> {
    let mut facts = vec![Fact::Vm {
        address,
        generation: 0,
        incarnation,
        refutation: 0,
        state: VmState::Alive,
    }];
    for leaf in leaves {
        facts.push(Fact::Leaf {
            address: *leaf,
            sequence: unix_ms(),
            observer: incarnation,
            state: LeafState::Up,
            snapshots: vec![Snapshot {
                version: 1,
                layout: 1,
            }],
        });
    }
    facts
}

/// Acknowledges probes and pushes facts.
async fn gossip(
    address: SocketAddr,
    leaves: Vec<SocketAddr>,
    others: Vec<SocketAddr>,
    socket: Arc<UdpSocket>,
) {
    let incarnation = Incarnation::new(unix_ms(), 1);
    let mut interval = tokio::time::interval(PUSH_INTERVAL);
    let mut buffer = vec![0; 65_536];
    loop {
        let (to, kind) = tokio::select! {
            _ = interval.tick() => (others.clone(), MessageKind::Push),
            received = socket.recv_from(&mut buffer) => {
                let Ok((length, from)) = received else {
                    continue;
                };
                match decode::<Datagram>(&buffer[..length]).map(|message| message.kind) {
                    Ok(MessageKind::Probe { sequence }) => (vec![from], MessageKind::Ack { sequence }),
                    _ => continue,
                }
            }
        };
        let message = Datagram {
            protocol_version: PROTOCOL_VERSION,
            incarnation,
            digest: 0,
            kind,
            facts: facts(address, incarnation, &leaves),
        };
        for peer in to {
            let _ = socket.send_to(&encode(&message).unwrap(), peer).await;
        }
    }
}
