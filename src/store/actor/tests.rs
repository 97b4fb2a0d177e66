//! Tests of [`super`].

use super::*;

fn put(queue: &mut Queue, urgency: WritePriority, key: &str, ops: usize) {
    let apply = (0..ops).map(|n| Change::delete(format!("{key}/{n}")));
    let group = Transaction::new(Vec::new(), apply.collect());
    let (reply, _) = oneshot::channel();
    let bytes = weigh(&group);
    let waiting = Waiting {
        group,
        bytes,
        reply,
    };
    queue.push(urgency, waiting);
}

fn keys(batch: &[Waiting]) -> Vec<&str> {
    batch.iter().map(|w| w.group.changes[0].key()).collect()
}

/// Many jobs that can wait used up the limits, and urgent submissions came too late.
#[test]
fn a_batch_takes_the_most_urgent_first_and_no_more_than_the_limits_allow() {
    let limits = StateSettings {
        rps: 80.0,
        write_rps: 30.0,
        value_kb: 32.0,
        txn_ops: 12,
    };
    let mut queue = Queue::default();
    put(&mut queue, WritePriority::Progress, "chunk", 1);
    put(&mut queue, WritePriority::Low, "bulk", 3);
    put(&mut queue, WritePriority::High, "gang", 2);
    assert_eq!(queue.changes_before(WritePriority::High), 2);
    assert_eq!(queue.changes_before(WritePriority::Low), 5);
    assert_eq!(keys(&queue.batch(&limits, 4.9)), ["gang/0"]);
    let rest = queue.batch(&limits, 4.9);
    assert_eq!(keys(&rest), ["bulk/0", "chunk/0"]);
    put(&mut queue, WritePriority::High, "many", 12);
    assert_eq!(
        keys(&queue.batch(&limits, 2.0)),
        ["many/0"],
        "the first goes"
    );
    assert_eq!(queue.len(), 0);
}
