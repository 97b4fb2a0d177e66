//! Tests of [`super`].

use super::*;

#[test]
fn a_later_epoch_orders_before_any_sequence_number() {
    let order = |epoch, sequence| MessageOrder { epoch, sequence };
    assert!(order(2, 1) > order(1, 900));
    assert!(order(2, 3) > order(2, 2));
    assert!(order(1, 1) > MessageOrder::default());
}
