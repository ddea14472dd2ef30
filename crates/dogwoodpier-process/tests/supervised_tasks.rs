//! Supervised tasks are restarted after a panic, but not after they return.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use dogwoodpier_process::events::EventLog;
use dogwoodpier_process::events::EventOptions;
use dogwoodpier_process::supervise::supervise;

#[tokio::test]
async fn task_restarts_after_panic() {
    let (sender, lines) = sync_channel(10);
    let events = EventLog::with_sender("n1", EventOptions::default(), sender);
    let starts = Arc::new(AtomicU32::new(0));
    let start_count = starts.clone();
    supervise(events, "receive", move || {
        let start = start_count.fetch_add(1, Ordering::SeqCst);
        async move {
            assert!(start >= 2, "start {start} fails");
            std::future::pending().await
        }
    });
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(starts.load(Ordering::SeqCst), 3);
    let lines: Vec<String> = lines.try_iter().collect();
    assert_eq!(lines.len(), 2, "{lines:?}");
    assert!(
        lines[0].contains("task_failed") && lines[0].contains("receive"),
        "{lines:?}"
    );
}

#[tokio::test]
async fn returned_task_is_not_restarted() {
    let (sender, lines) = sync_channel(10);
    let events = EventLog::with_sender("n1", EventOptions::default(), sender);
    let starts = Arc::new(AtomicU32::new(0));
    let start_count = starts.clone();
    supervise(events, "once", move || {
        start_count.fetch_add(1, Ordering::SeqCst);
        std::future::ready(())
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(starts.load(Ordering::SeqCst), 1);
    assert_eq!(lines.try_iter().count(), 0);
}
