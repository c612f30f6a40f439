//! Finds the route of a request by host and path, with its services and limits. Compiles the routes
//! from the operators' configuration.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use bincode::{Decode, Encode};

use crate::ids::ServiceKey;

/// Longest timeout and target latency of a route, one day: the times of a request are added up in
/// microseconds, and must not overflow.
pub const MAX_ROUTE_TIME_MS: u64 = 86_400_000;

/// Destination of a route as configured by operators, with names of services.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub enum Destination {
    /// One service.
    Service(Box<str>),
    /// Several services, each with its weight.
    Weighted(Vec<(Box<str>, u32)>),
    /// All shards of an index; their records are merged.
    Shards {
        /// Service of each shard.
        services: Vec<Box<str>>,
        /// Maximum number of records in an answer.
        top_records: u32,
        /// Minimum fraction of the shards in an answer, in parts per million.
        min_coverage_ppm: u32,
    },
}

/// One route as configured by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct RouteSpec {
    /// Name of the route, for logs.
    pub name: Box<str>,
    /// Host of the requests.
    pub host: Box<str>,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Box<str>,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Maximum time until a caller gets an answer.
    pub timeout_ms: u64,
    /// Target latency: an answer within it has its full value.
    pub target_latency_ms: u64,
    /// Maximum number of leaves to which one request is sent, for each shard.
    pub max_attempts: u32,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// Destination of the requests.
    pub destination: Destination,
}

impl RouteSpec {
    fn is_scatter_gather(&self) -> bool {
        matches!(self.destination, Destination::Shards { .. })
    }

    /// Returns the service that identifies the shards of a scatter-gather route.
    fn first_shard(&self) -> Option<&str> {
        match &self.destination {
            Destination::Shards { services, .. } => services.first().map(|name| &**name),
            _ => None,
        }
    }
}

/// Limits of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: Box<str>,
    /// Maximum number of connections that one of its leaves accepts from all VMs together.
    pub max_connections: u32,
    /// Path of the status check of its leaves.
    pub health_path: Box<str>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct CallerLimits {
    /// Maximum size of a request body.
    pub max_body_bytes: u64,
    /// Time after which an idle connection is closed.
    pub idle_timeout_ms: u64,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Encode, Decode)]
pub struct RouteDocument {
    /// Version of the configuration; a greater one replaces a smaller one.
    pub version: u64,
    /// Routes, which a copy of the document and the compiled routes share.
    pub routes: Vec<Arc<RouteSpec>>,
    /// Services with their limits.
    pub services: Vec<ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Interned names of services. A key stays valid for the lifetime of the process.
#[derive(Debug, Default)]
pub struct ServiceNames {
    keys: HashMap<Box<str>, ServiceKey>,
    names: Vec<Box<str>>,
}

impl ServiceNames {
    /// Returns the key of a name, and assigns one to a new name.
    pub fn intern(&mut self, name: &str) -> ServiceKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = ServiceKey::new(self.names.len());
        self.names.push(name.into());
        self.keys.insert(name.into(), key);
        key
    }

    /// Returns the name of a key, or an empty string for an unknown key.
    pub fn name(&self, key: ServiceKey) -> &str {
        self.names.get(key.index()).map_or("", |name| name)
    }
}

/// Destination of a route, with keys of services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResolvedDestination {
    /// One service.
    Service(ServiceKey),
    /// Several services, with the cumulative sums of their weights.
    Weighted(Vec<(ServiceKey, u64)>),
    /// All shards of an index; their records are merged.
    Shards {
        /// Service of each shard.
        services: Vec<ServiceKey>,
        /// Maximum number of records in an answer.
        top_records: usize,
        /// Minimum number of shards in an answer.
        min_parts: usize,
    },
}

/// A compiled route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Configuration of the route.
    pub spec: Arc<RouteSpec>,
    /// Destination of the requests.
    pub resolved_destination: ResolvedDestination,
    /// Number of more urgent priority levels among the scatter-gather routes.
    pub rank: u32,
    /// Number of more urgent priority levels among all routes, if requests are admitted by priority.
    pub admission_rank: Option<u32>,
}

