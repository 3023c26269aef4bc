//! The settings text: what is not known, what is missing, what is wrong.

#[test]
fn settings_skip_unknown_keys_and_give_missing_ones_their_neutral_meaning() {
    let set = violetseam_instance::parse(br#"{"Novel": {"A": 1}, "Classes": [{"Effect": "retryable"}]}"#);
    let set = set.unwrap();
    assert_eq!((set.fleet_size, set.limits.max_attempts, set.classes.len()), (1, 1, 1));
    assert!(!set.limits.hedging && !set.subscribes_to_list && set.rules.slow_start_floor == 1.0);
    assert!(violetseam_instance::parse(br#"{"Classes": [{"Effect": "novel"}]}"#).is_err());
}
