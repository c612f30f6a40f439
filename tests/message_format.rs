//! Bytes of the messages between VMs, compared with those that earlier builds write.
//!
//! VMs are replaced one after another, so each message has to be read by both builds. The files under
//! `tests/inputs/messages/` were written by the code of commit 43f3458. There is a folder for each
//! version of a format: a message that changes needs a new version and a new folder, which the ignored
//! test `write_messages` writes. Files of earlier versions are not changed.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::fmt::{Debug, Write};
use std::net::{Ipv6Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bincode::{Decode, Encode};
use cloverrack::document::Version;
use cloverrack::fact::{
    DiscardedVersion, Fact, LeafDeparture, LeafLinks, LeafState, Profile, VmState,
};
use cloverrack::gateway::catalog_rpc::CATALOG_VERSION;
use cloverrack::gateway::evacuation::message::{decode_header, encode_header};
use cloverrack::gateway::leaf_capacity::{CapacityDatagram, CapacityReport, LEAF_CAPACITY_VERSION};
use cloverrack::gateway::leaf_reports::{self, LEAF_REPORTS_VERSION};
use cloverrack::gateway::vm_client::MESSAGE_VERSION;
use cloverrack::gateway::{
    CallerLimits, CatalogImage, CatalogUpdate, Change, ChangeSet, Content, ContentSuccess,
    CrashedAttempt, Destination, Evacuation, ForwardedRequest, LeafAnswer, LeafQuestion,
    LeafRecord, LeafReport, NotRunReason, Observation, PriorCalls, RateReport, RateUsage,
    RouteDocument, RouteSpec, ServiceSpec, Warmup, WarmupSettings,
};
use cloverrack::gossip::{DIGEST_BUCKETS, Datagram, MessageKind};
use cloverrack::quarantine::LeafCrash;
use cloverrack::wire::{PROTOCOL_VERSION, decode, encode};
use cloverrack::{Incarnation, Snapshot};
use http::header::HeaderValue;

/// Bytes in a line of a file.
const LINE_BYTES: usize = 32;

/// A wall-clock time.
const UNIX_MS: u64 = 1_765_000_000_123;

/// Reads bytes; returns the difference if they are not read as the expected message.
type ReadCheck = dyn Fn(&[u8]) -> Result<(), String>;

/// Message with the file that has its bytes.
struct Sample {
    folder: String,
    name: &'static str,
    encoded: Vec<u8>,
    read: Box<ReadCheck>,
}

impl Sample {
    fn new<T>(folder: &str, name: &'static str, message: T) -> Self
    where
        T: Encode + Decode<()> + PartialEq + Debug + 'static,
    {
        Self {
            folder: folder.to_owned(),
            name,
            encoded: encode(&message).unwrap(),
            read: Box::new(move |bytes| match decode::<T>(bytes) {
                Ok(decoded) if decoded == message => Ok(()),
                Ok(decoded) => Err(format!("decoded as {decoded:?}, not {message:?}")),
                Err(error) => Err(error.to_string()),
            }),
        }
    }

    fn path(&self, root: &Path) -> PathBuf {
        root.join(&self.folder).join(format!("{}.hex", self.name))
    }

    fn read_file(&self) -> Result<Vec<u8>, String> {
        let path = self.path(&messages_folder());
        let text = std::fs::read_to_string(&path)
            .map_err(|error| format!("{}: {error}; see write_messages", path.display()))?;
        let digits: Vec<char> = text.split_whitespace().flat_map(str::chars).collect();
        let byte = |pair: &[char]| u8::from_str_radix(&pair.iter().collect::<String>(), 16);
        let bytes: Result<Vec<u8>, _> = digits.chunks(2).map(byte).collect();
        bytes.map_err(|error| format!("{}: {error}", path.display()))
    }
}

fn messages_folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/inputs/messages")
}

fn v4(last: u8, port: u16) -> SocketAddr {
    ([127, 50, 3, last], port).into()
}

fn v6(port: u16) -> SocketAddr {
    let ip = Ipv6Addr::new(0xfd00, 0, 0, 0, 0, 0, 0, 0x17);
    SocketAddr::new(ip.into(), port)
}

fn content() -> Content {
    Content {
        fingerprint: 0x0123_4567_89ab_cdef,
        caller: v4(9, 0).ip(),
    }
}

fn version(epoch: u64, revision: u64) -> Version {
    Version { epoch, revision }
}

fn vm_fact(state: VmState, refutation: u32) -> Fact {
    Fact::Vm {
        address: v4(1, 7_740),
        generation: 2,
        incarnation: Incarnation::new(UNIX_MS, 77),
        refutation,
        state,
    }
}

/// Returns a fact of each kind, in the order of the variants.
fn facts() -> Vec<Fact> {
    let leaf = |state| Fact::Leaf {
        address: v4(20, 9_000),
        sequence: 300,
        observer: Incarnation::new(UNIX_MS, 78),
        state,
        snapshots: vec![
            Snapshot {
                version: 70_000,
                layout: 3,
            },
            Snapshot {
                version: 69_999,
                layout: 3,
            },
        ],
    };
    let discarded = |superseded_by, reason: &str| {
        Fact::DiscardedVersion(DiscardedVersion {
            name: "services".into(),
            version: version(1, 41),
            superseded_by,
            reason: reason.into(),
        })
    };
    let links = |sequence, links| Fact::LeafLinks {
        address: v4(2, 7_740),
        incarnation: Incarnation::new(UNIX_MS, 79),
        sequence,
        links,
    };
    vec![
        vm_fact(VmState::Alive, 0),
        vm_fact(VmState::Leaving, 1),
        vm_fact(VmState::Suspect, 2),
        vm_fact(VmState::Dead, 3),
        Fact::Document {
            name: "catalog".into(),
            version: version(5, 1_234_567),
        },
        leaf(LeafState::Up),
        leaf(LeafState::Warming),
        leaf(LeafState::Draining),
        leaf(LeafState::Down),
        Fact::Quarantine {
            fingerprint: 42,
            until_unix_ms: UNIX_MS,
        },
        Fact::LeafCrash(LeafCrash {
            fingerprint: 43,
            leaf: v6(9_001),
            shared: true,
            crashes: 2,
            observed_unix_ms: UNIX_MS,
        }),
        discarded(None, "no such key"),
        discarded(Some(version(1, 42)), ""),
        Fact::Profile {
            address: v4(1, 7_740),
            incarnation: Incarnation::new(UNIX_MS, 77),
            profile: Profile {
                caller_address: v6(8_226),
                failure_domain: "a".into(),
                millicores: 1_500,
                link_mbps: 100_000,
            },
        },
        Fact::CrashedAttempt(CrashedAttempt {
            content: content(),
            request_hash: 0xfedc_ba98_7654_3210,
            leaves: vec![7, 0x1_0000_0000],
            alive_unix_ms: UNIX_MS - 2_000,
            observed_unix_ms: UNIX_MS,
        }),
        Fact::ContentSuccess(ContentSuccess {
            content: content(),
            until_unix_ms: UNIX_MS,
        }),
        Fact::LeafDeparture(LeafDeparture {
            process: 0x1122_3344_5566_7788,
            observed_unix_ms: UNIX_MS,
        }),
        links(1, LeafLinks::Connected),
        links(2, LeafLinks::Recovering),
        links(3, LeafLinks::Lost),
    ]
}

fn gossip_datagram(kind: MessageKind, facts: Vec<Fact>) -> Datagram {
    Datagram {
        protocol_version: PROTOCOL_VERSION,
        incarnation: Incarnation::new(UNIX_MS, 77),
        digest: 0x8877_6655_4433_2211,
        kind,
        facts,
    }
}

fn gossip_samples() -> Vec<Sample> {
    let buckets = std::array::from_fn(|bucket| 0x0100_0000 * (bucket as u32 % 7) + bucket as u32);
    let kinds: [(&str, MessageKind); 7] = [
        ("probe", MessageKind::Probe { sequence: 251 }),
        ("ack", MessageKind::Ack { sequence: 70_000 }),
        (
            "indirect-probe",
            MessageKind::IndirectProbe {
                sequence: 3,
                target: v6(7_740),
            },
        ),
        ("push", MessageKind::Push),
        ("missing-facts", MessageKind::MissingFacts),
        (
            "bucket-digests",
            MessageKind::BucketDigests {
                buckets: Box::new(buckets) as Box<[u32; DIGEST_BUCKETS]>,
            },
        ),
        (
            "fact-hashes",
            MessageKind::FactHashes {
                hashes: vec![(0, vec![]), (255, vec![1, 0xffff_ffff])],
                reply_wanted: true,
            },
        ),
    ];
    let folder = format!("gossip-{PROTOCOL_VERSION}");
    let samples = kinds.into_iter().map(|(name, kind)| {
        let has_facts = matches!(kind, MessageKind::Push);
        let facts = if has_facts { facts() } else { Vec::new() };
        Sample::new(&folder, name, gossip_datagram(kind, facts))
    });
    samples.collect()
}

/// Messages with the facts that builds up to 6f7d9ce do not know. They are not in `push`, whose bytes an
/// earlier build wrote.
fn later_gossip_samples() -> Vec<Sample> {
    let evacuation = |domain: &str, is_active| Evacuation {
        domain: domain.into(),
        version: version(3, 70_002),
        is_active,
    };
    let evacuations = vec![evacuation("b", true), evacuation("zone-17", false)];
    let header = encode_header(&evacuations).unwrap();
    assert_eq!(decode_header(&header), Some(evacuations.clone()));
    let warmup = Warmup {
        duration_ms: 4_000,
        rate_milli: 12_500,
    };
    let warmups = WarmupSettings {
        version: 20,
        services: vec![("one".into(), warmup)],
    };
    let warmups_header = encode_header(&warmups).unwrap();
    assert_eq!(decode_header(&warmups_header), Some(warmups));
    let facts = evacuations.into_iter().map(Fact::Evacuation).collect();
    let datagram = gossip_datagram(MessageKind::Push, facts);
    let folder = format!("gossip-{PROTOCOL_VERSION}");
    vec![
        Sample::new(&folder, "evacuations", datagram),
        Sample::new("catalog-heads-1", "evacuations", header),
        Sample::new("catalog-heads-1", "warmups", warmups_header),
    ]
}

fn route_document() -> RouteDocument {
    let route = |name: &str, idempotent, destination| {
        Arc::new(RouteSpec {
            name: name.into(),
            host: "desk.example".into(),
            prefix: format!("/{name}/").into(),
            idempotent,
            timeout_ms: 1_500,
            target_latency_ms: 200,
            max_attempts: 2,
            priority: 1,
            destination,
        })
    };
    let shards = Destination::Shards {
        services: vec!["shard-0".into(), "shard-1".into()],
        top_records: 5,
        min_coverage_ppm: 300_000,
    };
    RouteDocument {
        version: 20,
        routes: vec![
            route("gather", true, shards),
            route("safe", true, Destination::Service("one".into())),
            route(
                "once",
                false,
                Destination::Weighted(vec![("one".into(), 9), ("two".into(), 1)]),
            ),
        ],
        services: vec![ServiceSpec {
            name: "one".into(),
            max_connections: 31,
            health_path: "/health".into(),
        }],
        limits: CallerLimits {
            max_body_bytes: 262_144,
            idle_timeout_ms: 15_000,
        },
    }
}

fn leaf_record() -> LeafRecord {
    LeafRecord {
        id: "i-3-0".into(),
        service: "one".into(),
        address: v4(20, 9_000),
        failure_domain: "b".into(),
        slots: 4,
        draining: true,
        warmup_left_ms: 900,
        started_unix_ms: UNIX_MS,
    }
}

fn catalog_samples() -> Vec<Sample> {
    let folder = format!("catalog-{CATALOG_VERSION}");
    let changes = CatalogUpdate::Changes(ChangeSet {
        changes: vec![
            Change::Document(route_document()),
            Change::Leaf(leaf_record()),
            Change::LeafRemoved("i-4-0".into()),
        ],
        epoch: 3,
        revision: 70_000,
    });
    let image = CatalogUpdate::Image(CatalogImage {
        epoch: 3,
        revision: 70_001,
        document: Some(route_document()),
        leaves: vec![leaf_record()],
    });
    vec![
        Sample::new(&folder, "nothing", CatalogUpdate::Nothing),
        Sample::new(&folder, "changes", changes),
        Sample::new(&folder, "image", image),
    ]
}

fn leaf_reports_samples() -> Vec<Sample> {
    let observations = [
        Observation::Stalled { silent_us: 30_000 },
        Observation::Resumed { stall_us: 70_000 },
        Observation::RetryAfter { wait_ms: 3_000 },
        Observation::Failed,
        Observation::Answered,
    ];
    let leaf_reports = observations.map(|observation| LeafReport {
        leaf: v4(20, 9_000),
        age_us: 1_250,
        observation,
    });
    let rate_report = |rate_milli| RateReport {
        leaf: v6(9_001),
        process: 0x1122_3344_5566_7788,
        usage: RateUsage {
            rate_milli,
            age_us: 5_000_000,
            calls: 300,
        },
    };
    let datagram = leaf_reports::Datagram {
        version: LEAF_REPORTS_VERSION,
        leaf_reports: leaf_reports.to_vec(),
        rate_reports: vec![rate_report(Some(8_000)), rate_report(None)],
    };
    let folder = format!("leaf-reports-{LEAF_REPORTS_VERSION}");
    vec![Sample::new(&folder, "reports", datagram)]
}

fn leaf_capacity_samples() -> Vec<Sample> {
    let report = |leaf, in_flight_centi| CapacityReport {
        leaf,
        in_flight_centi,
        ended_calls: 300,
        during_in_flight_centi: 1_250,
        ratio_milli: 70_000,
    };
    let datagram = CapacityDatagram {
        version: LEAF_CAPACITY_VERSION,
        reports: vec![report(v4(20, 9_000), 0), report(v6(9_001), 433)],
    };
    let folder = format!("leaf-capacity-{LEAF_CAPACITY_VERSION}");
    vec![Sample::new(&folder, "reports", datagram)]
}

fn vm_call_samples() -> Vec<Sample> {
    let mut spec = gateway::call_spec();
    spec.headers
        .insert("x-data", HeaderValue::from_bytes(b"a\xff").unwrap());
    spec.body = b"\x00order\xff".to_vec().into();
    let prior_calls = PriorCalls {
        sent: 1,
        is_credited: true,
    };
    let mut forwarded = ForwardedRequest::new("desk.example", &spec, 20, prior_calls);
    forwarded.remaining_ms = 1_234;
    let questions = vec![
        LeafQuestion {
            process: 0x1122_3344_5566_7788,
            refused_ago_us: 1_500,
        },
        LeafQuestion {
            process: 7,
            refused_ago_us: 0,
        },
    ];
    let answers = vec![LeafAnswer::Alive, LeafAnswer::Refusing, LeafAnswer::Unknown];
    let folder = format!("vm-calls-{MESSAGE_VERSION}");
    vec![
        Sample::new(&folder, "forwarded-request", forwarded),
        Sample::new(&folder, "leaf-questions", questions),
        Sample::new(&folder, "leaf-answers", answers),
    ]
}

fn samples() -> Vec<Sample> {
    let mut samples = gossip_samples();
    samples.extend(later_gossip_samples());
    samples.extend(catalog_samples());
    samples.extend(leaf_reports_samples());
    samples.extend(leaf_capacity_samples());
    samples.extend(vm_call_samples());
    samples
}

/// Guards against a message that an earlier build writes and this one does not read, or reads as
/// something else.
#[test]
fn messages_of_earlier_builds_are_read() {
    let mut failed = Vec::new();
    for sample in samples() {
        let read = sample.read_file().and_then(|bytes| (sample.read)(&bytes));
        if let Err(error) = read {
            failed.push(format!("{}/{}: {error}", sample.folder, sample.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a message that an earlier build drops or misreads, since its format has changed
/// without a new version.
#[test]
fn messages_have_the_bytes_that_earlier_builds_read() {
    let mut failed = Vec::new();
    for sample in samples() {
        match sample.read_file() {
            Ok(bytes) if bytes == sample.encoded => {}
            Ok(_) => failed.push(format!("{}/{} has changed", sample.folder, sample.name)),
            Err(error) => failed.push(error),
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Guards against a message of another format that is read as one of this format, with other values.
#[test]
fn messages_with_missing_or_trailing_bytes_are_refused() {
    for sample in samples() {
        let (bytes, name) = (&sample.encoded, sample.name);
        let cut = &bytes[..bytes.len() - 1];
        assert!((sample.read)(cut).is_err(), "{name} without its last byte");
        let longer = [bytes, &[0][..]].concat();
        assert!((sample.read)(&longer).is_err(), "{name} with another byte");
    }
}

/// Guards against a reason that an earlier build gives for a request that has not run, and that is read
/// as another one.
#[test]
fn reasons_of_earlier_builds_are_read() {
    for (text, reason) in [
        ("links lost", NotRunReason::LinksLost),
        ("leaves unreachable", NotRunReason::Unreachable),
        ("older configuration", NotRunReason::OlderConfiguration),
        ("busy", NotRunReason::Busy),
        ("rejected", NotRunReason::Rejected),
    ] {
        assert_eq!(NotRunReason::parse(text), Some(reason));
        assert_eq!(reason.to_string(), text);
    }
}

/// Writes the messages to the folder in `MESSAGES_FOLDER`.
#[test]
#[ignore = "writes the files of a new version"]
fn write_messages() {
    let root = PathBuf::from(std::env::var_os("MESSAGES_FOLDER").unwrap());
    for sample in samples() {
        let mut text = String::new();
        for line in sample.encoded.chunks(LINE_BYTES) {
            for byte in line {
                write!(text, "{byte:02x}").unwrap();
            }
            text.push('\n');
        }
        let path = sample.path(&root);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }
}
