//! Gossip messages of odd numbers: none ends membership.

#[path = "support/odd_facts.rs"]
mod odd_facts;

use std::net::SocketAddr;

use cloverrack::Incarnation;
use cloverrack::gateway::membership::TIMING;
use cloverrack::gossip::{Datagram, Gossip, MessageKind};
use cloverrack::wire::PROTOCOL_VERSION;
use odd_facts::{ODD_NUMBERS, odd_facts};
use rand::SeedableRng;
use rand::rngs::StdRng;

fn vm(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_001).into()
}

/// Guards against a gossip message of odd numbers that ends membership. A VM refutes what others say of
/// it with a greater number, also if theirs is the greatest.
#[test]
fn odd_gossip_is_received() {
    let incarnation = Incarnation::new(1_000, 1);
    for number in ODD_NUMBERS {
        for sender in [incarnation, Incarnation::new(number >> 20, 7)] {
            let mut rng = StdRng::seed_from_u64(1);
            let mut gossip = Gossip::new(vm(1), incarnation, TIMING, 0);
            gossip.set_peers([vm(2), vm(3)]);
            let kinds = [
                MessageKind::Push,
                MessageKind::Probe { sequence: number },
                MessageKind::Ack { sequence: number },
                MessageKind::IndirectProbe {
                    sequence: number,
                    target: vm(1),
                },
                MessageKind::FactHashes {
                    hashes: vec![(u8::MAX, vec![u32::MAX]), (0, vec![]), (0, vec![])],
                    reply_wanted: true,
                },
            ];
            for (step, kind) in (1_u64..).zip(kinds) {
                let facts = [vm(1), vm(2), vm(9)].map(|about| odd_facts(about, sender, number));
                let message = Datagram {
                    protocol_version: PROTOCOL_VERSION,
                    incarnation: sender,
                    digest: number,
                    kind,
                    facts: facts.concat(),
                };
                gossip.set_wall_clock(1_800_000_000_000);
                gossip.receive(vm(2), message, step * 100, &mut rng);
                gossip.tick(step * 100 + 50, &mut rng);
            }
            assert!(gossip.live_vms().len() <= 4);
        }
    }
}
