//! The follower that keeps the gateway's routes and leaves up to date, against a scripted source.
//!
//! Covered are a watch that fails or whose history is gone, a platform that refuses every call, and
//! a VM that isn't selected to watch.

#![expect(
    clippy::unwrap_used,
    reason = "a failure of the test harness fails the test"
)]

#[path = "support/gateway.rs"]
mod gateway;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverrack::document::Version;
use cloverrack::gateway::{
    CatalogImage, CatalogSource, CatalogSourceError, ChangeSet, Engine, Follower, SourceChanges,
    SourceImage,
};
use gateway::engine;

/// One scripted reply of the platform.
#[derive(Clone)]
enum ScriptedReply {
    Image(u64),
    Changes(u64),
    Error(CatalogSourceError),
}

/// Catalog source that returns scripted replies in order; later calls never complete.
///
/// Records the kind of each call.
#[derive(Clone, Default)]
struct ScriptedSource {
    replies: Arc<Mutex<VecDeque<ScriptedReply>>>,
    calls: Arc<Mutex<Vec<&'static str>>>,
}

impl ScriptedSource {
    fn new(replies: impl IntoIterator<Item = ScriptedReply>) -> Self {
        let source = Self::default();
        source.replies.lock().unwrap().extend(replies);
        source
    }

    fn calls(&self) -> Vec<&'static str> {
        self.calls.lock().unwrap().clone()
    }

    async fn next(&self, call: &'static str) -> ScriptedReply {
        self.calls.lock().unwrap().push(call);
        let reply = self.replies.lock().unwrap().pop_front();
        match reply {
            Some(reply) => reply,
            None => std::future::pending().await,
        }
    }
}

impl CatalogSource for ScriptedSource {
    async fn read_all(&self) -> Result<SourceImage, CatalogSourceError> {
        match self.next("read").await {
            ScriptedReply::Image(revision) => Ok(CatalogImage {
                epoch: 0,
                revision,
                document: None,
                leaves: vec![],
            }
            .into()),
            ScriptedReply::Error(error) => Err(error),
            ScriptedReply::Changes(_) => panic!("a read got a scripted set of changes"),
        }
    }

    async fn changes(
        &self,
        _after: Version,
        _wait_ms: u64,
    ) -> Result<SourceChanges, CatalogSourceError> {
        match self.next("watch").await {
            ScriptedReply::Changes(revision) => Ok(ChangeSet {
                changes: vec![],
                epoch: 0,
                revision,
            }
            .into()),
            ScriptedReply::Error(error) => Err(error),
            ScriptedReply::Image(_) => panic!("a watch got a scripted image"),
        }
    }
}

async fn run_follower(source: &ScriptedSource, engine: &Arc<Engine>) {
    let follower = Follower::new(source.clone(), Arc::clone(engine));
    let _ = tokio::time::timeout(Duration::from_secs(30), follower.run()).await;
}

/// Guards against missed changes after a watch fails. When a watch is cut or the platform has
/// dropped the history, changes may have passed that a new watch never returns, so a full read has
/// to come first.
#[tokio::test(start_paused = true)]
async fn a_failed_watch_is_followed_by_a_full_read() {
    let source = ScriptedSource::new([
        ScriptedReply::Image(10),
        ScriptedReply::Changes(12),
        ScriptedReply::Error(CatalogSourceError::Unreachable),
        ScriptedReply::Image(15),
        ScriptedReply::Changes(16),
        ScriptedReply::Error(CatalogSourceError::HistoryLost),
        ScriptedReply::Image(20),
    ]);
    let engine = engine();
    run_follower(&source, &engine).await;
    let expected = [
        "read", "watch", "watch", "read", "watch", "watch", "read", "watch",
    ];
    assert_eq!(source.calls(), expected);
    assert_eq!(engine.state().catalog.version().revision, 20);
}

/// Guards against a retry storm while the platform refuses every call. Each call to the platform
/// has a cost, so the follower has to back off.
#[tokio::test(start_paused = true)]
async fn a_platform_that_refuses_is_asked_at_a_falling_rate() {
    let refusals = (0..200).map(|_| ScriptedReply::Error(CatalogSourceError::Refused(503)));
    let source = ScriptedSource::new(refusals);
    run_follower(&source, &engine()).await;
    let calls = source.calls().len();
    assert!(
        (50..=110).contains(&calls),
        "{calls} calls in 30 s, expected 50 to 110"
    );
}

/// Guards against a read storm while the platform names its history as lost on each watch.
#[tokio::test(start_paused = true)]
async fn a_history_that_stays_lost_is_read_at_a_bounded_rate() {
    let pair = [
        ScriptedReply::Image(10),
        ScriptedReply::Error(CatalogSourceError::HistoryLost),
    ];
    let replies = (0..200).flat_map(|_| {
        let [image, lost] = &pair;
        [image.clone(), lost.clone()]
    });
    let source = ScriptedSource::new(replies);
    run_follower(&source, &engine()).await;
    let calls = source.calls().len();
    assert!((50..=110).contains(&calls), "{calls} calls in 30 s");
}

/// Guards against platform calls from a VM that isn't selected to watch, which would make the load
/// on the platform grow with the fleet.
#[tokio::test(start_paused = true)]
async fn a_vm_that_does_not_watch_makes_no_calls() {
    let source = ScriptedSource::default();
    let engine = engine();
    engine.set_platform_watcher(false);
    run_follower(&source, &engine).await;
    assert!(source.calls().is_empty());
}
