//! How the gateway follows the platform, against a platform written here.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverrack::gateway::{
    CatalogImage, CatalogSource, CatalogSourceError, ChangeSet, Engine, Follower,
};
use gateway::engine;

/// One answer of the platform.
enum ScriptedReply {
    Image(u64),
    Changes(u64),
    Error(CatalogSourceError),
}

/// Platform that gives prepared answers, and then none.
#[derive(Clone, Default)]
struct ScriptedSource {
    answers: Arc<Mutex<VecDeque<ScriptedReply>>>,
    calls: Arc<Mutex<Vec<&'static str>>>,
}

impl ScriptedSource {
    fn new(answers: impl IntoIterator<Item = ScriptedReply>) -> Self {
        let source = Self::default();
        source.answers.lock().unwrap().extend(answers);
        source
    }

    fn calls(&self) -> Vec<&'static str> {
        self.calls.lock().unwrap().clone()
    }

    async fn next(&self, call: &'static str) -> ScriptedReply {
        self.calls.lock().unwrap().push(call);
        let answer = self.answers.lock().unwrap().pop_front();
        match answer {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

impl CatalogSource for ScriptedSource {
    async fn read_all(&self) -> Result<CatalogImage, CatalogSourceError> {
        match self.next("read").await {
            ScriptedReply::Image(revision) => Ok(CatalogImage {
                revision,
                document: None,
                leaves: vec![],
            }),
            ScriptedReply::Error(error) => Err(error),
            ScriptedReply::Changes(_) => panic!("a read got changes"),
        }
    }

    async fn changes(&self, _after: u64, _wait_ms: u64) -> Result<ChangeSet, CatalogSourceError> {
        match self.next("watch").await {
            ScriptedReply::Changes(revision) => Ok(ChangeSet {
                changes: vec![],
                revision,
            }),
            ScriptedReply::Error(error) => Err(error),
            ScriptedReply::Image(_) => panic!("a watch got an image"),
        }
    }
}

async fn run_follower(source: &ScriptedSource, engine: &Arc<Engine>) {
    let follower = Follower::new(source.clone(), Arc::clone(engine));
    let _ = tokio::time::timeout(Duration::from_secs(30), follower.run()).await;
}

/// Guards against a watch that waits in vain: after one was cut, changes may have been missed whose
/// history is gone.
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
    assert_eq!(engine.state().catalog.revision(), 20);
}

/// Guards against a storm of calls to a platform that is down, each of which has a price.
#[tokio::test(start_paused = true)]
async fn a_platform_that_refuses_is_asked_at_a_falling_rate() {
    let refusals = (0..200).map(|_| ScriptedReply::Error(CatalogSourceError::Refused(503)));
    let source = ScriptedSource::new(refusals);
    run_follower(&source, &engine()).await;
    let calls = source.calls().len();
    assert!((50..=110).contains(&calls), "{calls} calls in 30 s");
}

/// Guards against calls of a VM that leaves the watch to others.
#[tokio::test(start_paused = true)]
async fn a_vm_that_does_not_watch_makes_no_calls() {
    let source = ScriptedSource::default();
    let engine = engine();
    engine.set_watching(false);
    run_follower(&source, &engine).await;
    assert!(source.calls().is_empty());
}
