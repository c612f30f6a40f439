//! Messages of builds that know more than this one, which run beside it while VMs are replaced.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cloverrack::Incarnation;
use cloverrack::clock::unix_ms;
use cloverrack::document::Version;
use cloverrack::fact::{Fact, LeafLinks, Profile, VmState};
use cloverrack::gateway::leaf_capacity::{
    CapacityDatagram, CapacityReport, LEAF_CAPACITY_VERSION, MAX_REPORTS_PER_DATAGRAM,
};
use cloverrack::gateway::leaf_reports::{self, LEAF_REPORTS_VERSION, LeafReportsError};
use cloverrack::gateway::{Evacuation, Membership};
use cloverrack::gossip::{Datagram, DatagramError, MessageKind};
use cloverrack::wire::{PROTOCOL_VERSION, decode, encode};
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Variant of a fact that this build does not know.
const UNKNOWN_KIND: u8 = 200;

/// Time within which a probe is acknowledged.
const ACK_LIMIT: Duration = Duration::from_secs(2);

fn datagram(incarnation: Incarnation, facts: Vec<Fact>) -> Datagram {
    Datagram {
        protocol_version: PROTOCOL_VERSION,
        incarnation,
        digest: 0,
        kind: MessageKind::Probe { sequence: 7 },
        facts,
    }
}

fn links(address: SocketAddr, incarnation: Incarnation) -> Fact {
    Fact::LeafLinks {
        address,
        incarnation,
        sequence: 1,
        links: LeafLinks::Lost,
    }
}

/// Encodes a datagram whose last fact is of a kind that only a later build knows.
fn encode_with_unknown(mut datagram: Datagram, replaced: Fact) -> Vec<u8> {
    let replaced_bytes = encode(&replaced).unwrap().len();
    datagram.facts.push(replaced);
    let mut bytes = encode(&datagram).unwrap();
    let kind = bytes.len() - replaced_bytes;
    bytes[kind] = UNKNOWN_KIND;
    bytes
}

/// Guards against VMs of a later build being declared dead, since the probes and acknowledgements to
/// which they attach facts of a new kind are dropped.
#[tokio::test]
async fn a_probe_with_a_fact_of_an_unknown_kind_is_answered() {
    let own = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own_address = own.local_addr().unwrap();
    drop(own);
    let profile = |caller_address| Profile {
        caller_address,
        failure_domain: "a".into(),
        millicores: 500,
        link_mbps: 1_000,
    };
    let seeds = Vec::new();
    let membership = Membership::bind(own_address, seeds, profile(own_address)).await;
    let membership = membership.unwrap();
    tokio::spawn(Arc::clone(&membership).run());
    let later = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = later.local_addr().unwrap();
    let incarnation = Incarnation::new(unix_ms(), 1);
    let facts = vec![
        Fact::Vm {
            address,
            generation: 0,
            incarnation,
            refutation: 0,
            state: VmState::Alive,
        },
        Fact::Profile {
            address,
            incarnation,
            profile: profile(address),
        },
    ];
    let replaced = links(address, incarnation);
    let probe = encode_with_unknown(datagram(incarnation, facts), replaced);
    later.send_to(&probe, own_address).await.unwrap();
    let acknowledged = async {
        let mut buffer = vec![0; 2_048];
        loop {
            let (length, _) = later.recv_from(&mut buffer).await.unwrap();
            let received: Datagram = decode(&buffer[..length]).unwrap();
            if received.kind == (MessageKind::Ack { sequence: 7 }) {
                return;
            }
        }
    };
    let acknowledged = timeout(ACK_LIMIT, acknowledged).await;
    assert!(acknowledged.is_ok(), "the probe is not acknowledged");
    let live_vms = membership.live_vms();
    assert!(live_vms.iter().any(|vm| vm.address == address));
}

/// Guards against facts that are made of malformed bytes, or lost beside one of an unknown kind.
#[test]
fn facts_before_an_unknown_kind_are_read() {
    let address = ([127, 0, 0, 1], 7_740).into();
    let incarnation = Incarnation::new(unix_ms(), 1);
    let known = links(address, incarnation);
    let all = datagram(incarnation, vec![known.clone()]);
    let bytes = encode_with_unknown(all.clone(), known.clone());
    assert_eq!(Datagram::read(&bytes), Ok((all.clone(), 1)));
    let bytes = encode(&all).unwrap();
    assert_eq!(Datagram::read(&bytes), Ok((all, 0)));
    for length in 0..bytes.len() {
        let cut = Datagram::read(&bytes[..length]);
        assert_eq!(cut, Err(DatagramError::Malformed), "{length} bytes");
    }
    let trailing = [&bytes[..], &[0]].concat();
    assert_eq!(Datagram::read(&trailing), Err(DatagramError::Malformed));
    let mut other_version = bytes;
    other_version[0] = 2;
    let read = Datagram::read(&other_version[..9]);
    assert_eq!(read, Err(DatagramError::OtherVersion(2)));
}

