//! Time from publishing a file until it is in force on 8 processes, and cost of the control plane.

#[path = "../../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use support::{Cluster, ClusterSpec, eventually, exchange};

const VMS: usize = 8;
const KEY: &str = "cloverrack/config/test";

/// Number of files published on each path.
const SAMPLES: u64 = 20;

/// Time over which the cost of the control plane is measured while nothing changes.
const IDLE: Duration = Duration::from_secs(10);

/// Interval at which the status of a process is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

async fn revision(cluster: &Cluster, vm: usize) -> Option<u64> {
    let status = cluster.status(vm).await?;
    let documents = status["documents"].as_array()?;
    let document = documents.iter().find(|d| d["name"] == "config/test")?;
    document["version"]["revision"].as_u64()
}

/// Waits until a revision is in force on all processes; returns the time that it took.
async fn wait_until_in_force(cluster: &Cluster, wanted: u64) -> Duration {
    let started = Instant::now();
    let waits = (0..VMS).map(async |vm| {
        while revision(cluster, vm).await != Some(wanted) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        started.elapsed()
    });
    let times = futures_util::future::join_all(waits).await;
    times.into_iter().max().unwrap_or_default()
}

async fn counter_total(cluster: &Cluster, name: &str) -> f64 {
    let mut total = 0.0;
    for daemon in &cluster.daemons {
        let answer = exchange(daemon.operator_address, "GET", "/metrics", Vec::new()).await;
        let Some((_, text)) = answer else { continue };
        let text = String::from_utf8_lossy(&text).into_owned();
        for line in text.lines().filter(|line| line.starts_with(name)) {
            let value = line.rsplit(' ').next().and_then(|v| v.parse::<f64>().ok());
            total += value.unwrap_or(0.0);
        }
    }
    total
}

fn print(path: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let ms = |time: Duration| time.as_secs_f64() * 1_000.0;
    println!(
        "processes={VMS} path={path} files={} median_ms={:.1} max_ms={:.1}",
        times.len(),
        ms(times[times.len() / 2]),
        ms(times[times.len() - 1]),
    );
}

async fn publish_files(cluster: &Cluster, path: &str) {
    let mut times = Vec::new();
    for round in 0..SAMPLES {
        tokio::time::sleep(Duration::from_millis(150)).await;
        let text = cluster.config(&format!("connect_ms = {}", round + 1));
        let revision = cluster.platform.put(KEY, text);
        times.push(wait_until_in_force(cluster, revision).await);
    }
    print(path, times);
}

/// Measures how a file spreads between peers: only one watcher can reach the platform, which fails
/// as soon as this watcher has read the file.
async fn publish_to_one(cluster: &Cluster) {
    let platform: [SocketAddr; 1] = [cluster.platform.address()];
    let mut reader = None;
    for vm in 0..VMS {
        let status = cluster.status(vm).await;
        let watches = status.is_some_and(|status| status["is_watcher"] == true);
        if watches && reader.is_none() {
            reader = Some(vm);
        } else {
            cluster.cut(vm, &platform).await;
        }
    }
    let Some(reader) = reader else { return };
    // Watches that were open before the cut end in this time.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut times = Vec::new();
    for round in 0..SAMPLES {
        cluster.platform.set_down(false);
        let text = cluster.config(&format!("connect_ms = {}", round + 100));
        let wanted = cluster.platform.put(KEY, text);
        while revision(cluster, reader).await != Some(wanted) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        cluster.platform.set_down(true);
        times.push(wait_until_in_force(cluster, wanted).await);
    }
    print("platform_down_after_one_read", times);
}

async fn measure() {
    let spec = ClusterSpec {
        vms: VMS,
        ..ClusterSpec::default()
    };
    let cluster = Cluster::start(spec).await;
    eventually("every process lists all others", async || {
        let mut complete = true;
        for vm in 0..VMS {
            let status = cluster.status(vm).await;
            complete &= status.is_some_and(|s| s["vms"].as_array().is_some_and(|v| v.len() == VMS));
        }
        complete
    })
    .await;
    tokio::time::sleep(Duration::from_secs(6)).await;
    let before = [
        counter_total(&cluster, "cloverrack_control_bytes").await,
        counter_total(&cluster, "cloverrack_control_cpu_us").await,
        counter_total(&cluster, "cloverrack_platform_calls").await,
    ];
    tokio::time::sleep(IDLE).await;
    let node_seconds = VMS as f64 * IDLE.as_secs_f64();
    println!(
        "processes={VMS} idle control_bytes_per_s_per_node={:.0} control_core_percent={:.3} \
         platform_calls_per_s={:.2}",
        (counter_total(&cluster, "cloverrack_control_bytes").await - before[0]) / node_seconds,
        (counter_total(&cluster, "cloverrack_control_cpu_us").await - before[1])
            / node_seconds
            / 1e4,
        (counter_total(&cluster, "cloverrack_platform_calls").await - before[2])
            / IDLE.as_secs_f64(),
    );
    publish_files(&cluster, "platform_up").await;
    if cfg!(feature = "fault-injection") {
        publish_to_one(&cluster).await;
    } else {
        println!("path=platform_down_after_one_read not_run=needs_feature_fault-injection");
    }
}

/// Measures the processes and prints the results.
pub fn run() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(measure());
}
