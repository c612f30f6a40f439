//! How the gateway follows the platform, against a platform written here.

#![expect(clippy::unwrap_used, reason = "a failure of the harness ends the test")]

#[path = "support/gateway.rs"]
mod gateway;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cloverrack::gateway::{CatalogImage, Changes, Engine, Follower, Source, SourceError};
use gateway::engine;

/// One answer of the platform.
enum Answer {
    Image(u64),
    Changes(u64),
    Error(SourceError),
}

/// Platform that gives prepared answers, and then none.
#[derive(Clone, Default)]
struct Script {
    answers: Arc<Mutex<VecDeque<Answer>>>,
    calls: Arc<Mutex<Vec<&'static str>>>,
}

impl Script {
    fn new(answers: impl IntoIterator<Item = Answer>) -> Self {
        let script = Self::default();
        script.answers.lock().unwrap().extend(answers);
        script
    }

    fn calls(&self) -> Vec<&'static str> {
        self.calls.lock().unwrap().clone()
    }

    async fn next(&self, call: &'static str) -> Answer {
        self.calls.lock().unwrap().push(call);
        let answer = self.answers.lock().unwrap().pop_front();
        match answer {
            Some(answer) => answer,
            None => std::future::pending().await,
        }
    }
}

impl Source for Script {
    async fn read_all(&self) -> Result<CatalogImage, SourceError> {
        match self.next("read").await {
            Answer::Image(revision) => Ok(CatalogImage {
                revision,
                document: None,
                leaves: vec![],
            }),
            Answer::Error(error) => Err(error),
            Answer::Changes(_) => panic!("a read got changes"),
        }
    }

    async fn changes(&self, _after: u64, _wait_ms: u64) -> Result<Changes, SourceError> {
        match self.next("watch").await {
            Answer::Changes(revision) => Ok(Changes {
                changes: vec![],
                revision,
            }),
            Answer::Error(error) => Err(error),
            Answer::Image(_) => panic!("a watch got an image"),
        }
    }
}

async fn play(script: &Script, engine: &Arc<Engine>) {
    let follower = Follower::new(script.clone(), Arc::clone(engine));
    let _ = tokio::time::timeout(Duration::from_secs(30), follower.run()).await;
}

/// Guards against a watch that waits in vain: after one was cut, changes may have been missed whose
/// history is gone.
#[tokio::test(start_paused = true)]
async fn a_failed_watch_is_followed_by_a_full_read() {
    let script = Script::new([
        Answer::Image(10),
        Answer::Changes(12),
        Answer::Error(SourceError::Unreachable),
        Answer::Image(15),
        Answer::Changes(16),
        Answer::Error(SourceError::HistoryLost),
        Answer::Image(20),
    ]);
    let engine = engine();
    play(&script, &engine).await;
    let expected = [
        "read", "watch", "watch", "read", "watch", "watch", "read", "watch",
    ];
    assert_eq!(script.calls(), expected);
    assert_eq!(engine.state().catalog.revision(), 20);
}

/// Guards against a storm of calls to a platform that is down, each of which has a price.
#[tokio::test(start_paused = true)]
async fn a_platform_that_refuses_is_asked_at_a_falling_rate() {
    let refusals = (0..200).map(|_| Answer::Error(SourceError::Refused(503)));
    let script = Script::new(refusals);
    play(&script, &engine()).await;
    let calls = script.calls().len();
    assert!((50..=110).contains(&calls), "{calls} calls in 30 s");
}

/// Guards against calls of a VM that leaves the watch to others.
#[tokio::test(start_paused = true)]
async fn a_vm_that_does_not_watch_makes_no_calls() {
    let script = Script::default();
    let engine = engine();
    engine.set_watching(false);
    play(&script, &engine).await;
    assert!(script.calls().is_empty());
}
