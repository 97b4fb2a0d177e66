//! Tests of [`super`].

use super::*;

fn push(queue: &mut CommitQueue, priority: WritePriority, key: &str, changes: usize) {
    let changes = (0..changes).map(|n| Change::delete(format!("{key}/{n}")));
    let transaction = Transaction::new(Vec::new(), changes.collect());
    let (commit, _) = QueuedCommit::new(transaction);
    queue.push(priority, commit);
}

fn keys(batch: &[QueuedCommit]) -> Vec<&str> {
    batch
        .iter()
        .map(|commit| commit.transaction.changes[0].key())
        .collect()
}

/// Without priorities, many jobs of low priority used up the rate limits, and urgent submissions were
/// committed too late.
#[test]
fn batch_holds_the_highest_priority_first_and_stays_within_the_limits() {
    let limits = StoreSettings {
        rps: 80.0,
        write_rps: 30.0,
        value_kb: 32.0,
        txn_ops: 12,
    };
    let mut queue = CommitQueue::default();
    push(&mut queue, WritePriority::Progress, "chunk", 1);
    push(&mut queue, WritePriority::Low, "bulk", 3);
    push(&mut queue, WritePriority::High, "gang", 2);
    assert_eq!(queue.changes_up_to(WritePriority::High), 2);
    assert_eq!(queue.changes_up_to(WritePriority::Low), 5);
    assert_eq!(keys(&queue.next_batch(&limits, 4.9)), ["gang/0"]);
    let rest = queue.next_batch(&limits, 4.9);
    assert_eq!(keys(&rest), ["bulk/0", "chunk/0"]);
    push(&mut queue, WritePriority::High, "many", 12);
    assert_eq!(
        keys(&queue.next_batch(&limits, 2.0)),
        ["many/0"],
        "the first transaction is sent regardless of the limits"
    );
    assert_eq!(queue.len(), 0);
}