/// Guards against leaf reports of another version being taken for malformed ones, which hides from
/// operators that two builds do not exchange them.
#[test]
fn leaf_reports_of_another_version_are_not_malformed() {
    let later = LEAF_REPORTS_VERSION + 1;
    let read = |bytes: &[u8]| leaf_reports::Datagram::read(bytes);
    let other = Err(LeafReportsError::OtherVersion(later));
    assert_eq!(read(&[later, 255, 255]), other);
    let malformed = Err(LeafReportsError::Malformed);
    assert_eq!(read(&[LEAF_REPORTS_VERSION, 255, 255]), malformed);
    assert_eq!(read(&[]), malformed);
}

/// Guards against a datagram on leaf capacity that a build of 6f7d9ce, which reads leaf reports in the
/// same way, takes for a malformed one, or for reports of its own version.
#[test]
fn leaf_capacity_is_another_version_for_builds_without_it() {
    let report = CapacityReport {
        leaf: ([127, 0, 0, 1], 9_000).into(),
        in_flight_centi: 100,
        ended_calls: 1,
        during_in_flight_centi: 100,
        ratio_milli: 1_000,
    };
    let datagrams = CapacityDatagram::of_reports(&[report; MAX_REPORTS_PER_DATAGRAM + 1]);
    assert_eq!(datagrams.len(), 2);
    for datagram in datagrams {
        let bytes = encode(&datagram).unwrap();
        let read = leaf_reports::Datagram::read(&bytes);
        let other = Err(LeafReportsError::OtherVersion(LEAF_CAPACITY_VERSION));
        assert_eq!(read, other);
        assert_eq!(CapacityDatagram::read(&bytes), Ok(datagram));
    }
    let mut largest = report;
    largest.leaf = SocketAddr::new(std::net::Ipv6Addr::LOCALHOST.into(), u16::MAX);
    (largest.in_flight_centi, largest.ended_calls) = (u32::MAX, u16::MAX);
    (largest.during_in_flight_centi, largest.ratio_milli) = (u32::MAX, u32::MAX);
    let datagrams = CapacityDatagram::of_reports(&[largest; MAX_REPORTS_PER_DATAGRAM]);
    assert!(
        encode(&datagrams[0]).unwrap().len() <= 1_472,
        "exceeds a frame"
    );
}

/// Guards against a datagram in which the kinds that earlier builds do not know come before others.
#[test]
fn facts_are_sent_in_the_order_of_their_kinds() {
    let address: SocketAddr = ([127, 0, 0, 1], 7_740).into();
    let incarnation = Incarnation::new(unix_ms(), 1);
    let timing = cloverrack::gateway::membership::TIMING;
    let mut gossip = cloverrack::gossip::Gossip::new(address, incarnation, timing, 0);
    let peer: SocketAddr = ([127, 0, 0, 2], 7_740).into();
    gossip.set_peers([peer]);
    let evacuation = Fact::Evacuation(Evacuation {
        domain: "b".into(),
        version: Version::default(),
        is_active: true,
    });
    // Builds up to 6f7d9ce read a datagram up to this variant.
    assert_eq!(encode(&evacuation).unwrap()[0], 11);
    assert_eq!(evacuation.kind_position(), 11);
    gossip.publish(evacuation, 0);
    gossip.publish(links(address, incarnation), 0);
    let mut rng = rand::rng();
    let profile = Profile {
        caller_address: address,
        failure_domain: "a".into(),
        millicores: 500,
        link_mbps: 1_000,
    };
    let profile = Fact::Profile {
        address,
        incarnation,
        profile,
    };
    gossip.publish(profile, 0);
    let probe = datagram(Incarnation::new(unix_ms(), 2), Vec::new());
    let (outgoing, _) = gossip.receive(peer, probe, 0, &mut rng);
    let kinds =
        |message: &Datagram| -> Vec<u8> { message.facts.iter().map(Fact::kind_position).collect() };
    let kinds: Vec<Vec<u8>> = outgoing.iter().map(|(_, message)| kinds(message)).collect();
    assert!(kinds.iter().all(|kinds| kinds.is_sorted()), "{kinds:?}");
    assert!(kinds.iter().any(|kinds| kinds.len() >= 3), "{kinds:?}");
    let ends_with_evacuation = |kinds: &Vec<u8>| kinds.last() == Some(&11);
    assert!(kinds.iter().any(ends_with_evacuation), "{kinds:?}");
}
