//! Distribution of configuration: what a subscriber exchanges does not grow with their number.

use violetseam_scale_bench::RunOptions;
use violetseam_scale_bench::distribution::bytes_at;
use violetseam_scale_bench::table::Measurement;

/// Bytes a second that a proxy may spend on it, of the 5 KB/s for all control.
const MAX_BYTES_PER_SECOND: f64 = 1_000.0;

fn value(measurements: &[Measurement], quantity: &str) -> f64 {
    let measurement = measurements.iter().find(|measurement| measurement.quantity == quantity);
    measurement.unwrap_or_else(|| panic!("no {quantity:?}")).value
}

#[test]
fn bytes_per_subscriber_do_not_grow_with_the_number_of_subscribers() {
    let options = RunOptions { quick: true, seed: 1 };
    let few = bytes_at(50, &options).unwrap();
    let many = bytes_at(500, &options).unwrap();
    for measurements in [&few, &many] {
        assert_eq!(value(measurements, "deltas a subscriber and change"), 1.0, "each change arrives once");
        let rate = value(measurements, "bytes a subscriber at 14,000 changes a day");
        assert!(rate < MAX_BYTES_PER_SECOND, "{rate} bytes a second");
    }
    for quantity in
        ["heartbeat", "change with its acknowledgement", "bytes a subscriber at 14,000 changes a day"]
    {
        let (at_few, at_many) = (value(&few, quantity), value(&many, quantity));
        let ratio = at_many / at_few;
        assert!((0.9..=1.1).contains(&ratio), "{quantity}: {at_few} at 50, {at_many} at 500");
    }
}
