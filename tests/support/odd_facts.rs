//! Facts of other VMs with odd numbers.

use std::net::SocketAddr;

use cloverrack::Incarnation;
use cloverrack::document::Version;
use cloverrack::fact::{Fact, LeafDeparture, LeafLinks, Profile, VmState};
use cloverrack::gateway::{Content, ContentSuccess, CrashedAttempt, Evacuation};

/// Numbers at the edges of their range, and where a conversion to microseconds overflows.
pub const ODD_NUMBERS: [u64; 5] = [0, 1, u64::MAX / 1_000 + 1, u64::MAX - 1, u64::MAX];

fn content() -> Content {
    Content {
        fingerprint: 7,
        caller: [127, 0, 0, 1].into(),
    }
}

/// Returns facts about a VM, leaves and contents with an odd number in each place.
pub fn odd_facts(about: SocketAddr, incarnation: Incarnation, number: u64) -> Vec<Fact> {
    let small = u32::try_from(number).unwrap_or(u32::MAX);
    let vm = |state| Fact::Vm {
        address: about,
        generation: small,
        incarnation,
        refutation: small,
        state,
    };
    let version = Version {
        epoch: number,
        revision: number,
    };
    vec![
        vm(VmState::Suspect),
        vm(VmState::Dead),
        Fact::Document {
            name: "catalog".into(),
            version,
        },
        Fact::Profile {
            address: about,
            incarnation,
            profile: Profile {
                caller_address: about,
                failure_domain: "".into(),
                millicores: small,
                link_mbps: small,
            },
        },
        Fact::LeafLinks {
            address: about,
            incarnation,
            sequence: number,
            links: LeafLinks::Lost,
        },
        Fact::LeafDeparture(LeafDeparture {
            process: number,
            observed_unix_ms: number,
        }),
        Fact::ContentSuccess(ContentSuccess {
            content: content(),
            until_unix_ms: number,
        }),
        Fact::CrashedAttempt(CrashedAttempt {
            content: content(),
            request_hash: number,
            leaves: vec![number, number],
            alive_unix_ms: number,
            observed_unix_ms: number,
        }),
        Fact::Evacuation(Evacuation {
            domain: format!("odd-{number}").into(),
            version,
            is_active: true,
        }),
    ]
}
