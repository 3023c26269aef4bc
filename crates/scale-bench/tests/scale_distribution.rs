//! Distribution of configuration: what a subscriber exchanges does not grow with their number.

use violetseam_scale_bench::Run;
use violetseam_scale_bench::distribution::bytes_at;
use violetseam_scale_bench::table::Measurement;

/// Bytes a second that a proxy may spend on it, of the 5 KB/s for all control.
const BYTES_A_SECOND_MOST: f64 = 1_000.0;

fn value(found: &[Measurement], quantity: &str) -> f64 {
    let one = found.iter().find(|measurement| measurement.quantity == quantity);
    one.unwrap_or_else(|| panic!("no {quantity:?}")).value
}

#[test]
fn bytes_a_subscriber_do_not_grow_with_their_number() {
    let run = Run { quick: true, seed: 1 };
    let few = bytes_at(50, &run).unwrap();
    let many = bytes_at(500, &run).unwrap();
    for found in [&few, &many] {
        assert_eq!(value(found, "deltas a subscriber and change"), 1.0, "each change arrives once");
        let rate = value(found, "bytes a subscriber at 14,000 changes a day");
        assert!(rate < BYTES_A_SECOND_MOST, "{rate} bytes a second");
    }
    for quantity in
        ["heartbeat", "change with its acknowledgement", "bytes a subscriber at 14,000 changes a day"]
    {
        let (at_few, at_many) = (value(&few, quantity), value(&many, quantity));
        let ratio = at_many / at_few;
        assert!((0.9..=1.1).contains(&ratio), "{quantity}: {at_few} at 50, {at_many} at 500");
    }
}
