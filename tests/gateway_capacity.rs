//! Which requests are refused on arrival, by the state of the leaves alone; there is no network.

#![expect(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use cloverrack::ServiceKey;
use cloverrack::gateway::{CapacityError, ConnectionLimits, LeafRecord, Leaves, ServiceNames};
use cloverrack::ids::LeafKey;

/// Services of a request, with two leaves each.
const SERVICES: usize = 4;

/// Time at which the requests arrive.
const NOW_US: u64 = 10_000_000;

/// Leaves of all services.
struct Fixture {
    leaves: Leaves,
    services: Vec<ServiceKey>,
}

impl Fixture {
    fn new() -> Self {
        let mut names = ServiceNames::default();
        let mut leaves = Leaves::new("a".into());
        let records: Vec<LeafRecord> = (0..2 * SERVICES)
            .map(|number| LeafRecord {
                id: format!("i-{number}").into(),
                service: format!("s-{}", number / 2).into(),
                address: ([127, 0, 0, 1], 7_000 + u16::try_from(number).unwrap()).into(),
                failure_domain: "a".into(),
                slots: 3,
                draining: false,
                warmup_left_ms: 0,
                started_unix_ms: 1,
            })
            .collect();
        leaves.update(records.iter(), &mut names, 0);
        let services = (0..SERVICES).map(|number| names.intern(&format!("s-{number}")));
        Self {
            services: services.collect(),
            leaves,
        }
    }

    fn of_service(&self, service: usize) -> Vec<LeafKey> {
        self.leaves.of_service(self.services[service]).to_vec()
    }

    /// Lets the leaves of a service want no calls until a time.
    fn want_none(&mut self, service: usize, until_us: u64) {
        for leaf in self.of_service(service) {
            self.leaves
                .record_retry_after(leaf, (until_us - NOW_US) / 1_000, NOW_US);
        }
    }

    /// Lets the leaves of a service refuse connections since a time.
    fn refuse(&mut self, service: usize, since_us: u64) {
        for leaf in self.of_service(service) {
            assert!(self.leaves.record_unreachable(leaf, since_us));
        }
    }

    fn check(&self, min_services: usize) -> Result<(), CapacityError> {
        let limits = ConnectionLimits::default();
        self.leaves
            .check_capacity(&self.services, min_services, &limits, NOW_US)
    }
}

/// Guards against refusing requests that can be served without the services which take no calls.
#[test]
fn enough_services_suffice() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.check(SERVICES), Ok(()));
    fixture.refuse(0, 0);
    assert_eq!(fixture.check(SERVICES), Err(CapacityError::Unreachable));
    assert_eq!(fixture.check(SERVICES - 1), Ok(()));
    let replica = fixture.of_service(0)[0];
    fixture.leaves.record_reachable(replica, 0);
    assert_eq!(fixture.check(SERVICES), Ok(()), "one replica is back");
}

/// Guards against telling callers to come back too early, when only some of the services that they
/// need take calls again, or later than necessary.
#[test]
fn the_time_to_come_back_is_that_of_the_last_service_needed() {
    let mut fixture = Fixture::new();
    for (service, until_us) in [(0, 13_000_000), (1, 11_000_000), (2, 12_000_000)] {
        fixture.want_none(service, until_us);
    }
    let expected = [
        (SERVICES, 13_000_000),
        (SERVICES - 1, 12_000_000),
        (SERVICES - 2, 11_000_000),
    ];
    for (min_services, at_us) in expected {
        let refused = Err(CapacityError::RetryAfter { at_us });
        assert_eq!(fixture.check(min_services), refused, "{min_services}");
    }
    assert_eq!(fixture.check(1), Ok(()));
}

/// Guards against a time to come back for a request that can't be served then either.
#[test]
fn unreachable_services_go_before_times_to_come_back() {
    let mut fixture = Fixture::new();
    fixture.want_none(0, 11_000_000);
    fixture.refuse(1, 0);
    assert_eq!(fixture.check(SERVICES), Err(CapacityError::Unreachable));
    let refused = Err(CapacityError::RetryAfter { at_us: 11_000_000 });
    assert_eq!(fixture.check(SERVICES - 1), refused);
}

/// Guards against refusing requests for an outage that is too short to be one.
#[test]
fn an_outage_has_to_last() {
    let mut fixture = Fixture::new();
    fixture.refuse(0, NOW_US - 30_000);
    assert_eq!(fixture.check(SERVICES), Ok(()));
}