/// Compiled routes of one configuration version.
#[derive(Debug)]
pub struct RouteTable {
    /// Version of the document.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Requests keep their route, so that a replaced table doesn't stay in memory until they end.
    hosts: HashMap<Box<str>, Vec<Arc<Route>>>,
    max_connections: HashMap<ServiceKey, u32>,
    health_paths: HashMap<ServiceKey, Box<str>>,
}

/// Denominator of fractions in parts per million.
const PPM: u64 = 1_000_000;

/// Returns the minimum number of shards that reach a coverage, at least one.
///
/// # Examples
///
/// ```
/// use cloverrack::gateway::min_parts;
/// assert_eq!(min_parts(10, 890_000), 9);
/// assert_eq!(min_parts(10, 900_000), 9);
/// assert_eq!(min_parts(10, 0), 1);
/// ```
pub fn min_parts(shards: usize, min_coverage_ppm: u32) -> usize {
    let min_count = (shards as u64 * u64::from(min_coverage_ppm)).div_ceil(PPM);
    usize::try_from(min_count).unwrap_or(shards).max(1)
}

impl RouteTable {
    /// Compiles a document.
    ///
    /// # Examples
    ///
    /// ```
    /// use cloverrack::gateway::{
    ///     CallerLimits, Destination, RouteDocument, RouteSpec, RouteTable, ServiceNames,
    /// };
    /// let route = RouteSpec {
    ///     name: "sheets".into(),
    ///     host: "desk.example".into(),
    ///     prefix: "/sheets/".into(),
    ///     idempotent: true,
    ///     timeout_ms: 6_000,
    ///     target_latency_ms: 600,
    ///     max_attempts: 2,
    ///     priority: 1,
    ///     destination: Destination::Service("submittal-room".into()),
    /// };
    /// let limits = CallerLimits { max_body_bytes: 262_144, idle_timeout_ms: 15_000 };
    /// let document = RouteDocument { version: 1, routes: vec![route.into()], services: vec![], limits };
    /// let table = RouteTable::compile(document, &mut ServiceNames::default());
    /// assert!(table.find("desk.example", "/sheets/7").is_some());
    /// assert!(table.find("desk.example", "/orders/7").is_none());
    /// ```
    pub fn compile(document: RouteDocument, names: &mut ServiceNames) -> Self {
        let mut hosts: HashMap<Box<str>, Vec<Arc<Route>>> = HashMap::new();
        let scatter_gather_routes = document
            .routes
            .iter()
            .filter(|spec| spec.is_scatter_gather());
        let levels: BTreeSet<u32> = scatter_gather_routes.map(|spec| spec.priority).collect();
        let ranking = Ranking::new(&document.routes);
        for mut spec in document.routes {
            if spec.timeout_ms.max(spec.target_latency_ms) > MAX_ROUTE_TIME_MS {
                let spec = Arc::make_mut(&mut spec);
                spec.timeout_ms = spec.timeout_ms.min(MAX_ROUTE_TIME_MS);
                spec.target_latency_ms = spec.target_latency_ms.min(MAX_ROUTE_TIME_MS);
            }
            let rank = levels.range(..spec.priority).count();
            let admission_rank = ranking.rank(&spec);
            let resolved_destination = resolve_destination(&spec.destination, names);
            let host = spec.host.to_ascii_lowercase().into_boxed_str();
            let route = Route {
                spec,
                resolved_destination,
                rank: u32::try_from(rank).unwrap_or(u32::MAX),
                admission_rank,
            };
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.prefix.len()));
        }
        let mut max_connections = HashMap::new();
        let mut health_paths = HashMap::new();
        for service in document.services {
            let key = names.intern(&service.name);
            max_connections.insert(key, service.max_connections);
            health_paths.insert(key, service.health_path);
        }
        Self {
            version: document.version,
            limits: document.limits,
            hosts,
            max_connections,
            health_paths,
        }
    }

    /// Returns the route of a host and path with the longest matching prefix. The host has to be in
    /// lowercase.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        let mut matching = routes.iter();
        matching.find(|route| path.starts_with(&*route.spec.prefix))
    }

    /// Returns whether a host has routes. The host has to be in lowercase.
    pub fn has_host(&self, host: &str) -> bool {
        self.hosts.contains_key(host)
    }

    /// Returns the maximum number of connections that one leaf of a service accepts from all VMs.
    pub fn max_connections(&self, service: ServiceKey) -> Option<u32> {
        self.max_connections.get(&service).copied()
    }

    /// Returns the path of the status check of a service's leaves.
    pub fn health_path(&self, service: ServiceKey) -> Option<&str> {
        self.health_paths.get(&service).map(|path| &**path)
    }

    /// Returns the lowest nonzero connection limit of a leaf among the services of shards, which
    /// get the most calls.
    pub fn min_shard_connections(&self) -> Option<u32> {
        let shards = self
            .routes()
            .filter_map(|route| match &route.resolved_destination {
                ResolvedDestination::Shards { services, .. } => Some(services),
                _ => None,
            });
        let limits = shards
            .flatten()
            .filter_map(|service| self.max_connections(*service));
        limits.filter(|limit| *limit > 0).min()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flatten().map(|route| &**route)
    }
}

