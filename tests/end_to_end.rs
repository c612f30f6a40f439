//! Serves queries through separate processes, with answers that stay complete when a leaf stops.

mod support;

use cloverrack::Outcome;
use support::{Cluster, ClusterSpec, request};

/// Guards against queries that fail end to end, and against a shard that is reported as missing
/// when one leaf stops although its other replicas still serve.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_leaf_leaves_answers_complete() {
    let cluster = Cluster::start(ClusterSpec::default()).await;
    cluster.leaves[0][0].stop();
    for number in 0..20 {
        let answer = cluster
            .query(number % 3, &request(&format!("q-{number}")))
            .await
            .unwrap();
        assert_eq!(answer.outcome, Outcome::Complete, "{answer:?}");
        assert_eq!(answer.covered, vec![0, 1, 2]);
        assert_eq!(&*answer.request_id, format!("q-{number}"));
    }
}