/// Priority levels of a configuration, and the groups whose requests are admitted by them.
struct Ranking {
    levels: BTreeSet<u32>,
    /// First shard of each index that routes with priority 0 and with another one share.
    contested: BTreeSet<Box<str>>,
}

impl Ranking {
    fn new(routes: &[Arc<RouteSpec>]) -> Self {
        let first_shards = |is_urgent: bool| {
            let routes = routes.iter();
            let routes = routes.filter(move |spec| (spec.priority == 0) == is_urgent);
            routes.filter_map(|spec| spec.first_shard()).map(Box::from)
        };
        let less_urgent: BTreeSet<Box<str>> = first_shards(false).collect();
        Self {
            levels: routes.iter().map(|spec| spec.priority).collect(),
            contested: first_shards(true)
                .filter(|shard| less_urgent.contains(shard))
                .collect(),
        }
    }

    /// Returns the rank of a route if its requests are admitted by priority: operators ask for it by
    /// giving a route to the same shards as others the priority 0. Routes to other shards don't take part.
    fn rank(&self, spec: &RouteSpec) -> Option<u32> {
        let takes_part = spec
            .first_shard()
            .is_none_or(|shard| self.contested.contains(shard));
        let rank = self.levels.range(..spec.priority).count();
        let is_ranked = !self.contested.is_empty() && takes_part;
        is_ranked.then(|| u32::try_from(rank).unwrap_or(u32::MAX))
    }
}

fn resolve_destination(destination: &Destination, names: &mut ServiceNames) -> ResolvedDestination {
    match destination {
        Destination::Service(name) => ResolvedDestination::Service(names.intern(name)),
        Destination::Weighted(weights) => {
            let mut total = 0;
            let mut cumulative = Vec::with_capacity(weights.len());
            for (name, weight) in weights {
                total += u64::from(*weight);
                cumulative.push((names.intern(name), total));
            }
            ResolvedDestination::Weighted(cumulative)
        }
        Destination::Shards {
            services,
            top_records,
            min_coverage_ppm,
        } => ResolvedDestination::Shards {
            services: services.iter().map(|name| names.intern(name)).collect(),
            top_records: usize::try_from(*top_records).unwrap_or(usize::MAX),
            min_parts: min_parts(services.len(), *min_coverage_ppm),
        },
    }
}

/// Picks a service by weight for a number drawn below the total weight.
///
/// # Examples
///
/// ```
/// use cloverrack::ServiceKey;
/// use cloverrack::gateway::pick_weighted;
/// let cumulative = [(ServiceKey::new(0), 3), (ServiceKey::new(1), 4)];
/// assert_eq!(pick_weighted(&cumulative, 2), Some(ServiceKey::new(0)));
/// assert_eq!(pick_weighted(&cumulative, 3), Some(ServiceKey::new(1)));
/// ```
pub fn pick_weighted(cumulative: &[(ServiceKey, u64)], drawn: u64) -> Option<ServiceKey> {
    let mut pairs = cumulative.iter();
    pairs.find(|(_, total)| drawn < *total).map(|(key, _)| *key)
}
